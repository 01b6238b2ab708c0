// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package mapswitch brings all ranks of a group onto a new expert map in the same pass.
//
// A rank takes an armed map when the pass begins, and ranks do not compare maps. So the coordinator
// first holds the pass at one rank, which stops the whole group before it, then arms all ranks, and
// lets go only when every rank has confirmed. If one does not confirm in time, all are disarmed under a
// higher fence before the group goes on: an order whose answer was lost may be carried out seconds
// later, and is then refused by its fence, or because the pass has begun.
//
// The VM of a coordinator may freeze at any point, with the engine of its own rank, and then nobody can ask that engine
// whether it is armed. So that a successor can let the group go without it, the hold is at the next rank, and the
// coordinator's own rank, the owner of the change, begins to load first and is armed last, once all others have
// confirmed and the agent beside the holder has noted the announcement. Without that note the owner is not armed.
package mapswitch

import (
	"time"

	"fawnwinch.org/fawnwinch/models/expertmap"
	"fawnwinch.org/fawnwinch/models/group"
	"fawnwinch.org/fawnwinch/services"
)

// Stage is how far a change of map has got.
type Stage string

// The stages, in their order. A change that fails goes from StageArm to StageDisarm.
const (
	// StageSettleHold stops the group before a pass for which an earlier coordinator has armed ranks.
	StageSettleHold Stage = "settle-hold"
	// StageFence raises the fence at all ranks after a takeover.
	StageFence Stage = "fence"
	// StagePrepareOwner has the owner begin to load: it refuses older coordinators from then on, and is not armed by one.
	StagePrepareOwner Stage = "prepare-owner"
	StagePrepare      Stage = "prepare"
	StageHold         Stage = "hold"
	// StageArm arms all ranks but the owner, StageArmOwner the owner, after the agent of the holder was told.
	StageArm      Stage = "arm"
	StageAnnounce Stage = "announce"
	StageArmOwner Stage = "arm-owner"
	StageDisarm   Stage = "disarm"
	StageRelease  Stage = "release"
	// StageDone says that all ranks take the new map, StageFailed that none does.
	StageDone   Stage = "done"
	StageFailed Stage = "failed"
	// StageAbandoned says that the change was given up while experts were loaded.
	StageAbandoned Stage = "abandoned"
	// StageLost says that another coordinator has taken over.
	StageLost Stage = "lost"
)

const (
	// prepareTime bounds the loading of experts; it takes about a tenth of a second for each.
	prepareTime = 4 * time.Second
	// armTime bounds the time in which all ranks must confirm: the group may stand still meanwhile.
	armTime = 350 * time.Millisecond
	// lead is the number of passes between the last that has begun and the one that takes the map, and leadRanks the
	// number of ranks for each of which one more is left: to arm 63 ranks takes a coordinator with a quarter of a core
	// some 30 ms, in which a group would stand still.
	lead      = 1
	leadRanks = 32
	// unusedVersion is the last of the versions that a coordinator counts up.
	unusedVersion = 1<<32 - 1
	// maxHolds bounds how often a pass to hold is chosen anew because it has begun already.
	maxHolds = 8
)

// none is no rank.
const none group.Rank = -1

// Machine is one change of map. It does no I/O and reads no clock.
type Machine struct {
	// Fence is the authority of the coordinator. It rises when a change is taken back.
	Fence services.Fence

	stage Stage
	since time.Time
	epoch services.Epoch
	// self is the coordinator's own rank, holder the one that holds the group, and owner that of the coordinator whose
	// change it is. Without is a rank that does not answer and whose state follows from that of the others, or none.
	self, holder, owner, without group.Rank

	status  []services.RankStatus
	version expertmap.Version
	layers  []expertmap.Layer
	step    group.Step
	holds   int
	// heldAt is when the group was held; zero before.
	heldAt time.Time
	// release holds the pass to be let go at each rank that may hold one.
	release map[group.Rank]group.Step
	// done and sent tell for each rank whether it has confirmed the stage, and whether an order is on its way.
	done, sent []bool
	// fenced holds the time from which a rank is known to refuse lower fences, in StageDisarm.
	fenced []time.Time
	// failed says that the group must be let go without a new map.
	failed bool
}

