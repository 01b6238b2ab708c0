// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package admission

import (
	"math"
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
		fraction, longest = retryWaitFraction, maxRetryWait
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

// recordArrival records a new request of a ranked service.
func (q *Queue) recordArrival(now time.Time, x *Request) {
	if x.Ranked() && !x.retried {
		q.ArrivalRate(now) // drops old entries
		q.arrivals = append(q.arrivals, now)
	}
}

// ArrivalRate returns the number of new requests per second over rateWindow; 0 if the service is not
// ranked.
func (q *Queue) ArrivalRate(now time.Time) float64 {
	old := 0
	for old < len(q.arrivals) && now.Sub(q.arrivals[old]) > rateWindow {
		old++
	}
	q.arrivals = q.arrivals[old:]
	return float64(len(q.arrivals)) / rateWindow.Seconds()
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

// Forecast is the forecast wait of a request.
type Forecast struct {
	Wait time.Duration
	// Ahead is the number of requests that wait at all routers and come before the request.
	Ahead int
}

// forecast forecasts the wait of a request that arrives now.
func (q *Queue) forecast(now time.Time, x *Request) Forecast {
	if !x.Ranked() {
		return Forecast{Wait: q.queueWait(now, x.Ask.Engine, x.Ask.Bounds), Ahead: len(q.waiting)}
	}
	local, waiting := q.preceding(now, x), q.ahead(x.Level)
	ahead, rate, free, wait := local, q.Rate(now), 0, 0.0
	if ranks, opened := q.pool.OpenRanks(now, rateWindow); opened {
		b := x.Ask.Bounds
		if x.Ask.MaxMean > 0 {
			b.Mean = min(b.Mean, int(x.Ask.MaxMean))
		}
		rate = max(rate, float64(ranks)*balance.DrainRate(x.Ask.Engine, q.pool.GroupLoad(now), b))
	}
	if b, ok := q.pool.Backlog(now); ok {
		reported := q.reportedAhead(b, x)
		if waiting > 0 {
			reported = reported * local / waiting // as many at other routers come before it as here
		}
		ahead, rate, wait = max(ahead, reported), max(rate, b.Rate), reportInterval.Seconds()
		if q.pool.BelowMean(now, x.Ask.MaxMean) {
			free = b.Free
		}
	}
	rate *= q.levelShare(now, x.Level)
	wait += max(float64(ahead+1-free), 0) / max(rate, 1/rateWindow.Seconds())
	return Forecast{Wait: time.Duration(wait * float64(time.Second)), Ahead: ahead}
}

// preceding returns the number of requests that wait here and come before a request.
func (q *Queue) preceding(now time.Time, x *Request) int {
	n := 0
	for _, o := range q.waiting {
		if !x.precedes(now, o) {
			n++
		}
	}
	return n
}

// ahead returns the number of requests of a level and of more urgent ones that wait here.
func (q *Queue) ahead(level urgency.Level) int {
	n := 0
	for _, x := range q.waiting {
		if x.Level <= level {
			n++
		}
	}
	return n
}

// reportedAhead returns the number of requests of the same and more urgent levels that wait at all
// routers. If the coordinators do not report levels, the backlog is divided like this router's own
// queue; the last level waits behind all of it.
func (q *Queue) reportedAhead(b balance.Backlog, x *Request) int {
	if b.Levels != nil {
		n := 0
		for _, waiting := range b.Levels[:min(int(x.Level)+1, len(b.Levels))] {
			n += waiting
		}
		return n
	}
	if int(x.Level) >= x.Levels-1 {
		return b.Waiting
	}
	return b.Waiting * q.ahead(x.Level) / max(len(q.waiting), 1)
}

// levelShare returns the share of the grants that a level can use: those of its own requests and of
// less urgent ones, which it precedes. The share is 1 until there are grants, so that the first
// requests of a level are not rejected.
func (q *Queue) levelShare(now time.Time, level urgency.Level) float64 {
	grants, usable := q.recentLevels(now), 1
	for _, g := range grants {
		if g.level >= level {
			usable++
		}
	}
	return float64(usable) / float64(len(grants)+1)
}

// spreadRetryAfter returns the retry time of a request of a ranked service for a forecast wait: a
// random time in the last half of a range that begins when the queue ahead has drained, within a
// third of the caller's remaining time.
func (q *Queue) spreadRetryAfter(now time.Time, x *Request, wait time.Duration) time.Duration {
	end := min(max(retrySpread*wait, minRetrySpread), x.LongestRetryAfter(now))
	return end - time.Duration(q.pool.Random()*float64(end)/2)
}

// LongestRetryAfter returns the longest retry time that the caller accepts.
func (x *Request) LongestRetryAfter(now time.Time) time.Duration {
	return max(time.Duration(rankedRetryFraction*float64(x.Deadline.Sub(now))), 0)
}

// LevelDemands forecasts for each level how many requests could be sent until the next load report
// of a group, and how many wait; nil if the service is not ranked. Requests of a limited level could
// be sent only if a group is below the limit, or if they are starving.
func (q *Queue) LevelDemands(now time.Time) []balance.LevelDemand {
	if q.levels == 0 {
		return nil
	}
	out := make([]balance.LevelDemand, q.levels)
	floor := q.floorLeft(now)
	for _, x := range q.waiting {
		d := &out[q.index(x.Level)]
		d.Waiting++
		switch {
		case q.pool.BelowMean(now, q.levelMeans[q.index(x.Level)]):
			d.Wanted++
		case floor > 0 && x.starving(now):
			d.Wanted++
			floor--
		}
	}
	var rates [urgency.MaxLevels]int
	for _, g := range q.recentLevels(now) {
		rates[q.index(g.level)]++
	}
	// The sum is rounded up, not each level, so that it does not depend on the number of levels.
	sum, counted := 0.0, 0
	for l := range out {
		if q.pool.BelowMean(now, q.levelMeans[l]) {
			sum += float64(rates[l]) / rateWindow.Seconds() * reportInterval.Seconds()
		}
		all := int(math.Ceil(sum))
		out[l].Wanted += all - counted
		counted = all
	}
	return out
}

// WaitingByLevel returns the number of waiting requests of each level; nil if the service is not
// ranked.
func (q *Queue) WaitingByLevel() []int {
	if q.levels == 0 {
		return nil
	}
	out := make([]int, q.levels)
	for _, x := range q.waiting {
		out[q.index(x.Level)]++
	}
	return out
}
