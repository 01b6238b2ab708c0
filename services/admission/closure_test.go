// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package admission

import (
	"testing"
	"time"

	"fawnwinch.org/fawnwinch/models/catalog"
	"fawnwinch.org/fawnwinch/models/upstream"
	"fawnwinch.org/fawnwinch/services/balance"
)

var closureEngine = &catalog.Engine{Slots: 4, FormTime: 600 * time.Millisecond}

// closureRank is a rank of the closed group.
var closureRank = upstream.Instance{ID: "u0", Service: "s", Address: "a0", Slots: 4, State: upstream.StateReady}

// arriveNew returns the decision on a new caller with a timeout of 8 s.
func arriveNew(q *Queue, now time.Time, usable []upstream.Instance) Decision {
	const timeout = 8 * time.Second
	return q.Arrive(now, &Request{Route: "r", Goal: time.Second, Arrived: now, Deadline: now.Add(timeout), Patience: timeout, Ask: balance.PickOptions{Engine: closureEngine}}, usable)
}

// TestReturnOrder checks that callers that are rejected in a closure return in the order of their
// rejection, over a period as long as the closure. When all of them returned at the opening, they
// were late and delayed new callers for seconds.
func TestReturnOrder(t *testing.T) {
	start := time.Unix(1000, 0)
	const closure, step = 700 * time.Millisecond, 50 * time.Millisecond
	cases := map[string]struct {
		report *balance.Group
		usable []upstream.Instance
	}{
		"a group is reported closed": {&balance.Group{ID: "g", Whole: true}, []upstream.Instance{closureRank}},
		"no rank is listed":          {nil, nil},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			q := NewQueue(balance.NewPool(""))
			var first, last time.Time
			for at := time.Duration(0); at <= closure; at += step {
				now := start.Add(at)
				if c.report != nil {
					q.pool.Report(now, *c.report, nil)
				}
				v := arriveNew(q, now, c.usable)
				if v.Outcome != OutcomeRejected {
					t.Fatalf("%s after %s", v.Outcome, at)
				}
				if want := closureEngine.FormTime + listingDelay + at; v.RetryAfter != want {
					t.Errorf("retry time %s after %s, want %s", v.RetryAfter, at, want)
				}
				back := now.Add(v.RetryAfter)
				if !back.After(last) {
					t.Errorf("the caller rejected after %s returns before an earlier one", at)
				}
				if last = back; first.IsZero() {
					first = back
				}
			}
			// The last one is rejected a closure after the first, and waits for one more.
			if got := last.Sub(first); got != 2*closure {
				t.Errorf("rejected callers return within %s, want %s", got, 2*closure)
			}
		})
	}
}

// TestReturnBound checks that the retry time in a long closure is at most the third of the remaining
// time that callers obey.
func TestReturnBound(t *testing.T) {
	start := time.Unix(1000, 0)
	cases := map[string]struct{ left, closedFor, want time.Duration }{
		"short closure":                    {8 * time.Second, time.Second, 2 * time.Second},
		"long closure":                     {8 * time.Second, 5 * time.Second, 2400 * time.Millisecond},
		"long closure, little time left":   {3 * time.Second, 5 * time.Second, 900 * time.Millisecond},
		"the closure has only just begun":  {8 * time.Second, 0, time.Second},
		"just begun, little time left":     {2 * time.Second, 0, 600 * time.Millisecond},
		"the closure began with a request": {8 * time.Second, time.Millisecond, 1001 * time.Millisecond},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			q := NewQueue(balance.NewPool(""))
			q.closedSince, q.lastArrival = start, start.Add(c.closedFor)
			now := start.Add(c.closedFor)
			x := &Request{Deadline: now.Add(c.left), Ask: balance.PickOptions{Engine: closureEngine}}
			if got := q.retryAfter(now, x, 0); got != c.want {
				t.Errorf("retry time %s, want %s", got, c.want)
			}
			if got := q.RetryAfterNotRun(now, x, nil); got != c.want {
				t.Errorf("retry time of a request that was not run %s, want %s", got, c.want)
			}
		})
	}
}

// TestClosureEnd checks when a closure is forgotten. A closure that counted on after an opening
// would send the callers of the next one away for too long.
func TestClosureEnd(t *testing.T) {
	start := time.Unix(1000, 0)
	closed, open := balance.Group{ID: "g", Whole: true}, balance.Group{ID: "g", Open: true, Whole: true}
	// event is what the router sees before a request arrives.
	type event struct {
		at      time.Duration
		report  *balance.Group
		started bool
	}
	cases := map[string]struct {
		events []event
		// since is the start of the closure after the last event, from the beginning; -1 if the
		// service is open.
		since time.Duration
	}{
		"closed":       {[]event{{0, &closed, false}, {500 * time.Millisecond, &closed, false}}, 0},
		"open again":   {[]event{{0, &closed, false}, {500 * time.Millisecond, &open, false}}, -1},
		"closed again": {[]event{{0, &closed, false}, {500 * time.Millisecond, &open, false}, {900 * time.Millisecond, &closed, false}}, 900 * time.Millisecond},
		"the report is old, ranks may still reject": {[]event{{0, &closed, false}, {1500 * time.Millisecond, nil, false}}, 0},
		"no report, an answer has begun":            {[]event{{0, &closed, false}, {1500 * time.Millisecond, nil, true}}, -1},
		"no request for long, closed":               {[]event{{0, &closed, false}, {9 * time.Second, &closed, false}}, 9 * time.Second},
		"no request for long, unknown":              {[]event{{0, &closed, false}, {9 * time.Second, nil, false}}, -1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			q := NewQueue(balance.NewPool(""))
			for _, e := range c.events {
				now := start.Add(e.at)
				if e.report != nil {
					q.pool.Report(now, *e.report, nil)
				}
				if e.started {
					q.pool.Sent(now, closureRank.Run())
					q.pool.Started(now, closureRank.Run())
				}
				arriveNew(q, now, []upstream.Instance{closureRank})
			}
			want := time.Time{}
			if c.since >= 0 {
				want = start.Add(c.since)
			}
			if !q.closedSince.Equal(want) {
				t.Errorf("closed since %s, want %s", q.closedSince, want)
			}
		})
	}
}

// TestPlainClosure checks that plain services have no closures: their upstreams open one by one.
func TestPlainClosure(t *testing.T) {
	now := time.Unix(1000, 0)
	q := NewQueue(balance.NewPool(""))
	q.Arrive(now, &Request{Route: "r", Arrived: now, Deadline: now.Add(8 * time.Second)}, nil)
	if !q.closedSince.IsZero() {
		t.Error("a plain service without upstreams has a closure")
	}
}
