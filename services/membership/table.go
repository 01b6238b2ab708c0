// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package membership

import (
	"slices"
	"time"

	"fawnwinch.org/fawnwinch/models/request"
	"fawnwinch.org/fawnwinch/models/service"
	"fawnwinch.org/fawnwinch/models/upstream"
	"fawnwinch.org/fawnwinch/models/vm"
	"fawnwinch.org/fawnwinch/services/once"
)

// Entry is what a router knows about one upstream.
type Entry struct {
	Beat Beat
	// LastBeat is the time of the latest heartbeat that proved freshness.
	LastBeat time.Time
	// LoadAt is the time the load holds for.
	LoadAt time.Time
	// Suspect says that the agent is silent or has not yet proved freshness.
	Suspect bool
	// Leaving says that someone announced the end of the upstream.
	Leaving bool
}

type record struct {
	beat Beat
	// print is the fingerprint of beat.
	print    uint64
	first    time.Time
	lastBeat time.Time
	// proved is the latest time at which the agent proved to this router that it was awake.
	proved time.Time
	// loadAt is the time the load holds for.
	loadAt time.Time
	// gone is the latest time at which the agent could not be reached.
	gone time.Time
	// nonces holds the latest nonces given out, newest last.
	nonces []nonce
	// leaving is the time at which the end of this incarnation was first announced, or zero.
	leaving time.Time
}

// nonce is a number that an awake agent echoes.
type nonce struct {
	value uint64
	at    time.Time
}

// keptNonces is the number of nonces that may still be echoed: replies can get lost.
const keptNonces = 4

// Table is a router's view of the agents. It does no I/O and reads no clock.
type Table struct {
	interval Interval

	agents map[upstream.ID]*record
	vms    map[string]vm.State
	// told holds upstreams that other routers know to be leaving, until their time.
	told map[upstream.ID]time.Time
	// heard holds, for each other router's run, the agents it has told of and not called silent.
	heard  map[string]map[upstream.ID]upstream.Incarnation
	nonces uint64
}

// toldFor is how long a word of another router about a leaving upstream holds.
const toldFor = 5 * time.Second

// NewTable returns an empty table.
func NewTable(i Interval) *Table {
	return &Table{interval: i, agents: map[upstream.ID]*record{}, vms: map[string]vm.State{}, told: map[upstream.ID]time.Time{}, heard: map[string]map[upstream.ID]upstream.Incarnation{}}
}

// Beat takes in a heartbeat and returns the nonce that the next one must echo.
// A heartbeat of an earlier incarnation is not taken while a later one is alive.
func (t *Table) Beat(now time.Time, b Beat) uint64 {
	r, ok := t.agents[b.Upstream]
	if ok && b.Incarnation < r.beat.Incarnation && now.Sub(r.lastBeat) < t.interval.Suspect() {
		return 0
	}
	if !ok || r.beat.Incarnation != b.Incarnation {
		r = &record{first: now}
		t.agents[b.Upstream] = r
	}
	if r.proves(now, b.Echo, t.interval) {
		r.lastBeat, r.proved = now, now
	}
	if b.Brief {
		b = r.complete(b)
	}
	if b.Seq >= r.beat.Seq {
		r.take(now, b)
		r.loadAt = now
	}
	t.nonces++
	r.nonces = append(r.nonces, nonce{value: t.nonces, at: now})
	r.nonces = r.nonces[max(0, len(r.nonces)-keptNonces):]
	return t.nonces
}

// complete fills a brief heartbeat up with what the latest full one said.
func (r *record) complete(b Beat) Beat {
	full := r.beat
	full.Upstream, full.Incarnation, full.Service = b.Upstream, b.Incarnation, b.Service
	full.Seq, full.Load, full.Known, full.Echo, full.Stamp = b.Seq, b.Load, b.Known, b.Echo, b.Stamp
	return full
}

// Have returns the fingerprint of the latest full heartbeat of an agent, or 0.
func (t *Table) Have(id upstream.ID) uint64 {
	r, ok := t.agents[id]
	if !ok || r.beat.RPC == "" {
		return 0
	}
	return r.print
}

// take keeps what an agent says of itself.
func (r *record) take(now time.Time, b Beat) {
	r.beat, r.print = b, b.Fingerprint()
	switch {
	case b.State != upstream.StateLeaving:
		r.leaving = time.Time{}
	case r.leaving.IsZero():
		r.leaving = now
	}
}

