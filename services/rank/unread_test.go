// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package rank

import (
	"testing"

	"fawnwinch.org/fawnwinch/models/group"
	"fawnwinch.org/fawnwinch/services/balance"
)

// TestUnreadLoad guards against prompt tokens of routers that do not reach the load of the ranks,
// and against limits of tokens where no router reports any.
func TestUnreadLoad(t *testing.T) {
	cases := map[string]struct {
		// unread holds the tokens that each router reports for rank 1, in units; nil for a router
		// that reports none.
		unread [][]uint
		want   int
	}{
		"none reports tokens":  {[][]uint{nil, nil}, 0},
		"both report tokens":   {[][]uint{{0, 30}, {0, 2}}, 32 * balance.UnreadUnit},
		"one reports no token": {[][]uint{{0, 30}, nil}, 30*balance.UnreadUnit + int(figures.UsualPrompt)},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFrozenGroup(2, len(c.unread))
			f.coordinator.engine, f.coordinator.goal = figures, goal
			f.poll(begin, func(group.Rank) bool { return true })
			number, _ := f.coordinator.registry.StartReport(begin, f.routers, f.coordinator.load(begin).Ranks, &frozenGroupBounds)
			for i, n := range f.routers {
				_, list := f.coordinator.registry.Pack(n.Name, f.coordinator.load(begin))
				f.coordinator.registry.RecordReply(begin, n, number, list, balance.ReportReply{List: list.Number, Unstarted: []uint{0, 1}, Unread: c.unread[i]})
			}
			g := f.coordinator.load(begin)
			if g.Ranks[0].Unread != 0 || g.Ranks[1].Unread != c.want {
				t.Errorf("unread %d and %d, want 0 and %d", g.Ranks[0].Unread, g.Ranks[1].Unread, c.want)
			}
			b, plain := f.coordinator.bounds(begin, g), balance.GroupBounds(figures, g.Load(), goal)
			if (b.Unread > 0) != (c.want > 0) {
				t.Errorf("bounds %+v", b)
			}
			if c.want == 0 && *b != plain {
				t.Errorf("bounds %+v, want %+v", *b, plain)
			}
		})
	}
}
