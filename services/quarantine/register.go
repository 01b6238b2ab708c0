// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package quarantine

import (
	"maps"
	"slices"
	"time"

	"fawnwinch.org/fawnwinch/models/upstream"
	"fawnwinch.org/fawnwinch/services/peer"
)

const (
	// maxKeys bounds the requests with recorded crashes, at some 300 bytes each. The request whose
	// latest crash is the oldest is evicted first.
	maxKeys = 1024
	// maxCrashes bounds the crashes kept for one request: more do not change the verdict.
	maxCrashes = 16
	// simultaneousWindow is the longest time between crashes that count as simultaneous.
	simultaneousWindow = 500 * time.Millisecond
	// maxRuns bounds the runs that are remembered because they clear requests without a recorded
	// crash so far: another router may report one later. They are remembered for runRetention.
	maxRuns      = 2048
	runRetention = time.Minute
)

// crash is a crash as stored in a register.
type crash struct {
	sent, at time.Time
	lasted   time.Duration
	cleared  bool
	// changedAt is the register's position of the latest change to this crash.
	changedAt peer.Position
}

// record holds the crashes of one request.
type record struct {
	crashes map[upstream.Run]*crash
	latest  time.Time
}

// run is the longest remembered run of a request.
type run struct {
	lasted time.Duration
	at     time.Time
}

// Register records which upstreams ended while requests were in flight, as seen by this router or
// reported by others. It is not safe for concurrent use.
type Register struct {
	start    uint64
	position peer.Position
	records  map[Key]*record
	runs     map[Key]run
}

// NewRegister returns an empty register, created at now.
func NewRegister(now time.Time) *Register {
	return &Register{start: uint64(max(now.UnixNano(), 1)), records: map[Key]*record{}, runs: map[Key]run{}}
}

// Watermark returns the register's current watermark.
func (r *Register) Watermark() peer.Watermark {
	return peer.Watermark{Start: r.start, Position: r.position}
}

// Add adds a crash that this router has seen or another one has reported. It reports whether the
// register changed.
func (r *Register) Add(now time.Time, c Crash) bool {
	if c.Age >= retention {
		return false
	}
	at := now.Add(-max(c.Age, 0))
	rec, ok := r.records[c.Key]
	if !ok {
		rec = &record{crashes: map[upstream.Run]*crash{}}
		r.records[c.Key] = rec
	}
	known, ok := rec.crashes[c.Run]
	switch {
	case !ok && !rec.makeRoom(at):
		return false
	case !ok:
		known = &crash{sent: at.Add(-max(c.Ran, 0)), at: at, lasted: c.Lasted}
		rec.crashes[c.Run] = known
		rec.latest = latest(rec.latest, at)
	case known.cleared || !c.Cleared:
		return false
	}
	known.cleared = known.cleared || c.Cleared || known.lasted < r.clearedBelow(now, c.Key)
	r.touch(known)
	r.evict()
	return true
}

// makeRoom evicts the oldest crash of a request if there are too many. It reports whether a crash
// at the given time may be added: not if it is older than all others.
func (rec *record) makeRoom(at time.Time) bool {
	if len(rec.crashes) < maxCrashes {
		return true
	}
	oldest := slices.MinFunc(slices.Collect(maps.Keys(rec.crashes)), func(a, b upstream.Run) int {
		return rec.crashes[a].at.Compare(rec.crashes[b].at)
	})
	if !at.After(rec.crashes[oldest].at) {
		return false
	}
	delete(rec.crashes, oldest)
	return true
}

// clearedBelow returns the duration below which crashes of a request are cleared by its remembered
// run; 0 if there is none.
func (r *Register) clearedBelow(now time.Time, k Key) time.Duration {
	known, ok := r.runs[k]
	if !ok || now.Sub(known.at) > runRetention {
		return 0
	}
	return known.lasted - clearMargin
}

// RecordRun records that an upstream kept running while it ran a request, and for how long its
// answer has been arriving; CompletedRun if the answer is complete. It reports whether that clears
// a crash.
func (r *Register) RecordRun(now time.Time, k Key, lasted time.Duration) bool {
	if known := r.runs[k]; lasted >= known.lasted || now.Sub(known.at) > runRetention {
		r.runs[k] = run{lasted: lasted, at: now}
	}
	if len(r.runs) > maxRuns {
		r.dropRuns(now)
	}
	rec, ok := r.records[k]
	if !ok {
		return false
	}
	cleared := false
	for _, c := range rec.crashes {
		if !c.cleared && c.lasted < lasted-clearMargin {
			c.cleared, cleared = true, true
			r.touch(c)
		}
	}
	return cleared
}

