// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package once

import (
	"time"

	"fawnwinch.org/fawnwinch/models/request"
)

// Attempt is one arrival of a request that must not be repeated.
type Attempt struct {
	Token   Token
	Request request.ID
	Key     KeyID
	Slice   request.KeySlice
	// Epoch is the owner's epoch that the router knew when it sent the attempt. An attempt for
	// another epoch is refused, however late it arrives.
	Epoch    Epoch
	Digest   request.Digest
	Deadline time.Time
	// AskOnly reports whether this attempt must not run and only asks for the result of an earlier
	// one.
	AskOnly bool
	// RouterLogAge is the time since the router could last reach the log.
	RouterLogAge time.Duration
}

// DecisionKind is the kind of a Decision.
type DecisionKind string

// The kinds of decision.
const (
	// DecisionWait means that an Action for the attempt follows.
	DecisionWait DecisionKind = "wait"
	// DecisionRun means that the attempt must call Begin and run at once.
	DecisionRun DecisionKind = "run"
	// DecisionAnswer means that the answer is final.
	DecisionAnswer DecisionKind = "answer"
)

// Decision is the first result of an attempt.
type Decision struct {
	Kind   DecisionKind
	Answer Answer
}

// Reasons returned to callers.
const (
	// ReasonNotOwner means that this process does not own the slice in the attempt's epoch, or has
	// not caught up with the journal yet.
	ReasonNotOwner = "not-owner"
	// ReasonMoving means that the slice is being handed over to another owner.
	ReasonMoving = "moving"
	// ReasonNoJournal means that the log is unreachable and that running without it is disabled.
	ReasonNoJournal = "journal-unreachable"
	// ReasonJournalWait means that the log is unreachable, but not yet for long enough from the
	// router.
	ReasonJournalWait = "journal-waiting"
	// ReasonFull means that the table has reached its maximum number of keys or size of answers.
	ReasonFull = "table-full"
	// ReasonKeyReused means that the key was sent earlier with a different request.
	ReasonKeyReused = "key-reused"
	// ReasonForbidden means that the request did not run and must not run any more.
	ReasonForbidden = "forbidden"
	ReasonDeadline  = "deadline"
	// ReasonUnsettled means that another owner may have run the key without a journal.
	ReasonUnsettled = "unsettled"
	// ReasonOtherOwner means that another owner claimed the key and may have run it.
	ReasonOtherOwner = "claimed-before"
	// ReasonRunning means that the key may still run after the attempt's deadline.
	ReasonRunning = "running"
	ReasonCut     = "upstream-cut"
)

func notRun(reason string) Decision {
	return Decision{Kind: DecisionAnswer, Answer: Answer{Outcome: request.OutcomeNotRun, Reason: reason}}
}

func unknown(reason string) Decision {
	return Decision{Kind: DecisionAnswer, Answer: Answer{Outcome: request.OutcomeUnknown, Reason: reason}}
}

// Submit decides on an arriving attempt. A process that does not own the slice in the attempt's
// epoch refuses it as not run. It answers a query with unknown, because the earlier attempt may
// have run at the owner. The refusal of forbidden requests does not apply to queries, which run
// nothing.
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
		return c.submitKnown(now, a, e)
	}
	return c.submitNew(now, a, sl)
}

// submitNew decides on a key that is not in the table.
func (c *Core) submitNew(now time.Time, a Attempt, sl *sliceState) Decision {
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
	if c.journalUnreachable(now) {
		if !c.mayRunUnjournaled(a) {
			return notRun(c.noJournalReason())
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

// mayRunUnjournaled reports whether the router of an attempt cannot reach the log either. A router
// that reaches the log knows a newer owner; one that does not registers the keys it sends
// meanwhile.
func (c *Core) mayRunUnjournaled(a Attempt) bool {
	return c.cfg.OutageAfter > 0 && a.RouterLogAge > c.cfg.OutageAfter
}

// noJournalReason returns the reason for a refusal without a journal: the request may be accepted
// later, or not at all.
func (c *Core) noJournalReason() string {
	if c.cfg.OutageAfter == 0 {
		return ReasonNoJournal
	}
	return ReasonJournalWait
}

// Tick refuses the attempts that wait for an unreachable journal. A claim in flight may still be
// read later; its key then counts as not run.
func (c *Core) Tick(now time.Time) {
	if !c.journalUnreachable(now) {
		return
	}
	for _, e := range c.entries {
		if e.state == StatePending && e.runner == 0 && !e.journaled && len(e.waiting) > 0 {
			c.refuse(e, c.noJournalReason())
			c.releaseIdle(e)
		}
	}
}

func (e *entry) wait(a Attempt) {
	e.waiting = append(e.waiting, waiter{token: a.Token, request: a.Request, deadline: a.Deadline, askOnly: a.AskOnly})
}

// journalUnreachable reports whether the log has been unreachable for too long to wait for it.
func (c *Core) journalUnreachable(now time.Time) bool {
	limit := c.cfg.OutageAfter
	if limit == 0 {
		limit = defaultJournalTimeout
	}
	return now.Sub(c.lastContact) > limit
}

// defaultJournalTimeout is how long claims wait for the log if running without it is disabled.
const defaultJournalTimeout = 5 * time.Second

// submitKnown decides on a key that is in the table.
func (c *Core) submitKnown(now time.Time, a Attempt, e *entry) Decision {
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
		return c.submitIdle(a, e)
	case StatePending:
	}
	if a.AskOnly {
		return c.cancelPending(a, e)
	}
	if c.slices[e.slice].frozen && !e.busy() {
		// The table was handed over with this key as not run: it belongs to the next owner now.
		return notRun(ReasonMoving)
	}
	if e.runner == 0 && c.journalUnreachable(now) && c.mayRunUnjournaled(a) {
		e.runner = a.Token
		return Decision{Kind: DecisionRun}
	}
	e.wait(a)
	return Decision{Kind: DecisionWait}
}

// submitIdle decides on a key that has not run and whose claim is in the journal. No new claim is
// needed, so the attempt may run at once.
func (c *Core) submitIdle(a Attempt, e *entry) Decision {
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

// cancelPending cancels the waiting attempts of the asker's request. If another request waits for
// the key too, or the key is about to run, the asker waits for the result.
func (c *Core) cancelPending(a Attempt, e *entry) Decision {
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
	c.releaseIdle(e)
	return notRun(ReasonForbidden)
}

// refuse answers all attempts that wait for a key with not-run. The first attempt of an asker may
// still be in flight, so its request is forbidden.
func (c *Core) refuse(e *entry, reason string) {
	for _, w := range e.waiting {
		if w.askOnly {
			c.forbidden[w.request] = w.deadline.Add(c.cfg.Lifetime)
		}
		c.actions = append(c.actions, Action{Kind: ActionResolve, Token: w.token, Answer: notRun(reason).Answer})
	}
	e.waiting = nil
}

func (c *Core) forbid(a Attempt) { c.forbidden[a.Request] = a.Deadline.Add(c.cfg.Lifetime) }

// releaseIdle handles a key that no attempt waits for. It is removed if its claim is unsent, and
// becomes idle if its claim is in the journal. While the claim is in flight, it stays unless the
// epoch has changed.
func (c *Core) releaseIdle(e *entry) {
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
