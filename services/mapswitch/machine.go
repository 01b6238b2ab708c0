// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package mapswitch switches all ranks of a group to a new expert map in the same pass.
//
// A rank switches to its armed map when the pass begins, and ranks do not compare maps. The
// coordinator therefore first holds the pass at one rank, which stops the whole group before that
// pass. It then arms all ranks and releases the hold only when every rank has confirmed. If a rank
// does not confirm in time, all ranks are disarmed under a higher fence before the group continues.
// An order whose answer was lost may still be executed seconds later; it is then refused because of
// its fence, or because the pass has begun.
//
// The coordinator's VM may freeze at any point, together with the engine of its own rank. No
// process can then ask that engine whether it is armed. A successor must still be able to release
// the group, so the hold is at the next rank. The coordinator's own rank, the owner of the change,
// begins to load first and is armed last: after all others have confirmed and the agent beside the
// holder has recorded the announcement. If that agent has no such record, the owner is not armed.
package mapswitch

import (
	"time"

	"fawnwinch.org/fawnwinch/models/expertmap"
	"fawnwinch.org/fawnwinch/models/group"
	"fawnwinch.org/fawnwinch/services"
)

// Stage is the progress of a change of map.
type Stage string

// The stages, in order. A change that fails goes from StageArm to StageDisarm.
const (
	// StageResolveHold stops the group before a pass for which an earlier coordinator has armed
	// ranks.
	StageResolveHold Stage = "settle-hold"
	// StageFence raises the fence at all ranks after a takeover.
	StageFence Stage = "fence"
	// StagePrepareOwner has the owner begin to load. From then on it refuses older coordinators, so
	// none of them can arm it.
	StagePrepareOwner Stage = "prepare-owner"
	StagePrepare      Stage = "prepare"
	StageHold         Stage = "hold"
	// StageArm arms all ranks but the owner. StageArmOwner arms the owner, after StageAnnounce has
	// notified the agent of the holder.
	StageArm      Stage = "arm"
	StageAnnounce Stage = "announce"
	StageArmOwner Stage = "arm-owner"
	StageDisarm   Stage = "disarm"
	StageRelease  Stage = "release"
	// StageDone means that all ranks switch to the new map, StageFailed that none does.
	StageDone   Stage = "done"
	StageFailed Stage = "failed"
	// StageAbandoned means that the change was abandoned while experts were being loaded.
	StageAbandoned Stage = "abandoned"
	// StageLost means that another coordinator has taken over.
	StageLost Stage = "lost"
)

const (
	// prepareTimeout bounds the loading of experts; each takes about a tenth of a second.
	prepareTimeout = 4 * time.Second
	// armTimeout bounds the time until all ranks have confirmed; the group may be stopped
	// meanwhile.
	armTimeout = 350 * time.Millisecond
	// baseLeadPasses is the number of passes from the last one begun to the one that uses the new
	// map. One more pass is added per ranksPerLeadPass ranks: a coordinator with a quarter of a
	// core needs about 30 ms to arm 63 ranks, and the group would be stopped for that time.
	baseLeadPasses   = 1
	ranksPerLeadPass = 32
	// unusedVersion is the highest value of a version's counter; no coordinator assigns it.
	unusedVersion = 1<<32 - 1
	// maxHoldRetries bounds the number of retries with a later pass because the pass to hold had
	// already begun.
	maxHoldRetries = 8
)

// noRank stands for no rank.
const noRank group.Rank = -1

// Machine is one change of map. It does no I/O and reads no clock.
type Machine struct {
	// Fence is the authority of the coordinator. It is raised when a change is rolled back.
	Fence services.Fence

	stage Stage
	since time.Time
	epoch services.Epoch
	// self is the coordinator's own rank and holder the rank that holds the group. owner is the
	// rank of the coordinator that started the change. excluded is a rank that does not answer and
	// whose state follows from that of the others, or none.
	self, holder, owner, excluded group.Rank

	status      []services.RankStatus
	version     expertmap.Version
	layers      []expertmap.Layer
	step        group.Step
	holdRetries int
	// heldAt is the time at which the group was held, or zero.
	heldAt time.Time
	// release holds the pass to release at each rank that may hold one.
	release map[group.Rank]group.Step
	// done and sent report for each rank whether it has confirmed the stage and whether an order is
	// in flight.
	done, sent []bool
	// fencedAt holds the time from which a rank is known to refuse lower fences, in StageFence and
	// StageDisarm.
	fencedAt []time.Time
	// failed reports whether the group must be released without a new map.
	failed bool
}

// holderOf returns the rank that holds a group of the given size for an owner's change.
func holderOf(owner group.Rank, size int) group.Rank { return (owner + 1) % group.Rank(size) }

// Start begins the change of a group to a new map; status is what its ranks report. self is the
// rank beside the coordinator; the next rank holds the pass. Each machine needs a higher fence than
// the one before it. Otherwise a late order of the earlier machine could, for example, release the
// hold of this one.
func Start(now time.Time, f services.Fence, self group.Rank, status []services.RankStatus, v expertmap.Version, layers []expertmap.Layer) *Machine {
	m := newMachine(now, f, self, status)
	m.version, m.layers = v, layers
	m.holder = holderOf(self, len(status))
	m.enter(now, StagePrepareOwner)
	return m
}

