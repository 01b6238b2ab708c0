// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package configlog turns the configuration stream of the platform's log into one accepted
// configuration. The order of the log decides: every process that reads the same records
// accepts the same ones.
package configlog

import (
	"errors"
	"time"

	"fawnwinch.org/fawnwinch/models/intent"
	"fawnwinch.org/fawnwinch/services"
)

// Verdict is what became of a confirmation.
type Verdict string

// The verdicts.
const (
	// VerdictAccepted means that the confirmation became a revision.
	VerdictAccepted Verdict = "accepted"
	// VerdictRejected means that it lost against the configuration in force when its record arrived.
	VerdictRejected Verdict = "rejected"
	// VerdictUnknown means that no record of it has been read yet.
	VerdictUnknown Verdict = "unknown"
)

// Outcome tells what became of a confirmation and at which revision.
type Outcome struct {
	Verdict  Verdict         `json:"verdict"`
	Revision intent.Revision `json:"revision"`
	Digest   intent.Digest   `json:"digest"`
}

// PeerState is what one process tells another about its configuration.
type PeerState struct {
	State intent.State
	// Next is the first offset the peer has not applied to State.
	Next services.Offset
	// Anchored says that State is exact as of Next.
	Anchored bool
	// Outcomes holds the latest verdicts: whoever takes over the position has not judged those records.
	Outcomes map[intent.ConfirmID]Outcome
}

// NoteKind names something that an operator should see in the time line.
type NoteKind string

// The kinds of note.
const (
	NoteAccepted NoteKind = "accepted"
	NoteRejected NoteKind = "rejected"
	NoteBad      NoteKind = "bad-record"
	NoteGap      NoteKind = "gap"
	NoteAnchored NoteKind = "anchored"
	NoteDiverged NoteKind = "diverged"
)

// Note is one thing that happened while records were applied.
type Note struct {
	Kind     NoteKind
	Offset   services.Offset
	Revision intent.Revision
	ID       intent.ConfirmID
	Detail   string
}

const (
	// maxOutcomes bounds the confirmations whose verdict is remembered.
	maxOutcomes = 4096
	// maxHeld bounds the records kept while no exact state is known.
	maxHeld = 16384
)

// Core applies records in order. It does no I/O and reads no clock.
//
// It knows two states. The judged state is exact as of an offset of the log, and only
// against it may a confirmation be accepted. The state in force is the highest revision
// heard of from anyone; it never goes down.
type Core struct {
	inForce intent.State

	judged   intent.State
	next     services.Offset
	anchored bool
	started  bool
	// windowStart is the oldest record read without a gap up to next.
	windowStart services.Offset
	// held keeps the records from windowStart on while the core is not anchored.
	held []services.LogRecord
	// startTail is the tail of the log at the first read.
	startTail services.Offset
	// carriedAt is the time at which a record with the judged state was last appended.
	carriedAt time.Time

	outcomes map[intent.ConfirmID]Outcome
	order    []intent.ConfirmID
}

// NewCore returns a core that knows nothing yet.
func NewCore() *Core {
	return &Core{inForce: intent.Empty(), judged: intent.Empty(), outcomes: map[intent.ConfirmID]Outcome{}}
}

// State returns the configuration in force.
func (c *Core) State() intent.State { return c.inForce }

// Judged returns the state that confirmations are judged against, and whether it is exact.
func (c *Core) Judged() (intent.State, bool) { return c.judged, c.anchored }

// Next returns the offset to read from.
func (c *Core) Next() services.Offset { return c.next }

// CaughtUp reports whether the core has applied everything the log held at the first read.
func (c *Core) CaughtUp() bool { return c.started && c.anchored && c.next >= c.startTail }

// Peer returns the state to hand to another process.
func (c *Core) Peer() PeerState {
	p := PeerState{State: c.inForce, Outcomes: c.latestOutcomes()}
	if c.anchored && c.judged.Revision == c.inForce.Revision {
		p.Next, p.Anchored = c.next, true
	}
	return p
}

// handedOutcomes is the number of verdicts handed to a peer.
const handedOutcomes = 256

