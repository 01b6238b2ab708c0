// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package placement

import (
	"math"
	"math/rand/v2"
	"slices"

	"fawnwinch.org/fawnwinch/models/expertmap"
)

// size is the size of a group in a benchmark.
type size struct{ ranks, experts, slots, layers int }

var (
	small = size{ranks: 12, experts: 64, slots: 7, layers: 8}
	large = size{ranks: 32, experts: 128, slots: 5, layers: 58}
)

// budget returns a quarter of all slots, the limit of one decision.
func (s size) budget() int { return s.ranks * s.slots * s.layers / 4 }

func (s size) first() *expertmap.Map {
	m, err := expertmap.RoundRobin("g", s.layers, s.ranks, s.slots, s.experts)
	if err != nil {
		panic(err)
	}
	return m
}

func uniform(n int) []float64 {
	out := make([]float64, n)
	for i := range out {
		out[i] = 1
	}
	return out
}

// trace generates drifting popularity: a slow drift in every interval and a sudden change in some.
type trace struct {
	rnd    *rand.Rand
	base   Popularity
	drift  float64
	sudden func(t *trace, interval int)
}

func newTrace(seed uint64, s size, drift float64, sudden func(*trace, int)) *trace {
	t := &trace{rnd: rand.New(rand.NewPCG(seed, 11)), drift: drift, sudden: sudden}
	for range s.layers {
		p := make([]float64, s.experts)
		for e, k := range t.rnd.Perm(s.experts) {
			p[e] = 1 / math.Pow(float64(k+1), 0.7)
		}
		t.base = append(t.base, p)
	}
	return t
}

// next returns the popularity of the next interval.
func (t *trace) next(interval int) Popularity {
	for _, p := range t.base {
		for e := range p {
			p[e] *= math.Exp(t.drift * t.rnd.NormFloat64())
		}
	}
	if t.sudden != nil {
		t.sudden(t, interval)
	}
	out := make(Popularity, len(t.base))
	for i, p := range t.base {
		out[i] = slices.Clone(p)
	}
	return out
}

// swapHot swaps the popularity of the most popular experts with that of random ones.
func swapHot(every int) func(*trace, int) {
	return func(t *trace, interval int) {
		if interval%every != every-1 {
			return
		}
		for _, p := range t.base {
			for range len(p) / 16 {
				hot, other := indexOfMax(p), t.rnd.IntN(len(p))
				p[hot], p[other] = p[other], p[hot]
			}
		}
	}
}

// language makes one half of the experts more popular and the other half less, at one interval.
func language(at int) func(*trace, int) {
	return func(t *trace, interval int) {
		if interval != at {
			return
		}
		for _, p := range t.base {
			for e := range p {
				if e%2 == 0 {
					p[e] *= 3
				} else {
					p[e] /= 3
				}
			}
		}
	}
}

func indexOfMax(p []float64) int {
	best := 0
	for e := range p {
		if p[e] > p[best] {
			best = e
		}
	}
	return best
}
