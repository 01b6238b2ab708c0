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
	// slowFactor is how many times the median step time makes a group slow.
	slowFactor = 3
	// returnTime is how long a group that was shut out takes to get its full part again.
	returnTime = 5 * time.Second
	// firstPart is the part a returning group begins with.
	firstPart = 0.1
)

// Pick returns the upstream that should take a request, or false if there is no candidate.
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

// view is one group at the time of a choice.
type view struct {
	id    group.ID
	step  time.Duration
	ranks []Candidate
	// fullest is the most work a rank of the group has.
	fullest float64
	// progress is the latest time one of this router's streams got a token, or zero if it has none.
	progress time.Time
	lead     *track
}

// groups collects the candidates by group; an upstream of a plain service is a group of its own.
func (t *Tracker) groups(now time.Time, cands []Candidate) []*view {
	var out []*view
	at := map[group.ID]*view{}
	for _, c := range cands {
		id := c.Group
		if id == "" {
			id = group.ID("upstream:" + string(c.Upstream))
		}
		v, ok := at[id]
		if !ok {
			v = &view{id: id, lead: t.track(c.Upstream)}
			at[id] = v
			out = append(out, v)
		}
		v.ranks = append(v.ranks, c)
		v.step = max(v.step, t.stepTime(now, c.Upstream))
		v.fullest = max(v.fullest, t.work(c.Upstream))
		if tr := t.track(c.Upstream); tr.streams > 0 && tr.progress.After(v.progress) {
			v.progress = tr.progress
		}
	}
	for _, v := range out {
		v.noteStall(now)
	}
	return out
}

// noteStall counts the time since any of this router's streams got a token as the group's step, once
// that is too long for a step. It shows a stall before the reports do.
func (v *view) noteStall(now time.Time) {
	if v.progress.IsZero() || v.step <= 0 {
		return
	}
	if age := now.Sub(v.progress); age > stallSteps*v.step {
		v.step = max(v.step, age)
	}
}

// cost estimates how long a request takes at a rank, and how much longer it makes everybody else's.
// The unit is the step time of the group.
func (t *Tracker) cost(g *view, c Candidate) float64 {
	work := t.work(c.Upstream)
	slots := float64(max(1, t.track(c.Upstream).report.Concurrency))
	step := max(g.step.Seconds(), minStep)
	queue := max(0, work+1-slots) / slots
	fill := (work + 1) / slots
	gating := max(0, work+1-g.fullest) / slots
	return step * (1 + queueWeight*queue + fillWeight*math.Pow(min(1, fill), fillPower) + gating)
}

const (
	// minStep stands for the step time of upstreams that have none, in seconds.
	minStep = 0.001
	// queueWeight is what a full round of waiting costs against a step.
	queueWeight = 20
	// fillWeight is what a full rank costs against an empty one. The power makes the last places dear:
	// a slow group with room is better than a fast one where the next request would wait.
	fillWeight = 4
	fillPower  = 4
)

// eject leaves out groups that are slow against the median, within the limit, and lets recovered
// groups back in by and by.
func (t *Tracker) eject(now time.Time, groups []*view) []*view {
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
	slices.SortStableFunc(byStep, func(a, b *view) int { return int(b.step - a.step) })
	var open []*view
	for i, g := range byStep {
		if i < allowed && t.shut(now, g, median) {
			continue
		}
		open = append(open, g)
	}
	return open
}

// shut reports whether a group is left out of this choice.
func (t *Tracker) shut(now time.Time, g *view, median time.Duration) bool {
	slow := median > 0 && g.step > slowFactor*median
	l := g.lead
	if slow {
		l.slowSince, l.backSince = now, time.Time{}
		return true
	}
	if !l.slowSince.IsZero() {
		l.slowSince, l.backSince = time.Time{}, now
	}
	if l.backSince.IsZero() {
		return false
	}
	part := firstPart + (1-firstPart)*float64(now.Sub(l.backSince))/float64(returnTime)
	if part >= 1 {
		l.backSince = time.Time{}
		return false
	}
	return t.random.Float64() > part
}
