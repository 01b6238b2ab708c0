// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package once

import (
	"time"

	"fawnwinch.org/fawnwinch/models/request"
	"fawnwinch.org/fawnwinch/services"
)

// Config holds the limits of an owner's table.
type Config struct {
	// Lifetime is how long a key is kept.
	Lifetime time.Duration
	// Capacity is the maximum number of keys kept at a time.
	Capacity int
	// AnswerBytes bounds the bodies of kept answers, in bytes.
	AnswerBytes int
	// OutageAfter is how long the log must be unreachable before keys run without a journal; 0
	// means never.
	OutageAfter time.Duration
}

// Answer is the kept answer of a key.
type Answer struct {
	Outcome     request.Outcome
	Reason      string
	Status      int
	ContentType string
	Body        []byte
}

// State is the state of a key.
type State string

// The states of a key.
const (
	// StatePending means that the claim has not been read back yet.
	StatePending State = "pending"
	// StateIdle means that the key is claimed but has not run, and no attempt waits to run it.
	StateIdle State = "idle"
	// StateRunning means that the request was sent to the upstream.
	StateRunning State = "running"
	// StateDone means that the request has ended and its answer is kept.
	StateDone State = "done"
	// StateForeign means that another owner claimed the key: it may have run there.
	StateForeign State = "foreign"
)

// entry is an owner's record of one key.
type entry struct {
	key    KeyID
	slice  request.KeySlice
	epoch  Epoch
	state  State
	digest request.Digest
	// at is when the key was claimed or, once it has run, when the run ended. For a key that a
	// router reported, it is the time of the report. The lifetime of the key counts from it.
	at     time.Time
	answer Answer
	// journaled reports whether the log contains a claim of the key.
	journaled bool
	// runner is the attempt that runs the key, or 0; waiting holds the others in order of arrival.
	runner  Token
	waiting []waiter
}

// Token identifies an attempt at one agent. A Service numbers its attempts from 1.
type Token uint64

// waiter is an attempt that waits for the claim or the answer of a key.
type waiter struct {
	token    Token
	request  request.ID
	deadline time.Time
	askOnly  bool
}

// sliceState is the state of a slice according to the log and in this process.
type sliceState struct {
	owner Owner
	epoch Epoch
	// known reports whether the slice's owner is known. It is false if the log may have dropped the
	// slice's latest take before it was read.
	known bool
	// undecidedEnd is the offset after the latest take whose validity could not be determined.
	undecidedEnd services.Offset
	// settled reports whether this process knows every key that another owner may have run without
	// a journal.
	settled bool
	// frozen reports whether the slice's table is being handed over: no new key runs here.
	frozen   bool
	frozenAt time.Time
	// takenAt is the time at which the latest take was read.
	takenAt time.Time
}

// Core holds the state and makes the decisions of one agent. It does no I/O and reads no clock.
type Core struct {
	cfg  Config
	self Owner

	// next is the offset to read from. All records from window up to next have been read.
	next   services.Offset
	window services.Offset
	// started reports whether a page was read; tail was the end of the log at the first read.
	started bool
	tail    services.Offset
	// lastContact is when the log last answered.
	lastContact time.Time

	slices  [Slices]sliceState
	entries map[KeyID]*entry
	// forbidden holds the requests that must not run any more, with the time until which this
	// holds. A router has received the answer that they did not run, so an attempt that arrives
	// later is refused.
	forbidden map[request.ID]time.Time
	// unsent holds the keys whose claims wait for the next journal record.
	unsent      []KeyID
	answerBytes int
	// receivedTables holds the tables received for slices that this process is about to take.
	receivedTables map[request.KeySlice]Table
	actions        []Action
}

// ActionKind is the kind of an Action.
type ActionKind string

// The kinds of action.
const (
	// ActionStart has the attempt call Begin and then run.
	ActionStart ActionKind = "start"
	// ActionResolve gives an attempt its answer.
	ActionResolve ActionKind = "resolve"
)

// Action is something that the Service must do for an attempt.
type Action struct {
	Kind   ActionKind
	Token  Token
	Answer Answer
}

// NewCore returns the core of an agent that owns nothing.
func NewCore(cfg Config, self Owner) *Core {
	return &Core{
		cfg: cfg, self: self, entries: map[KeyID]*entry{},
		forbidden: map[request.ID]time.Time{}, receivedTables: map[request.KeySlice]Table{},
	}
}

// Next returns the offset to read from.
func (c *Core) Next() services.Offset { return c.next }

// CaughtUp reports whether the core has applied all records that the journal held at the first
// read.
func (c *Core) CaughtUp() bool { return c.started && c.next >= c.tail }

// Owned returns the slices that this process owns, with their epochs.
func (c *Core) Owned() map[request.KeySlice]Epoch {
	out := map[request.KeySlice]Epoch{}
	for i := range c.slices {
		if c.slices[i].owner == c.self && c.slices[i].known {
			out[request.KeySlice(i)] = c.slices[i].epoch
		}
	}
	return out
}

// Expire removes the keys whose lifetime has passed, and the requests that are no longer forbidden.
func (c *Core) Expire(now time.Time) {
	for _, e := range c.entries {
		if e.expired(now, c.cfg.Lifetime) {
			c.remove(e)
		}
	}
	for id, until := range c.forbidden {
		if !now.Before(until) {
			delete(c.forbidden, id)
		}
	}
}

// expired reports whether the lifetime of a key has passed. A key with a running or waiting attempt
// does not expire.
func (e *entry) expired(now time.Time, lifetime time.Duration) bool {
	return !e.busy() && now.Sub(e.at) > lifetime
}

// busy reports whether an attempt runs the key or waits for it.
func (e *entry) busy() bool {
	return e.state == StateRunning || len(e.waiting) > 0 || e.runner != 0
}

func (c *Core) remove(e *entry) {
	c.answerBytes -= len(e.answer.Body)
	delete(c.entries, e.key)
}

// Actions returns the actions added since the last call.
func (c *Core) Actions() []Action {
	a := c.actions
	c.actions = nil
	return a
}
