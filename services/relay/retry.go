// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package relay

import (
	"context"
	"errors"
	"time"

	"fawnwinch.org/fawnwinch/models/upstream"
	"fawnwinch.org/fawnwinch/modules/clock"
	"fawnwinch.org/fawnwinch/modules/metrics"
	"fawnwinch.org/fawnwinch/services/admission"
	"fawnwinch.org/fawnwinch/services/retry"
)

// retryLimits returns the limits on the retries of all routers together.
func (r *Relay) retryLimits() retry.Limits {
	b := r.opts.Bounds
	return retry.Limits{Ratio: b.RetryRatio, Slack: b.RetrySlack, Window: b.RetryWindow}
}

// SetKnownRouters sets the number of routers that are known, this one included, whether callers use
// them or not.
func (r *Relay) SetKnownRouters(now time.Time, n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sharers.Set(now, n)
	r.shareRetries(now)
}

// shareRetries applies the limits and the number of routers to the retry budgets. The caller holds
// the lock.
func (r *Relay) shareRetries(now time.Time) {
	for _, svc := range r.pools {
		svc.budget.SetLimits(now, r.retryLimits(), r.sharers.Share())
	}
}

// failNotRun answers a request that upstreams did not answer and that may not be sent once more.
func (x *exchange) failNotRun(ctx context.Context) {
	x.retryAfter, x.spread = x.r.afterNotRun(x), false
	ref := x.busy()
	ref.reason = ReasonNotRun
	x.fail(ctx, ref)
}

// allowAttempt reports whether the request may be sent once more, and takes the retry out of the
// budget. If the budget has none, a caller that can come back is told when; the request of another
// one may wait for room, and for a retry that is expected meanwhile.
func (x *exchange) allowAttempt(ctx context.Context) bool {
	if ctx.Err() != nil || x.attempts >= x.route.MaxAttempts || (x.mayRun && !x.route.Repeatable()) || x.crashes >= maxCrashes {
		return false
	}
	return x.holdRetry() || x.retried && x.awaitRetry()
}

// errNoRetry reports that the budget has no retry left for a request that waited for room.
var errNoRetry = errors.New("retry budget used up")

// holdRetry takes one retry out of the budget for the request's next attempt, unless it holds one.
func (x *exchange) holdRetry() bool {
	now := clock.Now()
	x.r.mu.Lock()
	defer x.r.mu.Unlock()
	return x.holdRetryLocked(now, x.r.serviceState(now, x.service))
}

// holdRetryLocked is holdRetry for a caller that holds the lock.
func (x *exchange) holdRetryLocked(now time.Time, svc *serviceState) bool {
	if x.held != nil {
		return true
	}
	taken, ok := svc.budget.Take(now)
	if !ok {
		svc.retriesDenied++
		return false
	}
	x.held, x.heldSince = &taken, now
	return true
}

// awaitRetry reports whether the request may wait for a retry: one is expected in time.
func (x *exchange) awaitRetry() bool {
	now := clock.Now()
	x.r.mu.Lock()
	defer x.r.mu.Unlock()
	x.awaits = x.r.serviceState(now, x.service).budget.Expected(now, admission.MaxRetryWait) >= 1
	return x.awaits
}

// useRetry uses the held retry for an attempt that is sent now. It returns false if the retry was
// held for too long and the budget has no other.
func (x *exchange) useRetry(now time.Time, u upstream.Instance) bool {
	if x.attempts == 0 {
		return true
	}
	x.r.mu.Lock()
	svc := x.r.serviceState(now, x.service)
	since := x.heldSince
	if x.held != nil && svc.budget.Expired(now, *x.held) {
		svc.budget.Return(now, *x.held)
		x.held = nil
	}
	ok := x.holdRetryLocked(now, svc)
	if ok {
		x.held = nil
		svc.retriesUsed++
	}
	left, routers := svc.budget.Left(now), x.r.sharers.Share().Routers
	x.r.mu.Unlock()
	if ok {
		x.awaits = false
		x.r.opts.Logger.Info().Str("request", string(x.meta.ID)).Stringer("digest", x.digest).Str("service", string(x.service)).Str("upstream", string(u.ID)).Int("attempt", x.attempts).
			Int64("taken_ms", now.Sub(since).Milliseconds()).Float64("budget", left).Int("routers", routers).Msg("retry")
	}
	return ok
}

// returnRetry puts a retry back that the request holds and has not used.
func (x *exchange) returnRetry() {
	now := clock.Now()
	x.r.mu.Lock()
	defer x.r.mu.Unlock()
	if x.held != nil {
		x.r.serviceState(now, x.service).budget.Return(now, *x.held)
		x.held = nil
	}
}

// measureRetries exports the retry budgets as metrics.
func (r *Relay) measureRetries(m *metrics.Metrics, now func() time.Time) {
	byService := func(value func(svc *serviceState) float64) func() []metrics.Sample {
		return func() []metrics.Sample {
			r.mu.Lock()
			defer r.mu.Unlock()
			var out []metrics.Sample
			for id, svc := range r.pools {
				out = append(out, metrics.Sample{Label: string(id), Value: value(svc)})
			}
			return out
		}
	}
	m.LabelledValues("retries_total", "Requests that were sent once more.", "service", true, byService(func(svc *serviceState) float64 { return float64(svc.retriesUsed) }))
	m.LabelledValues("retries_denied_total", "Retries that the budget did not allow.", "service", true, byService(func(svc *serviceState) float64 { return float64(svc.retriesDenied) }))
	m.LabelledValues("retry_budget", "Retries that the budget allows now.", "service", false, byService(func(svc *serviceState) float64 { return svc.budget.Left(now()) }))
	m.Gauge("retry_budget_routers", "Routers among which the slack of the retry budgets is divided; 0 while this process has no share.", nil, func() float64 {
		r.mu.Lock()
		defer r.mu.Unlock()
		return float64(r.sharers.Share().Routers)
	})
}
