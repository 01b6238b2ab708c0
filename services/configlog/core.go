// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package configlog derives the accepted configuration from the configuration stream of the
// platform's log. The log order decides: every process that reads the same records accepts the
// same confirmations.
package configlog

import (
	"errors"
	"time"

	"fawnwinch.org/fawnwinch/models/intent"
	"fawnwinch.org/fawnwinch/services"
)

// Verdict is the result of a confirmation.
type Verdict string

// The verdicts.
const (
	// VerdictAccepted means that the confirmation became a revision.
	VerdictAccepted Verdict = "accepted"
	// VerdictRejected means that the confirmation was not based on the configuration that was in
	// force at the position of its record.
	VerdictRejected Verdict = "rejected"
	// VerdictUnknown means that no record of the confirmation has been read yet.
	VerdictUnknown Verdict = "unknown"
)

// Outcome is the verdict on a confirmation, with its revision and digest.
type Outcome struct {
	Verdict  Verdict         `json:"verdict"`
	Revision intent.Revision `json:"revision"`
	Digest   intent.Digest   `json:"digest"`
}

// PeerState is the configuration state that one process sends to another.
type PeerState struct {
	State intent.State
	// Next is the first offset that the peer has not applied to State.
	Next services.Offset
	// Anchored reports whether State is exact as of Next.
	Anchored bool
	// Outcomes holds the latest verdicts, because a process that adopts this position has not
	// judged those records itself.
	Outcomes map[intent.ConfirmID]Outcome
}

// EventKind is the kind of an Event, as shown to operators in the timeline.
type EventKind string

// The kinds of an Event.
const (
	EventAccepted  EventKind = "accepted"
	EventRejected  EventKind = "rejected"
	EventBadRecord EventKind = "bad-record"
	EventGap       EventKind = "gap"
	EventAnchored  EventKind = "anchored"
	EventDiverged  EventKind = "diverged"
)

// Event is something that happened while records were applied.
type Event struct {
	Kind     EventKind
	Offset   services.Offset
	Revision intent.Revision
	ID       intent.ConfirmID
	Detail   string
}

const (
	// maxOutcomes is the number of confirmations whose verdict is kept.
	maxOutcomes = 4096
	// maxHeldRecords is the number of records kept while no exact state is known.
	maxHeldRecords = 16384
)

// Core applies records in order. It does no I/O and reads no clock.
//
// It has two states. The judged state is exact as of an offset of the log; confirmations are
// accepted against this state only. The state in force is the highest revision received from
// the log or from any peer; its revision never decreases.
type Core struct {
	inForce intent.State

	judged   intent.State
	next     services.Offset
	anchored bool
	started  bool
	// windowStart is the offset from which all records up to next were read without a gap.
	windowStart services.Offset
	// held buffers the records from windowStart on while the core is not anchored.
	held []services.LogRecord
	// initialTail is the tail of the log at the first read.
	initialTail services.Offset
	// stateAppendedAt is the time at which a record that holds the judged state was last appended.
	stateAppendedAt time.Time

	outcomes map[intent.ConfirmID]Outcome
	order    []intent.ConfirmID
}

// NewCore returns a core with the empty configuration.
func NewCore() *Core {
	return &Core{inForce: intent.Empty(), judged: intent.Empty(), outcomes: map[intent.ConfirmID]Outcome{}}
}

// State returns the configuration in force.
func (c *Core) State() intent.State { return c.inForce }

// Judged returns the state that confirmations are judged against and reports whether it is exact.
func (c *Core) Judged() (intent.State, bool) { return c.judged, c.anchored }

// Next returns the offset to read from.
func (c *Core) Next() services.Offset { return c.next }

// CaughtUp reports whether the core is anchored and has applied all records that were in the log
// at the first read.
func (c *Core) CaughtUp() bool { return c.started && c.anchored && c.next >= c.initialTail }

