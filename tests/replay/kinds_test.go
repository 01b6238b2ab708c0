// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package replay

import (
	"slices"
	"time"

	"fawnwinch.org/fawnwinch/models/upstream"
	"fawnwinch.org/fawnwinch/models/urgency"
	"fawnwinch.org/fawnwinch/services/admission"
	"fawnwinch.org/fawnwinch/services/balance"
)

// kind is a kind of callers: those of one route.
type kind struct {
	name string
	// level is the level of the route.
	level           urgency.Level
	goal, pauseGoal time.Duration
	// share is the fraction of the callers that are of this kind, and value the credit for an answer
	// in time.
	share, value float64
	// factor returns the rate at a time as a multiple of the usual one; nil means 1.
	factor func(at time.Duration) float64
	// insistent callers retry without waiting until their deadline.
	insistent bool
}

const (
	// lateFraction is the fraction of the credit that late answers earn.
	lateFraction = 1.0 / 3
	// insistentDelay is the time until an insistent caller retries. With 20 ms a replay whose routers
	// reject immediately takes minutes.
	insistentDelay = 100 * time.Millisecond
)

// rate returns the rate of the kind at a time, as a fraction of the usual rate of all kinds.
func (k *kind) rate(at time.Duration) float64 {
	if k.factor == nil {
		return k.share
	}
	return k.share * k.factor(at)
}

// silentTimeout returns how long a caller stays connected without an event.
func (k *kind) silentTimeout() time.Duration { return max(2*time.Second, 4*k.goal, 8*k.pauseGoal) }

// kindState is the state of a caller of some kind.
type kindState struct {
	kind *kind
	// at is the router of the latest try, and tryAt its time. held is the time that earlier tries
	// were held, and rejectedAt the time of the first rejection.
	at         *router
	tryAt      time.Time
	held       time.Duration
	rejectedAt time.Time
	// open reports whether the latest try has not been rejected.
	open bool
	// served reports whether the caller got its whole answer, and inTime whether that was in time at
	// the first try. credit is what it earned.
	served, inTime bool
	credit         float64
}

// kindsRate returns the rate of all kinds at a time, as a multiple of the usual one.
func (p *pattern) kindsRate(at time.Duration) float64 {
	if len(p.kinds) == 0 {
		return 1
	}
	sum := 0.0
	for _, k := range p.kinds {
		sum += k.rate(at)
	}
	return sum
}

// drawKind returns the kind of a caller that arrives at a time, for a random number below 1.
func (p *pattern) drawKind(at time.Duration, random float64) *kind {
	left := random * p.kindsRate(at)
	for _, k := range p.kinds {
		if left -= k.rate(at); left < 0 {
			return k
		}
	}
	return p.kinds[len(p.kinds)-1]
}

// meanEvents returns the mean number of events of an answer.
func (p *pattern) meanEvents() int {
	if p.events > 0 {
		return p.events
	}
	return meanEvents
}

// levels returns the number of levels of the kinds.
func (p *pattern) levels() int {
	levels := 0
	for _, k := range p.kinds {
		levels = max(levels, int(k.level)+1)
	}
	return levels
}

// setKind sets the goals, the urgency and the limit of a request.
func (w *world) setKind(x *admission.Request, k *kind) {
	x.Route, x.Goal, x.PauseGoal = k.name, k.goal, k.pauseGoal
	x.Levels, x.Level, x.Urgency = w.p.levels(), k.level, urgency.Urgency{Route: int(k.level)}
	x.Ask.MaxMean = balance.LevelMean(w.p.params, 1, k.pauseGoal, k.level, w.p.levels())
}

// beginTry starts a caller's try. The caller disconnects if it gets no event.
func (w *world) beginTry(c *caller, r *router) {
	c.at, c.tryAt, c.open, c.first, c.pause = r, w.now, true, 0, 0
	try := c.tries
	w.after(c.kind.silentTimeout(), func() {
		if c.open && c.tries == try && c.first == 0 {
			w.expire(c)
		}
	})
}

// leave ends the try of a caller that disconnects. A caller that was held for more than half of its
// time without an answer costs its value.
func (w *world) leave(c *caller) {
	if c.at.waiting[c.request] == c {
		c.at.queue.Leave(c.request)
		delete(c.at.waiting, c.request)
	}
	if c.open {
		c.held += w.now.Sub(c.tryAt)
	}
	c.open = false
	c.chargeHeld()
}

func (c *caller) chargeHeld() {
	if c.held > c.kind.silentTimeout()/2 {
		c.credit = -c.kind.value
	}
}

// rejectKind records a rejection, and reports whether nothing remains to be done: the caller
// retries immediately, or has given up.
func (w *world) rejectKind(c *caller, left time.Duration) bool {
	if c.rejectedAt.IsZero() {
		c.rejectedAt = w.now
	}
	c.held += w.now.Sub(c.tryAt)
	c.open = false
	switch {
	case left > 0 && c.kind.insistent:
		w.after(insistentDelay, func() { w.try(c) })
		return true
	case c.tries > 1 || left <= 0:
		c.chargeHeld()
	}
	return false
}

// finish records the end of an answer.
func (c *caller) finish() {
	c.served = true
	inTime := c.pause <= c.kind.pauseGoal
	early := c.rejectedAt.Sub(c.arrived) <= c.kind.goal/4
	switch {
	case inTime && c.tries == 1 && c.first <= c.kind.goal:
		c.inTime, c.credit = true, c.kind.value
	case inTime && c.tries == 2 && early && c.arrived.Add(c.first).Sub(c.tryAt) <= c.kind.goal:
		c.credit = c.kind.value * (1 + lateFraction) / 2
	default:
		c.credit = c.kind.value * lateFraction
	}
}

// breakGroup breaks a group: its streams end, and its unread requests may run elsewhere.
func breakGroup(g int) func(*world) {
	return func(w *world) {
		e := w.engines[g]
		e.broken = true
		for i := range e.ranks {
			streams := slices.Concat(e.ranks[i].running, e.ranks[i].waiting)
			e.ranks[i] = engineRank{}
			for _, s := range streams {
				w.cutOff(s)
			}
		}
	}
}

// cutOff ends a stream whose group has broken.
func (w *world) cutOff(s *stream) {
	c, run := s.caller, w.ups[s.rank].Run()
	s.router.inFlight[s.rank]--
	s.router.pool.Done(w.now, run, balance.ResultBroken, 0, s.started)
	c.stream = nil
	if c.done {
		return
	}
	if s.started {
		c.done = true
		w.res.lost++
		return
	}
	w.decide(c, s.router, map[upstream.ID]bool{run.ID: true})
}

// formGroup makes a broken group work again.
func formGroup(g int) func(*world) {
	return func(w *world) { w.engines[g].broken = false }
}

// loseCoordinator ends the reports of a group.
func loseCoordinator(g int) func(*world) {
	return func(w *world) { w.leaderGone[g] = true }
}

// replaceCoordinator starts a successor, which knows nothing.
func replaceCoordinator(g int) func(*world) {
	return func(w *world) {
		w.leaderGone[g] = false
		w.books[g] = balance.NewRouterRegistry(1 << 20)
	}
}
