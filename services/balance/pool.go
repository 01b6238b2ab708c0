// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package balance

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"fawnwinch.org/fawnwinch/models/catalog"
	"fawnwinch.org/fawnwinch/models/group"
	"fawnwinch.org/fawnwinch/models/upstream"
	"fawnwinch.org/fawnwinch/models/vm"
	"fawnwinch.org/fawnwinch/services/condition"
)

// Result is the outcome of an attempt at an upstream.
type Result string

// The results of an attempt.
const (
	// ResultOK is a successful answer, including a late one.
	ResultOK Result = "ok"
	// ResultError is an answer that reports a failure of the upstream.
	ResultError Result = "error"
	// ResultBroken is a connection that was lost, or a malformed answer.
	ResultBroken Result = "broken"
	// ResultUnreached is a connection that could not be established.
	ResultUnreached Result = "unreached"
	// ResultFull is an answer that the upstream did not run the request.
	ResultFull Result = "full"
	// ResultStranger is an answer from a different instance that now has the address.
	ResultStranger Result = "stranger"
	// ResultCancelled is an attempt that the router ended because the caller disconnected.
	ResultCancelled Result = "cancelled"
	// ResultUnsent is an attempt that ended before anything was sent, without a fault of the
	// upstream.
	ResultUnsent Result = "unsent"
)

const (
	// errorWeight is the number of waiting requests that a failure rate of 1 is equivalent to.
	errorWeight = 8.0
	// reportValid is how long a reported load is used at least. It is used for reportValidIntervals
	// times the interval between two reports if that is longer: a slow coordinator reports late,
	// and an old report is better than none.
	reportValid          = 700 * time.Millisecond
	reportValidIntervals = 2.5
	// maxReportValid bounds the validity of a report: an idle router receives reports of a group
	// only occasionally.
	maxReportValid = 4 * time.Second
	// remotePenalty is the cost of another data centre, as a fraction of a waiting request: traffic
	// between data centres is billed and takes longer.
	remotePenalty = 0.4
	// remoteRequests is the same cost for ranks, in requests: one more request at each rank makes a
	// pass longer by a twentieth.
	remoteRequests = 2.0
)

// Pool holds a router's view of the upstreams of one service, keyed by run: requests, failures and
// load of an earlier run do not count for the current one. It does no I/O and reads no clock.
type Pool struct {
	dataCentre vm.DataCentre
	states     map[upstream.Run]*state
	// conditions holds the conditions that the upstreams report in their answers.
	conditions *condition.Register
	// groups holds the latest report of each group of the service.
	groups map[group.ID]groupReport
	// sends holds, for each group, this router's requests that are not in its latest report, less
	// those that have ended since.
	sends    map[group.ID]int
	rotation int
	// rejectedAt is when an upstream last answered that it did not run a request, and startedAt
	// when an answer last began.
	rejectedAt, startedAt time.Time
	// random returns a number in [0, 1).
	random func() float64
}

// NewPool returns an empty pool for a router in a data centre.
func NewPool(dataCentre vm.DataCentre) *Pool {
	return &Pool{dataCentre: dataCentre, states: map[upstream.Run]*state{}, conditions: condition.NewRegister(), groups: map[group.ID]groupReport{}, sends: map[group.ID]int{}, random: rand.Float64}
}

// Conditions returns the conditions that the upstreams report in their answers.
func (p *Pool) Conditions() *condition.Register { return p.conditions }

// SetRandom sets the source of random numbers in [0, 1), so that choices are reproducible.
func (p *Pool) SetRandom(random func() float64) { p.random = random }

// Random returns a random number in [0, 1).
func (p *Pool) Random() float64 { return p.random() }

func (p *Pool) state(id upstream.Run) *state {
	s, ok := p.states[id]
	if !ok {
		s = &state{}
		p.states[id] = s
	}
	return s
}

// load estimates the requests at an upstream. Routers is the number of routers that send to it.
func (p *Pool) load(now time.Time, s *state, routers int) float64 {
	if s.fresh(now) {
		return float64(max(s.report.Running+s.started-s.ended, 0) + max(s.report.Waiting, s.allUnstarted()))
	}
	return float64(s.inFlight * max(routers, 1))
}

