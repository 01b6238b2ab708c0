// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package placement

import (
	"slices"

	"fawnwinch.org/fawnwinch/models/expertmap"
)

// Policy prices moves.
type Policy struct {
	// Price is the part of a layer's time that one loaded expert must save to pay for itself.
	Price float64
	// MaxMoves bounds the experts loaded by one decision.
	MaxMoves int
	// MaxFresh bounds the experts that one rank loads in one layer; 0 means any number.
	MaxFresh int
	// MaxRank bounds the experts that one rank loads in all layers together; 0 means any number. The rank
	// with the most to load decides how long a change takes.
	MaxRank int
	// Enough is the skew up to which a layer is left alone.
	Enough float64
	// Slack is how far a layer's skew must rise above what the last look left it at, before it is
	// looked at again.
	Slack float64
}

// SkewPolicy is for deployments that weigh skew more.
func SkewPolicy(maxMoves int) Policy {
	return Policy{Price: 0.0015, MaxMoves: maxMoves, Enough: 1.02, Slack: 0.01}
}

// CostPolicy is for deployments that weigh the cost of moves more.
func CostPolicy(maxMoves int) Policy {
	return Policy{Price: 0.02, MaxMoves: maxMoves, Enough: 1.1, Slack: 0.03}
}

// Result is a decision.
type Result struct {
	// Map is the new map, or nil if nothing should change. Its version is that of the old one.
	Map *expertmap.Map
	// Moves is the number of experts to load.
	Moves int
	// Before and After are the skews under the given popularity.
	Before, After float64
	// Floors holds the skew each layer was left at by the last look at it. The next decision takes it.
	Floors []float64
}

// change is a row of moves in one layer.
type change struct {
	index int
	layer *layer
	moves int
	// saved is the fall of the layer's skew.
	saved float64
}

// worth is what the change saves for each expert loaded.
func (c change) worth() float64 { return c.saved / float64(c.moves) }

// fits reports whether no rank loads too much if the change is made beside those chosen before.
func (c change) fits(loads []int, most int) bool {
	if most == 0 {
		return true
	}
	for r, n := range c.layer.fresh {
		if loads[r]+n > most {
			return false
		}
	}
	return true
}

// maxDoublings bounds how often the price is doubled to fit the moves into the budget.
const maxDoublings = 10

// Decide improves a map for a popularity. It changes nothing that it is given. Floors are those of the
// last decision, or nil. When all that pays exceeds the budget, the price rises until it fits, so that
// the budget goes where it saves most.
func Decide(m *expertmap.Map, p Popularity, speed []float64, pol Policy, floors []float64) (Result, error) {
	layers, err := load(m, p, speed)
	if err != nil {
		return Result{}, err
	}
	for _, l := range layers {
		l.maxFresh = pol.MaxFresh
	}
	res := Result{Before: meanSkew(layers)}
	changes := improveAll(layers, pol, floors)
	for n := 0; n < maxDoublings && total(changes) > pol.MaxMoves; n++ {
		pol.Price *= 2
		changes = improveAll(layers, pol, floors)
	}
	slices.SortStableFunc(changes, func(a, b change) int {
		if a.worth() > b.worth() {
			return -1
		}
		if a.worth() < b.worth() {
			return 1
		}
		return 0
	})
	loads := make([]int, len(speed))
	for _, c := range changes {
		if res.Moves+c.moves <= pol.MaxMoves && c.fits(loads, pol.MaxRank) {
			layers[c.index] = c.layer
			res.Moves += c.moves
			for r, n := range c.layer.fresh {
				loads[r] += n
			}
		}
	}
	res.After = meanSkew(layers)
	res.Floors = newFloors(layers, pol, floors)
	if res.Moves > 0 {
		res.Map = build(m, layers)
	}
	return res, nil
}

// patience is the number of moves in a row that may gain nothing on balance: when several ranks are
// about as heavy, all must be relieved before the step gets shorter.
const patience = 8

// improveAll looks at every layer that has become worse.
func improveAll(layers []*layer, pol Policy, floors []float64) []change {
	var changes []change
	for i, l := range layers {
		if floors != nil && l.skew() <= floors[i]+pol.Slack {
			continue
		}
		if c, ok := l.improve(i, pol); ok {
			changes = append(changes, c)
		}
	}
	return changes
}

func total(changes []change) int {
	n := 0
	for _, c := range changes {
		n += c.moves
	}
	return n
}

// newFloors keeps the floor of a layer that was not looked at, unless it got better by itself.
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

// improve relieves the heaviest rank again and again, and returns the point at which what was saved
// exceeds the price of the moves by most.
func (l *layer) improve(index int, pol Policy) (change, bool) {
	before := l.skew()
	if before <= pol.Enough {
		return change{}, false
	}
	work := l.clone()
	var best change
	var bestNet float64
	idle := 0
	for moves := 0; work.skew() > pol.Enough && idle < patience; idle++ {
		mv, ok := work.best()
		moves += mv.cost()
		// Nothing below the target is worth anything, so this bounds what is still to be gained.
		if !ok || moves > pol.MaxMoves || before-pol.Enough-pol.Price*float64(moves) <= bestNet {
			break
		}
		work.apply(mv)
		saved := before - max(work.skew(), pol.Enough)
		if net := saved - pol.Price*float64(moves); net > bestNet {
			bestNet, idle = net, 0
			best = change{index: index, layer: work.clone(), moves: moves, saved: saved}
		}
	}
	return best, best.layer != nil
}

func load(m *expertmap.Map, p Popularity, speed []float64) ([]*layer, error) {
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

func build(old *expertmap.Map, layers []*layer) *expertmap.Map {
	out := &expertmap.Map{Group: old.Group, Version: old.Version, Layers: make([]expertmap.Layer, len(layers))}
	for i, l := range layers {
		out.Layers[i].Slots = make([][]expertmap.Expert, len(l.slots))
		for r, held := range l.slots {
			out.Layers[i].Slots[r] = fill(held, old.Layers[i].Slots[r])
		}
	}
	return out
}

// fill leaves in unused slots what the old map had there.
func fill(held, old []expertmap.Expert) []expertmap.Expert {
	out := slices.Clone(held)
	for i, e := range out {
		if e == empty {
			out[i] = old[i]
		}
	}
	return out
}
