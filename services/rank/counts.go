// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package rank

import (
	"cmp"
	"slices"
	"time"

	"fawnwinch.org/fawnwinch/models/catalog"
	"fawnwinch.org/fawnwinch/models/upstream"
	"fawnwinch.org/fawnwinch/services"
	"fawnwinch.org/fawnwinch/services/peer"
)

const (
	// countsPerLook is the number of counters that a coordinator asks for in a look, at about a byte each: with
	// 14 looks a second some 350 KB/s, a third of the slowest link that agents have (8 Mbit/s).
	countsPerLook = 24_000
	// fewestCounted is the number of ranks that are asked in any case, and usualCounted that which is asked where
	// countsPerLook allows it. Demand is the group's: requests go to ranks by load alone, so a few ranks show it. Of
	// twelve ranks, worth with 4 was 0.704 and with 8 it was 0.712.
	fewestCounted = 4
	usualCounted  = 8
)

// CountsPart is what a rank tells of its counts: all of them, or what has been added to those that the asker has.
type CountsPart struct {
	Born  upstream.Born
	Epoch services.Epoch
	// Number is that of the counts that the asker has now; Since is that of the counts that these are added
	// to, 0 if they are all.
	Number, Since uint64
	Counts        []uint64
}

// tally remembers the counts that an agent told last, so that the next answer holds what was added since.
type tally struct {
	number uint64
	last   services.RankCounts
}

// newTally returns a tally whose numbers differ from those of earlier starts of the agent.
func newTally(now time.Time) tally {
	return tally{number: uint64(now.UnixNano())}
}

// tell returns what an asker that has the counts of a number has to be told.
func (t *tally) tell(since uint64, now services.RankCounts) CountsPart {
	part := CountsPart{Born: now.Born, Epoch: now.Epoch, Counts: now.Counts}
	if since != 0 && since == t.number {
		if added, ok := difference(t.last, now); ok {
			part.Since, part.Counts = since, added
		}
	}
	t.number++
	t.last, part.Number = now, t.number
	return part
}

// difference returns what was added between two counts, or false if the later ones do not go on from the earlier.
func difference(before, after services.RankCounts) ([]uint64, bool) {
	if before.Born != after.Born || before.Epoch != after.Epoch || len(before.Counts) != len(after.Counts) {
		return nil, false
	}
	added := make([]uint64, len(after.Counts))
	for i, n := range after.Counts {
		if n < before.Counts[i] {
			return nil, false
		}
		added[i] = n - before.Counts[i]
	}
	return added, true
}

// heldCounts is what a coordinator holds of a rank's counts.
type heldCounts struct {
	number uint64
	services.RankCounts
}

// add takes a part in. A part that does not fit what is held is dropped, and all counts are asked for next.
func (h *heldCounts) add(p CountsPart) {
	switch {
	case len(p.Counts) == 0:
	case p.Since == 0:
		*h = heldCounts{number: p.Number, RankCounts: services.RankCounts{Born: p.Born, Epoch: p.Epoch, Counts: p.Counts}}
	case p.Since != h.number || p.Born != h.Born || len(p.Counts) != len(h.Counts):
		*h = heldCounts{}
	default:
		sum := make([]uint64, len(p.Counts)) // the planner keeps the old ones
		for i := range sum {
			sum[i] = h.Counts[i] + p.Counts[i]
		}
		h.number, h.Counts = p.Number, sum
	}
}

// countedRanks returns how many of a group's ranks are asked for counts, if so many are near: those, or the usual
// number, as far as the counters allow, and a few in any case.
func countedRanks(e *catalog.Engine, ranks, near int) int {
	most := ranks
	if e != nil && e.Layers*e.Experts > 0 {
		most = countsPerLook / (e.Layers * e.Experts)
	}
	return min(ranks, max(fewestCounted, min(max(near, usualCounted), most)))
}

// counted returns the engines whose ranks are asked for counts, this agent's own among them: those that answer,
// of the same data centre first, because bytes between data centres are paid for.
func (c *coordinator) counted(now time.Time) map[string]bool {
	order := slices.Clone(c.agents)
	places := make(map[string]int, len(order))
	for _, p := range order {
		places[p.Name] = c.countPlace(now, p)
	}
	slices.SortStableFunc(order, func(a, b peer.Info) int {
		return cmp.Or(cmp.Compare(places[a.Name], places[b.Name]), cmp.Compare(a.Name, b.Name))
	})
	near := 1
	for _, p := range order {
		if places[p.Name] == 0 {
			near++
		}
	}
	out := map[string]bool{c.a.opts.Self.Engine: true}
	for _, p := range order[:min(len(order), countedRanks(c.engine, len(c.members), near)-1)] {
		out[p.Engine] = true
	}
	return out
}

// countPlace returns the place of an agent in the order in which ranks are asked for counts; the lowest is first.
func (c *coordinator) countPlace(now time.Time, p peer.Info) int {
	m := c.memberOf(p)
	switch {
	case m == nil || now.Sub(m.heard) > missingAfter:
		return 2
	case p.DataCentre != c.a.opts.Self.DataCentre:
		return 1
	default:
		return 0
	}
}

// dropCounts forgets the counts of ranks that are not asked for them: what they add until they are asked again
// is not recent.
func (c *coordinator) dropCounts(counted map[string]bool) {
	for _, m := range c.members {
		if !counted[m.info.Engine] {
			m.counts = heldCounts{}
		}
	}
}
