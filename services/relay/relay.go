// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package relay passes the requests of callers on to upstreams and their answers back. It decides what
// is sent where, what is sent again, and what a caller is told when there is no answer.
package relay

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"fawnwinch.org/fawnwinch/models/catalog"
	"fawnwinch.org/fawnwinch/models/service"
	"fawnwinch.org/fawnwinch/models/upstream"
	"fawnwinch.org/fawnwinch/models/vm"
	"fawnwinch.org/fawnwinch/modules/httpconn"
	"fawnwinch.org/fawnwinch/modules/metrics"
	"fawnwinch.org/fawnwinch/services"
	"fawnwinch.org/fawnwinch/services/balance"
	"fawnwinch.org/fawnwinch/services/knowledge"

	"github.com/rs/zerolog"
)

// Options holds what a Relay needs.
type Options struct {
	DataCentre vm.DataCentre
	// KeyFreshness is the time after which a key that was taken away must not be let in.
	KeyFreshness time.Duration
	// RetryRatio, RetrySlack and RetryWindow bound the retries of all routers.
	RetryRatio, RetrySlack float64
	RetryWindow            time.Duration
	Protocol               services.CallerProtocol
	Metrics                *metrics.Metrics
	Logger                 zerolog.Logger
}

// Relay is the part of a router that serves callers. It is safe for use by several goroutines.
type Relay struct {
	opts  Options
	conns *httpconn.Pool

	mu      sync.Mutex
	know    *knowledge.State
	pools   map[service.ID]*lane
	routers int
	leaving time.Time
	active  int
}

// lane is the way to the upstreams of one service.
type lane struct {
	pool    *balance.Pool
	budget  *balance.Budget
	waiters []*waiter
}

// New returns a relay that knows nothing yet.
func New(o Options) *Relay {
	return &Relay{opts: o, conns: httpconn.NewPool(), know: knowledge.New(), pools: map[service.ID]*lane{}, routers: 1}
}

// Know calls f with the router's knowledge, under the relay's lock.
func (r *Relay) Know(f func(s *knowledge.State)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f(r.know)
}

// Routers notes how many routers there are, this one included.
func (r *Relay) Routers(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.routers = n
}

// Rebound takes over a new time for which keys that were taken away may still be let in.
func (r *Relay) Rebound(keyFreshness time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.opts.KeyFreshness = keyFreshness
}

// Leave says that the process was told to stop at a time.
func (r *Relay) Leave(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leaving = now
}

// Active returns the number of requests in flight.
func (r *Relay) Active() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.active
}

// Report takes in the load of a model group, and returns what this router has to add to it.
func (r *Relay) Report(now time.Time, g balance.Group) balance.Unstarted {
	r.mu.Lock()
	defer r.mu.Unlock()
	id := service.ID(g.Service)
	ids := map[string]upstream.ID{}
	for _, i := range r.know.Usable(now, id) {
		ids[i.Address] = i.ID
	}
	l := r.lane(now, id)
	mine := l.pool.Report(now, g, ids)
	r.wake(now, l)
	return mine
}

// Sweep drops what is no longer needed.
func (r *Relay) Sweep(now time.Time) {
	r.conns.Sweep(now)
	r.mu.Lock()
	defer r.mu.Unlock()
	listed := map[upstream.ID]bool{}
	for _, i := range r.know.All() {
		listed[i.ID] = true
	}
	for _, l := range r.pools {
		l.pool.Forget(listed)
		r.wake(now, l)
	}
}

// Connections returns the number of connections opened to upstreams.
func (r *Relay) Connections() uint64 { return r.conns.Opened.Load() }

// Close closes resting connections.
func (r *Relay) Close() { r.conns.Close() }

// lane returns the way to a service. The caller holds the lock.
func (r *Relay) lane(now time.Time, id service.ID) *lane {
	l, ok := r.pools[id]
	if !ok {
		l = &lane{
			pool:   balance.NewPool(r.opts.DataCentre),
			budget: balance.NewBudget(now, r.opts.RetryRatio, r.opts.RetrySlack, r.opts.RetryWindow, r.routers),
		}
		r.pools[id] = l
	}
	return l
}

