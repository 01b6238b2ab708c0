// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package replay simulates load against the decisions of routers and coordinators, with a model of
// a model group: which requests are admitted, wait or are rejected, and when callers retry.
// Everything runs on virtual time.
package replay

import (
	"time"

	"fawnwinch.org/fawnwinch/models/catalog"
	"fawnwinch.org/fawnwinch/services/balance"
)

// stream is one caller's request that was sent to a rank.
type stream struct {
	caller *caller
	router *router
	rank   int
	// engine is the group of the rank, and index the position of the rank in it.
	engine *engine
	index  int
	// unread is the number of prompt tokens that the rank has not read yet, and remaining the
	// number of events still to be sent.
	unread    float64
	remaining int
	started   bool
	// sent is when the request was sent to its rank.
	sent time.Time
}

// engine is the model of a group: all ranks run their passes together, and the load determines the
// length of a pass.
type engine struct {
	params *catalog.Engine
	queue  int
	ranks  []engineRank
	// skew returns the ratio of the heaviest rank's load to the mean at a time.
	skew func(at time.Duration) float64
	// pace returns how many times slower than usual a rank is at a time.
	pace func(rank int, at time.Duration) float64
	// inPass reports whether a pass is running.
	inPass  bool
	longest time.Duration
	// broken reports whether the group refuses everything.
	broken bool
}

type engineRank struct{ running, waiting []*stream }

// enqueue adds a request to the queue of its rank, or returns false if the queue is full.
func (e *engine) enqueue(s *stream) bool {
	r := &e.ranks[s.index]
	if len(r.running)+len(r.waiting) >= e.params.Slots+e.queue {
		return false
	}
	r.waiting = append(r.waiting, s)
	return true
}

// beginPass admits waiting requests and returns the length of the next pass; 0 if there is nothing
// to do.
func (e *engine) beginPass(at time.Duration) time.Duration {
	load := balance.PassLoad{Context: e.params.UsualPrompt, Skew: e.skew(at), Pace: 1}
	busy := false
	for i := range e.ranks {
		r := &e.ranks[i]
		for len(r.waiting) > 0 && len(r.running) < e.params.Slots {
			r.running = append(r.running, r.waiting[0])
			r.waiting = r.waiting[1:]
		}
		writers, reading := 0.0, 0.0
		for _, s := range r.running {
			if s.unread > 0 {
				reading += s.unread
			} else {
				writers++
			}
		}
		busy = busy || len(r.running) > 0
		load.Mean += writers / float64(len(e.ranks))
		load.Max = max(load.Max, writers)
		load.Reading = max(load.Reading, reading)
		load.Pace = max(load.Pace, e.pace(i, at))
	}
	if !busy {
		return 0
	}
	return balance.Pass(e.params, load)
}

// endPass completes a pass and returns the streams that get an event.
func (e *engine) endPass() []*stream {
	var out []*stream
	for i := range e.ranks {
		r := &e.ranks[i]
		tokens := float64(e.params.Chunk * e.params.Stride)
		kept := r.running[:0]
		for _, s := range r.running {
			if s.unread > 0 {
				read := min(s.unread, tokens)
				s.unread, tokens = s.unread-read, tokens-read
				if s.unread > 0 {
					kept = append(kept, s)
					continue
				}
			}
			s.remaining--
			out = append(out, s)
			if s.remaining > 0 {
				kept = append(kept, s)
			}
		}
		r.running = kept
	}
	return out
}

// remove removes a stream whose caller has disconnected.
func (e *engine) remove(s *stream) {
	r := &e.ranks[s.index]
	without := func(list []*stream) []*stream {
		var out []*stream
		for _, o := range list {
			if o != s {
				out = append(out, o)
			}
		}
		return out
	}
	r.running, r.waiting = without(r.running), without(r.waiting)
}

// load returns what the rank's engine reports: a request counts as running from its first event.
func (e *engine) load(rank int, at time.Duration) (running, waiting int, pace float64) {
	for _, s := range e.ranks[rank].running {
		if s.started {
			running++
		}
	}
	return running, len(e.ranks[rank].waiting), e.pace(rank, at)
}

// hasFreeSlot reports whether a rank has an unused slot.
func (e *engine) hasFreeSlot() bool {
	for i := range e.ranks {
		if len(e.ranks[i].running)+len(e.ranks[i].waiting) < e.params.Slots {
			return true
		}
	}
	return false
}