// Peer returns the state to send to another process.
func (c *Core) Peer() PeerState {
	p := PeerState{State: c.inForce, Outcomes: c.latestOutcomes()}
	if c.anchored && c.judged.Revision == c.inForce.Revision {
		p.Next, p.Anchored = c.next, true
	}
	return p
}

// maxPeerOutcomes is the number of verdicts sent to a peer.
const maxPeerOutcomes = 256

func (c *Core) latestOutcomes() map[intent.ConfirmID]Outcome {
	ids := c.order[max(0, len(c.order)-maxPeerOutcomes):]
	out := make(map[intent.ConfirmID]Outcome, len(ids))
	for _, id := range ids {
		out[id] = c.outcomes[id]
	}
	return out
}

// Outcome returns the outcome of a confirmation.
func (c *Core) Outcome(id intent.ConfirmID) Outcome {
	if o, ok := c.outcomes[id]; ok {
		return o
	}
	return Outcome{Verdict: VerdictUnknown, Revision: c.inForce.Revision}
}

// Apply applies a page that was read from offset Next.
func (c *Core) Apply(now time.Time, p services.Page) []Event {
	events := c.alignToLog(p)
	for _, r := range p.Records {
		if r.Offset < c.next {
			continue
		}
		events = append(events, c.applyRecord(now, p.Now, r)...)
		c.next = r.Offset + 1
	}
	c.raiseInForce(c.judged)
	return events
}

