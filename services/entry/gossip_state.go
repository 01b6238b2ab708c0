// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package entry

import (
	"context"

	"fawnwinch.org/fawnwinch/modules/clock"
	"fawnwinch.org/fawnwinch/services/peer"
	"fawnwinch.org/fawnwinch/services/quarantine"
	"fawnwinch.org/fawnwinch/services/relay"
)

// maxWatermarks bounds the routers with a stored watermark: VMs come and go under new addresses.
// Without a watermark, the full state is sent again.
const maxWatermarks = 1024

// Watermarks are the watermarks of a router's state of upstreams that is in no feed of the store.
type Watermarks struct {
	// Crashes is the watermark of the register of requests that crashed upstreams, and Limits that
	// of the rate limits of upstreams.
	Crashes, Limits peer.Watermark
}

// empty reports whether there is nothing to pull.
func (m Watermarks) empty() bool { return m.Crashes.Position == 0 && m.Limits.Position == 0 }

// GossipedState is the gossip state of a router beyond the requester's watermarks.
type GossipedState struct {
	Marks   Watermarks
	Crashes []quarantine.Crash
	Limits  []relay.NamedLimit
}

// Hearsay returns the changes after a watermark in the register of requests that crashed upstreams,
// and the upstreams that limit their request rate.
func (a *API) Hearsay(since Watermarks, reply *GossipedState) error {
	now := clock.Now()
	reply.Marks = a.r.watermarks()
	a.r.opts.Relay.WithCrashes(func(g *quarantine.Register) { reply.Crashes = g.ChangedSince(now, since.Crashes) })
	if since.Limits != reply.Marks.Limits {
		reply.Limits = a.r.opts.Relay.Limits(now)
	}
	return nil
}

// watermarks returns the watermarks of this router.
func (r *Router) watermarks() Watermarks {
	m := Watermarks{Limits: r.opts.Relay.LimitWatermark()}
	r.opts.Relay.WithCrashes(func(g *quarantine.Register) { m.Crashes = g.Watermark() })
	return m
}

// pullIfAhead compares a router's watermarks with the merged ones, and schedules a pull if it is
// ahead. A pull is a separate message that keeps gossip messages short; usually there is nothing to
// pull.
func (r *Router) pullIfAhead(address string, theirs Watermarks) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if address == "" || theirs.empty() || r.mergedMarks[address] == theirs {
		return
	}
	select {
	case r.ahead <- address:
	default: // the next gossip message triggers it again
	}
}

// runPulls pulls from routers that are ahead, one at a time, until ctx ends.
func (r *Router) runPulls(ctx context.Context) {
	for {
		select {
		case address := <-r.ahead:
			r.pullFrom(ctx, address)
		case <-ctx.Done():
			return
		}
	}
}

// pullFrom pulls and merges the gossip state of a router.
func (r *Router) pullFrom(ctx context.Context, address string) {
	r.mu.Lock()
	since := r.mergedMarks[address]
	r.mu.Unlock()
	cctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	asked := clock.Now()
	var h GossipedState
	if err := r.opts.Pool.Call(cctx, address, "Router.Hearsay", since, &h); err != nil {
		r.opts.Logger.Warn().Str("from", address).Err(err).Msg("gossip-pull-failed")
		return
	}
	r.opts.Relay.MergeLimits(asked, h.Limits)
	r.mergeCrashes(address, h.Crashes)
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.mergedMarks) >= maxWatermarks {
		clear(r.mergedMarks)
	}
	r.mergedMarks[address] = h.Marks
}

// mergeCrashes merges crashes of upstreams reported by another router, and notifies the neighbours
// if any was new.
func (r *Router) mergeCrashes(from string, crashes []quarantine.Crash) {
	now, added := clock.Now(), 0
	r.opts.Relay.WithCrashes(func(g *quarantine.Register) {
		for _, c := range crashes {
			if g.Add(now, c) {
				added++
			}
		}
	})
	if added > 0 {
		r.opts.Logger.Info().Str("from", from).Int("told", len(crashes)).Int("news", added).Int("refused", r.opts.Relay.RefusedCount(now)).Msg("crashes-told")
		r.triggerGossip()
	}
}
