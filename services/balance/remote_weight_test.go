// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package balance

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"fawnwinch.org/fawnwinch/models/vm"
	"fawnwinch.org/fawnwinch/services/peer"
)

// TestRemoteWeight checks the weight of a router's demand for ranks in other data centres.
func TestRemoteWeight(t *testing.T) {
	const goal = 400 * time.Millisecond
	cases := map[string]struct {
		demand Demand
		want   float64
	}{
		"none waits":          {Demand{Goal: goal}, 0.25},
		"half of the time":    {Demand{Goal: goal, Oldest: 100 * time.Millisecond}, 0.625},
		"all of the time":     {Demand{Goal: goal, Oldest: 200 * time.Millisecond}, 1},
		"longer":              {Demand{Goal: goal, Oldest: time.Hour}, 1},
		"the goal is unknown": {Demand{Oldest: time.Second}, 0.25},
		"a negative time":     {Demand{Goal: goal, Oldest: -time.Second}, 0.25},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			if got := c.demand.remoteWeight(); math.Abs(got-c.want) > 1e-9 {
				t.Errorf("weight %v, want %v", got, c.want)
			}
		})
	}
}

// TestDemandMoves moves all demand from one data centre to another. The routers of the data centre
// with callers must get places in both, whichever it is, once callers wait: with remoteWeight alone
// a data centre with more callers than its ranks can serve waits while the other keeps places for
// few.
func TestDemandMoves(t *testing.T) {
	const goal = 400 * time.Millisecond
	ranks := []RankLoad{{Address: "a", DataCentre: "east"}, {Address: "b", DataCentre: "west"}}
	bounds := Bounds{Rank: 100, Mean: 100, Goal: goal}
	a := NewAllotter()
	for _, busy := range []vm.DataCentre{"east", "west", "east"} {
		share := func(oldest time.Duration) int {
			demands := []Demand{{Router: "e", DataCentre: "east", Requests: 9, Goal: goal}, {Router: "w", DataCentre: "west", Requests: 9, Goal: goal}}
			for i := range demands {
				if demands[i].DataCentre == busy {
					demands[i].Requests, demands[i].Oldest = 29, oldest
				}
			}
			n := 0
			for _, places := range a.Allot(ranks, bounds, nil, demands, nil)[map[vm.DataCentre]string{"east": "e", "west": "w"}[busy]] {
				n += places
			}
			return n
		}
		// Of 200 places the busy one gets 92 + 43 with remoteWeight; with the weight of 1 for its
		// demand 92 + 75.
		calm, waiting := share(0), share(goal/2)
		if calm < 134 || calm > 136 || waiting < 166 || waiting > 168 {
			t.Errorf("%s got %d of 200 places while none waited, and %d after half of the goal, want 135 and 167", busy, calm, waiting)
		}
	}
}

// TestOldestReported checks that the waiting time of a router's reply reaches the allotment, also a
// false one, and that it ends with the reply that follows.
func TestOldestReported(t *testing.T) {
	ranks := []RankLoad{{Address: "a", DataCentre: "east"}}
	bounds := &Bounds{Rank: 100, Mean: 100, Goal: 400 * time.Millisecond}
	routers := []peer.Info{{Name: "e", DataCentre: "east"}, {Name: "w", DataCentre: "west"}}
	b := NewRouterRegistry(1)
	share := func(ms int, oldest uint) int {
		now := begin.Add(time.Duration(ms) * time.Millisecond)
		for range 3 { // the third report allots nothing, and its reply ends what the second has allotted
			number, _ := b.StartReport(now, routers, ranks, bounds)
			_, list := b.Pack("e", Group{Ranks: ranks})
			for _, r := range routers {
				reply := ReportReply{List: list.Number, Wanted: 9}
				if r.Name == "w" {
					reply.Oldest = oldest
				}
				b.RecordReply(now, r, number, list, reply)
			}
		}
		_, places := b.StartReport(now, routers, ranks, bounds)
		return places["w"]["a"]
	}
	for i, c := range []struct {
		oldest uint
		want   int
	}{{0, 20}, {200, 50}, {math.MaxUint, 50}, {0, 20}} {
		if got := share(3000*i, c.oldest); got < c.want-1 || got > c.want+1 {
			t.Errorf("the remote router has waited %d ms and got %d of 100 places, want %d", c.oldest, got, c.want)
		}
	}
}

// TestEvenAllotment compares the allotment with that of the function before the weight of waiting times, with
// random inputs in which all ranks have the normal pace and nobody waits: it must be the same.
func TestEvenAllotment(t *testing.T) {
	r := rand.New(rand.NewPCG(5, 5))
	for range 300 {
		now, before := NewAllotter(), &referenceAllotter{credit: map[referenceKey]float64{}}
		for range 5 {
			ranks, bounds, outstanding, demands, caps := randomAllotment(r)
			got, want := now.Allot(ranks, bounds, outstanding, demands, caps), before.allot(ranks, bounds, outstanding, demands, caps)
			if fmt.Sprint(got) != fmt.Sprint(want) {
				t.Fatalf("allotment %v, was %v\nranks %+v\nbounds %+v\ndemands %+v", got, want, ranks, bounds, demands)
			}
		}
	}
}

// randomAllotment returns inputs of Allot with ranks of normal pace and routers without waiting
// requests.
func randomAllotment(r *rand.Rand) (ranks []RankLoad, b Bounds, outstanding Allotment, demands []Demand, caps SendLimits) {
	dataCentre := func() vm.DataCentre { return vm.DataCentre(fmt.Sprint("dc-", r.IntN(3))) }
	outstanding, caps = Allotment{}, SendLimits{}
	for i := range r.IntN(20) {
		l := RankLoad{
			Address: fmt.Sprint("e", i), DataCentre: dataCentre(), Running: r.IntN(9), Waiting: r.IntN(3), Unstarted: r.IntN(4),
			Pace: float64(r.IntN(2)), Silent: r.IntN(9) == 0,
		}
		ranks, outstanding[l.Address] = append(ranks, l), r.IntN(3)
		if r.IntN(9) == 0 {
			caps[l.Address] = r.IntN(2)
		}
	}
	b = Bounds{Rank: 2 + r.IntN(11), Unstarted: r.IntN(5), Goal: time.Duration(r.IntN(2)) * time.Second}
	b.Mean = 1 + r.IntN(b.Rank)
	for i := range r.IntN(12) {
		d := Demand{Router: fmt.Sprint("r", i), Requests: r.IntN(20), DataCentre: dataCentre(), Goal: b.Goal, Most: SendLimits{}}
		if len(ranks) > 0 && r.IntN(4) == 0 {
			d.Most[ranks[r.IntN(len(ranks))].Address] = r.IntN(3)
		}
		demands = append(demands, d)
	}
	return ranks, b, outstanding, demands, caps
}
