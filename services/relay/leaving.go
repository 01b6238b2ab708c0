// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package relay

import (
	"net/http"
	"time"

	"fawnwinch.org/fawnwinch/models/catalog"
	"fawnwinch.org/fawnwinch/modules/clock"
	"fawnwinch.org/fawnwinch/services/shutdown"
)

// StartLeaving applies the plan of the stop that the process was ordered to make.
func (r *Relay) StartLeaving(p shutdown.Plan) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leaving = p
}

// SetOthers sets what is known about the other routers that callers are sent to.
func (r *Relay) SetOthers(others shutdown.Others) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.others = others
}

// EndRequests ends the requests in flight: they get the answer that the router can give now. Streams
// that have begun are broken off.
func (r *Relay) EndRequests() { r.endRequests() }

// leavingRefusal returns the refusal for a request that may not end before this process does, or
// nil. A stream that has begun is not refused.
func (x *exchange) leavingRefusal(now time.Time) *refusal {
	x.r.mu.Lock()
	defer x.r.mu.Unlock()
	p := x.r.leaving
	if !p.Stopping() || x.stream.begun || p.Admits(now, x.endForecast(now), x.r.others) {
		return nil
	}
	x.r.leavingRejects++
	return &refusal{status: http.StatusServiceUnavailable, reason: ReasonLeaving, retryAfter: x.r.retryLeaving(now)}
}

// retryLeaving returns the retry advice of a process that leaves. The caller holds the lock.
func (r *Relay) retryLeaving(now time.Time) time.Duration {
	return r.leaving.RetryAfter(now, r.others, r.answerTimes.LongestOfAll(now))
}

// endForecast returns what is known about the end of the request if it is sent now. The caller holds
// the lock.
func (x *exchange) endForecast(now time.Time) shutdown.Forecast {
	f := shutdown.Forecast{Deadline: x.deadline, Longest: x.r.answerTimes.Longest(now, x.route.Name)}
	if tokens := x.meta.MaxAnswerTokens; x.route.Kind == catalog.KindStream && tokens > 0 {
		// Without the figures of an engine, each event may hold a single token.
		perEvent := 1
		if s := x.r.state.Index().Service(x.service); s != nil && s.Engine != nil {
			perEvent = max(s.Engine.Stride, 1)
		}
		f.Declared, f.Largest = true, x.r.answerTimes.Largest(now, x.route.Name, (tokens-1)/perEvent+1)
	}
	return f
}

// stopping returns the refusal for a request that was ended and has not run, and whether it was
// ended.
func (x *exchange) stopping() (refusal, bool) {
	now := clock.Now()
	x.r.mu.Lock()
	defer x.r.mu.Unlock()
	ref := refusal{status: http.StatusServiceUnavailable, reason: ReasonLeaving, retryAfter: x.r.retryLeaving(now)}
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
	if x.firstSent.IsZero() {
		return
	}
	ended := shutdown.Answer{Took: now.Sub(x.firstSent), Events: x.stream.events}
	if ended.Events > 0 {
		ended.First = x.stream.first.Sub(x.firstSent)
	}
	x.r.answerTimes.Add(now, x.route.Name, ended)
}

// LeavingRejects returns the number of requests that were rejected because this process may end
// before they do.
func (r *Relay) LeavingRejects() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.leavingRejects
}

// Accepted returns the number of requests that have arrived since the process started.
func (r *Relay) Accepted() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.accepted
}
