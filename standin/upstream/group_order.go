// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package upstream

import (
	"time"

	"fawnwinch.org/fawnwinch/models/expertmap"
	"fawnwinch.org/fawnwinch/models/group"
	"fawnwinch.org/fawnwinch/services"
)

// State returns the state that a rank reports.
func (g *Group) State(n group.Rank) services.EngineState {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.ranks[n]
	l := g.report(time.Now(), r)
	return services.EngineState{
		Rank: n, Step: g.step, Map: r.current.Version, Fence: r.fence, Running: l.running,
		Waiting: l.waiting, StepMicros: l.stepMicros, BusyMicros: l.busyMicros, Load: l.load,
		Staged: version(r.staged), Hold: r.hold, HoldMap: r.holdMap, SwitchAt: r.switchAt, SwitchMap: version(r.switchTo),
	}
}

func version(m *expertmap.Map) expertmap.Version {
	if m == nil {
		return 0
	}
	return m.Version
}

// Order applies an order to a rank.
func (g *Group) Order(n group.Rank, o services.Order) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	defer g.changed.Broadcast()
	r := g.ranks[n]
	if g.opts.ChecksFence && o.Fence < r.fence {
		return services.ErrRefused{Reason: "old fence"}
	}
	r.fence = max(r.fence, o.Fence)
	switch o.Kind {
	case services.OrderFence:
	case services.OrderStage:
		r.staged = o.Map
	case services.OrderHold:
		if o.Step <= g.step {
			return services.ErrRefused{Reason: "too late"}
		}
		if r.staged == nil || r.staged.Version != o.Map.Version {
			return services.ErrRefused{Reason: "not staged"}
		}
		r.hold, r.holdMap = o.Step, o.Map.Version
		g.awaitHoldAnswer(r)
	case services.OrderSwitch:
		if r.staged == nil || r.staged.Version != o.Map.Version {
			return services.ErrRefused{Reason: "not staged"}
		}
		r.switchTo, r.switchAt, r.hold, r.holdMap = r.staged, o.Step, 0, 0
	case services.OrderRelease:
		r.hold, r.holdMap = 0, 0
	case services.OrderReset:
		r.current, r.hold, r.holdMap, r.switchTo, r.switchAt = o.Map, 0, 0, nil, 0
		for _, s := range append(r.running, r.waiting...) {
			close(s.tokens)
		}
		r.running, r.waiting = nil, nil
	default:
		return services.ErrRefused{Reason: "unknown order " + string(o.Kind)}
	}
	return nil
}

// awaitHoldAnswer waits until the rank may answer an order to hold. The hold is in force meanwhile,
// since the wait on changed releases the lock.
func (g *Group) awaitHoldAnswer(r *rank) {
	for r.withholdHoldAnswer && !g.stopped {
		g.changed.Wait()
	}
}

// Fault holds the faults of a rank and a change of expert popularity.
type Fault struct {
	Rank group.Rank `json:"rank"`
	// StallMillis is added to every step of the rank, in milliseconds.
	StallMillis int `json:"stall_ms"`
	// Speed is the rank's relative speed; 1 is normal, and 0 leaves it unchanged.
	Speed float64 `json:"speed"`
	// Drift is the number of pairs of experts per layer whose popularities are swapped.
	Drift int `json:"drift"`
	// KeepHoldAnswer makes the rank apply an order to hold but delay the answer until the fault is
	// cleared, so that a test can act while all ranks hold.
	KeepHoldAnswer bool `json:"keep_hold_answer"`
}

// SetFault sets the faults of a rank.
func (g *Group) SetFault(f Fault) {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.ranks[f.Rank]
	r.stall = time.Duration(f.StallMillis) * time.Millisecond
	r.withholdHoldAnswer = f.KeepHoldAnswer
	g.changed.Broadcast()
	if f.Speed > 0 {
		r.speed = f.Speed
	}
	for range f.Drift {
		for l := range g.popularity {
			a, b := g.random.IntN(g.opts.Experts), g.random.IntN(g.opts.Experts)
			g.popularity[l][a], g.popularity[l][b] = g.popularity[l][b], g.popularity[l][a]
		}
	}
}

// Report holds the counters and the history of a group, for tests.
type Report struct {
	Step     group.Step   `json:"step"`
	Mixed    int          `json:"mixed"`
	Skew     float64      `json:"skew"`
	Switches []StepRecord `json:"switches"`
}

// Report returns the counters and the history of the group.
func (g *Group) Report() Report {
	g.mu.Lock()
	defer g.mu.Unlock()
	return Report{Step: g.step, Mixed: g.mixedSteps, Skew: g.skew, Switches: append([]StepRecord(nil), g.switches...)}
}

// TokenCounts returns the number of tokens that each expert of each layer has processed.
func (g *Group) TokenCounts() [][]float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	out := make([][]float64, len(g.tokens))
	for l := range g.tokens {
		out[l] = append([]float64(nil), g.tokens[l]...)
	}
	return out
}

// CurrentMap returns the map that a rank uses.
func (g *Group) CurrentMap(n group.Rank) *expertmap.Map {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.ranks[n].current
}
