// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package balance

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// TestAllot checks how many requests are allotted, and at which ranks.
func TestAllot(t *testing.T) {
	cases := map[string]struct {
		ranks       []RankLoad
		bounds      Bounds
		outstanding Allotment
		want        Allotment
	}{
		"empty ranks get up to the mean":            {[]RankLoad{{Address: "a"}, {Address: "b"}}, Bounds{Rank: 5, Mean: 3}, nil, Allotment{"a": 3, "b": 3}},
		"the emptier rank gets more":                {[]RankLoad{{Address: "a", Running: 4}, {Address: "b"}}, Bounds{Rank: 5, Mean: 3}, nil, Allotment{"b": 2}},
		"a full rank gets none":                     {[]RankLoad{{Address: "a", Running: 5}, {Address: "b", Running: 5}}, Bounds{Rank: 5, Mean: 9}, nil, Allotment{}},
		"requests that have not begun count":        {[]RankLoad{{Address: "a", Running: 2, Unstarted: 2}}, Bounds{Rank: 5, Mean: 5}, nil, Allotment{"a": 1}},
		"a rank's own count of them does not add":   {[]RankLoad{{Address: "a", Running: 2, Waiting: 2, Unstarted: 2}}, Bounds{Rank: 5, Mean: 5}, nil, Allotment{"a": 1}},
		"places given before may be in use":         {[]RankLoad{{Address: "a"}, {Address: "b"}}, Bounds{Rank: 3, Mean: 3}, Allotment{"a": 2}, Allotment{"a": 1, "b": 3}},
		"a slow rank gets fewer":                    {[]RankLoad{{Address: "a", Running: 2, Pace: 4}, {Address: "b", Running: 2}}, Bounds{Rank: 9, Mean: 4}, nil, Allotment{"b": 4}},
		"a rank that reads a prompt is left for it": {[]RankLoad{{Address: "a", Unstarted: 1}, {Address: "b", Running: 2}}, Bounds{Rank: 9, Mean: 2}, nil, Allotment{"b": 1}},
		"a rank has prompts enough to read":         {[]RankLoad{{Address: "a", Unstarted: 2}, {Address: "b", Unstarted: 1}, {Address: "c"}}, Bounds{Rank: 9, Mean: 9, Unstarted: 2}, Allotment{"c": 1}, Allotment{"b": 1, "c": 1}},
		"more than the mean is running":             {[]RankLoad{{Address: "a", Running: 9}, {Address: "b", Running: 9}}, Bounds{Rank: 20, Mean: 4}, nil, Allotment{}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			got := NewAllotter().Allot(c.ranks, c.bounds, c.outstanding, []Demand{{Router: "r"}}, nil)["r"]
			if fmt.Sprint(got) != fmt.Sprint(c.want) {
				t.Errorf("allotment %v, want %v", got, c.want)
			}
		})
	}
}

// TestAllotShares checks that allotments follow demand, that no router is left without, and that a
// single request is allotted to the routers in rotation.
func TestAllotShares(t *testing.T) {
	a := NewAllotter()
	got := map[string]int{}
	demands := []Demand{{Router: "busy", Requests: 17}, {Router: "quiet"}, {Router: "other"}}
	for range 400 {
		for router, places := range a.Allot([]RankLoad{{Address: "a", Running: 11}}, Bounds{Rank: 12, Mean: 12}, nil, demands, nil) {
			got[router] += places["a"]
		}
	}
	if got["busy"] != 360 || got["quiet"] != 20 || got["other"] != 20 {
		t.Errorf("400 allotted requests were divided as %v", got)
	}
	a.Allot([]RankLoad{{Address: "a"}}, Bounds{Rank: 12, Mean: 12}, nil, demands[:1], nil)
	if len(a.credit) != 1 {
		t.Errorf("removed routers still have credit: %v", a.credit)
	}
	if out := a.Allot(nil, Bounds{Rank: 12, Mean: 12}, nil, demands, nil); len(out) != 3 || out["quiet"] == nil {
		t.Errorf("allotments without ranks are %v, want an empty one for each router", out)
	}
}