// proves reports whether an echo shows that the agent was awake a moment ago.
func (r *record) proves(now time.Time, echo uint64, i Interval) bool {
	return slices.ContainsFunc(r.nonces, func(n nonce) bool {
		return n.value == echo && now.Sub(n.at) < i.Suspect()
	})
}

// VMs takes in the platform's list.
func (t *Table) VMs(list []vm.VM) {
	t.vms = make(map[string]vm.State, len(list))
	for _, v := range list {
		t.vms[v.RPC] = v.State
	}
}

// Told takes in another router's word about leaving upstreams.
func (t *Table) Told(now time.Time, ids []upstream.ID) {
	for _, id := range ids {
		t.told[id] = now.Add(toldFor)
	}
}

// Gone notes that the agent of an upstream cannot be reached: it is suspect until its next proof.
func (t *Table) Gone(now time.Time, id upstream.ID, inc upstream.Incarnation) {
	if r, ok := t.agents[id]; ok && r.beat.Incarnation == inc {
		r.gone = now
	}
}

// Entry returns what is known about an upstream.
func (t *Table) Entry(now time.Time, id upstream.ID) (Entry, bool) {
	r, ok := t.agents[id]
	if !ok {
		return Entry{}, false
	}
	e := Entry{Beat: r.beat, LastBeat: r.lastBeat, LoadAt: r.loadAt}
	e.Suspect = !r.lastBeat.After(r.gone) || now.Sub(r.lastBeat) > t.interval.Suspect()
	e.Leaving = !r.leaving.IsZero() || t.vms[r.beat.RPC] == vm.StateLeaving || now.Before(t.told[id])
	return e, true
}

// Leave reports whether the platform's list takes the VM of an agent away.
func (t *Table) Leave(rpc string) bool { return t.vms[rpc] == vm.StateLeaving }

// LeavingHere returns the upstreams whose end this router heard of at first hand.
func (t *Table) LeavingHere() []upstream.ID {
	var ids []upstream.ID
	for id, r := range t.agents {
		if !r.leaving.IsZero() || t.vms[r.beat.RPC] == vm.StateLeaving {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// Members returns the agents of a service, sorted by upstream.
func (t *Table) Members(now time.Time, s service.ID) []MemberInfo {
	var out []MemberInfo
	for id, r := range t.agents {
		if r.beat.Service != s {
			continue
		}
		e, _ := t.Entry(now, id)
		state := e.Beat.State
		if e.Leaving {
			state = upstream.StateLeaving
		}
		out = append(out, MemberInfo{
			Owner: once.Owner{Upstream: id, Incarnation: e.Beat.Incarnation, RPC: e.Beat.RPC},
			HTTP:  e.Beat.HTTP, Engine: e.Beat.Engine, ChecksFence: e.Beat.ChecksFence, DataCentre: e.Beat.DataCentre, State: state, Suspect: e.Suspect,
		})
	}
	slices.SortFunc(out, func(a, b MemberInfo) int {
		if a.Owner.Upstream < b.Owner.Upstream {
			return -1
		}
		return 1
	})
	return out
}

// Owner returns the upstream that holds the highest epoch of a slice among those that beat.
func (t *Table) Owner(now time.Time, s service.ID, sl request.Slice) (Entry, once.Epoch, bool) {
	var best Entry
	var high once.Epoch
	found := false
	for id, r := range t.agents {
		epoch, ok := r.beat.Owned[sl]
		if r.beat.Service != s || !ok || (found && epoch <= high) {
			continue
		}
		best, _ = t.Entry(now, id)
		high, found = epoch, true
	}
	return best, high, found
}

// All returns every known upstream.
func (t *Table) All(now time.Time) map[upstream.ID]Entry {
	out := make(map[upstream.ID]Entry, len(t.agents))
	for id := range t.agents {
		out[id], _ = t.Entry(now, id)
	}
	return out
}

// ForgetRouter drops what a run of a router has told.
func (t *Table) ForgetRouter(incarnation string) { delete(t.heard, incarnation) }

// Expire forgets agents that have been silent for long.
func (t *Table) Expire(now time.Time) {
	for id, r := range t.agents {
		if now.Sub(r.lastBeat) > ForgetAfter && now.Sub(r.first) > ForgetAfter {
			delete(t.agents, id)
		}
	}
	for id, until := range t.told {
		if !now.Before(until) {
			delete(t.told, id)
		}
	}
}
