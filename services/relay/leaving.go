// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package relay

import (
	"net/http"
	"time"

	"fawnwinch.org/fawnwinch/modules/clock"
	"fawnwinch.org/fawnwinch/services/shutdown"
)

// StartLeaving applies the plan of the stop that the process was ordered to make.
func (r *Relay) StartLeaving(p shutdown.Plan) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leaving = p
}

// SetOthersServe sets whether callers are sent to other routers.
func (r *Relay) SetOthersServe(others bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.othersServe = others
}

// EndRequests ends the requests in flight: they get the answer that the router can give now. Streams
// that have begun are broken off.
func (r *Relay) EndRequests() { r.endRequests() }

// leavingRefusal returns the refusal for a request that is not expected to end before this process
// does, or nil. A stream that has begun is not refused.
func (x *exchange) leavingRefusal(now time.Time) *refusal {
	x.r.mu.Lock()
	defer x.r.mu.Unlock()
	p := x.r.leaving
	if !p.Stopping() || x.stream.begun || p.Admits(now, x.deadline, x.r.answerTimes.Longest(now, x.route.Name)) {
		return nil
	}
	return &refusal{status: http.StatusServiceUnavailable, reason: ReasonLeaving, retryAfter: p.RetryAfter(now, x.r.othersServe)}
}

// stopping returns the refusal for a request that was ended and has not run, and whether it was
// ended.
func (x *exchange) stopping() (refusal, bool) {
	now := clock.Now()
	x.r.mu.Lock()
	defer x.r.mu.Unlock()
	ref := refusal{status: http.StatusServiceUnavailable, reason: ReasonLeaving, retryAfter: x.r.leaving.RetryAfter(now, x.r.othersServe)}
	return ref, x.r.ending.Err() != nil
}

// closeAfterAnswer tells the caller to use another connection for its next request if this process
// leaves. It is called before the head of the answer is written.
func (x *exchange) closeAfterAnswer() {
	x.r.mu.Lock()
	defer x.r.mu.Unlock()
	if x.r.leaving.Stopping() {
		x.w.Header().Set("Connection", "close")
	}
}

// recordAnswerTime records how long the answer to the request took from when it was first sent.
func (x *exchange) recordAnswerTime(now time.Time) {
	x.r.mu.Lock()
	defer x.r.mu.Unlock()
	if !x.firstSent.IsZero() {
		x.r.answerTimes.Add(now, x.route.Name, now.Sub(x.firstSent))
	}
}

// Accepted returns the number of requests that have arrived since the process started.
func (r *Relay) Accepted() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.accepted
}
