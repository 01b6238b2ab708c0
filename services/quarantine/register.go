// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package quarantine

import (
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
	// content, depth and share are those of Crash.
	content request.Digest
	depth   int
	share   float64
	// changedAt is the register's position of the latest change to this crash.
	changedAt peer.Position
}

// record holds the crashes of one key.
type record struct {
	crashes map[upstream.Run]*crash
	latest  time.Time
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
// write an answer, so an answer that has been arriving for a while clears its parts.
func (r *Register) AddCrash(now time.Time, s Subject, c Crash) bool {
	c.Key = s.Content
	changed := r.Add(now, c)
	if c.Lasted > partClearMargin {
		return r.RecordPartRun(now, s, c.Lasted) || changed
	}
	for i, k := range s.Parts {
		c.Key, c.Content, c.Depth, c.Share = k, s.Content.Digest, i, r.frequencies.share(k)
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
	rec, ok := r.records[c.Key]
	if !ok && c.Cleared && c.Key.IsPart() {
		return false // nothing is held against the part here
	}
	if !ok {
		rec = &record{crashes: map[upstream.Run]*crash{}}
		r.records[c.Key] = rec
	}
	known, ok := rec.crashes[c.Run]
	switch {
	case !ok && !rec.makeRoom(at):
		return false
	case !ok:
		known = &crash{sent: at.Add(-max(c.Ran, 0)), at: at, lasted: c.Lasted, content: c.Content, depth: c.Depth, share: min(max(c.Share, 0), 1)}
		rec.crashes[c.Run] = known
		rec.latest = latest(rec.latest, at)
	case known.cleared || !c.Cleared:
		return false
	}
	known.cleared = known.cleared || cleared
	r.touch(known)
	r.evict()
	return true
}

// makeRoom evicts the oldest crash of a key if there are too many. It reports whether a crash
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

// RecordAnswer records that a run of an upstream has answered.
func (r *Register) RecordAnswer(now time.Time, u upstream.Run) { r.answered[u] = now }

// RecordRun records that an upstream kept running while it ran a request, and for how long its
// answer has been arriving; CompletedRun if the answer is complete. It reports whether that clears
// a crash.
func (r *Register) RecordRun(now time.Time, s Subject, lasted time.Duration) bool {
	cleared := false
	for _, k := range s.Keys() {
		cleared = r.recordRun(now, k, lasted) || cleared
	}
	return cleared
}

// RecordPartRun is RecordRun for the parts of a request only: its answer goes on.
func (r *Register) RecordPartRun(now time.Time, s Subject, lasted time.Duration) bool {
	cleared := false
	for _, k := range s.Parts {
		cleared = r.recordRun(now, k, lasted) || cleared
	}
	return cleared
}

func (r *Register) recordRun(now time.Time, k Key, lasted time.Duration) bool {
	r.runsOf(k).record(now, k, lasted)
	rec, ok := r.records[k]
	if !ok {
		return false
	}
	cleared := false
	for _, c := range rec.crashes {
		if !c.cleared && c.lasted < lasted-k.margin() {
			c.cleared, cleared = true, true
			r.touch(c)
		}
	}
	return cleared
}

// Judge returns the verdict on a request: the strictest one on its content and on the parts of its
// prompt.
func (r *Register) Judge(now time.Time, s Subject) Verdict {
	out, suspects := r.judgeContent(now, s.Content), 0
	for _, k := range s.Parts {
		v := r.judgePart(now, k)
		if v.Standing != StandingFree {
			suspects++
		}
		if v.Standing.severity() > out.Standing.severity() {
			out = v
		}
	}
	if out.Test && suspects > 1 {
		// A crash would not tell which of the parts is at fault.
		return Verdict{Standing: StandingRefused, Key: out.Key, Until: now.Add(testRetryTime)}
	}
	return out
}

// JudgeKey returns the verdict on a content or a part.
func (r *Register) JudgeKey(now time.Time, k Key) Verdict {
	if k.IsPart() {
		return r.judgePart(now, k)
	}
	return r.judgeContent(now, k)
}

func (r *Register) judgeContent(now time.Time, k Key) Verdict {
	rec, ok := r.records[k]
	if !ok || len(rec.crashes) < watchThreshold {
		return Verdict{Standing: StandingFree}
	}
	n, until := r.weight(rec), rec.latest.Add(refusalDuration)
	switch {
	case n < watchThreshold || now.Sub(rec.latest) >= retention:
		return Verdict{Standing: StandingFree}
	case n < refuseThreshold:
		return Verdict{Standing: StandingWatched, Key: k}
	case !now.Before(until):
		return Verdict{Standing: StandingWatched, Key: k, Test: true}
	}
	return Verdict{Standing: StandingRefused, Key: k, Until: until}
}

func (r *Register) judgePart(now time.Time, k Key) Verdict {
	rec, ok := r.records[k]
	if !ok || now.Sub(rec.latest) >= retention {
		return Verdict{Standing: StandingFree}
	}
	weight := r.partWeight(rec, nil)
	switch {
	case weight == 0:
		return Verdict{Standing: StandingFree}
	case weight < partThreshold || !r.blamed(now, k):
		return Verdict{Standing: StandingSuspect, Key: k}
	}
	until := rec.latest.Add(r.refusedFor(rec))
	if !now.Before(until) {
		return Verdict{Standing: StandingWatched, Key: k, Test: true}
	}
	return Verdict{Standing: StandingRefused, Key: k, Until: until}
}

// batches divides crashes into batches in order of time: a batch consists of a crash and those
// directly after it whose attempts were sent before that first crash. A batch counts as one, because
// a rack that loses power ends many upstreams whatever runs there.
func batches(crashes []*crash) [][]*crash {
	slices.SortFunc(crashes, func(a, b *crash) int { return a.at.Compare(b.at) })
	var out [][]*crash
	for len(crashes) > 0 {
		n := 1
		for n < len(crashes) && crashes[n].sent.Before(crashes[0].at) {
			n++
		}
		out = append(out, crashes[:n])
		crashes = crashes[n:]
	}
	return out
}

// weight returns how strongly the uncleared crashes incriminate a content: the number of batches. A
// batch of several crashes counts as two if all upstreams that crashed at about that time ran the
// request, see ranOnAll.
func (r *Register) weight(rec *record) int {
	var crashes []*crash
	for _, c := range rec.crashes {
		if !c.cleared {
			crashes = append(crashes, c)
		}
	}
	weight := 0
	for _, batch := range batches(crashes) {
		weight++
		if n := len(batch); n > 1 && r.ranOnAll(rec, batch[0].at, batch[n-1].at) {
			weight++
		}
	}
	return weight
}

// ranOnAll reports whether all upstreams with crashes between from and to, within
// simultaneousWindow, ran the request of the record.
func (r *Register) ranOnAll(rec *record, from, to time.Time) bool {
	from, to = from.Add(-simultaneousWindow), to.Add(simultaneousWindow)
	for k, other := range r.records {
		if k.IsPart() {
			continue // the crashes of its contents are recorded too
		}
		for run, c := range other.crashes {
			if _, ok := rec.crashes[run]; !ok && !c.at.Before(from) && !c.at.After(to) {
				return false
			}
		}
	}
	return true
}

// Clear clears all crashes of a key, and reports whether there were any.
func (r *Register) Clear(k Key) bool {
	rec, ok := r.records[k]
	if !ok {
		return false
	}
	cleared := false
	for _, c := range rec.crashes {
		if !c.cleared {
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
		Key: k, Run: run, Content: c.content, Depth: c.depth, Share: c.share,
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
