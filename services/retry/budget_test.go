// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package retry

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

var (
	testStart  = time.Unix(1_800_000_000, 0)
	testLimits = Limits{Ratio: 0.2, Slack: 64, Window: 10 * time.Second}
)

// times are the seconds at which something happened, in order.
type times []float64

// in counts the times from from on, before to.
func (t times) in(from, to float64) int {
	first, _ := slices.BinarySearch(t, from)
	last, _ := slices.BinarySearch(t, to)
	return last - first
}

// exceeds returns by how much the retries of a window exceed the limits. The requests are those of
// the window, of the one before it or of the one half a window before it, whichever has most.
func exceeds(l Limits, requests, retries times, from float64) float64 {
	w := l.Window.Seconds()
	allowed := l.Ratio*float64(max(requests.in(from, from+w), requests.in(from-w, from), requests.in(from-w/2, from+w/2))) + l.Slack
	return float64(retries.in(from, from+w)) - allowed
}

// simulatedRouter is a router of a simulation. A router that is cut off learns of no other router.
type simulatedRouter struct {
	budget   *Budget
	routers  Routers
	held     []Retry
	cut      bool
	weight   int
	learnsAt time.Duration
}

// learnTime is the longest time until a router that starts knows all others.
const learnTime = 3 * time.Second

// pick returns one of some values.
func pick[T any](chance *rand.Rand, values ...T) T { return values[chance.IntN(len(values))] }

// schedule is a random course of requests and of what happens to routers.
type schedule struct {
	chance *rand.Rand
	all    []*simulatedRouter
	// rate is the number of requests per step, and demand the part of them that is to be sent again
	// at once, without a bound above 1.
	rate                 int
	demand               float64
	nextRate, nextDemand time.Duration
	// standstill reports whether nothing can be sent, so that routers hold what they have taken.
	standstill     bool
	nextStandstill time.Duration
	// pause is the mean number of steps between two events of a kind.
	pause, most int
}

func newSchedule(seed uint64) *schedule {
	s := &schedule{chance: rand.New(rand.NewPCG(seed, 58))}
	s.pause = pick(s.chance, 30, 100, 1000, 10000)
	n := 1 + s.chance.IntN(40)
	s.most = n + n/2
	before := testStart.Add(-time.Minute)
	for i := range n {
		s.all = append(s.all, nil)
		s.start(before, i)
		s.all[i].routers.Set(before, n)
		s.all[i].routers.Set(before.Add(settleTime), n)
	}
	return s
}

// start starts a router, which knows some of the others at first, and all of them a while later.
func (s *schedule) start(now time.Time, i int) {
	s.all[i] = &simulatedRouter{
		budget: NewBudget(now, testLimits, Share{}), weight: pick(s.chance, 0, 1, 1, 1, 20),
		learnsAt: now.Sub(testStart) + time.Duration(s.chance.Int64N(int64(learnTime))),
	}
}

// advance makes the events of a step.
func (s *schedule) advance(now time.Time, at time.Duration) {
	phase := func() time.Duration { return time.Duration(1+s.chance.IntN(15)) * time.Second }
	if at >= s.nextRate {
		s.rate, s.nextRate = pick(s.chance, 0, 3, 30, 100, 100), at+phase()
	}
	if at >= s.nextDemand {
		s.demand, s.nextDemand = pick(s.chance, 0, 0, 0.05, 0.3, 100, 100), at+phase()
	}
	if at >= s.nextStandstill {
		s.standstill, s.nextStandstill = !s.standstill, at+phase()
	}
	if s.chance.IntN(s.pause) == 0 {
		share := pick(s.chance, 0.1, 0.5, 1)
		for i := range s.all {
			if s.chance.Float64() < share {
				s.start(now, i)
			}
		}
	}
	if s.chance.IntN(s.pause) == 0 && len(s.all) < s.most {
		s.all = append(s.all, nil)
		s.start(now, len(s.all)-1)
	}
	if s.chance.IntN(s.pause) == 0 {
		for _, r := range s.all[:len(s.all)/2] {
			r.cut = s.chance.IntN(2) == 0
		}
	}
	for _, r := range s.all {
		switch {
		case r.cut:
		case at >= r.learnsAt:
			r.routers.Set(now, len(s.all))
		case at%time.Second == 0:
			r.routers.Set(now, r.routers.count+1)
		}
		r.budget.SetLimits(now, testLimits, r.routers.Share())
	}
}

