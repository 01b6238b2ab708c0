// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package quarantine

import (
	"iter"
	"maps"
	"slices"
	"time"

	"fawnwinch.org/fawnwinch/models/prompt"
	"fawnwinch.org/fawnwinch/models/request"
	"fawnwinch.org/fawnwinch/models/service"
	"fawnwinch.org/fawnwinch/models/upstream"
	"fawnwinch.org/fawnwinch/services/peer"
)

const (
	// maxKeys bounds the keys with recorded crashes, at some 300 bytes each. The key whose latest
	// crash is the oldest is evicted first.
	maxKeys = 1024
	// maxCrashes bounds the crashes kept for one key: more do not change the verdict.
	maxCrashes = 16
	// answerMargin is how much later than its reported crash an upstream must have answered, so that
	// it cannot have crashed. Ages that travel between routers are too small by the time on the way.
	answerMargin = time.Second
	// simultaneousWindow is the longest time between crashes that count as simultaneous.
	simultaneousWindow = 500 * time.Millisecond
)

// crash is a crash as stored in a register.
type crash struct {
	sent, at time.Time
	lasted   time.Duration
	cleared  bool
	// content, depth and familiar are those of Crash.
	content  request.Digest
	depth    int
	familiar bool
	// changedAt is the register's position of the latest change to this crash.
	changedAt peer.Position
}

// record holds the crashes of one key.
type record struct {
	crashes map[upstream.Run]*crash
	latest  time.Time
	// common reports whether many requests had the part before its first crash.
	common bool
}

// Register records which upstreams ended while requests were in flight, as seen by this router or
// reported by others. It is not safe for concurrent use.
type Register struct {
	start    uint64
	position peer.Position
	records  map[Key]*record
	// runs and partRuns remember runs of contents and of parts.
	runs, partRuns runs
	// answered holds when runs of upstreams answered last.
	answered    map[upstream.Run]time.Time
	frequencies frequencies
	// blames holds the parts of each service that are to blame, as computed last.
	blames map[service.ID]blame
	// ends holds when upstreams ended, as computed last.
	ends ends
}

// NewRegister returns an empty register, created at now.
func NewRegister(now time.Time) *Register {
	return &Register{
		start: uint64(max(now.UnixNano(), 1)), records: map[Key]*record{}, runs: runs{}, partRuns: runs{}, answered: map[upstream.Run]time.Time{}, frequencies: frequencies{}, blames: map[service.ID]blame{},
	}
}

// Watermark returns the register's current watermark.
func (r *Register) Watermark() peer.Watermark {
	return peer.Watermark{Start: r.start, Position: r.position}
}

// runsOf returns the runs that hold those of a key.
func (r *Register) runsOf(k Key) runs {
	if k.IsPart() {
		return r.partRuns
	}
	return r.runs
}

// Count counts a request that has arrived.
func (r *Register) Count(now time.Time, s Subject) { r.frequencies.add(now, s.Parts) }

// AddCrash adds the end of an upstream's run, which this router has seen, while a request was in
// flight. It reports whether the register changed. A part crashes an upstream when that begins to
// write an answer, so an answer that has been arriving for a while does not incriminate its parts.
func (r *Register) AddCrash(now time.Time, s Subject, c Crash) bool {
	c.Key = s.Content
	changed := r.Add(now, c)
	if c.Lasted > partCrashMargin {
		return r.RecordPartRun(now, s, c.Lasted) || changed
	}
	for i, k := range s.Parts {
		c.Key, c.Content, c.Depth, c.Familiar = k, s.Content.Digest, i, false
		if !r.partRuns.clears(k, now.Add(-max(c.Age, 0)), c.Lasted) {
			changed = r.Add(now, c) || changed
		}
	}
	return changed
}

// Add adds a crash that this router has seen or another one has reported. It reports whether the
// register changed.
func (r *Register) Add(now time.Time, c Crash) bool {
	if c.Age >= retention || len(c.Key.Part) > prompt.MaxPartLength {
		return false
	}
	at := now.Add(-max(c.Age, 0))
	cleared := c.Cleared || r.runsOf(c.Key).clears(c.Key, at, c.Lasted) || r.answered[c.Run].Sub(at) > answerMargin
	familiar := c.Familiar || c.Key.IsPart() && r.partRuns.before(c.Key, at)
	rec, ok := r.records[c.Key]
	if !ok {
		rec = &record{crashes: map[upstream.Run]*crash{}, common: r.frequencies.common(c.Key)}
		r.records[c.Key] = rec
	}
	known, ok := rec.crashes[c.Run]
	switch {
	case !ok && !rec.makeRoom(at):
		return false
	case !ok:
		known = &crash{sent: at.Add(-max(c.Ran, 0)), at: at, lasted: c.Lasted, content: c.Content, depth: c.Depth}
		rec.crashes[c.Run] = known
		rec.latest = latest(rec.latest, at)
	case !known.learns(cleared, familiar, c.Content):
		return false
	}
	known.cleared, known.familiar, known.content = known.cleared || cleared, known.familiar || familiar, min(known.content, c.Content)
	r.touch(known)
	r.evict()
	return true
}

