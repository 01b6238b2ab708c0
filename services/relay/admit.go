// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package relay

import (
	"context"
	"time"

	"fawnwinch.org/fawnwinch/models/upstream"
	"fawnwinch.org/fawnwinch/modules/clock"
	"fawnwinch.org/fawnwinch/services/admission"
	"fawnwinch.org/fawnwinch/services/balance"
)

// acquire returns an upstream for a request, after a wait if necessary, and records the attempt. It
// returns false if there is none, without a wait where waiting cannot help.
func (r *Relay) acquire(ctx context.Context, x *exchange) (upstream.Instance, bool) {
	r.mu.Lock()
	now := clock.Now()
	svc := r.serviceState(now, x.service)
	asked := r.admissionRequest(now, svc, x)
	usable := x.allowed(r.state.Usable(now, x.service))
	x.evacuated = len(usable) == 0 && len(x.allowed(r.state.EvacuatedUpstreams(x.service))) > 0
	if x.evacuated || len(usable) == 0 && x.homes.restricted() {
		r.mu.Unlock()
		return upstream.Instance{}, false
	}
	if asked.Ask.Engine != nil && svc.unreported(now, usable) {
		r.unreported(x.service)
	}
	r.wake(now, svc) // room changes without a report too: a binding report may have expired
	v := svc.queue.Arrive(now, asked, usable)
	x.retryAfter, x.spread, x.forecast = v.RetryAfter, v.Spread, v.Forecast
	x.retried = asked.Retried()
	switch v.Outcome {
	case admission.OutcomeGranted:
		r.mu.Unlock()
		x.countAdmission(asked, admissionGranted)
		return v.Upstream, true
	case admission.OutcomeRejected:
		r.noteRejected(now, svc, asked, v.Forecast)
		r.mu.Unlock()
		x.countAdmission(asked, admissionRejected)
		return upstream.Instance{}, false
	case admission.OutcomeWaits:
	}
	ready := make(chan upstream.Instance, 1)
	svc.ready[asked] = ready
	r.mu.Unlock()
	if v.Opening > 0 {
		defer time.AfterFunc(v.Opening, func() { r.admitWaiting(svc) }).Stop()
	}
	return x.await(ctx, svc, asked, ready, v.Wait)
}

// coverageInterval is the time between two checks whether the load of each rank is reported: a
// check takes some microseconds.
const coverageInterval = 50 * time.Millisecond

// unreported reports whether there are ranks without a reported load. It checks at most once per
// coverageInterval.
func (svc *serviceState) unreported(now time.Time, ranks []upstream.Instance) bool {
	if now.Sub(svc.coverageAt) < coverageInterval {
		return false
	}
	svc.coverageAt = now
	return len(ranks) == 0 || len(svc.pool.Unreported(now, ranks)) > 0
}

// await waits until a request is admitted, and counts whether it was.
func (x *exchange) await(ctx context.Context, svc *serviceState, asked *admission.Request, ready chan upstream.Instance, wait time.Duration) (upstream.Instance, bool) {
	u, ok := x.r.await(ctx, svc, asked, ready, wait)
	x.r.noteWaited(clock.Now(), svc, asked, !ok && ctx.Err() == nil)
	if ok {
		x.countAdmission(asked, admissionWaited)
	} else {
		x.countAdmission(asked, admissionExpired)
	}
	return u, ok
}

// await waits until a request is admitted.
func (r *Relay) await(ctx context.Context, svc *serviceState, asked *admission.Request, ready chan upstream.Instance, wait time.Duration) (upstream.Instance, bool) {
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case u := <-ready:
		return u, true
	case <-t.C:
	case <-ctx.Done():
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	select {
	case u := <-ready:
		return u, true
	default:
	}
	svc.queue.Leave(asked)
	delete(svc.ready, asked)
	return upstream.Instance{}, false
}

// admitWaiting admits waiting requests if upstreams accept them now.
func (r *Relay) admitWaiting(svc *serviceState) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.wake(clock.Now(), svc)
}

// admissionRequest describes a request to the admission queue. The caller holds the lock.
func (r *Relay) admissionRequest(now time.Time, svc *serviceState, x *exchange) *admission.Request {
	return &admission.Request{
		Route: x.route.Name, Goal: x.route.Goal, PauseGoal: x.route.PauseGoal, Levels: x.levels, Urgency: x.order, Level: x.level, Arrived: x.arrived, Deadline: x.deadline, Patience: x.meta.Patience, Timeout: x.route.Timeout,
		Ask: r.pickOptions(now, svc, x), Waited: x.waitedUnsent, Last: x.awaits,
	}
}

// pickOptions describes the requirements of a request for an upstream. The caller holds the lock.
func (r *Relay) pickOptions(now time.Time, svc *serviceState, x *exchange) balance.PickOptions {
	a := balance.PickOptions{Routers: r.routers, Exclude: x.tried, Allows: x.allows(), Size: x.size}
	if s := r.state.Index().Service(x.service); s != nil && s.Engine != nil {
		a.Engine = s.Engine
		load := svc.pool.GroupLoad(now)
		a.Bounds = balance.GroupBounds(s.Engine, load, x.route.PauseGoal)
		if !x.stream.begun {
			// A stream that another upstream continues was admitted before.
			a.MaxMean = balance.LevelMean(s.Engine, load.Pace, x.route.PauseGoal, x.level, x.levels)
		}
		if x.size.Prompt > 0 {
			a.Bounds = a.Bounds.LimitUnread(s.Engine, load, x.route.PauseGoal)
		}
		a.Leaderless = balance.GroupBounds(s.Engine, balance.GroupLoad{Skew: balance.InitialMapSkew}, x.route.PauseGoal)
	}
	return a
}

// afterNotRun forecasts the time until there is room for a request that upstreams did not run.
func (r *Relay) afterNotRun(x *exchange) time.Duration {
	now := clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	svc := r.serviceState(now, x.service)
	return svc.queue.RetryAfterNotRun(now, r.admissionRequest(now, svc, x), x.allowed(r.state.Usable(now, x.service)))
}

// wake admits waiting requests while there is room. The caller holds the lock.
func (r *Relay) wake(now time.Time, svc *serviceState) {
	if svc.queue.Waiting() == 0 {
		return
	}
	for _, g := range svc.queue.Admit(now, r.state.Usable(now, svc.service)) {
		svc.ready[g.Request] <- g.Upstream
		delete(svc.ready, g.Request)
	}
}
