// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package directory

import (
	"context"
	"fmt"
	"sync"
	"time"

	"fawnwinch.org/fawnwinch/models/group"
	"fawnwinch.org/fawnwinch/models/request"
	"fawnwinch.org/fawnwinch/models/service"
	"fawnwinch.org/fawnwinch/modules/clock"
	"fawnwinch.org/fawnwinch/modules/timeline"
	"fawnwinch.org/fawnwinch/services/configlog"
	"fawnwinch.org/fawnwinch/services/membership"
	"fawnwinch.org/fawnwinch/services/once"
	"fawnwinch.org/fawnwinch/services/routing"
)

// callTimeout bounds a control call to another process.
const callTimeout = time.Second

// sendBeats sends a heartbeat to every other router and applies the replies.
func (d *Directory) sendBeats(ctx context.Context) {
	now := clock.Now()
	d.mu.Lock()
	addresses := d.routers.Addresses(now)
	b := d.routerBeat(now)
	d.floorsKnown = d.floorsKnown || len(addresses) == 0
	d.mu.Unlock()
	var w sync.WaitGroup
	for _, a := range addresses {
		w.Go(func() { d.sendBeat(ctx, a, b) })
	}
	w.Wait()
}

// routerBeat builds this router's heartbeat. The caller holds the lock.
func (d *Directory) routerBeat(now time.Time) membership.RouterBeat {
	peer := d.opts.Follower.Peer()
	contact := d.opts.Follower.LastContact()
	age := now.Sub(contact)
	if contact.IsZero() {
		age = now.Sub(d.started)
	}
	self := d.routers.Self()
	return membership.RouterBeat{
		Info: self, Revision: peer.State.Revision, Anchored: peer.Anchored, LogAge: age,
		Retired: self.State == membership.RouterLeaving && d.register.Empty(now),
		Leaving: d.table.LeavingHere(), Lost: d.routers.Lost(now, minConfirmedOutage, d.opts.Retention),
		Stamp: d.opts.Ring.Clock.Now(now),
	}
}

func (d *Directory) sendBeat(ctx context.Context, address string, b membership.RouterBeat) {
	cctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	d.mu.Lock()
	b.Agents = d.outbox.Message(clock.Now(), address, d.table)
	b.Known = d.knownListOf(address, clock.Now())
	d.mu.Unlock()
	var r membership.RouterReply
	if err := d.opts.Pool.Call(cctx, address, "Router.RouterBeat", b, &r); err != nil {
		d.mu.Lock()
		d.outbox.Forget(address)
		d.mu.Unlock()
		return
	}
	now := clock.Now()
	d.opts.Ring.Clock.Observe(now, r.Stamp)
	d.mu.Lock()
	if d.routers.Restarted(r.Info) {
		d.outbox.Forget(address)
	}
	if len(r.Routers) > 0 {
		d.peerLists[address] = routerList{fingerprint: r.Lists, at: now}
	}
	d.routers.AddAddresses(now, r.Routers)
	d.routers.ApplyBeat(now, membership.RouterBeat{Info: r.Info, Revision: r.Revision, Anchored: r.Anchored, LogAge: r.LogAge})
	needFloors := !d.floorsKnown
	d.mu.Unlock()
	if needFloors {
		d.pullFloors(ctx, address)
	}
	mine := d.opts.Follower.Peer()
	if r.Revision > mine.State.Revision || (r.Anchored && !mine.Anchored) || !d.opts.Follower.Ready(0) {
		d.pullConfig(ctx, address)
	}
}

// routerList identifies the latest list of routers received from a peer.
type routerList struct {
	fingerprint uint64
	at          time.Time
}

// peerListMaxAge is the time after which a list of routers is requested again, because learned
// addresses expire.
const peerListMaxAge = 4 * time.Second

// knownListOf returns the fingerprint of the list that a router need not send again, or 0. The
// caller holds the lock.
func (d *Directory) knownListOf(address string, now time.Time) uint64 {
	l := d.peerLists[address]
	if now.Sub(l.at) > peerListMaxAge {
		return 0
	}
	return l.fingerprint
}

