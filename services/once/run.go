// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package once

import (
	"slices"
	"time"

	"fawnwinch.org/fawnwinch/models/request"
)

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
