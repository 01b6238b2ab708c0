// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package relay

import (
	"context"
	"math"
	"slices"
	"time"

	"fawnwinch.org/fawnwinch/models/catalog"
	"fawnwinch.org/fawnwinch/models/upstream"
	"fawnwinch.org/fawnwinch/services/balance"
)

// waiter is a request that waits for an upstream with room.
type waiter struct {
	ask balance.Ask
	// inTime is the time up to which the request can still be answered within its goal, and deadline that
	// at which its caller leaves.
	inTime, deadline time.Time
	ready            chan upstream.Instance
}

const (
	// inTimePart is the part of a route's goal that a request may wait for room and still be answered in
	// time. The rest is needed for the pass under way and for reading the prompt.
	inTimePart = 0.55
	// holdMost and holdMostPart bound the wait for room. The rest of the time is needed for the answer, and
	// callers leave a stream that says nothing for two seconds.
	holdMost     = 1200 * time.Millisecond
	holdMostPart = 0.4
	// triedPart tells callers that come again: they have less patience left than this part of the longest
	// that callers of the route had.
	triedPart = 0.97
	// maxWaiters bounds the requests that wait for one service at a router.
	maxWaiters = 64
	// plainRoom is the number of requests for each slot of a plain upstream that are sent to it at most.
	plainRoom = 2
	// rateWindow is the time over which the rate of choices is taken.
	rateWindow = time.Second
	// reportTime is about the time between two reports of a group's load.
	reportTime = 100 * time.Millisecond
)

// rate returns the choices of the last second, and forgets earlier ones.
func (l *lane) rate(now time.Time) float64 {
	old := 0
	for old < len(l.granted) && now.Sub(l.granted[old]) > rateWindow {
		old++
	}
	l.granted = l.granted[old:]
	return float64(len(l.granted)) / rateWindow.Seconds()
}

// wanted forecasts how many requests the lane could send until the next report.
func (l *lane) wanted(now time.Time) int {
	return len(l.waiters) + int(math.Ceil(l.rate(now)*reportTime.Seconds()))
}

// queueWait forecasts how long it takes until all that wait are let in, and one more.
func (l *lane) queueWait(now time.Time) time.Duration {
	rate := max(l.rate(now), 1/rateWindow.Seconds())
	return time.Duration(float64(len(l.waiters)+1) / rate * float64(time.Second))
}

// first returns the waiting request that is let in next, or nil: of those that can still be answered in time
// the one with the least time for that, or else the one whose caller leaves first. Requests that were passed
// over are left out.
func (l *lane) first(now time.Time, passed []*waiter) *waiter {
	var best *waiter
	for _, w := range l.waiters {
		if !slices.Contains(passed, w) && (best == nil || w.before(now, best)) {
			best = w
		}
	}
	return best
}

// before reports whether a waiting request is let in before another one.
func (w *waiter) before(now time.Time, o *waiter) bool {
	inTime := now.Before(w.inTime)
	if inTime != now.Before(o.inTime) {
		return inTime
	}
	if inTime {
		return w.inTime.Before(o.inTime)
	}
	return w.deadline.Before(o.deadline)
}

// drop takes a request out of those that wait.
func (l *lane) drop(w *waiter) {
	if i := slices.Index(l.waiters, w); i >= 0 {
		l.waiters = slices.Delete(l.waiters, i, i+1)
	}
}

// hold returns how long a request may wait for room; 0 if it should be refused at once and come back
// when there is some. Nobody says that no upstream is listed. The caller holds the lock.
func (l *lane) hold(now time.Time, x *exchange, nobody bool) time.Duration {
	most := min(holdMost, time.Duration(holdMostPart*float64(x.deadline.Sub(now))))
	if l.triedBefore(x) {
		return most
	}
	if nobody || l.pool.Closed(now) || l.queueWait(now) > most {
		return 0
	}
	return most
}

// triedBefore reports whether the caller has less patience left than others of its route had: it was
// refused before and comes again.
func (l *lane) triedBefore(x *exchange) bool {
	full := max(l.patience[x.route.Name], x.meta.Patience)
	l.patience[x.route.Name] = full
	return x.meta.Patience < time.Duration(triedPart*float64(full))
}

// room forecasts when a request that is refused now would find room.
func (l *lane) room(now time.Time, x *exchange, a balance.Ask) time.Duration {
	wait := min(l.queueWait(now), retryBusyMax)
	if a.Engine != nil && (l.pool.Closed(now) || len(l.granted) == 0) {
		return max(wait, l.back(now, x, a.Engine))
	}
	return wait
}