func (d *Directory) pullConfig(ctx context.Context, address string) {
	cctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var p configlog.PeerState
	if err := d.opts.Pool.Call(cctx, address, "Router.Config", Nothing{}, &p); err != nil {
		return
	}
	d.opts.Follower.Adopt(clock.Now(), address, p)
}

func (d *Directory) pullFloors(ctx context.Context, address string) {
	cctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var f map[once.SliceKey]once.Epoch
	if err := d.opts.Pool.Call(cctx, address, "Router.Floors", Nothing{}, &f); err != nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for k, e := range f {
		d.register.RaiseFloor(k, e)
	}
	d.floorsKnown = true
}

// Nothing is the argument of calls without parameters.
type Nothing struct{ Unused bool }

// API is the rpc interface of a router.
type API struct{ d *Directory }

// NewAPI returns the rpc interface of a directory.
func NewAPI(d *Directory) *API { return &API{d: d} }

// Beat applies an agent's heartbeat.
func (a *API) Beat(b membership.Beat, r *membership.Reply) error {
	*r = a.d.agentBeat(clock.Now(), b)
	return nil
}

func (d *Directory) agentBeat(now time.Time, b membership.Beat) membership.Reply {
	d.opts.Ring.Clock.Observe(now, b.Stamp)
	state := d.opts.Follower.State()
	d.mu.Lock()
	defer d.mu.Unlock()
	nonce := d.table.ApplyBeat(now, b)
	for sl, e := range b.Owned {
		d.register.RaiseFloor(once.SliceKey{Service: b.Service, Slice: sl}, e)
	}
	d.tracker.Report(b.Upstream, loadReport(now, b.Load))
	closed := false
	if s := state.Intent.Service(b.Service); s != nil {
		for _, u := range s.Closed {
			closed = closed || u == b.Upstream
		}
	}
	known, _ := d.table.Entry(now, b.Upstream)
	reply := membership.Reply{
		Nonce: nonce, Revision: state.Revision, Leave: closed || d.table.ListedLeaving(known.Beat.RPC),
		Have: d.table.FullFingerprint(b.Upstream), Stamp: d.opts.Ring.Clock.Now(now),
	}
	l := d.listsFor(now, b.Service)
	if reply.Lists = l.fingerprint; reply.Lists != b.Known {
		reply.Routers, reply.Members = l.routers, l.members
	}
	return reply
}

// agentLists is the cluster view that is sent to the agents of one service.
type agentLists struct {
	at          time.Time
	fingerprint uint64
	routers     []membership.RouterInfo
	members     []membership.MemberInfo
}

// listsFor returns the lists for a service. They are built at most once per agentListsMaxAge, not
// for every heartbeat. The caller holds the lock.
func (d *Directory) listsFor(now time.Time, s service.ID) *agentLists {
	if l, ok := d.lists[s]; ok && now.Sub(l.at) < agentListsMaxAge {
		return l
	}
	l := &agentLists{at: now, routers: d.routers.Live(now), members: d.table.Members(now, s)}
	l.fingerprint = membership.Fingerprint(l.routers, l.members)
	d.lists[s] = l
	return l
}

// agentListsMaxAge is the maximum age of the lists that are sent to agents.
const agentListsMaxAge = 100 * time.Millisecond

func loadReport(now time.Time, l membership.Load) routing.Report {
	return routing.Report{
		At: now, Work: l.InFlight + l.Queued, Concurrency: l.Concurrency,
		Step: group.Step(l.Step), StepTime: time.Duration(l.StepMicros) * time.Microsecond,
	}
}

