// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package admission

import (
	"math"
	"slices"
	"time"

	"fawnwinch.org/fawnwinch/models/catalog"
	"fawnwinch.org/fawnwinch/models/upstream"
	"fawnwinch.org/fawnwinch/services/balance"
)

// This file holds a copy of the queue from before requests were ordered by urgency. TestUnranked
// compares its decisions with those of the present queue.

// legacyQueue holds the requests that wait for the upstreams of one service.
type legacyQueue struct {
	pool    *balance.Pool
	waiting []*Request
	// granted holds the times of recent grants, oldest first.
	granted []time.Time
	// longestTimeout holds the longest caller timeout seen on each route.
	longestTimeout map[string]time.Duration
	// firstArrival and lastArrival are when the first and the latest request arrived.
	firstArrival, lastArrival time.Time
}

// newLegacyQueue returns an empty queue for the upstreams of a pool.
func newLegacyQueue(p *balance.Pool) *legacyQueue {
	return &legacyQueue{pool: p, longestTimeout: map[string]time.Duration{}}
}

// Arrive decides what happens to a newly arrived request, given the upstreams that may accept work.
func (q *legacyQueue) Arrive(now time.Time, x *Request, usable []upstream.Instance) Decision {
	if q.firstArrival.IsZero() {
		q.firstArrival = now
	}
	q.lastArrival = now
	x.retried = q.isRetry(now, x)
	opening := q.pool.TimeToAccept(now, usable, len(q.waiting)+1)
	wait := q.wait(now, x, len(usable) == 0, opening)
	if len(q.waiting) == 0 {
		if u, ok := q.pick(now, x.Ask, usable); ok {
			return Decision{Outcome: OutcomeGranted, Upstream: u}
		}
	}
	v := Decision{Outcome: OutcomeRejected, RetryAfter: q.retryAfter(now, x, opening), Opening: opening}
	if len(q.waiting) < maxWaiting && wait > 0 {
		x.due = now.Add(time.Duration(dueFraction * float64(wait)))
		q.waiting = append(q.waiting, x)
		v.Outcome, v.Wait = OutcomeWaits, wait
	}
	return v
}

// Leave removes a request from the queue.
func (q *legacyQueue) Leave(x *Request) {
	if i := slices.Index(q.waiting, x); i >= 0 {
		q.waiting = slices.Delete(q.waiting, i, i+1)
	}
}

// Admit returns the waiting requests for which there is room now. A request that has already tried
// the only upstream with room, or may not run there, does not block the others.
func (q *legacyQueue) Admit(now time.Time, usable []upstream.Instance) []Grant {
	var out []Grant
	var skipped []*Request
	for x := q.next(now, skipped); x != nil; x = q.next(now, skipped) {
		u, ok := q.pick(now, x.Ask, usable)
		switch {
		case ok:
			q.Leave(x)
			out = append(out, Grant{Request: x, Upstream: u})
		case len(x.Ask.Exclude) > 0 || x.Ask.Allows != nil:
			skipped = append(skipped, x)
		default:
			return out
		}
	}
	return out
}

// Wanted forecasts how many requests could be sent until the next load report of a group.
func (q *legacyQueue) Wanted(now time.Time) int {
	return len(q.waiting) + int(math.Ceil(q.Rate(now)*reportInterval.Seconds()))
}

// pick chooses an upstream and records the attempt.
func (q *legacyQueue) pick(now time.Time, ask balance.PickOptions, usable []upstream.Instance) (upstream.Instance, bool) {
	if len(usable) == 0 || q.closed(now, ask.Engine) {
		return upstream.Instance{}, false
	}
	if ask.Engine == nil {
		ask.Bounds.Rank = plainSlotFactor * usable[0].Slots
	}
	u, ok := q.pool.Pick(now, usable, ask)
	if ok {
		q.pool.Sent(now, u.Run())
		q.granted = append(q.granted, now)
	}
	return u, ok
}

// closed reports whether no rank would accept the request now: a coordinator reports that the
// groups are broken or, without a coordinator's report, the ranks reject everything.
func (q *legacyQueue) closed(now time.Time, engine *catalog.Engine) bool {
	return q.pool.Closed(now) || engine != nil && q.pool.Rejecting(now)
}

// Rate returns the number of grants per second over rateWindow, and drops older grants.
func (q *legacyQueue) Rate(now time.Time) float64 {
	old := 0
	for old < len(q.granted) && now.Sub(q.granted[old]) > rateWindow {
		old++
	}
	q.granted = q.granted[old:]
	return float64(len(q.granted)) / rateWindow.Seconds()
}

// queueWait forecasts the time until all waiting requests and one more are admitted. If a
// coordinator reports the backlog and rate of all routers, these are used: one of many routers has
// too few requests for a forecast. A newly opened group has not admitted anything yet, and callers
// were rejected because of its measured rate of zero. So the forecast throughput of its ranks is
// used if it is higher.
func (q *legacyQueue) queueWait(now time.Time, e *catalog.Engine, b balance.Bounds) time.Duration {
	ahead, rate := float64(len(q.waiting)+1), q.Rate(now)
	if ranks, opened := q.pool.OpenRanks(now, rateWindow); opened && e != nil {
		rate = max(rate, float64(ranks)*balance.DrainRate(e, q.pool.GroupLoad(now), b))
	}
	wait := 0.0
	if b, ok := q.pool.Backlog(now); ok {
		ahead = max(ahead, float64(b.Waiting+1)) - float64(b.Free)
		rate = max(rate, b.Rate)
		wait = reportInterval.Seconds()
	}
	wait += max(ahead, 0) / max(rate, 1/rateWindow.Seconds())
	return time.Duration(wait * float64(time.Second))
}