// dropRuns drops the older half of the remembered runs.
func (r *Register) dropRuns(now time.Time) {
	var ages []time.Duration
	for _, known := range r.runs {
		ages = append(ages, now.Sub(known.at))
	}
	slices.Sort(ages)
	middle := ages[len(ages)/2]
	maps.DeleteFunc(r.runs, func(_ Key, known run) bool { return now.Sub(known.at) >= middle })
}

// Judge returns the verdict on a request.
func (r *Register) Judge(now time.Time, k Key) Verdict {
	rec, ok := r.records[k]
	if !ok || len(rec.crashes) < watchThreshold {
		return Verdict{Standing: StandingFree}
	}
	n, until := r.weight(rec), rec.latest.Add(refusalDuration)
	switch {
	case n < watchThreshold || now.Sub(rec.latest) >= retention:
		return Verdict{Standing: StandingFree}
	case n < refuseThreshold || !now.Before(until):
		return Verdict{Standing: StandingWatched}
	}
	return Verdict{Standing: StandingRefused, Until: until}
}

// weight returns how strongly the uncleared crashes incriminate a request. It divides them into
// batches in order of time: a batch consists of a crash and those directly after it whose attempts
// were sent before that first crash. A batch counts as one, because a rack that loses power ends
// many upstreams whatever runs there. A batch of several crashes counts as two if all upstreams that
// crashed at about that time ran the request, see ranOnAll.
func (r *Register) weight(rec *record) int {
	var crashes []*crash
	for _, c := range rec.crashes {
		if !c.cleared {
			crashes = append(crashes, c)
		}
	}
	slices.SortFunc(crashes, func(a, b *crash) int { return a.at.Compare(b.at) })
	weight := 0
	for len(crashes) > 0 {
		n := 1
		for n < len(crashes) && crashes[n].sent.Before(crashes[0].at) {
			n++
		}
		weight++
		if n > 1 && r.ranOnAll(rec, crashes[0].at, crashes[n-1].at) {
			weight++
		}
		crashes = crashes[n:]
	}
	return weight
}

// ranOnAll reports whether all upstreams with crashes between from and to, within
// simultaneousWindow, ran the request of the record.
func (r *Register) ranOnAll(rec *record, from, to time.Time) bool {
	from, to = from.Add(-simultaneousWindow), to.Add(simultaneousWindow)
	for _, other := range r.records {
		for run, c := range other.crashes {
			if _, ok := rec.crashes[run]; !ok && !c.at.Before(from) && !c.at.After(to) {
				return false
			}
		}
	}
	return true
}

// ChangedSince returns the crashes that changed after a watermark of this register, or all of them
// for a watermark of another register.
func (r *Register) ChangedSince(now time.Time, m peer.Watermark) []Crash {
	if m.Start != r.start {
		m.Position = 0
	}
	var out []Crash
	for k, rec := range r.records {
		for u, c := range rec.crashes {
			if c.changedAt > m.Position {
				out = append(out, c.export(now, k, u))
			}
		}
	}
	return out
}

// export returns a crash in the form that is sent to other routers.
func (c *crash) export(now time.Time, k Key, run upstream.Run) Crash {
	return Crash{Key: k, Run: run, Ran: c.at.Sub(c.sent), Lasted: c.lasted, Age: now.Sub(c.at), Cleared: c.cleared}
}

// Sweep drops expired records and runs.
func (r *Register) Sweep(now time.Time) {
	maps.DeleteFunc(r.records, func(_ Key, rec *record) bool { return now.Sub(rec.latest) >= retention })
	maps.DeleteFunc(r.runs, func(_ Key, known run) bool { return now.Sub(known.at) > runRetention })
}

// evict drops the request whose latest crash is the oldest if there are too many.
func (r *Register) evict() {
	if len(r.records) <= maxKeys {
		return
	}
	oldest := slices.MinFunc(slices.Collect(maps.Keys(r.records)), func(a, b Key) int {
		return r.records[a].latest.Compare(r.records[b].latest)
	})
	delete(r.records, oldest)
}

// touch assigns the next position to a changed crash.
func (r *Register) touch(c *crash) {
	r.position++
	c.changedAt = r.position
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
