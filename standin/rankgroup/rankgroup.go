// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package rankgroup is a small stand-in for a model group on the users' platform, for tests: ranks
// that run passes in lockstep, report, count the choices of experts and accept orders. Answers to
// orders may be lost and the orders applied late. It checks that all ranks use the same expert map
// whenever a pass begins.
package rankgroup

import (
	"math/rand/v2"
	"reflect"
	"sync"
	"time"
)

// Options holds the sizes and times of a group.
type Options struct {
	Name                    string
	Ranks, Layers, Experts  int
	PassTime, LoadTime      time.Duration
	Seed                    uint64
	ChoicesPerPass, Running int
}

// expertMap is an expert map: the experts by layer and rank.
type expertMap [][][]int

// rank is the state of one rank.
type rank struct {
	version        uint64
	experts        expertMap
	newestPrepared uint64
	prepared       uint64
	next           expertMap
	// readyAt is the time when the prepared map is completely loaded.
	readyAt time.Time
	armed   uint64
	armedAt uint64
	holds   bool
	held    uint64
	fence   uint64
	counts  []uint64
}

// Faults holds the faults that are applied to orders.
type Faults struct {
	// Lost is the fraction of orders that get no answer. Each of them is applied after Late.
	Lost float64
	Late time.Duration
}

// Group is the stand-in. It is safe for concurrent use.
type Group struct {
	opts Options

	mu          sync.Mutex
	rand        *rand.Rand
	ranks       []*rank
	step        uint64
	epoch       uint64
	hotExpert   int
	faults      Faults
	mixedPasses int
	mapChanges  int
	heldTime    time.Duration
	stopped     chan struct{}
	done        sync.WaitGroup
}

// New returns a group that uses its first map, with experts assigned to ranks round-robin.
func New(o Options) *Group {
	g := &Group{opts: o, epoch: 1, rand: rand.New(rand.NewPCG(o.Seed, 1)), stopped: make(chan struct{})} //nolint:gosec // tests are reproducible by their seed
	first := make(expertMap, o.Layers)
	for l := range first {
		first[l] = make([][]int, o.Ranks)
		for e := range o.Experts {
			first[l][e%o.Ranks] = append(first[l][e%o.Ranks], e)
		}
	}
	for range o.Ranks {
		g.ranks = append(g.ranks, &rank{experts: first, counts: make([]uint64, o.Layers*o.Experts)})
	}
	return g
}

// Start starts the passes of the group, which run until Stop.
func (g *Group) Start() {
	g.done.Go(func() {
		t := time.NewTicker(g.opts.PassTime)
		defer t.Stop()
		for {
			select {
			case <-t.C:
				g.pass()
			case <-g.stopped:
				return
			}
		}
	})
}

// Stop stops the passes and cancels the orders that have not been applied yet.
func (g *Group) Stop() {
	close(g.stopped)
	g.done.Wait()
}

// SetHotExpert makes one expert of each layer be chosen more often than all others together.
func (g *Group) SetHotExpert(expert int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.hotExpert = expert
}

// SetFaults sets the faults that are applied to orders from now on.
func (g *Group) SetFaults(t Faults) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.faults = t
}

// Stats holds the counters of a group.
type Stats struct {
	// Mixed counts the passes that began with different maps, Changes those that began with a new
	// map.
	Mixed, Changes int
	Passes         uint64
	// Version is the version of the map in use.
	Version uint64
	// Held is the total time for which holds delayed the passes.
	Held time.Duration
}

// Stats returns the counters of the group.
func (g *Group) Stats() Stats {
	g.mu.Lock()
	defer g.mu.Unlock()
	return Stats{Mixed: g.mixedPasses, Changes: g.mapChanges, Passes: g.step, Version: g.ranks[0].version, Held: g.heldTime}
}

// Holds reports whether a rank has a hold in force.
func (g *Group) Holds() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, r := range g.ranks {
		if r.holds {
			return true
		}
	}
	return false
}

// pass starts the next pass, unless a rank holds it, and checks that all ranks use the same map.
func (g *Group) pass() {
	g.mu.Lock()
	defer g.mu.Unlock()
	next := g.step + 1
	for _, r := range g.ranks {
		if r.holds && r.held <= next {
			g.heldTime += g.opts.PassTime
			return
		}
	}
	g.step = next
	changed := false
	for _, r := range g.ranks {
		if r.armed != 0 && r.armedAt == next {
			r.version, r.experts = r.armed, r.next
			r.armed, r.prepared, r.next = 0, 0, nil
			changed = true
		}
	}
	first := g.ranks[0]
	for _, r := range g.ranks {
		if r.version != first.version || !reflect.DeepEqual(r.experts, first.experts) {
			g.mixedPasses++
			break
		}
	}
	if changed {
		g.mapChanges++
	}
	g.countChoices()
}

// countChoices counts the expert choices of a pass.
func (g *Group) countChoices() {
	for _, r := range g.ranks {
		for l := range g.opts.Layers {
			for range g.opts.ChoicesPerPass {
				e := g.hotExpert
				if g.rand.IntN(2) == 0 {
					e = g.rand.IntN(g.opts.Experts)
				}
				r.counts[l*g.opts.Experts+e]++
			}
		}
	}
}
