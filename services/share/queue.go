// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package share divides an upstream among the client accounts that use it.
//
// It implements start-time fair queueing: each account has a virtual time that advances by the work
// done for it, divided by its weight. The waiting account with the smallest virtual time is served
// next. Capacity that one account leaves idle goes to the others. An account that returns starts at
// the current virtual time, so that it gains no credit and has no debt for its absence.
package share

import (
	"math"
	"time"

	"fawnwinch.org/fawnwinch/models/account"
)

// Ticket identifies one request in a queue.
type Ticket uint64

// Item is a request in the queue.
type Item struct {
	Ticket   Ticket
	Account  account.ID
	Deadline time.Time
	// Priority orders the requests of one account; higher goes first.
	Priority int
}

// Reason is why a request was refused.
type Reason string

// The reasons.
const (
	ReasonFull     Reason = "queue-full"
	ReasonDeadline Reason = "deadline-unreachable"
	ReasonNoShare  Reason = "no-share"
	ReasonEvicted  Reason = "over-share"
)

// Refusal is the final answer to a request that will not run here.
type Refusal struct {
	Ticket Ticket
	Reason Reason
	// RetryAfter is how long the caller should wait before it retries.
	RetryAfter time.Duration
}

// Limits bounds the size of a queue.
type Limits struct {
	// Concurrency is the maximum number of running requests.
	Concurrency int
	// Waiting is the maximum number of waiting requests.
	Waiting int
}

// flow is the state of one account.
type flow struct {
	weight  float64
	virtual float64
	waiting []Item
	running int
	// work is the total run time of its requests, in seconds.
	work float64
}

// running is a request that has started.
type running struct {
	account account.ID
	charged float64
	started time.Time
}

// Queue decides which request runs next. It does no I/O and reads no clock.
type Queue struct {
	limits Limits
	flows  map[account.ID]*flow
	// backlog holds the flows with waiting requests.
	backlog map[account.ID]*flow
	running map[Ticket]running
	waiting int
	virtual float64
	// meanSeconds is the smoothed run time of a request, and deviation its smoothed mean deviation,
	// in seconds.
	meanSeconds, deviation float64
}

// initialMean is the run time assumed before any request has ended, in seconds.
const initialMean = 0.02

// smoothing is the weight of the latest run time in the mean.
const smoothing = 0.05

// NewQueue returns an empty queue.
func NewQueue(l Limits) *Queue {
	return &Queue{limits: l, flows: map[account.ID]*flow{}, backlog: map[account.ID]*flow{}, running: map[Ticket]running{}, meanSeconds: initialMean}
}

// SetWeights changes the shares. Requests of accounts without a share are refused from now on.
func (q *Queue) SetWeights(shares []account.Share) {
	seen := map[account.ID]bool{}
	for _, s := range shares {
		seen[s.Account] = true
		if f, ok := q.flows[s.Account]; ok {
			f.weight = s.Weight
			continue
		}
		q.flows[s.Account] = &flow{weight: s.Weight, virtual: q.virtual}
	}
	for id, f := range q.flows {
		if seen[id] {
			continue
		}
		f.weight = 0
		if len(f.waiting)+f.running == 0 {
			delete(q.flows, id)
		}
	}
}

// Counts returns the numbers of running and waiting requests.
func (q *Queue) Counts() (run, wait int) { return len(q.running), q.waiting }

// Account is the current and past use of an upstream by one account.
type Account struct {
	ID      account.ID
	Weight  float64
	Running int
	Waiting int
	// Work is the total run time of its requests.
	Work time.Duration
}

// Accounts returns all accounts with a share.
func (q *Queue) Accounts() []Account {
	out := make([]Account, 0, len(q.flows))
	for id, f := range q.flows {
		out = append(out, Account{ID: id, Weight: f.weight, Running: f.running, Waiting: len(f.waiting), Work: time.Duration(f.work * float64(time.Second))})
	}
	return out
}

// Enqueue adds a request. It returns refusals: of this request, or of another one that was evicted
// because its account exceeds its share of the queue.
func (q *Queue) Enqueue(now time.Time, it Item) []Refusal {
	f, ok := q.flows[it.Account]
	if !ok || f.weight <= 0 {
		return []Refusal{{Ticket: it.Ticket, Reason: ReasonNoShare, RetryAfter: time.Minute}}
	}
	wait := q.estimate(f, len(f.waiting)+1)
	if !it.Deadline.IsZero() && now.Add(wait+q.runTime()).After(it.Deadline) && q.busy() {
		return []Refusal{{Ticket: it.Ticket, Reason: ReasonDeadline, RetryAfter: q.retryAfter(f)}}
	}
	var refused []Refusal
	if q.waiting >= q.limits.Waiting && q.busy() {
		victim, found := q.evict(it.Account)
		if !found {
			return []Refusal{{Ticket: it.Ticket, Reason: ReasonFull, RetryAfter: q.retryAfter(f)}}
		}
		refused = append(refused, victim)
	}
	if len(f.waiting)+f.running == 0 {
		f.virtual = max(f.virtual, q.virtual)
	}
	f.insert(it)
	q.backlog[it.Account] = f
	q.waiting++
	return refused
}

// insert keeps the waiting requests of an account ordered by priority, then by arrival.
func (f *flow) insert(it Item) {
	i := len(f.waiting)
	for i > 0 && f.waiting[i-1].Priority < it.Priority {
		i--
	}
	f.waiting = append(f.waiting, Item{})
	copy(f.waiting[i+1:], f.waiting[i:])
	f.waiting[i] = it
}

