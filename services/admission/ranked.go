// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package admission

import (
	"slices"
	"time"

	"fawnwinch.org/fawnwinch/models/upstream"
	"fawnwinch.org/fawnwinch/models/urgency"
	"fawnwinch.org/fawnwinch/services/balance"
)

const (
	// silentGoals and silentPauses are the multiples of the route's goal and of its pause goal for
	// which callers stay connected to a stream without events, if that is longer than
	// silentStreamTimeout.
	silentGoals, silentPauses = 4, 8
	// floorFraction is the fraction of its permitted wait after which a request of a limited level
	// is admitted above the level's limit. floorShare is the largest share of the grants of the
	// last second that go to such requests.
	floorFraction = 0.7
	floorShare    = 0.1
	// maxWaitingNew bounds the queue for new requests of limited levels. The other half is kept for
	// returning requests and those of the most urgent level.
	maxWaitingNew = maxWaiting / 2
	// rankedRetryFraction is the largest fraction of its remaining time that a caller waits before
	// its retry.
	rankedRetryFraction = 1.0 / 3
	// retrySpread is the range of a retry time, relative to the forecast wait. Callers that are
	// rejected at the same moment return in the last half of that range, none before the queue
	// ahead of it has drained.
	retrySpread = 2
	// minRetrySpread is the end of the shortest such range: the retry times of other services have
	// the same minimum, 250 ms, and the same random part.
	minRetrySpread = 500 * time.Millisecond
)

// levelGrant is a grant to a request of a ranked service.
type levelGrant struct {
	at    time.Time
	level urgency.Level
	// floor reports whether the request was admitted above the limit of its level.
	floor bool
}

// Ranked reports whether the service of the request has an engine and more than one level.
func (x *Request) Ranked() bool { return x.Levels > 1 && x.Ask.Engine != nil }

// limited reports whether the level of the request is limited, so that more urgent requests find
// room.
func (x *Request) limited() bool { return x.Ranked() && x.Level > 0 }

// silentTimeout returns how long the caller stays connected to a stream without events.
func (x *Request) silentTimeout() time.Duration {
	if !x.Ranked() {
		return silentStreamTimeout
	}
	return max(silentStreamTimeout, silentGoals*x.Goal, silentPauses*x.PauseGoal)
}

// maxWait returns the longest time that the request may wait, by its caller's remaining time.
func (x *Request) maxWait(now time.Time) time.Duration {
	fraction, longest := maxWaitFraction, maxWait
	if x.retried {
		fraction, longest = retryWaitFraction, MaxRetryWait
	}
	wait := time.Duration(fraction * float64(x.Deadline.Sub(now)))
	if x.limited() {
		return wait
	}
	return min(longest, wait)
}

// maxForecast returns the longest forecast wait with which a new request joins the queue, given its
// permitted wait. A request of a limited level that would be late is rejected: its caller can still
// be answered in time after a retry.
func (x *Request) maxForecast(wait time.Duration) time.Duration {
	if x.limited() && x.Goal > 0 {
		return min(wait, time.Duration(inTimeFraction*float64(x.Goal)))
	}
	return wait
}

// precedes reports whether a waiting request of a ranked service comes before another one. Returning
// requests come first, as their callers do not return again, with one exception: at a limited level,
// new requests that can be in time do. In a replay of an overload without it, each caller was
// rejected once before it was served, nobody was in time, and this went on after the overload.
func (x *Request) precedes(now time.Time, o *Request) bool {
	if c := x.Urgency.Compare(o.Urgency); c != 0 {
		return c < 0
	}
	inTime := now.Before(x.inTimeUntil())
	if inTime != now.Before(o.inTimeUntil()) {
		return inTime
	}
	if x.retried != o.retried {
		return x.retried != (inTime && x.limited())
	}
	return x.before(now, o)
}

// selective reports whether the request accepts only some of the upstreams, so that its lack of
// room says nothing about other requests.
func (x *Request) selective() bool { return len(x.Ask.Exclude) > 0 || x.Ask.Allows != nil }

// limit is what restricts the room for a request.
type limit struct {
	bounds  balance.Bounds
	maxMean float64
}

// limitOf returns the limit of a request.
func limitOf(ask balance.PickOptions) limit { return limit{ask.Bounds, ask.MaxMean} }

// covers reports whether a request with the limit o finds no room either if one with the limit l
// does not.
func (l limit) covers(o limit) bool {
	return l.bounds == o.bounds && (l.maxMean <= 0 || o.maxMean > 0 && o.maxMean <= l.maxMean)
}

