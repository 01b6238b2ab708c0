// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package balance

import "time"

// Budget bounds a router's attempts beyond the first of each request. All routers together have a
// slack and a part of the requests in any window; each takes its share without asking.
type Budget struct {
	ratio, rate, most float64
	tokens            float64
	at                time.Time
}

const (
	// budgetSafety is the part of the users' bound that routers use: requests whose first attempt is
	// counted in another window, and routers that are not known, take the rest.
	budgetSafety = 0.8
	// fewestRouters is the number of routers that the slack is parted among at least.
	fewestRouters = 6
)

// NewBudget returns the budget of one of several routers. It begins half full, so that a process that is
// started again and again gets no more than its share.
func NewBudget(now time.Time, ratio, slack float64, window time.Duration, routers int) *Budget {
	b := &Budget{at: now}
	b.Rebound(now, ratio, slack, window, routers)
	b.tokens = b.most / 2
	return b
}

// Rebound takes over new bounds; what was saved up stays, as far as they allow it.
func (b *Budget) Rebound(now time.Time, ratio, slack float64, window time.Duration, routers int) {
	b.refill(now)
	share := budgetSafety * slack / float64(max(routers, fewestRouters)) / 2
	b.ratio, b.rate, b.most = ratio*budgetSafety, share/window.Seconds(), share
	b.tokens = min(b.tokens, b.most)
}

// Request notes a request, which earns a part of a retry.
func (b *Budget) Request(now time.Time) {
	b.refill(now)
	b.tokens = min(b.tokens+b.ratio, b.most)
}

// Take takes one retry out of the budget, or returns false if there is none.
func (b *Budget) Take(now time.Time) bool {
	b.refill(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

func (b *Budget) refill(now time.Time) {
	b.tokens = min(b.tokens+b.rate*max(now.Sub(b.at).Seconds(), 0), b.most)
	b.at = now
}
