// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package entry

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"time"

	"fawnwinch.org/fawnwinch/models/vm"
	"fawnwinch.org/fawnwinch/modules/clock"
	"fawnwinch.org/fawnwinch/modules/usage"
	"fawnwinch.org/fawnwinch/services/knowledge"
	"fawnwinch.org/fawnwinch/services/peer"
)

const (
	// gossipInterval is the time between two gossip exchanges with a neighbour.
	gossipInterval = 400 * time.Millisecond
	// discoveryInterval is the same while no other router is in contact: a router that starts knows
	// only the addresses of the seeds, which may be starting too.
	discoveryInterval = 100 * time.Millisecond
	// minGossipGap is the minimum time between two gossip rounds that are triggered by updates, so
	// that updates in quick succession are batched.
	minGossipGap = 50 * time.Millisecond
	// gossipTimeout bounds a gossip exchange.
	gossipTimeout = 350 * time.Millisecond
)

// runGossip runs gossip rounds periodically, and as soon as there are updates to send.
func (r *Router) runGossip(ctx context.Context) {
	var w sync.WaitGroup
	defer w.Wait()
	for ctx.Err() == nil {
		begun := clock.Now()
		r.startRound(ctx, &w)
		r.opts.Relay.Sweep(begun)
		r.ledger.Sweep(begun)
		r.noteCoverage(begun)
		r.waitForRound(ctx, begun)
	}
}

// waitForRound waits until the next gossip round is due.
func (r *Router) waitForRound(ctx context.Context, begun time.Time) {
	r.mu.Lock()
	pause := gossipInterval
	if r.table.NoContact(begun) {
		pause = discoveryInterval
	}
	r.mu.Unlock()
	due := time.NewTimer(pause)
	defer due.Stop()
	select {
	case <-r.gossipDue:
	case <-due.C:
		return
	case <-ctx.Done():
		return
	}
	gap := time.NewTimer(minGossipGap - clock.Since(begun))
	defer gap.Stop()
	select {
	case <-gap.C:
	case <-ctx.Done():
	}
}

// triggerGossip triggers a gossip round because of an update.
func (r *Router) triggerGossip() {
	select {
	case r.gossipDue <- struct{}{}:
	default: // a round is already pending
	}
}

// startRound starts a gossip round with the neighbours. A router without contact to others also
// contacts the seeds and the registered routers.
func (r *Router) startRound(ctx context.Context, w *sync.WaitGroup) {
	now := clock.Now()
	r.mu.Lock()
	r.updateSelf(now)
	r.table.Sweep(now)
	targets := r.table.Targets(now, rand.IntN)
	targets = append(targets, r.discoveryTargets(r.table.NoContact(now))...)
	known, ok := r.knownRouters(now)
	testers, self := r.eligibleRouters(now), r.table.Self().Name
	r.mu.Unlock()
	r.opts.Relay.SetTesters(self, testers)
	if ok {
		r.opts.Relay.SetKnownRouters(now, known)
	}
	serving := r.servingRouters(now)
	r.noteServing(now, serving)
	r.opts.Relay.SetRouters(max(1, len(routersForAll(serving.routers))))
	r.opts.Relay.SetOthers(serving.others)
	for _, to := range targets {
		if to.Address != r.opts.Self.Address && r.beginExchange(to.Address) {
			w.Go(func() {
				defer r.endExchange(to.Address)
				r.exchange(ctx, to)
			})
		}
	}
}

// knownRouters returns the number of routers, this one included, those that are silent or leave too.
// It returns false if the number is not known: this router is in contact with none of the others, or
// has not read yet whether there are others. The caller holds the lock.
func (r *Router) knownRouters(now time.Time) (int, bool) {
	others := max(r.table.Count(vm.RoleRouter), len(r.registered))
	if others == 0 {
		return 1, r.registryRead
	}
	return others + 1, !r.table.NoContact(now)
}

// updateSelf updates the information that this process publishes about itself. The caller holds the
// lock.
func (r *Router) updateSelf(now time.Time) {
	self := r.table.Self()
	self.StoreLost = r.catalogs.failing() || r.upstreams.failing()
	self.Busy = r.busy(now, self)
	r.table.UpdateSelf(now, self)
}