func newMachine(now time.Time, f services.Fence, self group.Rank, status []services.RankStatus) *Machine {
	return &Machine{
		Fence: f, since: now, epoch: status[self].Epoch, self: self, holder: self, owner: self, excluded: noRank,
		status: status, release: map[group.Rank]group.Step{},
	}
}

// Stage returns the current stage.
func (m *Machine) Stage() Stage { return m.stage }

// HeldAt returns the time at which the group was held for the change, or zero if it was not.
func (m *Machine) HeldAt() time.Time { return m.heldAt }

// Ended reports whether the change has reached a final stage.
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

// Loading reports whether ranks are still loading experts for the change.
func (m *Machine) Loading() bool { return m.stage == StagePrepareOwner || m.stage == StagePrepare }

// Abandon ends the change if experts are still being loaded. Nothing is armed or held for it yet,
// and a prepare order still in flight is refused once a later version has been prepared.
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
	m.fencedAt = make([]time.Time, len(m.status))
	if s == StageHold {
		m.step = max(m.lastStep()+m.leadPasses(), m.step+1)
	}
	for r := range m.done {
		m.done[r] = !m.addresses(group.Rank(r))
	}
	m.advance(now)
}

// leadPasses returns the number of passes from the last one begun to the one that uses the new map.
func (m *Machine) leadPasses() group.Step {
	return group.Step(baseLeadPasses + len(m.status)/ranksPerLeadPass)
}

// lastStep returns the last pass that any rank is known to have begun.
func (m *Machine) lastStep() group.Step {
	var last group.Step
	for _, s := range m.status {
		last = max(last, s.Step)
	}
	return last
}

// HandleAnswer processes the result of an order that TakeOrders returned. It ignores the results of
// orders from an earlier stage, or with an earlier step or fence.
func (m *Machine) HandleAnswer(now time.Time, s Send, a services.RankAnswer) {
	if m.Ended() || !m.addresses(s.Rank) || s.Begin != (m.stage == StagePrepareOwner) || s.Order.Kind != m.order(s.Rank).Kind || s.Order.Fence != m.Fence || (m.stage != StageRelease && s.Order.Step != m.step) {
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

// confirm records that a rank has executed an order. A rank counts as fenced or disarmed only by a
// status requested after it accepted the fence: until then an earlier coordinator may have armed
// it.
func (m *Machine) confirm(now time.Time, r group.Rank) {
	switch m.stage {
	case StageFence, StageDisarm:
	default:
		m.done[r] = true
		return
	}
	m.fencedAt[r], m.sent[r] = now, true
}

// conflict handles the answer that an order conflicts with the state of a rank. A rank that cannot
// load the map ends the change. A hold conflicts if its pass has begun, so it is retried with a
// later pass. If a rank can no longer be armed, or the agent of the holder has no record of the
// change, the change is rolled back. A rank that has nothing to disarm or release counts as
// confirmed.
func (m *Machine) conflict(now time.Time, r group.Rank) {
	switch m.stage {
	case StagePrepareOwner, StagePrepare:
		m.stage = StageFailed
	case StageHold:
		if m.holdRetries++; m.holdRetries > maxHoldRetries {
			m.stage = StageFailed
			return
		}
		m.enter(now, StageHold)
	case StageResolveHold:
		// The pass has begun, so no rank is still armed for it. StageFence reads the states again.
		m.enter(now, StageFence)
	case StageArm, StageAnnounce, StageArmOwner:
		m.rollBack(now)
	case StageFence, StageDisarm, StageRelease:
		m.confirm(now, r)
	case StageDone, StageFailed, StageAbandoned, StageLost:
	}
}

// rollBack starts to disarm all ranks under a higher fence.
func (m *Machine) rollBack(now time.Time) {
	m.failed = true
	m.Fence++
	m.enter(now, StageDisarm)
}

// Observe processes the status of a rank, which was requested at the time asked.
func (m *Machine) Observe(now, asked time.Time, r group.Rank, s services.RankStatus) {
	if m.Ended() {
		return
	}
	born := m.status[r].Born
	if s.Born < born {
		return // reported before the rank restarted
	}
	if s.Epoch != m.epoch || born != 0 && s.Born != born {
		// The group has formed again, or is about to because the rank has restarted: everything
		// that was prepared, armed or held there is lost.
		m.stage = StageFailed
		return
	}
	m.status[r] = s
	switch {
	case m.stage == StagePrepare && s.Prepared == m.version:
		m.done[r] = true
	case m.stage == StageFence && !m.fencedAt[r].IsZero() && asked.After(m.fencedAt[r]):
		m.done[r] = true
	case m.stage == StageDisarm && !m.fencedAt[r].IsZero() && asked.After(m.fencedAt[r]):
		m.done[r] = s.Armed == 0
		m.sent[r] = m.done[r]
	}
	m.advance(now)
}

// Tick applies the time-outs.
func (m *Machine) Tick(now time.Time) {
	switch {
	case m.Loading() && now.Sub(m.since) > prepareTimeout:
		m.stage = StageFailed
	case m.arming() && now.Sub(m.since) > armTimeout:
		m.rollBack(now)
	}
}

// advance enters the next stage when all ranks have confirmed.
func (m *Machine) advance(now time.Time) {
	if m.Ended() || !m.allConfirmed() {
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
	case StageResolveHold:
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

func (m *Machine) allConfirmed() bool {
	for _, d := range m.done {
		if !d {
			return false
		}
	}
	return true
}
