// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package expertswitch

import (
	"time"

	"fawnwinch.org/fawnwinch/models/expertmap"
	"fawnwinch.org/fawnwinch/models/group"
	"fawnwinch.org/fawnwinch/services"
)

// Phase is the stage of a coordinator's round.
type Phase string

// The phases. In each but PhaseIdle, the coordinator sends the message of the same name to all
// ranks.
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

// Config holds the time-outs and margins of a coordinator.
type Config struct {
	// Retry is the time after which an unanswered message is sent again.
	Retry time.Duration
	// Margin is the number of steps between the latest known step and the step of the switch.
	Margin group.Step
	// StageLimit is the time after which the stage phase is aborted.
	StageLimit time.Duration
	// HoldLimit is the time after which a promise or prepare phase ends. Ranks may hold the group
	// during these phases.
	HoldLimit time.Duration
}

// Result is the outcome of a round.
type Result string

// The results.
const (
	// ResultNone means that no round has ended.
	ResultNone Result = ""
	// ResultSwitched means that every rank has accepted the order to use the map.
	ResultSwitched Result = "switched"
	// ResultAborted means that every rank was released without a change.
	ResultAborted Result = "aborted"
	// ResultRecovered means that nothing of an earlier coordinator's round is left, and that there
	// was no map to propose.
	ResultRecovered Result = "recovered"
	// ResultReplaced means that a later coordinator has taken over.
	ResultReplaced Result = "replaced"
	// ResultTimedOut means that the promise phase timed out and nothing was started: not every rank
	// answered, or the step of an earlier switch order had not begun.
	ResultTimedOut Result = "given-up"
)

// Coordinator leads one group through a change of map. It does no I/O and reads no clock.
type Coordinator struct {
	cfg         Config
	group       group.ID
	self        group.Rank
	incarnation Incarnation
	ranks       int

	phase       Phase
	ballot      Ballot
	highestSeen Ballot
	proposal    *expertmap.Map
	// target and step are the map and step of the current prepare, commit or abort.
	target expertmap.Version
	step   group.Step
	// recovering reports whether target is from an earlier coordinator.
	recovering bool
	waiting    map[group.Rank]bool
	states     map[group.Rank]services.EngineState
	phaseStart time.Time
	sentAt     time.Time
	result     Result
}

// NewCoordinator returns an idle coordinator beside rank self of a group. The incarnation must be
// random for each.
func NewCoordinator(cfg Config, id group.ID, self group.Rank, incarnation Incarnation, ranks int) *Coordinator {
	return &Coordinator{cfg: cfg, group: id, self: self, incarnation: incarnation, ranks: ranks, phase: PhaseIdle, states: map[group.Rank]services.EngineState{}}
}

// Phase returns the phase of the current round.
func (c *Coordinator) Phase() Phase { return c.phase }

// Result returns the outcome of the last round and clears it.
func (c *Coordinator) Result() Result {
	r := c.result
	c.result = ResultNone
	return r
}

// States returns the states that the ranks reported in their last answers.
func (c *Coordinator) States() map[group.Rank]services.EngineState { return c.states }

// ObserveBallot records a ballot that another process uses.
func (c *Coordinator) ObserveBallot(b Ballot) { c.highestSeen = max(c.highestSeen, b) }

// Start begins a round that completes or aborts an earlier coordinator's round and then proposes a
// map. With a nil map it proposes nothing. The proposal gets its version from the ballot.
func (c *Coordinator) Start(now time.Time, proposal *expertmap.Map) []Send {
	if c.phase != PhaseIdle {
		return nil
	}
	c.ballot = NewBallot(Counter(max(c.highestSeen, c.ballot))+1, c.self, c.incarnation)
	c.highestSeen = max(c.highestSeen, c.ballot)
	c.proposal = proposal
	if proposal != nil {
		c.proposal = proposal.Clone()
		c.proposal.Version = expertmap.Version(c.ballot)
	}
	return c.enter(now, PhasePromise)
}

// enter begins a phase and returns its messages to all ranks.
func (c *Coordinator) enter(now time.Time, p Phase) []Send {
	c.phase, c.phaseStart = p, now
	c.waiting = map[group.Rank]bool{}
	for r := range c.ranks {
		c.waiting[group.Rank(r)] = true
	}
	return c.send(now)
}

// send returns the phase's message for every rank that has not answered.
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

// Tick resends unanswered messages and ends a phase that takes too long. A commit or an abort has
// no time-out.
func (c *Coordinator) Tick(now time.Time) []Send {
	if c.phase == PhaseIdle {
		return nil
	}
	elapsed := now.Sub(c.phaseStart)
	switch {
	case c.phase == PhasePromise && elapsed >= c.cfg.HoldLimit:
		c.end(ResultTimedOut)
		return nil
	case c.phase == PhaseStage && elapsed >= c.cfg.StageLimit, c.phase == PhasePrepare && elapsed >= c.cfg.HoldLimit:
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

// Receive processes a rank's answer and returns the messages to send next. From late and duplicate
// answers it uses only the highest ballot that the rank obeys.
func (c *Coordinator) Receive(now time.Time, from group.Rank, r Reply) []Send {
	c.highestSeen = max(c.highestSeen, r.Promised)
	if c.phase == PhaseIdle || r.Ballot != c.ballot || r.Kind != c.message().Kind || !c.waiting[from] {
		return nil
	}
	if !r.OK {
		return c.handleRefusal(now, r)
	}
	delete(c.waiting, from)
	c.states[from] = r.State
	if len(c.waiting) > 0 {
		return nil
	}
	return c.advance(now)
}

// handleRefusal ends the round if the rank obeys a later coordinator, and otherwise aborts a stage
// or prepare phase. In the other phases the message is sent again after the retry interval.
func (c *Coordinator) handleRefusal(now time.Time, r Reply) []Send {
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
		return c.resolveEarlierRound(now)
	case PhaseStage:
		c.target, c.step = c.proposal.Version, c.latestStep()+c.cfg.Margin
		return c.enter(now, PhasePrepare)
	case PhasePrepare:
		return c.enter(now, PhaseCommit)
	case PhaseCommit, PhaseAbort:
		return c.completePhase(now)
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

// resolveEarlierRound decides how to end an earlier coordinator's round from the states that all
// ranks reported. Ranks get the switch order only once all of them hold, and a hold ends only by an
// order to switch or to release. So a single switch order shows that the decision was to commit.
func (c *Coordinator) resolveEarlierRound(now time.Time) []Send {
	held, switching := false, false
	for _, st := range c.states {
		if st.SwitchMap != 0 {
			c.target, c.step, switching = st.SwitchMap, st.SwitchAt, true
		}
		held = held || st.Hold != 0
	}
	switch {
	case switching && held:
		// Some ranks have the switch order and others still hold: the others get it too.
		c.recovering = true
		return c.enter(now, PhaseCommit)
	case switching:
		// No rank holds any more, so all have received the switch order, but not all have begun its
		// step. They must begin it before a new round starts.
		c.waitForStep(now)
		return nil
	case held:
		c.recovering = true
		return c.enter(now, PhaseAbort)
	default:
		return c.propose(now)
	}
}

// waitForStep has all ranks asked again after the retry interval.
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

// completePhase ends a commit or an abort. After an earlier coordinator's round, a new promise
// phase leads to this coordinator's own proposal.
func (c *Coordinator) completePhase(now time.Time) []Send {
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
