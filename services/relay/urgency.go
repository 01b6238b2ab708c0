// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package relay

import (
	"fmt"

	"fawnwinch.org/fawnwinch/modules/clock"
	"fawnwinch.org/fawnwinch/modules/metrics"
	"fawnwinch.org/fawnwinch/services/admission"

	"github.com/rs/zerolog"
)

// admissionOutcome is what became of a request at the admission queue. Outcomes appear in metrics.
type admissionOutcome string

const (
	admissionGranted  admissionOutcome = "granted"
	admissionWaited   admissionOutcome = "waited"
	admissionRejected admissionOutcome = "rejected"
	admissionExpired  admissionOutcome = "expired"
)

// countAdmission counts a request of a ranked service by its outcome at the admission queue.
func (x *exchange) countAdmission(asked *admission.Request, o admissionOutcome) {
	if asked.Ranked() {
		x.r.opts.Metrics.CountAdmission(string(x.service), int(x.level), string(o))
	}
}

// logUrgency adds the route and urgency of a request to its log line, and the forecast by which it
// was rejected for lack of room.
func (x *exchange) logUrgency(e *zerolog.Event, reason Reason) {
	if x.route == nil {
		return
	}
	e.Str("route", x.route.Name).Int("urgency_level", int(x.level)).Str("urgency", fmt.Sprintf("%d.%d", x.order.Account, x.order.Route))
	if reason == ReasonNoRoom {
		e.Int64("forecast_ms", x.forecast.Wait.Milliseconds()).Int("ahead", x.forecast.Ahead)
	}
}

// late reports whether the first event of a stream or one of its pauses missed the route's goal.
func (x *exchange) late() bool {
	s := &x.stream
	if s.events == 0 {
		return false
	}
	return x.route.Goal > 0 && s.first.Sub(x.arrived) > x.route.Goal || x.route.PauseGoal > 0 && s.pause > x.route.PauseGoal
}

// countLate counts a late stream, in the metrics if its service is ranked.
func (x *exchange) countLate() {
	if !x.late() {
		return
	}
	x.r.noteLate(clock.Now(), x)
	if x.levels > 1 {
		x.r.opts.Metrics.CountLate(string(x.service), int(x.level))
	}
}

// measureWaiting exports the number of waiting requests of ranked services as a metric.
func (r *Relay) measureWaiting(m *metrics.Metrics) {
	m.WaitingByLevel(func() map[string][]int {
		r.mu.Lock()
		defer r.mu.Unlock()
		out := map[string][]int{}
		for id, svc := range r.pools {
			if levels := svc.queue.WaitingByLevel(); levels != nil {
				out[string(id)] = levels
			}
		}
		return out
	})
}
