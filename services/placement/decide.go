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

// patience is the number of moves in a row that may gain nothing on balance: when several ranks are
// about as heavy, all must be relieved before the step gets shorter.
const patience = 8

// Decide improves a map for a popularity. It changes nothing that it is given. Floors are those of the
// last decision, or nil. The layers share the bounds: the moves that save most for each expert loaded are made
// first, in whichever layer they are, as long as they pay.
func Decide(m *expertmap.Map, p Popularity, speed []float64, pol Policy, floors []float64) (Result, error) {
	layers, err := load(m, p, speed)
	if err != nil {
		return Result{}, err
	}
	d := decision{pol: pol, layers: layers, loads: make([]int, len(speed))}
	for _, l := range layers {
		l.maxFresh, l.maxRank, l.loads = pol.MaxFresh, pol.MaxRank, d.loads
	}
	res := Result{Before: meanSkew(layers)}
	res.Moves = d.improve(floors)
	res.After = meanSkew(d.layers)
	res.Floors = newFloors(d.layers, pol, floors)
	if res.Moves > 0 {
		res.Map = build(m, d.layers)
	}
	return res, nil
}

// decision is a decision that is being made.
type decision struct {
	pol    Policy
	layers []*layer
	// loads counts the experts that each rank loads in all layers, by the changes made so far.
	loads []int
}

// improve makes changes as long as one pays and fits, and returns the number of experts to load.
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
			if c.layer != nil && (best < 0 || c.worth() > next[best].worth()) {
				best = i
			}
		}
		if best < 0 {
			return moves
		}
		// Changes of other layers may have used up what this one was to load.
		if c := next[best]; moves+c.moves <= d.pol.MaxMoves && c.fits(d.loads, d.pol.MaxRank) {
			d.make(best, c)
			moves += c.moves
		}
		next[best] = d.layers[best].improve(d.pol, d.pol.MaxMoves-moves)
	}
}

// make makes a change of a layer.
func (d *decision) make(i int, c change) {
	for r, n := range c.layer.fresh {
		d.loads[r] += n - c.layer.made[r]
	}
	c.layer.made = slices.Clone(c.layer.fresh)
	d.layers[i] = c.layer
}

// change is a row of moves in one layer that pays as a whole.
type change struct {
	layer *layer
	moves int
	// saved is the fall of the layer's skew.
	saved float64
}

// worth is what the change saves for each expert loaded.
func (c change) worth() float64 { return c.saved / float64(c.moves) }

// fits reports whether no rank loads too much if the change is made beside those made before.
func (c change) fits(loads []int, most int) bool {
	if most == 0 {
		return true
	}
	for r, n := range c.layer.fresh {
		if n > c.layer.made[r] && loads[r]+n-c.layer.made[r] > most {
			return false
		}
	}
	return true
}

// improve returns the shortest row of moves that relieves the heaviest rank and pays; its layer is nil if there is none
// with so many moves at most.
func (l *layer) improve(pol Policy, most int) change {
	before := l.skew()
	if before <= pol.Enough {
		return change{}
	}
	work := l.clone()
	for moves := 0; moves < most; {
		mv, ok := work.best()
		moves += mv.cost()
		// Nothing below the target is worth anything, so this bounds what is still to be gained.
		if !ok || moves > min(patience, most) || before-pol.Enough <= pol.Price*float64(moves) {
			break
		}
		work.apply(mv)
		if saved := before - max(work.skew(), pol.Enough); saved > pol.Price*float64(moves) {
			return change{layer: work, moves: moves, saved: saved}
		}
	}
	return change{}
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
