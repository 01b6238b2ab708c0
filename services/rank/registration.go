// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package rank

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/rpc"
	"time"

	"fawnwinch.org/fawnwinch/modules/sleep"
	"fawnwinch.org/fawnwinch/services/peer"
)

// routerRegisterTimeout bounds a registration through a router, which collects agents for some time
// before it calls the store.
const routerRegisterTimeout = 2 * time.Second

// tryRegister is register for a caller that retries until the process is registered.
func (a *Agent) tryRegister(ctx context.Context) bool {
	err := a.register(ctx)
	if err != nil {
		a.opts.Logger.Warn().Err(err).Msg("registration-failed")
		sleep.For(ctx, storeRetryInterval)
	}
	return err == nil
}

// register registers this process, so that a coordinator finds it. Routers register agents that
// start together with one call of the store. An agent calls the store itself if no router answers,
// or after the store failed for a router, which may be cut off from it.
func (a *Agent) register(ctx context.Context) error {
	direct := a.registerDirectly
	a.registerDirectly = false
	if !direct {
		answered, err := a.registerThroughRouter(ctx)
		if answered && err != nil {
			a.registerDirectly = true
			return err
		}
		direct = err != nil
	}
	if direct {
		cctx, cancel := context.WithTimeout(ctx, storeTimeout)
		defer cancel()
		if err := a.opts.Store.PutNodes(cctx, []peer.Info{a.opts.Self}); err != nil {
			return fmt.Errorf("register: %w", err)
		}
	}
	// The list must be read again: other agents that were missing from it are about to register
	// too.
	a.lastView.listed, a.lastView.at = true, time.Time{}
	return nil
}

// errNoRouter reports that no router has answered.
var errNoRouter = errors.New("no router answered")

// registerThroughRouter registers this process through one of the seeds. It also reports whether a
// router has answered.
func (a *Agent) registerThroughRouter(ctx context.Context) (answered bool, err error) {
	for _, i := range rand.Perm(len(a.opts.Seeds)) { //nolint:gosec // no secret
		cctx, cancel := context.WithTimeout(ctx, routerRegisterTimeout)
		var reply peer.RegisterReply
		err := a.opts.Pool.Call(cctx, a.opts.Seeds[i], "Router.RegisterAgent", a.opts.Self, &reply)
		cancel()
		var remote rpc.ServerError
		switch {
		case err == nil:
			return true, nil
		case errors.As(err, &remote):
			return true, fmt.Errorf("register through router %s: %w", a.opts.Seeds[i], err)
		}
	}
	return false, errNoRouter
}
