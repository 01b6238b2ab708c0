// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package expertswitch

import (
	"time"

	"fawnwinch.org/fawnwinch/models/expertmap"
	"fawnwinch.org/fawnwinch/models/group"
	"fawnwinch.org/fawnwinch/services"
)

// Phase is how far a coordinator has come.
type Phase string

// The phases.
const (
	PhaseIdle    Phase = "idle"
	PhasePromise Phase = "promise"
	PhaseStage   Phase = "stage"
	PhasePrepare Phase = "prepare"
	PhaseCommit  Phase = "commit"
	PhaseAbort   Phase = "abort"
)

// Send is a message to one rank.
type Send struct {
	To      group.Rank
	Message Message
}

// Config holds the times of a coordinator.
type Config struct {
	// Retry is the time after which an unanswered message is sent again.
	Retry time.Duration
	// Margin is the number of steps between the latest known step and the step of the switch.
	Margin group.Step
	// StageLimit is the time after which a stage is given up.
	StageLimit time.Duration
	// HoldLimit is the time after which a promise or a prepare is given up: ranks may be holding.
	HoldLimit time.Duration
}

// Result is how a round ended.
type Result string

// The results.
const (
	// ResultNone means that no round has ended.
	ResultNone Result = ""
	// ResultSwitched means that every rank was told to use the map.
	ResultSwitched Result = "switched"
	// ResultAborted means that every rank was let go without a change.
	ResultAborted Result = "aborted"
	// ResultRecovered means that a round of an earlier coordinator was ended, one way or the other.
	ResultRecovered Result = "recovered"
	// ResultReplaced means that a later coordinator has taken over.
	ResultReplaced Result = "replaced"
	// ResultGivenUp means that not every rank could be asked; nothing was begun.
	ResultGivenUp Result = "given-up"
)

// Coordinator leads one group through a change of map. It does no I/O and reads no clock.
type Coordinator struct {
	cfg   Config
	group group.ID
	self  group.Rank
	run   Incarnation
	ranks int

	phase    Phase
	ballot   Ballot
	seen     Ballot
	proposal *expertmap.Map
	// target is the map and step of the present prepare, commit or abort.
	target expertmap.Version
	step   group.Step
	// recovering says that target is an earlier coordinator's.
	recovering bool
	waiting    map[group.Rank]bool
	states     map[group.Rank]services.EngineState
	since      time.Time
	sentAt     time.Time
	result     Result
}

// NewCoordinator returns an idle coordinator beside rank self of a group. Each has a random incarnation.
func NewCoordinator(cfg Config, id group.ID, self group.Rank, run Incarnation, ranks int) *Coordinator {
	return &Coordinator{cfg: cfg, group: id, self: self, run: run, ranks: ranks, phase: PhaseIdle, states: map[group.Rank]services.EngineState{}}
}

// Phase returns how far the present round has come.
func (c *Coordinator) Phase() Phase { return c.phase }

// Result returns how the last round ended, once.
func (c *Coordinator) Result() Result {
	r := c.result
	c.result = ResultNone
	return r
}

// States returns what the ranks told when they last answered.
func (c *Coordinator) States() map[group.Rank]services.EngineState { return c.states }

// Seen notes a ballot that another process uses.
func (c *Coordinator) Seen(b Ballot) { c.seen = max(c.seen, b) }

// Start begins a round that ends what an earlier coordinator left behind and then proposes a map.
// A nil map only ends what was left behind. The proposal gets its version from the ballot.
func (c *Coordinator) Start(now time.Time, proposal *expertmap.Map) []Send {
	if c.phase != PhaseIdle {
		return nil
	}
	c.ballot = NewBallot(Counter(max(c.seen, c.ballot))+1, c.self, c.run)
	c.seen = max(c.seen, c.ballot)
	c.proposal = proposal
	if proposal != nil {
		c.proposal = proposal.Clone()
		c.proposal.Version = expertmap.Version(c.ballot)
	}
	return c.enter(now, PhasePromise)
}

// enter begins a phase at every rank.
func (c *Coordinator) enter(now time.Time, p Phase) []Send {
	c.phase, c.since = p, now
	c.waiting = map[group.Rank]bool{}
	for r := range c.ranks {
		c.waiting[group.Rank(r)] = true
	}
	return c.send(now)
}

// send sends the phase's message to every rank that has not answered.
func (c *Coordinator) send(now time.Time) []Send {
	c.sentAt = now
	var out []Send
	for r := range c.ranks {
		if c.waiting[group.Rank(r)] {
			out = append(out, Send{To: group.Rank(r), Message: c.message()})
		}
	}
	return out
}

