// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package entry

import (
	"context"
	"time"

	"fawnwinch.org/fawnwinch/modules/clock"
	"fawnwinch.org/fawnwinch/services/peer"
)

// refresh is a router that has sent a message with fresher state than that of this router.
type refresh struct {
	from peer.Target
	// received is when the message was received, and catalogs and upstreams are its read positions.
	received            time.Time
	catalogs, upstreams FeedProgress
}

// spreadsFreshness reports whether gains in freshness are passed on at once. Where all routers are
// neighbours, the periodic exchange with the reader is enough.
func (r *Router) spreadsFreshness() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.table.Meshed(clock.Now())
}

// refreshFrom schedules an exchange with the sender of a message if its state is much fresher.
func (r *Router) refreshFrom(now time.Time, from peer.Target, h GossipExchange) {
	f := refresh{from: from, received: now, catalogs: h.Catalogs, upstreams: h.Upstreams}
	if from.Address == "" || !r.staler(now, f) {
		return
	}
	select {
	case r.refreshes <- f:
	default: // another one is already pending
	}
}

// staler reports whether the state of this router is much older than the one in a message.
func (r *Router) staler(now time.Time, f refresh) bool {
	since := now.Sub(f.received)
	f.catalogs.Age += since
	f.upstreams.Age += since
	return r.catalogs.staler(now, f.catalogs) || r.upstreams.staler(now, f.upstreams)
}

// runRefreshes exchanges gossip with routers that have fresher state, one at a time, until ctx ends.
func (r *Router) runRefreshes(ctx context.Context) {
	for {
		select {
		case f := <-r.refreshes:
			if r.staler(clock.Now(), f) && r.beginExchange(f.from.Address) {
				r.exchange(ctx, f.from)
				r.endExchange(f.from.Address)
			}
		case <-ctx.Done():
			return
		}
	}
}
