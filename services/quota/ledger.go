// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package quota grants permits to send requests to upstreams that limit the rate of requests from
// all routers together. The routers agree on one permit grantor for each upstream, whose ledger is
// authoritative. Routers that are cut off from each other have a grantor each; their shares of the
// rate sum to one. Ledgers are not stored: a router that takes over starts without permits. It does
// no I/O and reads no clock.
package quota

import (
	"maps"
	"sync"
	"time"

	"fawnwinch.org/fawnwinch/models/upstream"
	"fawnwinch.org/fawnwinch/services/condition"
)

const (
	// burst and burstTime bound the saved permits of an upstream: a fixed number plus the permits
	// of a duration. Unevenly arriving requests can use the full rate with them, and bursts stay
	// small.
	burst     = 1.0
	burstTime = 250 * time.Millisecond
	// minRate is the smallest rate used: an occasional answer is needed to notice that a limit has
	// ended.
	minRate = upstream.Rate(0.1)
	// maxRate bounds the rate used.
	maxRate = upstream.Rate(1e6)
	// minRetryAfter and maxRetryAfter bound the retry time of a router that got no permit. Retry
	// times are spaced so that many routers together ask about as often as the limit grants a
	// permit.
	minRetryAfter = 20 * time.Millisecond
	maxRetryAfter = 4 * time.Second
	// deniedRetryAfter is the retry time of a router that was denied without a forecast.
	deniedRetryAfter = 300 * time.Millisecond
	// unusedRetention is how long an unused account is kept.
	unusedRetention = 10 * time.Minute
)

// account holds the permits of one run of an upstream.
type account struct {
	limit condition.Limit
	cold  condition.Coldness
	// share is the share of the rate that this router may grant.
	share Share
	// saved is the number of permits that may be granted now.
	saved float64
	at    time.Time
	// nextRetry is the retry time given to the latest router without a permit.
	nextRetry time.Time
}

// Share is the share of the rates of all upstreams that one router may grant: more than 0, and 1 if
// no other router may grant permits at the same time.
type Share float64

// Ledger grants permits. It is safe for use by several goroutines.
type Ledger struct {
	mu       sync.Mutex
	accounts map[upstream.Run]*account
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger { return &Ledger{accounts: map[upstream.Run]*account{}} }

// Denied is the reply of a router that is not the permit grantor of an upstream. It also stands for
// a missing reply: while routers join or leave, they may briefly disagree on the grantor.
func Denied() condition.PermitReply { return condition.PermitReply{Again: deniedRetryAfter} }

// Grant replies to a request for permits. A router without the whole rate may soon get it, so who gets
// no permit is told to ask again soon.
func (l *Ledger) Grant(now time.Time, ask condition.PermitRequest, s Share) condition.PermitReply {
	l.mu.Lock()
	defer l.mu.Unlock()
	a, ok := l.accounts[ask.Run]
	if !ok {
		a = &account{at: now}
		l.accounts[ask.Run] = a
	}
	a.share = s
	a.refill(now)
	// The request was under way for at most the time that its sender waits for the reply.
	a.limit = a.limit.Merge(ask.Limit.ToLimit(now.Add(-condition.PermitTimeout), now))
	a.cold = a.cold.Merge(ask.Cold.ToColdness(now))
	rate, limited := a.rate(now)
	reply := condition.PermitReply{Limit: a.limit.Wire(now)}
	switch granted := int(min(a.saved, float64(ask.Wanted))); {
	case !limited:
		reply.Given, a.saved = ask.Wanted, 0
	case granted > 0:
		a.saved -= float64(granted)
		reply.Given = granted
	case ask.Wanted > 0:
		reply.Again = a.next(now, rate)
	}
	if s < 1 {
		reply.Again = min(reply.Again, deniedRetryAfter)
	}
	return reply
}

// rate returns the permits per second, and whether permits are limited at all.
func (a *account) rate(now time.Time) (rate float64, limited bool) {
	allowed, limited := condition.LimitedRate(now, a.limit, a.cold)
	return float64(min(max(allowed, minRate), maxRate)) * float64(a.share), limited
}

// refill adds the permits for the time since the last refill.
func (a *account) refill(now time.Time) {
	if rate, limited := a.rate(now); limited {
		most := burst + rate*burstTime.Seconds()
		a.saved = min(a.saved+rate*max(now.Sub(a.at).Seconds(), 0), most)
	}
	a.at = now
}

// next returns the retry time of a router without a permit: when the next permit is available, and
// one permit later than the previous router.
func (a *account) next(now time.Time, rate float64) time.Duration {
	each := time.Duration(float64(time.Second) / rate)
	soonest := now.Add(time.Duration((1 - a.saved) * float64(each)))
	if a.nextRetry = a.nextRetry.Add(each); a.nextRetry.Before(soonest) {
		a.nextRetry = soonest
	}
	if latest := now.Add(maxRetryAfter); a.nextRetry.After(latest) {
		a.nextRetry = latest
	}
	return max(a.nextRetry.Sub(now), minRetryAfter)
}

// Sweep drops accounts that have not been used for unusedRetention.
func (l *Ledger) Sweep(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	maps.DeleteFunc(l.accounts, func(_ upstream.Run, a *account) bool { return now.Sub(a.at) > unusedRetention })
}