// busy reports whether this process uses a large fraction of its processor time while it serves
// callers. The caller holds the lock.
func (r *Router) busy(now time.Time, self peer.Info) bool {
	used, err := usage.CPUTime()
	if err != nil || self.Cores <= 0 {
		return false // without measurements the process is not considered busy
	}
	return isBusy(r.meter.Observe(now, used)/self.Cores, self.Busy, now.Sub(r.opts.Relay.LastRequest()))
}

// isBusy reports whether a router that uses a fraction of its processor time is busy, given whether
// it was before and the time since its latest request. One without requests is not: others need not
// be listed beside it, and when all routers start, each would publish that it is busy, and a moment
// later that it is not.
func isBusy(fraction float64, before bool, idle time.Duration) bool {
	if idle > busyWithin {
		return false
	}
	return fraction > busyAbove || before && fraction > idleBelow
}

// maxDiscoveryTargets bounds the registered routers that are contacted in a round although no
// gossip mentioned them.
const maxDiscoveryTargets = 4

// discoveryTargets returns some registered routers that no gossip mentioned. A router without
// contact to others contacts all registered routers, a few per round, and the seeds. The
// caller holds the lock.
func (r *Router) discoveryTargets(alone bool) []peer.Target {
	if alone && len(r.uncontacted) == 0 {
		r.uncontacted = slices.Clone(r.registered)
	}
	var out []peer.Target
	n := min(maxDiscoveryTargets, len(r.uncontacted))
	for _, address := range r.uncontacted[:n] {
		out = append(out, peer.Target{Address: address})
	}
	r.uncontacted = r.uncontacted[n:]
	if alone {
		for _, address := range r.opts.Seeds {
			out = append(out, peer.Target{Address: address})
		}
	}
	return out
}

// beginExchange records the start of an exchange with an address, unless one is in flight: a router
// that does not answer has at most one exchange at a time.
func (r *Router) beginExchange(address string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.inFlight[address] {
		return false
	}
	r.inFlight[address] = true
	return true
}

func (r *Router) endExchange(address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.inFlight, address)
}

func (r *Router) exchange(ctx context.Context, to peer.Target) {
	cctx, cancel := context.WithTimeout(ctx, gossipTimeout)
	defer cancel()
	sent := clock.Now()
	var reply GossipExchange
	if err := r.opts.Pool.Call(cctx, to.Address, "Router.Greet", r.gossipFor(sent, to.Name), &reply); err != nil {
		r.noteNoReply(to, err)
		return
	}
	r.receive(clock.Now(), reply)
	r.catalogs.applyReply(sent, to.Address, reply.Catalogs)
	r.upstreams.applyReply(sent, to.Address, reply.Upstreams)
	r.pullIfAhead(to.Address, reply.Marks)
}

// noteNoReply records that a router has not answered.
func (r *Router) noteNoReply(to peer.Target, err error) {
	r.opts.Logger.Debug().Str("address", to.Address).Err(err).Msg("router-silent")
	if errors.Is(err, syscall.ECONNREFUSED) {
		r.updateTable(func(now time.Time) { r.table.ConnectionRefused(now, to.Name) })
	}
}

// gossipFor returns the gossip message for a router. The name is empty if only its address is
// known.
func (r *Router) gossipFor(now time.Time, to string) GossipExchange {
	var h GossipExchange
	r.opts.Relay.WithState(func(s *knowledge.State) {
		h.Catalogs, h.Upstreams = catalogProgress(now, s), progressOf(now, s.Upstreams())
	})
	h.Marks = r.watermarks()
	r.mu.Lock()
	defer r.mu.Unlock()
	h.Greeting = r.table.GossipFor(to)
	return h
}

// receive merges a gossip message and returns the sender's address, or "" if it is not known yet.
func (r *Router) receive(now time.Time, h GossipExchange) string {
	r.updateTable(func(time.Time) { r.table.Receive(now, h.Greeting) })
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.table.Address(h.Greeting.From)
}

// updateTable changes the table of routers, and notifies the neighbours if that was an urgent update.
func (r *Router) updateTable(change func(now time.Time)) {
	r.mu.Lock()
	before := r.table.UrgentPosition()
	change(clock.Now())
	changed := r.table.UrgentPosition() != before
	r.mu.Unlock()
	if changed {
		r.triggerGossip()
	}
}
