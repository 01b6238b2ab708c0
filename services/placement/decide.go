// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package placement

import (
	"slices"

	"fawnwinch.org/fawnwinch/models/expertmap"
)

// Policy holds the cost of moves and their limits.
type Policy struct {
	// Price is the minimum reduction of a layer's skew per loaded expert.
	Price float64
	// MaxMoves bounds the experts loaded by one decision.
	MaxMoves int
	// MaxFresh bounds the experts that one rank loads in one layer; 0 means no limit.
	MaxFresh int
	// MaxRank bounds the experts that one rank loads in all layers together; 0 means no limit. The
	// rank that loads most determines the duration of a change.
	MaxRank int
	// Enough is the skew up to which a layer is left unchanged.
	Enough float64
	// Slack is how far a layer's skew must rise above its floor before the layer is examined again.
	Slack float64
}

// SkewPolicy returns the policy for deployments that prefer low skew.
func SkewPolicy(maxMoves int) Policy {
	return Policy{Price: 0.0015, MaxMoves: maxMoves, Enough: 1.02, Slack: 0.01}
}

// CostPolicy returns the policy for deployments that prefer few moves.
func CostPolicy(maxMoves int) Policy {
	return Policy{Price: 0.02, MaxMoves: maxMoves, Enough: 1.1, Slack: 0.03}
}

// Result is the result of a decision.
type Result struct {
	// Map is the new map, or nil if nothing should change. Its version is that of the old one.
	Map *expertmap.Map
	// Moves is the number of experts to load.
	Moves int
	// Before and After are the skews under the given popularity.
	Before, After float64
	// Floors holds the skew of each layer after it was last examined. Pass it to the next decision.
	Floors []float64
}

// maxSequenceCost bounds the cost of a sequence of moves that pays only as a whole: if several
// ranks have about the same load, all of them must be relieved before the step gets shorter.
const maxSequenceCost = 8

// Decide improves a map for a popularity. It does not modify its arguments. floors are those of the
// last decision, or nil. The layers share the limits: moves that pay are applied in order of the
// skew saved per loaded expert, across all layers.
func Decide(m *expertmap.Map, p Popularity, speed []float64, pol Policy, floors []float64) (Result, error) {
	layers, err := newLayers(m, p, speed)
	if err != nil {
		return Result{}, err
	}
	d := decision{pol: pol, layers: layers, loads: make([]int, len(speed))}
	for _, l := range layers {
		l.maxFresh, l.maxRank, l.totalGained = pol.MaxFresh, pol.MaxRank, d.loads
	}
	res := Result{Before: meanSkew(layers)}
	res.Moves = d.improve(floors)
	res.After = meanSkew(d.layers)
	res.Floors = newFloors(d.layers, pol, floors)
	if res.Moves > 0 {
		res.Map = buildMap(m, d.layers)
	}
	return res, nil
}

// decision is the state of a Decide call.
type decision struct {
	pol    Policy
	layers []*layer
	// loads counts the experts that each rank loads in all layers for the changes applied so far.
	loads []int
}

// improve applies changes while one pays and fits, and returns the number of experts to load.
func (d *decision) improve(floors []float64) int {
	next := make([]change, len(d.layers))
	for i, l := range d.layers {
		if floors == nil || l.skew() > floors[i]+d.pol.Slack {
			next[i] = l.improve(d.pol, d.pol.MaxMoves)
		}
	}
	moves := 0
	for {
		best := -1
		for i, c := range next {
			if c.layer != nil && (best < 0 || c.savingPerLoad() > next[best].savingPerLoad()) {
				best = i
			}
		}
		if best < 0 {
			return moves
		}
		// Changes of other layers may have used up the remaining loads.
		if c := next[best]; moves+c.moves <= d.pol.MaxMoves && c.fits(d.loads, d.pol.MaxRank) {
			d.applyChange(best, c)
			moves += c.moves
		}
		next[best] = d.layers[best].improve(d.pol, d.pol.MaxMoves-moves)
	}
}

// applyChange applies a change to layer i.
func (d *decision) applyChange(i int, c change) {
	for r, n := range c.layer.gained {
		d.loads[r] += n - c.layer.applied[r]
	}
	c.layer.applied = slices.Clone(c.layer.gained)
	d.layers[i] = c.layer
}

// change is a sequence of moves in one layer that pays as a whole.
type change struct {
	layer *layer
	moves int
	// saved is the reduction of the layer's skew.
	saved float64
}

// savingPerLoad returns the skew saved per loaded expert.
func (c change) savingPerLoad() float64 { return c.saved / float64(c.moves) }

// fits reports whether each rank stays within its limit if the change is applied after the earlier
// ones.
func (c change) fits(loads []int, limit int) bool {
	if limit == 0 {
		return true
	}
	for r, n := range c.layer.gained {
		if n > c.layer.applied[r] && loads[r]+n-c.layer.applied[r] > limit {
			return false
		}
	}
	return true
}

// improve returns the shortest sequence of moves that relieves the most loaded rank and pays. Its
// layer is nil if there is none within the limit.
func (l *layer) improve(pol Policy, maxMoves int) change {
	before := l.skew()
	if before <= pol.Enough {
		return change{}
	}
	work := l.clone()
	for moves := 0; moves < maxMoves; {
		mv, ok := work.best()
		moves += mv.cost()
		// A skew below the target has no value, so before-Enough bounds the possible saving.
		if !ok || moves > min(maxSequenceCost, maxMoves) || before-pol.Enough <= pol.Price*float64(moves) {
			break
		}
		work.apply(mv)
		if saved := before - max(work.skew(), pol.Enough); saved > pol.Price*float64(moves) {
			return change{layer: work, moves: moves, saved: saved}
		}
	}
	return change{}
}

// newFloors keeps the floor of a layer that was not examined, unless its skew has fallen without a
// change.
func newFloors(layers []*layer, pol Policy, floors []float64) []float64 {
	out := make([]float64, len(layers))
	for i, l := range layers {
		out[i] = l.skew()
		if floors != nil && out[i] <= floors[i]+pol.Slack {
			out[i] = min(out[i], floors[i])
		}
	}
	return out
}

func newLayers(m *expertmap.Map, p Popularity, speed []float64) ([]*layer, error) {
	if len(m.Layers) != len(p) {
		return nil, ErrShape{What: "popularity and map differ in layers"}
	}
	layers := make([]*layer, len(p))
	for i := range p {
		l, err := newLayer(m.Layers[i].Slots, p[i], speed)
		if err != nil {
			return nil, err
		}
		layers[i] = l
	}
	return layers, nil
}

func meanSkew(layers []*layer) float64 {
	var sum float64
	for _, l := range layers {
		sum += l.skew()
	}
	return sum / float64(len(layers))
}

func buildMap(old *expertmap.Map, layers []*layer) *expertmap.Map {
	out := &expertmap.Map{Group: old.Group, Version: old.Version, Layers: make([]expertmap.Layer, len(layers))}
	for i, l := range layers {
		out.Layers[i].Slots = make([][]expertmap.Expert, len(l.slots))
		for r, held := range l.slots {
			out.Layers[i].Slots[r] = fill(held, old.Layers[i].Slots[r])
		}
	}
	return out
}

// fill keeps the old map's experts in unused slots.
func fill(held, old []expertmap.Expert) []expertmap.Expert {
	out := slices.Clone(held)
	for i, e := range out {
		if e == empty {
			out[i] = old[i]
		}
	}
	return out
}
