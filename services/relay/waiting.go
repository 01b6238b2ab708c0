// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package relay

import (
	"context"
	"slices"
	"time"

	"fawnwinch.org/fawnwinch/models/service"
	"fawnwinch.org/fawnwinch/models/upstream"
	"fawnwinch.org/fawnwinch/services/balance"
)

// waiter is a request that waits for an upstream with room.
type waiter struct {
	ask      balance.Ask
	deadline time.Time
	ready    chan upstream.Instance
}

const (
	// holdPart is the part of a route's goal that a request may wait for room and still be answered in
	// time. The rest is needed for the pass under way and for reading the prompt.
	holdPart = 0.55
	// lateHold and lateHoldPart bound the wait of a request that is late anyway or that was refused before:
	// refusing it again would lose it. The rest of the time is needed for the answer, and callers leave a
	// stream that says nothing for two seconds.
	lateHold     = 1200 * time.Millisecond
	lateHoldPart = 0.4
	// triedPart tells callers that come again: they have less patience left than this part of the longest
	// that callers of the route had.
	triedPart = 0.97
	// maxWaiters bounds the requests that wait for one service at a router.
	maxWaiters = 64
	// passPart is the part of the pause goal that a pass may take by forecast.
	passPart = 0.92
	// guardSkew is the skew that is reckoned with at least: demand may shift in any second, and the map
	// follows some passes later.
	guardSkew = 1.6
	// unevenness is how many more requests than the mean a rank may have.
	unevenness = 2
	// plainRoom is the number of requests for each slot of a plain upstream that are sent to it at most.
	plainRoom = 2
	// rateWindow is the time over which the rate of choices is taken.
	rateWindow = time.Second
)

// queueWait forecasts how long a request waits behind those that wait already.
func (l *lane) queueWait(now time.Time) time.Duration {
	old := 0
	for old < len(l.granted) && now.Sub(l.granted[old]) > rateWindow {
		old++
	}
	l.granted = l.granted[old:]
	rate := float64(max(len(l.granted), 1)) / rateWindow.Seconds()
	return time.Duration(float64(len(l.waiters)+1) / rate * float64(time.Second))
}

// hold returns how long a request may wait for room; 0 if it should be refused at once and come back
// when there is some. Nobody says that no upstream is listed. The caller holds the lock.
func (l *lane) hold(now time.Time, x *exchange, a balance.Ask, nobody bool) time.Duration {
	late := min(lateHold, time.Duration(lateHoldPart*float64(x.deadline.Sub(now))))
	inTime := time.Duration(holdPart*float64(x.route.Goal)) - now.Sub(x.arrived)
	hopeless := a.Engine != nil && a.Mean >= a.Engine.Slots
	switch {
	case l.triedBefore(x):
		return late
	case nobody || l.pool.Closed(now):
		return 0
	case hopeless:
		return late
	case l.queueWait(now) > inTime:
		return 0
	}
	return inTime
}

// triedBefore reports whether the caller has less patience left than others of its route had: it was
// refused before and comes again.
func (l *lane) triedBefore(x *exchange) bool {
	full := max(l.patience[x.route.Name], x.meta.Patience)
	l.patience[x.route.Name] = full
	return x.meta.Patience < time.Duration(triedPart*float64(full))
}

// room forecasts when a request that is refused now would find room. A broken group needs the time in
// which it forms anew, and its ranks a moment to be listed.
func (l *lane) room(now time.Time, a balance.Ask) time.Duration {
	wait := l.queueWait(now)
	if a.Engine != nil && (l.pool.Closed(now) || len(l.granted) == 0) {
		wait = max(wait, a.Engine.FormTime+listTime)
	}
	return wait
}

// afterNotRun forecasts when a request finds room that upstreams did not run.
func (r *Relay) afterNotRun(id service.ID) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s := r.know.Index().Service(id); s != nil && s.Engine != nil {
		// Ranks refuse what they get while their group forms.
		return s.Engine.FormTime + listTime
	}
	return retryBusy
}

// listTime is the time that a rank of a new group needs until routers know it.
const listTime = 400 * time.Millisecond

// acquire returns an upstream for a request, after a wait if need be, and notes the attempt. It returns
// false if there is none: at once where waiting is no use.
func (r *Relay) acquire(ctx context.Context, x *exchange) (upstream.Instance, bool) {
	r.mu.Lock()
	now := time.Now()
	l := r.lane(now, x.service)
	a := r.ask(now, l, x)
	hold := l.hold(now, x, a, len(r.know.Usable(now, x.service)) == 0)
	if len(l.waiters) == 0 {
		if u, ok := r.pick(now, l, a); ok {
			r.mu.Unlock()
			return u, true
		}
	}
	x.comeBack = l.room(now, a)
	if len(l.waiters) >= maxWaiters || hold <= 0 {
		r.mu.Unlock()
		return upstream.Instance{}, false
	}
	w := &waiter{ask: a, deadline: x.deadline, ready: make(chan upstream.Instance, 1)}
	at, _ := slices.BinarySearchFunc(l.waiters, w, func(a, b *waiter) int { return a.deadline.Compare(b.deadline) })
	l.waiters = slices.Insert(l.waiters, at, w)
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
	for i := range l.waiters {
		if l.waiters[i] == w {
			l.waiters = append(l.waiters[:i], l.waiters[i+1:]...)
			break
		}
	}
	return upstream.Instance{}, false
}

// ask tells what a request wants. The caller holds the lock.
func (r *Relay) ask(now time.Time, l *lane, x *exchange) balance.Ask {
	a := balance.Ask{Routers: r.routers, Exclude: x.tried}
	if s := r.know.Index().Service(x.service); s != nil && s.Engine != nil {
		a.Engine = s.Engine
		a.Limit = s.Engine.Slots
		if x.route.PauseGoal > 0 {
			skew := max(l.pool.Skew(now), guardSkew)
			a.Mean = balance.Limit(s.Engine, skew, l.pool.Pace(now), time.Duration(passPart*float64(x.route.PauseGoal)))
			a.Limit = min(a.Mean+unevenness, s.Engine.Slots)
		}
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
		a.Limit = plainRoom * cands[0].Slots
	}
	u, ok := l.pool.Pick(now, cands, a)
	if ok {
		l.pool.Sent(u.ID)
		l.granted = append(l.granted, now)
	}
	return u, ok
}

// wake lets waiting requests in while there is room. The caller holds the lock.
func (r *Relay) wake(now time.Time, l *lane) {
	for len(l.waiters) > 0 {
		w := l.waiters[0]
		u, ok := r.pick(now, l, w.ask)
		if !ok {
			return
		}
		l.waiters = l.waiters[1:]
		w.ready <- u
	}
}
