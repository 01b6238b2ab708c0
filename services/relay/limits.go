// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package relay

import (
	"time"

	"fawnwinch.org/fawnwinch/models/service"
	"fawnwinch.org/fawnwinch/models/upstream"
	"fawnwinch.org/fawnwinch/modules/clock"
	"fawnwinch.org/fawnwinch/services/condition"
	"fawnwinch.org/fawnwinch/services/peer"
)

// NamedLimit is the limit of an upstream in the form that routers send each other.
type NamedLimit struct {
	Service service.ID
	Run     upstream.Run
	Limit   condition.WireLimit
}

// LimitWatermark returns the watermark of the limits that the router has a record of.
func (r *Relay) LimitWatermark() peer.Watermark {
	r.mu.Lock()
	defer r.mu.Unlock()
	m := peer.Watermark{Start: r.start}
	for _, svc := range r.pools {
		m.Position += peer.Position(svc.pool.Conditions().Changes())
	}
	return m
}

// Limits returns the recorded limits. There are few: those of upstreams that limit requests now or
// did so recently.
func (r *Relay) Limits(now time.Time) []NamedLimit {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []NamedLimit
	for id, svc := range r.pools {
		for run, limit := range svc.pool.Conditions().Limits() {
			out = append(out, NamedLimit{Service: id, Run: run, Limit: limit.Wire(now)})
		}
	}
	return out
}

// MergeLimits merges the limits of another router, which were requested at the time asked. It
// returns the number of changes.
func (r *Relay) MergeLimits(asked time.Time, limits []NamedLimit) int {
	now, count := clock.Now(), 0
	for _, n := range limits {
		changes := r.learnLimit(asked, now, n)
		count += len(changes)
		r.logLearned(n.Service, n.Run, n.Limit, changes)
	}
	return count
}

func (r *Relay) learnLimit(asked, now time.Time, n NamedLimit) []condition.Change {
	r.mu.Lock()
	defer r.mu.Unlock()
	if index := r.state.Index(); index == nil || index.Service(n.Service) == nil {
		return nil
	}
	return r.serviceState(now, n.Service).pool.Conditions().Learn(n.Run, n.Limit.ToLimit(asked, now))
}

// logLearned logs the changes that another router's report of a limit has caused.
func (r *Relay) logLearned(id service.ID, run upstream.Run, limit condition.WireLimit, changes []condition.Change) {
	for _, n := range changes {
		r.opts.Logger.Info().Str("condition", string(n.Kind)).Bool("ended", n.Ended).Bool("told", true).Float64("limit_per_second", float64(limit.Rate)).
			Int64("age_ms", limit.HeardAge.Milliseconds()).Str("upstream", string(run.ID)).Int64("born", int64(run.Born)).Str("service", string(id)).Msg("upstream-notice")
	}
}