// requests returns the number of requests that each router gets in a step.
func (s *schedule) requests() []int {
	var sums []int
	sum := 0
	for _, r := range s.all {
		sum += r.weight
		sums = append(sums, sum)
	}
	out := make([]int, len(s.all))
	for range s.rate {
		if sum > 0 {
			i, _ := slices.BinarySearch(sums, 1+s.chance.IntN(sum))
			out[i]++
		}
	}
	return out
}

// TestAllRouters draws how requests arrive at routers, how many of them are to be sent again, and
// when routers restart, are added, are cut off and hold retries back. It guards against retries of
// all routers together that exceed their limit.
func TestAllRouters(t *testing.T) {
	const step, end, seeds = 100 * time.Millisecond, 45 * time.Second, 300
	for seed := range uint64(seeds) {
		s := newSchedule(seed)
		var requests, retries times
		for at := time.Duration(0); at < end; at += step {
			now := testStart.Add(at)
			s.advance(now, at)
			for i, n := range s.requests() {
				for range n {
					s.all[i].budget.Request(now)
					requests = append(requests, at.Seconds())
				}
				retries = append(retries, s.all[i].retry(now, at, s.standstill, int(math.Ceil(s.demand*float64(max(n, 1)))))...)
			}
		}
		for _, from := range slices.Compact(slices.Clone(retries)) {
			if over := exceeds(testLimits, requests, retries, from); over > 0 {
				t.Errorf("seed %d: from %.1f s on %d retries, %.0f more than allowed", seed, from, retries.in(from, from+testLimits.Window.Seconds()), over)
				break
			}
		}
	}
}

// retry uses what the router holds and may use, or holds it back. It returns the times of what it
// sends.
func (s *simulatedRouter) retry(now time.Time, at time.Duration, standstill bool, wanted int) times {
	for range wanted {
		r, ok := s.budget.Take(now)
		if !ok {
			break
		}
		s.held = append(s.held, r)
	}
	if standstill {
		return nil
	}
	var sent times
	for _, r := range s.held {
		if s.budget.Expired(now, r) {
			s.budget.Return(now, r)
			if _, ok := s.budget.Take(now); !ok {
				continue
			}
		}
		sent = append(sent, at.Seconds())
	}
	s.held = nil
	return sent
}

// TestBudget checks what a budget allows after some events.
func TestBudget(t *testing.T) {
	const second = time.Second
	// event is a number of requests, or a number of routers that share the slack.
	type event struct {
		at                time.Duration
		requests, routers int
	}
	cases := map[string]struct {
		events []event
		at     time.Duration
		want   float64
	}{
		"a process that starts has nothing":          {nil, 0, 0},
		"nor later, if it has no share":              {nil, 100 * second, 0},
		"requests earn":                              {[]event{{requests: 100}}, 0, 8},
		"for a window":                               {[]event{{requests: 100}}, 8900 * time.Millisecond, 8},
		"and no longer":                              {[]event{{requests: 100}}, 10 * second, 0},
		"a share begins empty":                       {[]event{{routers: 8}}, 0, 0},
		"it is refilled":                             {[]event{{routers: 8}}, 5 * second, 1.6},
		"up to half of itself":                       {[]event{{routers: 8}}, 100 * second, 3.2},
		"a small share allows one":                   {[]event{{routers: 32}}, 100 * second, 1},
		"a share of one or less allows none":         {[]event{{routers: 64}}, 100 * second, 0.4},
		"more routers have smaller shares":           {[]event{{routers: 8}, {at: 50 * second, routers: 16}}, 50 * second, 1.6},
		"a share that was lost does not begin again": {[]event{{routers: 8}, {at: 50 * second}, {at: 51 * second, routers: 8}}, 51 * second, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			b := NewBudget(testStart, testLimits, Share{})
			for _, e := range c.events {
				now := testStart.Add(e.at)
				for range e.requests {
					b.Request(now)
				}
				if e.requests == 0 {
					b.SetLimits(now, testLimits, Share{Routers: e.routers})
				}
			}
			now := testStart.Add(c.at)
			if got := b.Left(now); math.Abs(got-c.want) > 1e-6 {
				t.Errorf("%.2f retries, want %.2f", got, c.want)
			}
			for i := range int(c.want + 1e-6) {
				if _, ok := b.Take(now); !ok {
					t.Fatalf("retry %d is denied", i)
				}
			}
			if _, ok := b.Take(now); ok {
				t.Error("one too many is allowed")
			}
		})
	}
}

