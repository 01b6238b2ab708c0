// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package placement

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"testing"

	"fawnwinch.org/fawnwinch/models/expertmap"

	"pgregory.net/rapid"
)

// run applies a policy to a trace and returns the mean skew and the number of moves.
func run(t *trace, m *expertmap.Map, speed []float64, intervals int, decide func(*expertmap.Map, Popularity) *expertmap.Map) (skew float64, moves int) {
	for i := range intervals {
		p := t.next(i)
		if i > 0 {
			// A decision uses the popularity of the previous interval.
			s, err := Skew(m, p, speed)
			if err != nil {
				panic(err)
			}
			skew += s
		}
		if next := decide(m, p); next != nil {
			moves += Moves(m, next)
			m = next
		}
	}
	return skew / float64(intervals-1), moves
}

func median(v []float64) float64 {
	s := slices.Clone(v)
	slices.Sort(s)
	return s[len(s)/2]
}

func policies(speed []float64, budget int) map[string]func(*expertmap.Map, Popularity) *expertmap.Map {
	incremental := func(pol Policy) func(*expertmap.Map, Popularity) *expertmap.Map {
		var floors []float64
		return func(m *expertmap.Map, p Popularity) *expertmap.Map {
			r, err := Decide(m, p, speed, pol, floors)
			if err != nil {
				panic(err)
			}
			floors = r.Floors
			return r.Map
		}
	}
	return map[string]func(*expertmap.Map, Popularity) *expertmap.Map{
		"static": func(*expertmap.Map, Popularity) *expertmap.Map { return nil },
		"full":   func(m *expertmap.Map, p Popularity) *expertmap.Map { return Recompute(m, p, speed) },
		"greedy": incremental(Policy{MaxMoves: math.MaxInt, Enough: 1, Price: 1e-4}),
		"skew":   incremental(SkewPolicy(budget)),
		"cost":   incremental(CostPolicy(budget)),
	}
}

var traces = map[string]func(*trace, int){
	"season":   nil,
	"swap":     swapHot(8),
	"language": language(15),
}

const benchSeeds = 20

// BenchmarkFrontier reports skew and moves of every policy on every trace, as medians over seeds.
func BenchmarkFrontier(b *testing.B) {
	for _, sz := range []struct {
		name string
		size size
		n    int
	}{{"12ranks", small, 30}, {"32ranks", large, 30}} {
		for trace, sudden := range traces {
			for name := range policies(uniform(sz.size.ranks), 0) {
				b.Run(fmt.Sprintf("%s/%s/%s", sz.name, trace, name), func(b *testing.B) {
					var skews, moves []float64
					for range b.N {
						for seed := range uint64(benchSeeds) {
							speed := uniform(sz.size.ranks)
							if seed%2 == 1 {
								speed[3] = 0.5
							}
							s, n := run(newTrace(seed, sz.size, 0.03, sudden), sz.size.first(), speed, sz.n, policies(speed, sz.size.budget())[name])
							skews, moves = append(skews, s), append(moves, float64(n))
						}
					}
					b.ReportMetric(median(skews), "skew")
					b.ReportMetric(median(moves), "moves")
				})
			}
		}
	}
}

