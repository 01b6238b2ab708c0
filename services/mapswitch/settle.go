// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package mapswitch

import (
	"time"

	"fawnwinch.org/fawnwinch/models/expertmap"
	"fawnwinch.org/fawnwinch/models/group"
	"fawnwinch.org/fawnwinch/services"
)

// ownerBits is the part of a version that names the rank of the coordinator that gave it out.
const ownerBits = 10

// NextVersion returns the version of the next map that a coordinator gives out, whose own rank is given.
func NextVersion(last expertmap.Version, own group.Rank) expertmap.Version {
	return (last>>ownerBits+1)<<ownerBits | expertmap.Version(own) //nolint:gosec // ranks are not negative
}

// owner returns the rank of the coordinator that gave a version out.
func owner(v expertmap.Version) group.Rank { return group.Rank(v & (1<<ownerBits - 1)) }

// Settle returns the machine that takes back what an earlier coordinator has left behind, or nil if
// there is nothing. It raises the fence at all ranks first: what they report after that stays so.
func Settle(now time.Time, f services.Fence, self group.Rank, status []services.RankStatus) *Machine {
	if !left(status) {
		return nil
	}
	return settle(now, f, self, none, status)
}

// SettleWithout is Settle for a group in which one rank does not answer. It returns nil also if the state of that rank
// does not follow from what the others report; their answers after the fence are judged once more.
func SettleWithout(now time.Time, f services.Fence, self, silent group.Rank, status []services.RankStatus) *Machine {
	if !left(status) || !ownedBy(silent, status) {
		return nil
	}
	return settle(now, f, self, silent, status)
}

func settle(now time.Time, f services.Fence, self, without group.Rank, status []services.RankStatus) *Machine {
	m := newMachine(now, f, self, status)
	m.failed, m.without = true, without
	// No rank ever has this version: a disarm of it raises the fence and changes nothing else.
	m.version = expertmap.Version(f) | unusedVersion
	m.enter(now, StageFence)
	return m
}

// left reports whether a rank is armed or holds the group.
func left(status []services.RankStatus) bool {
	for _, s := range status {
		if s.Armed != 0 || s.Holds {
			return true
		}
	}
	return false
}

// ownedBy reports whether all ranks but one have taken part in the same change, and that one is its owner and is not
// armed. They have loaded the map of the change: so its owner had begun to, and was not armed by an older coordinator
// then and not since. The agent of the holder remembers the change and has not noted that the owner is to be armed; it
// has heard of the present coordinator, so it will not note it any more.
func ownedBy(silent group.Rank, status []services.RankStatus) bool {
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
	if version == 0 || owner(version) != silent {
		return false
	}
	noted := status[holderOf(silent, len(status))].Noted
	return noted.Prepared == version && noted.Announced < version
}

// decide chooses how to go on once no earlier coordinator can change anything.
func (m *Machine) decide(now time.Time) {
	if m.without != none {
		if !ownedBy(m.without, m.status) {
			m.stage = StageFailed
			return
		}
	}
	armed, same := m.takeOver()
	held := false
	for _, step := range m.release {
		held = held || step <= m.step
	}
	switch {
	case !armed || same && m.without == none:
		// Nothing is armed, or all ranks take the same map in the same pass.
		m.enter(now, StageRelease)
	case held:
		m.enter(now, StageDisarm)
	default:
		m.enter(now, StageSettleHold)
	}
}

// takeOver notes which ranks hold the group and for which pass ranks are armed. It reports whether a rank is armed,
// and whether all are alike.
func (m *Machine) takeOver() (armed, same bool) {
	m.step, same = 0, true
	first := m.status[0]
	if m.without == 0 {
		first = m.status[m.self]
	}
	for r, s := range m.status {
		if group.Rank(r) == m.without {
			continue
		}
		same = same && s.Armed == first.Armed && s.ArmedAt == first.ArmedAt
		if s.Armed != 0 {
			armed, m.step = true, max(m.step, s.ArmedAt)
		}
		if s.Holds {
			m.release[group.Rank(r)] = s.Held
		}
	}
	return armed, same
}
