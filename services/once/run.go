// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package once

import (
	"slices"
	"time"

	"fawnwinch.org/fawnwinch/models/request"
)

// Withdraw ends the wait of an attempt whose deadline has passed. It reports whether the key may
// have run or may still run for another attempt; if not, the attempt has not run and never will.
func (c *Core) Withdraw(key KeyID, t Token) (mayRun bool) {
	e, ok := c.entries[key]
	if !ok {
		return false
	}
	asked, hasAsked := e.removeWaiter(t)
	if e.state == StateRunning || e.state == StateDone || e.state == StateForeign {
		return true
	}
	if e.runner == t {
		e.runner = 0
		c.promote(e)
	}
	if e.runner == 0 && !e.hasRunWaiter() {
		if hasAsked {
			c.forbidden[asked.request] = asked.deadline.Add(c.cfg.Lifetime)
		}
		c.refuse(e, ReasonForbidden)
		c.releaseIdle(e)
		return false
	}
	return true
}

// removeWaiter removes a waiter and returns it, and whether it only asks for the result of an
// earlier attempt.
func (e *entry) removeWaiter(t Token) (waiter, bool) {
	i := slices.IndexFunc(e.waiting, func(w waiter) bool { return w.token == t })
	if i < 0 {
		return waiter{}, false
	}
	w := e.waiting[i]
	e.waiting = slices.Delete(e.waiting, i, i+1)
	return w, w.askOnly
}

// hasRunWaiter reports whether any attempt waits to run the key.
func (e *entry) hasRunWaiter() bool {
	return slices.ContainsFunc(e.waiting, func(w waiter) bool { return !w.askOnly })
}

// promote starts the next attempt that waits to run a claimed key.
func (c *Core) promote(e *entry) {
	i := slices.IndexFunc(e.waiting, func(w waiter) bool { return !w.askOnly })
	if e.runner != 0 || i < 0 || !e.journaled {
		return
	}
	e.runner = e.waiting[i].token
	e.waiting = slices.Delete(e.waiting, i, i+1)
	c.actions = append(c.actions, Action{Kind: ActionStart, Token: e.runner})
}

// Begin must be called just before an attempt runs: it reports whether the attempt may run now.
// If not, the attempt has not run and never will.
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

// Finish records the result of a running attempt. After a not-run answer another attempt may run.
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
			c.releaseIdle(e)
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
