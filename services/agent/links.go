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

// link is what the agent knows from one router.
type link struct {
	reply   membership.Reply
	at      time.Time
	echo    uint64
	pulling bool
	busy    bool
	// leaving says that the router is about to stop.
	leaving bool
	// failed is the time since which calls have failed, or zero; tried is the time of the latest.
	failed, tried time.Time
	// until is the time up to which an address heard of is called.
	until time.Time
}

// healthy reports whether the router can serve as a home.
func (k *link) healthy(now time.Time, i membership.Interval) bool {
	return !k.leaving && (k.failed.IsZero() || now.Sub(k.failed) < i.Beat())
}

// links beats to the agent's home routers and keeps what they reply. The other routers hear of the
// agent from them. It implements once.Directory and once.Peers.
type links struct {
	a        *Agent
	interval membership.Interval
	seeds    map[string]bool
	wake     chan struct{}

	mu      sync.Mutex
	routers map[string]*link
	first   time.Time
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
	// routerFor is how long a router heard of is called without an answer.
	routerFor = 10 * time.Second
	// joinBeats is the number of heartbeats after the first reply after which the list of members is
	// taken as complete.
	joinBeats = 5
)

func (l *links) nudge() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

func (l *links) run(ctx context.Context) {
	ticker := time.NewTicker(l.interval.Beat())
	defer ticker.Stop()
	var w sync.WaitGroup
	for {
		for _, address := range l.due(clock.Now()) {
			w.Go(func() { l.beat(ctx, address) })
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

// homes is the number of routers that an agent beats to.
const homes = 2

// probeEvery is the time between two calls of a router that is no home.
const probeEvery = 5 * time.Second

// due returns the routers to beat to now: the homes, and now and then one that has failed. Addresses
// that were not heard of for long are dropped.
func (l *links) due(now time.Time) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.seq++
	var out []string
	for i, address := range l.ranked(now) {
		k := l.routers[address]
		home := i < homes || l.first.IsZero()
		probe := !k.healthy(now, l.interval) && now.Sub(k.tried) > probeEvery
		if k.busy || (!home && !probe) {
			continue
		}
		k.busy, k.tried = true, now
		out = append(out, address)
	}
	return out
}

// ranked returns the known routers, the best homes first: the healthy ones by rendezvous score, so
// that agents spread over the routers. The caller holds the lock.
func (l *links) ranked(now time.Time) []string {
	var all []string
	for address, k := range l.routers {
		if !l.seeds[address] && now.After(k.until) {
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

func (l *links) beat(ctx context.Context, address string) {
	b := l.message(clock.Now(), address)
	cctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var r membership.Reply
	err := l.a.pool.Call(cctx, address, "Router.Beat", b, &r)
	now := clock.Now()
	l.mu.Lock()
	k, ok := l.routers[address]
	if err != nil || !ok {
		if ok {
			k.fail(now)
		}
		l.mu.Unlock()
		return
	}
	k.busy, k.failed = false, time.Time{}
	l.take(now, k, r)
	leave := false
	for _, f := range l.fresh(now) {
		leave = leave || f.Leave
	}
	pull := r.Revision > l.a.Config().Revision && !k.pulling
	k.pulling = k.pulling || pull
	l.mu.Unlock()
	l.a.ring.Clock.Observe(now, r.Stamp)
	l.a.Asked(now, leave)
	if pull {
		l.pull(ctx, address, k)
	}
}

// fail notes a call without an answer.
func (k *link) fail(now time.Time) {
	k.busy = false
	if k.failed.IsZero() {
		k.failed = now
	}
}

// take keeps a router's reply. The caller holds the lock.
func (l *links) take(now time.Time, k *link, r membership.Reply) {
	if l.first.IsZero() {
		l.first = now
	}
	if r.Routers == nil && r.Lists == k.reply.Lists {
		r.Routers, r.Members = k.reply.Routers, k.reply.Members
	}
	k.reply, k.at, k.echo, k.until = r, now, r.Nonce, now.Add(routerFor)
	for _, i := range r.Routers {
		other, ok := l.routers[i.RPC]
		if !ok {
			other = &link{}
			l.routers[i.RPC] = other
		}
		other.until = now.Add(routerFor)
		other.leaving = i.State == membership.RouterLeaving
	}
}

func (l *links) message(now time.Time, address string) membership.Beat {
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

// pull fetches a higher revision from a router.
func (l *links) pull(ctx context.Context, address string, k *link) {
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

// fresh returns the latest replies of routers that answer. The caller holds the lock.
func (l *links) fresh(now time.Time) []membership.Reply {
	var out []membership.Reply
	for _, k := range l.routers {
		if !k.at.IsZero() && now.Sub(k.at) <= l.interval.Suspect() {
			out = append(out, k.reply)
		}
	}
	return out
}