// wait returns how long a request may wait for room; 0 if it should be rejected immediately and
// retried when there is room. Unlisted reports whether no upstream is listed, and opening is the
// time until the listed ones accept the request by their own reports.
func (q *legacyQueue) wait(now time.Time, x *Request, unlisted bool, opening time.Duration) time.Duration {
	left := float64(x.Deadline.Sub(now))
	closed := unlisted || q.closed(now, x.Ask.Engine)
	limit := q.maxSilentWait(now, x, closed)
	if x.retried {
		limit = min(MaxRetryWait, time.Duration(retryWaitFraction*left), limit)
	} else {
		limit = min(maxWait, time.Duration(maxWaitFraction*left), limit)
	}
	if limit -= x.Waited; limit <= opening {
		return 0
	}
	if !x.retried && (closed || q.queueWait(now, x.Ask.Engine, x.Ask.Bounds) > limit) {
		return 0
	}
	return limit
}

// maxSilentWait returns how long a request may wait for room and still get its first event before
// its caller disconnects from the silent stream. With passes of half a second, caused by one slow
// rank, the first event takes most of that time: callers that were admitted later disconnected, and
// their requests were processed in vain. For a closed group the full timeout is returned, as the
// length of its next passes is unknown.
func (q *legacyQueue) maxSilentWait(now time.Time, x *Request, closed bool) time.Duration {
	if x.Ask.Engine == nil || closed {
		return silentStreamTimeout
	}
	return max(silentStreamTimeout-balance.FirstEvent(x.Ask.Engine, q.pool.GroupLoad(now)), 0)
}

// isRetry reports whether the caller was rejected before and retries. Such a caller has less time
// left than a new one and sends a shorter timeout, so a timeout clearly below the longest one seen
// on the route identifies it. isRetry also updates the longest timeout of the route. In the
// learning period it compares with the route's configured timeout as well, which it does not store.
func (q *legacyQueue) isRetry(now time.Time, x *Request) bool {
	full := max(q.longestTimeout[x.Route], x.Patience)
	q.longestTimeout[x.Route] = full
	if now.Sub(q.firstArrival) < learningPeriod {
		full = max(full, x.Timeout)
	}
	return x.Patience < time.Duration(retryFraction*float64(full))
}

// retryAfter forecasts when a request that is rejected now would find room.
func (q *legacyQueue) retryAfter(now time.Time, x *Request, opening time.Duration) time.Duration {
	wait := max(min(q.queueWait(now, x.Ask.Engine, x.Ask.Bounds), maxRetryAfter), openingRetryAfter(opening))
	if x.Ask.Engine != nil && (q.closed(now, x.Ask.Engine) || len(q.granted) == 0) {
		return max(wait, q.reopening(now, x, x.Ask.Engine))
	}
	return wait
}

// reopening forecasts when a broken group is back: it needs its form time, and its ranks need time
// to be listed. The return of a missing rank cannot be forecast, so the caller is asked to retry as
// late as callers accept: it retries only once or twice.
func (q *legacyQueue) reopening(now time.Time, x *Request, e *catalog.Engine) time.Duration {
	forms := e.FormTime + listingDelay
	if q.pool.MissingRanks(now) {
		return max(forms, time.Duration(retryAfterFraction*float64(x.Deadline.Sub(now))))
	}
	return forms
}

// next returns the waiting request that is admitted next, or nil: the one that is due first.
// Requests in skipped are left out.
func (q *legacyQueue) next(now time.Time, skipped []*Request) *Request {
	var best *Request
	for _, x := range q.waiting {
		if !slices.Contains(skipped, x) && (best == nil || legacyBefore(now, x, best)) {
			best = x
		}
	}
	return best
}

// legacyBefore reports whether a waiting request is admitted before another one. In a replay with 1.3
// times the load that a group can serve, 15 routers and 129 ranks, 3 in 100 callers are never
// served if all late requests come after those that can be in time. With this order hardly any
// caller is never served, and as many answers are in time.
func legacyBefore(now time.Time, x, o *Request) bool {
	mine, theirs := legacyDueAt(now, x), legacyDueAt(now, o)
	if !mine.Equal(theirs) {
		return mine.Before(theirs)
	}
	return x.Deadline.Before(o.Deadline)
}

// legacyDueAt returns when a waiting request should be sent at the latest. For a new caller this is when
// it can just be answered in time; after that its request comes after the retried ones.
func legacyDueAt(now time.Time, x *Request) time.Time {
	switch t := x.inTimeUntil(); {
	case x.retried:
		return x.due
	case now.Before(t):
		return t
	default:
		return x.due.Add(lateDelay)
	}
}
