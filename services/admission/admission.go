// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package admission decides what happens to a request that needs an upstream: whether it is sent
// immediately, waits in the queue and at which position, or is rejected, and when its caller may
// retry. It does no I/O and reads no clock. Package balance chooses the upstream.
package admission

import (
	"math"
	"slices"
	"time"

	"fawnwinch.org/fawnwinch/models/catalog"
	"fawnwinch.org/fawnwinch/models/upstream"
	"fawnwinch.org/fawnwinch/models/urgency"
	"fawnwinch.org/fawnwinch/services/balance"
)

// Request is a request that needs an upstream.
type Request struct {
	// Route is the name of the route, and Goal the time within which its answers, or their first
	// events, earn full credit.
	Route string
	Goal  time.Duration
	// PauseGoal is the longest pause between events that earns full credit; 0 if none is given.
	PauseGoal time.Duration
	// Levels is the number of levels of the service, which is ranked if there are several. Urgency
	// and Level are those with which the request arrived, and have an effect only then.
	Levels  int
	Urgency urgency.Urgency
	Level   urgency.Level
	// Arrived is when the request arrived, and Deadline when its caller disconnects. Patience is
	// the timeout that the caller gave; 0 if none was given.
	Arrived, Deadline time.Time
	Patience          time.Duration
	// Timeout is the longest time that the route's configuration allows a request to be held; 0 if
	// not set.
	Timeout time.Duration
	// Ask holds the requirements of the request for an upstream.
	Ask balance.PickOptions
	// Waited is how long the request has already waited for room, since it arrived or was last
	// sent.
	Waited time.Duration
	// Last reports whether the request comes after all others: it was sent before, and waits for a
	// retry too.
	Last bool

	// retried reports whether the caller was rejected before and retries. due is when the request
	// should be sent at the latest once it can no longer be answered in time.
	retried bool
	due     time.Time
	// floorAt is when a request of a limited level may be admitted above the limit.
	floorAt time.Time
	// queued is when the request joined the queue, and forecast the forecast at that time.
	queued   time.Time
	forecast Forecast
}

// Retried reports whether the caller of a request that has arrived was rejected before. It will not
// retry once more.
func (x *Request) Retried() bool { return x.retried }

// Outcome is the decision on a request.
type Outcome string

// The outcomes.
const (
	// OutcomeGranted means that the request is sent to an upstream now.
	OutcomeGranted Outcome = "granted"
	// OutcomeWaits means that the request waits in the queue.
	OutcomeWaits Outcome = "waits"
	// OutcomeRejected means that the request is rejected.
	OutcomeRejected Outcome = "rejected"
)

// Decision is the decision on a request and its parameters.
type Decision struct {
	Outcome Outcome
	// Upstream is the upstream for a granted request.
	Upstream upstream.Instance
	// Wait is the longest time that a waiting request may wait. RetryAfter is the forecast time
	// until a rejected request would find room, also if it is rejected after its wait.
	Wait, RetryAfter time.Duration
	// Spread reports whether RetryAfter already includes a random part.
	Spread bool
	// Forecast is the forecast wait of a rejected request.
	Forecast Forecast
	// Opening is the forecast time until the upstreams, by their own reports, accept the request;
	// the queue should be checked again then.
	Opening time.Duration
}

// Grant is a waiting request that gets an upstream.
type Grant struct {
	Request  *Request
	Upstream upstream.Instance
}