// TestAllotNear checks that routers get most allotments in their own data centre, and that remote
// routers get them if local routers have no demand.
func TestAllotNear(t *testing.T) {
	ranks := []RankLoad{{Address: "a", DataCentre: "east"}, {Address: "b", DataCentre: "west"}}
	cases := map[string]struct {
		demands []Demand
		near    Allotment
	}{
		"as many callers in both": {
			[]Demand{{Router: "e", Requests: 9, DataCentre: "east"}, {Router: "w", Requests: 9, DataCentre: "west"}}, Allotment{"a": 80, "b": 20},
		},
		"all callers in one": {
			[]Demand{{Router: "e", Requests: 99, DataCentre: "east"}, {Router: "w", Requests: 0, DataCentre: "west"}}, Allotment{"a": 99, "b": 96},
		},
		"no router near": {
			[]Demand{{Router: "e", Requests: 9, DataCentre: "east"}}, Allotment{"a": 100, "b": 100},
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			got := NewAllotter().Allot(ranks, Bounds{Rank: 100, Mean: 100}, nil, c.demands, nil)["e"]
			for address, want := range c.near {
				if got[address] < want-1 || got[address] > want+1 {
					t.Errorf("router e got %v, want about %v", got, c.near)
				}
			}
		})
	}
}

// TestNoQueue overloads several routers and compares the fullest rank with and without allotments.
// Without them requests wait at some ranks while other ranks have room.
func TestNoQueue(t *testing.T) {
	const routers, ranks, most = 7, 12, 13
	play := func(allot bool) (fullest, sent int) {
		r := rand.New(rand.NewPCG(1, 1))
		cands, ids := candidates(ranks)
		pools := make([]*Pool, routers)
		reported := make([]Unstarted, routers)
		for i := range pools {
			pools[i] = NewPool("")
		}
		running := map[string]int{}
		allotter := NewAllotter()
		outstanding := map[int]Allotment{}
		for round := range 60 {
			now := begin.Add(time.Duration(round) * 70 * time.Millisecond)
			g := Group{Open: true}
			for i, c := range cands {
				l := RankLoad{Address: c.Address, Running: running[c.Address]}
				for k := range reported {
					l.Unstarted += reported[k][c.Address]
				}
				g.Ranks = append(g.Ranks, l)
				running[c.Address] -= min(running[c.Address], r.IntN(2+i%2)) // some answers end
			}
			var places map[string]Allotment
			if allot {
				before := Allotment{}
				demands := make([]Demand, routers)
				for k := range routers {
					demands[k] = Demand{Router: fmt.Sprint(k), Requests: 5}
					for address, n := range outstanding[k] {
						before[address] += n
					}
				}
				places = allotter.Allot(g.Ranks, Bounds{Rank: most, Mean: most}, before, demands, nil)
			}
			for k, p := range pools {
				report := g
				report.Places = places[fmt.Sprint(k)]
				reported[k] = p.Report(now, report, ids)
				outstanding[k] = report.Places
			}
			for range 40 { // many callers at each router, one after another
				p := pools[r.IntN(routers)]
				if u, ok := p.Pick(now, cands, PickOptions{Engine: engine, Bounds: Bounds{Rank: most, Mean: most}, Routers: routers}); ok {
					p.Sent(begin, u.Run())
					sent++
				}
			}
			for _, c := range cands { // half of the sent requests start before the next report
				requests := running[c.Address]
				for _, p := range pools {
					requests += p.state(c.Run()).unstarted
					for range p.state(c.Run()).unstarted / 2 {
						p.Started(begin, c.Run())
						running[c.Address]++
					}
				}
				fullest = max(fullest, requests)
			}
		}
		return fullest, sent
	}
	fullest, sent := play(true)
	alone, sentAlone := play(false)
	if fullest > most || alone <= most {
		t.Errorf("the fullest rank has %d requests with allotments, %d without; %d are allowed", fullest, alone, most)
	}
	if 10*sent < 8*sentAlone {
		t.Errorf("%d requests were sent with allotments, %d without", sent, sentAlone)
	}
}