// PickOptions holds the requirements of a request for an upstream.
type PickOptions struct {
	// Engine is nil for plain services.
	Engine *catalog.Engine
	// Bounds applies to each upstream and to their mean; above it the request waits. 0 means no
	// bound.
	Bounds Bounds
	// Leaderless applies to ranks without a report while coordinators report others.
	Leaderless Bounds
	// MaxMean is the mean number of requests per rank from which a group accepts no more requests
	// of this level; 0 means no limit.
	MaxMean float64
	// Size is the size of the request.
	Size    Size
	Routers int
	Exclude map[upstream.ID]bool
	// Allows reports whether upstreams in a data centre may get the request; nil if all may.
	Allows func(vm.DataCentre) bool
}

// Pick returns the upstream with the least load, or false if none has room.
func (p *Pool) Pick(now time.Time, cands []upstream.Instance, a PickOptions) (upstream.Instance, bool) {
	best, bestScore := -1, math.Inf(1)
	p.rotation++
	if a.Bounds.Mean > 0 && !p.allotted(now, cands) && p.total(now, cands, a.Routers) >= float64(a.Bounds.Mean*len(cands)) {
		return upstream.Instance{}, false
	}
	v := p.estimator(now, cands, a)
	full := p.groupsFrom(now, a.MaxMean)
	for k := range cands {
		i := (k + p.rotation) % len(cands)
		c := cands[i]
		s := p.state(c.Run())
		if a.Exclude[c.ID] || a.Allows != nil && !a.Allows(c.DataCentre) || p.closed(now, s) || slices.Contains(full, s.group) {
			continue
		}
		if _, wait := p.conditions.Judge(now, c.Run()); wait > 0 {
			continue
		}
		load := v.load(now, p, s)
		if !s.room(now, load, v.others, v.limit(now, s)) || !s.mayRead(now, &a) {
			continue
		}
		if score := p.score(now, s, c, load, &a); score < bestScore {
			best, bestScore = i, score
		}
	}
	if best < 0 {
		return upstream.Instance{}, false
	}
	return cands[best], true
}

// estimator estimates the load of upstreams without a fresh report.
type estimator struct {
	ask PickOptions
	// mixed reports whether only some of the upstreams have a fresh report.
	mixed bool
	// others estimates the requests of other routers at each upstream without a fresh report,
	// assuming that each router has as many as this one. mean is the same estimate with this router
	// included.
	others, mean float64
	// weight is the cost of a request in a group that is assumed to be on its first map, relative
	// to one at a reported rank.
	weight float64
}

// estimator returns the load estimator for a request. If no upstream has a fresh report, the
// estimate is based on this router's own sends, which are equally incomplete for all of them.
func (p *Pool) estimator(now time.Time, cands []upstream.Instance, a PickOptions) estimator {
	v := estimator{ask: a, weight: 1}
	stale, own := 0, 0
	for _, c := range cands {
		if s := p.state(c.Run()); !s.fresh(now) {
			stale++
			own += s.inFlight
		}
	}
	v.mixed = a.Engine != nil && stale > 0 && stale < len(cands)
	v.others = float64(max(a.Routers-1, 0)*own) / float64(max(stale, 1))
	v.mean = float64(max(a.Routers, 1)*own) / float64(max(stale, 1))
	if a.Leaderless.Mean > 0 {
		v.weight = max(1, float64(a.Bounds.Mean)/float64(a.Leaderless.Mean))
	}
	return v
}

// load estimates the requests at an upstream. One of many routers has nothing in flight at most
// ranks. Next to ranks with a fresh report, those without one would all look idle, and all routers
// would send there first. So the estimated mean over all ranks without a fresh report is added to
// this router's sends to the rank. A rank without any valid report is weighted in addition, as its
// group is assumed to be on its first map. In replays of 31 routers and three groups of 24 ranks,
// one of them without a leader, this earns 1.00 of the credit that is earned under a calm load, and
// 0.37 without it.
func (v *estimator) load(now time.Time, p *Pool, s *state) float64 {
	switch {
	case !v.mixed || s.fresh(now):
		return p.load(now, s, v.ask.Routers)
	case s.reported(now):
		return v.mean + float64(s.inFlight)
	default:
		return v.weight * (v.mean + float64(s.inFlight))
	}
}

