// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package mapswitch

import (
	"fawnwinch.org/fawnwinch/models/group"
	"fawnwinch.org/fawnwinch/services"
)

// Send is an order to one rank. Direct reports whether it goes to the rank's engine instead of its
// agent: a hold placed by an agent would last for as long as that agent's VM is frozen. Begin
// reports whether a prepare is complete once the rank has begun to load.
type Send struct {
	Rank          group.Rank
	Order         services.RankOrder
	Direct, Begin bool
}

// addresses reports whether a rank receives an order in the current stage.
func (m *Machine) addresses(r group.Rank) bool {
	if r == m.excluded {
		return false
	}
	switch m.stage {
	case StageHold:
		return r == m.holder
	case StageResolveHold:
		return r == m.self
	case StageAnnounce:
		return r == m.holder && r != m.owner
	case StagePrepareOwner, StageArmOwner:
		return r == m.owner
	case StageArm:
		return r != m.owner
	case StageRelease:
		_, held := m.release[r]
		return held
	case StageFence, StagePrepare, StageDisarm:
		return true
	case StageDone, StageFailed, StageAbandoned, StageLost:
	}
	return false
}

// TakeOrders returns the orders to send now. An order is not returned again before its result is
// passed to HandleAnswer.
func (m *Machine) TakeOrders() []Send {
	if m.Ended() {
		return nil
	}
	var out []Send
	for r := range m.done {
		rank := group.Rank(r)
		if m.done[r] || m.sent[r] {
			continue
		}
		m.sent[r] = true
		o := m.order(rank)
		direct := rank != m.self && (o.Kind == services.RankHold || o.Kind == services.RankRelease)
		out = append(out, Send{Rank: rank, Order: o, Direct: direct, Begin: m.stage == StagePrepareOwner})
	}
	return out
}

func (m *Machine) order(r group.Rank) services.RankOrder {
	o := services.RankOrder{Fence: m.Fence, Epoch: m.epoch, Version: m.version, Step: m.step}
	switch m.stage {
	case StagePrepareOwner, StagePrepare:
		o.Kind, o.Layers = services.RankPrepare, m.layers
	case StageHold, StageResolveHold:
		o.Kind = services.RankHold
	case StageArm, StageArmOwner:
		o.Kind = services.RankArm
	case StageAnnounce:
		o.Kind = services.RankAnnounce
	case StageFence:
		o.Kind = services.RankDisarm
	case StageDisarm:
		o.Kind = services.RankDisarm
		if armed := m.status[r].Armed; armed != 0 {
			o.Version = armed
		}
	case StageRelease:
		o.Kind, o.Step = services.RankRelease, m.release[r]
	case StageDone, StageFailed, StageAbandoned, StageLost:
	}
	return o
}