const (
	// inTimeFraction is the fraction of a route's goal that a request may wait for room and still
	// be answered in time. The rest is needed for the current pass and for reading the prompt.
	inTimeFraction = 0.55
	// maxWait and maxWaitFraction bound the wait for room. The rest of the time is needed for the
	// answer.
	maxWait         = 1200 * time.Millisecond
	maxWaitFraction = 0.4
	// silentStreamTimeout is how long callers stay connected to a stream without events.
	silentStreamTimeout = 2 * time.Second
	// MaxRetryWait and retryWaitFraction are the same bounds for a retrying caller: it does not
	// retry a second time.
	MaxRetryWait      = 1800 * time.Millisecond
	retryWaitFraction = 0.5
	// dueFraction is the fraction of its wait after which a retried request is due. lateDelay is
	// added for a request of a new caller that is already late, so that it comes after those: new
	// callers may retry, while retrying callers are lost.
	dueFraction = 0.7
	lateDelay   = time.Second
	// retryFraction identifies retrying callers: their timeout is less than this fraction of the
	// longest timeout seen on the route.
	retryFraction = 0.97
	// learningPeriod is how long a newly started router uses the route's timeout as the callers'
	// full timeout. After a power failure the first callers are retries, and the router has not
	// seen a longer timeout yet.
	learningPeriod = 2 * time.Second
	// maxWaiting bounds the requests that wait for one service at a router: each takes about 20 KB,
	// together 10 MB of the 184 MB of the smallest routers. The first router that is back after a
	// power failure gets all callers of its data centre; with 64 it rejected most of their last
	// tries shortly before ranks opened.
	maxWaiting = 512
	// plainSlotFactor is the largest number of requests per slot that are sent to a plain upstream.
	plainSlotFactor = 2
	// rateWindow is the time over which the rate of grants is measured.
	rateWindow = time.Second
	// reportInterval is the approximate time between two reports of a group's load.
	reportInterval = 100 * time.Millisecond
	// maxRetryAfter bounds the retry time of a caller that found all upstreams busy.
	maxRetryAfter = 1500 * time.Millisecond
	// idleAfter is the time without a request after which a queue is idle.
	idleAfter = 2 * time.Second
	// retryAfterFraction is the largest fraction of a caller's remaining time that it is asked to
	// wait before a retry. The users' callers comply up to a third.
	retryAfterFraction = 0.3
	// listingDelay is the time until routers know a rank of a new group.
	listingDelay = 400 * time.Millisecond
	// plainRetryAfter is the retry time of a caller whose request plain upstreams did not run.
	plainRetryAfter = 250 * time.Millisecond
)

// Queue holds the requests that wait for the upstreams of one service.
type Queue struct {
	pool    *balance.Pool
	waiting []*Request
	// sizes sums their declared sizes.
	sizes waitingSizes
	// granted holds the times of recent grants, oldest first.
	granted []time.Time
	// levels is the number of levels of a ranked service; 0 for others. levelMeans holds the latest
	// limit of each, and levelGrants the recent grants by level, oldest first.
	levels      int
	levelMeans  [urgency.MaxLevels]float64
	levelGrants []levelGrant
	// longestTimeout holds the longest caller timeout seen on each route.
	longestTimeout map[string]time.Duration
	// firstArrival and lastArrival are when the first and the latest request arrived.
	firstArrival, lastArrival time.Time
	// closedSince is when this queue first saw that no upstream accepts requests; zero while they
	// do.
	closedSince time.Time
}

// NewQueue returns an empty queue for the upstreams of a pool.
func NewQueue(p *balance.Pool) *Queue {
	return &Queue{pool: p, longestTimeout: map[string]time.Duration{}}
}

// Arrive decides what happens to a newly arrived request, given the upstreams that may accept work.
func (q *Queue) Arrive(now time.Time, x *Request, usable []upstream.Instance) Decision {
	if q.firstArrival.IsZero() {
		q.firstArrival = now
	}
	q.noteClosure(now, x.Ask.Engine, len(usable) == 0)
	q.lastArrival = now
	q.learnLevel(x)
	x.retried = q.isRetry(now, x)
	opening := q.pool.TimeToAccept(now, usable, len(q.waiting)+1)
	wait := q.wait(now, x, len(usable) == 0, opening)
	if !q.blocked(now, x) {
		if u, ok := q.pick(now, x.Ask, usable); ok {
			q.recordLevel(now, x, false)
			return Decision{Outcome: OutcomeGranted, Upstream: u}
		}
	}
	v := Decision{Outcome: OutcomeRejected, Opening: opening, Forecast: q.forecast(now, x)}
	v.RetryAfter, v.Spread = q.retryAfter(now, x, opening), q.spreads(now, x)
	if len(q.waiting) < q.capacity(x) && wait > 0 {
		x.due = now.Add(time.Duration(dueFraction * float64(wait)))
		x.floorAt = now.Add(time.Duration(floorFraction * float64(wait)))
		x.queued, x.forecast = now, v.Forecast
		q.waiting = append(q.waiting, x)
		q.sizes.add(x.Ask.Size)
		v.Outcome, v.Wait = OutcomeWaits, wait
	}
	return v
}

