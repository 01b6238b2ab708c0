// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package balance

import "time"

// Budget limits a router's retries. All routers together may use a fixed slack plus a fraction of
// the requests in any window; each router uses its share without coordination.
type Budget struct {
	ratio, rate, capacity float64
	tokens                float64
	refilledAt            time.Time
	routers               int
}

const (
	// budgetFraction is the fraction of the users' limit that routers use. The remainder covers
	// requests whose first attempt falls into another window, and routers that are not known.
	budgetFraction = 0.8
	// minRouters is the smallest number of routers among which the slack is divided.
	minRouters = 6
)

// NewBudget returns the budget of one of several routers. It starts half full, so that a process
// that restarts repeatedly gets no more than its share.
func NewBudget(now time.Time, ratio, slack float64, window time.Duration, routers int) *Budget {
	b := &Budget{refilledAt: now}
	b.SetLimits(now, ratio, slack, window, routers)
	b.tokens = b.capacity / 2
	return b
}

// SetLimits changes the limits. Saved tokens are kept up to the new capacity.
func (b *Budget) SetLimits(now time.Time, ratio, slack float64, window time.Duration, routers int) {
	b.refill(now)
	share := budgetFraction * slack / float64(max(routers, minRouters)) / 2
	b.ratio, b.rate, b.capacity = ratio*budgetFraction, share/window.Seconds(), share
	b.tokens = min(b.tokens, b.capacity)
	b.routers = routers
}

// Routers returns the number of routers among which the slack is divided.
func (b *Budget) Routers() int { return b.routers }

// Left returns the retries that the budget allows now.
func (b *Budget) Left(now time.Time) float64 {
	b.refill(now)
	return b.tokens
}

// Request records a request, which earns a fraction of a retry.
func (b *Budget) Request(now time.Time) {
	b.refill(now)
	b.tokens = min(b.tokens+b.ratio, b.capacity)
}

// Take consumes one retry, or returns false if the budget has none.
func (b *Budget) Take(now time.Time) bool {
	b.refill(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

func (b *Budget) refill(now time.Time) {
	b.tokens = min(b.tokens+b.rate*max(now.Sub(b.refilledAt).Seconds(), 0), b.capacity)
	b.refilledAt = now
}
