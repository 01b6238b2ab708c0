// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package upstream

import (
	"context"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"fawnwinch.org/fawnwinch/models/expertmap"
	"fawnwinch.org/fawnwinch/models/group"
	"fawnwinch.org/fawnwinch/services"
)

// GroupOptions sets the size and speed of a group of ranks.
type GroupOptions struct {
	ID      group.ID
	Ranks   int
	Layers  int
	Experts int
	// Slots is the number of experts of a layer that one rank can hold.
	Slots int
	// StepTime is the duration of an even step without requests.
	StepTime time.Duration
	// PerSequence is what each running request adds to the step of its rank.
	PerSequence time.Duration
	// MaxRunning is the number of requests a rank works on at a time.
	MaxRunning int
	// ChecksFence makes ranks refuse orders with an old fence.
	ChecksFence bool
	// ReportLag is how old the load that ranks report may be.
	ReportLag time.Duration
	// Seed starts the drift of expert popularity.
	Seed uint64
}

// DefaultGroupOptions returns a small group with steps of four and a half milliseconds.
func DefaultGroupOptions(id group.ID) GroupOptions {
	return GroupOptions{
		ID: id, Ranks: 4, Layers: 4, Experts: 32, Slots: 10, StepTime: 4500 * time.Microsecond,
		PerSequence: 30 * time.Microsecond, MaxRunning: 32, ChecksFence: true, Seed: 1,
	}
}

// SlotsFor returns the slots of each of ranks that hold all experts and a quarter more for replicas.
func SlotsFor(experts, ranks int) int { return (experts*5/4 + ranks - 1) / ranks }

// sequence is one running or waiting request.
type sequence struct {
	ctx      context.Context
	prefill  int
	next     int
	last     int
	priority int
	tokens   chan int
}

// rank is the state of one rank; the group's lock guards it.
type rank struct {
	number   group.Rank
	current  *expertmap.Map
	staged   *expertmap.Map
	hold     group.Step
	holdMap  expertmap.Version
	switchAt group.Step
	switchTo *expertmap.Map
	fence    services.Fence
	running  []*sequence
	waiting  []*sequence
	stall    time.Duration
	speed    float64
	busy     float64
	reported report
	cache    *prefixCache
}

// report is the load of a rank as it was at a time.
type report struct {
	at               time.Time
	running, waiting int
	step, busy       int64
	load             float64
}

// report returns the rank's load, which lags. The caller holds the lock.
func (g *Group) report(now time.Time, r *rank) report {
	if now.Sub(r.reported.at) >= g.opts.ReportLag {
		r.reported = report{
			at: now, running: len(r.running), waiting: len(r.waiting),
			step: int64(g.micros), busy: int64(r.busy), load: g.expertLoads()[r.number],
		}
	}
	return r.reported
}

// StepRecord tells which map each rank used in a step.
type StepRecord struct {
	Step group.Step          `json:"step"`
	Maps []expertmap.Version `json:"maps"`
}

// Group steps its ranks together. Mixed counts steps in which ranks used different maps.
type Group struct {
	opts GroupOptions

	mu         sync.Mutex
	changed    *sync.Cond
	ranks      []*rank
	step       group.Step
	popularity [][]float64
	tokens     [][]float64
	micros     float64
	skew       float64
	mixed      int
	switches   []StepRecord
	stopped    bool
	done       chan struct{}
	random     *rand.Rand
}

// NewGroup returns a group on its first map. Run makes it step.
func NewGroup(o GroupOptions) (*Group, error) {
	first, err := expertmap.RoundRobin(o.ID, o.Layers, o.Ranks, o.Slots, o.Experts)
	if err != nil {
		return nil, err
	}
	g := &Group{opts: o, done: make(chan struct{}), random: rand.New(rand.NewPCG(o.Seed, 7))} //nolint:gosec // repeatable drift
	g.changed = sync.NewCond(&g.mu)
	for i := range o.Ranks {
		g.ranks = append(g.ranks, &rank{number: group.Rank(i), current: first, speed: 1, cache: newPrefixCache()})
	}
	g.popularity = make([][]float64, o.Layers)
	g.tokens = make([][]float64, o.Layers)
	for l := range o.Layers {
		g.popularity[l] = make([]float64, o.Experts)
		g.tokens[l] = make([]float64, o.Experts)
		for e, p := range g.random.Perm(o.Experts) {
			g.popularity[l][e] = 1 / math.Pow(float64(p+1), 0.6)
		}
	}
	return g, nil
}

// Start makes the group step until Stop.
func (g *Group) Start() { go g.run() }

// Stop ends the steps.
func (g *Group) Stop() {
	g.mu.Lock()
	g.stopped = true
	g.changed.Broadcast()
	g.mu.Unlock()
	<-g.done
}

func (g *Group) run() {
	defer close(g.done)
	for {
		d, ok := g.enterStep()
		if !ok {
			return
		}
		time.Sleep(d)
		g.finishStep()
	}
}