// holderOf returns the rank that holds a group of some size for the change of an owner.
func holderOf(owner group.Rank, size int) group.Rank { return (owner + 1) % group.Rank(size) }

// Start returns the change of a group, as its ranks report it, to a new map. Self is the rank beside the
// coordinator; it holds the pass. Each machine needs a fence above that of the one before: otherwise a
// late order of that one could, for example, let go what this one holds.
func Start(now time.Time, f services.Fence, self group.Rank, status []services.RankStatus, v expertmap.Version, layers []expertmap.Layer) *Machine {
	m := newMachine(now, f, self, status)
	m.version, m.layers = v, layers
	m.holder = holderOf(self, len(status))
	m.enter(now, StagePrepareOwner)
	return m
}

func newMachine(now time.Time, f services.Fence, self group.Rank, status []services.RankStatus) *Machine {
	return &Machine{
		Fence: f, since: now, epoch: status[self].Epoch, self: self, holder: self, owner: self, without: none,
		status: status, release: map[group.Rank]group.Step{},
	}
}

// Stage returns how far the change has got.
func (m *Machine) Stage() Stage { return m.stage }

// HeldAt returns when the group was held for the change, or zero if it was not.
func (m *Machine) HeldAt() time.Time { return m.heldAt }

// Ended reports whether nothing more is to be done.
func (m *Machine) Ended() bool {
	return m.stage == StageDone || m.stage == StageFailed || m.stage == StageAbandoned || m.stage == StageLost
}

// arming reports whether ranks are being armed while the group is held.
func (m *Machine) arming() bool {
	return m.stage == StageArm || m.stage == StageAnnounce || m.stage == StageArmOwner
}

// Holding reports whether the group is held, or about to be, for the change.
func (m *Machine) Holding() bool {
	return m.stage == StageHold || m.arming() || m.stage == StageRelease
}

// Loading reports whether ranks still load experts for the change.
func (m *Machine) Loading() bool { return m.stage == StagePrepareOwner || m.stage == StagePrepare }

// Abandon gives the change up if experts are still being loaded. Nothing is armed or held for it yet, and a prepare
// that is still on its way is refused once a later version was prepared.
func (m *Machine) Abandon() {
	if m.Loading() {
		m.stage = StageAbandoned
	}
}

// Version returns the version of the new map.
func (m *Machine) Version() expertmap.Version { return m.version }

func (m *Machine) enter(now time.Time, s Stage) {
	m.stage, m.since = s, now
	m.done, m.sent = make([]bool, len(m.status)), make([]bool, len(m.status))
	m.fenced = make([]time.Time, len(m.status))
	if s == StageHold {
		m.step = max(m.lastStep()+m.lead(), m.step+1)
	}
	for r := range m.done {
		m.done[r] = !m.concerns(group.Rank(r))
	}
	m.advance(now)
}

// lead returns how many passes after the last that has begun the map is taken.
func (m *Machine) lead() group.Step { return group.Step(lead + len(m.status)/leadRanks) }

// lastStep returns the last pass that any rank is known to have begun.
func (m *Machine) lastStep() group.Step {
	var last group.Step
	for _, s := range m.status {
		last = max(last, s.Step)
	}
	return last
}

// Answer takes in what became of an order that Sends returned.
func (m *Machine) Answer(now time.Time, s Send, a services.RankAnswer) {
	if m.Ended() || !m.concerns(s.Rank) || s.Begin != (m.stage == StagePrepareOwner) || s.Order.Kind != m.order(s.Rank).Kind || s.Order.Fence != m.Fence || (m.stage != StageRelease && s.Order.Step != m.step) {
		return
	}
	m.sent[s.Rank] = false
	switch a {
	case services.RankDone:
		m.confirm(now, s.Rank)
	case services.RankFenced:
		m.stage = StageLost
		return
	case services.RankConflict:
		m.conflict(now, s.Rank)
	case services.RankUnknown:
	}
	m.advance(now)
}

