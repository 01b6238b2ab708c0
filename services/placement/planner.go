// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package placement

import (
	"math"
	"time"

	"fawnwinch.org/fawnwinch/models/expertmap"
	"fawnwinch.org/fawnwinch/models/intent"
)

// Reason is the reason why a plan changes a map or does not.
type Reason string

// The reasons.
const (
	ReasonImprove       Reason = "improve"
	ReasonRollback      Reason = "rollback"
	ReasonQuietHours    Reason = "quiet-hours"
	ReasonNotWorthwhile Reason = "not-worth-it"
	ReasonNoData        Reason = "no-data"
)

// Plan is the decision of a planner.
type Plan struct {
	// Map is the map to switch to, or nil.
	Map    *expertmap.Map
	Reason Reason
	Moves  int
	// Before and After are the skews under the smoothed popularity.
	Before, After float64
}

const (
	// halfLife is the time after which the weight of a token has halved.
	halfLife = 20 * time.Second
	// budgetFraction is the fraction of all slots that one plan may load.
	budgetFraction = 0.25
	// rollbackWindow is the time after a switch in which it may be rolled back.
	rollbackWindow = 5 * time.Minute
	// rollbackMargin is the excess of the new map's skew over the old map's that causes a rollback.
	rollbackMargin = 0.02
	// minTokens is the number of tokens a layer must have received before a plan is made.
	minTokens = 100
)

// Planner turns the token counts of one group into plans. It does no I/O and reads no clock.
type Planner struct {
	popularity Popularity
	last       [][]float64
	lastAt     time.Time
	tokens     float64
	floors     []float64
	// previous is the map before the latest switch, switchedAt its time.
	previous   *expertmap.Map
	switchedAt time.Time
}

// NewPlanner returns a planner without observations.
func NewPlanner() *Planner { return &Planner{} }

// Observe processes the token counts of all experts since the engines started.
func (p *Planner) Observe(now time.Time, counts [][]float64) {
	if p.last == nil || len(p.last) != len(counts) {
		p.last, p.lastAt = counts, now
		return
	}
	decay := math.Exp2(-now.Sub(p.lastAt).Seconds() / halfLife.Seconds())
	if p.popularity == nil {
		p.popularity = make(Popularity, len(counts))
		for l := range counts {
			p.popularity[l] = make([]float64, len(counts[l]))
		}
	}
	p.tokens *= decay
	for l := range counts {
		for e := range counts[l] {
			delta := max(0, counts[l][e]-p.last[l][e])
			p.popularity[l][e] = decay*p.popularity[l][e] + delta
			if l == 0 {
				p.tokens += delta
			}
		}
	}
	p.last, p.lastAt = counts, now
}

// RecordSwitch records that a new map is in use; from is the map before it.
func (p *Planner) RecordSwitch(now time.Time, from *expertmap.Map) {
	p.previous, p.switchedAt = from, now
	p.floors = nil
}

// Plan returns the plan for the map in use.
func (p *Planner) Plan(now time.Time, m *expertmap.Map, speed []float64, r intent.Rebalance) (Plan, error) {
	if p.popularity == nil || p.tokens < minTokens {
		return Plan{Reason: ReasonNoData}, nil
	}
	if back, ok := p.rollback(now, m, speed); ok {
		return back, nil
	}
	if inQuietHours(now, r) {
		return Plan{Reason: ReasonQuietHours}, nil
	}
	res, err := Decide(m, p.popularity, speed, policy(m, r.Prefer), p.floors)
	if err != nil {
		return Plan{}, err
	}
	p.floors = res.Floors
	plan := Plan{Map: res.Map, Reason: ReasonImprove, Moves: res.Moves, Before: res.Before, After: res.After}
	if res.Map == nil {
		plan.Reason = ReasonNotWorthwhile
	}
	return plan, nil
}

// rollback returns a plan that reverts a recent switch if the previous map would now have less
// skew. A rollback is not a voluntary move, so it also happens in quiet hours.
func (p *Planner) rollback(now time.Time, m *expertmap.Map, speed []float64) (Plan, bool) {
	if p.previous == nil || now.Sub(p.switchedAt) > rollbackWindow {
		return Plan{}, false
	}
	have, err := Skew(m, p.popularity, speed)
	if err != nil {
		return Plan{}, false
	}
	before, err := Skew(p.previous, p.popularity, speed)
	if err != nil || have <= before+rollbackMargin {
		return Plan{}, false
	}
	return Plan{Map: p.previous.Clone(), Reason: ReasonRollback, Moves: Moves(m, p.previous), Before: have, After: before}, true
}

// inQuietHours reports whether now is within the quiet hours (UTC), in which voluntary moves are
// not made.
func inQuietHours(now time.Time, r intent.Rebalance) bool {
	h := now.UTC().Hour()
	if r.QuietFrom <= r.QuietTo {
		return h >= r.QuietFrom && h < r.QuietTo
	}
	return h >= r.QuietFrom || h < r.QuietTo
}

func policy(m *expertmap.Map, prefer intent.Preference) Policy {
	slots := 0
	for _, l := range m.Layers {
		for _, held := range l.Slots {
			slots += len(held)
		}
	}
	budget := int(budgetFraction * float64(slots))
	if prefer == intent.PreferSkew {
		return SkewPolicy(budget)
	}
	return CostPolicy(budget)
}

// Speeds estimates the relative speed of each rank from the expected load of its experts and its
// busy time per step. If any rank has reported no time, all speeds are 1.
func Speeds(m *expertmap.Map, p Popularity, busy []time.Duration) []float64 {
	speed := make([]float64, len(busy))
	for i := range speed {
		speed[i] = 1
	}
	layers, err := newLayers(m, p, speed)
	if err != nil {
		return speed
	}
	rate := make([]float64, len(busy))
	var sum float64
	for r, b := range busy {
		var work float64
		for _, l := range layers {
			work += l.load[r]
		}
		if b <= 0 || work <= 0 {
			return speed
		}
		rate[r] = work / b.Seconds()
		sum += rate[r]
	}
	for r := range rate {
		speed[r] = roundSpeed(rate[r] * float64(len(rate)) / sum)
	}
	return speed
}

// roundSpeed rounds a speed so that small differences, which are noise, do not cause moves.
func roundSpeed(s float64) float64 {
	const resolution = 0.1
	return max(resolution, math.Round(s/resolution)*resolution)
}

// Popularity returns the smoothed popularity, or nil.
func (p *Planner) Popularity() Popularity { return p.popularity }