// TestSlowRanks checks that slow ranks get no requests, unless too many ranks are slow.
func TestSlowRanks(t *testing.T) {
	cases := map[string]struct {
		paces []float64
		// want is the allotment of each rank.
		want []int
	}{
		"all as usual":         {[]float64{1, 1, 1, 1}, []int{2, 2, 2, 2}},
		"a little slower":      {[]float64{1, 1, 1, 1.5}, []int{2, 2, 2, 2}},
		"one of four is slow":  {[]float64{1, 1, 1, 5}, []int{2, 2, 2, 0}},
		"two of four are slow": {[]float64{1, 1, 5, 5}, []int{2, 2, 2, 2}},
		"all are slow":         {[]float64{5, 5, 5, 5}, []int{2, 2, 2, 2}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			var ranks []RankLoad
			for i, pace := range tc.paces {
				ranks = append(ranks, RankLoad{Address: string(rune('a' + i)), Pace: pace})
			}
			places := NewAllotter().Allot(ranks, Bounds{Rank: 2, Mean: 2}, Allotment{}, []Demand{{Router: "r", Requests: 9}}, nil)["r"]
			for i, r := range ranks {
				if places[r.Address] != tc.want[i] {
					t.Errorf("rank %d is allotted %d requests, want %d", i, places[r.Address], tc.want[i])
				}
			}
		})
	}
}

// TestAllotSilent checks that the share of a silent rank goes to the others.
func TestAllotSilent(t *testing.T) {
	ranks := []RankLoad{{Address: "a", Pace: 1}, {Address: "b", Pace: 1, Silent: true}, {Address: "c", Pace: 1}}
	allotted := NewAllotter().Allot(ranks, Bounds{Rank: 4, Mean: 2}, Allotment{}, []Demand{{Router: "r", Requests: 9}}, nil)["r"]
	if allotted["a"] != 3 || allotted["b"] != 0 || allotted["c"] != 3 {
		t.Errorf("allotted %v, want three requests to each rank that is heard", allotted)
	}
}

// TestAllotLimits checks that routers get no allotments at ranks to which they may not send, and
// that this capacity goes to other routers.
func TestAllotLimits(t *testing.T) {
	ranks := []RankLoad{{Address: "a"}, {Address: "b", Running: 2}}
	cases := map[string]struct {
		demands []Demand
		want    map[string]Allotment
	}{
		"no bound":                  {[]Demand{{Router: "r"}}, map[string]Allotment{"r": {"a": 4, "b": 2}}},
		"nothing at the emptier":    {[]Demand{{Router: "r", Most: SendLimits{"a": 0}}}, map[string]Allotment{"r": {"b": 3}}},
		"one at the emptier":        {[]Demand{{Router: "r", Most: SendLimits{"a": 1}}}, map[string]Allotment{"r": {"a": 1, "b": 3}}},
		"nothing for one of two":    {[]Demand{{Router: "r", Most: SendLimits{"a": 0}}, {Router: "s"}}, map[string]Allotment{"r": {"b": 1}, "s": {"a": 4, "b": 1}}},
		"nothing for both":          {[]Demand{{Router: "r", Most: SendLimits{"a": 0, "b": 0}}, {Router: "s", Most: SendLimits{"a": 0, "b": 0}}}, map[string]Allotment{"r": {}, "s": {}}},
		"one each for both of them": {[]Demand{{Router: "r", Most: SendLimits{"a": 1, "b": 0}}, {Router: "s", Most: SendLimits{"a": 1, "b": 0}}}, map[string]Allotment{"r": {"a": 1}, "s": {"a": 1}}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			got := NewAllotter().Allot(ranks, Bounds{Rank: 5, Mean: 4}, nil, c.demands, nil)
			if fmt.Sprint(got) != fmt.Sprint(c.want) {
				t.Errorf("allotment %v, want %v", got, c.want)
			}
		})
	}
}
