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

// fewRouters is the number of routers up to which each greets all others: news needs no second hop then.
const fewRouters = 12

// degree returns how many of so many routers one greets. Each is greeted by as many: with twice the logarithm of
// neighbours the routers stay connected when any half of them is lost, and news needs about three hops to a thousand.
func degree(routers int) int {
	if routers <= fewRouters {
		return routers - 1
	}
	return int(math.Ceil(math.Log2(float64(routers))))
}

// chooseNeighbours returns the processes that this one greets. All processes with the same table know each other's:
// routers of a data centre form a ring in an order by chance, and each greets those that follow it there, and those
// that would follow it in the rings of other data centres.
func (t *Table) chooseNeighbours(now time.Time) []*entry {
	if t.chosen && t.chosenAt == t.position {
		return t.neighbours
	}
	rings, routers := t.rings()
	own := t.nodes[t.self].Info
	var chosen []*entry
	if n := degree(routers); n == routers-1 {
		chosen = flatten(rings, t.self)
	} else {
		chosen = append(t.followers(rings[own.DataCentre], (n+1)/2), t.abroad(rings, own.DataCentre, n/2)...)
	}
	t.watch(now, chosen)
	t.neighbours, t.chosenAt, t.chosen = chosen, t.position, true
	return chosen
}

// watch notes since when each process has been a neighbour.
func (t *Table) watch(now time.Time, chosen []*entry) {
	before := map[*entry]bool{}
	for _, e := range t.neighbours {
		before[e] = true
	}
	for _, e := range chosen {
		if !before[e] {
			e.watched = now
		}
		delete(before, e)
	}
	for e := range before {
		e.watched = time.Time{}
	}
}

// ring lists the routers of a data centre in an order by chance that all routers agree on.
type ring []*entry

// rings returns the rings of the routers that seem to run, this one among them, and their number.
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
		slices.SortFunc(r, func(a, b *entry) int {
			return cmp.Or(cmp.Compare(place(a.Info.Name), place(b.Info.Name)), cmp.Compare(a.Info.Name, b.Info.Name))
		})
	}
	return rings, routers
}

// place returns the place of a router in a ring.
func place(name string) uint64 { return xxhash.Sum64String(name) }

// followers returns the first routers after this one's place in a ring.
func (t *Table) followers(r ring, most int) []*entry {
	first := 0
	for first < len(r) && place(r[first].Info.Name) <= place(t.self) {
		first++
	}
	var out []*entry
	for i := range r {
		if e := r[(first+i)%len(r)]; e.Info.Name != t.self && len(out) < most {
			out = append(out, e)
		}
	}
	return out
}

// abroad returns routers of other data centres: one after the other of the data centres that follow the own one.
func (t *Table) abroad(rings map[vm.DataCentre]ring, here vm.DataCentre, most int) []*entry {
	names := make([]vm.DataCentre, 0, len(rings))
	for dc := range rings {
		if dc != here {
			names = append(names, dc)
		}
	}
	slices.Sort(names)
	if len(names) == 0 {
		return nil
	}
	// Routers of a data centre begin with different ones, so that each data centre hears of each other soon.
	begin := int(place(t.self) % uint64(len(names))) //nolint:gosec // a small number
	var out []*entry
	for round := 0; len(out) < most; round++ {
		found := false
		for i := range names {
			f := t.followers(rings[names[(begin+i)%len(names)]], round+1)
			if len(f) > round && len(out) < most {
				out, found = append(out, f[round]), true
			}
		}
		if !found {
			break
		}
	}
	return out
}

// flatten returns the routers of all rings but one.
func flatten(rings map[vm.DataCentre]ring, without string) []*entry {
	var out []*entry
	for _, r := range rings {
		for _, e := range r {
			if e.Info.Name != without {
				out = append(out, e)
			}
		}
	}
	return out
}

// Target is a process to be greeted. The name of one that is known only by its address is empty.
type Target struct{ Name, Address string }

// callsToSilent is how many routers greet one that is silent in a round, on average.
const callsToSilent = 2

// Targets returns the processes to be greeted in a round: the neighbours, and now and then one that is silent, so that
// parts of a deployment that have lost each other meet again. Chance draws a number below another.
func (t *Table) Targets(now time.Time, chance func(below int) int) []Target {
	var out []Target
	for _, e := range t.chooseNeighbours(now) {
		out = append(out, Target{Name: e.Info.Name, Address: e.Info.Address})
	}
	var silent []*entry
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
	if chance(running) < callsToSilent*len(silent) {
		slices.SortFunc(silent, func(a, b *entry) int { return cmp.Compare(a.Info.Name, b.Info.Name) })
		e := silent[chance(len(silent))]
		out = append(out, Target{Name: e.Info.Name, Address: e.Info.Address})
	}
	return out
}
