// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package upstream

import (
	"context"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"fawnwinch.org/fawnwinch/models/expertmap"
	"fawnwinch.org/fawnwinch/models/group"
	"fawnwinch.org/fawnwinch/services"
)

// GroupOptions sets the size and speed of a group of ranks.
type GroupOptions struct {
	ID      group.ID
	Ranks   int
	Layers  int
	Experts int
	// Slots is the number of experts per layer that one rank can hold.
	Slots int
	// StepTime is the duration of a step with even expert load and without requests.
	StepTime time.Duration
	// PerSequence is the time that each running request adds to the step of its rank.
	PerSequence time.Duration
	// MaxRunning is the maximum number of requests that a rank processes at a time.
	MaxRunning int
	// ChecksFence reports whether ranks refuse orders with an old fence.
	ChecksFence bool
	// ReportLag is the maximum age of the load that ranks report.
	ReportLag time.Duration
	// Seed is the seed of the random drift of expert popularity.
	Seed uint64
}

// DefaultGroupOptions returns a small group with steps of four and a half milliseconds.
func DefaultGroupOptions(id group.ID) GroupOptions {
	return GroupOptions{
		ID: id, Ranks: 4, Layers: 4, Experts: 32, Slots: 10, StepTime: 4500 * time.Microsecond,
		PerSequence: 30 * time.Microsecond, MaxRunning: 32, ChecksFence: true, Seed: 1,
	}
}

// SlotsFor returns the number of slots per rank for all experts and a quarter more for replicas.
func SlotsFor(experts, ranks int) int { return (experts*5/4 + ranks - 1) / ranks }

// sequence is one running or waiting request.
type sequence struct {
	ctx context.Context
	// prefill is the number of prefill steps that remain.
	prefill int
	// next is the index of the next token, and end the exclusive bound of the indexes.
	next     int
	end      int
	priority int
	tokens   chan int
}

// rank is the state of one rank; the group's lock guards it.
type rank struct {
	number   group.Rank
	current  *expertmap.Map
	staged   *expertmap.Map
	hold     group.Step
	holdMap  expertmap.Version
	switchAt group.Step
	switchTo *expertmap.Map
	fence    services.Fence
	running  []*sequence
	waiting  []*sequence
	stall    time.Duration
	// withholdHoldAnswer is set by Fault.KeepHoldAnswer.
	withholdHoldAnswer bool
	speed              float64
	meanBusyMicros     float64
	reported           report
	cache              *prefixCache
}

// report is the load of a rank at a point in time.
type report struct {
	at                     time.Time
	running, waiting       int
	stepMicros, busyMicros int64
	load                   float64
}

// report returns the load that the rank reports, which is up to ReportLag old. The caller holds the
// lock.
func (g *Group) report(now time.Time, r *rank) report {
	if now.Sub(r.reported.at) >= g.opts.ReportLag {
		r.reported = report{
			at: now, running: len(r.running), waiting: len(r.waiting),
			stepMicros: int64(g.meanStepMicros), busyMicros: int64(r.meanBusyMicros), load: g.expertLoads()[r.number],
		}
	}
	return r.reported
}

// StepRecord holds the version of the map that each rank used in a step.
type StepRecord struct {
	Step group.Step          `json:"step"`
	Maps []expertmap.Version `json:"maps"`
}

// Group runs its ranks in lockstep. It counts in mixedSteps the steps in which ranks used different
// maps.
type Group struct {
	opts GroupOptions

	mu             sync.Mutex
	changed        *sync.Cond
	ranks          []*rank
	step           group.Step
	popularity     [][]float64
	tokens         [][]float64
	meanStepMicros float64
	skew           float64
	mixedSteps     int
	switches       []StepRecord
	stopped        bool
	done           chan struct{}
	random         *rand.Rand
}

// NewGroup returns a group that uses its first map. Start makes it step.
func NewGroup(o GroupOptions) (*Group, error) {
	first, err := expertmap.RoundRobin(o.ID, o.Layers, o.Ranks, o.Slots, o.Experts)
	if err != nil {
		return nil, err
	}
	g := &Group{opts: o, done: make(chan struct{}), random: rand.New(rand.NewPCG(o.Seed, 7))} //nolint:gosec // repeatable drift
	g.changed = sync.NewCond(&g.mu)
	for i := range o.Ranks {
		g.ranks = append(g.ranks, &rank{number: group.Rank(i), current: first, speed: 1, cache: newPrefixCache()})
	}
	g.popularity = make([][]float64, o.Layers)
	g.tokens = make([][]float64, o.Layers)
	for l := range o.Layers {
		g.popularity[l] = make([]float64, o.Experts)
		g.tokens[l] = make([]float64, o.Experts)
		for e, p := range g.random.Perm(o.Experts) {
			g.popularity[l][e] = 1 / math.Pow(float64(p+1), 0.6)
		}
	}
	return g, nil
}

// Start starts the steps of the group, which run until Stop.
func (g *Group) Start() { go g.run() }

// Stop stops the group and waits for the current step.
func (g *Group) Stop() {
	g.mu.Lock()
	g.stopped = true
	g.changed.Broadcast()
	g.mu.Unlock()
	<-g.done
}
