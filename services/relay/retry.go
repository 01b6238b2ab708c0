// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package relay

import (
	"time"

	"fawnwinch.org/fawnwinch/models/upstream"
	"fawnwinch.org/fawnwinch/modules/clock"
	"fawnwinch.org/fawnwinch/modules/metrics"
	"fawnwinch.org/fawnwinch/services/retry"
)

// retryLimits returns the limits on the retries of all routers together.
func (r *Relay) retryLimits() retry.Limits {
	b := r.opts.Bounds
	return retry.Limits{Ratio: b.RetryRatio, Slack: b.RetrySlack, Window: b.RetryWindow}
}

// shareRetries applies the limits and the number of routers to the retry budgets. The caller holds
// the lock.
func (r *Relay) shareRetries(now time.Time) {
	for _, svc := range r.pools {
		svc.budget.SetLimits(now, r.retryLimits(), r.sharers.Share())
	}
}

// takeRetry takes one retry out of the budget of the request's service.
func (x *exchange) takeRetry() bool {
	now := clock.Now()
	x.r.mu.Lock()
	defer x.r.mu.Unlock()
	return x.takeRetryLocked(now, x.r.serviceState(now, x.service))
}

// takeRetryLocked is takeRetry for a caller that holds the lock.
func (x *exchange) takeRetryLocked(now time.Time, svc *serviceState) bool {
	if !svc.budget.Take(now) {
		svc.retriesDenied++
		return false
	}
	svc.retriesTaken++
	x.retryAt = now
	return true
}

// logRetry logs that a request is sent once more: how long ago the retry was taken out of the
// budget, what is left there and among how many routers the budget is divided.
func (x *exchange) logRetry(now time.Time, u upstream.Instance) {
	x.r.mu.Lock()
	svc := x.r.serviceState(now, x.service)
	left, routers := svc.budget.Left(now), x.r.sharers.Share()
	x.r.mu.Unlock()
	x.r.opts.Logger.Info().Str("request", string(x.meta.ID)).Stringer("digest", x.digest).Str("service", string(x.service)).Str("upstream", string(u.ID)).Int("attempt", x.attempts).
		Int64("taken_ms", now.Sub(x.retryAt).Milliseconds()).Float64("budget", left).Int("routers", routers).Msg("retry")
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
	m.LabelledValues("retries_total", "Retries taken out of the budget.", "service", true, byService(func(svc *serviceState) float64 { return float64(svc.retriesTaken) }))
	m.LabelledValues("retries_denied_total", "Retries that the budget did not allow.", "service", true, byService(func(svc *serviceState) float64 { return float64(svc.retriesDenied) }))
	m.LabelledValues("retry_budget", "Retries that the budget allows now.", "service", false, byService(func(svc *serviceState) float64 { return svc.budget.Left(now()) }))
	m.Gauge("retry_budget_routers", "Routers among which the slack of the retry budgets is divided; 0 while this process has no share.", nil, func() float64 {
		r.mu.Lock()
		defer r.mu.Unlock()
		return float64(r.sharers.Share())
	})
}
