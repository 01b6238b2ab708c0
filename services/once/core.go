// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package once

import (
	"time"

	"fawnwinch.org/fawnwinch/models/request"
	"fawnwinch.org/fawnwinch/services"
)

// Config bounds what an owner keeps.
type Config struct {
	// Lifetime is how long a key is remembered.
	Lifetime time.Duration
	// Capacity is the number of keys remembered at a time.
	Capacity int
	// AnswerBytes bounds the bodies of kept answers, in bytes.
	AnswerBytes int
	// OutageAfter is how long the log must be out of reach before keys run without a journal; 0 means never.
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

// State is how far a key has come.
type State string

// The states of a key.
const (
	// StatePending means that the claim is not yet read back.
	StatePending State = "pending"
	// StateIdle means that the claim stands but no attempt wants to run it any more; it has not run.
	StateIdle State = "idle"
	// StateRunning means that it was sent to the upstream.
	StateRunning State = "running"
	// StateDone means that its answer is kept.
	StateDone State = "done"
	// StateForeign means that another owner claimed it: it may have run there.
	StateForeign State = "foreign"
)

// entry is what an owner knows about one key.
type entry struct {
	key    KeyID
	slice  request.Slice
	epoch  Epoch
	state  State
	digest request.Digest
	at     time.Time
	answer Answer
	// journaled says that a claim of the key stands in the log.
	journaled bool
	// runner is the attempt that runs the key, or 0; waiting holds the others in order of arrival.
	runner  Token
	waiting []waiter
}

// Token tells the attempts at one agent apart. The shell gives each a new one, from 1.
type Token uint64

// waiter is an attempt that waits for the claim or the answer of a key.
type waiter struct {
	token    Token
	request  request.ID
	deadline time.Time
	ask      bool
}

// sliceState is what the log says about a slice, and what this process does with it.
type sliceState struct {
	owner Owner
	epoch Epoch
	// known is false while the slice's latest take was dropped by the log before it was read.
	known bool
	// unjudged is the offset after the latest take that could not be judged.
	unjudged services.Offset
	// settled says that every key another owner may have run without a journal is known here.
	settled bool
	// frozen says that the table of the slice was handed over: nothing new runs here.
	frozen   bool
	frozenAt time.Time
	// takenAt is the time at which the latest take was read.
	takenAt time.Time
}

// Core decides for one agent. It does no I/O and reads no clock.
type Core struct {
	cfg  Config
	self Owner

	next    services.Offset
	window  services.Offset
	started bool
	tail    services.Offset
	contact time.Time

	slices  [Slices]sliceState
	entries map[KeyID]*entry
	// forbidden holds attempts that must not run any more, until their time.
	forbidden map[request.ID]time.Time
	// unsent holds keys whose claim waits for the next journal record.
	unsent      []KeyID
	answerBytes int
	// handedOver holds the tables received for slices this process is about to take.
	handedOver map[request.Slice]Table
	actions    []Action
}

// ActionKind tells a shell what to do.
type ActionKind string

// The kinds of action.
const (
	// ActionStart tells an attempt to call Begin and then run.
	ActionStart ActionKind = "start"
	// ActionResolve gives an attempt its answer.
	ActionResolve ActionKind = "resolve"
)

// Action is something the shell must do for an attempt.
type Action struct {
	Kind   ActionKind
	Token  Token
	Answer Answer
}

// NewCore returns the core of an agent that owns nothing.
func NewCore(cfg Config, self Owner) *Core {
	return &Core{
		cfg: cfg, self: self, entries: map[KeyID]*entry{},
		forbidden: map[request.ID]time.Time{}, handedOver: map[request.Slice]Table{},
	}
}

// Next returns the offset to read from.
func (c *Core) Next() services.Offset { return c.next }

// CaughtUp reports whether the core has applied all that the journal held at the first read.
func (c *Core) CaughtUp() bool { return c.started && c.next >= c.tail }

// Owned returns the slices that this process owns, with their epochs.
func (c *Core) Owned() map[request.Slice]Epoch {
	out := map[request.Slice]Epoch{}
	for i := range c.slices {
		if c.slices[i].owner == c.self && c.slices[i].known {
			out[request.Slice(i)] = c.slices[i].epoch
		}
	}
	return out
}

// Expire forgets keys and forbidden attempts whose time is over.
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

func (e *entry) expired(now time.Time, lifetime time.Duration) bool {
	return !e.busy() && now.Sub(e.at) > lifetime
}

func (e *entry) busy() bool {
	return e.state == StateRunning || len(e.waiting) > 0 || e.runner != 0
}

func (c *Core) remove(e *entry) {
	c.answerBytes -= len(e.answer.Body)
	delete(c.entries, e.key)
}

// Actions returns what the shell must do since the last call.
func (c *Core) Actions() []Action {
	a := c.actions
	c.actions = nil
	return a
}
