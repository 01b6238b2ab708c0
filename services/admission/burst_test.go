// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package admission

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"fawnwinch.org/fawnwinch/models/group"
	"fawnwinch.org/fawnwinch/models/upstream"
	"fawnwinch.org/fawnwinch/models/urgency"
	"fawnwinch.org/fawnwinch/services/balance"
)

const (
	burstTick   = 10 * time.Millisecond
	burstLength = 14 * time.Second
	// burstGroups groups of four ranks complete about 110 requests per second.
	burstGroups = 6
)

// burstCaller is a caller of a simulated router.
type burstCaller struct {
	request *Request
	// retryAt is when it sends its second request; zero before its first one was rejected.
	retryAt, until time.Time
	retryAfter     time.Duration
	second         bool
	// rank, begins and ends describe its attempt.
	rank         upstream.Run
	begins, ends time.Time
	begun        bool
}

// burstResult counts the callers of a level: all, those that are answered, and those whose first
// event is in time.
type burstResult struct{ callers, served, inTime int }

// burst simulates one router and its groups, without a network.
type burst struct {
	*rankedService
	random                    *rand.Rand
	waiting, running, returns []*burstCaller
	results                   [3]burstResult
	// most is the largest mean number of requests per rank.
	most float64
}

// rates returns the requests per second of each level at a time of the simulation.
type rates func(at time.Duration) [3]float64

// reported tells whether coordinators report the load at a time of the simulation.
type reported func(at time.Duration) bool

func runBurst(load rates, reports reported) *burst {
	b := &burst{rankedService: newRankedService(burstGroups), random: rand.New(rand.NewPCG(7, 7))}
	b.queue.pool.SetRandom(b.random.Float64)
	begin := b.now
	for ; b.now.Sub(begin) < burstLength; b.now = b.now.Add(burstTick) {
		at := b.now.Sub(begin)
		b.advance()
		if at%reportInterval == 0 && reports(at) {
			b.reportAll()
		}
		b.admit()
		b.expire()
		for level, rate := range load(at) {
			for n := rate*burstTick.Seconds() + b.random.Float64(); n >= 1; n-- {
				b.results[level].callers++
				b.arrive(&burstCaller{request: b.request(urgency.Level(level))})
			}
		}
		b.most = max(b.most, float64(len(b.running))/float64(len(b.ranks)))
	}
	return b
}

// advance starts and ends answers, and lets rejected callers return.
func (b *burst) advance() {
	b.running = slices.DeleteFunc(b.running, func(c *burstCaller) bool {
		if !c.begun && !b.now.Before(c.begins) {
			c.begun = true
			b.queue.pool.Started(b.now, c.rank)
		}
		if b.now.Before(c.ends) {
			return false
		}
		b.queue.pool.Done(b.now, c.rank, balance.ResultOK, time.Second, true)
		return true
	})
	b.returns = slices.DeleteFunc(b.returns, func(c *burstCaller) bool {
		if b.now.Before(c.retryAt) {
			return false
		}
		left := c.request.Deadline.Sub(b.now)
		c.request = b.request(c.request.Level)
		c.request.Deadline, c.request.Patience, c.second = b.now.Add(left), left, true
		b.arrive(c)
		return true
	})
}

// reportAll reports the running requests of all ranks and the waiting ones by level.
func (b *burst) reportAll() {
	counts, unstarted := map[upstream.Run]int{}, map[upstream.Run]int{}
	for _, c := range b.running {
		if c.begun {
			counts[c.rank]++
		} else {
			unstarted[c.rank]++
		}
	}
	backlog := balance.Backlog{Waiting: b.queue.Waiting(), Rate: b.queue.Rate(b.now), Levels: b.queue.WaitingByLevel()}
	for g := range b.groups {
		load := balance.Group{ID: group.ID(fmt.Sprint("g", g)), Open: true, Whole: true, Skew: 1.6, Backlog: backlog}
		for _, u := range b.ranks[4*g : 4*g+4] {
			load.Ranks = append(load.Ranks, balance.RankLoad{Address: u.Address, Running: counts[u.Run()], Unstarted: unstarted[u.Run()], Pace: 1})
		}
		b.queue.pool.Report(b.now, load, b.ids)
	}
}

func (b *burst) admit() {
	for _, g := range b.queue.Admit(b.now, b.ranks) {
		i := slices.IndexFunc(b.waiting, func(c *burstCaller) bool { return c.request == g.Request })
		b.send(b.waiting[i], g.Upstream)
		b.waiting = slices.Delete(b.waiting, i, i+1)
	}
}

