// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package placement

import (
	"math"
	"slices"

	"fawnwinch.org/fawnwinch/models/expertmap"
)

// Full computes a map from nothing but the popularity: replicas go to the experts with the most load
// each, then the heaviest replicas are dealt first, each to the least loaded rank with room, and the
// rest is evened out move by move. It is the baseline that pays no regard to what must be loaded.
func Full(m *expertmap.Map, p Popularity, speed []float64) *expertmap.Map {
	out := &expertmap.Map{Group: m.Group, Version: m.Version, Layers: make([]expertmap.Layer, len(p))}
	for i := range p {
		room := make([]int, len(m.Layers[i].Slots))
		for r, held := range m.Layers[i].Slots {
			room[r] = len(held)
		}
		out.Layers[i].Slots = deal(p[i], speed, room)
	}
	evened, err := Decide(out, p, speed, Policy{MaxMoves: math.MaxInt, Enough: 1, Price: fullPrice}, nil)
	if err == nil && evened.Map != nil {
		out = evened.Map
	}
	for i := range out.Layers {
		out.Layers[i].Slots = rename(m.Layers[i].Slots, out.Layers[i].Slots, speed)
	}
	return out
}

// rename gives each new list of experts to the rank of the same speed that holds most of it already.
func rename(old, fresh [][]expertmap.Expert, speed []float64) [][]expertmap.Expert {
	out := make([][]expertmap.Expert, len(fresh))
	for n := range fresh {
		best, most := -1, -1
		for r := range old {
			if out[r] != nil || speed[r] != speed[n] || len(old[r]) != len(fresh[n]) {
				continue
			}
			if same := overlap(old[r], fresh[n]); same > most {
				best, most = r, same
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

// fullPrice ends the evening out when a move saves less than a ten thousandth of a layer's time.
const fullPrice = 1e-4

func deal(popularity, speed []float64, room []int) [][]expertmap.Expert {
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
	part := func(e expertmap.Expert) float64 { return popularity[e] / float64(replicas[e]) }
	slices.SortStableFunc(order, func(a, b expertmap.Expert) int {
		if part(a) > part(b) {
			return -1
		}
		if part(a) < part(b) {
			return 1
		}
		return int(a - b)
	})
	held := make([][]expertmap.Expert, len(room))
	load := make([]float64, len(room))
	for _, e := range order {
		r := lightest(e, held, load, room)
		held[r] = append(held[r], e)
		load[r] += part(e) / speed[r]
	}
	return held
}

// lightest returns the least loaded rank with room that does not hold e yet, or with room at all.
func lightest(e expertmap.Expert, held [][]expertmap.Expert, load []float64, room []int) int {
	best, any := -1, -1
	for r := range held {
		if len(held[r]) >= room[r] {
			continue
		}
		if any < 0 || load[r] < load[any] {
			any = r
		}
		if !slices.Contains(held[r], e) && (best < 0 || load[r] < load[best]) {
			best = r
		}
	}
	if best >= 0 {
		return best
	}
	return any
}

// replicate gives every expert one replica and the rest to those with the most load for each replica.
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