// TestFirstShare checks what the budget of a service begins with.
func TestFirstShare(t *testing.T) {
	cases := map[string]struct {
		share Share
		want  float64
	}{
		"a process that has just started": {Share{}, 0},
		"a share that was just got":       {Share{Routers: 8, Since: testStart}, 0},
		"five seconds ago":                {Share{Routers: 8, Since: testStart.Add(-5 * time.Second)}, 1.6},
		"long ago":                        {Share{Routers: 8, Since: testStart.Add(-time.Hour)}, 3.2},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			if got := NewBudget(testStart, testLimits, c.share).Left(testStart); math.Abs(got-c.want) > 1e-6 {
				t.Errorf("%.2f retries, want %.2f", got, c.want)
			}
		})
	}
}

// TestReturn checks that a retry that was not used can be used later, and only until it expires.
func TestReturn(t *testing.T) {
	b := NewBudget(testStart, testLimits, Share{})
	for range 13 {
		b.Request(testStart)
	}
	r, ok := b.Take(testStart)
	if !ok {
		t.Fatal("the retry is denied")
	}
	b.Return(testStart.Add(time.Second), r)
	if r, ok = b.Take(testStart.Add(2 * time.Second)); !ok {
		t.Fatal("the retry that was returned is denied")
	}
	if b.Expired(testStart.Add(2*time.Second), r) || !b.Expired(testStart.Add(3*time.Second), r) {
		t.Error("a retry may be held for a fiftieth of a window")
	}
	b.Return(testStart.Add(11*time.Second), r)
	if got := b.Left(testStart.Add(11 * time.Second)); got != 0 {
		t.Errorf("%.2f retries after they have expired", got)
	}
}

// TestRouters checks the number of routers by which the slack is divided.
func TestRouters(t *testing.T) {
	const second = time.Second
	type count struct {
		at time.Duration
		n  int
	}
	cases := map[string]struct {
		counts []count
		want   int
	}{
		"unknown":                   {nil, 0},
		"known just now":            {[]count{{0, 6}}, 0},
		"known for a while":         {[]count{{0, 6}, {settleTime, 6}}, 6},
		"more and more are known":   {[]count{{0, 2}, {second, 3}, {2 * second, 4}}, 0},
		"fewer at first":            {[]count{{0, 6}, {second, 2}, {2 * second, 2}}, 6},
		"more later":                {[]count{{0, 6}, {20 * second, 6}, {21 * second, 9}}, 9},
		"fewer later":               {[]count{{0, 6}, {20 * second, 3}, {70 * second, 3}}, 6},
		"fewer, known for a minute": {[]count{{0, 6}, {20 * second, 3}, {30 * second, 4}, {81 * second, 3}}, 4},
		"fewer, then as many again": {[]count{{0, 6}, {20 * second, 3}, {70 * second, 6}, {90 * second, 3}}, 6},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var r Routers
			for _, k := range c.counts {
				r.Set(testStart.Add(k.at), k.n)
			}
			if got := r.Share().Routers; got != c.want {
				t.Errorf("%d, want %d", got, c.want)
			}
		})
	}
}

func ExampleBudget() {
	now := time.Unix(0, 0)
	b := NewBudget(now, Limits{Ratio: 0.2, Slack: 100, Window: 10 * time.Second}, Share{})
	for range 25 {
		b.Request(now)
	}
	for range 3 {
		_, ok := b.Take(now)
		fmt.Println(ok)
	}
	// Output:
	// true
	// true
	// false
}
