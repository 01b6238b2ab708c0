// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package once

import (
	"time"

	"fawnwinch.org/fawnwinch/models/request"
)

// Attempt is one arrival of a request that may not be repeated.
type Attempt struct {
	Token   Token
	Request request.ID
	Key     KeyID
	Slice   request.Slice
	// Epoch is the owner's epoch that the router knew when it sent the attempt. An attempt that was
	// meant for another epoch is refused, however late it comes.
	Epoch    Epoch
	Digest   request.Digest
	Deadline time.Time
	// AskOnly says that the key must not run for this attempt: it asks what became of an earlier one.
	AskOnly bool
	// RouterLogAge is how long the log has been out of the router's reach.
	RouterLogAge time.Duration
}

// DecisionKind tells what becomes of an attempt.
type DecisionKind string

// The kinds of decision.
const (
	// DecisionWait means that an Action for the attempt follows.
	DecisionWait DecisionKind = "wait"
	// DecisionRun means that the attempt calls Begin and runs at once.
	DecisionRun DecisionKind = "run"
	// DecisionAnswer means that the answer is final.
	DecisionAnswer DecisionKind = "answer"
)

// Decision is the first reply to an attempt.
type Decision struct {
	Kind   DecisionKind
	Answer Answer
}

// Reasons that callers see.
const (
	ReasonNotOwner  = "not-owner"
	ReasonMoving    = "moving"
	ReasonNoJournal = "journal-unreachable"
	// ReasonJournalWait means that the log is out but the router has not seen so for long enough.
	ReasonJournalWait = "journal-waiting"
	ReasonFull        = "table-full"
	ReasonKeyReused   = "key-reused"
	ReasonForbidden   = "forbidden"
	ReasonDeadline    = "deadline"
	ReasonUnsettled   = "unsettled"
	ReasonOtherOwner  = "claimed-before"
	ReasonRunning     = "running"
	ReasonCut         = "upstream-cut"
)

func notRun(reason string) Decision {
	return Decision{Kind: DecisionAnswer, Answer: Answer{Outcome: request.OutcomeNotRun, Reason: reason}}
}

func unknown(reason string) Decision {
	return Decision{Kind: DecisionAnswer, Answer: Answer{Outcome: request.OutcomeUnknown, Reason: reason}}
}

// Submit decides about an attempt on arrival.
func (c *Core) Submit(now time.Time, a Attempt) Decision {
	sl := &c.slices[a.Slice]
	if sl.owner != c.self || sl.epoch != a.Epoch || !sl.known || !c.CaughtUp() {
		if a.AskOnly {
			return unknown(ReasonNotOwner)
		}
		return notRun(ReasonNotOwner)
	}
	if until, ok := c.forbidden[a.Request]; ok && now.Before(until) && !a.AskOnly {
		return notRun(ReasonForbidden)
	}
	e, ok := c.entries[a.Key]
	if ok && e.expired(now, c.cfg.Lifetime) {
		c.remove(e)
		ok = false
	}
	if ok {
		return c.again(now, a, e)
	}
	return c.fresh(now, a, sl)
}

// fresh decides about a key that is not in the table.
func (c *Core) fresh(now time.Time, a Attempt, sl *sliceState) Decision {
	if !sl.settled {
		return unknown(ReasonUnsettled)
	}
	if a.AskOnly {
		c.forbid(a)
		return notRun(ReasonForbidden)
	}
	if sl.frozen {
		return notRun(ReasonMoving)
	}
	if len(c.entries) >= c.cfg.Capacity || c.answerBytes >= c.cfg.AnswerBytes {
		return notRun(ReasonFull)
	}
	e := &entry{key: a.Key, slice: a.Slice, epoch: sl.epoch, state: StatePending, digest: a.Digest, at: now}
	if c.journalLost(now) {
		if !c.mayRunUnjournaled(a) {
			return notRun(c.noJournal())
		}
		e.runner = a.Token
		c.entries[a.Key] = e
		c.unsent = append(c.unsent, a.Key)
		return Decision{Kind: DecisionRun}
	}
	e.wait(a)
	c.entries[a.Key] = e
	c.unsent = append(c.unsent, a.Key)
	return Decision{Kind: DecisionWait}
}

// mayRunUnjournaled reports whether the router of an attempt lacks the log as well. A router that
// has the log knows a newer owner; one that has not keeps a register of what it sent meanwhile.
func (c *Core) mayRunUnjournaled(a Attempt) bool {
	return c.cfg.OutageAfter > 0 && a.RouterLogAge > c.cfg.OutageAfter
}