func (c *Coordinator) message() Message {
	m := Message{Group: c.group, Ballot: c.ballot, Step: c.step}
	switch c.phase {
	case PhasePromise:
		m.Kind = KindPromise
	case PhaseStage:
		m.Kind, m.Map = KindStage, c.proposal
	case PhasePrepare:
		m.Kind = KindPrepare
	case PhaseCommit:
		m.Kind = KindCommit
	case PhaseAbort:
		m.Kind = KindAbort
	case PhaseIdle:
	}
	if m.Map == nil {
		m.Map = &expertmap.Map{Group: c.group, Version: c.target}
	}
	return m
}

// Tick sends again what got no answer, and gives up a phase that takes too long.
// A commit or an abort is never given up.
func (c *Coordinator) Tick(now time.Time) []Send {
	if c.phase == PhaseIdle {
		return nil
	}
	took := now.Sub(c.since)
	switch {
	case c.phase == PhasePromise && took >= c.cfg.HoldLimit:
		c.end(ResultGivenUp)
		return nil
	case c.phase == PhaseStage && took >= c.cfg.StageLimit, c.phase == PhasePrepare && took >= c.cfg.HoldLimit:
		return c.enter(now, PhaseAbort)
	}
	if now.Sub(c.sentAt) < c.cfg.Retry {
		return nil
	}
	return c.send(now)
}

func (c *Coordinator) end(r Result) {
	c.phase, c.result, c.recovering = PhaseIdle, r, false
}

// Receive takes in a rank's answer.
func (c *Coordinator) Receive(now time.Time, from group.Rank, r Reply) []Send {
	c.seen = max(c.seen, r.Promised)
	if c.phase == PhaseIdle || r.Ballot != c.ballot || r.Kind != c.message().Kind || !c.waiting[from] {
		return nil
	}
	if !r.OK {
		return c.refused(now, r)
	}
	delete(c.waiting, from)
	c.states[from] = r.State
	if len(c.waiting) > 0 {
		return nil
	}
	return c.advance(now)
}

// refused deals with a rank that will not do as asked.
func (c *Coordinator) refused(now time.Time, r Reply) []Send {
	if r.Promised > c.ballot {
		c.end(ResultReplaced)
		return nil
	}
	if c.phase == PhaseStage || c.phase == PhasePrepare {
		return c.enter(now, PhaseAbort)
	}
	return nil
}

// advance begins the next phase once every rank has answered.
func (c *Coordinator) advance(now time.Time) []Send {
	switch c.phase {
	case PhasePromise:
		return c.learned(now)
	case PhaseStage:
		c.target, c.step = c.proposal.Version, c.latestStep()+c.cfg.Margin
		return c.enter(now, PhasePrepare)
	case PhasePrepare:
		return c.enter(now, PhaseCommit)
	case PhaseCommit, PhaseAbort:
		return c.finished(now)
	case PhaseIdle:
	}
	return nil
}

func (c *Coordinator) latestStep() group.Step {
	var s group.Step
	for _, st := range c.states {
		s = max(s, st.Step)
	}
	return s
}

// learned decides what to do about an earlier round, from what all ranks have told.
func (c *Coordinator) learned(now time.Time) []Send {
	held, told := false, false
	for _, st := range c.states {
		if st.SwitchMap != 0 {
			c.target, c.step, told = st.SwitchMap, st.SwitchAt, true
		}
		held = held || st.Hold != 0
	}
	switch {
	case told && held:
		// A rank was told to switch and another still holds: the decision was to commit.
		c.recovering = true
		return c.enter(now, PhaseCommit)
	case told:
		// All were told, and the step is still to come: it must pass before anything new begins.
		c.waitForStep(now)
		return nil
	case held:
		c.recovering = true
		return c.enter(now, PhaseAbort)
	default:
		return c.propose(now)
	}
}

// waitForStep asks all ranks again after a while.
func (c *Coordinator) waitForStep(now time.Time) {
	for r := range c.ranks {
		c.waiting[group.Rank(r)] = true
	}
	c.sentAt = now
}

// propose stages the new map, or ends the round if there is none.
func (c *Coordinator) propose(now time.Time) []Send {
	if c.proposal == nil {
		c.end(ResultRecovered)
		return nil
	}
	return c.enter(now, PhaseStage)
}

// finished ends a commit or an abort. After an earlier coordinator's round the own proposal follows.
func (c *Coordinator) finished(now time.Time) []Send {
	if c.recovering {
		c.recovering = false
		return c.enter(now, PhasePromise)
	}
	if c.phase == PhaseCommit {
		c.end(ResultSwitched)
	} else {
		c.end(ResultAborted)
	}
	return nil
}