// enterStep waits until every rank may enter the next step and returns how long it takes.
func (g *Group) enterStep() (time.Duration, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for !g.stopped && (g.heldLocked() || g.idleLocked()) {
		g.changed.Wait()
	}
	if g.stopped {
		return 0, false
	}
	g.step++
	maps := make([]expertmap.Version, len(g.ranks))
	switched := false
	for i, r := range g.ranks {
		if r.switchTo != nil && g.step >= r.switchAt {
			r.current, r.switchTo, r.switchAt = r.switchTo, nil, 0
			switched = true
		}
		maps[i] = r.current.Version
	}
	g.record(maps, switched)
	g.admit()
	return g.stepTime(), true
}

// heldLocked reports whether a rank must not enter the next step before a decision.
func (g *Group) heldLocked() bool {
	for _, r := range g.ranks {
		if r.hold != 0 && g.step+1 >= r.hold {
			return true
		}
	}
	return false
}

// idleLocked reports whether nothing needs a step. A pending hold or switch is worked off by stepping.
func (g *Group) idleLocked() bool {
	for _, r := range g.ranks {
		if len(r.running)+len(r.waiting) > 0 || r.hold != 0 || r.switchTo != nil {
			return false
		}
	}
	return true
}

func (g *Group) record(maps []expertmap.Version, switched bool) {
	mixed := false
	for _, m := range maps[1:] {
		mixed = mixed || m != maps[0]
	}
	if mixed {
		g.mixed++
	}
	if (switched || mixed) && len(g.switches) < 1000 {
		g.switches = append(g.switches, StepRecord{Step: g.step, Maps: maps})
	}
}

// admit moves waiting requests into the batch, the highest priority first.
func (g *Group) admit() {
	for _, r := range g.ranks {
		for len(r.running) < g.opts.MaxRunning && len(r.waiting) > 0 {
			best := 0
			for i, s := range r.waiting {
				if s.priority > r.waiting[best].priority {
					best = i
				}
			}
			r.running = append(r.running, r.waiting[best])
			r.waiting = append(r.waiting[:best], r.waiting[best+1:]...)
		}
	}
}

// smoothing is the weight of the latest step in the means.
const smoothing = 0.1

// stepTime is the time of the slowest rank.
func (g *Group) stepTime() time.Duration {
	loads := g.expertLoads()
	var slowest time.Duration
	g.skew = 0
	for i, r := range g.ranks {
		g.skew = max(g.skew, loads[i])
		d := time.Duration(float64(g.opts.StepTime) * loads[i] / r.speed)
		d += time.Duration(len(r.running))*g.opts.PerSequence + r.stall
		r.busy += smoothing * (float64(d.Microseconds()) - r.busy)
		slowest = max(slowest, d)
	}
	g.micros += smoothing * (float64(slowest.Microseconds()) - g.micros)
	return slowest
}

// expertLoads returns each rank's expert load against the mean.
func (g *Group) expertLoads() []float64 {
	loads := make([]float64, len(g.ranks))
	var total float64
	for l := range g.opts.Layers {
		replicas := make([]float64, g.opts.Experts)
		for _, r := range g.ranks {
			for _, e := range r.current.Layers[l].Slots[r.number] {
				replicas[e]++
			}
		}
		for i, r := range g.ranks {
			for _, e := range r.current.Layers[l].Slots[r.number] {
				loads[i] += g.popularity[l][e] / replicas[e]
				total += g.popularity[l][e] / replicas[e]
			}
		}
	}
	for i := range loads {
		loads[i] *= float64(len(g.ranks)) / total
	}
	return loads
}

// finishStep gives every running request its token.
func (g *Group) finishStep() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, r := range g.ranks {
		kept := r.running[:0]
		for _, s := range r.running {
			if s.advance() {
				kept = append(kept, s)
			}
			g.countTokens()
		}
		r.running = kept
	}
}

func (g *Group) countTokens() {
	for l := range g.tokens {
		for e := range g.tokens[l] {
			g.tokens[l][e] += g.popularity[l][e]
		}
	}
}

// advance reports whether the sequence goes on after this step.
func (s *sequence) advance() bool {
	if s.ctx.Err() != nil {
		close(s.tokens)
		return false
	}
	if s.prefill > 0 {
		s.prefill--
		return true
	}
	s.tokens <- s.next
	s.next++
	if s.next < s.last {
		return true
	}
	close(s.tokens)
	return false
}

// submit puts a request on a rank. Its tokens arrive on the channel of the sequence, which holds them all.
func (g *Group) submit(n group.Rank, s *sequence) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ranks[n].waiting = append(g.ranks[n].waiting, s)
	g.changed.Broadcast()
}

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

// Fault is a switchable misbehaviour of a group.
type Fault struct {
	Rank group.Rank `json:"rank"`
	// StallMillis is added to every step of the rank, in milliseconds.
	StallMillis int `json:"stall_ms"`
	// Speed is the rank's speed; 1 is normal.
	Speed float64 `json:"speed"`
	// Drift swaps this many pairs of expert popularities in every layer.
	Drift int `json:"drift"`
}

// SetFault switches the misbehaviour.
func (g *Group) SetFault(f Fault) {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.ranks[f.Rank]
	r.stall = time.Duration(f.StallMillis) * time.Millisecond
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
