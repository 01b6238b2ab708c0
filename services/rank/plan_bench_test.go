// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package rank

import (
	"fmt"
	"testing"
	"time"

	"fawnwinch.org/fawnwinch/models/expertmap"
	"fawnwinch.org/fawnwinch/services"
)

// BenchmarkPlan measures the computation of a coordinator in a poll round: processing the counts of
// all ranks, and planning after a shift of demand. A coordinator has a quarter of a core, and a
// round every 70 ms.
func BenchmarkPlan(b *testing.B) {
	sizes := []struct{ ranks, layers, experts, places int }{{12, 4, 72, 8}, {24, 16, 96, 5}, {63, 8, 252, 5}, {129, 16, 258, 3}}
	for _, s := range sizes {
		e := *figures
		e.Layers, e.Experts, e.Places, e.MaxFresh, e.LoadTime = s.layers, s.experts, s.places, 2, 76*time.Millisecond
		first := expertmap.InitialMap{Layers: s.layers, Ranks: s.ranks, Experts: s.experts, Places: s.places}.Map()
		after := func(hot int) []services.RankCounts {
			counts := make([]services.RankCounts, s.ranks)
			for r := range counts {
				counts[r].Counts = make([]uint64, s.layers*s.experts)
				for i := range counts[r].Counts {
					counts[r].Counts[i] = 20
					if hot >= 0 && (i%s.experts+hot)%s.experts < s.experts/12 {
						counts[r].Counts[i] = 400
					}
				}
			}
			return counts
		}
		speed := make([]float64, s.ranks)
		for r := range speed {
			speed[r] = 1
		}
		none, hot := after(-1), after(3)
		b.Run(fmt.Sprintf("%dx%dx%d", s.ranks, s.layers, s.experts), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				p := newPlanner(&e, goal, 1, first)
				p.watch(begin, none)
				p.watch(begin.Add(time.Second), hot)
				if _, err := p.plan(begin.Add(time.Second), speed, 4); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
