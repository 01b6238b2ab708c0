// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package balance

import (
	"slices"
	"time"

	"fawnwinch.org/fawnwinch/models/upstream"
	"fawnwinch.org/fawnwinch/services/condition"
)

// SendLimits returns the limits on requests to some upstreams until the next report, from the
// conditions that they report, and the upstreams that have asked this router to back off. Addresses
// maps upstream addresses to runs. Upstreams without a limit are left out.
func (p *Pool) SendLimits(now time.Time, addresses map[string]upstream.Run) (limits SendLimits, backingOff []string) {
	limits = SendLimits{}
	if p.conditions.Empty() {
		return limits, nil
	}
	for address, run := range addresses {
		kind, wait := p.conditions.Judge(now, run)
		switch {
		case wait > 0:
			limits[address] = 0
		case kind == condition.KindLimited || kind == condition.KindCold:
			limits[address] = p.conditions.Held(now, run)
		}
		if kind == condition.KindResting {
			backingOff = append(backingOff, address)
		}
	}
	slices.Sort(backingOff)
	return limits, backingOff
}

// TimeToAccept forecasts how long it takes until upstreams accept a number of requests, from the
// conditions that they report: 0 if they accept them now, condition.Never if none will. An upstream
// with a rate limit accepts one request at a time, any other accepts any number.
func (p *Pool) TimeToAccept(now time.Time, cands []upstream.Instance, requests int) time.Duration {
	if p.conditions.Empty() || len(cands) == 0 {
		return 0
	}
	unlimitedWait := condition.Never
	var limitedWaits []time.Duration
	for _, c := range cands {
		switch kind, wait := p.conditions.Judge(now, c.Run()); kind {
		case condition.KindLimited, condition.KindCold:
			limitedWaits = append(limitedWaits, wait)
		case condition.KindLeaving, condition.KindResting:
			unlimitedWait = min(unlimitedWait, wait)
		default:
			unlimitedWait = 0
		}
	}
	if unlimitedWait == 0 || len(limitedWaits) == 0 {
		return unlimitedWait
	}
	slices.Sort(limitedWaits)
	if requests <= len(limitedWaits) {
		return min(unlimitedWait, limitedWaits[requests-1])
	}
	return min(unlimitedWait, p.waitBeyondFirst(now, cands, limitedWaits, requests))
}

// waitBeyondFirst forecasts when rate-limited upstreams accept more requests than there are
// upstreams, if all requests came from this router.
func (p *Pool) waitBeyondFirst(now time.Time, cands []upstream.Instance, limitedWaits []time.Duration, requests int) time.Duration {
	var rate upstream.Rate
	for _, c := range cands {
		limit, _ := p.conditions.AcceptedRate(now, c.Run())
		rate += limit
	}
	if rate <= 0 {
		return condition.Never
	}
	more := float64(requests-len(limitedWaits)) / float64(rate)
	return limitedWaits[len(limitedWaits)-1] + time.Duration(min(more, maxForecast.Seconds())*float64(time.Second))
}

// maxForecast bounds the forecast unless no upstream will accept requests.
const maxForecast = time.Hour