// RouterBeat applies another router's heartbeat.
func (a *API) RouterBeat(b membership.RouterBeat, r *membership.RouterReply) error {
	now := clock.Now()
	d := a.d
	d.opts.Ring.Clock.Observe(now, b.Stamp)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.routers.ApplyBeat(now, b)
	d.table.ApplyLeaving(now, b.Leaving)
	d.applyRelay(now, b.Info.Incarnation, b.Agents)
	mine := d.routerBeat(now)
	live := d.routers.Live(now)
	*r = membership.RouterReply{
		Info: mine.Info, Revision: mine.Revision, Anchored: mine.Anchored, LogAge: mine.LogAge,
		Lists: membership.Fingerprint(live, nil), Stamp: mine.Stamp,
	}
	if r.Lists != b.Known {
		r.Routers = live
	}
	return nil
}

// applyRelay merges another router's gossip about its agents. The caller holds the lock.
func (d *Directory) applyRelay(now time.Time, from string, m membership.Relay) {
	for _, id := range d.table.ApplyRelay(now, from, m) {
		e, ok := d.table.Entry(now, id)
		if !ok {
			continue
		}
		d.tracker.Report(id, loadReport(e.LoadAt, e.Beat.Load))
		for sl, epoch := range e.Beat.Owned {
			d.register.RaiseFloor(once.SliceKey{Service: e.Beat.Service, Slice: sl}, epoch)
		}
	}
}

// Config returns this router's configuration state.
func (a *API) Config(_ Nothing, p *configlog.PeerState) error {
	*p = a.d.opts.Follower.Peer()
	return nil
}

// Floors returns the lowest owner epoch of each slice that this router still sends to.
func (a *API) Floors(_ Nothing, f *map[once.SliceKey]once.Epoch) error {
	a.d.mu.Lock()
	defer a.d.mu.Unlock()
	*f = a.d.register.Floors()
	return nil
}

// SettleArgs requests the keys of a slice that a router sent without the log.
type SettleArgs struct {
	Service service.ID
	Slice   request.KeySlice
	Epoch   once.Epoch
	// OutageAfter is how long the log must be unreachable before owners run keys without their
	// journal.
	OutageAfter time.Duration
	Lifetime    time.Duration
}

// SettleReply lists those keys and the routers whose keys are unknown.
type SettleReply struct {
	Incarnation string
	Keys        []once.KeyID
	Lost        []membership.Lost
}

// Settle returns the keys of a slice that were sent without the log, and stops sending to owners of
// earlier epochs.
func (a *API) Settle(s SettleArgs, r *SettleReply) error {
	now := clock.Now()
	d := a.d
	d.mu.Lock()
	defer d.mu.Unlock()
	r.Incarnation = d.opts.Self.Incarnation
	r.Keys = d.register.FenceAndListKeys(now, once.SliceKey{Service: s.Service, Slice: s.Slice}, s.Epoch)
	r.Lost = d.routers.Lost(now, s.OutageAfter, s.Lifetime)
	return nil
}

// Timeline returns the events of this process.
func (a *API) Timeline(f timeline.Filter, out *[]timeline.Event) error {
	*out = a.d.opts.Ring.Events(f)
	return nil
}

// CollectEvents returns the events of all known processes, and the processes that did not answer.
func (d *Directory) CollectEvents(ctx context.Context, f timeline.Filter) ([]timeline.Event, []string) {
	now := clock.Now()
	d.mu.Lock()
	targets := map[string]string{}
	for _, a := range d.routers.Addresses(now) {
		targets[a] = "Router.Timeline"
	}
	for _, e := range d.table.All(now) {
		targets[e.Beat.RPC] = "Agent.Timeline"
	}
	d.mu.Unlock()
	var mu sync.Mutex
	lists := [][]timeline.Event{d.opts.Ring.Events(f)}
	var silent []string
	var w sync.WaitGroup
	for address, method := range targets {
		w.Go(func() {
			cctx, cancel := context.WithTimeout(ctx, callTimeout)
			defer cancel()
			var events []timeline.Event
			err := d.opts.Pool.Call(cctx, address, method, f, &events)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				silent = append(silent, fmt.Sprintf("%s (%v)", address, err))
				return
			}
			lists = append(lists, events)
		})
	}
	w.Wait()
	return timeline.Merge(lists...), silent
}