func (q *Queue) busy() bool { return len(q.running) >= q.limits.Concurrency }

// runTime returns the time within which most requests end after they start.
func (q *Queue) runTime() time.Duration {
	return time.Duration((q.meanSeconds + runTimeDeviations*q.deviation) * float64(time.Second))
}

// runTimeDeviations is how many mean deviations above the mean the run time of most requests lies.
const runTimeDeviations = 2

// removedWaiting updates the counts after a waiting request has been removed from a flow.
func (q *Queue) removedWaiting(id account.ID, f *flow) {
	q.waiting--
	if len(f.waiting) == 0 {
		delete(q.backlog, id)
	}
}

// estimate returns how long n waiting requests of an account take at its current share of the
// upstream.
func (q *Queue) estimate(f *flow, n int) time.Duration {
	backlogged := 0.0
	if len(f.waiting) == 0 {
		backlogged = f.weight
	}
	for _, o := range q.backlog {
		backlogged += o.weight
	}
	rate := float64(q.limits.Concurrency) / q.meanSeconds * f.weight / backlogged
	return time.Duration(float64(n) / rate * float64(time.Second))
}

// The bounds of RetryAfter.
const (
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = time.Minute
)

// retryAfter returns the forecast time until half of the account's waiting requests are done.
func (q *Queue) retryAfter(f *flow) time.Duration {
	return min(max(q.estimate(f, len(f.waiting)/2+1), minRetryAfter), maxRetryAfter)
}

// arrivalWeight is the weight of the arriving request in the comparison. It is half a request, so
// that of two equal accounts the one with the smaller share does not lose its only queue position
// to rounding.
const arrivalWeight = 0.5

// evict refuses the newest waiting request of the account that exceeds its share of the queue the
// most, if that account exceeds it by more than the arriving one would.
func (q *Queue) evict(arriving account.ID) (Refusal, bool) {
	var worst account.ID
	a := q.flows[arriving]
	high := (float64(len(a.waiting)) + arrivalWeight) / a.weight
	for id, f := range q.backlog {
		over := float64(len(f.waiting)) / max(f.weight, 1e-9)
		if id != arriving && (over > high || (over == high && worst != "" && id < worst)) {
			worst, high = id, over
		}
	}
	if worst == "" {
		return Refusal{}, false
	}
	f := q.flows[worst]
	last := f.waiting[len(f.waiting)-1]
	f.waiting = f.waiting[:len(f.waiting)-1]
	q.removedWaiting(worst, f)
	return Refusal{Ticket: last.Ticket, Reason: ReasonEvicted, RetryAfter: q.retryAfter(f)}, true
}

// Next returns the requests that start now. It refuses requests whose deadline has passed and,
// while others wait, those that will probably miss their deadline.
func (q *Queue) Next(now time.Time) (start []Item, refused []Refusal) {
	for !q.busy() && q.waiting > 0 {
		f := q.mostBehind()
		it := f.waiting[0]
		f.waiting = f.waiting[1:]
		q.removedWaiting(it.Account, f)
		// A request that will probably be late does not replace one that can be in time.
		if !it.Deadline.IsZero() && (!now.Before(it.Deadline) || (q.waiting > 0 && now.Add(q.runTime()).After(it.Deadline))) {
			refused = append(refused, Refusal{Ticket: it.Ticket, Reason: ReasonDeadline, RetryAfter: q.retryAfter(f)})
			continue
		}
		q.virtual = max(q.virtual, f.virtual)
		charge := q.meanSeconds
		f.virtual += charge / f.effectiveWeight()
		f.running++
		q.running[it.Ticket] = running{account: it.Account, charged: charge, started: now}
		start = append(start, it)
	}
	return start, refused
}

// effectiveWeight returns the weight, or a small one for an account that has lost its share.
func (f *flow) effectiveWeight() float64 { return max(f.weight, 1e-3) }

// mostBehind returns the waiting flow with the smallest virtual time.
func (q *Queue) mostBehind() *flow {
	var best *flow
	var bestID account.ID
	for id, f := range q.backlog {
		if best == nil || f.virtual < best.virtual || (f.virtual == best.virtual && id < bestID) {
			best, bestID = f, id
		}
	}
	return best
}

// Done ends a running request and charges its account for the time it took.
func (q *Queue) Done(now time.Time, t Ticket) {
	r, ok := q.running[t]
	if !ok {
		return
	}
	delete(q.running, t)
	took := now.Sub(r.started).Seconds()
	q.deviation += smoothing * (math.Abs(took-q.meanSeconds) - q.deviation)
	q.meanSeconds += smoothing * (took - q.meanSeconds)
	q.meanSeconds = max(q.meanSeconds, 1e-4)
	if f, ok := q.flows[r.account]; ok {
		f.running--
		f.work += took
		f.virtual += (took - r.charged) / f.effectiveWeight()
	}
}

// Cancel removes a waiting request. It reports whether the request was still waiting.
func (q *Queue) Cancel(t Ticket) bool {
	for id, f := range q.backlog {
		for i, it := range f.waiting {
			if it.Ticket == t {
				f.waiting = append(f.waiting[:i], f.waiting[i+1:]...)
				q.removedWaiting(id, f)
				return true
			}
		}
	}
	return false
}