// alignToLog aligns the core with the range of offsets that the log retains. The judged state no
// longer counts as exact when records were trimmed before they were read or when the log restarted.
func (c *Core) alignToLog(p services.Page) []Event {
	first := !c.started
	if first {
		c.started = true
		c.initialTail = p.Tail
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
	return []Event{{Kind: EventGap, Offset: p.First, Detail: "records were gone before they were read"}}
}

func (c *Core) applyRecord(now, logNow time.Time, r services.LogRecord) []Event {
	if c.anchored {
		return c.judge(now, logNow, r)
	}
	if len(c.held) < maxHeldRecords {
		c.held = append(c.held, r)
	}
	rec, err := intent.DecodeRecord(r.Data)
	if err != nil || rec.Kind != intent.RecordCheckpoint {
		return nil
	}
	state := intent.State{Revision: rec.Revision, Digest: rec.Intent.Digest(), Intent: rec.Intent}
	return c.anchor(now, logNow, PeerState{State: state, Next: services.Offset(rec.AsOf), Anchored: true})
}

// anchor sets an exact state as the judged state if all records since its offset are held, and
// judges those records.
func (c *Core) anchor(now, logNow time.Time, p PeerState) []Event {
	if p.Next < c.windowStart || p.State.Revision < c.judged.Revision {
		return nil
	}
	held := c.held
	c.judged, c.anchored, c.held = p.State, true, nil
	events := []Event{{Kind: EventAnchored, Offset: p.Next, Revision: p.State.Revision}}
	for _, r := range held {
		if r.Offset >= p.Next {
			events = append(events, c.judge(now, logNow, r)...)
		}
	}
	return events
}

func (c *Core) judge(now, logNow time.Time, r services.LogRecord) []Event {
	rec, err := intent.DecodeRecord(r.Data)
	if err != nil {
		return c.handleUndecodable(r, err)
	}
	if rec.Kind == intent.RecordCheckpoint {
		return c.judgeCheckpoint(now, logNow, r, rec)
	}
	digest := rec.Intent.Digest()
	if rec.Revision != c.judged.Revision+1 || rec.BaseDigest != c.judged.Digest {
		c.recordOutcome(rec.ID, Outcome{Verdict: VerdictRejected, Revision: c.judged.Revision, Digest: digest})
		return []Event{{Kind: EventRejected, Offset: r.Offset, Revision: rec.Revision, ID: rec.ID, Detail: "base is not the configuration in force"}}
	}
	c.judged = intent.State{Revision: rec.Revision, Digest: digest, Intent: rec.Intent}
	c.stateAppendedAt = now.Add(r.At.Sub(logNow))
	c.recordOutcome(rec.ID, Outcome{Verdict: VerdictAccepted, Revision: rec.Revision, Digest: digest})
	return []Event{{Kind: EventAccepted, Offset: r.Offset, Revision: rec.Revision, ID: rec.ID}}
}

// handleUndecodable skips corrupt records, but after a record of a later format the judged state no
// longer counts as exact. A newer process may accept that record, so this one must learn the result
// from a checkpoint or a peer.
func (c *Core) handleUndecodable(r services.LogRecord, err error) []Event {
	var bad intent.ErrBadRecord
	if errors.As(err, &bad) && bad.Later {
		c.anchored = false
		c.held = nil
		c.windowStart = r.Offset + 1
	}
	return []Event{{Kind: EventBadRecord, Offset: r.Offset, Detail: err.Error()}}
}

func (c *Core) judgeCheckpoint(now, logNow time.Time, r services.LogRecord, rec *intent.Record) []Event {
	digest := rec.Intent.Digest()
	switch {
	case rec.Revision < c.judged.Revision:
		return nil
	case rec.Revision > c.judged.Revision:
		c.judged = intent.State{Revision: rec.Revision, Digest: digest, Intent: rec.Intent}
		c.stateAppendedAt = now.Add(r.At.Sub(logNow))
		return []Event{{Kind: EventAnchored, Offset: r.Offset, Revision: rec.Revision}}
	case digest != c.judged.Digest:
		return []Event{{Kind: EventDiverged, Offset: r.Offset, Revision: rec.Revision, Detail: "checkpoint differs from the judged state"}}
	}
	c.stateAppendedAt = now.Add(r.At.Sub(logNow))
	return nil
}

// Adopt merges the state of another process and reports whether the revision in force increased.
func (c *Core) Adopt(now time.Time, p PeerState) bool {
	if p.State.Intent == nil {
		return false
	}
	for id, o := range p.Outcomes {
		c.recordOutcome(id, o)
	}
	if p.Anchored && (!c.anchored || p.Next > c.next) {
		c.adoptPosition(now, p)
	}
	return c.raiseInForce(p.State)
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
	c.stateAppendedAt = now
}

func (c *Core) raiseInForce(s intent.State) bool {
	if s.Revision <= c.inForce.Revision {
		return false
	}
	c.inForce = s
	return true
}

// recordOutcome records a verdict. The first accepted verdict of an id is final: a later record
// with the same id is a duplicate.
func (c *Core) recordOutcome(id intent.ConfirmID, o Outcome) {
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

// CheckpointDue reports whether this process should write a checkpoint to the log. The routerIndex
// is the router's index among the live routers, from 0. Each later index waits retention/32 longer,
// so that normally one router writes and the others read its checkpoint.
func (c *Core) CheckpointDue(now time.Time, retention time.Duration, routerIndex int) bool {
	if c.judged.Revision == 0 || !c.anchored {
		return false
	}
	wait := retention/2 + time.Duration(routerIndex)*retention/32
	return now.Sub(c.stateAppendedAt) >= wait
}

// Checkpoint returns a checkpoint record of the judged state.
func (c *Core) Checkpoint() *intent.Record {
	return &intent.Record{
		Version: intent.RecordVersion, Kind: intent.RecordCheckpoint,
		Revision: c.judged.Revision, AsOf: uint64(c.next), Intent: c.judged.Intent,
	}
}

// RecoveryCheckpoint returns a checkpoint record that makes the configuration in force exact again.
// It is used when no process is anchored: no process then knows the records that the log has lost.
func (c *Core) RecoveryCheckpoint() (*intent.Record, bool) {
	if c.anchored || !c.started || c.inForce.Revision == 0 {
		return nil, false
	}
	return &intent.Record{
		Version: intent.RecordVersion, Kind: intent.RecordCheckpoint,
		Revision: c.inForce.Revision, AsOf: uint64(c.windowStart), Intent: c.inForce.Intent,
	}, true
}
