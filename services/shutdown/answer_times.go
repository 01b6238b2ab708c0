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

// AnswerTimes keeps how long the longest recent answer on each route took.
type AnswerTimes struct{ routes map[string]*answerTimes }

// answerTimes holds the longest answers on a route in the window that began at a time and in the one
// before.
type answerTimes struct {
	began             time.Time
	current, previous time.Duration
}

// NewAnswerTimes returns an AnswerTimes without answers.
func NewAnswerTimes() *AnswerTimes { return &AnswerTimes{routes: map[string]*answerTimes{}} }

// Add records that an answer on a route has ended, which took the given time from when the request
// was first sent to an upstream.
func (a *AnswerTimes) Add(now time.Time, route string, took time.Duration) {
	t, ok := a.routes[route]
	if !ok {
		t = &answerTimes{began: now}
		a.routes[route] = t
	}
	t.turn(now)
	t.current = max(t.current, took)
}

// Longest returns how long the longest recent answer on a route took; 0 if there was none.
func (a *AnswerTimes) Longest(now time.Time, route string) time.Duration {
	t, ok := a.routes[route]
	if !ok {
		return 0
	}
	t.turn(now)
	return max(t.current, t.previous)
}

// Sweep drops the routes without recent answers.
func (a *AnswerTimes) Sweep(now time.Time) {
	maps.DeleteFunc(a.routes, func(_ string, t *answerTimes) bool {
		t.turn(now)
		return t.current == 0 && t.previous == 0
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
		t.previous = 0
	}
	t.began, t.current = now, 0
}
