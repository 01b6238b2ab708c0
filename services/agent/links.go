// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package agent

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"fawnwinch.org/fawnwinch/modules/clock"
	"fawnwinch.org/fawnwinch/services/configlog"
	"fawnwinch.org/fawnwinch/services/directory"
	"fawnwinch.org/fawnwinch/services/membership"

	"github.com/cespare/xxhash/v2"
)

// link is the state of the agent's connection to one router.
type link struct {
	reply   membership.Reply
	at      time.Time
	echo    uint64
	pulling bool
	// busy reports whether a heartbeat to the router is in flight.
	busy bool
	// leaving reports whether the router is leaving.
	leaving bool
	// failingSince is the time since which calls have failed, or zero; lastTried is the time of
	// the latest call.
	failingSince, lastTried time.Time
	// expiresAt is the time until which a learned address is called.
	expiresAt time.Time
}

// healthy reports whether the router can serve as a home router.
func (k *link) healthy(now time.Time, i membership.Interval) bool {
	return !k.leaving && (k.failingSince.IsZero() || now.Sub(k.failingSince) < i.Heartbeat())
}

// links sends heartbeats to the agent's home routers and keeps their replies. The other routers
// learn of the agent by gossip from the home routers. It implements once.Directory and once.Peers.
type links struct {
	a        *Agent
	interval membership.Interval
	seeds    map[string]bool
	wake     chan struct{}

	mu      sync.Mutex
	routers map[string]*link
	// first is the time of the first reply of any router; zero before.
	first time.Time
	// seq numbers the rounds of heartbeats.
	seq uint64
}

func newLinks(a *Agent, seeds []string) *links {
	l := &links{a: a, interval: membership.Interval(a.set.Process.Heartbeat), seeds: map[string]bool{}, routers: map[string]*link{}, wake: make(chan struct{}, 1)}
	for _, s := range seeds {
		l.seeds[s] = true
		l.routers[s] = &link{}
	}
	return l
}

const (
	// callTimeout bounds a control call.
	callTimeout = time.Second
	// routerTTL is how long a learned router address is called without an answer.
	routerTTL = 10 * time.Second
	// membersCompleteBeats is the number of heartbeat intervals after the first reply after which the
	// list of members counts as complete.
	membersCompleteBeats = 5
)

func (l *links) wakeUp() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

func (l *links) run(ctx context.Context) {
	ticker := time.NewTicker(l.interval.Heartbeat())
	defer ticker.Stop()
	var w sync.WaitGroup
	for {
		for _, address := range l.due(clock.Now()) {
			w.Go(func() { l.sendBeat(ctx, address) })
		}
		select {
		case <-ctx.Done():
			w.Wait()
			return
		case <-l.wake:
		case <-ticker.C:
		}
	}
}

// homeRouters is the number of home routers of an agent.
const homeRouters = 2

// probeInterval is the time between two probes of an unhealthy router that is not a home router.
const probeInterval = 5 * time.Second

// due returns the routers to send a heartbeat to now: the home routers, and every probeInterval
// each unhealthy one. Until the first reply it returns all routers. Expired addresses are removed.
func (l *links) due(now time.Time) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.seq++
	var out []string
	for i, address := range l.byPreference(now) {
		k := l.routers[address]
		home := i < homeRouters || l.first.IsZero()
		probe := !k.healthy(now, l.interval) && now.Sub(k.lastTried) > probeInterval
		if k.busy || (!home && !probe) {
			continue
		}
		k.busy, k.lastTried = true, now
		out = append(out, address)
	}
	return out
}

// byPreference returns the known routers in order of preference as home routers: healthy ones
// first, then by rendezvous hashing, so that the agents are spread over the routers. The caller
// holds the lock.
func (l *links) byPreference(now time.Time) []string {
	var all []string
	for address, k := range l.routers {
		if !l.seeds[address] && now.After(k.expiresAt) {
			delete(l.routers, address)
			continue
		}
		all = append(all, address)
	}
	score := func(address string) uint64 { return xxhash.Sum64String(string(l.a.self.Upstream) + " " + address) }
	slices.SortFunc(all, func(a, b string) int {
		if x, y := l.routers[a].healthy(now, l.interval), l.routers[b].healthy(now, l.interval); x != y {
			if x {
				return -1
			}
			return 1
		}
		return cmp.Compare(score(b), score(a))
	})
	return all
}

