// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package peer

import (
	"cmp"
	"math/bits"
	"slices"
	"time"

	"fawnwinch.org/fawnwinch/models/vm"

	"github.com/cespare/xxhash/v2"
)

// maxFullMesh is the number of routers up to which each exchanges gossip with all others, so that
// updates need only one hop.
const maxFullMesh = 12

// logarithm returns the binary logarithm of a positive number, rounded up.
func logarithm(n int) int { return bits.Len(uint(n - 1)) }

// chooseNeighbours returns the neighbours of this process. Processes with the same table compute
// the same neighbours for each other. The routers of each data centre form a hash ring, in which
// each router selects the next ones and ones at halved distances. Few routers of a data centre have
// neighbours in another one: an update crosses to it on these links only, and traffic between data
// centres is billed.
func (t *Table) chooseNeighbours(now time.Time) []*record {
	if t.chosen && t.chosenAt == t.position {
		return t.neighbours
	}
	rings, routers := t.rings()
	own := t.nodes[t.self].Info
	var chosen []*record
	if t.meshed = routers <= maxFullMesh; t.meshed {
		chosen = flatten(rings, t.self)
	} else {
		limit := logarithm(routers)
		chosen = t.remoteNeighbours(rings, own, limit)
		chosen = append(chosen, t.ringNeighbours(rings[own.DataCentre], limit-len(chosen))...)
	}
	t.trackNeighbours(now, chosen)
	t.neighbours, t.chosenAt, t.chosen = chosen, t.position, true
	return chosen
}

// trackNeighbours records since when each process has been a neighbour.
func (t *Table) trackNeighbours(now time.Time, chosen []*record) {
	before := map[*record]bool{}
	for _, e := range t.neighbours {
		before[e] = true
	}
	for _, e := range chosen {
		if !before[e] {
			e.neighbourSince = now
		}
		delete(before, e)
	}
	for e := range before {
		e.neighbourSince = time.Time{}
	}
}

// ring lists the routers of a data centre in a pseudo-random order that is the same on all routers.
type ring []*record

// rings returns the rings of the routers that appear to run, including this one, and the total
// number of routers.
func (t *Table) rings() (map[vm.DataCentre]ring, int) {
	rings := map[vm.DataCentre]ring{}
	routers := 0
	for name, e := range t.nodes {
		if e.Info.Role != vm.RoleRouter || e.Silent || e.Info.State == StateLeaving && name != t.self {
			continue
		}
		rings[e.Info.DataCentre] = append(rings[e.Info.DataCentre], e)
		routers++
	}
	for _, r := range rings {
		slices.SortFunc(r, func(a, b *record) int {
			return cmp.Or(cmp.Compare(ringPosition(a.Info.Name), ringPosition(b.Info.Name)), cmp.Compare(a.Info.Name, b.Info.Name))
		})
	}
	return rings, routers
}

// ringPosition returns the position of a router in a ring.
func ringPosition(name string) uint64 { return xxhash.Sum64String(name) }

// successor returns the first router of a ring at or after a position, other than this one, or nil.
func (t *Table) successor(r ring, position uint64) *record {
	first, _ := slices.BinarySearchFunc(r, position, func(e *record, at uint64) int { return cmp.Compare(ringPosition(e.Info.Name), at) })
	for i := range r {
		if e := r[(first+i)%len(r)]; e.Info.Name != t.self {
			return e
		}
	}
	return nil
}

// ringNeighbours returns the neighbours of this router in the ring of its data centre, at most
// limit: the next router, the successors of the points at a half, a quarter and so on of the ring's
// circumference from its own position, and then the next ones. With those points an update takes a
// number of hops that grows with the logarithm of the ring; with the next ones only it would go
// around the ring. A point keeps its successor while others start and stop.
func (t *Table) ringNeighbours(r ring, limit int) []*record {
	own := ringPosition(t.self)
	var out []*record
	add := func(position uint64) {
		if e := t.successor(r, position); e != nil && len(out) < limit && !slices.Contains(out, e) {
			out = append(out, e)
		}
	}
	add(own + 1)
	for distance := uint64(1) << 63; distance > 0 && len(out) < limit; distance /= 2 {
		add(own + distance)
	}
	next := own
	for range r {
		if e := t.successor(r, next+1); e != nil {
			next = ringPosition(e.Info.Name)
			add(next)
		}
	}
	return out
}

// remoteNeighbours returns the neighbours of this router in other data centres: one in each data
// centre for which it is among the routers of its own that are linked to it, of which there are
// links.
func (t *Table) remoteNeighbours(rings map[vm.DataCentre]ring, own Info, links int) []*record {
	var out []*record
	for dc, r := range rings {
		if dc == own.DataCentre || !linked(rings[own.DataCentre], dc, t.self, links) {
			continue
		}
		if e := t.successor(r, ringPosition(t.self)); e != nil {
			out = append(out, e)
		}
	}
	slices.SortFunc(out, func(a, b *record) int { return cmp.Compare(a.Info.Name, b.Info.Name) })
	return out
}

// linked reports whether a router is among the given number of routers of a ring that have a
// neighbour in another data centre: those with the lowest hashes for that data centre.
func linked(r ring, dc vm.DataCentre, name string, links int) bool {
	own, lower := linkHash(name, dc), 0
	for _, e := range r {
		if h := linkHash(e.Info.Name, dc); h < own || h == own && e.Info.Name < name {
			lower++
		}
	}
	return lower < links
}

func linkHash(name string, dc vm.DataCentre) uint64 {
	return xxhash.Sum64String(name + "/" + string(dc))
}

// flatten returns the routers of all rings except one router.
func flatten(rings map[vm.DataCentre]ring, without string) []*record {
	var out []*record
	for _, r := range rings {
		for _, e := range r {
			if e.Info.Name != without {
				out = append(out, e)
			}
		}
	}
	return out
}

// Target is the destination of a gossip message. Name is empty if only the address is known.
type Target struct{ Name, Address string }

// probesPerSilent is the average number of routers that probe a silent router in each round.
const probesPerSilent = 2

// Targets returns the destinations of a gossip round: the neighbours, and occasionally a silent
// router, so that partitions of a deployment find each other again. randomBelow returns a random
// number below its argument.
func (t *Table) Targets(now time.Time, randomBelow func(below int) int) []Target {
	var out []Target
	for _, e := range t.chooseNeighbours(now) {
		out = append(out, Target{Name: e.Info.Name, Address: e.Info.Address})
	}
	var silent []*record
	running := 1
	for name, e := range t.nodes {
		switch {
		case name == t.self || e.Info.Role != vm.RoleRouter:
		case e.Silent:
			silent = append(silent, e)
		default:
			running++
		}
	}
	if randomBelow(running) < probesPerSilent*len(silent) {
		slices.SortFunc(silent, func(a, b *record) int { return cmp.Compare(a.Info.Name, b.Info.Name) })
		e := silent[randomBelow(len(silent))]
		out = append(out, Target{Name: e.Info.Name, Address: e.Info.Address})
	}
	return out
}
