// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package condition

import (
	"time"

	"fawnwinch.org/fawnwinch/models/upstream"
)

// Coldness is the time for which an upstream that has just started is cold, and the requests per
// second that it bears meanwhile from all routers together. The zero value is an upstream that is
// not cold.
type Coldness struct {
	Until time.Time
	Rate  upstream.Rate
}

// Cold reports whether the upstream is cold.
func (c Coldness) Cold(now time.Time) bool { return now.Before(c.Until) }

// Merge returns the coldness that covers both: routers learn of a cold upstream at different times.
func (c Coldness) Merge(o Coldness) Coldness {
	if o.Until.After(c.Until) {
		return o
	}
	return c
}

// WireColdness is the wire form of a Coldness, with the remaining time instead of its end.
type WireColdness struct {
	Left time.Duration
	Rate upstream.Rate
}

// Wire returns the wire form at the given time.
func (c Coldness) Wire(now time.Time) WireColdness {
	if !c.Cold(now) {
		return WireColdness{}
	}
	return WireColdness{Left: c.Until.Sub(now), Rate: c.Rate}
}

// ToColdness converts a received coldness. The time in transit is unknown, so the upstream counts
// as cold for that much longer.
func (t WireColdness) ToColdness(received time.Time) Coldness {
	if t.Left <= 0 {
		return Coldness{}
	}
	return Coldness{Until: received.Add(t.Left), Rate: t.Rate}
}

// SetCold records that a run of an upstream is cold.
func (g *Register) SetCold(now time.Time, run upstream.Run, c Coldness) {
	r := g.record(run)
	if !r.limited(now) {
		r.permits = permits{}
	}
	r.cold = c
}

// limited reports whether requests to the upstream need permits.
func (r *record) limited(now time.Time) bool { return r.limit.Named || r.cold.Cold(now) }

// AcceptedRate returns the requests per second that an upstream accepts from all routers together,
// and whether there is such a limit now.
func (g *Register) AcceptedRate(now time.Time, run upstream.Run) (rate upstream.Rate, limited bool) {
	r, ok := g.records[run]
	if !ok {
		return 0, false
	}
	return LimitedRate(now, r.limit, r.cold)
}

// LimitedRate returns the lower of the rates that a limit and the coldness of an upstream allow, and
// whether there is one.
func LimitedRate(now time.Time, limit Limit, cold Coldness) (rate upstream.Rate, limited bool) {
	switch {
	case limit.Named && cold.Cold(now):
		return min(limit.Rate, cold.Rate), true
	case limit.Named:
		return limit.Rate, true
	case cold.Cold(now):
		return cold.Rate, true
	}
	return 0, false
}