// BenchmarkDecide measures one decision after a small change of the popularity.
func BenchmarkDecide(b *testing.B) {
	for name, sz := range map[string]size{
		"12x64x8/drift1%": small, "16x128x58/drift1%": {16, 128, 10, 58}, "32x128x29/drift1%": {32, 128, 5, 29},
		"32x128x58/drift1%": large, "32x128x58/drift3%": large,
	} {
		b.Run(name, func(b *testing.B) {
			speed := uniform(sz.ranks)
			drift := 0.01
			if strings.HasSuffix(name, "3%") {
				drift = 0.03
			}
			t := newTrace(1, sz, drift, nil)
			m := sz.first()
			var floors []float64
			for range 5 {
				r, err := Decide(m, t.next(0), speed, SkewPolicy(sz.budget()), floors)
				if err != nil {
					b.Fatal(err)
				}
				if floors = r.Floors; r.Map != nil {
					m = r.Map
				}
			}
			p := t.next(0)
			b.ResetTimer()
			for b.Loop() {
				if _, err := Decide(m, p, speed, SkewPolicy(sz.budget()), floors); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// TestDecideKeepsEveryExpert checks with random inputs that a decision loses no expert, changes no
// slot count, does not modify its input, reports its moves and skews correctly, and never increases
// the skew.
func TestDecideKeepsEveryExpert(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := size{ranks: rapid.IntRange(2, 8).Draw(t, "ranks"), experts: rapid.IntRange(2, 24).Draw(t, "experts"), layers: rapid.IntRange(1, 3).Draw(t, "layers")}
		s.slots = (s.experts+s.ranks-1)/s.ranks + rapid.IntRange(0, 2).Draw(t, "spare")
		m := s.first()
		before := m.Digest()
		var p Popularity
		for range s.layers {
			p = append(p, rapid.SliceOfN(rapid.Float64Range(0.001, 10), s.experts, s.experts).Draw(t, "popularity"))
		}
		speed := rapid.SliceOfN(rapid.Float64Range(0.2, 2), s.ranks, s.ranks).Draw(t, "speed")
		r, err := Decide(m, p, speed, Policy{MaxMoves: rapid.IntRange(0, 50).Draw(t, "budget"), Enough: 1, Price: 1e-6}, nil)
		if err != nil {
			t.Fatal(err)
		}
		if m.Digest() != before {
			t.Fatal("the given map was changed")
		}
		if r.Map == nil {
			return
		}
		checkMap(t, s, r.Map)
		if got := Moves(m, r.Map); got > r.Moves {
			t.Fatalf("%d moves, reported %d", got, r.Moves)
		}
		after, _ := Skew(r.Map, p, speed)
		if math.Abs(after-r.After) > 1e-6 || after > r.Before+1e-9 {
			t.Fatalf("skew %f, reported %f, before %f", after, r.After, r.Before)
		}
	})
}

func checkMap(t *rapid.T, s size, m *expertmap.Map) {
	for i, l := range m.Layers {
		held := map[expertmap.Expert]bool{}
		for r, slots := range l.Slots {
			if len(slots) != s.slots {
				t.Fatalf("layer %d rank %d has %d slots", i, r, len(slots))
			}
			for _, e := range slots {
				held[e] = true
			}
		}
		if len(held) != s.experts {
			t.Fatalf("layer %d holds %d of %d experts", i, len(held), s.experts)
		}
	}
}

// TestApplyMatchesRecompute compares the loads after a sequence of moves with recomputed loads.
func TestApplyMatchesRecompute(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := size{ranks: rapid.IntRange(2, 6).Draw(t, "ranks"), experts: rapid.IntRange(4, 16).Draw(t, "experts"), layers: 1}
		s.slots = (s.experts+s.ranks-1)/s.ranks + 1
		p := rapid.SliceOfN(rapid.Float64Range(0.01, 10), s.experts, s.experts).Draw(t, "popularity")
		l, err := newLayer(s.first().Layers[0].Slots, p, uniform(s.ranks))
		if err != nil {
			t.Fatal(err)
		}
		for range 10 {
			mv, ok := l.best()
			if !ok {
				return
			}
			l.apply(mv)
			naive, err := newLayer(l.slots, p, uniform(s.ranks))
			if err != nil {
				t.Fatal(err)
			}
			if math.Abs(naive.skew()-l.skew()) > 1e-9 || !slices.Equal(naive.replicas, l.replicas) {
				t.Fatalf("skew %f, recomputed %f", l.skew(), naive.skew())
			}
		}
	})
}

// TestDecideSharesLoadLimit checks that the layers share the limit of experts that each rank may
// load: the change of one layer does not prevent the change of another at ranks below the limit.
func TestDecideSharesLoadLimit(t *testing.T) {
	s := size{ranks: 8, experts: 16, slots: 3, layers: 3}
	p := make(Popularity, s.layers)
	for l := range p {
		p[l] = make([]float64, s.experts)
		for e := range p[l] {
			p[l][e] = 1
		}
		p[l][2*l] = 12
	}
	m := s.first()
	const maxLoads = 1
	r, err := Decide(m, p, uniform(s.ranks), Policy{Price: 0.01, MaxMoves: 100, MaxRank: maxLoads, Enough: 1.1}, nil)
	if err != nil || r.Map == nil {
		t.Fatalf("no change: %+v, %v", r, err)
	}
	for rank := range s.ranks {
		if n := r.Map.Loads(m, rank); n > maxLoads {
			t.Errorf("rank %d loads %d experts", rank, n)
		}
	}
	for l := range p {
		one := func(m *expertmap.Map) float64 {
			skew, err := Skew(&expertmap.Map{Layers: m.Layers[l : l+1]}, p[l:l+1], uniform(s.ranks))
			if err != nil {
				t.Fatal(err)
			}
			return skew
		}
		if before, after := one(m), one(r.Map); after > 0.8*before {
			t.Errorf("layer %d: skew %.2f before, %.2f after", l, before, after)
		}
	}
}
