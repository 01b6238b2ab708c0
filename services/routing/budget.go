// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package routing

// Budget limits retries to a fraction of the answered requests, so that retries cannot multiply
// load when many requests fail. It does no I/O and reads no clock.
type Budget struct {
	ratio  float64
	tokens float64
}

// budgetBurst is the number of retries that may accumulate.
const budgetBurst = 20

// NewBudget returns a budget that allows ratio retries for each answered request.
func NewBudget(ratio float64) *Budget { return &Budget{ratio: ratio, tokens: budgetBurst} }

// Answered records an answered request.
func (b *Budget) Answered() { b.tokens = min(budgetBurst, b.tokens+b.ratio) }

// Take reports whether a retry may be made now, and deducts it from the budget.
func (b *Budget) Take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