// target draws one of a route's services by their weights.
func target(rt *catalog.Route) service.ID {
	var sum float64
	for _, t := range rt.Targets {
		sum += t.Weight
	}
	at := rand.Float64() * sum //nolint:gosec // no secret
	for _, t := range rt.Targets {
		if at -= t.Weight; at < 0 {
			return t.Service
		}
	}
	return rt.Targets[0].Service
}

// waiter is a request that waits for an upstream with room.
type waiter struct {
	ask   balance.Ask
	ready chan upstream.Instance
}

const (
	// holdPart is the part of a route's goal that a request may wait for room. The rest is needed for
	// the pass under way and for reading the prompt.
	holdPart = 0.55
	// maxWaiters bounds the requests that wait for one service at a router.
	maxWaiters = 64
	// passPart is the part of the pause goal that a pass may take by forecast.
	passPart = 0.92
	// guardSkew is the skew that is reckoned with at least: demand may shift in any second, and the map
	// follows some passes later.
	guardSkew = 2.2
	// unevenness is how many more requests than the mean a rank may have.
	unevenness = 2
	// plainRoom is the number of requests for each slot of a plain upstream that are sent to it at most.
	plainRoom = 2
)

// acquire returns an upstream for a request, after a wait if need be, and notes the attempt. It returns
// false if there is none: at once where waiting is no use.
func (r *Relay) acquire(ctx context.Context, x *exchange) (upstream.Instance, bool) {
	r.mu.Lock()
	now := time.Now()
	l := r.lane(now, x.service)
	a := r.ask(now, l, x)
	if len(l.waiters) == 0 {
		if u, ok := r.pick(now, l, x.service, a); ok {
			r.mu.Unlock()
			return u, true
		}
	}
	hold := min(time.Duration(holdPart*float64(x.route.Goal))-now.Sub(x.arrived), time.Until(x.deadline))
	if l.pool.Closed(now) || len(l.waiters) >= maxWaiters || hold <= 0 || len(r.know.Usable(now, x.service)) == 0 {
		r.mu.Unlock()
		return upstream.Instance{}, false
	}
	w := &waiter{ask: a, ready: make(chan upstream.Instance, 1)}
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
			a.Mean = balance.Limit(s.Engine, skew, time.Duration(passPart*float64(x.route.PauseGoal)))
			a.Limit = min(a.Mean+unevenness, s.Engine.Slots)
		}
	}
	return a
}

// pick chooses an upstream and notes the attempt. The caller holds the lock.
func (r *Relay) pick(now time.Time, l *lane, id service.ID, a balance.Ask) (upstream.Instance, bool) {
	cands := r.know.Usable(now, id)
	if len(cands) == 0 || l.pool.Closed(now) {
		return upstream.Instance{}, false
	}
	if a.Engine == nil {
		a.Limit = plainRoom * cands[0].Slots
	}
	u, ok := l.pool.Pick(now, cands, a)
	if ok {
		l.pool.Sent(u.ID)
	}
	return u, ok
}

// wake lets waiting requests in while there is room. The caller holds the lock.
func (r *Relay) wake(now time.Time, l *lane) {
	for len(l.waiters) > 0 {
		w := l.waiters[0]
		id := r.serviceOf(l)
		u, ok := r.pick(now, l, id, w.ask)
		if !ok {
			return
		}
		l.waiters = l.waiters[1:]
		w.ready <- u
	}
}

func (r *Relay) serviceOf(l *lane) service.ID {
	for id, o := range r.pools {
		if o == l {
			return id
		}
	}
	return ""
}

// release notes the end of an attempt.
func (r *Relay) release(id service.ID, u upstream.Instance, res balance.Result, took time.Duration, started bool) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	l := r.lane(now, id)
	l.pool.Done(now, u.ID, res, took, started)
	r.wake(now, l)
	if res == balance.ResultUnreached || res == balance.ResultStranger {
		r.conns.Drop(u.Address)
	}
}

// started notes that the answer of an upstream has begun.
func (r *Relay) started(id service.ID, u upstream.Instance) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lane(time.Now(), id).pool.Started(u.ID)
}

// takes reports whether an upstream may still get work, right before it is sent.
func (r *Relay) takes(u upstream.Instance) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.know.Takes(time.Now(), u.ID)
}

// mayRetry takes one retry out of the budget of a service.
func (r *Relay) mayRetry(id service.ID) bool {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lane(now, id).budget.Take(now)
}
