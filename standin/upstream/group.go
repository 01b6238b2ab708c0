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
	// Slots is the number of experts of a layer that one rank can hold.
	Slots int
	// StepTime is the duration of an even step without requests.
	StepTime time.Duration
	// PerSequence is what each running request adds to the step of its rank.
	PerSequence time.Duration
	// MaxRunning is the number of requests a rank works on at a time.
	MaxRunning int
	// ChecksFence makes ranks refuse orders with an old fence.
	ChecksFence bool
	// ReportLag is how old the load that ranks report may be.
	ReportLag time.Duration
	// Seed starts the drift of expert popularity.
	Seed uint64
}

// DefaultGroupOptions returns a small group with steps of four and a half milliseconds.
func DefaultGroupOptions(id group.ID) GroupOptions {
	return GroupOptions{
		ID: id, Ranks: 4, Layers: 4, Experts: 32, Slots: 10, StepTime: 4500 * time.Microsecond,
		PerSequence: 30 * time.Microsecond, MaxRunning: 32, ChecksFence: true, Seed: 1,
	}
}

// SlotsFor returns the slots of each of ranks that hold all experts and a quarter more for replicas.
func SlotsFor(experts, ranks int) int { return (experts*5/4 + ranks - 1) / ranks }

// sequence is one running or waiting request.
type sequence struct {
	ctx      context.Context
	prefill  int
	next     int
	last     int
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
	// keepHoldAnswer is set by Fault.
	keepHoldAnswer bool
	speed          float64
	busy           float64
	reported       report
	cache          *prefixCache
}

// report is the load of a rank as it was at a time.
type report struct {
	at               time.Time
	running, waiting int
	step, busy       int64
	load             float64
}

// report returns the rank's load, which lags. The caller holds the lock.
func (g *Group) report(now time.Time, r *rank) report {
	if now.Sub(r.reported.at) >= g.opts.ReportLag {
		r.reported = report{
			at: now, running: len(r.running), waiting: len(r.waiting),
			step: int64(g.micros), busy: int64(r.busy), load: g.expertLoads()[r.number],
		}
	}
	return r.reported
}

// StepRecord tells which map each rank used in a step.
type StepRecord struct {
	Step group.Step          `json:"step"`
	Maps []expertmap.Version `json:"maps"`
}

// Group steps its ranks together. Mixed counts steps in which ranks used different maps.
type Group struct {
	opts GroupOptions

	mu         sync.Mutex
	changed    *sync.Cond
	ranks      []*rank
	step       group.Step
	popularity [][]float64
	tokens     [][]float64
	micros     float64
	skew       float64
	mixed      int
	switches   []StepRecord
	stopped    bool
	done       chan struct{}
	random     *rand.Rand
}

// NewGroup returns a group on its first map. Run makes it step.
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

// Start makes the group step until Stop.
func (g *Group) Start() { go g.run() }

// Stop ends the steps.
func (g *Group) Stop() {
	g.mu.Lock()
	g.stopped = true
	g.changed.Broadcast()
	g.mu.Unlock()
	<-g.done
}
