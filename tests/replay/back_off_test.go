// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package replay

import (
	"testing"
	"time"
)

// TestBackingOffRanks simulates a group in which some ranks refuse everything for some seconds and
// request a back-off of three seconds. These ranks look idle: if routers ignored the back-off, most
// requests would be sent there first, and those whose second attempt is refused too are rejected.
// Each of many routers would have to be refused by each of these ranks, so coordinators must learn
// of the back-off as well.
func TestBackingOffRanks(t *testing.T) {
	cases := map[string]struct {
		routers, ranks, shedding int
		load                     float64
		seeds                    uint64
	}{
		"four of 12":       {6, 12, 4, 0.6, 4},
		"one of 12":        {6, 12, 1, 0.8, 4},
		"four of 12, full": {6, 12, 4, 1, 4},
		"a third of 63":    {41, 63, 21, 0.6, 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			shed := func(rank int, at time.Duration) time.Duration {
				if rank < c.shedding && within(at, 2, 7) > 0 {
					return 3 * time.Second
				}
				return 0
			}
			var rejected, rankRejections [2]int
			var worth [2]float64
			for seed := range c.seeds {
				for i, ignoreBackOff := range []bool{true, false} {
					p := pattern{rate: steady(c.load), skew: steady(1.4), pace: usualPace, shed: shed, ignoreBackOff: ignoreBackOff}
					r := play(p.with(c.routers, c.ranks, 70*time.Millisecond, seed), nil)
					rejected[i], rankRejections[i] = rejected[i]+r.rejected, rankRejections[i]+r.rejectedByRanks
					worth[i] += r.worth() / float64(c.seeds)
				}
			}
			t.Logf("rejected %d, refused by ranks %d, worth %.3f; with the back-off ignored %d, %d, %.3f", rejected[1], rankRejections[1], worth[1], rejected[0], rankRejections[0], worth[0])
			if 2*rejected[1] > rejected[0] || worth[1] < worth[0] {
				t.Errorf("rejected %d, worth %.3f; with the back-off ignored %d, %.3f", rejected[1], worth[1], rejected[0], worth[0])
			}
		})
	}
}
