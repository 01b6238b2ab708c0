// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package balance

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"

	"fawnwinch.org/fawnwinch/models/vm"
)

// referenceAllotter is a copy of the Allotter before levels, for TestAllotUnranked.
type referenceAllotter struct{ credit map[referenceKey]float64 }

type referenceKey struct {
	router     string
	dataCentre vm.DataCentre
}

// allot is Allotter.Allot before levels.
func (a *referenceAllotter) allot(ranks []RankLoad, b Bounds, outstanding Allotment, demands []Demand, caps SendLimits) map[string]Allotment {
	out := map[string]Allotment{}
	for _, d := range demands {
		out[d.Router] = Allotment{}
	}
	if len(demands) == 0 || len(ranks) == 0 {
		return out
	}
	a.prune(demands)
	loads := make([]float64, len(ranks))
	unstarted := make([]int, len(ranks))
	left := float64(b.Mean * len(ranks))
	for i, r := range ranks {
		loads[i] = float64(r.requests() + outstanding[r.Address])
		unstarted[i] = max(r.Waiting, r.Unstarted) + outstanding[r.Address]
		left -= loads[i]
	}
	skipSlow := canSkipSlow(ranks)
	allotted := Allotment{}
	for left >= 1 {
		i := referenceLeastLoaded(ranks, loads, unstarted, b, skipSlow)
		if i < 0 {
			break
		}
		router := ""
		if caps.allows(ranks[i].Address, allotted) {
			router = a.next(demands, &ranks[i], out)
		}
		if router == "" {
			loads[i] = math.Inf(1) // no router may send there
			continue
		}
		allotted[ranks[i].Address]++
		loads[i]++
		unstarted[i]++
		left--
		out[router][ranks[i].Address]++
	}
	return out
}

// referenceLeastLoaded is leastLoaded before levels.
func referenceLeastLoaded(ranks []RankLoad, loads []float64, unstarted []int, b Bounds, skipSlow bool) int {
	best, bestLoad := -1, math.Inf(1)
	for i := range ranks {
		if loads[i] >= float64(b.Rank) || ranks[i].Silent || skipSlow && ranks[i].slow() || b.Unstarted > 0 && unstarted[i] >= b.Unstarted {
			continue
		}
		load := (loads[i] + unstartedWeight*float64(max(ranks[i].Waiting, ranks[i].Unstarted))) * max(ranks[i].Pace, 1)
		if load < bestLoad {
			best, bestLoad = i, load
		}
	}
	return best
}

// referenceWeight is the weight of a demand before levels.
func referenceWeight(d Demand, at vm.DataCentre) float64 {
	weight := float64(d.Requests + 1)
	if d.DataCentre != at {
		weight *= remoteWeight
	}
	return weight
}

// next returns the router that gets the next request at a rank, based on the allotments so far; ""
// if none may send there.
func (a *referenceAllotter) next(demands []Demand, rank *RankLoad, allotted map[string]Allotment) string {
	at := rank.DataCentre
	total := 0.0
	for _, d := range demands {
		if d.Most.allows(rank.Address, allotted[d.Router]) {
			total += referenceWeight(d, at)
		}
	}
	best := referenceKey{}
	for _, d := range demands {
		if !d.Most.allows(rank.Address, allotted[d.Router]) {
			continue
		}
		key := referenceKey{router: d.Router, dataCentre: at}
		a.credit[key] += referenceWeight(d, at) / total
		if best.router == "" || a.credit[key] > a.credit[best] {
			best = key
		}
	}
	if best.router != "" {
		a.credit[best]--
	}
	return best.router
}

// prune drops the credits of routers that are no longer present.
func (a *referenceAllotter) prune(demands []Demand) {
	for key := range a.credit {
		if !slices.ContainsFunc(demands, func(d Demand) bool { return d.Router == key.router }) {
			delete(a.credit, key)
		}
	}
}

// TestAllotUnranked guards against a change of the allotments of services without levels: random
// sequences of reports must give the allotments, and the credits, of the reference. Limits of levels
// and a single level must change nothing either.
func TestAllotUnranked(t *testing.T) {
	for seed := range uint64(300) {
		r := rand.New(rand.NewPCG(seed, 1))
		a, reference := NewAllotter(), &referenceAllotter{credit: map[referenceKey]float64{}}
		for round := range 12 {
			in := randomReport(r)
			got := a.Allot(in.ranks, in.bounds, in.outstanding, in.demands, in.caps)
			want := reference.allot(in.ranks, in.bounds, in.outstanding, in.demands, in.caps)
			if !reflect.DeepEqual(got, want) {
				t.Fatalf("seed %d, report %d: allotments %v, want %v", seed, round, got, want)
			}
			credit := map[referenceKey]float64{}
			for key, n := range a.credit {
				if n != 0 {
					credit[referenceKey{router: key.router, dataCentre: key.dataCentre}] = n
				}
			}
			maps.DeleteFunc(reference.credit, func(_ referenceKey, n float64) bool { return n == 0 })
			if !maps.Equal(credit, reference.credit) {
				t.Fatalf("seed %d, report %d: credits %v, want %v", seed, round, credit, reference.credit)
			}
		}
	}
}

// reportInput is the input of one call of Allot.
type reportInput struct {
	ranks       []RankLoad
	bounds      Bounds
	outstanding Allotment
	demands     []Demand
	caps        SendLimits
}

// randomReport returns the input of a report for a service without levels. Each kind of input, such
// as slow and silent ranks or send limits, is present in some of the reports only.
func randomReport(r *rand.Rand) reportInput {
	centres := []vm.DataCentre{"", "east", "west"}
	in := reportInput{
		bounds:      Bounds{Rank: 1 + r.IntN(12), Mean: 1 + r.IntN(12), Unstarted: r.IntN(4)},
		outstanding: Allotment{}, caps: SendLimits{},
	}
	for l := range in.bounds.LevelMeans {
		in.bounds.LevelMeans[l] = 10 * r.Float64()
	}
	slow, silent, limits := r.IntN(3) == 0, r.IntN(3) == 0, r.IntN(2) == 0
	for i := range r.IntN(20) {
		rank := RankLoad{
			Address: fmt.Sprint("e", i), DataCentre: centres[r.IntN(3)], Running: r.IntN(9), Waiting: r.IntN(3), Unstarted: r.IntN(3),
			Pace: 1, Silent: silent && r.IntN(8) == 0,
		}
		if slow && r.IntN(4) == 0 {
			rank.Pace = 1 + 3*r.Float64()
		}
		if r.IntN(3) == 0 {
			in.outstanding[rank.Address] = r.IntN(3)
		}
		if limits && r.IntN(6) == 0 {
			in.caps[rank.Address] = r.IntN(2)
		}
		in.ranks = append(in.ranks, rank)
	}
	for i := range r.IntN(20) {
		d := Demand{Router: fmt.Sprint("r", i), Requests: r.IntN(30), DataCentre: centres[r.IntN(3)]}
		if limits && len(in.ranks) > 0 && r.IntN(3) == 0 {
			d.Most = SendLimits{in.ranks[r.IntN(len(in.ranks))].Address: r.IntN(3)}
		}
		if r.IntN(8) == 0 {
			d.Levels = []LevelDemand{{Wanted: d.Requests, Waiting: r.IntN(5)}}
		}
		in.demands = append(in.demands, d)
	}
	return in
}