func (c *Core) latestOutcomes() map[intent.ConfirmID]Outcome {
	ids := c.order[max(0, len(c.order)-handedOutcomes):]
	out := make(map[intent.ConfirmID]Outcome, len(ids))
	for _, id := range ids {
		out[id] = c.outcomes[id]
	}
	return out
}

// Outcome returns what became of a confirmation.
func (c *Core) Outcome(id intent.ConfirmID) Outcome {
	if o, ok := c.outcomes[id]; ok {
		return o
	}
	return Outcome{Verdict: VerdictUnknown, Revision: c.inForce.Revision}
}

// Apply takes in a page that was read from Next on.
func (c *Core) Apply(now time.Time, p services.Page) []Note {
	notes := c.open(p)
	for _, r := range p.Records {
		if r.Offset < c.next {
			continue
		}
		notes = append(notes, c.take(now, p.Now, r)...)
		c.next = r.Offset + 1
	}
	c.raise(c.judged)
	return notes
}

// open deals with the edges of what the log still keeps.
func (c *Core) open(p services.Page) []Note {
	first := !c.started
	if first {
		c.started = true
		c.startTail = p.Tail
		if p.First == 0 && c.next == 0 && !c.anchored {
			c.anchored = true
			return nil
		}
	}
	restarted := p.Tail < c.next
	if p.First <= c.next && !restarted {
		return nil
	}
	c.anchored = false
	c.held = nil
	c.next = p.First
	c.windowStart = p.First
	if first {
		return nil
	}
	return []Note{{Kind: NoteGap, Offset: p.First, Detail: "records were gone before they were read"}}
}

func (c *Core) take(now, logNow time.Time, r services.LogRecord) []Note {
	if c.anchored {
		return c.judge(now, logNow, r)
	}
	if len(c.held) < maxHeld {
		c.held = append(c.held, r)
	}
	rec, err := intent.DecodeRecord(r.Data)
	if err != nil || rec.Kind != intent.RecordCheckpoint {
		return nil
	}
	state := intent.State{Revision: rec.Revision, Digest: rec.Intent.Digest(), Intent: rec.Intent}
	return c.anchor(now, logNow, PeerState{State: state, Next: services.Offset(rec.AsOf), Anchored: true})
}

// anchor makes an exact state the judged one if all records since it are at hand, and judges those.
func (c *Core) anchor(now, logNow time.Time, p PeerState) []Note {
	if p.Next < c.windowStart || p.State.Revision < c.judged.Revision {
		return nil
	}
	held := c.held
	c.judged, c.anchored, c.held = p.State, true, nil
	notes := []Note{{Kind: NoteAnchored, Offset: p.Next, Revision: p.State.Revision}}
	for _, r := range held {
		if r.Offset >= p.Next {
			notes = append(notes, c.judge(now, logNow, r)...)
		}
	}
	return notes
}

func (c *Core) judge(now, logNow time.Time, r services.LogRecord) []Note {
	rec, err := intent.DecodeRecord(r.Data)
	if err != nil {
		return c.unreadable(r, err)
	}
	if rec.Kind == intent.RecordCheckpoint {
		return c.judgeCheckpoint(now, logNow, r, rec)
	}
	digest := rec.Intent.Digest()
	if rec.Revision != c.judged.Revision+1 || rec.BaseDigest != c.judged.Digest {
		c.remember(rec.ID, Outcome{Verdict: VerdictRejected, Revision: c.judged.Revision, Digest: digest})
		return []Note{{Kind: NoteRejected, Offset: r.Offset, Revision: rec.Revision, ID: rec.ID, Detail: "base is not the configuration in force"}}
	}
	c.judged = intent.State{Revision: rec.Revision, Digest: digest, Intent: rec.Intent}
	c.carriedAt = now.Add(r.At.Sub(logNow))
	c.remember(rec.ID, Outcome{Verdict: VerdictAccepted, Revision: rec.Revision, Digest: digest})
	return []Note{{Kind: NoteAccepted, Offset: r.Offset, Revision: rec.Revision, ID: rec.ID}}
}

