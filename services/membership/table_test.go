// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package membership

import (
	"testing"
	"time"

	"fawnwinch.org/fawnwinch/models/upstream"
	"fawnwinch.org/fawnwinch/models/vm"
)

var start = time.Unix(1000, 0)

const testInterval = Interval(400 * time.Millisecond)

// TestTable checks whether an agent counts as suspect or leaving after each kind of event.
func TestTable(t *testing.T) {
	const id = upstream.ID("u")
	beat := func(inc string, state upstream.State, echo uint64) Beat {
		return Beat{Upstream: id, Incarnation: upstream.Incarnation(inc), RPC: "10.0.0.1:1", State: state, Service: "s", Echo: echo}
	}
	live := func(tb *Table) uint64 {
		n := tb.ApplyBeat(start, beat("b", upstream.StateReady, 0))
		return tb.ApplyBeat(start, beat("b", upstream.StateReady, n))
	}
	cases := map[string]struct {
		do               func(tb *Table)
		at               time.Duration
		suspect, leaving bool
	}{
		"one beat proves nothing": {func(tb *Table) { tb.ApplyBeat(start, beat("b", upstream.StateReady, 0)) }, 0, true, false},
		"an echo proves":          {func(tb *Table) { live(tb) }, 0, false, false},
		"silence":                 {func(tb *Table) { live(tb) }, testInterval.SuspectAfter() + 1, true, false},
		"an old echo of a suspended agent": {func(tb *Table) {
			n := live(tb)
			tb.ApplyBeat(start.Add(time.Minute), beat("b", upstream.StateReady, n))
		}, time.Minute, true, false},
		"a lost reply": {func(tb *Table) {
			n := live(tb)
			tb.ApplyBeat(start, beat("b", upstream.StateReady, n))
			tb.ApplyBeat(start.Add(time.Second), beat("b", upstream.StateReady, n))
		}, time.Second, false, false},
		"an earlier incarnation": {func(tb *Table) {
			live(tb)
			tb.ApplyBeat(start, beat("a", upstream.StateLeaving, 0))
		}, 0, false, false},
		"a later incarnation must prove itself": {func(tb *Table) {
			live(tb)
			tb.ApplyBeat(start, beat("c", upstream.StateReady, 0))
		}, 0, true, false},
		"unreachable": {func(tb *Table) { live(tb); tb.MarkUnreachable(start, id, "b") }, 0, true, false},
		"leaving by its own report": {func(tb *Table) {
			tb.ApplyBeat(start, beat("b", upstream.StateLeaving, live(tb)))
		}, 0, false, true},
		"leaving and back": {func(tb *Table) {
			n := tb.ApplyBeat(start, beat("b", upstream.StateLeaving, live(tb)))
			tb.ApplyBeat(start, beat("b", upstream.StateReady, n))
		}, 0, false, false},
		"leaving by the list": {func(tb *Table) {
			live(tb)
			tb.SetVMs([]vm.VM{{RPC: "10.0.0.1:1", State: vm.StateLeaving}})
		}, 0, false, true},
		"leaving by another router": {func(tb *Table) { live(tb); tb.ApplyLeaving(start, []upstream.ID{id}) }, 0, false, true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			tb := NewTable(testInterval)
			tc.do(tb)
			e, ok := tb.Entry(start.Add(tc.at), id)
			if !ok || e.Suspect != tc.suspect || e.Leaving != tc.leaving {
				t.Errorf("known %t, suspect %t, leaving %t; want suspect %t, leaving %t", ok, e.Suspect, e.Leaving, tc.suspect, tc.leaving)
			}
		})
	}
}

// TestLost checks which silent routers may have sent keys without the log.
func TestLost(t *testing.T) {
	const outage = 5 * time.Second
	other := RouterInfo{ID: "r", Incarnation: "x", RPC: "10.0.0.2:1"}
	listed := []vm.VM{{RPC: other.RPC, Role: vm.RoleRouter}}
	cases := map[string]struct {
		do   func(r *Routers)
		at   time.Duration
		lost bool
	}{
		"alive":                            {func(*Routers) {}, time.Second, false},
		"silent, fate unknown":             {func(r *Routers) { r.SetVMs(start, listed) }, time.Minute, true},
		"gone soon after it had the log":   {func(r *Routers) { r.SetVMs(start.Add(3*time.Second), nil) }, time.Minute, false},
		"gone long after its last contact": {func(r *Routers) { r.SetVMs(start.Add(30*time.Second), nil) }, time.Minute, true},
		"replaced at once": {func(r *Routers) {
			r.ApplyBeat(start.Add(2*time.Second), RouterBeat{Info: RouterInfo{ID: "r", Incarnation: "y", RPC: other.RPC}})
		}, 3 * time.Second, false},
		"retired":                 {func(r *Routers) { r.ApplyBeat(start, RouterBeat{Info: other, Retired: true}) }, time.Minute, false},
		"forgotten with its keys": {func(*Routers) {}, 2 * time.Hour, false},
		"known only by gossip": {func(r *Routers) {
			r.ApplyBeat(start, RouterBeat{Info: RouterInfo{Incarnation: "z", RPC: "10.0.0.3:1"}, Lost: []Lost{{Incarnation: "w", Fresh: time.Minute}}})
			r.ApplyBeat(start, RouterBeat{Info: other, Retired: true})
			r.SetVMs(start.Add(2*time.Second), nil)
		}, 3 * time.Second, true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			r := NewRouters(testInterval, RouterInfo{ID: "self", Incarnation: "s", RPC: "10.0.0.1:1"}, nil)
			r.ApplyBeat(start, RouterBeat{Info: other})
			tc.do(r)
			if got := r.Lost(start.Add(tc.at), outage, time.Hour); (len(got) > 0) != tc.lost {
				t.Errorf("lost %+v, want any: %t", got, tc.lost)
			}
		})
	}
}
