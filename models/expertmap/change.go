// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package expertmap

import "fawnwinch.org/fawnwinch/models/group"

// Change is the difference between two maps. A change moves few experts, while the whole map of a
// large group takes several kilobytes for each rank that it is sent to.
type Change struct {
	// Base is the version of the map that the change applies to.
	Base  Version
	Slots []SlotChange
	// Digest is that of the changed map. It detects a receiver whose base differs from the
	// sender's: an engine does not report which slots are free, so a map that was read from engines
	// may have its experts in other slots.
	Digest string
}

// InitialMap describes the initial map of engines: the experts of each layer are distributed
// round-robin to the ranks.
type InitialMap struct{ Ranks, Layers, Experts, Places int }

// Map returns the map that d describes, with version 0.
func (d InitialMap) Map() *Map {
	m := &Map{Layers: make([]Layer, d.Layers)}
	for l := range m.Layers {
		slots := make([][]Expert, d.Ranks)
		for r := range slots {
			slots[r] = make([]Expert, 0, d.Places)
			for e := r; e < d.Experts; e += d.Ranks {
				slots[r] = append(slots[r], Expert(e))
			}
			for len(slots[r]) < d.Places {
				slots[r] = append(slots[r], Free)
			}
		}
		m.Layers[l].Slots = slots
	}
	return m
}

// SlotChange assigns an expert, or Free, to a slot.
type SlotChange struct {
	Layer  int
	Rank   group.Rank
	Slot   int
	Expert Expert
}

// ChangeFrom returns the change from base to m, or false if they do not have the same slots.
func (m *Map) ChangeFrom(base *Map) (Change, bool) {
	c := Change{Base: base.Version, Digest: m.Digest()}
	if len(m.Layers) != len(base.Layers) {
		return Change{}, false
	}
	for l := range m.Layers {
		before, after := base.Layers[l].Slots, m.Layers[l].Slots
		if len(before) != len(after) {
			return Change{}, false
		}
		for r := range after {
			if len(before[r]) != len(after[r]) {
				return Change{}, false
			}
			for s, e := range after[r] {
				if before[r][s] != e {
					c.Slots = append(c.Slots, SlotChange{Layer: l, Rank: group.Rank(r), Slot: s, Expert: e})
				}
			}
		}
	}
	return c, true
}

// Apply returns m with c applied, under version v, or false if m is not the base of c.
func (m *Map) Apply(c Change, v Version) (*Map, bool) {
	if m.Version != c.Base {
		return nil, false
	}
	out := m.Clone()
	out.Version = v
	for _, s := range c.Slots {
		if !out.hasSlot(s) {
			return nil, false
		}
		out.Layers[s.Layer].Slots[s.Rank][s.Slot] = s.Expert
	}
	return out, out.Digest() == c.Digest
}

// hasSlot reports whether the map has the slot of s.
func (m *Map) hasSlot(s SlotChange) bool {
	if s.Layer < 0 || s.Layer >= len(m.Layers) {
		return false
	}
	ranks := m.Layers[s.Layer].Slots
	if int(s.Rank) < 0 || int(s.Rank) >= len(ranks) {
		return false
	}
	return s.Slot >= 0 && s.Slot < len(ranks[s.Rank])
}