// unreadable skips noise, but stops judging at a record of a later format: a process that
// reads it may accept it, so this one must learn the result from a checkpoint or a peer.
func (c *Core) unreadable(r services.LogRecord, err error) []Note {
	var bad intent.ErrBadRecord
	if errors.As(err, &bad) && bad.Later {
		c.anchored = false
		c.held = nil
		c.windowStart = r.Offset + 1
	}
	return []Note{{Kind: NoteBad, Offset: r.Offset, Detail: err.Error()}}
}

func (c *Core) judgeCheckpoint(now, logNow time.Time, r services.LogRecord, rec *intent.Record) []Note {
	digest := rec.Intent.Digest()
	switch {
	case rec.Revision < c.judged.Revision:
		return nil
	case rec.Revision > c.judged.Revision:
		c.judged = intent.State{Revision: rec.Revision, Digest: digest, Intent: rec.Intent}
		c.carriedAt = now.Add(r.At.Sub(logNow))
		return []Note{{Kind: NoteAnchored, Offset: r.Offset, Revision: rec.Revision}}
	case digest != c.judged.Digest:
		return []Note{{Kind: NoteDiverged, Offset: r.Offset, Revision: rec.Revision, Detail: "checkpoint differs from the judged state"}}
	}
	c.carriedAt = now.Add(r.At.Sub(logNow))
	return nil
}

// Adopt takes in the configuration of another process. It reports whether the configuration in force rose.
func (c *Core) Adopt(now time.Time, p PeerState) bool {
	if p.State.Intent == nil {
		return false
	}
	for id, o := range p.Outcomes {
		c.remember(id, o)
	}
	if p.Anchored && (!c.anchored || p.Next > c.next) {
		c.adoptPosition(now, p)
	}
	return c.raise(p.State)
}

func (c *Core) adoptPosition(now time.Time, p PeerState) {
	if p.Next <= c.next {
		c.anchor(now, now, p)
		return
	}
	if p.State.Revision < c.judged.Revision {
		return
	}
	c.judged, c.next, c.windowStart = p.State, p.Next, p.Next
	c.anchored, c.held = true, nil
	c.carriedAt = now
}

func (c *Core) raise(s intent.State) bool {
	if s.Revision <= c.inForce.Revision {
		return false
	}
	c.inForce = s
	return true
}

// remember keeps the first accepted verdict of an id; a later record with the same id is a repeat.
func (c *Core) remember(id intent.ConfirmID, o Outcome) {
	old, ok := c.outcomes[id]
	if ok && old.Verdict == VerdictAccepted {
		return
	}
	if !ok {
		c.order = append(c.order, id)
	}
	c.outcomes[id] = o
	if len(c.order) > maxOutcomes {
		delete(c.outcomes, c.order[0])
		c.order = c.order[1:]
	}
}

// CheckpointDue reports whether this process should repeat the configuration in the log.
// The turn of a router is its place among the live ones, from 0; each later turn waits
// a little longer, so that one of them writes and the others see it.
func (c *Core) CheckpointDue(now time.Time, retention time.Duration, turn int) bool {
	if c.judged.Revision == 0 || !c.anchored {
		return false
	}
	wait := retention/2 + time.Duration(turn)*retention/32
	return now.Sub(c.carriedAt) >= wait
}

// Checkpoint returns the record that repeats the judged state.
func (c *Core) Checkpoint() *intent.Record {
	return &intent.Record{
		Version: intent.RecordVersion, Kind: intent.RecordCheckpoint,
		Revision: c.judged.Revision, AsOf: uint64(c.next), Intent: c.judged.Intent,
	}
}

// RecoveryCheckpoint returns a record that makes the configuration in force the exact one again.
// It is for the case that no process anywhere is anchored: what the log has lost is then known to nobody.
func (c *Core) RecoveryCheckpoint() (*intent.Record, bool) {
	if c.anchored || !c.started || c.inForce.Revision == 0 {
		return nil, false
	}
	return &intent.Record{
		Version: intent.RecordVersion, Kind: intent.RecordCheckpoint,
		Revision: c.inForce.Revision, AsOf: uint64(c.windowStart), Intent: c.inForce.Intent,
	}, true
}
