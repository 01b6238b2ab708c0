// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package routing picks the upstream for a request.
//
// All ranks of a group step together, so a request delays everyone in the group that it joins if it
// makes the fullest rank fuller. The choice is therefore by group first, on expected step time,
// then by rank, on the work it has. Reports of work lag; what this router has sent since the report
// corrects them.
package routing

import (
	"math/rand/v2"
	"slices"
	"time"

	"fawnwinch.org/fawnwinch/models/group"
	"fawnwinch.org/fawnwinch/models/upstream"
)

// Report is what is known of an upstream's work at a time.
type Report struct {
	// At is the time the report holds for, as near as the reader knows.
	At time.Time
	// Work is the number of requests in progress or waiting, of all routers.
	Work int
	// Concurrency is the number of requests the upstream works on at a time.
	Concurrency int
	// Step is the group's step count and StepTime the mean duration of its latest steps; 0 for plain services.
	Step     group.Step
	StepTime time.Duration
}

// Candidate is an upstream that may take the request.
type Candidate struct {
	Upstream upstream.ID
	// Group is empty for upstreams of a plain service.
	Group group.ID
}

// mark is one request that this router sent or finished.
type mark struct {
	at    time.Time
	delta int
}

// track is what this router knows of one upstream.
type track struct {
	report   Report
	inFlight int
	marks    []mark
	// streams is the number of this router's streamed requests, progress the latest time one of them
	// got a token, or the first of them was sent.
	streams  int
	progress time.Time
	// stepSeen is the time the step count was last seen to rise.
	stepSeen time.Time
	// slowSince is the time since which the group has been shut out, or zero.
	slowSince time.Time
	// backSince is the time at which the group was let in again, or zero.
	backSince time.Time
}

// maxMarks bounds the requests remembered for one upstream.
const maxMarks = 4096

// Tracker keeps reports and this router's own requests. It does no I/O and reads no clock.
type Tracker struct {
	opts   Options
	tracks map[upstream.ID]*track
	random *rand.Rand
}

// Options sets the policy.
type Options struct {
	// Routers is the number of routers that send to the same upstreams, this one included.
	Routers int
	// EjectLimit is the largest part of a service's groups that may be shut out for slowness.
	EjectLimit float64
	// Seed starts the random choice among equals.
	Seed uint64
}

// NewTracker returns a tracker without reports.
func NewTracker(o Options) *Tracker {
	return &Tracker{opts: o, tracks: map[upstream.ID]*track{}, random: rand.New(rand.NewPCG(o.Seed, 1))} //nolint:gosec // no secret
}

// SetRouters changes the number of routers that share the upstreams.
func (t *Tracker) SetRouters(n int) { t.opts.Routers = max(1, n) }

func (t *Tracker) track(id upstream.ID) *track {
	tr, ok := t.tracks[id]
	if !ok {
		tr = &track{}
		t.tracks[id] = tr
	}
	return tr
}

// Report takes in what an upstream told. An older report than the known one is dropped.
func (t *Tracker) Report(id upstream.ID, r Report) {
	tr := t.track(id)
	if r.At.Before(tr.report.At) {
		return
	}
	if r.Step != tr.report.Step || r.Work == 0 || tr.stepSeen.IsZero() {
		tr.stepSeen = r.At
	}
	tr.report = r
	tr.marks = slices.DeleteFunc(tr.marks, func(m mark) bool { return m.at.Before(r.At) })
}

// Sent notes a request that this router sends to an upstream.
func (t *Tracker) Sent(now time.Time, id upstream.ID) { t.note(now, id, 1) }

// Done notes the end of a request that this router had sent.
func (t *Tracker) Done(now time.Time, id upstream.ID) { t.note(now, id, -1) }

func (t *Tracker) note(now time.Time, id upstream.ID, delta int) {
	tr := t.track(id)
	tr.inFlight += delta
	if len(tr.marks) < maxMarks {
		tr.marks = append(tr.marks, mark{at: now, delta: delta})
	}
}

// Streaming notes that a streamed request of this router was sent.
func (t *Tracker) Streaming(now time.Time, id upstream.ID) {
	tr := t.track(id)
	if tr.streams == 0 {
		tr.progress = now
	}
	tr.streams++
}

// Progress notes that a streamed request of this router got a token.
func (t *Tracker) Progress(now time.Time, id upstream.ID) { t.track(id).progress = now }

// StreamEnded notes the end of a streamed request of this router.
func (t *Tracker) StreamEnded(id upstream.ID) { t.track(id).streams-- }

// work estimates the requests an upstream has now. There are two views: the report, and what all
// routers have sent and seen finished since, taking the others to do as this one does; and this
// router's own requests times the number of routers. The first is exact when reports are fresh, the
// second does not lag. Their mean has less noise than either.
func (t *Tracker) work(id upstream.ID) float64 {
	tr := t.track(id)
	since := 0
	for _, m := range tr.marks {
		since += m.delta
	}
	routers := max(1, t.opts.Routers)
	reported := max(tr.report.Work+since*routers, tr.inFlight)
	return (float64(reported) + float64(tr.inFlight*routers)) / 2
}

// stepTime estimates the group's step time as seen at one rank: a step that does not end counts with its age.
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

// stallSteps is the number of step times without a step after which a group counts as stalled.
const stallSteps = 10

// Forget drops upstreams that are no longer known.
func (t *Tracker) Forget(keep func(upstream.ID) bool) {
	for id, tr := range t.tracks {
		if !keep(id) && tr.inFlight == 0 {
			delete(t.tracks, id)
		}
	}
}
