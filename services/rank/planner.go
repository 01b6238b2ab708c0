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
	// enoughSkew is the skew up to which a layer is left alone when passes are long, and restSkew when
	// they are short.
	enoughSkew = 1.1
	restSkew   = 1.3
	// restPart is the part of the pause goal up to which a pass is short: a shift of demand about doubles it.
	restPart = 0.5
	// gigabyteTime is the time of the group that a loaded gigabyte must save: moved experts are paid for. Found on the
	// users' first two deployments, where it makes 0.016 of a layer's time for an expert of 2.2 GB.
	gigabyteTime = 3 * time.Millisecond
	// holdTime is about how long a change holds the group.
	holdTime = 10 * time.Millisecond
	// payback is how many times the time that a change costs it must save until demand shifts again: the answer to a
	// shift that comes meanwhile is late by the change.
	payback = 2.0
	// changeTime is the time that the loading for one change should take: the first relief after a shift of demand
	// comes so much later. A rank loads as many experts for a change as fit into it, one at least.
	changeTime = 200 * time.Millisecond
	// layerPart is the part of them that may be of one layer.
	layerPart = 0.5
	// usualLoad is the time of a load that is reckoned with while neither the engine's figures nor a load tell.
	usualLoad = 100 * time.Millisecond
	// loadKeep is the weight of the past in the observed time of a load.
	loadKeep = 0.7
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
	demand  *demand
	// load is the time in which a rank loads an expert.
	load time.Duration
	// plannedAt is when the latest change was planned; no new one is before pauseTo.
	plannedAt, pauseTo time.Time
	// skew is that of the map in use under recent demand, and moves the loads of the latest plan. Most is the
	// number of them at the rank with the most.
	skew        float64
	moves, most int
}

func newPlanner(e *catalog.Engine, goal time.Duration, epoch services.Epoch, current *expertmap.Map) *planner {
	p := &planner{engine: e, goal: goal, epoch: epoch, current: current, demand: newDemand(e.Layers, e.Experts), load: e.LoadTime}
	if p.load <= 0 {
		p.load = usualLoad
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

// watch takes in new counts.
func (p *planner) watch(now time.Time, counts []services.RankCounts) { p.demand.count(now, counts) }

// plan returns a better map for the relative speed of each rank and the streams that a rank writes on average,
// or nil if none pays.
func (p *planner) plan(now time.Time, speed []float64, writers float64) (*expertmap.Map, error) {
	if !p.demand.enough() || now.Before(p.pauseTo) {
		return nil, nil
	}
	perSkew := p.perSkew(writers)
	lasts := p.demand.lasts(now)
	res, err := placement.Decide(p.current, p.demand.smooth(), speed, placement.Policy{
		Price: p.price(perSkew, lasts), MaxMoves: math.MaxInt32, MaxFresh: min(p.engine.MaxFresh, p.loads(layerPart)), MaxRank: p.loads(1), Enough: p.enoughFor(writers),
	}, nil)
	if err != nil {
		p.pauseTo = now.Add(retryAfter)
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
	if res.Before-res.After < p.leastGain(perSkew, lasts, most) {
		return nil, nil
	}
	p.most = most
	p.plannedAt, p.pauseTo = now, now.Add(retryAfter)
	return res.Map, nil
}

// perSkew returns the part of a pass by which it gets shorter when the skew falls by one.
func (p *planner) perSkew(writers float64) float64 {
	at := func(skew float64) float64 {
		load := balance.PassLoad{Mean: writers, Max: writers, Context: p.engine.UsualPrompt, Reading: p.engine.UsualPrompt, Skew: skew}
		return balance.Pass(p.engine, load).Seconds()
	}
	return (at(restSkew) - at(1)) / (restSkew - 1) / at(restSkew)
}

// price returns the fall of a layer's skew that one loaded expert must bring.
func (p *planner) price(perSkew float64, lasts time.Duration) float64 {
	cost := gigabyteTime.Seconds() * p.engine.ExpertMB / 1000
	return cost * float64(p.engine.Layers) / (perSkew * lasts.Seconds())
}

// leastGain returns the fall of the mean skew that a change must bring for which a rank loads so many experts. On
// average half of the time between two shifts is left.
func (p *planner) leastGain(perSkew float64, lasts time.Duration, most int) float64 {
	cost := holdTime + time.Duration((balance.CopySlowdown-1)*float64(most)*float64(p.load))
	return payback * cost.Seconds() / (perSkew * lasts.Seconds() / 2)
}

// loads returns how many experts a rank loads in a part of the time of a change, one at least.
func (p *planner) loads(part float64) int {
	return max(1, int(math.Round(part*float64(changeTime)/float64(p.load))))
}

// outdated reports whether demand has shifted since the latest change was planned, and so early that its experts
// are still to be loaded for longer than a moment.
func (p *planner) outdated(now time.Time, moment time.Duration) bool {
	loaded := p.plannedAt.Add(time.Duration(p.most) * p.load)
	return p.demand.shiftedAt.After(p.plannedAt) && loaded.Sub(now) > moment
}

// ended notes how a change to a map ended.
func (p *planner) ended(m *expertmap.Map, done bool) {
	if done {
		p.current = m
		p.pauseTo = time.Time{}
	}
}

// gaveUp notes that the latest change was given up for a better one.
func (p *planner) gaveUp() { p.pauseTo = time.Time{} }

// loaded notes how long the loading for the latest change took.
func (p *planner) loaded(took time.Duration) {
	if p.most > 0 {
		p.load = time.Duration(loadKeep*float64(p.load) + (1-loadKeep)*float64(took)/float64(p.most))
	}
}
