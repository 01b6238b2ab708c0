// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package share

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"fawnwinch.org/fawnwinch/models/account"
)

// The benchmark runs the queues of a few agents in virtual time. Several routers distribute
// requests over the agents without coordination.

const (
	benchAgents = 4
	benchSlots  = 8
	benchWait   = 64
	meanRun     = 20 * time.Millisecond
)

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

type queuer interface {
	Enqueue(now time.Time, it Item) []Refusal
	Next(now time.Time) ([]Item, []Refusal)
	Done(now time.Time, t Ticket)
}

// fifo is the baseline: first come, first served, bounded.
type fifo struct {
	waiting []Item
	running int
}

func (f *fifo) Enqueue(_ time.Time, it Item) []Refusal {
	if len(f.waiting) >= benchWait {
		return []Refusal{{Ticket: it.Ticket, Reason: ReasonFull, RetryAfter: time.Second}}
	}
	f.waiting = append(f.waiting, it)
	return nil
}

func (f *fifo) Next(time.Time) (start []Item, refused []Refusal) {
	for f.running < benchSlots && len(f.waiting) > 0 {
		start = append(start, f.waiting[0])
		f.waiting = f.waiting[1:]
		f.running++
	}
	return start, nil
}

func (f *fifo) Done(time.Time, Ticket) { f.running-- }

type call struct {
	who      account.ID
	arrived  time.Duration
	deadline time.Duration
}

type bench struct {
	rnd    *rand.Rand
	now    time.Duration
	queue  events
	agents []queuer
	calls  map[Ticket]call
	last   Ticket
	end    time.Duration
	// busy holds the slot time that each account used in each second.
	busy  map[account.ID]map[int]float64
	waits map[account.ID][]float64
	// inTime counts answers within the deadline, late those after it, and refused the requests that
	// were not run.
	inTime, refused, late int
	// budget is the time from the arrival of a request to its deadline; 0 for no deadline.
	budget time.Duration
}

var epoch = time.Unix(0, 0)

func newBench(seed uint64, fair bool, end, budget time.Duration, shares []account.Share) *bench {
	b := &bench{
		rnd: rand.New(rand.NewPCG(seed, 31)), calls: map[Ticket]call{}, end: end, budget: budget,
		busy: map[account.ID]map[int]float64{}, waits: map[account.ID][]float64{},
	}
	for range benchAgents {
		if !fair {
			b.agents = append(b.agents, &fifo{})
			continue
		}
		q := NewQueue(Limits{Concurrency: benchSlots, Waiting: benchWait})
		q.SetWeights(shares)
		b.agents = append(b.agents, q)
	}
	return b
}

func (b *bench) after(d time.Duration, do func()) { heap.Push(&b.queue, event{at: b.now + d, do: do}) }

// arrivals generates rate requests per second of an account between two times.
func (b *bench) arrivals(who account.ID, rate float64, from, to time.Duration) {
	var next func()
	next = func() {
		if b.now >= to {
			return
		}
		b.arrive(who)
		b.after(time.Duration(b.rnd.ExpFloat64()/rate*float64(time.Second)), next)
	}
	b.after(from, next)
}

func (b *bench) arrive(who account.ID) {
	i := b.rnd.IntN(len(b.agents))
	b.last++
	t := b.last
	c := call{who: who, arrived: b.now}
	it := Item{Ticket: t, Account: who}
	if b.budget > 0 {
		c.deadline = b.now + b.budget
		it.Deadline = epoch.Add(c.deadline)
	}
	b.calls[t] = c
	b.refuse(b.agents[i].Enqueue(epoch.Add(b.now), it))
	b.advance(i)
}

func (b *bench) refuse(list []Refusal) {
	for _, r := range list {
		delete(b.calls, r.Ticket)
		b.refused++
	}
}

func (b *bench) advance(i int) {
	start, refused := b.agents[i].Next(epoch.Add(b.now))
	b.refuse(refused)
	for _, it := range start {
		d := time.Duration(b.rnd.ExpFloat64() * float64(meanRun))
		c := b.calls[it.Ticket]
		b.charge(c.who, d)
		b.after(d, func() {
			b.agents[i].Done(epoch.Add(b.now), it.Ticket)
			b.waits[c.who] = append(b.waits[c.who], (b.now - c.arrived).Seconds())
			if c.deadline == 0 || b.now <= c.deadline {
				b.inTime++
			} else {
				b.late++
			}
			b.advance(i)
		})
	}
}

func (b *bench) charge(who account.ID, d time.Duration) {
	if b.busy[who] == nil {
		b.busy[who] = map[int]float64{}
	}
	b.busy[who][int(b.now/time.Second)] += d.Seconds()
}

func (b *bench) run() {
	for len(b.queue) > 0 {
		e, _ := heap.Pop(&b.queue).(event)
		if e.at > b.end {
			return
		}
		b.now = e.at
		e.do()
	}
}

// slotTime returns an account's slot time over a range of seconds.
func (b *bench) slotTime(who account.ID, from, to int) float64 {
	var sum float64
	for s := from; s < to; s++ {
		sum += b.busy[who][s]
	}
	return sum
}