// confirm notes that an order holds at a rank. A rank counts as fenced or disarmed only once its status was
// asked for after it had taken the fence: an earlier coordinator may have armed it until then.
func (m *Machine) confirm(now time.Time, r group.Rank) {
	switch m.stage {
	case StageFence, StageDisarm:
	default:
		m.done[r] = true
		return
	}
	m.fenced[r], m.sent[r] = now, true
}

func (m *Machine) conflict(now time.Time, r group.Rank) {
	switch m.stage {
	case StagePrepareOwner, StagePrepare:
		m.stage = StageFailed
	case StageHold:
		if m.holds++; m.holds > maxHolds {
			m.stage = StageFailed
			return
		}
		m.enter(now, StageHold)
	case StageSettleHold:
		// The pass has begun, so nothing is armed for it any more.
		m.enter(now, StageFence)
	case StageArm, StageAnnounce, StageArmOwner:
		m.takeBack(now)
	case StageFence, StageDisarm, StageRelease:
		m.confirm(now, r)
	case StageDone, StageFailed, StageAbandoned, StageLost:
	}
}

// takeBack disarms all ranks under a higher fence.
func (m *Machine) takeBack(now time.Time) {
	m.failed = true
	m.Fence++
	m.enter(now, StageDisarm)
}

// Observe takes in what a rank reports, and when it was asked.
func (m *Machine) Observe(now, asked time.Time, r group.Rank, s services.RankStatus) {
	if m.Ended() {
		return
	}
	born := m.status[r].Born
	if s.Born < born {
		return // told before the rank started again
	}
	if s.Epoch != m.epoch || born != 0 && s.Born != born {
		// The group has formed anew, or is about to because the rank has started again: what was prepared, armed or held
		// there is gone.
		m.stage = StageFailed
		return
	}
	m.status[r] = s
	switch {
	case m.stage == StagePrepare && s.Prepared == m.version:
		m.done[r] = true
	case m.stage == StageFence && !m.fenced[r].IsZero() && asked.After(m.fenced[r]):
		m.done[r] = true
	case m.stage == StageDisarm && !m.fenced[r].IsZero() && asked.After(m.fenced[r]):
		m.done[r] = s.Armed == 0
		m.sent[r] = m.done[r]
	}
	m.advance(now)
}

// Tick notes that time has passed.
func (m *Machine) Tick(now time.Time) {
	switch {
	case m.Loading() && now.Sub(m.since) > prepareTime:
		m.stage = StageFailed
	case m.arming() && now.Sub(m.since) > armTime:
		m.takeBack(now)
	}
}

// advance enters the next stage when all ranks have confirmed.
func (m *Machine) advance(now time.Time) {
	if m.Ended() || !m.complete() {
		return
	}
	switch m.stage {
	case StageFence:
		m.decide(now)
	case StagePrepareOwner:
		m.enter(now, StagePrepare)
	case StagePrepare:
		m.enter(now, StageHold)
	case StageHold:
		m.release[m.holder], m.heldAt = m.step, now
		m.enter(now, StageArm)
	case StageSettleHold:
		m.release[m.self] = m.step
		m.enter(now, StageDisarm)
	case StageArm:
		m.enter(now, StageAnnounce)
	case StageAnnounce:
		m.enter(now, StageArmOwner)
	case StageArmOwner, StageDisarm:
		m.enter(now, StageRelease)
	case StageRelease:
		m.stage = StageDone
		if m.failed {
			m.stage = StageFailed
		}
	case StageDone, StageFailed, StageAbandoned, StageLost:
	}
}

func (m *Machine) complete() bool {
	for _, d := range m.done {
		if !d {
			return false
		}
	}
	return true
}