// back forecasts when a broken group is back. It needs the time in which it forms anew, and its ranks a
// moment to be listed. Nobody knows when a rank that is missing comes back, so a caller is told to come as
// late as callers are willing to: it comes again only once or twice.
func (l *lane) back(now time.Time, x *exchange, e *catalog.Engine) time.Duration {
	forms := e.FormTime + listTime
	if l.pool.Missing(now) {
		return max(forms, time.Duration(obeyPart*float64(x.deadline.Sub(now))))
	}
	return forms
}

// afterNotRun forecasts when a request finds room that upstreams did not run.
func (r *Relay) afterNotRun(x *exchange) time.Duration {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if s := r.know.Index().Service(x.service); s != nil && s.Engine != nil {
		// Ranks refuse what they get while their group is broken.
		return r.lane(now, x.service).back(now, x, s.Engine)
	}
	return retryBusy
}

// obeyPart is the part of the time that a caller has left for which it is told to stay away at most. The
// users' callers obey up to a third.
const obeyPart = 0.3

// listTime is the time that a rank of a new group needs until routers know it.
const listTime = 400 * time.Millisecond

// acquire returns an upstream for a request, after a wait if need be, and notes the attempt. It returns
// false if there is none: at once where waiting is no use.
func (r *Relay) acquire(ctx context.Context, x *exchange) (upstream.Instance, bool) {
	r.mu.Lock()
	now := time.Now()
	l := r.lane(now, x.service)
	a := r.ask(now, l, x)
	l.askedAt = now
	if a.Engine != nil && !l.pool.Reported(now) {
		r.unreported(x.service)
	}
	hold := l.hold(now, x, len(r.know.Usable(now, x.service)) == 0)
	if len(l.waiters) == 0 {
		if u, ok := r.pick(now, l, a); ok {
			r.mu.Unlock()
			return u, true
		}
	}
	x.comeBack = l.room(now, x, a)
	if len(l.waiters) >= maxWaiters || hold <= 0 {
		r.mu.Unlock()
		return upstream.Instance{}, false
	}
	w := &waiter{
		ask: a, deadline: x.deadline, ready: make(chan upstream.Instance, 1),
		inTime: x.arrived.Add(time.Duration(inTimePart * float64(x.route.Goal))),
	}
	l.waiters = append(l.waiters, w)
	r.mu.Unlock()
	return r.await(ctx, l, w, hold)
}

func (r *Relay) await(ctx context.Context, l *lane, w *waiter, hold time.Duration) (upstream.Instance, bool) {
	t := time.NewTimer(hold)
	defer t.Stop()
	select {
	case u := <-w.ready:
		return u, true
	case <-t.C:
	case <-ctx.Done():
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	select {
	case u := <-w.ready:
		return u, true
	default:
	}
	l.drop(w)
	return upstream.Instance{}, false
}

// ask tells what a request wants. The caller holds the lock.
func (r *Relay) ask(now time.Time, l *lane, x *exchange) balance.Ask {
	a := balance.Ask{Routers: r.routers, Exclude: x.tried}
	if s := r.know.Index().Service(x.service); s != nil && s.Engine != nil {
		a.Engine = s.Engine
		a.Bounds = balance.GroupBounds(s.Engine, l.pool.Skew(now), l.pool.Pace(now), x.route.PauseGoal)
	}
	return a
}

// pick chooses an upstream and notes the attempt. The caller holds the lock.
func (r *Relay) pick(now time.Time, l *lane, a balance.Ask) (upstream.Instance, bool) {
	cands := r.know.Usable(now, l.service)
	if len(cands) == 0 || l.pool.Closed(now) {
		return upstream.Instance{}, false
	}
	if a.Engine == nil {
		a.Bounds.Rank = plainRoom * cands[0].Slots
	}
	u, ok := l.pool.Pick(now, cands, a)
	if ok {
		l.pool.Sent(u.ID)
		l.granted = append(l.granted, now)
	}
	return u, ok
}

// wake lets waiting requests in while there is room. One that has tried the only upstream with room does not
// keep the others from it. The caller holds the lock.
func (r *Relay) wake(now time.Time, l *lane) {
	var passed []*waiter
	for w := l.first(now, passed); w != nil; w = l.first(now, passed) {
		u, ok := r.pick(now, l, w.ask)
		switch {
		case ok:
			l.drop(w)
			w.ready <- u
		case len(w.ask.Exclude) > 0:
			passed = append(passed, w)
		default:
			return
		}
	}
}
