// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package entry

import (
	"context"

	"fawnwinch.org/fawnwinch/modules/clock"
	"fawnwinch.org/fawnwinch/services/quarantine"
)

// maxCrashMarks bounds the routers of which it is kept how far their registers were taken in: VMs come and go under new addresses.
// Without a mark all is told again.
const maxCrashMarks = 1024

// CrashNews is what a router knows of requests under which upstreams have ended, beyond a mark of its register.
type CrashNews struct {
	Mark    quarantine.Mark
	Crashes []quarantine.Crash
}

// Crashes tells which requests upstreams have ended under: all changes after a mark of this router's register.
func (a *API) Crashes(since quarantine.Mark, reply *CrashNews) error {
	now := clock.Now()
	a.r.opts.Relay.Crashes(func(g *quarantine.Register) {
		reply.Mark, reply.Crashes = g.Mark(), g.Since(now, since)
	})
	return nil
}

// crashesTold notes how far the register of a router has come, and has it asked if that is further than was taken in here. Asking
// takes a message of its own, so that greetings stay short; there is nothing to ask while no upstream ends.
func (r *Router) crashesTold(address string, theirs quarantine.Mark) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if address == "" || theirs.Position == 0 || r.crashMarks[address] == theirs {
		return
	}
	select {
	case r.crashesAhead <- address:
	default: // the next greeting tells again
	}
}

// askCrashes asks routers whose registers have come further, one after the other, until ctx ends.
func (r *Router) askCrashes(ctx context.Context) {
	for {
		select {
		case address := <-r.crashesAhead:
			r.askCrashesOf(ctx, address)
		case <-ctx.Done():
			return
		}
	}
}

// askCrashesOf takes in what a router knows of requests under which upstreams have ended.
func (r *Router) askCrashesOf(ctx context.Context, address string) {
	r.mu.Lock()
	since := r.crashMarks[address]
	r.mu.Unlock()
	cctx, cancel := context.WithTimeout(ctx, askTime)
	defer cancel()
	var n CrashNews
	if err := r.opts.Pool.Call(cctx, address, "Router.Crashes", since, &n); err != nil {
		r.opts.Logger.Warn().Str("from", address).Err(err).Msg("crashes-not-told")
		return
	}
	news := 0
	now := clock.Now()
	r.opts.Relay.Crashes(func(g *quarantine.Register) {
		for _, c := range n.Crashes {
			if g.Add(now, c) {
				news++
			}
		}
	})
	r.mu.Lock()
	if len(r.crashMarks) >= maxCrashMarks {
		clear(r.crashMarks)
	}
	r.crashMarks[address] = n.Mark
	r.mu.Unlock()
	if news > 0 {
		r.opts.Logger.Info().Str("from", address).Int("told", len(n.Crashes)).Int("news", news).Int("refused", r.opts.Relay.Refused(now)).Msg("crashes-told")
		r.spread()
	}
}