// noJournal says whether a request without a journal may soon be let through, or is refused for good.
func (c *Core) noJournal() string {
	if c.cfg.OutageAfter == 0 {
		return ReasonNoJournal
	}
	return ReasonJournalWait
}

// Tick refuses what waits for a journal that is out of reach. A claim that is on its way may still
// be read later; its key then stands as not run.
func (c *Core) Tick(now time.Time) {
	if !c.journalLost(now) {
		return
	}
	for _, e := range c.entries {
		if e.state == StatePending && e.runner == 0 && !e.journaled && len(e.waiting) > 0 {
			c.refuse(e, c.noJournal())
			c.settleIdle(e)
		}
	}
}

func (e *entry) wait(a Attempt) {
	e.waiting = append(e.waiting, waiter{token: a.Token, request: a.Request, deadline: a.Deadline, ask: a.AskOnly})
}

// journalLost reports whether the log has been out of reach for so long that waiting for it is no use.
func (c *Core) journalLost(now time.Time) bool {
	limit := c.cfg.OutageAfter
	if limit == 0 {
		limit = defaultJournalPatience
	}
	return now.Sub(c.contact) > limit
}

// defaultJournalPatience is how long claims wait for the log where running without it is switched off.
const defaultJournalPatience = 5 * time.Second

// again decides about a key that is in the table.
func (c *Core) again(now time.Time, a Attempt, e *entry) Decision {
	if e.state != StateForeign && e.digest != a.Digest {
		return notRun(ReasonKeyReused)
	}
	switch e.state {
	case StateDone:
		return Decision{Kind: DecisionAnswer, Answer: e.answer}
	case StateForeign:
		return unknown(ReasonOtherOwner)
	case StateRunning:
		e.wait(a)
		return Decision{Kind: DecisionWait}
	case StateIdle:
		return c.revive(a, e)
	case StatePending:
	}
	if a.AskOnly {
		return c.askPending(a, e)
	}
	if c.slices[e.slice].frozen && !e.busy() {
		// The table was handed over with this key as not run: it is the next owner's now.
		return notRun(ReasonMoving)
	}
	if e.runner == 0 && c.journalLost(now) && c.mayRunUnjournaled(a) {
		e.runner = a.Token
		return Decision{Kind: DecisionRun}
	}
	e.wait(a)
	return Decision{Kind: DecisionWait}
}

// revive runs a claimed key that has not run.
func (c *Core) revive(a Attempt, e *entry) Decision {
	if a.AskOnly {
		c.forbid(a)
		return notRun(ReasonForbidden)
	}
	sl := &c.slices[e.slice]
	if !sl.settled {
		return unknown(ReasonUnsettled)
	}
	if sl.frozen {
		return notRun(ReasonMoving)
	}
	e.state, e.runner, e.digest, e.epoch = StatePending, a.Token, a.Digest, sl.epoch
	return Decision{Kind: DecisionRun}
}

// askPending takes back the attempts of the asker's request. If another request wants the key too,
// or the key is about to run, the asker waits for the result.
func (c *Core) askPending(a Attempt, e *entry) Decision {
	alone := e.runner == 0
	for _, w := range e.waiting {
		alone = alone && w.request == a.Request
	}
	if !alone {
		e.wait(a)
		return Decision{Kind: DecisionWait}
	}
	c.forbid(a)
	c.refuse(e, ReasonForbidden)
	c.settleIdle(e)
	return notRun(ReasonForbidden)
}

// refuse tells all who wait for a key that it has not run. An asker's own first attempt may still
// be on its way, so it is forbidden.
func (c *Core) refuse(e *entry, reason string) {
	for _, w := range e.waiting {
		if w.ask {
			c.forbidden[w.request] = w.deadline.Add(c.cfg.Lifetime)
		}
		c.actions = append(c.actions, Action{Kind: ActionResolve, Token: w.token, Answer: notRun(reason).Answer})
	}
	e.waiting = nil
}

func (c *Core) forbid(a Attempt) { c.forbidden[a.Request] = a.Deadline.Add(c.cfg.Lifetime) }

// settleIdle parks a key that nobody waits for: a journaled claim stays, an unsent one goes.
func (c *Core) settleIdle(e *entry) {
	e.runner = 0
	for i, k := range c.unsent {
		if k == e.key {
			c.unsent = append(c.unsent[:i], c.unsent[i+1:]...)
			c.remove(e)
			return
		}
	}
	sl := &c.slices[e.slice]
	switch {
	case e.journaled:
		e.state = StateIdle
	case sl.owner != c.self || sl.epoch != e.epoch:
		c.remove(e)
	}
}
