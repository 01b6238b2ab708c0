// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package replay

import (
	"testing"
	"time"
)

// limitFirstRanks makes the first ranks limit their requests to a rate from two seconds on.
func limitFirstRanks(ranks int, rate float64) func(int, time.Duration) float64 {
	return func(rank int, at time.Duration) float64 {
		if rank < ranks && at >= 2*time.Second {
			return rate
		}
		return 0
	}
}

// TestLimitedRanks simulates a group in which some ranks limit their requests, under more load than
// the other ranks can serve. The coordinator allots most sends to the ranks with the fewest
// requests, which are those with a limit. Routers that report their send limits get their allotment
// at the other ranks instead.
func TestLimitedRanks(t *testing.T) {
	cases := map[string]struct {
		routers, ranks, limited int
		load, limit             float64
		// maxRatio is the highest allowed ratio of the rejections to those without reported send
		// limits.
		maxRatio float64
	}{
		"one of 12":           {6, 12, 1, 1.2, 1, 0.8},
		"three of 12":         {6, 12, 3, 1.2, 1, 0.9},
		"three of 12, lower":  {6, 12, 3, 1.2, 0.2, 0.9},
		"a fifth of 63":       {41, 63, 12, 1.2, 1, 1},
		"a high limit":        {6, 12, 12, 1.1, 1000, 1},
		"load below capacity": {6, 12, 1, 0.9, 1, 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var rejected [2]int
			var worth [2]float64
			const seeds = 4
			for seed := range uint64(seeds) {
				for i, withoutSendLimits := range []bool{true, false} {
					p := pattern{rate: steady(c.load), skew: steady(1.4), pace: usualPace, limit: limitFirstRanks(c.limited, c.limit), withoutSendLimits: withoutSendLimits}
					r := play(p.with(c.routers, c.ranks, 70*time.Millisecond, seed), nil)
					rejected[i] += r.rejected
					worth[i] += r.worth() / seeds
				}
			}
			t.Logf("rejected %d, worth %.3f; without reported send limits %d, %.3f", rejected[1], worth[1], rejected[0], worth[0])
			if float64(rejected[1]) > c.maxRatio*float64(rejected[0]) {
				t.Errorf("%d rejections, want at most %.2f of the %d without reported send limits", rejected[1], c.maxRatio, rejected[0])
			}
			if worth[1] < worth[0]-0.03 {
				t.Errorf("worth %.3f, %.3f without reported send limits", worth[1], worth[0])
			}
		})
	}
}
