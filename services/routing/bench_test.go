// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package routing

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"fawnwinch.org/fawnwinch/models/group"
	"fawnwinch.org/fawnwinch/models/upstream"
)

// The benchmark steps a few groups in virtual time and lets several routers choose among their
// ranks.

const (
	benchRouters = 6
	benchGroups  = 3
	benchRanks   = 4
	benchSlots   = 32
	baseStep     = 4500 * time.Microsecond
	perSequence  = 150 * time.Microsecond
	meanTokens   = 64
	reportEvery  = 400 * time.Millisecond
	benchTime    = 30 * time.Second
)

// job is one request.
type job struct {
	router  int
	arrived time.Duration
	last    time.Duration
	tokens  int
	started bool
}

type benchRank struct{ running, waiting []*job }

type benchGroup struct {
	ranks []benchRank
	slow  float64
	step  group.Step
	// lastStep is the duration of the latest step.
	lastStep time.Duration
}

// event is an action that is due at a time.
type event struct {
	at time.Duration
	do func()
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at < e[j].at }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// chooser is the policy of one router.
type chooser interface {
	pick(now time.Time) int
	sent(now time.Time, rank int)
	token(now time.Time, rank int)
	done(now time.Time, rank int)
	report(rank int, r Report)
}

type bench struct {
	rnd      *rand.Rand
	now      time.Duration
	queue    events
	groups   []*benchGroup
	choosers []chooser
	lag      time.Duration
	load     float64
	stall    bool
	first    []float64
	between  []float64
	// late counts requests whose first token took longer than a second.
	late int
}

var epoch = time.Unix(0, 0)

func (b *bench) time() time.Time { return epoch.Add(b.now) }

func (b *bench) after(d time.Duration, do func()) { heap.Push(&b.queue, event{at: b.now + d, do: do}) }

func (b *bench) run() {
	for i := range b.groups {
		b.after(0, func() { b.stepGroup(i) })
	}
	b.after(0, b.arrive)
	b.after(0, b.measure)
	if b.stall {
		b.after(benchTime/2, func() { b.groups[0].slow = 1e5; b.after(3*time.Second, func() { b.groups[0].slow = 1 }) })
	}
	for len(b.queue) > 0 {
		e, _ := heap.Pop(&b.queue).(event)
		if e.at > benchTime {
			return
		}
		b.now = e.at
		e.do()
	}
}

// rate is the number of requests per second at the benchmark's load.
func (b *bench) rate() float64 {
	full := baseStep + benchSlots*perSequence
	return b.load * benchGroups * benchRanks * benchSlots / full.Seconds() / meanTokens
}

func (b *bench) arrive() {
	r := b.rnd.IntN(benchRouters)
	rank := b.choosers[r].pick(b.time())
	b.choosers[r].sent(b.time(), rank)
	j := &job{router: r, arrived: b.now, tokens: 1 + int(b.rnd.ExpFloat64()*(meanTokens-1))}
	g := b.groups[rank/benchRanks]
	g.ranks[rank%benchRanks].waiting = append(g.ranks[rank%benchRanks].waiting, j)
	b.after(time.Duration(b.rnd.ExpFloat64()/b.rate()*float64(time.Second)), b.arrive)
}

func (b *bench) stepGroup(i int) {
	g := b.groups[i]
	most := 0
	for r := range g.ranks {
		k := &g.ranks[r]
		for len(k.running) < benchSlots && len(k.waiting) > 0 {
			k.running = append(k.running, k.waiting[0])
			k.waiting = k.waiting[1:]
		}
		most = max(most, len(k.running))
	}
	d := time.Duration(g.slow * float64(baseStep+time.Duration(most)*perSequence))
	if g.slow > 100 {
		// A stalled step ends when the stall does.
		d = 3 * time.Second
	}
	g.lastStep = d
	b.after(d, func() { b.endStep(i) })
}

func (b *bench) endStep(i int) {
	g := b.groups[i]
	g.step++
	for r := range g.ranks {
		k := &g.ranks[r]
		k.running = slices.DeleteFunc(k.running, func(j *job) bool {
			b.token(j)
			b.choosers[j.router].token(b.time(), i*benchRanks+r)
			if j.tokens == 0 {
				b.choosers[j.router].done(b.time(), i*benchRanks+r)
			}
			return j.tokens == 0
		})
	}
	b.stepGroup(i)
}

func (b *bench) token(j *job) {
	j.tokens--
	if b.now < benchTime/5 {
		j.started, j.last = true, b.now
		return
	}
	if !j.started {
		j.started = true
		b.first = append(b.first, (b.now - j.arrived).Seconds())
		if b.now-j.arrived > time.Second {
			b.late++
		}
	} else {
		b.between = append(b.between, (b.now - j.last).Seconds())
	}
	j.last = b.now
}

// measure takes a report of each rank, which reaches the routers after the lag.
func (b *bench) measure() {
	for i, g := range b.groups {
		for r := range g.ranks {
			k := &g.ranks[r]
			rep := Report{At: b.time(), Work: len(k.running) + len(k.waiting), Concurrency: benchSlots, Step: g.step, StepTime: min(g.lastStep, 20*baseStep)}
			b.after(b.lag, func() {
				for _, c := range b.choosers {
					c.report(i*benchRanks+r, rep)
				}
			})
		}
	}
	b.after(reportEvery, b.measure)
}