// expire rejects the callers whose waits have ended.
func (b *burst) expire() {
	b.waiting = slices.DeleteFunc(b.waiting, func(c *burstCaller) bool {
		if b.now.Before(c.until) {
			return false
		}
		b.queue.Leave(c.request)
		b.reject(c)
		return true
	})
}

func (b *burst) arrive(c *burstCaller) {
	v := b.queue.Arrive(b.now, c.request, b.ranks)
	c.retryAfter = v.RetryAfter
	switch v.Outcome {
	case OutcomeGranted:
		b.send(c, v.Upstream)
	case OutcomeWaits:
		c.until = b.now.Add(v.Wait)
		b.waiting = append(b.waiting, c)
	case OutcomeRejected:
		b.reject(c)
	}
}

func (b *burst) reject(c *burstCaller) {
	if !c.second {
		c.retryAt = b.now.Add(c.retryAfter)
		b.returns = append(b.returns, c)
	}
}

// send sends a request to a rank. Its answer takes as many passes as the usual one, and passes take
// as long as their load requires.
func (b *burst) send(c *burstCaller, u upstream.Instance) {
	writers := float64(len(b.running)) / float64(len(b.ranks))
	pass := balance.Pass(rankedEngine, balance.PassLoad{Mean: writers, Max: writers, Context: rankedEngine.UsualPrompt, Skew: 1.6, Pace: 1})
	passes := rankedEngine.UsualAnswer / float64(rankedEngine.Stride)
	c.rank, c.begins = u.Run(), b.now.Add(2*pass)
	c.ends = c.begins.Add(time.Duration(passes * float64(pass)))
	b.running = append(b.running, c)
	r := &b.results[c.request.Level]
	r.served++
	if !c.begins.After(c.request.Arrived.Add(c.request.Goal)) {
		r.inTime++
	}
}

// TestBursts sends bursts to a router: urgent requests must stay in time in a burst of less urgent
// ones, which must not starve, and no level may be served worse than a less urgent one.
func TestBursts(t *testing.T) {
	// usual is a load of about 0.85 of what the groups complete.
	usual := [3]float64{34, 15, 45}
	in := func(from, to time.Duration, level int, factor float64) rates {
		return func(at time.Duration) [3]float64 {
			r := usual
			if at >= from && at < to {
				r[level] *= factor
			}
			return r
		}
	}
	always := func(time.Duration) bool { return true }
	cases := map[string]struct {
		load    rates
		reports reported
		// inTime holds the least share of callers in time for each level.
		inTime [3]float64
		// most is the largest mean number of requests per rank; 0 for no check.
		most float64
	}{
		"usual load":                  {in(0, 0, 0, 1), always, [3]float64{0.99, 0.99, 0.9}, 0},
		"burst of batch":              {in(4*time.Second, 10*time.Second, 2, 2.3), always, [3]float64{0.97, 0.95, 0.3}, 0},
		"burst of urgent":             {in(4*time.Second, 7500*time.Millisecond, 0, 1.8), always, [3]float64{0.95, 0.85, 0.5}, 0},
		"batch alone, twice too much": {func(time.Duration) [3]float64 { return [3]float64{0, 0, 220} }, always, [3]float64{0, 0, 0.2}, 7.5},
		"burst of batch, no reports for 2 s": {
			in(4*time.Second, 10*time.Second, 2, 2.3), func(at time.Duration) bool { return at < 6*time.Second || at > 8*time.Second }, [3]float64{0.9, 0.85, 0.3}, 0,
		},
		"burst of batch, never a report": {in(4*time.Second, 10*time.Second, 2, 2.3), func(time.Duration) bool { return false }, [3]float64{0.85, 0.8, 0.25}, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			b := runBurst(c.load, c.reports)
			t.Logf("callers, served, in time: %v, most %.1f requests per rank", b.results, b.most)
			for level, r := range b.results {
				if r.callers == 0 {
					continue
				}
				if share := float64(r.inTime) / float64(r.callers); share < c.inTime[level] {
					t.Errorf("level %d: %.2f in time, want %.2f", level, share, c.inTime[level])
				}
				if 4*r.served < r.callers {
					t.Errorf("level %d: %d of %d served", level, r.served, r.callers)
				}
			}
			if c.most > 0 && b.most > c.most {
				t.Errorf("%.1f requests per rank, want at most %.1f", b.most, c.most)
			}
		})
	}
}