func (l *links) sendBeat(ctx context.Context, address string) {
	b := l.newBeat(clock.Now(), address)
	cctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var r membership.Reply
	err := l.a.pool.Call(cctx, address, "Router.Beat", b, &r)
	now := clock.Now()
	l.mu.Lock()
	k, ok := l.routers[address]
	if err != nil || !ok {
		if ok {
			k.recordFailure(now)
		}
		l.mu.Unlock()
		return
	}
	k.busy, k.failingSince = false, time.Time{}
	l.storeReply(now, k, r)
	leave := false
	for _, f := range l.recentReplies(now) {
		leave = leave || f.Leave
	}
	pull := r.Revision > l.a.Config().Revision && !k.pulling
	k.pulling = k.pulling || pull
	l.mu.Unlock()
	l.a.ring.Clock.Observe(now, r.Stamp)
	l.a.ApplyLeaveRequest(now, leave)
	if pull {
		l.pullConfig(ctx, address, k)
	}
}

// recordFailure records a call without an answer.
func (k *link) recordFailure(now time.Time) {
	k.busy = false
	if k.failingSince.IsZero() {
		k.failingSince = now
	}
}

// storeReply stores a router's reply. The caller holds the lock.
func (l *links) storeReply(now time.Time, k *link, r membership.Reply) {
	if l.first.IsZero() {
		l.first = now
	}
	if r.Routers == nil && r.Lists == k.reply.Lists {
		r.Routers, r.Members = k.reply.Routers, k.reply.Members
	}
	k.reply, k.at, k.echo, k.expiresAt = r, now, r.Nonce, now.Add(routerTTL)
	for _, i := range r.Routers {
		other, ok := l.routers[i.RPC]
		if !ok {
			other = &link{}
			l.routers[i.RPC] = other
		}
		other.expiresAt = now.Add(routerTTL)
		other.leaving = i.State == membership.RouterLeaving
	}
}

func (l *links) newBeat(now time.Time, address string) membership.Beat {
	a := l.a
	run, wait := a.gate.Counts()
	load := a.load.Load()
	b := membership.Beat{
		Upstream: a.self.Upstream, Incarnation: a.self.Incarnation, Service: a.set.Upstream.Service,
		DataCentre: a.set.Process.DataCentre, RPC: a.self.RPC, HTTP: a.address, Engine: a.set.Upstream.Address, ChecksFence: a.set.Upstream.ChecksFence, State: a.State(),
		Revision: a.Config().Revision, Stamp: a.ring.Clock.Now(now),
		Load: membership.Load{InFlight: run, Queued: wait, Concurrency: a.set.Upstream.Concurrency},
	}
	load.fill(&b.Load)
	if a.once != nil {
		b.Owned = a.once.Owned()
	}
	l.mu.Lock()
	b.Seq = l.seq
	defer l.mu.Unlock()
	k, ok := l.routers[address]
	if !ok {
		return b
	}
	b.Echo, b.Known = k.echo, k.reply.Lists
	if k.reply.Have == b.Fingerprint() {
		return b.Shorten()
	}
	return b
}

// pullConfig fetches a higher revision from a router.
func (l *links) pullConfig(ctx context.Context, address string, k *link) {
	cctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var p configlog.PeerState
	err := l.a.pool.Call(cctx, address, "Router.Config", directory.Nothing{}, &p)
	l.mu.Lock()
	k.pulling = false
	l.mu.Unlock()
	if err == nil {
		l.a.setConfig(clock.Now(), p.State)
	}
}

// recentReplies returns the latest replies of the routers that have answered within
// Interval.SuspectAfter. The caller holds the lock.
func (l *links) recentReplies(now time.Time) []membership.Reply {
	var out []membership.Reply
	for _, k := range l.routers {
		if !k.at.IsZero() && now.Sub(k.at) <= l.interval.SuspectAfter() {
			out = append(out, k.reply)
		}
	}
	return out
}
