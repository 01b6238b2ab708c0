// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package upstream

import (
	"time"

	"fawnwinch.org/fawnwinch/models/expertmap"
	"fawnwinch.org/fawnwinch/models/group"
	"fawnwinch.org/fawnwinch/services"
)

// State returns what a rank tells about itself.
func (g *Group) State(n group.Rank) services.EngineState {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.ranks[n]
	l := g.report(time.Now(), r)
	return services.EngineState{
		Rank: n, Step: g.step, Map: r.current.Version, Fence: r.fence, Running: l.running,
		Waiting: l.waiting, StepMicros: l.step, BusyMicros: l.busy, Load: l.load,
		Staged: version(r.staged), Hold: r.hold, HoldMap: r.holdMap, SwitchAt: r.switchAt, SwitchMap: version(r.switchTo),
	}
}

func version(m *expertmap.Map) expertmap.Version {
	if m == nil {
		return 0
	}
	return m.Version
}

// Order carries out an order at a rank.
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
		g.keepAnswer(r)
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

// keepAnswer returns when the rank may answer an order to hold. The hold is in force meanwhile: the
// wait on changed gives the lock back.
func (g *Group) keepAnswer(r *rank) {
	for r.keepHoldAnswer && !g.stopped {
		g.changed.Wait()
	}
}

// Fault is a switchable misbehaviour of a group.
type Fault struct {
	Rank group.Rank `json:"rank"`
	// StallMillis is added to every step of the rank, in milliseconds.
	StallMillis int `json:"stall_ms"`
	// Speed is the rank's speed; 1 is normal.
	Speed float64 `json:"speed"`
	// Drift swaps this many pairs of expert popularities in every layer.
	Drift int `json:"drift"`
	// KeepHoldAnswer makes the rank carry out an order to hold but answer it only when the fault is
	// over, so that a test can act while all ranks hold.
	KeepHoldAnswer bool `json:"keep_hold_answer"`
}

// SetFault switches the misbehaviour.
func (g *Group) SetFault(f Fault) {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.ranks[f.Rank]
	r.stall = time.Duration(f.StallMillis) * time.Millisecond
	r.keepHoldAnswer = f.KeepHoldAnswer
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

// Report is what the stand-in saw, for tests.
type Report struct {
	Step     group.Step   `json:"step"`
	Mixed    int          `json:"mixed"`
	Skew     float64      `json:"skew"`
	Switches []StepRecord `json:"switches"`
}

// Report returns what the stand-in saw.
func (g *Group) Report() Report {
	g.mu.Lock()
	defer g.mu.Unlock()
	return Report{Step: g.step, Mixed: g.mixed, Skew: g.skew, Switches: append([]StepRecord(nil), g.switches...)}
}

// Popularity returns how many tokens each expert of each layer has had.
func (g *Group) Popularity() [][]float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	out := make([][]float64, len(g.tokens))
	for l := range g.tokens {
		out[l] = append([]float64(nil), g.tokens[l]...)
	}
	return out
}

// CurrentMap returns the map a rank uses.
func (g *Group) CurrentMap(n group.Rank) *expertmap.Map {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.ranks[n].current
}
