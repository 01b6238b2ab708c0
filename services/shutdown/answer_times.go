// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package shutdown

import (
	"maps"
	"time"
)

// answerWindow is the length of the windows over which the longest answer is kept. The longest
// recent answer is that of the current window and the one before.
const answerWindow = 10 * time.Second

// Answer is an answer that has ended.
type Answer struct {
	// Took is the time from when the request was first sent to an upstream until the answer ended.
	Took time.Duration
	// Events is the number of events of a stream, the first of which took the time First; 0 for
	// other answers.
	Events int
	First  time.Duration
}

// pace returns the mean time from one event of a stream to the next; 0 if there is none.
func (a Answer) pace() time.Duration {
	if a.Events < 2 {
		return 0
	}
	return (a.Took - a.First) / time.Duration(a.Events-1)
}

// slowest holds the maxima over some answers.
type slowest struct{ took, first, pace time.Duration }

func (s slowest) join(o slowest) slowest {
	return slowest{max(s.took, o.took), max(s.first, o.first), max(s.pace, o.pace)}
}

// AnswerTimes keeps how long the longest recent answer on each route took, and at which pace the
// slowest ones arrived.
type AnswerTimes struct{ routes map[string]*answerTimes }

// answerTimes holds the slowest answers on a route in the window that began at a time and in the one
// before.
type answerTimes struct {
	began             time.Time
	current, previous slowest
}

// NewAnswerTimes returns an AnswerTimes without answers.
func NewAnswerTimes() *AnswerTimes { return &AnswerTimes{routes: map[string]*answerTimes{}} }

// Add records that an answer on a route has ended.
func (a *AnswerTimes) Add(now time.Time, route string, ended Answer) {
	t, ok := a.routes[route]
	if !ok {
		t = &answerTimes{began: now}
		a.routes[route] = t
	}
	t.turn(now)
	t.current = t.current.join(slowest{ended.Took, ended.First, ended.pace()})
}

// recent returns the slowest recent answers on a route.
func (a *AnswerTimes) recent(now time.Time, route string) slowest {
	t, ok := a.routes[route]
	if !ok {
		return slowest{}
	}
	t.turn(now)
	return t.current.join(t.previous)
}

// Longest returns how long the longest recent answer on a route took; 0 if there was none.
func (a *AnswerTimes) Longest(now time.Time, route string) time.Duration {
	return a.recent(now, route).took
}

// LongestOfAll returns how long the longest recent answer on any route took; 0 if there was none.
func (a *AnswerTimes) LongestOfAll(now time.Time) time.Duration {
	var longest time.Duration
	for route := range a.routes {
		longest = max(longest, a.Longest(now, route))
	}
	return longest
}

// Largest returns how long a stream of some events takes on a route at the slowest recent pace; 0 if
// no pace is known.
func (a *AnswerTimes) Largest(now time.Time, route string, events int) time.Duration {
	r := a.recent(now, route)
	if r.pace == 0 {
		return 0
	}
	if time.Duration(events) > maxForecast/r.pace {
		return maxForecast
	}
	return r.first + time.Duration(max(events-1, 0))*r.pace
}

// maxForecast bounds the forecast for answers whose size is declared as larger than any grace period
// could hold.
const maxForecast = time.Hour

// Sweep drops the routes without recent answers.
func (a *AnswerTimes) Sweep(now time.Time) {
	maps.DeleteFunc(a.routes, func(_ string, t *answerTimes) bool {
		t.turn(now)
		return t.current == slowest{} && t.previous == slowest{}
	})
}

// turn begins a new window if the current one is over.
func (t *answerTimes) turn(now time.Time) {
	since := now.Sub(t.began)
	if since < answerWindow {
		return
	}
	t.previous = t.current
	if since >= 2*answerWindow {
		t.previous = slowest{}
	}
	t.began, t.current = now, slowest{}
}
