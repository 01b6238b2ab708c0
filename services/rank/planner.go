// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package rank

import (
	"fmt"
	"math"
	"time"

	"fawnwinch.org/fawnwinch/models/catalog"
	"fawnwinch.org/fawnwinch/models/expertmap"
	"fawnwinch.org/fawnwinch/services"
	"fawnwinch.org/fawnwinch/services/balance"
	"fawnwinch.org/fawnwinch/services/placement"
)

const (
	// targetSkew is the skew up to which a layer is left alone when passes are long, and
	// relaxedSkew when they are short.
	targetSkew  = 1.1
	relaxedSkew = 1.3
	// shortPassFraction is the fraction of the pause goal up to which a pass is short: a shift of
	// demand about doubles it.
	shortPassFraction = 0.5
	// gigabyteTime is the time of the group that a loaded gigabyte must save, as moved experts are
	// paid for. On the users' first two deployments it makes 0.016 of a layer's time for an expert
	// of 2.2 GB.
	gigabyteTime = 3 * time.Millisecond
	// holdTime is about how long a change holds the group.
	holdTime = 10 * time.Millisecond
	// payback is how many times its own time cost a change must save until demand shifts again: the
	// response to a shift that occurs meanwhile is delayed by the change.
	payback = 2.0
	// changeTime is the target for the loading time of one change: it delays the first relief after
	// a shift of demand. A rank loads as many experts for a change as fit into it, at least one.
	changeTime = 200 * time.Millisecond
	// layerFraction is the fraction of them that may be of one layer.
	layerFraction = 0.5
	// defaultLoadTime is the assumed time of a load while neither the engine's parameters nor an
	// observed load give it.
	defaultLoadTime = 100 * time.Millisecond
	// loadDecay is the weight of the past in the observed time of a load.
	loadDecay = 0.7
	// retryAfter is the pause after a change that failed.
	retryAfter = 200 * time.Millisecond
)

// planner decides which map a group should have. It does no I/O and reads no clock.
type planner struct {
	engine *catalog.Engine
	// goal is the longest acceptable pause between two events of a stream; 0 if none is set.
	goal    time.Duration
	epoch   services.Epoch
	current *expertmap.Map
	demand  *demand
	// load is the time in which a rank loads an expert.
	load time.Duration
	// plannedAt is when the latest change was planned; no new one is planned before pausedUntil.
	plannedAt, pausedUntil time.Time
	// skew is that of the map in use under recent demand, and moves the number of loads of the
	// latest plan. maxLoads is their number at the rank with the most.
	skew            float64
	moves, maxLoads int
}

func newPlanner(e *catalog.Engine, goal time.Duration, epoch services.Epoch, current *expertmap.Map) *planner {
	p := &planner{engine: e, goal: goal, epoch: epoch, current: current, demand: newDemand(e.Layers, e.Experts), load: e.LoadTime}
	if p.load <= 0 {
		p.load = defaultLoadTime
	}
	return p
}

// acceptableSkew returns the skew up to which a layer is left alone when a rank has the given mean
// number of streams.
func (p *planner) acceptableSkew(writers float64) float64 {
	if p.goal == 0 {
		return targetSkew
	}
	within := time.Duration(shortPassFraction * float64(p.goal))
	load := balance.PassLoad{Mean: writers, Max: writers, Context: p.engine.UsualPrompt, Reading: p.engine.UsualPrompt, Skew: relaxedSkew}
	for load.Skew > targetSkew && balance.Pass(p.engine, load) > within {
		load.Skew -= skewStep
	}
	return load.Skew
}

// skewStep is the step in which an acceptable skew is searched for.
const skewStep = 0.05

// watch adds new counts.
func (p *planner) watch(now time.Time, counts []services.RankCounts) { p.demand.count(now, counts) }

// plan returns a better map for the relative speed of each rank and the mean number of streams per
// rank, or nil if none pays.
func (p *planner) plan(now time.Time, speed []float64, writers float64) (*expertmap.Map, error) {
	if !p.demand.enough() || now.Before(p.pausedUntil) {
		return nil, nil
	}
	perSkew := p.perSkew(writers)
	lasts := p.demand.expectedDuration(now)
	res, err := placement.Decide(p.current, p.demand.smooth(), speed, placement.Policy{
		Price: p.price(perSkew, lasts), MaxMoves: math.MaxInt32, MaxFresh: min(p.engine.MaxFresh, p.loads(layerFraction)), MaxRank: p.loads(1), Enough: p.acceptableSkew(writers),
	}, nil)
	if err != nil {
		p.pausedUntil = now.Add(retryAfter)
		return nil, fmt.Errorf("plan a map: %w", err)
	}
	p.skew, p.moves = res.Before, res.Moves
	if res.Map == nil {
		return nil, nil
	}
	most := 0
	for r := range speed {
		most = max(most, res.Map.Loads(p.current, r))
	}
	if res.Before-res.After < p.minGain(perSkew, lasts, most) {
		return nil, nil
	}
	p.maxLoads = most
	p.plannedAt, p.pausedUntil = now, now.Add(retryAfter)
	return res.Map, nil
}

// perSkew returns the fraction by which a pass gets shorter when the skew falls by one.
func (p *planner) perSkew(writers float64) float64 {
	at := func(skew float64) float64 {
		load := balance.PassLoad{Mean: writers, Max: writers, Context: p.engine.UsualPrompt, Reading: p.engine.UsualPrompt, Skew: skew}
		return balance.Pass(p.engine, load).Seconds()
	}
	return (at(relaxedSkew) - at(1)) / (relaxedSkew - 1) / at(relaxedSkew)
}

// price returns the fall of a layer's skew that one loaded expert must bring.
func (p *planner) price(perSkew float64, lasts time.Duration) float64 {
	cost := gigabyteTime.Seconds() * p.engine.ExpertMB / 1000
	return cost * float64(p.engine.Layers) / (perSkew * lasts.Seconds())
}

// minGain returns the fall of the mean skew that a change must bring for which a rank loads up to
// the given number of experts. On average half of the time between two shifts is left.
func (p *planner) minGain(perSkew float64, lasts time.Duration, most int) float64 {
	cost := holdTime + time.Duration((balance.CopySlowdown-1)*float64(most)*float64(p.load))
	return payback * cost.Seconds() / (perSkew * lasts.Seconds() / 2)
}

// loads returns how many experts a rank loads in a fraction of the time of a change, at least one.
func (p *planner) loads(fraction float64) int {
	return max(1, int(math.Round(fraction*float64(changeTime)/float64(p.load))))
}

// outdated reports whether demand has shifted since the latest change was planned, and the loading
// of its experts still takes longer than the given moment.
func (p *planner) outdated(now time.Time, moment time.Duration) bool {
	loaded := p.plannedAt.Add(time.Duration(p.maxLoads) * p.load)
	return p.demand.shiftedAt.After(p.plannedAt) && loaded.Sub(now) > moment
}

// ended records how a change to a map ended.
func (p *planner) ended(m *expertmap.Map, done bool) {
	if done {
		p.current = m
		p.pausedUntil = time.Time{}
	}
}

// abandoned records that the latest change was abandoned for a better one.
func (p *planner) abandoned() { p.pausedUntil = time.Time{} }

// loaded records how long the loading for the latest change took.
func (p *planner) loaded(took time.Duration) {
	if p.maxLoads > 0 {
		p.load = time.Duration(loadDecay*float64(p.load) + (1-loadDecay)*float64(took)/float64(p.maxLoads))
	}
}
