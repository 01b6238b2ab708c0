// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package entry

import (
	"context"
	"fmt"
	"net"
	"time"

	"fawnwinch.org/fawnwinch/models/vm"
	"fawnwinch.org/fawnwinch/modules/sleep"
	"fawnwinch.org/fawnwinch/services/peer"

	"github.com/rotisserie/eris"
)

const (
	// batchDelay is the time for which a router collects agents that want to be registered, so that
	// those that start together are registered with one call of the store.
	batchDelay = 200 * time.Millisecond
	// maxBatch bounds the agents in one call. A record has some 250 bytes, and the platform accepts
	// 2 MB in a call.
	maxBatch = 4000
)

// errBatchFull reports that too many agents wait to be registered by one router.
var errBatchFull = eris.New("too many agents wait to be registered")

// agentRegistration is an agent that waits to be registered. Done receives the result.
type agentRegistration struct {
	info peer.Info
	done chan error
}

// RegisterAgent registers an agent in the store, and returns when the store has accepted it. Agents
// use it so that the calls of the store do not grow with their number.
func (a *API) RegisterAgent(info peer.Info, _ *peer.RegisterReply) error {
	if info.Name == "" || info.Role != vm.RoleAgent {
		return fmt.Errorf("process %q with role %q is not an agent", info.Name, info.Role)
	}
	if _, _, err := net.SplitHostPort(info.Address); err != nil {
		return fmt.Errorf("agent %q: address %q: %w", info.Name, info.Address, err)
	}
	registration := agentRegistration{info: info, done: make(chan error, 1)}
	select {
	case a.r.agentRegistrations <- registration:
	default:
		return errBatchFull
	}
	timeout := time.NewTimer(batchDelay + registerTimeout)
	defer timeout.Stop()
	select {
	case err := <-registration.done:
		return err
	case <-timeout.C:
		return fmt.Errorf("register agent %q: no answer from the store", info.Name)
	}
}

// registerAgents registers agents in batches until ctx ends.
func (r *Router) registerAgents(ctx context.Context) {
	for {
		select {
		case first := <-r.agentRegistrations:
			sleep.For(ctx, batchDelay)
			r.registerBatch(ctx, r.collectBatch(first))
		case <-ctx.Done():
			return
		}
	}
}

// collectBatch returns all waiting registrations.
func (r *Router) collectBatch(first agentRegistration) []agentRegistration {
	batch := []agentRegistration{first}
	for len(batch) < maxBatch {
		select {
		case next := <-r.agentRegistrations:
			batch = append(batch, next)
		default:
			return batch
		}
	}
	return batch
}

// registerBatch registers agents with one call of the store. The latest registration of an agent
// applies.
func (r *Router) registerBatch(ctx context.Context, batch []agentRegistration) {
	latest := map[string]int{}
	for i, registration := range batch {
		latest[registration.info.Name] = i
	}
	var nodes []peer.Info
	for i, registration := range batch {
		if latest[registration.info.Name] == i {
			nodes = append(nodes, registration.info)
		}
	}
	cctx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	err := r.opts.Store.PutNodes(cctx, nodes)
	if err != nil {
		err = fmt.Errorf("register %d agents: %w", len(nodes), err)
		r.opts.Logger.Warn().Err(err).Msg("agents-not-registered")
	} else {
		r.opts.Logger.Info().Int("agents", len(nodes)).Msg("agents-registered")
	}
	for _, registration := range batch {
		registration.done <- err
	}
}
