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
	// unknownGrace is how long a stopping process accepts requests that may last beyond its end and
	// for which it knows no recent answer.
	unknownGrace = 3 * time.Second
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

// Admits reports whether a request that is sent to an upstream now is expected to end before the
// process does. The request ends at its deadline in any case. The longest recent answer of its kind
// is 0 if none is known.
func (p Plan) Admits(now, deadline time.Time, longest time.Duration) bool {
	if !p.Stopping() {
		return true
	}
	latest := p.End.Add(-answerMargin)
	switch {
	case !deadline.After(latest):
		return true
	case longest > 0:
		return !now.Add(time.Duration(slowdown * float64(longest))).After(latest)
	default:
		return now.Sub(p.Since) <= unknownGrace
	}
}

// RetryAfter returns when a caller that is rejected now should come back: soon if other routers
// serve, else when this process is expected to be back.
func (p Plan) RetryAfter(now time.Time, othersServe bool) time.Duration {
	if othersServe {
		return retryElsewhere
	}
	return max(p.End.Sub(now), 0) + restartTime
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
	// OthersServe reports whether the directory names other routers, and AnyReady whether one of
	// them is not leaving.
	OthersServe, AnyReady bool
	// LastRequest is when the latest request arrived; zero for never. Active is the number of
	// requests in flight.
	LastRequest time.Time
	Active      int
}

// Phase returns the phase of the stop.
func (p Plan) Phase(now time.Time, v View) Phase {
	named := p.Since
	if v.LastNamed.After(named) {
		named = v.LastNamed
	}
	unused := now.Sub(named) >= p.cacheTime(v)
	quiet := now.Sub(p.Since) >= cacheTime(maxCacheFactor) && now.Sub(v.LastRequest) >= cacheTime(maxCacheFactor)
	switch {
	case !now.Before(p.End), v.Active == 0 && (unused || quiet):
		return PhaseEnding
	case unused && v.OthersServe:
		return PhaseClosing
	default:
		return PhaseServing
	}
}

// cacheTime returns how long the router serves callers after it was last named. While no router is
// ready, only those callers are waited for that use an answer of the directory no longer than
// allowed: the sooner this process ends, the sooner it is back, while the others still serve.
func (p Plan) cacheTime(v View) time.Duration {
	if v.OthersServe && !v.AnyReady {
		return cacheTime(1)
	}
	return cacheTime(maxCacheFactor)
}

func cacheTime(factor int) time.Duration { return time.Duration(factor)*AddressTTL + addressMargin }
