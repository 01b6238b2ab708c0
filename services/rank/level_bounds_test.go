// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package rank

import (
	"testing"
	"time"

	"fawnwinch.org/fawnwinch/models/urgency"
	"fawnwinch.org/fawnwinch/services/balance"
)

// TestLevelBounds guards against limits of levels that do not follow the routers' replies: the
// number of levels is that of the latest ones, and without any there is no limit.
func TestLevelBounds(t *testing.T) {
	demand := func(levels int) []balance.LevelDemand { return make([]balance.LevelDemand, levels) }
	limit := func(pace float64, level urgency.Level, levels int) float64 {
		return balance.LevelMean(figures, pace, goal, level, levels)
	}
	cases := map[string]struct {
		// replies holds the levels of the routers' replies, and age their age.
		replies [][]balance.LevelDemand
		age     time.Duration
		pace    float64
		want    [urgency.MaxLevels]float64
	}{
		"no reply":                 {pace: 1},
		"no levels":                {replies: [][]balance.LevelDemand{nil, nil}, pace: 1},
		"one level":                {replies: [][]balance.LevelDemand{demand(1), demand(1)}, pace: 1},
		"two levels":               {replies: [][]balance.LevelDemand{demand(2), demand(2)}, pace: 1, want: [urgency.MaxLevels]float64{0, limit(1, 1, 2)}},
		"three levels":             {replies: [][]balance.LevelDemand{demand(3), demand(3)}, pace: 1, want: [urgency.MaxLevels]float64{0, limit(1, 1, 3), limit(1, 2, 3)}},
		"a router without levels":  {replies: [][]balance.LevelDemand{nil, demand(2)}, pace: 1, want: [urgency.MaxLevels]float64{0, limit(1, 1, 2)}},
		"a router has more levels": {replies: [][]balance.LevelDemand{demand(2), demand(3)}, pace: 1, want: [urgency.MaxLevels]float64{0, limit(1, 1, 3), limit(1, 2, 3)}},
		"more than the bound":      {replies: [][]balance.LevelDemand{demand(9)}, pace: 1, want: [urgency.MaxLevels]float64{0, limit(1, 1, 4), limit(1, 2, 4), limit(1, 3, 4)}},
		"old replies":              {replies: [][]balance.LevelDemand{demand(3)}, age: 2 * time.Second, pace: 1},
		"a rank is slow":           {replies: [][]balance.LevelDemand{demand(2)}, pace: 1.2, want: [urgency.MaxLevels]float64{0, limit(1.2, 1, 2)}},
		"a rank is too slow":       {replies: [][]balance.LevelDemand{demand(2)}, pace: 9},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFrozenGroup(4, len(c.replies))
			f.coordinator.engine, f.coordinator.goal = figures, goal
			for _, m := range f.coordinator.members {
				m.lastContact = begin
				m.status.Pace = 1
			}
			f.coordinator.members[3].status.Pace = c.pace
			g := f.coordinator.load(begin)
			for i, levels := range c.replies {
				_, list := f.coordinator.registry.Pack(f.routers[i].Name, g)
				f.coordinator.registry.RecordReply(begin.Add(-c.age), f.routers[i], 1, list, balance.ReportReply{List: list.Number, Levels: levels})
			}
			if got := f.coordinator.bounds(begin, g).LevelMeans; got != c.want {
				t.Errorf("limits %v, want %v", got, c.want)
			}
		})
	}
	if limit(1, 1, 2) <= 0 || limit(1.2, 1, 2) >= limit(1, 1, 2) {
		t.Errorf("limits %v and %v at paces 1 and 1.2: the cases above compare nothing", limit(1, 1, 2), limit(1.2, 1, 2))
	}
}
