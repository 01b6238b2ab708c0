// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package peer

import (
	"cmp"
	"math"
	"slices"
	"time"

	"fawnwinch.org/fawnwinch/models/vm"

	"github.com/cespare/xxhash/v2"
)

// maxFullMesh is the number of routers up to which each exchanges gossip with all others, so that
// updates need only one hop.
const maxFullMesh = 12

// degree returns the number of neighbours of each router in a deployment of the given size. Each
// router is also the neighbour of as many others. With twice the logarithm of neighbours the
// routers stay connected when any half of them is lost, and updates reach a thousand routers in
// about three hops.
func degree(routers int) int {
	if routers <= maxFullMesh {
		return routers - 1
	}
	return int(math.Ceil(math.Log2(float64(routers))))
}

// chooseNeighbours returns the neighbours of this process. Processes with the same table compute
// the same neighbours for each other. The routers of each data centre form a hash ring; each router
// selects its successors there and the routers that would be its successors in the rings of other
// data centres.
func (t *Table) chooseNeighbours(now time.Time) []*record {
	if t.chosen && t.chosenAt == t.position {
		return t.neighbours
	}
	rings, routers := t.rings()
	own := t.nodes[t.self].Info
	var chosen []*record
	if n := degree(routers); n == routers-1 {
		chosen = flatten(rings, t.self)
	} else {
		chosen = append(t.successors(rings[own.DataCentre], (n+1)/2), t.remoteNeighbours(rings, own.DataCentre, n/2)...)
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

// successors returns the successors of this router in a ring.
func (t *Table) successors(r ring, limit int) []*record {
	first := 0
	for first < len(r) && ringPosition(r[first].Info.Name) <= ringPosition(t.self) {
		first++
	}
	var out []*record
	for i := range r {
		if e := r[(first+i)%len(r)]; e.Info.Name != t.self && len(out) < limit {
			out = append(out, e)
		}
	}
	return out
}

// remoteNeighbours returns routers of other data centres, selected round-robin over those data
// centres in the order of their names.
func (t *Table) remoteNeighbours(rings map[vm.DataCentre]ring, own vm.DataCentre, limit int) []*record {
	names := make([]vm.DataCentre, 0, len(rings))
	for dc := range rings {
		if dc != own {
			names = append(names, dc)
		}
	}
	slices.Sort(names)
	if len(names) == 0 {
		return nil
	}
	// Routers of a data centre begin with different ones, so that updates reach every data centre
	// quickly.
	begin := int(ringPosition(t.self) % uint64(len(names))) //nolint:gosec // a small number
	var out []*record
	for round := 0; len(out) < limit; round++ {
		found := false
		for i := range names {
			f := t.successors(rings[names[(begin+i)%len(names)]], round+1)
			if len(f) > round && len(out) < limit {
				out, found = append(out, f[round]), true
			}
		}
		if !found {
			break
		}
	}
	return out
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
