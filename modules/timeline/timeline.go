// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package timeline keeps the latest events of a process, stamped so that the events of all
// processes merge into one order in which causes precede their effects.
package timeline

import (
	"cmp"
	"slices"
	"strconv"
	"sync"
	"time"
)

// Stamp is a hybrid logical clock reading: wall time in microseconds and a counter for equal times.
type Stamp struct {
	Micros  int64  `json:"micros"`
	Counter uint32 `json:"counter"`
}

// Compare orders two stamps.
func (s Stamp) Compare(o Stamp) int {
	return cmp.Or(cmp.Compare(s.Micros, o.Micros), cmp.Compare(s.Counter, o.Counter))
}

// Clock is a hybrid logical clock. The zero value is ready for use.
type Clock struct {
	mu   sync.Mutex
	last Stamp
}

// Now returns a stamp later than every stamp that this clock has issued or observed.
func (c *Clock) Now(now time.Time) Stamp {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.advance(now, Stamp{})
	return c.last
}

// Observe advances the clock past the stamp of a message from another process.
func (c *Clock) Observe(now time.Time, s Stamp) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.advance(now, s)
}

func (c *Clock) advance(now time.Time, seen Stamp) {
	wall := Stamp{Micros: now.UnixMicro()}
	base := c.last
	if seen.Compare(base) > 0 {
		base = seen
	}
	if wall.Micros > base.Micros {
		c.last = wall
		return
	}
	c.last = Stamp{Micros: base.Micros, Counter: base.Counter + 1}
}

// Kind is the category of an event.
type Kind string

// The kinds of event.
const (
	KindRequest    Kind = "request"
	KindDecision   Kind = "decision"
	KindConfig     Kind = "config"
	KindOwnership  Kind = "ownership"
	KindMap        Kind = "expert-map"
	KindMembership Kind = "membership"
	KindDrain      Kind = "drain"
	KindFault      Kind = "fault"
)

// Event is one entry of the timeline.
type Event struct {
	Stamp   Stamp  `json:"stamp"`
	Process string `json:"process"`
	Kind    Kind   `json:"kind"`
	Name    string `json:"name"`
	Request string `json:"request,omitempty"`
	Group   string `json:"group,omitempty"`
	Detail  string `json:"detail,omitempty"`
}

// Line returns the event as one key=value line.
func (e Event) Line() string {
	line := "time=" + time.UnixMicro(e.Stamp.Micros).UTC().Format("15:04:05.000000") + "+" + strconv.Itoa(int(e.Stamp.Counter)) +
		" process=" + e.Process + " kind=" + string(e.Kind) + " event=" + e.Name
	if e.Request != "" {
		line += " request=" + e.Request
	}
	if e.Group != "" {
		line += " group=" + e.Group
	}
	if e.Detail != "" {
		line += " " + e.Detail
	}
	return line
}

// Filter selects events. Empty fields select all.
type Filter struct {
	Since   time.Time
	Request string
	Group   string
	Kind    Kind
}

// Match reports whether e matches the filter.
func (f Filter) Match(e Event) bool {
	return (f.Since.IsZero() || e.Stamp.Micros >= f.Since.UnixMicro()) &&
		(f.Request == "" || f.Request == e.Request) &&
		(f.Group == "" || f.Group == e.Group) &&
		(f.Kind == "" || f.Kind == e.Kind)
}

// DefaultCapacity is the number of events of each class that a process keeps.
const DefaultCapacity = 4096

// Ring keeps the latest events of one process. Events of single requests have a buffer of their
// own, so that they do not evict the others, which are few. It is safe for concurrent use.
type Ring struct {
	Clock Clock

	process string
	mu      sync.Mutex
	// requests holds events of single requests, and others the remaining ones.
	requests, others buffer
}

// buffer keeps the latest events of one class.
type buffer struct {
	events []Event
	next   int
}

func (b *buffer) add(e Event) {
	if len(b.events) < cap(b.events) {
		b.events = append(b.events, e)
		return
	}
	b.events[b.next] = e
	b.next = (b.next + 1) % len(b.events)
}

func (b *buffer) matching(f Filter) []Event {
	var out []Event
	for i := range b.events {
		if e := b.events[(b.next+i)%len(b.events)]; f.Match(e) {
			out = append(out, e)
		}
	}
	return out
}

// NewRing returns a ring for a process that keeps up to capacity events of each class.
func NewRing(process string, capacity int) *Ring {
	return &Ring{
		process:  process,
		requests: buffer{events: make([]Event, 0, capacity)},
		others:   buffer{events: make([]Event, 0, capacity)},
	}
}

// Add stamps and stores an event, and evicts the oldest one of its class if the buffer is full.
func (r *Ring) Add(now time.Time, e Event) {
	e.Stamp = r.Clock.Now(now)
	e.Process = r.process
	r.mu.Lock()
	defer r.mu.Unlock()
	if e.Request != "" {
		r.requests.add(e)
		return
	}
	r.others.add(e)
}

// Events returns the stored events that match a filter, oldest first.
func (r *Ring) Events(f Filter) []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	return Merge(r.requests.matching(f), r.others.matching(f))
}

// Merge returns the events of several processes in a single order.
func Merge(lists ...[]Event) []Event {
	all := slices.Concat(lists...)
	slices.SortStableFunc(all, func(a, b Event) int {
		return cmp.Or(a.Stamp.Compare(b.Stamp), cmp.Compare(a.Process, b.Process))
	})
	return all
}
