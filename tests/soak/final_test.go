// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package soak

import (
	"net/http"
	"slices"
	"time"
)

const (
	// retryRatio, retrySlack and retryWindow bound the arrivals at a service beyond the first of
	// each request.
	retryRatio  = 0.2
	retrySlack  = 90
	retryWindow = 10 * time.Second
	// limitWindow, limitFactor and limitSlack bound the requests that a replica with a limit gets
	// from routers that know of the limit.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
	// maxMemory and maxDescriptors bound a process; the race detector takes several times the
	// memory.
	maxMemory      = 600 << 20
	maxDescriptors = 1000
	// minServedFraction is the fraction of the calls that must be served after the last fault.
	minServedFraction = 0.95
)

// checkFinal makes the checks that need the complete soak. Nothing was disturbed from quietSince
// on.
func (w *world) checkFinal(quietSince time.Time) {
	if seen := w.group.Stats(); seen.Mixed > 0 {
		w.fail("%d of %d passes began with two maps", seen.Mixed, seen.Passes)
	}
	w.checkRetries()
	w.checkParts()
	for _, r := range w.allReplicas() {
		w.checkLimits(r)
	}
	for _, r := range w.routers {
		w.checkUsage(r.process)
	}
	for _, a := range w.agents {
		w.checkUsage(a)
	}
	w.checkRecovered(quietSince)
	if isRanked(w.seed) {
		w.logLevels()
	}
}

// checkUsage checks that a process has not grown beyond its bounds.
func (w *world) checkUsage(p *process) {
	most := maxDescriptors
	if bound := w.maxDescriptors(); bound > 0 {
		most = bound
	}
	if descriptors, memory := p.usage(); descriptors > most || memory > maxMemory {
		w.fail("%s has %d descriptors and %d MB", p.name, descriptors, memory>>20)
	}
}

// checkRetries checks the retry budget of each service over all routers, in each window. The
// requests are those of the window, of the one before it or of the one half a window before it,
// whichever has most.
func (w *world) checkRetries() {
	sent, arrived := map[string][]time.Time{}, map[string][]time.Time{}
	for _, c := range w.ended {
		service := "ledger"
		if c.kind.streams() {
			service = "pool"
		}
		sent[service] = append(sent[service], c.sent)
	}
	first := map[string]bool{}
	for _, a := range w.arrivals() {
		if first[a.id] {
			arrived[a.service] = append(arrived[a.service], a.at)
		}
		first[a.id] = true
	}
	for service, times := range arrived {
		slices.SortFunc(sent[service], time.Time.Compare)
		for i, at := range times {
			retries := 0
			for _, o := range times[i:] {
				if o.Sub(at) <= retryWindow {
					retries++
				}
			}
			requests := 0
			for _, from := range []time.Time{at, at.Add(-retryWindow), at.Add(-retryWindow / 2)} {
				n := 0
				for _, o := range sent[service] {
					if since := o.Sub(from); since >= 0 && since <= retryWindow {
						n++
					}
				}
				requests = max(requests, n)
			}
			if allowed := retryRatio*float64(requests) + retrySlack; float64(retries) > allowed {
				w.fail("%d retries at %s in %s from %.2f s on, %.0f are allowed", retries, service, retryWindow, at.Sub(w.begun).Seconds(), allowed)
				return
			}
		}
	}
}

// serviceArrival is an arrival at a service.
type serviceArrival struct {
	arrival
	service string
}

// arrivals returns the arrivals at all replicas, in order of time.
func (w *world) arrivals() []serviceArrival {
	var out []serviceArrival
	for _, r := range w.allReplicas() {
		r.mu.Lock()
		for _, a := range r.arrivals {
			out = append(out, serviceArrival{a, r.service})
		}
		r.mu.Unlock()
	}
	slices.SortFunc(out, func(a, b serviceArrival) int { return a.at.Compare(b.at) })
	return out
}

// checkLimits checks that a replica got no more than its reported limits allow from routers that
// know of them.
func (w *world) checkLimits(r *replica) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, l := range r.limits {
		var times []time.Time
		for _, a := range r.arrivals {
			if a.at.Before(l.from.Add(contactTime)) || !l.to.IsZero() && a.at.After(l.to) {
				continue
			}
			w.mu.Lock()
			c := w.calls[a.id]
			b, obliged := w.obligations[obligationKey{r, c.router, obligationLimit}]
			w.mu.Unlock()
			if obliged && a.at.Sub(b.at) >= tolerance && c.start == b.start && c.router.disturbances.none(b.at, a.at) {
				times = append(times, a.at)
			}
		}
		highest, from := 0, 0
		for i, at := range times {
			for at.Sub(times[from]) > limitWindow {
				from++
			}
			highest = max(highest, i-from+1)
		}
		if allowed := int(limitFactor*limitWindow.Seconds()*l.limit) + limitSlack; highest > allowed {
			w.fail("%s has limited its requests to %v a second and got %d in %s, %d are allowed", r.id, l.limit, highest, limitWindow, allowed)
		}
	}
}

// checkRecovered checks that callers are served after the last fault.
func (w *world) checkRecovered(quietSince time.Time) {
	all, served := 0, 0
	for _, c := range w.ended {
		if c.sent.Before(quietSince) || c.leavesEarly || c.bad != "" || c.keyVersion > 0 || c.kind == kindProbe {
			continue
		}
		all++
		if c.status == http.StatusOK && c.err == nil {
			served++
		}
	}
	if float64(served) < minServedFraction*float64(all) || all == 0 {
		w.fail("%d of %d calls are served after the last fault", served, all)
	}
	w.t.Logf("%d calls, %d of %d served after the last fault; %+v", len(w.ended), served, all, w.group.Stats())
}
