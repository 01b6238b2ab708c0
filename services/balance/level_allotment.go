// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package balance

import (
	"slices"
	"time"

	"fawnwinch.org/fawnwinch/models/catalog"
	"fawnwinch.org/fawnwinch/models/urgency"
	"fawnwinch.org/fawnwinch/models/vm"
)

// floorPart is the part of the allotments of a report, one in so many, that goes to less urgent
// levels while a more urgent one takes all places.
const floorPart = 10

// LevelMeans returns the limits of a service's levels; see LevelMean.
func LevelMeans(e *catalog.Engine, pace float64, pauseGoal time.Duration, levels int) [urgency.MaxLevels]float64 {
	var out [urgency.MaxLevels]float64
	for l := range min(levels, urgency.MaxLevels) {
		out[l] = LevelMean(e, pace, pauseGoal, urgency.Level(l), levels)
	}
	return out
}

// shareID identifies the demand that a share consists of. Routers earn credit for each of them
// separately, so that credit earned for batch requests takes no place of an urgent one.
type shareID int

const (
	// shareAll is the demand of all levels.
	shareAll shareID = iota
	// shareFloor is the demand of the levels below the one that is served.
	shareFloor
	// shareLevel is the demand of level 0; those of the other levels follow.
	shareLevel
)

// share is the demand for which routers get requests in proportion.
type share struct {
	id shareID
	// weights holds the demand of each router.
	weights []float64
	// left returns how many more requests each router may get; nil means no limit.
	left func(router int) int
	// blocked marks the ranks to which no router of the share may send.
	blocked []bool
	// credits holds the routers' credits by data centre of the ranks.
	credits map[vm.DataCentre][]float64
}

func newShare(id shareID, ranks int, weights []float64) *share {
	return &share{id: id, weights: weights, blocked: make([]bool, ranks), credits: map[vm.DataCentre][]float64{}}
}

// has reports whether a router may get one more request.
func (s *share) has(router int) bool { return s.left == nil || s.left(router) > 0 }

// weight returns the weight of a router's demand for ranks in a data centre.
func (s *share) weight(router int, d *Demand, at vm.DataCentre) float64 {
	if d.DataCentre != at {
		return s.weights[router] * remoteWeight
	}
	return s.weights[router]
}

// totalWeights returns the weights of the routers' demands for all levels. A router without demand
// has a small weight too.
func totalWeights(demands []Demand) []float64 {
	out := make([]float64, len(demands))
	for i, d := range demands {
		out[i] = float64(d.Requests + 1)
	}
	return out
}

// levelRound allots the places of one report by level.
type levelRound struct {
	*allotmentRound
	levels []levelState
	// total is the number of requests at all ranks with the allotments so far.
	total float64
}

// levelState is the state of one level in a levelRound.
type levelState struct {
	// limit is the number of requests up to which the group gets those of this level; 0 means that
	// only the bounds apply.
	limit float64
	// wanted holds the capped demand of each router, and left the part of it that has no place yet;
	// leftSum is the sum of left.
	wanted, left []int
	leftSum      int
	// waiting reports whether requests of the level wait.
	waiting bool
	// granted counts the allotments to the level.
	granted int
}

func newLevelRound(r *allotmentRound, levels int) *levelRound {
	v := &levelRound{allotmentRound: r, levels: make([]levelState, levels)}
	for l := range v.levels {
		s := levelState{limit: r.bounds.LevelMeans[l] * float64(len(r.ranks)), wanted: make([]int, len(r.demands))}
		for i := range r.demands {
			d := r.demands[i].level(l)
			s.wanted[i] = min(max(d.Wanted, 0), maxDemand)
			s.waiting = s.waiting || d.Waiting > 0
		}
		limitDemand(s.wanted)
		s.left = slices.Clone(s.wanted)
		for _, n := range s.left {
			s.leftSum += n
		}
		v.levels[l] = s
	}
	for _, load := range r.loads {
		v.total += load
	}
	return v
}

// take records that a router has got a place for a request of the level.
func (s *levelState) take(router int) {
	s.left[router]--
	s.leftSum--
	s.granted++
}

// serve allots places to the levels in order of urgency, and the remaining ones up to the smallest
// limit to all routers: their figures are old, and a new urgent request must find a place
// immediately.
func (v *levelRound) serve() {
	smallest := 0.0
	for l := range v.levels {
		v.serveLevel(l)
		if limit := v.levels[l].limit; limit > 0 && (smallest == 0 || limit < smallest) {
			smallest = limit
		}
	}
	spare := newShare(shareAll, len(v.ranks), levelWeights(v.levels))
	for i := range spare.weights {
		spare.weights[i]++
	}
	for v.below(smallest) && v.allot(spare) >= 0 {
	}
	v.allotter.keepCredits(v.demands, spare)
}

// serveLevel allots places to a level, and the floor to the levels after it.
func (v *levelRound) serveLevel(l int) {
	level, after := &v.levels[l], v.levels[l+1:]
	own := newShare(shareLevel+shareID(l), len(v.ranks), levelWeights(v.levels[l:l+1]))
	own.left = func(router int) int { return level.left[router] }
	floor := newShare(shareFloor, len(v.ranks), levelWeights(after))
	floor.left = func(router int) int { return leftOf(after, router) }
	defer v.allotter.keepCredits(v.demands, own, floor)
	for level.leftSum > 0 && v.below(level.limit) {
		if v.floorDue(after) {
			if router := v.allot(floor); router >= 0 {
				takeLast(after, router)
				continue
			}
		}
		router := v.allot(own)
		if router < 0 {
			return
		}
		level.take(router)
	}
}

// below reports whether the group gets one more request under a limit.
func (v *levelRound) below(limit float64) bool {
	return v.free >= 1 && (limit == 0 || limit-v.total >= 1)
}

// allot allots one request to a router of a share.
func (v *levelRound) allot(s *share) int {
	router := v.grant(s)
	if router >= 0 {
		v.total++
	}
	return router
}

// floorDue reports whether the next place goes to one of the last levels, because they have got
// less than their floor of the places including the next one.
func (v *levelRound) floorDue(last []levelState) bool {
	places, granted, left, waiting := 1, 0, 0, false
	for _, s := range v.levels {
		places += s.granted
	}
	for _, s := range last {
		granted += s.granted
		left += s.leftSum
		waiting = waiting || s.waiting
	}
	if waiting {
		places += floorPart - 1
	}
	return left > 0 && granted < places/floorPart
}

// levelWeights returns the demand of each router for the levels together.
func levelWeights(levels []levelState) []float64 {
	if len(levels) == 0 {
		return nil
	}
	out := make([]float64, len(levels[0].wanted))
	for _, s := range levels {
		for i, n := range s.wanted {
			out[i] += float64(n)
		}
	}
	return out
}

// leftOf returns a router's demand for the levels together that has no place yet.
func leftOf(levels []levelState, router int) int {
	sum := 0
	for _, s := range levels {
		sum += s.left[router]
	}
	return sum
}

// takeLast records a place of the floor. It counts for the router's least urgent level with demand,
// which is the last to get any other place.
func takeLast(levels []levelState, router int) {
	for i := len(levels) - 1; i >= 0; i-- {
		if levels[i].left[router] > 0 {
			levels[i].take(router)
			return
		}
	}
}