func percentile(v []float64, p float64) float64 {
	s := slices.Clone(v)
	slices.Sort(s)
	return s[min(len(s)-1, int(math.Ceil(p*float64(len(s)))))]
}

// counts is a baseline policy; it uses only the router's own requests in flight.
type counts struct {
	rnd  *rand.Rand
	own  [benchGroups * benchRanks]int
	next int
	kind string
}

func (c *counts) sent(_ time.Time, r int) { c.own[r]++ }
func (c *counts) done(_ time.Time, r int) { c.own[r]-- }
func (c *counts) token(time.Time, int)    {}
func (c *counts) report(int, Report)      {}

func (c *counts) pick(time.Time) int {
	n := len(c.own)
	switch c.kind {
	case "round-robin":
		c.next++
		return c.next % n
	case "two-choices":
		a, b := c.rnd.IntN(n), c.rnd.IntN(n)
		if c.own[b] < c.own[a] {
			return b
		}
		return a
	default:
		best := c.rnd.IntN(n)
		for r := range n {
			if c.own[r] < c.own[best] {
				best = r
			}
		}
		return best
	}
}

// stepAware is the policy of this package.
type stepAware struct {
	t     *Tracker
	cands []Candidate
}

func id(r int) upstream.ID { return upstream.ID(fmt.Sprint(r)) }

func newStepAware(seed uint64) *stepAware {
	s := &stepAware{t: NewTracker(Options{Routers: benchRouters, EjectLimit: 0.5, Seed: seed})}
	for r := range benchGroups * benchRanks {
		s.cands = append(s.cands, Candidate{Upstream: id(r), Group: group.ID(fmt.Sprint("g", r/benchRanks))})
	}
	return s
}

func (s *stepAware) pick(now time.Time) int {
	u, _ := s.t.Pick(now, s.cands)
	var r int
	_, _ = fmt.Sscan(string(u), &r)
	return r
}

func (s *stepAware) sent(now time.Time, r int) {
	s.t.RequestSent(now, id(r))
	s.t.StreamStarted(now, id(r))
}

func (s *stepAware) done(now time.Time, r int) {
	s.t.RequestDone(now, id(r))
	s.t.StreamEnded(id(r))
}
func (s *stepAware) token(now time.Time, r int) { s.t.Progress(now, id(r)) }
func (s *stepAware) report(r int, rep Report)   { s.t.Report(id(r), rep) }

func newBench(seed uint64, kind string, lag time.Duration, load, slow float64, stall bool) *bench {
	b := &bench{rnd: rand.New(rand.NewPCG(seed, 21)), lag: lag, load: load, stall: stall}
	for i := range benchGroups {
		g := &benchGroup{ranks: make([]benchRank, benchRanks), slow: 1}
		if i == 1 {
			g.slow = slow
		}
		b.groups = append(b.groups, g)
	}
	for i := range benchRouters {
		if kind == "step-aware" {
			b.choosers = append(b.choosers, newStepAware(seed*10+uint64(i)))
			continue
		}
		b.choosers = append(b.choosers, &counts{rnd: rand.New(rand.NewPCG(seed, uint64(i))), kind: kind, next: i})
	}
	return b
}

var benchKinds = []string{"round-robin", "least-in-flight", "two-choices", "step-aware"}

const benchSeeds = 5

// BenchmarkPick reports the 99th percentiles of the time to the first token and of the time between
// tokens, in milliseconds, as medians over seeds.
func BenchmarkPick(b *testing.B) {
	for _, tc := range []struct {
		name  string
		load  float64
		slow  float64
		stall bool
	}{{"even", 0.8, 1, false}, {"slow-group", 0.8, 1.5, false}, {"stalled-group", 0.5, 1, true}} {
		for _, lag := range []time.Duration{0, 200 * time.Millisecond, time.Second} {
			for _, kind := range benchKinds {
				b.Run(fmt.Sprintf("%s/lag%s/%s", tc.name, lag, kind), func(b *testing.B) {
					var first, between, late []float64
					for range b.N {
						for seed := range uint64(benchSeeds) {
							x := newBench(seed, kind, lag, tc.load, tc.slow, tc.stall)
							x.run()
							first = append(first, 1000*percentile(x.first, 0.99))
							between = append(between, 1000*percentile(x.between, 0.99))
							late = append(late, float64(x.late))
						}
					}
					b.ReportMetric(percentile(first, 0.4), "first-p99-ms")
					b.ReportMetric(percentile(between, 0.4), "between-p99-ms")
					b.ReportMetric(percentile(late, 0.4), "over-1s")
				})
			}
		}
	}
}

// BenchmarkPickCost times one choice by the number of upstreams.
func BenchmarkPickCost(b *testing.B) {
	for _, n := range []int{12, 96, 760} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			t := NewTracker(Options{Routers: 6, EjectLimit: 0.5})
			var cands []Candidate
			for i := range n {
				cands = append(cands, Candidate{Upstream: id(i), Group: group.ID(fmt.Sprint(i / 8))})
				t.Report(id(i), Report{At: epoch.Add(time.Second), Work: i % 13, Concurrency: 32, StepTime: baseStep})
			}
			for b.Loop() {
				if _, ok := t.Pick(epoch.Add(time.Second), cands); !ok {
					b.Fatal("no pick")
				}
			}
		})
	}
}
