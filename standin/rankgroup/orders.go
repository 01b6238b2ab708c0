// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package rankgroup

import (
	"encoding/json"
	"net/http"
	"time"
)

// order is the body of an order.
type order struct {
	Op      string    `json:"op"`
	Fence   uint64    `json:"fence"`
	Epoch   uint64    `json:"epoch"`
	Version uint64    `json:"version"`
	Step    uint64    `json:"step"`
	Map     expertMap `json:"map"`
}

// Handler serves the reports, counts and orders of one rank.
func (g *Group) Handler(n int) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /fawnwinch/report", func(w http.ResponseWriter, _ *http.Request) { answer(w, g.report(time.Now(), n)) })
	mux.HandleFunc("GET /fawnwinch/picked", func(w http.ResponseWriter, r *http.Request) { answer(w, g.picked(n, r.URL.Query().Has("lists"))) })
	mux.HandleFunc("POST /fawnwinch/order", func(w http.ResponseWriter, r *http.Request) {
		var o order
		if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		if g.loseAnswer(n, o) {
			<-r.Context().Done()
			return
		}
		w.WriteHeader(g.apply(time.Now(), n, o))
	})
	return mux
}

func answer(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // the caller may have disconnected
}

// report returns the report of a rank.
func (g *Group) report(now time.Time, n int) map[string]any {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.ranks[n]
	out := map[string]any{
		"group": map[string]any{"name": g.opts.Name, "epoch": g.epoch, "rank": n, "state": "open"}, "size": len(g.ranks),
		"running": g.opts.Running, "waiting": 0, "pace": 1, "step": g.step, "map": r.version,
	}
	if r.prepared != 0 && !now.Before(r.readyAt) {
		out["prepared"] = r.prepared
	}
	if r.armed != 0 {
		out["armed"] = map[string]any{"version": r.armed, "step": r.armedAt}
	}
	if r.holds {
		out["held"] = r.held
	}
	return out
}

// picked returns a rank's counts of expert choices, or the map that it uses if lists is set.
func (g *Group) picked(n int, lists bool) map[string]any {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.ranks[n]
	if !lists {
		return map[string]any{"step": g.step, "epoch": g.epoch, "counts": append([]uint64(nil), r.counts...)}
	}
	experts := make([][]int, g.opts.Layers)
	for l := range experts {
		experts[l] = r.experts[l][n]
	}
	return map[string]any{"map": map[string]any{"version": r.version, "experts": experts}}
}

// loseAnswer decides at random, by Faults.Lost, whether an order gets no answer. If so, the order
// is applied after Faults.Late, as if the network had delayed it.
func (g *Group) loseAnswer(n int, o order) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.rand.Float64() >= g.faults.Lost {
		return false
	}
	timer := time.NewTimer(g.faults.Late)
	g.done.Go(func() {
		defer timer.Stop()
		select {
		case <-timer.C:
			g.apply(time.Now(), n, o)
		case <-g.stopped:
		}
	})
	return true
}

// apply applies an order to a rank and returns the HTTP status of the answer.
func (g *Group) apply(now time.Time, n int, o order) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.ranks[n]
	if o.Epoch != g.epoch {
		return http.StatusConflict
	}
	if o.Fence < r.fence {
		return http.StatusPreconditionFailed
	}
	r.fence = o.Fence
	switch o.Op {
	case "prepare":
		return g.prepare(now, r, o)
	case "arm":
		return g.arm(now, r, o)
	case "disarm":
		return r.disarm(o)
	case "hold":
		return g.hold(r, o)
	case "go":
		return r.release(o)
	default:
		return http.StatusBadRequest
	}
}

func (g *Group) prepare(now time.Time, r *rank, o order) int {
	if r.prepared == o.Version {
		return http.StatusOK
	}
	if o.Version <= r.newestPrepared || r.armed != 0 {
		return http.StatusConflict
	}
	r.prepared, r.newestPrepared, r.next, r.readyAt = o.Version, o.Version, o.Map, now.Add(g.opts.LoadTime)
	return http.StatusAccepted
}

func (g *Group) arm(now time.Time, r *rank, o order) int {
	if r.armed == o.Version && r.armedAt == o.Step {
		return http.StatusOK
	}
	if r.prepared != o.Version || now.Before(r.readyAt) || o.Step <= g.step {
		return http.StatusConflict
	}
	r.armed, r.armedAt = o.Version, o.Step
	return http.StatusAccepted
}

func (r *rank) disarm(o order) int {
	if r.version == o.Version {
		return http.StatusConflict
	}
	if r.armed == o.Version {
		r.armed = 0
	}
	return http.StatusOK
}

func (g *Group) hold(r *rank, o order) int {
	if r.holds && r.held == o.Step {
		return http.StatusOK
	}
	if r.holds || o.Step <= g.step {
		return http.StatusConflict
	}
	r.holds, r.held = true, o.Step
	return http.StatusAccepted
}

func (r *rank) release(o order) int {
	if !r.holds || r.held != o.Step {
		return http.StatusConflict
	}
	r.holds = false
	return http.StatusOK
}