// blocked reports whether a waiting request keeps a new one from being sent immediately. In a
// ranked service this is a request that comes before it and that has found no room within the same
// limit or a wider one.
func (q *Queue) blocked(now time.Time, x *Request) bool {
	if !x.Ranked() {
		return len(q.waiting) > 0
	}
	return slices.ContainsFunc(q.waiting, func(o *Request) bool {
		return !o.selective() && limitOf(o.Ask).covers(limitOf(x.Ask)) && o.precedes(now, x)
	})
}

// admitRanked returns the waiting requests of a ranked service for which there is room now.
func (q *Queue) admitRanked(now time.Time, usable []upstream.Instance) []Grant {
	var out []Grant
	pass := rankedPass{now: now, means: q.levelMeans[:max(q.levels, 1)]}
	for {
		pass.floorLeft = q.floorLeft(now)
		x := pass.next(q.waiting)
		if x == nil {
			return out
		}
		ask, floor := pass.ask(x)
		if u, ok := q.pick(now, ask, usable); ok {
			q.Leave(x)
			q.recordLevel(now, x, floor)
			out = append(out, Grant{Request: x, Upstream: u})
			continue
		}
		if x.selective() {
			pass.skipped = append(pass.skipped, x)
		} else {
			pass.full = append(pass.full, limitOf(ask))
		}
	}
}

// rankedPass is the state of one search for waiting requests that can be admitted.
type rankedPass struct {
	now time.Time
	// floorLeft is the number of requests that may be admitted above the limit of their level.
	floorLeft int
	// means holds the present limit of each level; the limit when a request arrived may be outdated.
	means []float64
	// full holds the limits within which there is no room, and skipped the requests that found none
	// at the upstreams that they accept.
	full    []limit
	skipped []*Request
}

// ask returns what a request requires now, and whether it is admitted above the limit of its level.
func (p *rankedPass) ask(x *Request) (ask balance.PickOptions, floor bool) {
	ask = x.Ask
	if mean := p.means[min(int(x.Level), len(p.means)-1)]; x.limited() && mean > 0 {
		ask.MaxMean = mean
	}
	if floor = p.floorLeft > 0 && x.starving(p.now); floor {
		ask.MaxMean = 0
	}
	return ask, floor
}

// starving reports whether a request of a limited level has waited so long that it is admitted
// above the limit of its level.
func (x *Request) starving(now time.Time) bool { return x.limited() && !now.Before(x.floorAt) }

// next returns the request that is tried next, or nil: a starving one, or else the first in order.
func (p *rankedPass) next(waiting []*Request) *Request {
	var best *Request
	bestFloor := false
	for _, x := range waiting {
		ask, floor := p.ask(x)
		if p.hopeless(x, limitOf(ask)) {
			continue
		}
		if best == nil || floor && !bestFloor || floor == bestFloor && x.precedes(p.now, best) {
			best, bestFloor = x, floor
		}
	}
	return best
}

// hopeless reports whether it is known that there is no room for a request.
func (p *rankedPass) hopeless(x *Request, l limit) bool {
	return slices.ContainsFunc(p.full, func(f limit) bool { return f.covers(l) }) || slices.Contains(p.skipped, x)
}

// recordLevel records the grant to a request of a ranked service.
func (q *Queue) recordLevel(now time.Time, x *Request, floor bool) {
	if x.Ranked() {
		q.levelGrants = append(q.levelGrants, levelGrant{at: now, level: x.Level, floor: floor})
	}
}

// recentLevels returns the grants to requests of a ranked service within rateWindow, and drops older
// ones.
func (q *Queue) recentLevels(now time.Time) []levelGrant {
	old := 0
	for old < len(q.levelGrants) && now.Sub(q.levelGrants[old].at) > rateWindow {
		old++
	}
	q.levelGrants = q.levelGrants[old:]
	return q.levelGrants
}

// floorLeft returns how many starving requests may still be admitted above their limit.
func (q *Queue) floorLeft(now time.Time) int {
	grants, floor := q.recentLevels(now), 0
	for _, g := range grants {
		if g.floor {
			floor++
		}
	}
	return max(1, int(floorShare*float64(len(grants)))) - floor
}

// learnLevel records the levels of the service and the limit of one of them.
func (q *Queue) learnLevel(x *Request) {
	if q.levels = 0; x.Ranked() {
		q.levels = min(x.Levels, urgency.MaxLevels)
		q.levelMeans[q.index(x.Level)] = x.Ask.MaxMean
	}
}

// index returns the position of a level among those of the service. Requests that have waited since
// before a change of the catalog may have a level that no longer exists; they count as the last.
func (q *Queue) index(l urgency.Level) int { return max(0, min(int(l), q.levels-1)) }

// capacity returns the number of waiting requests with which the queue is full for a request.
func (q *Queue) capacity(x *Request) int {
	if x.limited() && !x.retried {
		return maxWaitingNew
	}
	return maxWaiting
}
