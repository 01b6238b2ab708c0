// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package relay

import (
	"maps"
	"slices"
	"strings"
	"time"

	"fawnwinch.org/fawnwinch/models/account"
	"fawnwinch.org/fawnwinch/modules/metrics"
	"fawnwinch.org/fawnwinch/services/quarantine"
)

// maxListedAccounts bounds the client accounts that are listed for what is refused.
const maxListedAccounts = 8

// quarantined holds the contents and parts of prompts that are refused.
type quarantined map[quarantine.Key]*refusedKey

// refusedKey is a key that is refused at this router.
type refusedKey struct {
	since time.Time
	// requests is the number of requests that were refused, and accounts holds some of their
	// accounts.
	requests int
	accounts map[account.ID]bool
}

// noteRefused counts a refused request. The caller holds the lock.
func (r *Relay) noteRefused(now time.Time, k quarantine.Key, a account.ID) {
	if _, ok := r.quarantined[k]; !ok {
		r.noteQuarantined(now)
	}
	known, ok := r.quarantined[k]
	if !ok {
		return // it is refused for a moment only, until it has been tested
	}
	known.requests++
	if len(known.accounts) < maxListedAccounts {
		known.accounts[a] = true
	}
}

// QuarantineStatus describes a content or a part of prompts that is refused, for operators.
type QuarantineStatus struct {
	Key quarantine.Key
	// Since is how long it has been refused, and Left for how much longer.
	Since, Left time.Duration
	// Crashes is the number of upstreams that ended, Requests that of the requests refused here, and
	// Accounts holds some of their accounts.
	Crashes  int
	Requests int
	Accounts []account.ID
}

// Quarantined returns what is refused, in a fixed order.
func (r *Relay) Quarantined(now time.Time) []QuarantineStatus {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []QuarantineStatus
	for _, e := range r.crashes.Refused(now) {
		s := QuarantineStatus{Key: e.Key, Crashes: len(e.Crashes), Left: r.crashes.JudgeKey(now, e.Key).Until.Sub(now)}
		if known, ok := r.quarantined[e.Key]; ok {
			s.Since, s.Requests, s.Accounts = now.Sub(known.since), known.requests, slices.Sorted(maps.Keys(known.accounts))
		}
		out = append(out, s)
	}
	slices.SortFunc(out, func(a, b QuarantineStatus) int { return strings.Compare(a.Key.String(), b.Key.String()) })
	return out
}

// noteQuarantined logs what is refused from now on, and what is no longer. The caller holds the
// lock.
func (r *Relay) noteQuarantined(now time.Time) {
	refused := map[quarantine.Key]bool{}
	for _, e := range r.crashes.Refused(now) {
		refused[e.Key] = true
		if _, ok := r.quarantined[e.Key]; !ok {
			r.quarantined[e.Key] = &refusedKey{since: now, accounts: map[account.ID]bool{}}
			r.opts.Logger.Warn().Stringer("key", e.Key).Int("crashes", len(e.Crashes)).Msg("quarantined")
		}
	}
	for k, known := range r.quarantined {
		if !refused[k] {
			delete(r.quarantined, k)
			r.opts.Logger.Info().Stringer("key", k).Int("requests", known.requests).Int64("lasted_ms", now.Sub(known.since).Milliseconds()).Msg("quarantine-ended")
		}
	}
}

// Release clears a content or a part of prompts by hand, and reports whether it was refused.
func (r *Relay) Release(now time.Time, k quarantine.Key) bool {
	r.mu.Lock()
	refused := r.crashes.JudgeKey(now, k).Standing == quarantine.StandingRefused
	cleared := r.crashes.Clear(k)
	r.noteQuarantined(now)
	r.mu.Unlock()
	if cleared {
		r.onCrash()
	}
	return refused
}

// countRequest counts a request by the parts of its prompt.
func (r *Relay) countRequest(x *exchange) {
	if len(x.subject.Parts) == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.crashes.Count(x.arrived, x.subject)
}

// measureQuarantine exports what is refused as metrics.
func (r *Relay) measureQuarantine(m *metrics.Metrics, now func() time.Time) {
	m.Gauge("requests_quarantined", "Requests that are refused because upstreams ended under them.", nil, func() float64 { return float64(r.RefusedCount(now())) })
	m.LabelledValues("quarantined", "Contents and parts of prompts that are refused because upstreams ended under their requests.", "kind", false, func() []metrics.Sample {
		counts := map[string]int{"content": 0, "part": 0}
		for _, s := range r.Quarantined(now()) {
			if s.Key.IsPart() {
				counts["part"]++
			} else {
				counts["content"]++
			}
		}
		var out []metrics.Sample
		for kind, n := range counts {
			out = append(out, metrics.Sample{Label: kind, Value: float64(n)})
		}
		return out
	})
}