// learns reports whether a report of the same crash changes it. Of the contents that routers report,
// the smallest one is kept, so that all routers keep the same.
func (c *crash) learns(cleared, familiar bool, content request.Digest) bool {
	return cleared && !c.cleared || familiar && !c.familiar || content < c.content
}

// makeRoom evicts the oldest crash of a key if there are too many. It reports whether a crash
// at the given time may be added: not if it is older than all others.
func (rec *record) makeRoom(at time.Time) bool {
	if len(rec.crashes) < maxCrashes {
		return true
	}
	oldest := rec.oldest()
	if !at.After(oldest.at) {
		return false
	}
	maps.DeleteFunc(rec.crashes, func(_ upstream.Run, c *crash) bool { return c == oldest })
	return true
}

// RecordAnswer records that a run of an upstream has answered.
func (r *Register) RecordAnswer(now time.Time, u upstream.Run) { r.answered[u] = now }

// RecordRun records that an upstream kept running while it ran a request, and for how long its
// answer had been arriving at a time; CompletedRun if the answer is complete. It reports whether that
// clears a crash.
func (r *Register) RecordRun(at time.Time, s Subject, lasted time.Duration) bool {
	cleared := false
	for _, k := range s.Keys() {
		cleared = r.recordRun(at, k, lasted) || cleared
	}
	return cleared
}

// RecordPartRun is RecordRun for the parts of a request only: its answer goes on.
func (r *Register) RecordPartRun(at time.Time, s Subject, lasted time.Duration) bool {
	cleared := false
	for _, k := range s.Parts {
		cleared = r.recordRun(at, k, lasted) || cleared
	}
	return cleared
}

func (r *Register) recordRun(at time.Time, k Key, lasted time.Duration) bool {
	r.runsOf(k).record(at, k, lasted)
	rec, ok := r.records[k]
	if !ok {
		return false
	}
	cleared := false
	for _, c := range rec.crashes {
		if !c.cleared && c.lasted < lasted-k.margin() && c.at.Sub(at) <= k.valid() {
			c.cleared, cleared = true, true
			r.touch(c)
		}
	}
	return cleared
}

// Clear clears all crashes of a key, and reports whether there were any. With a part it clears all
// parts of its service of these crashes: they would be to blame in its stead, and their requests are
// those that are served again.
func (r *Register) Clear(k Key) bool {
	rec, ok := r.records[k]
	if !ok {
		return false
	}
	cleared := rec.clear(r, maps.Keys(rec.crashes))
	if !k.IsPart() {
		return cleared
	}
	for other, o := range r.records {
		if other.IsPart() && other.Service == k.Service {
			o.clear(r, maps.Keys(rec.crashes))
		}
	}
	return cleared
}

// clear clears the crashes of some upstreams, and reports whether there were any.
func (rec *record) clear(r *Register, ended iter.Seq[upstream.Run]) bool {
	cleared := false
	for run := range ended {
		if c, ok := rec.crashes[run]; ok && !c.cleared {
			c.cleared, cleared = true, true
			r.touch(c)
		}
	}
	return cleared
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
	return Crash{
		Key: k, Run: run, Content: c.content, Depth: c.depth, Familiar: c.familiar,
		Ran: c.at.Sub(c.sent), Lasted: c.lasted, Age: now.Sub(c.at), Cleared: c.cleared,
	}
}

// Sweep drops expired records and runs.
func (r *Register) Sweep(now time.Time) {
	maps.DeleteFunc(r.records, func(_ Key, rec *record) bool { return now.Sub(rec.latest) >= retention })
	r.runs.sweep(now)
	r.partRuns.sweep(now)
	maps.DeleteFunc(r.answered, func(_ upstream.Run, at time.Time) bool { return now.Sub(at) > runRetention })
}

// evict drops the key whose latest crash is the oldest if there are too many.
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
