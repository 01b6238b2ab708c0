// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package placement

import (
	"math"
	"slices"

	"fawnwinch.org/fawnwinch/models/expertmap"
)

// Recompute computes a map from the popularity and the speed of the ranks. It gives replicas to the
// experts with the most load per replica and assigns the replicas, largest load first, each to the
// least loaded rank with a free slot. It then reduces the remaining skew move by move. It is the
// baseline that ignores the cost of loading: the old map only gives the number of slots and decides
// which rank gets which of the new lists of experts.
func Recompute(m *expertmap.Map, p Popularity, speed []float64) *expertmap.Map {
	out := &expertmap.Map{Group: m.Group, Version: m.Version, Layers: make([]expertmap.Layer, len(p))}
	for i := range p {
		room := make([]int, len(m.Layers[i].Slots))
		for r, held := range m.Layers[i].Slots {
			room[r] = len(held)
		}
		out.Layers[i].Slots = assignReplicas(p[i], speed, room)
	}
	evened, err := Decide(out, p, speed, Policy{MaxMoves: math.MaxInt, Enough: 1, Price: fullMinSaving}, nil)
	if err == nil && evened.Map != nil {
		out = evened.Map
	}
	for i := range out.Layers {
		out.Layers[i].Slots = assignToRanks(m.Layers[i].Slots, out.Layers[i].Slots, speed)
	}
	return out
}

// assignToRanks assigns each new list of experts to the rank that already holds most of them, so
// that fewer experts are loaded. A list fits a rank with the same speed and number of slots as the
// one that it was computed for. Lists are assigned one after the other, so the total number of
// loads may not be the smallest.
func assignToRanks(old, fresh [][]expertmap.Expert, speed []float64) [][]expertmap.Expert {
	out := make([][]expertmap.Expert, len(fresh))
	for n := range fresh {
		best, maxOverlap := -1, -1
		for r := range old {
			if out[r] != nil || speed[r] != speed[n] || len(old[r]) != len(fresh[n]) {
				continue
			}
			if same := overlap(old[r], fresh[n]); same > maxOverlap {
				best, maxOverlap = r, same
			}
		}
		out[best] = fresh[n]
	}
	return out
}

func overlap(a, b []expertmap.Expert) int {
	n := 0
	for _, e := range b {
		if slices.Contains(a, e) {
			n++
		}
	}
	return n
}

// fullMinSaving ends the balancing when a move saves less than a ten-thousandth of a layer's skew.
const fullMinSaving = 1e-4

// assignReplicas returns the experts of each rank in a layer: the replicas, largest load first,
// each at the least loaded rank with a free slot. room holds the number of slots of each rank.
func assignReplicas(popularity, speed []float64, room []int) [][]expertmap.Expert {
	slots := 0
	for _, n := range room {
		slots += n
	}
	replicas := replicate(popularity, slots, len(room))
	order := make([]expertmap.Expert, 0, slots)
	for e, n := range replicas {
		for range n {
			order = append(order, expertmap.Expert(e))
		}
	}
	replicaLoad := func(e expertmap.Expert) float64 { return popularity[e] / float64(replicas[e]) }
	slices.SortStableFunc(order, func(a, b expertmap.Expert) int {
		if replicaLoad(a) > replicaLoad(b) {
			return -1
		}
		if replicaLoad(a) < replicaLoad(b) {
			return 1
		}
		return int(a - b)
	})
	held := make([][]expertmap.Expert, len(room))
	load := make([]float64, len(room))
	for _, e := range order {
		r := leastLoaded(e, held, load, room)
		held[r] = append(held[r], e)
		load[r] += replicaLoad(e) / speed[r]
	}
	return held
}

// leastLoaded returns the least loaded rank with a free slot that does not hold e; if there is
// none, the least loaded rank with a free slot.
func leastLoaded(e expertmap.Expert, held [][]expertmap.Expert, load []float64, room []int) int {
	best, fallback := -1, -1
	for r := range held {
		if len(held[r]) >= room[r] {
			continue
		}
		if fallback < 0 || load[r] < load[fallback] {
			fallback = r
		}
		if !slices.Contains(held[r], e) && (best < 0 || load[r] < load[best]) {
			best = r
		}
	}
	if best >= 0 {
		return best
	}
	return fallback
}

// replicate returns the number of replicas of each expert: one for each, and the remaining slots
// for those with the most load per replica.
func replicate(popularity []float64, slots, ranks int) []int {
	n := make([]int, len(popularity))
	for e := range n {
		n[e] = 1
	}
	for range slots - len(n) {
		best := -1
		for e := range n {
			if n[e] < ranks && (best < 0 || popularity[e]/float64(n[e]) > popularity[best]/float64(n[best])) {
				best = e
			}
		}
		n[best]++
	}
	return n
}
