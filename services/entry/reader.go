// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package entry

import (
	"slices"
	"time"

	"fawnwinch.org/fawnwinch/models/vm"
	"fawnwinch.org/fawnwinch/services/peer"
	"fawnwinch.org/fawnwinch/services/watch"
)

// isReader reports whether this router is the one that reads a feed for all routers.
func (r *Router) isReader(now time.Time, feed string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	self := r.table.Self()
	var routers []watch.Candidate
	if self.State != peer.StateLeaving {
		// A router that cannot reach the store keeps trying by itself, see watch.Times.
		routers = append(routers, r.candidate(now, self))
	}
	routers = append(routers, r.candidates(now)...)
	return watch.ReaderOf(feed, watch.Candidates(routers)) == self.Name
}

// candidates returns the other routers that may become the reader of a feed. The caller holds the
// lock.
func (r *Router) candidates(now time.Time) []watch.Candidate {
	var out []watch.Candidate
	for _, n := range r.table.Live(now, vm.RoleRouter) {
		if n.State != peer.StateLeaving && !n.StoreLost {
			out = append(out, r.candidate(now, n))
		}
	}
	return out
}

// candidate describes a router for the choice of a reader. The caller holds the lock.
func (r *Router) candidate(now time.Time, n peer.Info) watch.Candidate {
	return watch.Candidate{
		Name: n.Name, Ready: n.State == peer.StateReady, Unchanged: r.table.Unchanged(now, n.Name), Seed: slices.Contains(r.opts.Seeds, n.Address),
	}
}

// eligibleRouters returns the names of the running routers that are not leaving, including this one.
// The caller holds the lock.
func (r *Router) eligibleRouters(now time.Time) []string {
	var names []string
	if self := r.table.Self(); self.State != peer.StateLeaving {
		names = append(names, self.Name)
	}
	for _, n := range r.table.Live(now, vm.RoleRouter) {
		if n.State != peer.StateLeaving {
			names = append(names, n.Name)
		}
	}
	return names
}

// startWait returns the time until which this router waits for state from others before it reads the
// store for the first time: zero for a seed.
func (r *Router) startWait(now time.Time) time.Time {
	if r.isSeed() {
		return time.Time{}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return watch.StartWait(r.started, r.candidates(now))
}

// isSeed reports whether this router is a seed, or has no seeds.
func (r *Router) isSeed() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.opts.Seeds) == 0 || slices.Contains(r.opts.Seeds, r.opts.Self.Address)
}
