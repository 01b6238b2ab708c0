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

// Entry is a router's view of one upstream.
type Entry struct {
	Beat Beat
	// LastBeat is the time of the latest heartbeat or gossip that proved the agent alive.
	LastBeat time.Time
	// LoadAt is the time at which the load was reported.
	LoadAt time.Time
	// Suspect reports whether the agent is silent, unreachable or not yet proved alive.
	Suspect bool
	// Leaving reports whether the agent, the platform's list or another router announced that the
	// upstream is leaving.
	Leaving bool
}

type record struct {
	beat Beat
	// fingerprint is the fingerprint of beat.
	fingerprint uint64
	firstSeen   time.Time
	lastBeat    time.Time
	// provedAt is the latest time at which the agent proved to this router that it was alive.
	provedAt time.Time
	// loadAt is the time at which the load was reported.
	loadAt time.Time
	// unreachableAt is the latest time at which the agent was found unreachable.
	unreachableAt time.Time
	// nonces holds the latest nonces sent to the agent, newest last.
	nonces []nonce
	// leavingSince is the time at which this incarnation first announced that it is leaving, or zero.
	leavingSince time.Time
}

// nonce is a number that the agent echoes in its next heartbeat as proof of liveness.
type nonce struct {
	value uint64
	at    time.Time
}

// keptNonces is the number of recent nonces that are accepted as an echo, since replies can get
// lost.
const keptNonces = 4

// Table is a router's view of the agents. It does no I/O and reads no clock.
type Table struct {
	interval Interval

	agents map[upstream.ID]*record
	vms    map[string]vm.State
	// reportedLeaving maps each upstream that other routers report as leaving to the expiry of that
	// report.
	reportedLeaving map[upstream.ID]time.Time
	// reportedBy maps each incarnation of another router to the agents that it has reported and not
	// listed as silent since.
	reportedBy map[string]map[upstream.ID]upstream.Incarnation
	nonces     uint64
}

// leavingReportTTL is how long another router's report of a leaving upstream is valid.
const leavingReportTTL = 5 * time.Second

// NewTable returns an empty table.
func NewTable(i Interval) *Table {
	return &Table{interval: i, agents: map[upstream.ID]*record{}, vms: map[string]vm.State{}, reportedLeaving: map[upstream.ID]time.Time{}, reportedBy: map[string]map[upstream.ID]upstream.Incarnation{}}
}

// ApplyBeat applies a heartbeat and returns the nonce that the next one must echo. A heartbeat of
// an earlier incarnation is ignored while a later one is alive.
func (t *Table) ApplyBeat(now time.Time, b Beat) uint64 {
	r, ok := t.agents[b.Upstream]
	if ok && b.Incarnation < r.beat.Incarnation && now.Sub(r.lastBeat) < t.interval.SuspectAfter() {
		return 0
	}
	if !ok || r.beat.Incarnation != b.Incarnation {
		r = &record{firstSeen: now}
		t.agents[b.Upstream] = r
	}
	if r.proves(now, b.Echo, t.interval) {
		r.lastBeat, r.provedAt = now, now
	}
	if b.Brief {
		b = r.complete(b)
	}
	if b.Seq >= r.beat.Seq {
		r.store(now, b)
		r.loadAt = now
	}
	t.nonces++
	r.nonces = append(r.nonces, nonce{value: t.nonces, at: now})
	r.nonces = r.nonces[max(0, len(r.nonces)-keptNonces):]
	return t.nonces
}

// complete fills in the fields that a brief heartbeat omits, from the latest full one.
func (r *record) complete(b Beat) Beat {
	full := r.beat
	full.Upstream, full.Incarnation, full.Service = b.Upstream, b.Incarnation, b.Service
	full.Seq, full.Load, full.Known, full.Echo, full.Stamp = b.Seq, b.Load, b.Known, b.Echo, b.Stamp
	return full
}

// FullFingerprint returns the fingerprint of the latest full heartbeat of an agent, or 0.
func (t *Table) FullFingerprint(id upstream.ID) uint64 {
	r, ok := t.agents[id]
	if !ok || r.beat.RPC == "" {
		return 0
	}
	return r.fingerprint
}

// store stores an agent's heartbeat.
func (r *record) store(now time.Time, b Beat) {
	r.beat, r.fingerprint = b, b.Fingerprint()
	switch {
	case b.State != upstream.StateLeaving:
		r.leavingSince = time.Time{}
	case r.leavingSince.IsZero():
		r.leavingSince = now
	}
}

// proves reports whether an echo matches a recent nonce, which shows that the agent is alive.
func (r *record) proves(now time.Time, echo uint64, i Interval) bool {
	return slices.ContainsFunc(r.nonces, func(n nonce) bool {
		return n.value == echo && now.Sub(n.at) < i.SuspectAfter()
	})
}

// SetVMs applies the platform's list.
func (t *Table) SetVMs(list []vm.VM) {
	t.vms = make(map[string]vm.State, len(list))
	for _, v := range list {
		t.vms[v.RPC] = v.State
	}
}

// ApplyLeaving applies another router's report of leaving upstreams.
func (t *Table) ApplyLeaving(now time.Time, ids []upstream.ID) {
	for _, id := range ids {
		t.reportedLeaving[id] = now.Add(leavingReportTTL)
	}
}

// MarkUnreachable records that the agent of an upstream is unreachable. It is suspect until its
// next proof of liveness.
func (t *Table) MarkUnreachable(now time.Time, id upstream.ID, inc upstream.Incarnation) {
	if r, ok := t.agents[id]; ok && r.beat.Incarnation == inc {
		r.unreachableAt = now
	}
}

// Entry returns this router's view of an upstream.
func (t *Table) Entry(now time.Time, id upstream.ID) (Entry, bool) {
	r, ok := t.agents[id]
	if !ok {
		return Entry{}, false
	}
	e := Entry{Beat: r.beat, LastBeat: r.lastBeat, LoadAt: r.loadAt}
	e.Suspect = !r.lastBeat.After(r.unreachableAt) || now.Sub(r.lastBeat) > t.interval.SuspectAfter()
	e.Leaving = !r.leavingSince.IsZero() || t.vms[r.beat.RPC] == vm.StateLeaving || now.Before(t.reportedLeaving[id])
	return e, true
}

// ListedLeaving reports whether the platform's list marks the VM of an agent as leaving.
func (t *Table) ListedLeaving(rpc string) bool { return t.vms[rpc] == vm.StateLeaving }

// LeavingHere returns the upstreams that are leaving by their own report or by the platform's list,
// without those reported by other routers.
func (t *Table) LeavingHere() []upstream.ID {
	var ids []upstream.ID
	for id, r := range t.agents {
		if !r.leavingSince.IsZero() || t.vms[r.beat.RPC] == vm.StateLeaving {
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

// Owner returns the upstream that reports the highest epoch of a slice.
func (t *Table) Owner(now time.Time, s service.ID, sl request.KeySlice) (Entry, once.Epoch, bool) {
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

// ForgetRouter drops the gossip of an incarnation of a router.
func (t *Table) ForgetRouter(incarnation string) { delete(t.reportedBy, incarnation) }

// Expire removes agents that have been silent for longer than ForgetAfter, and expired reports of
// leaving upstreams.
func (t *Table) Expire(now time.Time) {
	for id, r := range t.agents {
		if now.Sub(r.lastBeat) > ForgetAfter && now.Sub(r.firstSeen) > ForgetAfter {
			delete(t.agents, id)
		}
	}
	for id, until := range t.reportedLeaving {
		if !now.Before(until) {
			delete(t.reportedLeaving, id)
		}
	}
}
