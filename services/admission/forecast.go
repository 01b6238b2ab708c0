// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package admission

import (
	"time"

	"fawnwinch.org/fawnwinch/models/catalog"
	"fawnwinch.org/fawnwinch/services/balance"
	"fawnwinch.org/fawnwinch/services/condition"
)

// queueWait forecasts the time until all waiting requests and one more are admitted. If a
// coordinator reports the backlog and rate of all routers, these are used: one of many routers has
// too few requests for a forecast. A newly opened group has not admitted anything yet, and callers
// were rejected because of its measured rate of zero. So the forecast throughput of its ranks is
// used if it is higher.
func (q *Queue) queueWait(now time.Time, e *catalog.Engine, b balance.Bounds) time.Duration {
	ahead, rate := float64(len(q.waiting)+1), q.Rate(now)
	if ranks, opened := q.pool.OpenRanks(now, rateWindow); opened && e != nil {
		rate = max(rate, float64(ranks)*balance.DrainRateOf(e, q.pool.GroupLoad(now), b, q.sizes.meanAnswer(e.UsualAnswer, len(q.waiting))))
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
func (q *Queue) wait(now time.Time, x *Request, unlisted bool, opening time.Duration) time.Duration {
	closed := unlisted || q.closed(now, x.Ask.Engine)
	limit := min(x.maxWait(now), q.maxSilentWait(now, x, closed))
	if limit -= x.Waited; limit <= opening {
		return 0
	}
	if !x.retried && (closed || q.forecast(now, x).Wait > x.maxForecast(limit)) {
		return 0
	}
	return limit
}

// maxOpeningRetryAfter bounds the retry time for upstreams that accept nothing by their own
// reports: they may change their reports earlier.
const maxOpeningRetryAfter = 30 * time.Second

// openingRetryAfter returns the retry time for upstreams that accept requests again after the given
// time.
func openingRetryAfter(opening time.Duration) time.Duration {
	if opening == condition.Never {
		return maxRetryAfter // other upstreams may replace them at any time
	}
	return min(opening, maxOpeningRetryAfter)
}

// maxSilentWait returns how long a request may wait for room and still get its first event before
// its caller disconnects from the silent stream. With passes of half a second, caused by one slow
// rank, the first event takes most of that time: callers that were admitted later disconnected, and
// their requests were processed in vain. For a closed group the full timeout is returned, as the
// length of its next passes is unknown.
func (q *Queue) maxSilentWait(now time.Time, x *Request, closed bool) time.Duration {
	if x.Ask.Engine == nil || closed {
		return x.silentTimeout()
	}
	return max(x.silentTimeout()-balance.FirstEventOf(x.Ask.Engine, q.pool.GroupLoad(now), x.Ask.Size.KnownPrompt()), 0)
}

// isRetry reports whether the caller was rejected before and retries. Such a caller has less time
// left than a new one and sends a shorter timeout, so a timeout clearly below the longest one seen
// on the route identifies it. isRetry also updates the longest timeout of the route. In the
// learning period it compares with the route's configured timeout as well, which it does not store.
func (q *Queue) isRetry(now time.Time, x *Request) bool {
	full := max(q.longestTimeout[x.Route], x.Patience)
	q.longestTimeout[x.Route] = full
	if now.Sub(q.firstArrival) < learningPeriod {
		full = max(full, x.Timeout)
	}
	return x.Patience < time.Duration(retryFraction*float64(full))
}

// retryAfter forecasts when a request that is rejected now would find room.
func (q *Queue) retryAfter(now time.Time, x *Request, opening time.Duration) time.Duration {
	if x.Ask.Engine != nil && !q.closedSince.IsZero() {
		return max(q.returnAfter(now, x, x.Ask.Engine), openingRetryAfter(opening))
	}
	if q.spreads(now, x) {
		return max(q.spreadRetryAfter(now, x, q.forecast(now, x).Wait), openingRetryAfter(opening))
	}
	wait := max(min(q.queueWait(now, x.Ask.Engine, x.Ask.Bounds), maxRetryAfter), openingRetryAfter(opening))
	if x.Ask.Engine != nil && (q.closed(now, x.Ask.Engine) || len(q.granted) == 0) {
		return max(wait, q.reopening(now, x, x.Ask.Engine))
	}
	return wait
}

// spreads reports whether the retry time of a request is spread over a range: that of a ranked
// service whose groups work.
func (q *Queue) spreads(now time.Time, x *Request) bool {
	return x.Ranked() && !q.closed(now, x.Ask.Engine)
}

// reopening forecasts when a broken group is back: it needs its form time, and its ranks need time
// to be listed. The return of a missing rank cannot be forecast, so the caller is asked to retry as
// late as callers accept: it retries only once or twice.
func (q *Queue) reopening(now time.Time, x *Request, e *catalog.Engine) time.Duration {
	forms := e.FormTime + listingDelay
	if q.pool.MissingRanks(now) {
		return max(forms, time.Duration(retryAfterFraction*float64(x.Deadline.Sub(now))))
	}
	return forms
}

// noteClosure records since when no upstream accepts requests. Unlisted reports whether none is
// listed. A closure ends when a group is reported open or, without reports, when an answer begins:
// a request that is sent to ranks of unknown state may still be rejected. A queue without requests
// does not see the end of a closure, so it does not count a closure from before such a time.
func (q *Queue) noteClosure(now time.Time, e *catalog.Engine, unlisted bool) {
	if now.Sub(q.lastArrival) > idleAfter {
		q.closedSince = time.Time{}
	}
	switch {
	case e == nil:
	case unlisted || q.closed(now, e):
		if q.closedSince.IsZero() {
			q.closedSince = now
		}
	case q.pool.Answering(now, q.closedSince):
		q.closedSince = time.Time{}
	}
}

// returnAfter returns the retry time of a caller that is rejected while no rank accepts requests.
// Rejected callers that all returned when the groups opened waited for 0.9 to 1.2 s and delayed new
// callers for 4 to 6 s. So they return in the order of their rejection, over a period as long as
// the closure. It is at most retryAfterFraction of the caller's remaining time, as callers ignore
// longer retry times.
func (q *Queue) returnAfter(now time.Time, x *Request, e *catalog.Engine) time.Duration {
	after := q.reopening(now, x, e)
	if q.closedSince.IsZero() {
		return after
	}
	return min(after+now.Sub(q.closedSince), time.Duration(retryAfterFraction*float64(x.Deadline.Sub(now))))
}
