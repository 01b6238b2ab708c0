// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package once

import (
	"time"

	"fawnwinch.org/fawnwinch/models/request"
	"fawnwinch.org/fawnwinch/models/upstream"

	"github.com/cespare/xxhash/v2"
)

// Member is an agent of the same service as reported by the routers.
type Member struct {
	Owner Owner
	State upstream.State
	// Suspect reports whether the agent has missed heartbeats.
	Suspect bool
}

// frozenTimeout is how long a frozen slice waits for its new owner before the old one takes it
// again.
const frozenTimeout = 3 * time.Second

// Moves lists the changes of ownership that a process must start.
type Moves struct {
	// Take lists slices to take: their owner is gone, they never had one, or the take must be
	// renewed.
	Take []request.KeySlice
	// Ask lists the slices to request from each current owner.
	Ask map[Owner][]request.KeySlice
	// Settle lists own slices that are not settled.
	Settle []SliceView
}

// Decide returns the slices that an agent must take, request and settle. Each slice belongs to the
// ready agent with the highest rendezvous score, so that agents agree without communication.
func Decide(now time.Time, self Owner, view []SliceView, members []Member, retention time.Duration) Moves {
	m := Moves{Ask: map[Owner][]request.KeySlice{}}
	alive := map[Owner]bool{}
	for _, mb := range members {
		alive[mb.Owner] = !mb.Suspect
	}
	for _, v := range view {
		if v.Mine {
			m.addOwned(now, v, retention)
			continue
		}
		if best, ok := preferredOwner(v.Slice, members); !ok || best != self {
			continue
		}
		if alive[v.Owner] {
			m.Ask[v.Owner] = append(m.Ask[v.Owner], v.Slice)
			continue
		}
		m.Take = append(m.Take, v.Slice)
	}
	return m
}

func (m *Moves) addOwned(now time.Time, v SliceView, retention time.Duration) {
	stuck := v.Frozen && now.Sub(v.FrozenAt) > frozenTimeout
	if stuck || now.Sub(v.TakenAt) > retention/2 {
		m.Take = append(m.Take, v.Slice)
	}
	if !v.Settled {
		m.Settle = append(m.Settle, v)
	}
}

// preferredOwner returns the ready member with the highest score for a slice.
func preferredOwner(s request.KeySlice, members []Member) (Owner, bool) {
	var best Owner
	var high uint64
	found := false
	for _, mb := range members {
		if mb.Suspect || mb.State != upstream.StateReady {
			continue
		}
		score := rendezvous(s, mb.Owner.Upstream)
		if !found || score > high {
			best, high, found = mb.Owner, score, true
		}
	}
	return best, found
}

func rendezvous(s request.KeySlice, u upstream.ID) uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(string(u))
	_, _ = h.Write([]byte{0, byte(s)}) //nolint:gosec // slices are few
	return h.Sum64()
}
