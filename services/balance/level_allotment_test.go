// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package balance

import (
	"fmt"
	"math"
	"reflect"
	"slices"
	"testing"

	"fawnwinch.org/fawnwinch/models/urgency"
)

// levelRanks returns idle ranks.
func levelRanks(n int) []RankLoad {
	out := make([]RankLoad, n)
	for i := range out {
		out[i] = RankLoad{Address: fmt.Sprint("e", i), Pace: 1}
	}
	return out
}

// placesOf returns the places of the routers of each kind, the first letter of their names.
func placesOf(allotments map[string]Allotment) map[string]int {
	out := map[string]int{}
	for router, places := range allotments {
		for _, n := range places {
			out[router[:1]] += n
		}
	}
	return out
}

// each returns the demands of n routers of a kind, for each of which the given requests of each
// level wait.
func each(kind string, n int, levels ...int) []Demand {
	out := make([]Demand, n)
	for i := range out {
		out[i].Router = fmt.Sprint(kind, i)
		for _, waiting := range levels {
			out[i].Requests += waiting
			out[i].Levels = append(out[i].Levels, LevelDemand{Wanted: waiting, Waiting: waiting})
		}
	}
	return out
}

// TestAllotLevels guards against places for less urgent requests beyond their limit or before more
// urgent ones, against levels that starve, and against routers that take all places. There are ten
// ranks with at most ten requests each on average.
func TestAllotLevels(t *testing.T) {
	type means = [urgency.MaxLevels]float64
	usual := means{0, 6, 4}
	all := each("a", 5, 40, 40, 40)
	cases := map[string]struct {
		means means
		// running is the number of requests at each rank, and outstanding the earlier places at the
		// first. gone is the number of ranks that are no longer there.
		running, outstanding, gone int
		demands                    []Demand
		want                       map[string]int
	}{
		"level 0 up to the bounds":                {means: usual, demands: each("u", 5, 40, 0, 0), want: map[string]int{"u": 100}},
		"the middle level up to its limit":        {means: usual, demands: each("m", 5, 0, 40, 0), want: map[string]int{"m": 60}},
		"the last level up to its limit":          {means: usual, demands: each("b", 5, 0, 0, 40), want: map[string]int{"b": 40}},
		"a limit is not rounded for each rank":    {means: means{0, 6, 4.57}, demands: each("b", 5, 0, 0, 40), want: map[string]int{"b": 45}},
		"no limit":                                {demands: each("b", 5, 0, 0, 40), want: map[string]int{"b": 100}},
		"the bounds are below the limit":          {means: means{0, 12, 11}, demands: each("b", 5, 0, 0, 40), want: map[string]int{"b": 100}},
		"earlier places may be in use":            {means: usual, running: 1, outstanding: 4, demands: each("b", 5, 0, 0, 40), want: map[string]int{"b": 26}},
		"above its limit a level gets none":       {means: usual, running: 7, demands: each("b", 5, 0, 0, 40), want: map[string]int{}},
		"level 0 first, then the others":          {means: usual, demands: slices.Concat(each("u", 3, 8), each("b", 3, 0, 0, 8)), want: map[string]int{"u": 24, "b": 16}},
		"the floor beyond the limit":              {means: usual, running: 8, demands: slices.Concat(each("u", 3, 8), each("b", 3, 0, 0, 8)), want: map[string]int{"u": 18, "b": 2}},
		"the floor is rounded up":                 {means: usual, running: 9, demands: slices.Concat(each("u", 3, 8), each("b", 3, 0, 0, 8))[1:], want: map[string]int{"u": 9, "b": 1}},
		"the floor of both less urgent levels":    {means: usual, running: 6, demands: slices.Concat(each("u", 5, 8), each("m", 2, 0, 8), each("b", 2, 0, 0, 8)), want: map[string]int{"u": 36, "m": 2, "b": 2}},
		"the floor of the middle level's places":  {means: usual, running: 4, demands: slices.Concat(each("m", 3, 0, 8), each("b", 3, 0, 0, 8)), want: map[string]int{"m": 18, "b": 2}},
		"no floor without less urgent demand":     {means: usual, running: 8, demands: each("u", 3, 8, 0, 0), want: map[string]int{"u": 20}},
		"the floor is no more than the demand":    {means: usual, running: 6, demands: slices.Concat(each("u", 5, 8), each("b", 1, 0, 0, 1)), want: map[string]int{"u": 39, "b": 1}},
		"spare places up to the smallest limit":   {means: usual, running: 2, demands: each("i", 2, 0, 0, 0), want: map[string]int{"i": 20}},
		"no spare places above that":              {means: usual, running: 5, demands: slices.Concat(each("u", 1, 3), each("i", 2, 0, 0, 0)), want: map[string]int{"u": 3}},
		"a router without levels":                 {means: usual, running: 8, demands: slices.Concat([]Demand{{Router: "old", Requests: 8}}, each("u", 2, 8), each("b", 3, 0, 0, 8)), want: map[string]int{"o": 6, "u": 12, "b": 2}},
		"levels that differ between the replies":  {means: usual, running: 8, demands: slices.Concat(each("m", 3, 0, 8), each("u", 3, 8, 0, 8)), want: map[string]int{"u": 18, "m": 2}},
		"false demand of a level":                 {means: usual, demands: slices.Concat(each("f", 1, maxDemand), each("u", 4, 2, 0, 0)), want: map[string]int{"f": 29, "u": 11}},
		"false demand of the last level":          {means: usual, demands: slices.Concat(each("f", 1, 0, 0, math.MaxInt), each("b", 4, 0, 0, 2)), want: map[string]int{"f": 29, "b": 11}},
		"a negative demand":                       {means: usual, running: 7, demands: slices.Concat(each("f", 1, -5, -5, -5), each("u", 3, 1)), want: map[string]int{"u": 3}},
		"a third of the ranks are gone":           {means: usual, gone: 3, demands: all, want: map[string]int{"a": 70}},
		"a third are gone, only the last level":   {means: usual, gone: 3, demands: each("b", 5, 0, 0, 40), want: map[string]int{"b": 28}},
		"more levels than the bound of a report":  {means: means{0, 6, 5, 4}, demands: each("x", 5, 0, 0, 0, 0, 40), want: map[string]int{"x": 40}},
		"all levels share the places of level 0":  {means: usual, running: 9, demands: all, want: map[string]int{"a": 10}},
		"one level only is like no levels at all": {means: usual, demands: each("u", 5, 1), want: map[string]int{"u": 100}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			ranks := levelRanks(10 - c.gone)
			for i := range ranks {
				ranks[i].Running = c.running
			}
			got := NewAllotter().Allot(ranks, Bounds{Rank: 12, Mean: 10, LevelMeans: c.means}, Allotment{"e0": c.outstanding}, c.demands, nil)
			if places := placesOf(got); !reflect.DeepEqual(places, c.want) {
				t.Errorf("places %v, want %v", places, c.want)
			}
		})
	}
}

