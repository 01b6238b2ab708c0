// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package rankgroup is a small stand-in of a model group on the users' platform for tests: ranks that make passes
// together, report, count what is chosen and take orders, with orders that are lost and carried out late. It
// checks that all ranks hold the same expert map whenever a pass begins.
package rankgroup

import (
	"math/rand/v2"
	"reflect"
	"sync"
	"time"
)

// Options holds the sizes of a group.
type Options struct {
	Name                    string
	Ranks, Layers, Experts  int
	PassTime, LoadTime      time.Duration
	Seed                    uint64
	ChoicesPerPass, Running int
}

// expertMap is a map: by layer and rank, the experts.
type expertMap [][][]int

// rank is the state of one rank.
type rank struct {
	version  uint64
	experts  expertMap
	newest   uint64
	prepared uint64
	next     expertMap
	// readyAt is when the prepared map is loaded.
	readyAt time.Time
	armed   uint64
	armedAt uint64
	holds   bool
	held    uint64
	fence   uint64
	counts  []uint64
}

// Trouble tells what happens to orders.
type Trouble struct {
	// Lost is the part of the orders that get no answer. Each is carried out after Late.
	Lost float64
	Late time.Duration
}

// Group is the stand-in. It is safe for use by several goroutines.
type Group struct {
	opts Options

	mu      sync.Mutex
	rand    *rand.Rand
	ranks   []*rank
	step    uint64
	epoch   uint64
	hot     int
	trouble Trouble
	mixed   int
	changes int
	heldFor time.Duration
	stopped chan struct{}
	done    sync.WaitGroup
}

// New returns a group on its first map, in which experts are dealt out in turn.
func New(o Options) *Group {
	g := &Group{opts: o, epoch: 1, rand: rand.New(rand.NewPCG(o.Seed, 1)), stopped: make(chan struct{})} //nolint:gosec // tests repeat by their seed
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

// Start lets the group make passes until Stop.
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

// Stop ends the passes, and the orders that are still to be carried out.
func (g *Group) Stop() {
	close(g.stopped)
	g.done.Wait()
}

// Like makes one expert of each layer liked more than all others together.
func (g *Group) Like(expert int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.hot = expert
}

// Trouble sets what happens to orders from now on.
func (g *Group) Trouble(t Trouble) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.trouble = t
}

// Seen tells what has happened so far.
type Seen struct {
	// Mixed counts the passes that began with two maps, Changes those that began with a new one.
	Mixed, Changes int
	Passes         uint64
	// Version is that of the map in use.
	Version uint64
	// Held is how long the group has stood still in all.
	Held time.Duration
}

// Seen returns what has happened so far.
func (g *Group) Seen() Seen {
	g.mu.Lock()
	defer g.mu.Unlock()
	return Seen{Mixed: g.mixed, Changes: g.changes, Passes: g.step, Version: g.ranks[0].version, Held: g.heldFor}
}

// Holds reports whether a rank holds a pass.
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

// pass begins the next pass, unless a rank holds it, and checks the maps.
func (g *Group) pass() {
	g.mu.Lock()
	defer g.mu.Unlock()
	next := g.step + 1
	for _, r := range g.ranks {
		if r.holds && r.held <= next {
			g.heldFor += g.opts.PassTime
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
			g.mixed++
			break
		}
	}
	if changed {
		g.changes++
	}
	g.choose()
}

// choose counts the choices of a pass.
func (g *Group) choose() {
	for _, r := range g.ranks {
		for l := range g.opts.Layers {
			for range g.opts.ChoicesPerPass {
				e := g.hot
				if g.rand.IntN(2) == 0 {
					e = g.rand.IntN(g.opts.Experts)
				}
				r.counts[l*g.opts.Experts+e]++
			}
		}
	}
}
