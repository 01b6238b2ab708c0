// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package upstream

import (
	"time"

	"fawnwinch.org/fawnwinch/models/expertmap"
	"fawnwinch.org/fawnwinch/models/group"
)

func (g *Group) run() {
	defer close(g.done)
	for {
		d, ok := g.enterStep()
		if !ok {
			return
		}
		time.Sleep(d)
		g.finishStep()
	}
}

// enterStep waits until every rank may enter the next step, and returns the duration of that step.
// It returns false once the group is stopped.
func (g *Group) enterStep() (time.Duration, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for !g.stopped && (g.heldLocked() || g.idleLocked()) {
		g.changed.Wait()
	}
	if g.stopped {
		return 0, false
	}
	g.step++
	maps := make([]expertmap.Version, len(g.ranks))
	switched := false
	for i, r := range g.ranks {
		if r.switchTo != nil && g.step >= r.switchAt {
			r.current, r.switchTo, r.switchAt = r.switchTo, nil, 0
			switched = true
		}
		maps[i] = r.current.Version
	}
	g.recordMaps(maps, switched)
	g.admit()
	return g.stepTime(), true
}

// heldLocked reports whether a hold keeps a rank from entering the next step.
func (g *Group) heldLocked() bool {
	for _, r := range g.ranks {
		if r.hold != 0 && g.step+1 >= r.hold {
			return true
		}
	}
	return false
}

// idleLocked reports whether no rank needs a step. A pending hold or switch needs one, since it
// takes effect by stepping.
func (g *Group) idleLocked() bool {
	for _, r := range g.ranks {
		if len(r.running)+len(r.waiting) > 0 || r.hold != 0 || r.switchTo != nil {
			return false
		}
	}
	return true
}

func (g *Group) recordMaps(maps []expertmap.Version, switched bool) {
	mixed := false
	for _, m := range maps[1:] {
		mixed = mixed || m != maps[0]
	}
	if mixed {
		g.mixedSteps++
	}
	if (switched || mixed) && len(g.switches) < 1000 {
		g.switches = append(g.switches, StepRecord{Step: g.step, Maps: maps})
	}
}

// admit moves waiting requests into the running batch, highest priority first.
func (g *Group) admit() {
	for _, r := range g.ranks {
		for len(r.running) < g.opts.MaxRunning && len(r.waiting) > 0 {
			best := 0
			for i, s := range r.waiting {
				if s.priority > r.waiting[best].priority {
					best = i
				}
			}
			r.running = append(r.running, r.waiting[best])
			r.waiting = append(r.waiting[:best], r.waiting[best+1:]...)
		}
	}
}

// decay is the weight of the latest step in the moving averages.
const decay = 0.1

// stepTime returns the step time of the slowest rank, and updates the averages and the skew.
func (g *Group) stepTime() time.Duration {
	loads := g.expertLoads()
	var slowest time.Duration
	g.skew = 0
	for i, r := range g.ranks {
		g.skew = max(g.skew, loads[i])
		d := time.Duration(float64(g.opts.StepTime) * loads[i] / r.speed)
		d += time.Duration(len(r.running))*g.opts.PerSequence + r.stall
		r.meanBusyMicros += decay * (float64(d.Microseconds()) - r.meanBusyMicros)
		slowest = max(slowest, d)
	}
	g.meanStepMicros += decay * (float64(slowest.Microseconds()) - g.meanStepMicros)
	return slowest
}

// expertLoads returns each rank's expert load relative to the mean.
func (g *Group) expertLoads() []float64 {
	loads := make([]float64, len(g.ranks))
	var total float64
	for l := range g.opts.Layers {
		replicas := make([]float64, g.opts.Experts)
		for _, r := range g.ranks {
			for _, e := range r.current.Layers[l].Slots[r.number] {
				replicas[e]++
			}
		}
		for i, r := range g.ranks {
			for _, e := range r.current.Layers[l].Slots[r.number] {
				loads[i] += g.popularity[l][e] / replicas[e]
				total += g.popularity[l][e] / replicas[e]
			}
		}
	}
	for i := range loads {
		loads[i] *= float64(len(g.ranks)) / total
	}
	return loads
}

// finishStep advances every running request by one step.
func (g *Group) finishStep() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, r := range g.ranks {
		kept := r.running[:0]
		for _, s := range r.running {
			if s.advance() {
				kept = append(kept, s)
			}
			g.countTokens()
		}
		r.running = kept
	}
}

func (g *Group) countTokens() {
	for l := range g.tokens {
		for e := range g.tokens[l] {
			g.tokens[l][e] += g.popularity[l][e]
		}
	}
}

// advance performs a step of prefill or sends the next token, and reports whether the sequence
// continues after it.
func (s *sequence) advance() bool {
	if s.ctx.Err() != nil {
		close(s.tokens)
		return false
	}
	if s.prefill > 0 {
		s.prefill--
		return true
	}
	s.tokens <- s.next
	s.next++
	if s.next < s.end {
		return true
	}
	close(s.tokens)
	return false
}

// submit queues a request at a rank. Its tokens are sent to the channel of the sequence, which has
// capacity for all of them.
func (g *Group) submit(n group.Rank, s *sequence) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ranks[n].waiting = append(g.ranks[n].waiting, s)
	g.changed.Broadcast()
}
