// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package once

import (
	"time"

	"fawnwinch.org/fawnwinch/models/request"
	"fawnwinch.org/fawnwinch/models/upstream"

	"github.com/cespare/xxhash/v2"
)

// Member is an agent of the same service as the routers see it.
type Member struct {
	Owner Owner
	State upstream.State
	// Suspect says that the agent has missed heartbeats.
	Suspect bool
}

// frozenLimit is how long a handed-over slice waits for its new owner before the old one takes it again.
const frozenLimit = 3 * time.Second

// Moves lists what a process does about ownership.
type Moves struct {
	// Take lists slices to take: their owner is gone, there never was one, or the take must be renewed.
	Take []request.Slice
	// Ask lists slices to ask the present owner for.
	Ask map[Owner][]request.Slice
	// Settle lists own slices with keys in doubt.
	Settle []SliceView
}

// Decide tells an agent which slices to take, to ask for and to settle. Each slice belongs to the
// ready agent with the highest rendezvous score, so that agents agree without talking.
func Decide(now time.Time, self Owner, view []SliceView, members []Member, retention time.Duration) Moves {
	m := Moves{Ask: map[Owner][]request.Slice{}}
	alive := map[Owner]bool{}
	for _, mb := range members {
		alive[mb.Owner] = !mb.Suspect
	}
	for _, v := range view {
		if v.Mine {
			m.keep(now, v, retention)
			continue
		}
		if best, ok := prefer(v.Slice, members); !ok || best != self {
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

func (m *Moves) keep(now time.Time, v SliceView, retention time.Duration) {
	stuck := v.Frozen && now.Sub(v.FrozenAt) > frozenLimit
	if stuck || now.Sub(v.TakenAt) > retention/2 {
		m.Take = append(m.Take, v.Slice)
	}
	if !v.Settled {
		m.Settle = append(m.Settle, v)
	}
}

// prefer returns the ready member with the highest score for a slice.
func prefer(s request.Slice, members []Member) (Owner, bool) {
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

func rendezvous(s request.Slice, u upstream.ID) uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(string(u))
	_, _ = h.Write([]byte{0, byte(s)}) //nolint:gosec // slices are few
	return h.Sum64()
}
