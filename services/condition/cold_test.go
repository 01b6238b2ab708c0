// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package condition

import (
	"testing"

	"fawnwinch.org/fawnwinch/models/upstream"
)

// TestCold checks how the coldness of an upstream, alone and with other conditions, affects the
// choice and the send of requests.
func TestCold(t *testing.T) {
	run := upstream.Run{ID: "u"}
	cold := Coldness{Until: at(3000), Rate: 10}
	cases := map[string]struct {
		prepare func(g *Register)
		now     int
		kind    Kind
		sent    Permission
		rate    upstream.Rate
	}{
		"cold":           {func(g *Register) { g.SetCold(at(0), run, cold) }, 100, KindCold, PermissionAsk, 10},
		"no longer cold": {func(g *Register) { g.SetCold(at(0), run, cold) }, 3000, KindFree, PermissionGiven, 0},
		"cold again": {func(g *Register) {
			g.SetCold(at(0), run, cold)
			g.SetCold(at(4000), run, Coldness{Until: at(7000), Rate: 10})
		}, 4100, KindCold, PermissionAsk, 10},
		"found warm before":   {func(g *Register) { g.SetCold(at(0), run, cold); g.SetCold(at(50), run, Coldness{}) }, 100, KindFree, PermissionGiven, 0},
		"another run is cold": {func(g *Register) { g.SetCold(at(0), upstream.Run{ID: "u", Born: 1}, cold) }, 100, KindFree, PermissionGiven, 0},
		"cold, and leaving": {func(g *Register) {
			g.SetCold(at(0), run, cold)
			g.Note(at(1), at(0), run, upstream.Notice{Leaving: true})
		}, 100, KindLeaving, PermissionDenied, 10},
		"cold, and limited more": {func(g *Register) {
			g.SetCold(at(0), run, cold)
			g.Note(at(1), at(0), run, upstream.Notice{Limited: true, Limit: 2})
		}, 100, KindLimited, PermissionAsk, 2},
		"cold, and limited less": {func(g *Register) {
			g.SetCold(at(0), run, cold)
			g.Note(at(1), at(0), run, upstream.Notice{Limited: true, Limit: 50})
		}, 100, KindLimited, PermissionAsk, 10},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewRegister()
			c.prepare(g)
			if kind, _ := g.Judge(at(c.now), run); kind != c.kind {
				t.Errorf("condition %s, want %s", kind, c.kind)
			}
			if got := g.Permit(at(c.now), run); got != c.sent {
				t.Errorf("permission %s, want %s", got, c.sent)
			}
			if rate, _ := g.AcceptedRate(at(c.now), run); rate != c.rate {
				t.Errorf("rate %v, want %v", rate, c.rate)
			}
		})
	}
}

// TestColdPermits checks that each request to a cold upstream needs a permit, and that permits of
// one cold time are not used in the next.
func TestColdPermits(t *testing.T) {
	run, g := upstream.Run{ID: "u"}, NewRegister()
	g.SetCold(at(0), run, Coldness{Until: at(1000), Rate: 10})
	g.Choose(at(0), run)
	if ask := g.Ask(at(0), run); ask.Wanted != 1 || ask.Cold.Rate != 10 || ask.Cold.Left.Milliseconds() != 1000 {
		t.Fatalf("asks for %+v", ask)
	}
	if p, _ := g.Answered(at(0), at(1), run, PermitReply{Given: 3}); p != PermissionGiven {
		t.Fatalf("permission %s after three permits were granted", p)
	}
	g.Choose(at(2), run)
	if p := g.Permit(at(2), run); p != PermissionGiven {
		t.Errorf("permission %s with two permits left", p)
	}
	g.SetCold(at(1200), run, Coldness{Until: at(4000), Rate: 10})
	g.Choose(at(1200), run)
	if p := g.Permit(at(1200), run); p != PermissionAsk {
		t.Errorf("permission %s with a permit of an earlier cold time", p)
	}
	g.Forget(at(2000), nil)
	if g.Empty() {
		t.Error("the record of a cold upstream was dropped")
	}
}
