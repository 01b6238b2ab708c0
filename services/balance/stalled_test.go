// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package balance

import (
	"testing"

	"fawnwinch.org/fawnwinch/models/upstream"
)

// TestPickStalled checks that nothing is sent to a group that waits for a silent rank, so that its
// callers are sent elsewhere or told at once when to come back.
func TestPickStalled(t *testing.T) {
	cands, ids := candidates(3)
	works, stalled, broken := Group{Open: true}, Group{Open: true, Stalled: true}, Group{}
	cases := map[string]struct {
		first, second Group
		// running is the number of requests at the rank of the second group.
		running int
		want    upstream.ID
		closed  bool
	}{
		"both groups work":              {works, works, 8, "u0", false},
		"one is stalled":                {stalled, works, 8, "u2", false},
		"the other has no room":         {stalled, works, 10, "", false},
		"both are stalled":              {stalled, stalled, 0, "", true},
		"one is stalled, one is broken": {stalled, broken, 0, "", true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			p := NewPool("")
			p.SetRandom(func() float64 { return 0 })
			c.first.ID, c.second.ID = "g0", "g1"
			c.first.Ranks = []RankLoad{{Address: cands[0].Address, Pace: 1}, {Address: cands[1].Address, Running: 8, Pace: 1}}
			c.second.Ranks = []RankLoad{{Address: cands[2].Address, Running: c.running, Pace: 1}}
			p.Report(begin, c.first, ids)
			p.Report(begin, c.second, ids)
			ask := PickOptions{Engine: engine, Bounds: Bounds{Rank: 10, Mean: 9}, Routers: 1}
			if got, _ := p.Pick(begin, cands, ask); got.ID != c.want {
				t.Errorf("picked %q, want %q", got.ID, c.want)
			}
			if got := p.Closed(begin); got != c.closed {
				t.Errorf("closed: %t, want %t", got, c.closed)
			}
		})
	}
}
