// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package shutdown decides how a router stops: which requests it still accepts, which routers
// callers are sent to meanwhile, and when the process ends. It does no I/O and reads no clock.
package shutdown

import "time"

const (
	// AddressTTL is how long callers may use the addresses of an answer of the directory.
	AddressTTL = time.Second
	// maxCacheFactor is how many times as long some callers use them.
	maxCacheFactor = 3
	// addressMargin covers requests in transit, and the time until all routers have heard of a
	// change.
	addressMargin = 300 * time.Millisecond
	// killMargin is how long before the end of the grace period a stopping process closes its
	// connections, since the platform kills it then.
	killMargin = 400 * time.Millisecond
	// answerMargin is the time that an answer may take from its last byte to the caller.
	answerMargin = 100 * time.Millisecond
	// slowdown is the factor by which an answer may take longer than the longest recent one.
	slowdown = 1.25
	// estimateGrace is how long after the order to stop requests are accepted by an estimate of when
	// they end. A cut of a request that was sent later is not excused: an estimate that is wrong
	// costs a caller the answer to a request that ran.
	estimateGrace = 3 * time.Second
	// retryElsewhere is the retry advice while other routers serve.
	retryElsewhere = 100 * time.Millisecond
	// restartTime is the time after which a process that has ended usually accepts callers again.
	restartTime = 500 * time.Millisecond
)

// Plan is the time frame of a stop. The zero Plan is that of a process that does not stop.
type Plan struct {
	// Since is when the process was ordered to stop, and End when it closes its connections at the
	// latest.
	Since, End time.Time
}

// NewPlan returns the plan of a process that was ordered to stop now and is killed after grace.
func NewPlan(now time.Time, grace time.Duration) Plan {
	return Plan{Since: now, End: now.Add(max(grace-killMargin, 0))}
}

// Stopping reports whether the process was ordered to stop.
func (p Plan) Stopping() bool { return !p.Since.IsZero() }

// Others is what a stopping router knows about the other routers that callers are sent to.
type Others string

// The possible states of the other routers.
const (
	// OthersNone means that no other router serves.
	OthersNone Others = "none"
	// OthersLeaving means that others serve, all of which are stopping as well.
	OthersLeaving Others = "leaving"
	// OthersReady means that a router serves that is not stopping.
	OthersReady Others = "ready"
)

// Forecast is what is known about the end of a request that is sent to an upstream now.
type Forecast struct {
	// Deadline is when the request ends in any case.
	Deadline time.Time
	// Longest is how long the longest recent answer on the route took; 0 if none is known.
	Longest time.Duration
	// Declared reports whether the request bounds the size of its answer, and Largest is how long an
	// answer of that size takes; 0 if the pace of answers is not known.
	Declared bool
	Largest  time.Duration
}

// Admits reports whether a request may be sent to an upstream now, or would be cut by the end of the
// process.
//
// A request whose deadline is before the end is always accepted. In the first seconds of a stop,
// others are accepted if they end in time by an estimate. Later, one that declares the size of its
// answer is accepted if the largest answer fits, and one that does not is rejected: another router
// is ready, or this one ends and returns the sooner. Only while all routers are stopping, where
// callers would be left without any, does the estimate still decide.
func (p Plan) Admits(now time.Time, f Forecast, others Others) bool {
	switch {
	case !p.Stopping(), !f.Deadline.After(p.latestEnd()):
		return true
	case !p.late(now):
		return f.Longest == 0 || p.fits(now, f.Longest)
	case f.Declared:
		return f.Largest > 0 && p.fits(now, max(f.Largest, f.Longest))
	default:
		return others == OthersLeaving && f.Longest > 0 && p.fits(now, f.Longest)
	}
}

// late reports whether a request that arrives now must not be cut.
func (p Plan) late(now time.Time) bool { return now.After(p.lateFrom()) }

func (p Plan) lateFrom() time.Time { return p.Since.Add(estimateGrace - addressMargin) }

// latestEnd is when an answer must end at the latest.
func (p Plan) latestEnd() time.Time { return p.End.Add(-answerMargin) }

// fits reports whether an answer that is expected to take a time from now on ends in time.
func (p Plan) fits(now time.Time, took time.Duration) bool {
	return !now.Add(time.Duration(slowdown * float64(took))).After(p.latestEnd())
}

// RetryAfter returns when a caller that is rejected now should come back: soon if other routers
// serve, else when this process is expected to be back. The longest recent answer is 0 if none is
// known.
func (p Plan) RetryAfter(now time.Time, others Others, longest time.Duration) time.Duration {
	if others != OthersNone {
		return retryElsewhere
	}
	left := max(p.End.Sub(now), 0)
	if longest > 0 {
		left = min(left, max(p.lateFrom().Sub(now), 0)+longest)
	}
	return left + restartTime
}

// Phase is the progress of a stop.
type Phase string

// The phases of a stop, in order.
const (
	// PhaseServing means that the process accepts connections.
	PhaseServing Phase = "serving"
	// PhaseClosing means that it accepts no more connections and finishes the requests in flight.
	PhaseClosing Phase = "closing"
	// PhaseEnding means that it closes its connections.
	PhaseEnding Phase = "ending"
)

// View is what a stopping router knows about itself and the others.
type View struct {
	// LastNamed is the latest time at which the directory named this router; zero if it has not
	// since the order to stop.
	LastNamed time.Time
	// Others is the state of the other routers that the directory names.
	Others Others
	// LastRequest is when the latest request arrived; zero for never. Active is the number of
	// requests in flight.
	LastRequest time.Time
	Active      int
	// Rejects reports whether requests were rejected because they may not end in time.
	Rejects bool
}

// Phase returns the phase of the stop.
func (p Plan) Phase(now time.Time, v View) Phase {
	named := p.Since
	if v.LastNamed.After(named) {
		named = v.LastNamed
	}
	unused := now.Sub(named) >= p.cacheTime(v)
	quiet := now.Sub(p.Since) >= cacheTime(maxCacheFactor) && now.Sub(v.LastRequest) >= cacheTime(maxCacheFactor)
	// Callers whose requests are rejected, and who have no other router, wait for the next process.
	awaited := v.Rejects && v.Others == OthersNone && p.late(now)
	switch {
	case !now.Before(p.End), v.Active == 0 && (unused || quiet || awaited):
		return PhaseEnding
	case unused && v.Others != OthersNone:
		return PhaseClosing
	default:
		return PhaseServing
	}
}

// cacheTime returns how long the router serves callers after it was last named. While no router is
// ready, only those callers are waited for that use an answer of the directory no longer than
// allowed: the sooner this process ends, the sooner it is back, while the others still serve.
func (p Plan) cacheTime(v View) time.Duration {
	if v.Others == OthersLeaving {
		return cacheTime(1)
	}
	return cacheTime(maxCacheFactor)
}

func cacheTime(factor int) time.Duration { return time.Duration(factor)*AddressTTL + addressMargin }
