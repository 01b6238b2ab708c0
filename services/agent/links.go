// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package agent

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"fawnwinch.org/fawnwinch/models/request"
	"fawnwinch.org/fawnwinch/models/upstream"
	"fawnwinch.org/fawnwinch/services/configlog"
	"fawnwinch.org/fawnwinch/services/directory"
	"fawnwinch.org/fawnwinch/services/membership"
	"fawnwinch.org/fawnwinch/services/once"

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
func (k *link) healthy(now time.Time) bool {
	return !k.leaving && (k.failed.IsZero() || now.Sub(k.failed) < membership.BeatInterval)
}

// links beats to the agent's home routers and keeps what they reply. The other routers hear of the
// agent from them. It implements once.Directory and once.Peers.
type links struct {
	a     *Agent
	seeds map[string]bool
	wake  chan struct{}

	mu      sync.Mutex
	routers map[string]*link
	first   time.Time
	// seq numbers the rounds of heartbeats.
	seq uint64
}

func newLinks(a *Agent, seeds []string) *links {
	l := &links{a: a, seeds: map[string]bool{}, routers: map[string]*link{}, wake: make(chan struct{}, 1)}
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
	// joinTime is how long after the first reply the list of members is taken as complete.
	joinTime = 5 * membership.BeatInterval
)

func (l *links) nudge() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

func (l *links) run(ctx context.Context) {
	ticker := time.NewTicker(membership.BeatInterval)
	defer ticker.Stop()
	var w sync.WaitGroup
	for {
		for _, address := range l.due(time.Now()) {
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
		probe := !k.healthy(now) && now.Sub(k.tried) > probeEvery
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
		if x, y := l.routers[a].healthy(now), l.routers[b].healthy(now); x != y {
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
	b := l.message(time.Now(), address)
	cctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var r membership.Reply
	err := l.a.pool.Call(cctx, address, "Router.Beat", b, &r)
	now := time.Now()
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
		l.a.setConfig(time.Now(), p.State)
	}
}

// fresh returns the latest replies of routers that answer. The caller holds the lock.
func (l *links) fresh(now time.Time) []membership.Reply {
	var out []membership.Reply
	for _, k := range l.routers {
		if !k.at.IsZero() && now.Sub(k.at) <= membership.SuspectAfter {
			out = append(out, k.reply)
		}
	}
	return out
}

// Members returns the agents of the service. An agent is suspect only if every router that answers says so.
func (l *links) Members(now time.Time) ([]once.Member, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	merged := map[once.Owner]once.Member{}
	for _, r := range l.fresh(now) {
		for _, m := range r.Members {
			old, ok := merged[m.Owner]
			member := once.Member{Owner: m.Owner, State: m.State, Suspect: m.Suspect}
			if ok {
				member.Suspect = member.Suspect && old.Suspect
				if old.State == upstream.StateLeaving {
					member.State = old.State
				}
			}
			merged[m.Owner] = member
		}
	}
	merged[l.a.self] = once.Member{Owner: l.a.self, State: l.a.State()}
	listed := l.a.listed()
	out := make([]once.Member, 0, len(merged))
	for _, m := range merged {
		if !slices.Contains(listed, m.Owner.Upstream) {
			// What the configuration does not list gets no slices, and hands over those it has.
			m.State = upstream.StateLeaving
		}
		out = append(out, m)
	}
	return out, !l.first.IsZero() && now.Sub(l.first) > joinTime
}

// Peer returns what the routers know of another agent of the service.
func (l *links) Peer(now time.Time, id upstream.ID) (membership.MemberInfo, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var best membership.MemberInfo
	found := false
	for _, r := range l.fresh(now) {
		for _, m := range r.Members {
			if m.Owner.Upstream == id && (!found || !m.Suspect) {
				best, found = m, true
			}
		}
	}
	return best, found
}

// othersReady reports whether another agent of the service can take slices over.
func (l *links) othersReady(now time.Time) bool {
	members, _ := l.Members(now)
	for _, m := range members {
		if m.Owner != l.a.self && m.State == upstream.StateReady && !m.Suspect {
			return true
		}
	}
	return false
}

// Handover asks the owner of a slice for its table.
func (l *links) Handover(ctx context.Context, owner once.Owner, s request.Slice) (once.Table, error) {
	cctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var t once.Table
	err := l.a.pool.Call(cctx, owner.RPC, "Agent.Handover", HandoverArgs{Owner: owner, Slice: s}, &t)
	return t, err
}

// Settle asks every known router for the keys of a slice that it sent without the log.
func (l *links) Settle(ctx context.Context, s request.Slice, epoch once.Epoch) ([]once.KeyID, bool) {
	l.mu.Lock()
	var addresses []string
	for address := range l.routers {
		addresses = append(addresses, address)
	}
	live := map[string]bool{}
	for _, r := range l.fresh(time.Now()) {
		for _, i := range r.Routers {
			live[i.Incarnation] = true
		}
	}
	l.mu.Unlock()
	args := directory.SettleArgs{
		Service: l.a.set.Upstream.Service, Slice: s, Epoch: epoch,
		OutageAfter: l.a.set.Once.OutageAfter, Lifetime: l.a.set.Once.Lifetime,
	}
	replies := make([]*directory.SettleReply, len(addresses))
	var w sync.WaitGroup
	for i, address := range addresses {
		w.Go(func() {
			cctx, cancel := context.WithTimeout(ctx, callTimeout)
			defer cancel()
			var r directory.SettleReply
			if err := l.a.pool.Call(cctx, address, "Router.Settle", args, &r); err == nil {
				replies[i] = &r
			}
		})
	}
	w.Wait()
	if l.a.set.Once.OutageAfter == 0 {
		return nil, true
	}
	return settled(replies, live)
}

// settled joins the routers' replies. They are complete if every router that is alive, or that may
// have sent keys without the log before it was lost, is among them.
func settled(replies []*directory.SettleReply, live map[string]bool) ([]once.KeyID, bool) {
	var keys []once.KeyID
	answered := map[string]bool{}
	needed := maps.Clone(live)
	for _, r := range replies {
		if r == nil {
			continue
		}
		answered[r.Incarnation] = true
		keys = append(keys, r.Keys...)
		for _, lost := range r.Lost {
			needed[lost.Incarnation] = true
		}
	}
	for incarnation := range needed {
		if !answered[incarnation] {
			return keys, false
		}
	}
	return keys, len(answered) > 0
}