// TestAllotLevelShares guards against routers that get less than their part of a level's places:
// over many reports these are divided in proportion to the routers' demand of that level.
func TestAllotLevelShares(t *testing.T) {
	a := NewAllotter()
	demands := []Demand{
		{Router: "a", Levels: []LevelDemand{{Wanted: 6}, {Wanted: 1, Waiting: 1}}},
		{Router: "b", Levels: []LevelDemand{{Wanted: 2}, {Wanted: 9, Waiting: 9}}},
		{Router: "c", Levels: []LevelDemand{{Wanted: 1}, {}}},
	}
	ranks := levelRanks(1)
	ranks[0].Running = 6
	got := map[string]int{}
	for range 100 {
		for router, places := range a.Allot(ranks, Bounds{Rank: 20, Mean: 10, LevelMeans: [urgency.MaxLevels]float64{0, 5}}, nil, demands, nil) {
			got[router] += places["e0"]
		}
	}
	// Of four places in each report, three are for level 0 in the ratio 6:2:1, and one is the floor in
	// the ratio 1:9.
	want := map[string]int{"a": 200 + 10, "b": 67 + 90, "c": 33}
	for router, n := range want {
		if got[router] < n-2 || got[router] > n+2 {
			t.Errorf("places %v, want about %v", got, want)
		}
	}
}

// TestAllotLevelsAtLimitedRanks guards against places at ranks to which a router may not send, and
// against a level that blocks a rank for the others.
func TestAllotLevelsAtLimitedRanks(t *testing.T) {
	demands := slices.Concat(each("u", 1, 8, 0), each("b", 1, 0, 8))
	demands[0].Most = SendLimits{"e0": 1}
	got := NewAllotter().Allot(levelRanks(2), Bounds{Rank: 5, Mean: 5}, nil, demands, SendLimits{"e1": 2})
	if u, b := got["u0"], got["b0"]; u["e0"] != 1 || u["e1"]+b["e1"] != 2 || b["e0"] != 4 {
		t.Errorf("allotments %v, want one place of the urgent router and four of the other at e0, and two places at e1", got)
	}
}
