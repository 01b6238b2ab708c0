// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package rank

import (
	"math"
	"time"

	"fawnwinch.org/fawnwinch/models/catalog"
	"fawnwinch.org/fawnwinch/models/expertmap"
	"fawnwinch.org/fawnwinch/services"
	"fawnwinch.org/fawnwinch/services/balance"
	"fawnwinch.org/fawnwinch/services/placement"
)

const (
	// popularityHalfLife is the time in which past choices count half. Demand shifts every few seconds.
	popularityHalfLife = 140 * time.Millisecond
	// fewestChoices is the number of choices of a layer on which a plan may rest, for each expert.
	fewestChoices = 4
	// enoughSkew is the skew up to which a layer is left alone when passes are long, and restSkew when
	// they are short.
	enoughSkew = 1.1
	restSkew   = 1.5
	// restPart is the part of the pause goal up to which a pass is short: a shift of demand about doubles it.
	restPart = 0.5
	// movePrice is the part of a layer's time that one loaded expert must save.
	movePrice = 0.016
	// changeGain is the fall of the mean skew that a change must bring at least.
	changeGain = 0.07
	// freshAtOnce is the number of experts of a layer that a rank loads in one change. Each takes a tenth
	// of a second, in which passes are slower; the next change follows at once.
	freshAtOnce = 1
	// rankAtOnce is the number of experts that a rank loads in one change in all layers.
	rankAtOnce = 2
	// retryAfter is the pause after a change that failed.
	retryAfter = 200 * time.Millisecond
)

// planner decides which map a group should have. It does no I/O and reads no clock.
type planner struct {
	engine *catalog.Engine
	// goal is the longest pause between two events of a stream; 0 if none is given.
	goal    time.Duration
	epoch   services.Epoch
	current *expertmap.Map
	counts  []services.RankCounts
	recent  placement.Popularity
	at      time.Time
	pauseTo time.Time
	// skew is that of the map in use under recent demand, and moves the loads of the latest plan.
	skew  float64
	moves int
}

func newPlanner(e *catalog.Engine, goal time.Duration, epoch services.Epoch, current *expertmap.Map) *planner {
	p := &planner{engine: e, goal: goal, epoch: epoch, current: current}
	p.recent = make(placement.Popularity, e.Layers)
	for l := range p.recent {
		p.recent[l] = make([]float64, e.Experts)
	}
	return p
}

// enoughFor returns the skew up to which a layer is left alone when a rank writes so many streams.
func (p *planner) enoughFor(writers float64) float64 {
	if p.goal == 0 {
		return enoughSkew
	}
	within := time.Duration(restPart * float64(p.goal))
	load := balance.PassLoad{Mean: writers, Max: writers, Context: p.engine.UsualPrompt, Reading: p.engine.UsualPrompt, Skew: restSkew}
	for load.Skew > enoughSkew && balance.Pass(p.engine, load) > within {
		load.Skew -= skewStep
	}
	return load.Skew
}

// skewStep is the step in which an acceptable skew is searched for.
const skewStep = 0.05

// plan takes in new counts, the relative speed of each rank and the streams that a rank writes on average,
// and returns a better map, or nil if none pays.
func (p *planner) plan(now time.Time, counts []services.RankCounts, speed []float64, writers float64) *expertmap.Map {
	p.count(now, counts)
	if !p.enough() || now.Before(p.pauseTo) {
		return nil
	}
	popularity := p.smooth()
	res, err := placement.Decide(p.current, popularity, speed, placement.Policy{
		Price: movePrice, MaxMoves: math.MaxInt32, MaxFresh: min(p.engine.MaxFresh, freshAtOnce), MaxRank: rankAtOnce, Enough: p.enoughFor(writers),
	}, nil)
	if err != nil {
		return nil
	}
	p.skew, p.moves = res.Before, res.Moves
	if res.Map == nil || res.Before-res.After < changeGain {
		return nil
	}
	p.pauseTo = now.Add(retryAfter)
	return res.Map
}

// ended notes how a change to a map ended.
func (p *planner) ended(m *expertmap.Map, done bool) {
	if done {
		p.current = m
		p.pauseTo = time.Time{}
	}
}

// count takes the choices since the last look in.
func (p *planner) count(now time.Time, counts []services.RankCounts) {
	if !p.at.IsZero() {
		keep := math.Exp2(-now.Sub(p.at).Seconds() / popularityHalfLife.Seconds())
		for _, layer := range p.recent {
			for e := range layer {
				layer[e] *= keep
			}
		}
	}
	p.at = now
	for r := range counts {
		if p.counts != nil {
			p.add(p.counts[r], counts[r])
		}
	}
	p.counts = append([]services.RankCounts(nil), counts...)
}

// add adds what one rank has counted since. A rank that has started anew counts from 0. What a rank counted
// before it was asked is not recent.
func (p *planner) add(before, after services.RankCounts) {
	if len(after.Counts) != p.engine.Layers*p.engine.Experts || len(before.Counts) != len(after.Counts) {
		return
	}
	for i, n := range after.Counts {
		if before.Counts[i] <= n {
			n -= before.Counts[i]
		}
		p.recent[i/p.engine.Experts][i%p.engine.Experts] += float64(n)
	}
}

// enough reports whether enough was counted to plan by.
func (p *planner) enough() bool {
	for _, layer := range p.recent {
		var sum float64
		for _, n := range layer {
			sum += n
		}
		if sum < fewestChoices*float64(len(layer)) {
			return false
		}
	}
	return true
}

// smooth returns the recent demand with a little for every expert, so that none counts as free.
func (p *planner) smooth() placement.Popularity {
	out := make(placement.Popularity, len(p.recent))
	for l, layer := range p.recent {
		out[l] = make([]float64, len(layer))
		for e, n := range layer {
			out[l][e] = n + 0.5
		}
	}
	return out
}
