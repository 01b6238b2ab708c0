// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package routing picks the upstream for a request.
//
// All ranks of a group step together, so a request that makes the fullest rank fuller delays all
// requests of its group. The choice is therefore by group first, on expected step time, then by
// rank, on its work. Reports of work lag; the requests that this router has sent since a report
// correct it.
package routing

import (
	"math/rand/v2"
	"slices"
	"time"

	"fawnwinch.org/fawnwinch/models/group"
	"fawnwinch.org/fawnwinch/models/upstream"
)

// Report is the reported work of an upstream at a time.
type Report struct {
	// At is the time to which the report applies, as exactly as the reader can tell.
	At time.Time
	// Work is the number of requests in progress or waiting, of all routers.
	Work int
	// Concurrency is the number of requests that the upstream processes at a time.
	Concurrency int
	// Step is the group's step count and StepTime the mean duration of its latest steps; 0 for
	// plain services.
	Step     group.Step
	StepTime time.Duration
}

// Candidate is an upstream that may receive the request.
type Candidate struct {
	Upstream upstream.ID
	// Group is empty for upstreams of a plain service.
	Group group.ID
}

// change is the start or end of one request of this router.
type change struct {
	at    time.Time
	delta int
}

// track holds the state of one upstream.
type track struct {
	report   Report
	inFlight int
	changes  []change
	// streams is the number of this router's streamed requests. progress is the latest time at
	// which one of them received a token, or at which the first of them was sent.
	streams  int
	progress time.Time
	// stepSeen is the time at which the step count was last seen to rise.
	stepSeen time.Time
	// ejectedAt is the time of the latest choice from which the group was ejected as slow. It is
	// zero if the group is not ejected.
	ejectedAt time.Time
	// recoveringSince is the time at which the group was readmitted. It is zero if the group is not
	// recovering.
	recoveringSince time.Time
}

// maxChanges bounds the changes remembered for one upstream.
const maxChanges = 4096

// Tracker records reports and this router's own requests. It does no I/O and reads no clock.
type Tracker struct {
	opts   Options
	tracks map[upstream.ID]*track
	random *rand.Rand
}

// Options sets the policy.
type Options struct {
	// Routers is the number of routers that send to the same upstreams, this one included.
	Routers int
	// EjectLimit is the largest fraction of a service's groups that may be ejected for slowness.
	EjectLimit float64
	// Seed seeds the random choice among equals.
	Seed uint64
}

// NewTracker returns a tracker without reports.
func NewTracker(o Options) *Tracker {
	return &Tracker{opts: o, tracks: map[upstream.ID]*track{}, random: rand.New(rand.NewPCG(o.Seed, 1))} //nolint:gosec // no secret
}

// SetRouters sets the number of routers that share the upstreams.
func (t *Tracker) SetRouters(n int) { t.opts.Routers = max(1, n) }

func (t *Tracker) track(id upstream.ID) *track {
	tr, ok := t.tracks[id]
	if !ok {
		tr = &track{}
		t.tracks[id] = tr
	}
	return tr
}

// Report records a report of an upstream. A report that is older than the recorded one is dropped.
func (t *Tracker) Report(id upstream.ID, r Report) {
	tr := t.track(id)
	if r.At.Before(tr.report.At) {
		return
	}
	if r.Step != tr.report.Step || r.Work == 0 || tr.stepSeen.IsZero() {
		tr.stepSeen = r.At
	}
	tr.report = r
	tr.changes = slices.DeleteFunc(tr.changes, func(m change) bool { return m.at.Before(r.At) })
}

// RequestSent records a request that this router sends to an upstream.
func (t *Tracker) RequestSent(now time.Time, id upstream.ID) { t.record(now, id, 1) }

// RequestDone records the end of a request that this router had sent.
func (t *Tracker) RequestDone(now time.Time, id upstream.ID) { t.record(now, id, -1) }

func (t *Tracker) record(now time.Time, id upstream.ID, delta int) {
	tr := t.track(id)
	tr.inFlight += delta
	if len(tr.changes) < maxChanges {
		tr.changes = append(tr.changes, change{at: now, delta: delta})
	}
}

// StreamStarted records that a streamed request of this router was sent.
func (t *Tracker) StreamStarted(now time.Time, id upstream.ID) {
	tr := t.track(id)
	if tr.streams == 0 {
		tr.progress = now
	}
	tr.streams++
}

// Progress records that a streamed request of this router received a token.
func (t *Tracker) Progress(now time.Time, id upstream.ID) { t.track(id).progress = now }

// StreamEnded records the end of a streamed request of this router.
func (t *Tracker) StreamEnded(id upstream.ID) { t.track(id).streams-- }

// work estimates the current requests of an upstream as the mean of two estimates. One is the
// report plus the requests that all routers have started and finished since, assuming that the
// others behave like this one. It is exact when reports are fresh. The other is this router's own
// requests times the number of routers; it does not lag. Their mean has less noise than either.
func (t *Tracker) work(id upstream.ID) float64 {
	tr := t.track(id)
	since := 0
	for _, m := range tr.changes {
		since += m.delta
	}
	routers := max(1, t.opts.Routers)
	reported := max(tr.report.Work+since*routers, tr.inFlight)
	return (float64(reported) + float64(tr.inFlight*routers)) / 2
}

// stepTime estimates the group's step time as seen at one rank: for a step that does not end, it is
// at least the age of the step.
func (t *Tracker) stepTime(now time.Time, id upstream.ID) time.Duration {
	tr := t.track(id)
	d := tr.report.StepTime
	if tr.report.StepTime > 0 && tr.report.Work > 0 {
		if age := tr.report.At.Sub(tr.stepSeen); age > stallSteps*tr.report.StepTime {
			return max(d, now.Sub(tr.stepSeen))
		}
	}
	return d
}

// stallSteps is the number of step times without a step after which a group is considered stalled.
const stallSteps = 10

// Forget drops the upstreams that keep rejects and that have no request of this router in flight.
func (t *Tracker) Forget(keep func(upstream.ID) bool) {
	for id, tr := range t.tracks {
		if !keep(id) && tr.inFlight == 0 {
			delete(t.tracks, id)
		}
	}
}
