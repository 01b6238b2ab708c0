// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package admission

import (
	"time"

	"fawnwinch.org/fawnwinch/models/urgency"
	"fawnwinch.org/fawnwinch/services/balance"
)

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
