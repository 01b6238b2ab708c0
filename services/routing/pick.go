// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package routing

import (
	"math"
	"slices"
	"time"

	"fawnwinch.org/fawnwinch/models/group"
	"fawnwinch.org/fawnwinch/models/upstream"
)

const (
	// slowFactor is the multiple of the median step time above which a group is slow.
	slowFactor = 3
	// recoveryTime is how long an ejected group takes to get its full share of requests back.
	recoveryTime = 5 * time.Second
	// initialRecoveryRatio is the fraction of choices in which a recovering group takes part at
	// first.
	initialRecoveryRatio = 0.1
)

// Pick returns the upstream for a request, or false if there is no candidate.
func (t *Tracker) Pick(now time.Time, cands []Candidate) (upstream.ID, bool) {
	if len(cands) == 0 {
		return "", false
	}
	groups := t.groups(now, cands)
	open := t.eject(now, groups)
	best, bestCost := upstream.ID(""), 0.0
	ties := 0
	for _, g := range open {
		for _, c := range g.ranks {
			cost := t.cost(g, c)
			switch {
			case best == "" || cost < bestCost:
				best, bestCost, ties = c.Upstream, cost, 1
			case cost == bestCost:
				ties++
				if t.random.IntN(ties) == 0 {
					best = c.Upstream
				}
			}
		}
	}
	return best, best != ""
}

// groupView is the state of one group at the time of a choice.
type groupView struct {
	id    group.ID
	step  time.Duration
	ranks []Candidate
	// maxWork is the work of the rank of the group that has the most.
	maxWork float64
	// progress is the latest time at which one of this router's streams received a token, or at
	// which the first stream of a rank was sent; zero if there are no streams.
	progress time.Time
	// lead is the track of the group's first candidate. It holds the ejection state of the group.
	lead *track
}

// groups collects the candidates by group; an upstream of a plain service forms a group by itself.
func (t *Tracker) groups(now time.Time, cands []Candidate) []*groupView {
	var out []*groupView
	at := map[group.ID]*groupView{}
	for _, c := range cands {
		id := c.Group
		if id == "" {
			id = group.ID("upstream:" + string(c.Upstream))
		}
		v, ok := at[id]
		if !ok {
			v = &groupView{id: id, lead: t.track(c.Upstream)}
			at[id] = v
			out = append(out, v)
		}
		v.ranks = append(v.ranks, c)
		v.step = max(v.step, t.stepTime(now, c.Upstream))
		v.maxWork = max(v.maxWork, t.work(c.Upstream))
		if tr := t.track(c.Upstream); tr.streams > 0 && tr.progress.After(v.progress) {
			v.progress = tr.progress
		}
	}
	for _, v := range out {
		v.applyStall(now)
	}
	return out
}

// applyStall uses the time since any of this router's streams received a token as the group's step
// time, once that is too long for a step. A stall is thus noticed before it is reported.
func (v *groupView) applyStall(now time.Time) {
	if v.progress.IsZero() || v.step <= 0 {
		return
	}
	if age := now.Sub(v.progress); age > stallSteps*v.step {
		v.step = max(v.step, age)
	}
}

// cost estimates how long a request takes at a rank, and how much longer it makes all other
// requests of the group. It is in seconds, scaled by the step time of the group.
func (t *Tracker) cost(g *groupView, c Candidate) float64 {
	work := t.work(c.Upstream)
	slots := float64(max(1, t.track(c.Upstream).report.Concurrency))
	step := max(g.step.Seconds(), minStep)
	queue := max(0, work+1-slots) / slots
	fill := (work + 1) / slots
	delay := max(0, work+1-g.maxWork) / slots
	return step * (1 + queueWeight*queue + fillWeight*math.Pow(min(1, fill), fillPower) + delay)
}

const (
	// minStep replaces the step time of upstreams that report none, in seconds.
	minStep = 0.001
	// queueWeight is the cost of waiting for a full round of requests, in steps.
	queueWeight = 20
	// fillWeight is the extra cost of a full rank compared with an empty one, in steps. The power
	// makes the last slots expensive: a slow group with room is better than a fast one where the
	// next request would wait.
	fillWeight = 4
	fillPower  = 4
)

// eject leaves out groups that are slow compared with the median, within EjectLimit, and readmits
// recovered groups gradually.
func (t *Tracker) eject(now time.Time, groups []*groupView) []*groupView {
	if len(groups) < 2 {
		return groups
	}
	steps := make([]time.Duration, len(groups))
	for i, g := range groups {
		steps[i] = g.step
	}
	slices.Sort(steps)
	median := steps[(len(steps)-1)/2]
	allowed := int(t.opts.EjectLimit * float64(len(groups)))
	byStep := slices.Clone(groups)
	slices.SortStableFunc(byStep, func(a, b *groupView) int { return int(b.step - a.step) })
	var open []*groupView
	for i, g := range byStep {
		if i < allowed && t.ejected(now, g, median) {
			continue
		}
		open = append(open, g)
	}
	return open
}

// ejected reports whether a group is left out of this choice, and updates its ejection state. A
// slow group is left out. A group that was slow recovers over recoveryTime: the fraction of choices
// in which it takes part rises from initialRecoveryRatio to 1.
func (t *Tracker) ejected(now time.Time, g *groupView, median time.Duration) bool {
	slow := median > 0 && g.step > slowFactor*median
	l := g.lead
	if slow {
		l.ejectedAt, l.recoveringSince = now, time.Time{}
		return true
	}
	if !l.ejectedAt.IsZero() {
		l.ejectedAt, l.recoveringSince = time.Time{}, now
	}
	if l.recoveringSince.IsZero() {
		return false
	}
	ratio := initialRecoveryRatio + (1-initialRecoveryRatio)*float64(now.Sub(l.recoveringSince))/float64(recoveryTime)
	if ratio >= 1 {
		l.recoveringSince = time.Time{}
		return false
	}
	return t.random.Float64() > ratio
}
