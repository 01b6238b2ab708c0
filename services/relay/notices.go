// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package relay

import (
	"time"

	"fawnwinch.org/fawnwinch/modules/metrics"
	"fawnwinch.org/fawnwinch/services"
	"fawnwinch.org/fawnwinch/services/condition"
)

// recordNotice records the notice that an upstream has sent with an answer.
func (x *exchange) recordNotice(now time.Time, a *answer) {
	if a.head.Execution == services.ExecutionMisdirected {
		return // the notice is from another upstream than the one addressed
	}
	x.r.mu.Lock()
	changes := x.r.serviceState(now, x.service).pool.Conditions().Note(now, a.began, a.upstream.Run(), a.head.Notice)
	x.r.mu.Unlock()
	for _, n := range changes {
		x.logNotice(a, n)
		if n.Kind == condition.KindLimited && n.Ended {
			go x.r.notifyLimitEnded(a.upstream, x)
		}
	}
}

// logNotice logs a change of condition. An upstream that repeats the same notice causes no further
// line.
func (x *exchange) logNotice(a *answer, n condition.Change) {
	event := x.r.opts.Logger.Info()
	if n.Unread != nil {
		event = x.r.opts.Logger.Warn().Err(n.Unread)
	} else {
		event.Str("condition", string(n.Kind)).Bool("ended", n.Ended)
	}
	notice := a.head.Notice
	switch {
	case n.Kind == condition.KindLimited && !n.Ended:
		event.Float64("limit_per_second", float64(notice.Limit))
	case n.Kind == condition.KindResting:
		event.Int64("rest_ms", notice.Rest.Milliseconds())
	}
	event.Str("upstream", string(a.upstream.ID)).Int64("born", int64(a.upstream.Born)).Str("address", a.upstream.Address).Str("service", string(x.service)).
		Str("request", string(x.meta.ID)).Int("status", a.resp.StatusCode).Msg("upstream-notice")
}

// Conditions returns the number of upstreams in each condition.
func (r *Relay) Conditions(now time.Time) map[condition.Kind]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := map[condition.Kind]int{condition.KindLimited: 0, condition.KindCold: 0, condition.KindResting: 0, condition.KindLeaving: 0}
	for _, svc := range r.pools {
		for kind, n := range svc.pool.Conditions().Counts(now) {
			out[kind] += n
		}
	}
	return out
}

// measureConditions exports the number of upstreams in each condition as a metric.
func (r *Relay) measureConditions(m *metrics.Metrics, now func() time.Time) {
	m.LabelledValues("upstreams_by_condition", "Upstreams that have said in answers to this router that they leave, rest or limit their requests.", "condition", false, func() []metrics.Sample {
		var out []metrics.Sample
		for kind, n := range r.Conditions(now()) {
			out = append(out, metrics.Sample{Label: string(kind), Value: float64(n)})
		}
		return out
	})
}
