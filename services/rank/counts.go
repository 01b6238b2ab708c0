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
	// countsPerRound is the number of counters that a coordinator requests in a poll round, at
	// about a byte each: with 14 rounds a second some 350 KB/s, a third of the slowest link that
	// agents have (8 Mbit/s).
	countsPerRound = 24_000
	// minCountedRanks is the number of ranks that are always asked for counts, and
	// defaultCountedRanks the number that is asked where countsPerRound allows it. Demand is common
	// to the group: requests go to ranks by load alone, so a few ranks show it. In a group of
	// twelve ranks, counts from 4 earned 0.704 of the possible credit, and counts from 8 earned
	// 0.712.
	minCountedRanks     = 4
	defaultCountedRanks = 8
)

// CountsPart is a rank's report of its counts: all of them, or what was added to those that the
// requester has.
type CountsPart struct {
	Born  upstream.Born
	Epoch services.Epoch
	// Number is that of the counts that the requester has after this report. Since is the number of
	// the counts that these are added to, 0 if they are complete.
	Number, Since uint64
	Counts        []uint64
}

// countSender keeps the counts that an agent sent last, so that the next answer holds only the
// difference.
type countSender struct {
	number uint64
	last   services.RankCounts
}

// newCountSender returns a countSender whose numbers differ from those of earlier starts of the
// agent.
func newCountSender(now time.Time) countSender {
	return countSender{number: uint64(now.UnixNano())}
}

// delta returns what must be sent to a requester that has the counts numbered since.
func (t *countSender) delta(since uint64, now services.RankCounts) CountsPart {
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

// difference returns what was added between two counts, or false if the later ones do not continue
// the earlier.
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

// heldCounts holds a coordinator's copy of a rank's counts.
type heldCounts struct {
	number uint64
	services.RankCounts
}

// add applies a report. A report that does not fit the held counts is dropped, and the next request
// asks for all counts.
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

// countedRanks returns how many of a group's ranks are asked for counts if near of them are in the
// coordinator's data centre: those, or the default number, within the limit of counters, and the
// minimum in any case.
func countedRanks(e *catalog.Engine, ranks, near int) int {
	most := ranks
	if e != nil && e.Layers*e.Experts > 0 {
		most = countsPerRound / (e.Layers * e.Experts)
	}
	return min(ranks, max(minCountedRanks, min(max(near, defaultCountedRanks), most)))
}

// enginesToCount returns the engines whose ranks are asked for counts, this agent's own among them:
// those that answer, and of the same data centre first, because bytes between data centres are paid
// for.
func (c *coordinator) enginesToCount(now time.Time) map[string]bool {
	order := slices.Clone(c.agents)
	priorities := make(map[string]int, len(order))
	for _, p := range order {
		priorities[p.Name] = c.countPriority(now, p)
	}
	slices.SortStableFunc(order, func(a, b peer.Info) int {
		return cmp.Or(cmp.Compare(priorities[a.Name], priorities[b.Name]), cmp.Compare(a.Name, b.Name))
	})
	near := 1
	for _, p := range order {
		if priorities[p.Name] == 0 {
			near++
		}
	}
	out := map[string]bool{c.a.opts.Self.Engine: true}
	for _, p := range order[:min(len(order), countedRanks(c.engine, len(c.members), near)-1)] {
		out[p.Engine] = true
	}
	return out
}

// countPriority returns the priority of an agent when ranks are chosen for counts; the lowest is
// first.
func (c *coordinator) countPriority(now time.Time, p peer.Info) int {
	m := c.memberOf(p)
	switch {
	case m == nil || now.Sub(m.lastContact) > missingAfter:
		return 2
	case p.DataCentre != c.a.opts.Self.DataCentre:
		return 1
	default:
		return 0
	}
}

// dropCounts discards the counts of ranks that are not asked for them: what they add until they are
// asked again is not recent.
func (c *coordinator) dropCounts(counted map[string]bool) {
	for _, m := range c.members {
		if !counted[m.info.Engine] {
			m.counts = heldCounts{}
		}
	}
}
