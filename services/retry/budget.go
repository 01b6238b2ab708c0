// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package retry limits how often requests are sent again. It does no I/O and reads no clock.
//
// The limit holds for all routers together: in any window, a service gets at most Ratio times the
// requests, plus Slack, beyond the first arrival of each request. Each router decides alone. Its
// retries come from two sources, and for each of them the sum over all routers is bounded:
//
//   - Requests earn retries, which expire after a window. The retries of a window were earned in it
//     or in the window before it, at any number of routers and however often they restart, so they
//     are at most earnedFraction times Ratio times the requests of both.
//   - The slack is divided by the number of routers, see Routers. A process starts with none of its
//     share, which is refilled over time, so that processes that start one after the other on a VM
//     get no more together than one that keeps running.
package retry

import "time"

const (
	// earnedFraction is the fraction of Ratio that each request earns. Retries may be used in the
	// window after the one in which they were earned, so two windows must fit into the limit. The
	// remaining fifth covers the time from a caller's request to its arrival here, and from a
	// decision here to the arrival at an upstream.
	earnedFraction = 0.4
	// slackFraction is the fraction of Slack that is divided. The remainder covers routers that
	// others do not know yet.
	slackFraction = 0.8
	// intervals is the number of intervals of a window in which earned retries expire together.
	intervals = 10
	// maxHold is the fraction of a window for which a retry may be held before it is used.
	maxHold = 0.02
	// minRateTime is the shortest time over which the rate of requests is measured.
	minRateTime = 100 * time.Millisecond
)

// Limits are the limits on the retries of a service at all routers together.
type Limits struct {
	Ratio, Slack float64
	Window       time.Duration
}

// Budget holds the retries that one router may use for one service. It is not safe for concurrent
// use.
type Budget struct {
	limits Limits
	begun  time.Time
	// interval is the number of the latest interval since begun. Earned and requests hold what was
	// earned in it and in those before it, and the number of requests, at the interval's number
	// modulo intervals.
	interval int64
	earned   [intervals]float64
	requests [intervals]int
	// slack is what is left of the share of the slack at refilledAt.
	slack      float64
	refilledAt time.Time
	refill     refill
}

// refill is how a router's share of the slack is refilled: it has at most capacity at once, and
// capacity plus rate times the window in a window.
type refill struct {
	capacity float64
	// rate is in retries per second.
	rate float64
}

// Retry is one retry taken out of a budget.
type Retry struct {
	at time.Time
	// interval is the oldest interval in which the retry was earned. Earned and slack are the parts
	// that were earned and that came from the slack.
	interval      int64
	earned, slack float64
}

// NewBudget returns the budget of a service that has got no request from this process so far: it
// holds what the process's share of the slack has been refilled with.
func NewBudget(now time.Time, l Limits, s Share) *Budget {
	b := &Budget{limits: l, begun: now, refilledAt: now, refill: refillOf(l, s.Routers)}
	b.slack = min(b.refill.rate*max(now.Sub(s.Since).Seconds(), 0), b.refill.capacity)
	return b
}

// SetLimits changes the limits and the share of the slack.
func (b *Budget) SetLimits(now time.Time, l Limits, s Share) {
	b.advance(now)
	if l.Window != b.limits.Window {
		b.earned, b.requests, b.begun, b.interval = [intervals]float64{}, [intervals]int{}, now, 0
	}
	b.limits = l
	b.refill = refillOf(l, s.Routers)
	b.slack = min(b.slack, b.refill.capacity)
}

// refillOf returns the refill of the share of one of several routers: half of it at once, and half
// over a window. A share of more than one retry allows at least one at once.
func refillOf(l Limits, routers int) refill {
	if routers <= 0 || l.Window <= 0 {
		return refill{}
	}
	all := slackFraction * l.Slack / float64(routers)
	capacity := all / 2
	if all > 1 {
		capacity = max(capacity, 1)
	}
	return refill{capacity: capacity, rate: (all - capacity) / l.Window.Seconds()}
}

// Request records a request, which earns a fraction of a retry.
func (b *Budget) Request(now time.Time) {
	b.advance(now)
	b.earned[b.interval%intervals] += earnedFraction * b.limits.Ratio
	b.requests[b.interval%intervals]++
}

// Take takes one retry, or returns false if the budget has none. What expires first is taken first.
func (b *Budget) Take(now time.Time) (Retry, bool) {
	if b.Left(now) < 1 {
		return Retry{}, false
	}
	r := Retry{at: now, interval: b.interval}
	for i := max(b.interval-intervals+1, 0); i <= b.interval && r.earned < 1; i++ {
		part := min(b.earned[i%intervals], 1-r.earned)
		if part > 0 && r.earned == 0 {
			r.interval = i
		}
		b.earned[i%intervals] -= part
		r.earned += part
	}
	r.slack = 1 - r.earned
	b.slack = max(b.slack-r.slack, 0)
	return r, true
}

// Return puts a retry back that was not used. What was earned expires as if it had not been taken;
// what came from the slack has been refilled if the retry was held for long.
func (b *Budget) Return(now time.Time, r Retry) {
	b.advance(now)
	if r.interval > b.interval-intervals {
		b.earned[r.interval%intervals] += r.earned
	}
	if !b.Expired(now, r) {
		b.slack = min(b.slack+r.slack, b.refill.capacity)
	}
}

// Expired reports whether a retry has been held for so long that it must be taken again before it
// is used. Otherwise retries of several windows could be used in one.
func (b *Budget) Expired(now time.Time, r Retry) bool {
	return now.Sub(r.at) > time.Duration(maxHold*float64(b.limits.Window))
}

// Expected returns the retries that will be left after a wait if requests keep arriving as in the
// latest window and no retry is taken meanwhile.
func (b *Budget) Expected(now time.Time, wait time.Duration) float64 {
	left, requests := b.Left(now), 0
	for _, n := range b.requests {
		requests += n
	}
	measured := min(max(now.Sub(b.begun), minRateTime), b.limits.Window)
	earned := earnedFraction * b.limits.Ratio * float64(requests) * wait.Seconds() / measured.Seconds()
	return left + earned + min(b.refill.rate*wait.Seconds(), b.refill.capacity-b.slack)
}

// Left returns the retries that the budget allows now.
func (b *Budget) Left(now time.Time) float64 {
	b.advance(now)
	left := b.slack
	for _, n := range b.earned {
		left += n
	}
	return left
}

// advance drops expired retries, and refills the share of the slack.
func (b *Budget) advance(now time.Time) {
	passed := max(now.Sub(b.refilledAt), 0)
	b.slack = min(b.slack+b.refill.rate*passed.Seconds(), b.refill.capacity)
	b.refilledAt = b.refilledAt.Add(passed)
	length := b.limits.Window / intervals
	if length <= 0 {
		return
	}
	latest := int64(b.refilledAt.Sub(b.begun) / length)
	for i := max(b.interval+1, latest-intervals+1); i <= latest; i++ {
		b.earned[i%intervals], b.requests[i%intervals] = 0, 0
	}
	b.interval = latest
}
