// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package mapswitch

import (
	"time"

	"fawnwinch.org/fawnwinch/models/expertmap"
	"fawnwinch.org/fawnwinch/models/group"
	"fawnwinch.org/fawnwinch/services"
)

// ownerBits is the number of low bits of a version that hold the rank of the coordinator that
// assigned it.
const ownerBits = 10

// NextVersion returns the version after last that the coordinator beside rank own assigns.
func NextVersion(last expertmap.Version, own group.Rank) expertmap.Version {
	return (last>>ownerBits+1)<<ownerBits | expertmap.Version(own) //nolint:gosec // ranks are not negative
}

// versionOwner returns the rank of the coordinator that assigned a version.
func versionOwner(v expertmap.Version) group.Rank { return group.Rank(v & (1<<ownerBits - 1)) }

// Resolve returns a machine that resolves the unfinished change of an earlier coordinator, or nil
// if there is none. It first raises the fence at all ranks, so that the states they report
// afterwards cannot be changed by an earlier coordinator.
func Resolve(now time.Time, f services.Fence, self group.Rank, status []services.RankStatus) *Machine {
	if !unfinished(status) {
		return nil
	}
	return newResolution(now, f, self, noRank, status)
}

// ResolveWithout is Resolve for a group in which one rank does not answer. It also returns nil if
// the state of that rank does not follow from what the others report. Their reports are checked
// again after the fence.
func ResolveWithout(now time.Time, f services.Fence, self, silent group.Rank, status []services.RankStatus) *Machine {
	if !unfinished(status) || !isUnarmedOwner(silent, status) {
		return nil
	}
	return newResolution(now, f, self, silent, status)
}

func newResolution(now time.Time, f services.Fence, self, excluded group.Rank, status []services.RankStatus) *Machine {
	m := newMachine(now, f, self, status)
	m.failed, m.excluded = true, excluded
	// No rank ever has this version, so disarming it only raises the fence.
	m.version = expertmap.Version(f) | unusedVersion
	m.enter(now, StageFence)
	return m
}

// unfinished reports whether any rank is armed or holds the group.
func unfinished(status []services.RankStatus) bool {
	for _, s := range status {
		if s.Armed != 0 || s.Holds {
			return true
		}
	}
	return false
}

// isUnarmedOwner reports whether all ranks but the silent one took part in the same change, and the
// silent rank is its owner and is not armed. The others have loaded the map of the change, so the
// owner had begun to load before them: no older coordinator had armed it then or can have armed it
// since. The agent of the holder remembers the change and has no record that the owner is about to
// be armed. It has received the authority of the current coordinator, so it accepts no such record
// any more.
func isUnarmedOwner(silent group.Rank, status []services.RankStatus) bool {
	var version expertmap.Version
	for r, s := range status {
		if group.Rank(r) == silent {
			continue
		}
		v := s.Armed
		if v == 0 {
			v = s.Prepared
		}
		if version == 0 {
			version = v
		}
		if v == 0 || v != version || v <= s.Map {
			return false
		}
	}
	if version == 0 || versionOwner(version) != silent {
		return false
	}
	noted := status[holderOf(silent, len(status))].Noted
	return noted.Prepared == version && noted.Announced < version
}

// decide chooses the next stage once no earlier coordinator can change anything.
func (m *Machine) decide(now time.Time) {
	if m.excluded != noRank {
		if !isUnarmedOwner(m.excluded, m.status) {
			m.stage = StageFailed
			return
		}
	}
	armed, alike := m.recordState()
	held := false
	for _, step := range m.release {
		held = held || step <= m.step
	}
	switch {
	case !armed || alike && m.excluded == noRank:
		// No rank is armed, or all ranks switch to the same map in the same pass.
		m.enter(now, StageRelease)
	case held:
		m.enter(now, StageDisarm)
	default:
		m.enter(now, StageResolveHold)
	}
}

// recordState records which ranks hold the group and the pass for which ranks are armed. It reports
// whether any rank is armed and whether all are armed alike.
func (m *Machine) recordState() (armed, alike bool) {
	m.step, alike = 0, true
	first := m.status[0]
	if m.excluded == 0 {
		first = m.status[m.self]
	}
	for r, s := range m.status {
		if group.Rank(r) == m.excluded {
			continue
		}
		alike = alike && s.Armed == first.Armed && s.ArmedAt == first.ArmedAt
		if s.Armed != 0 {
			armed, m.step = true, max(m.step, s.ArmedAt)
		}
		if s.Holds {
			m.release[group.Rank(r)] = s.Held
		}
	}
	return armed, alike
}
