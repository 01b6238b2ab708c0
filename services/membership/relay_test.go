// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package membership

import (
	"testing"
	"time"

	"fawnwinch.org/fawnwinch/models/upstream"
)

// TestRelay checks what a router learns about an agent by gossip from the agent's home router.
func TestRelay(t *testing.T) {
	const id = upstream.ID("u")
	home, other, out := NewTable(testInterval), NewTable(testInterval), NewOutbox()
	seq, echo := uint64(0), uint64(0)
	beat := func(now time.Time, state upstream.State, load int) {
		seq++
		echo = home.ApplyBeat(now, Beat{Upstream: id, Incarnation: "1", Seq: seq, State: state, Echo: echo, Load: Load{InFlight: load}})
	}
	relay := func(now time.Time) Relay {
		m := out.Message(now, "other", home)
		other.ApplyRelay(now, "home", m)
		return m
	}
	check := func(now time.Time, what string, suspect, leaving bool, load int) {
		t.Helper()
		e, ok := other.Entry(now, id)
		if !ok || e.Suspect != suspect || e.Leaving != leaving || e.Beat.Load.InFlight != load {
			t.Errorf("%s: known %t, suspect %t, leaving %t, load %d", what, ok, e.Suspect, e.Leaving, e.Beat.Load.InFlight)
		}
	}
	now := start
	tick := func(state upstream.State, load int) Relay {
		now = now.Add(testInterval.Heartbeat())
		beat(now, state, load)
		return relay(now)
	}
	beat(now, upstream.StateReady, 1)
	if m := relay(now); len(m.Full) != 0 {
		t.Errorf("reported an agent without a proof of liveness: %+v", m)
	}
	tick(upstream.StateReady, 2)
	check(now, "full digest", false, false, 2)
	if m := tick(upstream.StateReady, 3); len(m.Full) != 0 || len(m.Loads) != 1 {
		t.Errorf("nothing but the load has changed: %+v", m)
	}
	check(now, "load", false, false, 3)
	tick(upstream.StateLeaving, 3)
	check(now, "leaving", false, true, 3)
	tick(upstream.StateReady, 4)
	check(now, "back", false, false, 4)
	for range 10 {
		now = now.Add(testInterval.Heartbeat())
		relay(now)
	}
	check(now, "agent became silent", true, false, 4)
	tick(upstream.StateReady, 5)
	tick(upstream.StateReady, 5)
	check(now, "agent alive again", false, false, 5)
	check(now.Add(testInterval.SuspectAfter()+testInterval.Heartbeat()), "home router became silent", true, false, 5)

	// The message that lists the agent as silent is lost.
	for range 3 {
		now = now.Add(testInterval.Heartbeat())
		out.Message(now, "other", home)
	}
	out.Forget("other")
	for range 10 {
		now = now.Add(testInterval.Heartbeat())
		relay(now)
	}
	check(now, "agent silent after a lost message", true, false, 5)
}

func TestLoadInterval(t *testing.T) {
	cases := map[string]struct {
		agents, peers int
		want          time.Duration
	}{
		"today":  {5, 6, testInterval.Heartbeat()},
		"target": {39, 19, 2778750 * time.Microsecond},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			if got := loadInterval(testInterval, tc.agents, tc.peers); got != tc.want {
				t.Errorf("interval %s, want %s", got, tc.want)
			}
		})
	}
}

// TestBrief checks that a brief heartbeat is equivalent to a full one, and that a router without a
// full heartbeat requests one.
func TestBrief(t *testing.T) {
	full := Beat{Upstream: "u", Incarnation: "1", Service: "s", Seq: 1, RPC: "10.0.0.1:1", State: upstream.StateReady}
	known, fresh := NewTable(testInterval), NewTable(testInterval)
	echo := known.ApplyBeat(start, full)
	next := full
	next.Seq, next.Echo, next.Load.InFlight = 2, echo, 7
	if known.FullFingerprint("u") != next.Fingerprint() {
		t.Error("the router does not report the fingerprint of the full heartbeat")
	}
	known.ApplyBeat(start, next.Shorten())
	e, _ := known.Entry(start, "u")
	if e.Suspect || e.Beat.RPC != full.RPC || e.Beat.State != upstream.StateReady || e.Beat.Load.InFlight != 7 || e.Beat.Seq != 2 {
		t.Errorf("after a brief heartbeat: %+v", e)
	}
	fresh.ApplyBeat(start, next.Shorten())
	if fresh.FullFingerprint("u") != 0 {
		t.Error("a router with only a brief heartbeat does not request a full one")
	}
}
