// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package rank

import (
	"testing"
	"time"

	"fawnwinch.org/fawnwinch/models/catalog"
	"fawnwinch.org/fawnwinch/services"
	"fawnwinch.org/fawnwinch/services/balance"
	"fawnwinch.org/fawnwinch/services/peer"

	"github.com/rs/zerolog"
)

// TestOpening checks when a coordinator takes a group for newly opened. A successor that took a
// running group for one would make the passes of all its streams too long.
func TestOpening(t *testing.T) {
	group := func(open bool, running ...int) balance.Group {
		g := balance.Group{Open: open}
		for _, n := range running {
			g.Ranks = append(g.Ranks, balance.RankLoad{Running: n, Pace: 1})
		}
		return g
	}
	cases := map[string]struct {
		seen []balance.Group
		// opening is the position of the report at which the group opened; -1 if none.
		opening int
	}{
		"freshly formed":                        {[]balance.Group{group(true, 0, 0), group(true, 3, 2)}, 0},
		"running under an earlier coordinator":  {[]balance.Group{group(true, 0, 1), group(true, 0, 0)}, -1},
		"seen closed":                           {[]balance.Group{group(false, 0, 0), group(true, 0, 0), group(true, 2, 2)}, 1},
		"seen closed, runs requests already":    {[]balance.Group{group(false, 0, 0), group(true, 1, 0)}, 1},
		"a rank is not heard at first":          {[]balance.Group{group(true, 0), group(true, 0, 1)}, -1},
		"no rank is heard at first":             {[]balance.Group{group(true), group(true, 0, 0)}, 1},
		"closed":                                {[]balance.Group{group(true, 0, 0), group(false, 0, 0)}, -1},
		"breaks while it runs, and opens again": {[]balance.Group{group(true, 1, 1), group(false, 0, 0), group(true, 0, 0)}, 2},
		"a rank is lost from sight":             {[]balance.Group{group(true, 0, 0), group(true, 0), group(true, 0, 0)}, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			co := newCoordinator(New(begin, Options{Logger: zerolog.Nop()}), lead(1), services.RankStatus{Group: "g", Size: 2})
			at := func(i int) time.Time { return begin.Add(time.Duration(i) * pollInterval) }
			for i, g := range c.seen {
				co.noteOpening(at(i), g)
			}
			var want time.Time
			if c.opening >= 0 {
				want = at(c.opening)
			}
			if !co.openedAt.Equal(want) {
				t.Errorf("opened at %s, want %s", co.openedAt, want)
			}
		})
	}
}

// TestCatchUp checks that a coordinator applies the bounds of a catch-up from the first replies with
// a backlog on: in its first report after the opening it has no reply of most routers.
func TestCatchUp(t *testing.T) {
	c := newCoordinator(New(begin, Options{Logger: zerolog.Nop()}), lead(1), services.RankStatus{Group: "g", Size: 2})
	c.engine = &catalog.Engine{
		Slots: 10, Stride: 6, StepMillis: 5.85, WriterMillis: 0.426, ContextMillis: 0.0432, ReadPerSecond: 61_200, Chunk: 512, UsualPrompt: 868, UsualAnswer: 139, ExpertShare: 0.85,
	}
	c.goal, c.answerGoal = 120*time.Millisecond, 400*time.Millisecond
	g := balance.Group{Open: true, Skew: balance.InitialMapSkew, Ranks: []balance.RankLoad{{Address: "e0", Pace: 1}, {Address: "e1", Pace: 1}}}
	usual := balance.GroupBounds(c.engine, g.Load(), c.goal)
	router := peer.Info{Name: "r"}
	report := func(now time.Time, waiting int) balance.Bounds {
		c.noteOpening(now, g)
		b := c.bounds(now, g)
		number, _ := c.registry.StartReport(now, []peer.Info{router}, g.Ranks, b)
		_, list := c.registry.Pack(router.Name, g)
		c.registry.RecordReply(now, router, number, list, balance.ReportReply{List: list.Number, Wanted: waiting, Waiting: waiting})
		return *b
	}
	if got := report(begin, 100); got != usual {
		t.Errorf("bounds %+v without any reply, want %+v", got, usual)
	}
	if got := report(begin.Add(pollInterval), 100); got.Mean != c.engine.Slots || got.Rank != c.engine.Slots {
		t.Errorf("bounds %+v with a backlog, want all slots", got)
	}
	if got := report(begin.Add(time.Second), 100); got != usual {
		t.Errorf("bounds %+v a second after the opening, want %+v", got, usual)
	}
}