func percentile(v []float64, p float64) float64 {
	if len(v) == 0 {
		return math.NaN()
	}
	s := slices.Clone(v)
	slices.Sort(s)
	return s[min(len(s)-1, int(math.Ceil(p*float64(len(s)))))]
}

var benchShares = []account.Share{{Account: "large", Weight: 4}, {Account: "medium", Weight: 2}, {Account: "small", Weight: 1}}

// capacity is the number of requests per second that all agents can run.
var capacity = benchAgents * benchSlots / meanRun.Seconds()

const benchSeeds = 10

// BenchmarkShares reports the largest relative error of a share over ten seconds, for three
// backlogged accounts.
func BenchmarkShares(b *testing.B) {
	for _, fair := range []bool{false, true} {
		b.Run(fmt.Sprintf("fair=%t", fair), func(b *testing.B) {
			var errs []float64
			for range b.N {
				for seed := range uint64(benchSeeds) {
					x := newBench(seed, fair, 12*time.Second, 0, benchShares)
					for _, s := range benchShares {
						x.arrivals(s.Account, 1.5*capacity, 0, x.end)
					}
					x.run()
					var total float64
					for _, s := range benchShares {
						total += x.slotTime(s.Account, 2, 12)
					}
					worst := 0.0
					for _, s := range benchShares {
						due := s.Weight / 7
						worst = max(worst, math.Abs(x.slotTime(s.Account, 2, 12)/total-due)/due)
					}
					errs = append(errs, 100*worst)
				}
			}
			b.ReportMetric(percentile(errs, 0.4), "share-error-%")
			b.ReportMetric(percentile(errs, 1), "worst-%")
		})
	}
}

// BenchmarkFlood reports the 99th percentile of a small account's latency while a large one
// requests five times the capacity, relative to the latency without it.
func BenchmarkFlood(b *testing.B) {
	for _, fair := range []bool{false, true} {
		b.Run(fmt.Sprintf("fair=%t", fair), func(b *testing.B) {
			var ratios []float64
			for range b.N {
				for seed := range uint64(benchSeeds) {
					p99 := func(flood bool) float64 {
						x := newBench(seed, fair, 30*time.Second, 0, benchShares)
						x.arrivals("small", capacity*0.1, 0, x.end)
						if flood {
							x.arrivals("large", capacity*5, 0, x.end)
						}
						x.run()
						return percentile(x.waits["small"], 0.99)
					}
					ratios = append(ratios, p99(true)/p99(false))
				}
			}
			b.ReportMetric(percentile(ratios, 0.4), "p99-ratio")
		})
	}
}

// BenchmarkIdle reports how much of an idle account's share another account uses one second after
// it became idle, and how much the account gets back two seconds after its return.
func BenchmarkIdle(b *testing.B) {
	var lent, back []float64
	for range b.N {
		for seed := range uint64(benchSeeds) {
			x := newBench(seed, true, 16*time.Second, 0, benchShares)
			x.arrivals("small", 2*capacity, 0, x.end)
			x.arrivals("large", 2*capacity, 0, 5*time.Second)
			x.arrivals("large", 2*capacity, 10*time.Second, x.end)
			x.run()
			all := benchAgents * benchSlots * 3.0
			lent = append(lent, 100*x.slotTime("small", 6, 9)/all)
			back = append(back, 100*x.slotTime("large", 12, 15)/all)
		}
	}
	b.ReportMetric(percentile(lent, 0.4), "lent-%")
	b.ReportMetric(percentile(back, 0.4), "back-of-80-%")
}

// BenchmarkOverload reports the answers in time for each offered load, relative to the capacity.
func BenchmarkOverload(b *testing.B) {
	for _, fair := range []bool{false, true} {
		for _, load := range []float64{0.8, 1, 1.5, 2, 3} {
			b.Run(fmt.Sprintf("fair=%t/load=%.0f%%", fair, 100*load), func(b *testing.B) {
				var good, late []float64
				for range b.N {
					for seed := range uint64(benchSeeds) {
						x := newBench(seed, fair, 10*time.Second, 120*time.Millisecond, benchShares)
						for _, s := range benchShares {
							x.arrivals(s.Account, load*capacity/3, 0, x.end)
						}
						x.run()
						good = append(good, 100*float64(x.inTime)/(capacity*10))
						late = append(late, 100*float64(x.late)/(capacity*10))
					}
				}
				b.ReportMetric(percentile(good, 0.4), "in-time-%")
				b.ReportMetric(percentile(late, 0.4), "late-%")
			})
		}
	}
}

// BenchmarkQueue measures the time of one request in the queue by number of accounts.
func BenchmarkQueue(b *testing.B) {
	for _, n := range []int{10, 100, 790} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			q := NewQueue(Limits{Concurrency: 32, Waiting: 512})
			var shares []account.Share
			for i := range n {
				shares = append(shares, account.Share{Account: account.ID(fmt.Sprint(i)), Weight: 1})
			}
			q.SetWeights(shares)
			t := Ticket(0)
			for b.Loop() {
				t++
				q.Enqueue(epoch, Item{Ticket: t, Account: shares[int(t)%n].Account})
				q.Next(epoch)
				if t > 200 {
					q.Done(epoch, t-200)
				}
			}
		})
	}
}