// Reroute chooses another upstream for a request whose upstream is silent. The request does not
// queue: it was admitted before those that wait. It returns false if no other upstream has room.
func (q *Queue) Reroute(now time.Time, ask balance.PickOptions, usable []upstream.Instance) (upstream.Instance, bool) {
	return q.pick(now, ask, usable)
}

// Leave removes a request from the queue.
func (q *Queue) Leave(x *Request) {
	if i := slices.Index(q.waiting, x); i >= 0 {
		q.waiting = slices.Delete(q.waiting, i, i+1)
		q.sizes.remove(x.Ask.Size)
	}
}

// Admit returns the waiting requests for which there is room now. A request that has already tried
// the only upstream with room, or may not run there, does not block the others.
func (q *Queue) Admit(now time.Time, usable []upstream.Instance) []Grant {
	if slices.ContainsFunc(q.waiting, (*Request).Ranked) {
		return q.admitRanked(now, usable)
	}
	var out []Grant
	var skipped []*Request
	for x := q.next(now, skipped); x != nil; x = q.next(now, skipped) {
		u, ok := q.pick(now, x.Ask, usable)
		switch {
		case ok:
			q.Leave(x)
			out = append(out, Grant{Request: x, Upstream: u})
		case x.selective():
			skipped = append(skipped, x)
		default:
			return out
		}
	}
	return out
}

// Wanted forecasts how many requests could be sent until the next load report of a group.
func (q *Queue) Wanted(now time.Time) int {
	if q.levels > 0 {
		wanted := 0
		for _, d := range q.LevelDemands(now) {
			wanted += d.Wanted
		}
		return wanted
	}
	return len(q.waiting) + int(math.Ceil(q.Rate(now)*reportInterval.Seconds()))
}

// Idle reports whether the queue is empty and no request has arrived for a while.
func (q *Queue) Idle(now time.Time) bool {
	return len(q.waiting) == 0 && now.Sub(q.lastArrival) > idleAfter
}

// Waiting returns the number of waiting requests.
func (q *Queue) Waiting() int { return len(q.waiting) }

// RetryAfterNotRun forecasts when a request that upstreams did not run finds room.
func (q *Queue) RetryAfterNotRun(now time.Time, x *Request, usable []upstream.Instance) time.Duration {
	after := plainRetryAfter
	if x.Ask.Engine != nil {
		// Ranks reject requests while their group is broken.
		q.noteClosure(now, x.Ask.Engine, len(usable) == 0)
		after = q.returnAfter(now, x, x.Ask.Engine)
	}
	return max(after, openingRetryAfter(q.pool.TimeToAccept(now, usable, len(q.waiting)+1)))
}

// pick chooses an upstream and records the attempt.
func (q *Queue) pick(now time.Time, ask balance.PickOptions, usable []upstream.Instance) (upstream.Instance, bool) {
	if len(usable) == 0 || q.closed(now, ask.Engine) {
		return upstream.Instance{}, false
	}
	if ask.Engine == nil {
		ask.Bounds.Rank = plainSlotFactor * usable[0].Slots
	}
	u, ok := q.pool.Pick(now, usable, ask)
	if ok {
		q.pool.Sent(now, u.Run())
		q.pool.SentPrompt(u.Run(), ask.Size)
		q.granted = append(q.granted, now)
	}
	return u, ok
}

// closed reports whether no rank would accept the request now: a coordinator reports that the
// groups are broken or, without a coordinator's report, the ranks reject everything.
func (q *Queue) closed(now time.Time, engine *catalog.Engine) bool {
	return q.pool.Closed(now) || engine != nil && q.pool.Rejecting(now)
}

// Rate returns the number of grants per second over rateWindow, and drops older grants.
func (q *Queue) Rate(now time.Time) float64 {
	old := 0
	for old < len(q.granted) && now.Sub(q.granted[old]) > rateWindow {
		old++
	}
	q.granted = q.granted[old:]
	return float64(len(q.granted)) / rateWindow.Seconds()
}
