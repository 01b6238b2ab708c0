// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package once

import (
	"slices"
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
	digest uint64
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

// Attempt is one arrival of a request that may not be repeated.
type Attempt struct {
	Token   Token
	Request request.ID
	Key     KeyID
	Slice   request.Slice
	// Epoch is the owner's epoch that the router knew when it sent the attempt. An attempt that was
	// meant for another epoch is refused, however late it comes.
	Epoch    Epoch
	Digest   uint64
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

// Withdraw ends the wait of an attempt whose time is over. It reports whether the key may
// still run, or has run, for another attempt; if not, the attempt has not run and will not.
func (c *Core) Withdraw(key KeyID, t Token) (mayRun bool) {
	e, ok := c.entries[key]
	if !ok {
		return false
	}
	asked, hasAsked := e.leave(t)
	if e.state == StateRunning || e.state == StateDone || e.state == StateForeign {
		return true
	}
	if e.runner == t {
		e.runner = 0
		c.promote(e)
	}
	if e.runner == 0 && !e.wanted() {
		if hasAsked {
			c.forbidden[asked.request] = asked.deadline.Add(c.cfg.Lifetime)
		}
		c.refuse(e, ReasonForbidden)
		c.settleIdle(e)
		return false
	}
	return true
}

// leave takes a waiter out, and returns it if it was an asker.
func (e *entry) leave(t Token) (waiter, bool) {
	i := slices.IndexFunc(e.waiting, func(w waiter) bool { return w.token == t })
	if i < 0 {
		return waiter{}, false
	}
	w := e.waiting[i]
	e.waiting = slices.Delete(e.waiting, i, i+1)
	return w, w.ask
}

// wanted reports whether an attempt waits to run the key.
func (e *entry) wanted() bool {
	return slices.ContainsFunc(e.waiting, func(w waiter) bool { return !w.ask })
}

// promote starts the next attempt that wants to run a claimed key.
func (c *Core) promote(e *entry) {
	i := slices.IndexFunc(e.waiting, func(w waiter) bool { return !w.ask })
	if e.runner != 0 || i < 0 || !e.journaled {
		return
	}
	e.runner = e.waiting[i].token
	e.waiting = slices.Delete(e.waiting, i, i+1)
	c.actions = append(c.actions, Action{Kind: ActionStart, Token: e.runner})
}

// Begin is asked just before the effect: it reports whether the attempt may run now.
// After false the attempt has not run and will not.
func (c *Core) Begin(now time.Time, a Attempt) bool {
	e, ok := c.entries[a.Key]
	if !ok || e.runner != a.Token || e.state != StatePending {
		return false
	}
	sl := &c.slices[e.slice]
	_, forbidden := c.forbidden[a.Request]
	if sl.owner != c.self || sl.epoch != e.epoch || forbidden || !now.Before(a.Deadline) {
		c.Withdraw(a.Key, a.Token)
		return false
	}
	e.state = StateRunning
	return true
}

// Finish records how a running attempt ended. A not-run answer frees the key for another attempt.
func (c *Core) Finish(now time.Time, key KeyID, answer Answer) {
	e, ok := c.entries[key]
	if !ok || e.state != StateRunning {
		return
	}
	e.at = now
	e.runner = 0
	if answer.Outcome == request.OutcomeNotRun {
		e.state = StatePending
		c.promote(e)
		if e.runner == 0 {
			c.refuse(e, answer.Reason)
			c.settleIdle(e)
		}
		return
	}
	e.state, e.answer = StateDone, answer
	c.answerBytes += len(answer.Body)
	for _, w := range e.waiting {
		c.actions = append(c.actions, Action{Kind: ActionResolve, Token: w.token, Answer: answer})
	}
	e.waiting = nil
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
