// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package mapswitch

import (
	"time"

	"fawnwinch.org/fawnwinch/models/expertmap"
	"fawnwinch.org/fawnwinch/models/group"
	"fawnwinch.org/fawnwinch/services"
)

// Settle returns the machine that takes back what an earlier coordinator has left behind, or nil if
// there is nothing. It raises the fence at all ranks first: what they report after that stays so.
func Settle(now time.Time, f services.Fence, self group.Rank, status []services.RankStatus) *Machine {
	left := false
	for _, s := range status {
		left = left || s.Armed != 0 || s.Holds
	}
	if !left {
		return nil
	}
	m := newMachine(now, f, self, status)
	m.failed = true
	// No rank ever has this version: a disarm of it raises the fence and changes nothing else.
	m.version = expertmap.Version(f) | unusedVersion
	m.enter(now, StageFence)
	return m
}

// decide chooses how to go on once no earlier coordinator can change anything.
func (m *Machine) decide(now time.Time) {
	first, same, armed := m.status[0], true, false
	m.step = 0
	held := false
	for r, s := range m.status {
		same = same && s.Armed == first.Armed && s.ArmedAt == first.ArmedAt
		if s.Armed != 0 {
			armed, m.step = true, max(m.step, s.ArmedAt)
		}
		if s.Holds {
			m.release[group.Rank(r)] = s.Held
		}
	}
	for _, step := range m.release {
		held = held || step <= m.step
	}
	switch {
	case !armed || same:
		// Nothing is armed, or all ranks take the same map in the same pass.
		m.enter(now, StageRelease)
	case held:
		m.enter(now, StageDisarm)
	default:
		m.enter(now, StageSettleHold)
	}
}
