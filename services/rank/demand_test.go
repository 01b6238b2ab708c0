// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package rank

import (
	"math/rand/v2"
	"testing"
	"time"

	"fawnwinch.org/fawnwinch/models/expertmap"
	"fawnwinch.org/fawnwinch/services"
)

// sampled returns the counts of four ranks after rounds of randomly drawn choices; weight is the
// popularity of an expert in a round, and each the number of choices that a rank counts in a layer
// and round.
func sampled(seed uint64, rounds, each int, weight func(look, expert int) int) []services.RankCounts {
	r := rand.New(rand.NewPCG(seed, 7))
	out := make([]services.RankCounts, 4)
	for k := range out {
		out[k].Counts = make([]uint64, figures.Layers*figures.Experts)
	}
	for look := range rounds {
		var urn []int
		for e := range figures.Experts {
			for range weight(look, e) {
				urn = append(urn, e)
			}
		}
		for k := range out {
			for l := range figures.Layers {
				for range each {
					out[k].Counts[l*figures.Experts+urn[r.IntN(len(urn))]]++
				}
			}
		}
	}
	return out
}

// TestShift checks that a shift of demand is distinguished from chance, and that the demand before
// it is discarded.
func TestShift(t *testing.T) {
	const looks = 20
	hot := func(at int, before, after int) func(look, expert int) int {
		return func(look, expert int) int {
			if (look < at && expert == before) || (look >= at && expert == after) {
				return 12
			}
			return 1
		}
	}
	cases := map[string]struct {
		weight func(look, expert int) int
		each   int
		shifts bool
	}{
		"no shift":                    {hot(0, 0, 0), 60, false},
		"no shift, few choices":       {hot(0, 0, 0), 15, false},
		"another expert is liked":     {hot(looks-2, 0, 5), 60, true},
		"with few choices":            {hot(looks-2, 0, 5), 30, true},
		"even demand becomes uneven":  {hot(looks-2, -1, 5), 60, true},
		"another expert, long before": {hot(looks/2, 0, 5), 60, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			d := newDemand(figures.Layers, figures.Experts)
			now := begin
			for look := 1; look <= looks; look++ {
				now = now.Add(pollInterval)
				d.count(now, sampled(3, look, c.each, c.weight))
			}
			if shifted := d.shiftedAt.After(begin.Add(pollInterval)); shifted != c.shifts {
				t.Fatalf("shift seen: %t, want %t", shifted, c.shifts)
			}
			if c.shifts && d.recent[0][5] < 3*d.recent[0][0] {
				t.Errorf("the old expert counts %.0f, the new one %.0f", d.recent[0][0], d.recent[0][5])
			}
		})
	}
}

// TestOutdated checks when a change that is being loaded is abandoned.
func TestOutdated(t *testing.T) {
	const moment = 80 * time.Millisecond
	cases := map[string]struct {
		load    time.Duration
		shifted time.Duration
		at      time.Duration
		want    bool
	}{
		"no shift since":                  {400 * time.Millisecond, -time.Second, 100 * time.Millisecond, false},
		"a shift, and long to load":       {400 * time.Millisecond, 100 * time.Millisecond, 100 * time.Millisecond, true},
		"a shift when nearly loaded":      {400 * time.Millisecond, 350 * time.Millisecond, 350 * time.Millisecond, false},
		"a shift in a load that is short": {50 * time.Millisecond, 20 * time.Millisecond, 20 * time.Millisecond, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			p := newPlanner(figures, goal, 1, firstMap(4))
			p.load, p.maxLoads, p.plannedAt = c.load, 1, begin
			p.demand.shiftedAt = begin.Add(c.shifted)
			if got := p.outdated(begin.Add(c.at), moment); got != c.want {
				t.Errorf("outdated: %t, want %t", got, c.want)
			}
		})
	}
}

// TestLoads checks that the size of a change follows from the time of a load, configured or
// observed.
func TestLoads(t *testing.T) {
	cases := map[string]struct {
		load           time.Duration
		rank, oneLayer int
	}{
		"very fast": {20 * time.Millisecond, 10, 5},
		"fast":      {50 * time.Millisecond, 4, 2},
		"usual":     {100 * time.Millisecond, 2, 1},
		"slow":      {400 * time.Millisecond, 1, 1},
		"very slow": {2 * time.Second, 1, 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			told := *figures
			told.LoadTime = c.load
			p := newPlanner(&told, goal, 1, firstMap(4))
			if p.loads(1) != c.rank || p.loads(layerFraction) != c.oneLayer {
				t.Errorf("%d experts a rank, %d of a layer; want %d, %d", p.loads(1), p.loads(layerFraction), c.rank, c.oneLayer)
			}
			q := newPlanner(figures, goal, 1, &expertmap.Map{})
			for range 20 {
				q.maxLoads = 2
				q.loaded(2 * c.load)
			}
			if q.loads(1) != c.rank {
				t.Errorf("observed: %d experts a rank, want %d", q.loads(1), c.rank)
			}
		})
	}
}

// TestMinGain checks that a change must save more where loads take longer, and less where demand
// stays longer.
func TestMinGain(t *testing.T) {
	gain := func(load, lasts time.Duration) float64 {
		e := *figures
		e.LoadTime = load
		p := newPlanner(&e, goal, 1, firstMap(4))
		return p.minGain(p.perSkew(8), lasts, p.loads(1))
	}
	price := func(mb float64, layers int, lasts time.Duration) float64 {
		e := *figures
		e.ExpertMB, e.Layers = mb, layers
		p := newPlanner(&e, goal, 1, firstMap(4))
		return p.price(p.perSkew(8), lasts)
	}
	const usual = 4 * time.Second
	cases := map[string]struct{ less, more float64 }{
		"a longer load":       {gain(100*time.Millisecond, usual), gain(400*time.Millisecond, usual)},
		"a shift comes soon":  {gain(400*time.Millisecond, 3*usual), gain(400*time.Millisecond, usual)},
		"larger experts":      {price(420, 4, usual), price(2200, 4, usual)},
		"more layers":         {price(420, 4, usual), price(420, 16, usual)},
		"demand stays longer": {price(420, 4, 3*usual), price(420, 4, usual)},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			if c.less <= 0 || c.less >= c.more {
				t.Errorf("%.4f is not less than %.4f", c.less, c.more)
			}
		})
	}
}
