// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package expertmap holds the assignment of experts to the ranks of a group.
package expertmap

import (
	"encoding/json"
	"fmt"
	"slices"

	"fawnwinch.org/fawnwinch/models/group"

	"github.com/cespare/xxhash/v2"
)

// Version is the version number of a group's expert map. A later map has a higher version.
type Version uint64

// Expert is the index of an expert within a layer, from 0.
type Expert int32

// Free marks a slot that holds no expert.
const Free Expert = -1

// Layer is the assignment for one layer: Slots[rank] lists the experts which that rank holds. An
// expert held by several ranks has several replicas.
type Layer struct {
	Slots [][]Expert `json:"slots"`
}

// Map assigns the experts of every layer to the ranks of one group.
type Map struct {
	Group   group.ID `json:"group"`
	Version Version  `json:"version"`
	Layers  []Layer  `json:"layers"`
}

// Digest returns a short fingerprint of the assignment, without the version.
func (m *Map) Digest() string {
	raw, err := json.Marshal(m.Layers)
	if err != nil {
		return ""
	}
	return fmt.Sprintf("%016x", xxhash.Sum64(raw))
}

// Clone returns a deep copy of m.
func (m *Map) Clone() *Map {
	c := &Map{Group: m.Group, Version: m.Version, Layers: make([]Layer, len(m.Layers))}
	for i, l := range m.Layers {
		c.Layers[i].Slots = make([][]Expert, len(l.Slots))
		for r, s := range l.Slots {
			c.Layers[i].Slots[r] = slices.Clone(s)
		}
	}
	return c
}

// Loads returns the number of experts that a rank must load to switch from one map to m.
func (m *Map) Loads(from *Map, rank int) int {
	n := 0
	for i, l := range m.Layers {
		if rank >= len(l.Slots) || i >= len(from.Layers) || rank >= len(from.Layers[i].Slots) {
			continue
		}
		had := slices.Clone(from.Layers[i].Slots[rank])
		for _, e := range l.Slots[rank] {
			if k := slices.Index(had, e); k >= 0 {
				had = slices.Delete(had, k, k+1)
				continue
			}
			n++
		}
	}
	return n
}

// RoundRobin returns the map that a group starts with: every rank holds slots experts of each
// layer, assigned round-robin, so that every expert has at least one replica. It returns an error
// if ranks*slots is smaller than experts.
func RoundRobin(id group.ID, layers, ranks, slots, experts int) (*Map, error) {
	if layers <= 0 || ranks <= 0 || experts <= 0 || slots*ranks < experts {
		return nil, fmt.Errorf("expert map of group %s: %d ranks with %d slots cannot hold %d experts in %d layers", id, ranks, slots, experts, layers)
	}
	m := &Map{Group: id, Version: 1, Layers: make([]Layer, layers)}
	for l := range m.Layers {
		m.Layers[l].Slots = make([][]Expert, ranks)
		for i := range ranks * slots {
			held := &m.Layers[l].Slots[i%ranks]
			*held = append(*held, nextUnheld(*held, i, experts))
		}
	}
	return m, nil
}

// nextUnheld returns the first expert from i on, wrapping around, that is not held yet, or expert i
// if all are held.
func nextUnheld(held []Expert, i, experts int) Expert {
	for k := range experts {
		if e := Expert((i + k) % experts); !slices.Contains(held, e) { //nolint:gosec // experts are few
			return e
		}
	}
	return Expert(i % experts) //nolint:gosec // experts are few
}