// limit returns the number of requests that an upstream may have. A group without a leader stays on
// its first map, or on a map that no longer fits the demand: with as many streams as the others its
// passes exceed the goal. In the same replays with 1.5 times the load, a limit based on the skew of
// a first map earns 1.00, and the limit of the other groups 0.88.
func (v *estimator) limit(now time.Time, s *state) int {
	if v.mixed && !s.reported(now) && v.ask.Leaderless.Mean > 0 {
		return v.ask.Leaderless.Mean
	}
	return v.ask.Bounds.Rank
}

// allotted reports whether a fresh report sets how many requests this router may send.
func (p *Pool) allotted(now time.Time, cands []upstream.Instance) bool {
	for _, c := range cands {
		if s := p.state(c.Run()); s.allotted && s.fresh(now) {
			return true
		}
	}
	return false
}

// total estimates the requests at all upstreams together.
func (p *Pool) total(now time.Time, cands []upstream.Instance, routers int) float64 {
	var sum float64
	for _, c := range cands {
		sum += p.load(now, p.state(c.Run()), routers)
	}
	return sum
}

func (p *Pool) score(now time.Time, s *state, c upstream.Instance, load float64, a *PickOptions) float64 {
	score := load + errorWeight*s.errorRate(now)
	if a.Engine == nil {
		// A plain upstream works at its own speed: each waiting request takes as long as those
		// before it.
		score = (score + 1) * (s.answerTime(now) + latencyFloor)
		if c.DataCentre != p.dataCentre {
			score *= 1 + remotePenalty
		}
		return score * (1 + plainJitter*p.random())
	}
	if s.fresh(now) {
		score += unstartedWeight * s.unreadPrompts(a)
	}
	// A stream at a slow rank makes the pass longer for all ranks; a fuller rank of normal pace
	// does not.
	score *= max(s.report.Pace, 1)
	if c.DataCentre != p.dataCentre {
		score += remoteRequests
	}
	if !s.fits(now, a) {
		score += misfitPenalty
	}
	return score + scoreJitter*p.random()
}

// unstartedWeight is the number of additional streams that a request whose answer has not begun is
// equivalent to. Its prompt is being read, and two prompts that one rank reads in a pass make that
// pass longer for all.
const unstartedWeight = 1.5

// scoreJitter is the largest random addition to a rank's score, in requests, so that routers with
// the same report do not all choose the same rank.
const scoreJitter = 1.5

// plainJitter is the largest random addition to a plain upstream's score, as a fraction. Without it
// the upstream with the lowest mean answer time gets all requests at light load, by a millisecond,
// and only requests could show that another one is as fast.
const plainJitter = 0.1

// latencyFloor is added to the mean answer time in seconds, so that small differences do not
// decide.
const latencyFloor = 0.05

// Sent records the start of an attempt.
func (p *Pool) Sent(now time.Time, id upstream.Run) {
	p.conditions.Choose(now, id)
	s := p.state(id)
	s.inFlight++
	s.unstarted++
	s.slots--
	p.sends[s.group]++
}

// Started records that the answer to an attempt has begun.
func (p *Pool) Started(now time.Time, id upstream.Run) {
	p.startedAt = now
	s := p.state(id)
	s.unstarted--
	s.started++
}

// Done records the end of an attempt and its duration. Started reports whether its answer had
// begun.
func (p *Pool) Done(now time.Time, id upstream.Run, r Result, took time.Duration, started bool) {
	s := p.state(id)
	s.inFlight--
	p.sends[s.group]--
	if started {
		// This router may reuse the slot of a stream that has ended until the next report.
		s.ended++
		s.slots++
	} else {
		s.unstarted--
	}
	switch r {
	case ResultOK:
		s.recordResult(now, false)
		p.conditions.Served(id)
		s.recordAnswerTime(now, took)
	case ResultError, ResultBroken:
		s.recordResult(now, true)
	case ResultUnsent:
		p.conditions.Withdraw(now, id)
	case ResultUnreached, ResultStranger:
		if r == ResultUnreached {
			p.conditions.Withdraw(now, id)
		}
		s.recordResult(now, true)
		p.conditions.Unreached(now, id)
	case ResultFull:
		p.conditions.Full(now, id)
		p.rejectedAt = now
	case ResultCancelled:
	}
}

// Forget drops the state of upstreams that are no longer listed.
func (p *Pool) Forget(now time.Time, listed map[upstream.Run]bool) {
	for id, s := range p.states {
		if !listed[id] && s.inFlight == 0 {
			delete(p.states, id)
		}
	}
	p.conditions.Forget(now, listed)
}
