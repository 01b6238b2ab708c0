// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package admission

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"fawnwinch.org/fawnwinch/models/catalog"
	"fawnwinch.org/fawnwinch/models/group"
	"fawnwinch.org/fawnwinch/models/upstream"
	"fawnwinch.org/fawnwinch/models/urgency"
	"fawnwinch.org/fawnwinch/services/balance"
)

// rankedEngine is the engine of the contended deployment.
var rankedEngine = &catalog.Engine{
	Slots: 10, Stride: 6, StepMillis: 5.85, WriterMillis: 0.426, ContextMillis: 0.0432, ReadPerSecond: 61_200, Chunk: 512,
	UsualPrompt: 868, UsualAnswer: 139, ExpertShare: 0.85, FormTime: 600 * time.Millisecond,
}

const rankedPauseGoal = 120 * time.Millisecond

// rankedBounds are the bounds of a rank while a group is on a fitting map.
var rankedBounds = balance.Bounds{Rank: 10, Mean: 10}

// rankedService is a queue of a service with three levels and some groups of four ranks.
type rankedService struct {
	now    time.Time
	queue  *Queue
	ranks  []upstream.Instance
	ids    map[string]upstream.Run
	groups int
}

func newRankedService(groups int) *rankedService {
	s := &rankedService{now: time.Unix(1000, 0), queue: NewQueue(balance.NewPool("")), ids: map[string]upstream.Run{}, groups: groups}
	s.queue.pool.SetRandom(func() float64 { return 0.5 })
	for i := range 4 * groups {
		u := upstream.Instance{ID: upstream.ID(fmt.Sprint("u", i)), Service: "s", Address: fmt.Sprint("a", i), Slots: 10, State: upstream.StateReady}
		s.ranks = append(s.ranks, u)
		s.ids[u.Address] = u.Run()
	}
	return s
}

// report reports a group with the given number of running requests at each rank.
func (s *rankedService) report(g, running int, b balance.Backlog) {
	load := balance.Group{ID: group.ID(fmt.Sprint("g", g)), Open: true, Whole: true, Skew: 1.6, Backlog: b}
	for _, u := range s.ranks[4*g : 4*g+4] {
		load.Ranks = append(load.Ranks, balance.RankLoad{Address: u.Address, Running: running, Pace: 1})
	}
	s.queue.pool.Report(s.now, load, s.ids)
}

// request returns a request of a level that has 8 s left.
func (s *rankedService) request(level urgency.Level) *Request {
	x := &Request{
		Route: fmt.Sprint("r", level), Goal: 400 * time.Millisecond, PauseGoal: rankedPauseGoal, Levels: 3, Level: level, Urgency: urgency.Urgency{Route: int(level)},
		Arrived: s.now, Deadline: s.now.Add(8 * time.Second), Patience: 8 * time.Second, Timeout: 8 * time.Second,
	}
	if level == 2 {
		x.Goal = time.Second
	}
	x.Ask = balance.PickOptions{Engine: rankedEngine, Bounds: rankedBounds, Routers: 1, MaxMean: balance.LevelMean(rankedEngine, 1, rankedPauseGoal, level, x.Levels)}
	return x
}

// grants records recent grants to a level.
func (s *rankedService) grants(n int, level urgency.Level) {
	for range n {
		s.queue.granted = append(s.queue.granted, s.now)
		s.queue.levelGrants = append(s.queue.levelGrants, levelGrant{at: s.now, level: level})
	}
}

// TestRankedOrder guards against a less urgent request that is sent before a more urgent one, and
// against requests that can no longer be in time before those that can.
func TestRankedOrder(t *testing.T) {
	now := time.Unix(1000, 0)
	const goal = time.Second
	in := func(ms int) time.Time { return now.Add(time.Duration(ms) * time.Millisecond) }
	// request has the given time left in which it can be in time.
	request := func(account, route, inTime int, retried bool, due int) *Request {
		return &Request{
			Levels: 3, Urgency: urgency.Urgency{Account: account, Route: route}, Ask: balance.PickOptions{Engine: rankedEngine},
			Goal: goal, Arrived: in(inTime).Add(-time.Duration(inTimeFraction * float64(goal))), Deadline: in(5000), retried: retried, due: in(due),
		}
	}
	cases := map[string]struct{ first, second *Request }{
		"the more urgent route, although it is late":        {request(0, 0, -100, false, 0), request(0, 1, 200, false, 0)},
		"the more urgent account, although its route isn't": {request(0, 2, 200, false, 0), request(1, 0, 200, true, 0)},
		"in time before late and returning":                 {request(0, 0, 200, false, 0), request(0, 0, -100, true, 0)},
		"returning before new, both in time":                {request(0, 0, 300, true, 900), request(0, 0, 100, false, 100)},
		"returning before new, both late":                   {request(0, 0, -100, true, 900), request(0, 0, -300, false, 100)},
		"both new and in time, the one with less time":      {request(0, 0, 100, false, 900), request(0, 0, 200, false, 100)},
		"both returning, the one that is due first":         {request(0, 0, 200, true, 100), request(0, 0, 100, true, 200)},
		"the end of its time counts as late":                {request(0, 0, 1, false, 900), request(0, 0, 0, true, 100)},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			if !c.first.precedes(now, c.second) || c.second.precedes(now, c.first) {
				t.Error("the order is reversed or undecided")
			}
		})
	}
}

// TestChangedPriorities guards against a new catalog that changes the order of waiting requests:
// they keep the urgency with which they arrived, also if the service is no longer ranked.
func TestChangedPriorities(t *testing.T) {
	s := newRankedService(1)
	s.report(0, 10, balance.Backlog{})
	batch, urgent := s.request(2), s.request(0)
	batch.floorAt = s.now.Add(time.Second)
	batch.retried = true // first in the order of a service that is not ranked
	s.queue.waiting = []*Request{batch, urgent}
	plain := s.request(0)
	plain.Levels, plain.Level = 1, 0
	if v := s.queue.Arrive(s.now, plain, s.ranks); v.Outcome == OutcomeGranted {
		t.Fatal("a request is granted although all ranks are full")
	}
	s.queue.Leave(plain)
	s.now = s.now.Add(50 * time.Millisecond)
	s.report(0, 0, balance.Backlog{})
	grants := s.queue.Admit(s.now, s.ranks)
	if len(grants) != 2 || grants[0].Request != urgent {
		t.Errorf("grants %v, want the more urgent request first of two", grants)
	}
	if s.queue.LevelDemands(s.now) != nil {
		t.Error("demand by level of a service that is no longer ranked")
	}
}

// TestLevelRoom fills groups up to the limits of the levels. A less urgent request must not be sent
// above its limit, and must not keep others from being sent.
func TestLevelRoom(t *testing.T) {
	cases := map[string]struct {
		// running holds the running requests of each rank by group; -1 for a group without a
		// report.
		running []int
		// age is the age of the reports.
		age  time.Duration
		want [3]Outcome
	}{
		"room for all":                     {[]int{2}, 0, [3]Outcome{OutcomeGranted, OutcomeGranted, OutcomeGranted}},
		"above the last limit":             {[]int{7}, 0, [3]Outcome{OutcomeGranted, OutcomeGranted, OutcomeWaits}},
		"full":                             {[]int{10}, 0, [3]Outcome{OutcomeWaits, OutcomeWaits, OutcomeWaits}},
		"another group is below the limit": {[]int{7, 2}, 0, [3]Outcome{OutcomeGranted, OutcomeGranted, OutcomeGranted}},
		"another group is not reported":    {[]int{7, -1}, 0, [3]Outcome{OutcomeGranted, OutcomeGranted, OutcomeGranted}},
		"no group is reported":             {[]int{-1}, 0, [3]Outcome{OutcomeGranted, OutcomeGranted, OutcomeGranted}},
		"the report is old":                {[]int{7}, 5 * time.Second, [3]Outcome{OutcomeGranted, OutcomeGranted, OutcomeGranted}},
		"the report is still valid":        {[]int{7}, 500 * time.Millisecond, [3]Outcome{OutcomeGranted, OutcomeGranted, OutcomeWaits}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			for level, want := range c.want {
				s := newRankedService(len(c.running))
				for g, running := range c.running {
					if running >= 0 {
						s.report(g, running, balance.Backlog{})
					}
				}
				s.now = s.now.Add(c.age)
				s.grants(20, urgency.Level(level))
				if v := s.queue.Arrive(s.now, s.request(urgency.Level(level)), s.ranks); v.Outcome != want {
					t.Errorf("level %d: %s, want %s", level, v.Outcome, want)
				}
			}
		})
	}
}

// TestOwnSends guards against a router that fills a group beyond the limit of a level between two
// reports.
func TestOwnSends(t *testing.T) {
	s := newRankedService(1)
	s.report(0, 5, balance.Backlog{})
	mean := s.request(2).Ask.MaxMean
	s.grants(100, 2)
	sent := 0
	for range 40 {
		if v := s.queue.Arrive(s.now, s.request(2), s.ranks); v.Outcome == OutcomeGranted {
			sent++
		}
	}
	if got := float64(4*5 + sent); got < 4*mean || got > 4*mean+1 {
		t.Errorf("%d requests sent, the limit is %.1f requests per rank", sent, mean)
	}
}

// TestUnblocked checks that a waiting request without room does not block one with another limit,
// and that one with room is not overtaken by those that come after it.
func TestUnblocked(t *testing.T) {
	s := newRankedService(1)
	s.report(0, 7, balance.Backlog{})
	batch, tried := s.request(2), s.request(0)
	tried.Ask.Exclude = map[upstream.ID]bool{}
	for _, u := range s.ranks {
		tried.Ask.Exclude[u.ID] = true
	}
	s.queue.waiting = []*Request{batch, tried}
	if v := s.queue.Arrive(s.now, s.request(1), s.ranks); v.Outcome != OutcomeGranted {
		t.Errorf("the request of another level: %s", v.Outcome)
	}
	later := s.request(2)
	later.Arrived = s.now.Add(time.Millisecond)
	if !s.queue.blocked(s.now, later) || s.queue.blocked(s.now, s.request(0)) {
		t.Error("only the request that comes after another one with the same limit must wait")
	}
	middle := s.request(1)
	s.queue.waiting = []*Request{batch, tried, middle}
	if grants := s.queue.Admit(s.now, s.ranks); len(grants) != 1 || grants[0].Request != middle {
		t.Errorf("grants %v, want that of the middle level", grants)
	}
}

// TestStarvation guards against requests of a limited level that wait until their end while more
// urgent ones take everything, and against a floor that fills the group with them.
func TestStarvation(t *testing.T) {
	cases := map[string]struct{ grants, floor, want int }{
		"at least one in a second": {0, 0, 1},
		"had its one":              {9, 1, 0},
		"a tenth of the grants":    {50, 0, 5},
		"the rest of a tenth":      {46, 4, 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := newRankedService(1)
			s.report(0, 7, balance.Backlog{})
			s.grants(c.grants, 0)
			for range c.floor {
				s.queue.levelGrants = append(s.queue.levelGrants, levelGrant{at: s.now, level: 2, floor: true})
			}
			for range 8 {
				x := s.request(2)
				x.floorAt = s.now
				s.queue.waiting = append(s.queue.waiting, x)
			}
			early := s.request(2)
			early.floorAt = s.now.Add(time.Millisecond)
			s.queue.waiting = append(s.queue.waiting, early)
			if d := s.queue.LevelDemands(s.now); d != nil {
				t.Errorf("demand %v before any arrival", d)
			}
			s.queue.learnLevel(early)
			if d := s.queue.LevelDemands(s.now); d[2].Wanted != c.want || d[2].Waiting != 9 {
				t.Errorf("demand %v, want %d of 9", d[2], c.want)
			}
			grants := s.queue.Admit(s.now, s.ranks)
			if len(grants) != c.want || slices.ContainsFunc(grants, func(g Grant) bool { return g.Request == early }) {
				t.Errorf("%d requests admitted, want %d", len(grants), c.want)
			}
		})
	}
}

// TestStarvingFirst guards against a floor without effect: while more urgent requests wait for the
// same places, a starving request gets one of them.
func TestStarvingFirst(t *testing.T) {
	s := newRankedService(1)
	s.report(0, 9, balance.Backlog{})
	starving := s.request(2)
	starving.floorAt = s.now
	for range 10 {
		s.queue.waiting = append(s.queue.waiting, s.request(0))
	}
	s.queue.waiting = append(s.queue.waiting, starving)
	grants := s.queue.Admit(s.now, s.ranks)
	if len(grants) != 4 || grants[0].Request != starving {
		t.Errorf("%d grants, want the starving request and three more", len(grants))
	}
}

// TestRankedWait checks the permitted waits by the goals of the routes.
func TestRankedWait(t *testing.T) {
	cases := map[string]struct {
		level   urgency.Level
		goal    time.Duration
		retried bool
		left    time.Duration
		want    time.Duration
	}{
		"most urgent, new":               {0, 400 * time.Millisecond, false, 8 * time.Second, maxWait},
		"most urgent, returning":         {0, time.Second, true, 8 * time.Second, MaxRetryWait},
		"limited, new":                   {2, time.Second, false, 8 * time.Second, 3200 * time.Millisecond},
		"limited, returning":             {2, time.Second, true, 4 * time.Second, 2 * time.Second},
		"limited, until the caller goes": {2, time.Second, true, 10 * time.Second, 4 * time.Second},
		"limited, a short goal":          {1, 300 * time.Millisecond, true, 10 * time.Second, 2 * time.Second},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := newRankedService(1)
			s.report(0, 10, balance.Backlog{})
			s.grants(100, c.level)
			x := s.request(c.level)
			x.Goal, x.Deadline, x.retried = c.goal, s.now.Add(c.left), c.retried
			want := c.want
			if silent := x.silentTimeout() - balance.FirstEvent(rankedEngine, s.queue.pool.GroupLoad(s.now)); want > silent {
				want = silent
			}
			if got := s.queue.wait(s.now, x, false, 0); got != want {
				t.Errorf("waits %s, want %s", got, want)
			}
		})
	}
}

// TestRankedRejection guards against requests that are held although they cannot be in time, and
// against urgent ones that are rejected because less urgent ones wait.
func TestRankedRejection(t *testing.T) {
	cases := map[string]struct {
		level   urgency.Level
		retried bool
		backlog balance.Backlog
		// grants holds the recent grants of each level.
		grants  [3]int
		waiting [3]int
		want    Outcome
	}{
		"batch, a short queue":                        {2, false, balance.Backlog{Waiting: 12, Rate: 100, Levels: []int{0, 0, 12}}, [3]int{0, 0, 10}, [3]int{}, OutcomeWaits},
		"batch, later than in time":                   {2, false, balance.Backlog{Waiting: 60, Rate: 100, Levels: []int{0, 0, 60}}, [3]int{0, 0, 10}, [3]int{}, OutcomeRejected},
		"batch, urgent ones are ahead":                {2, false, balance.Backlog{Waiting: 60, Rate: 100, Levels: []int{55, 0, 5}}, [3]int{0, 0, 10}, [3]int{}, OutcomeRejected},
		"batch, urgent ones get nearly all":           {2, false, balance.Backlog{Waiting: 12, Rate: 100, Levels: []int{0, 0, 12}}, [3]int{19, 0, 0}, [3]int{}, OutcomeRejected},
		"batch, returning":                            {2, true, balance.Backlog{Waiting: 600, Rate: 100, Levels: []int{0, 0, 600}}, [3]int{0, 0, 10}, [3]int{}, OutcomeWaits},
		"urgent, only batch waits":                    {0, false, balance.Backlog{Waiting: 900, Rate: 100, Levels: []int{0, 0, 900}}, [3]int{5, 0, 5}, [3]int{}, OutcomeWaits},
		"urgent, would be late":                       {0, false, balance.Backlog{Waiting: 60, Rate: 100, Levels: []int{60, 0, 0}}, [3]int{5, 0, 5}, [3]int{}, OutcomeWaits},
		"urgent, longer than its whole wait":          {0, false, balance.Backlog{Waiting: 150, Rate: 100, Levels: []int{150, 0, 0}}, [3]int{5, 0, 5}, [3]int{}, OutcomeRejected},
		"urgent, no levels reported, only batch here": {0, false, balance.Backlog{Waiting: 900, Rate: 100}, [3]int{5, 0, 5}, [3]int{0, 0, 20}, OutcomeWaits},
		"middle, no levels reported, a third ahead":   {1, false, balance.Backlog{Waiting: 90, Rate: 100}, [3]int{5, 0, 5}, [3]int{5, 0, 10}, OutcomeRejected},
		"batch, no levels reported":                   {2, false, balance.Backlog{Waiting: 90, Rate: 100}, [3]int{0, 0, 10}, [3]int{}, OutcomeRejected},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := newRankedService(1)
			s.report(0, 10, c.backlog)
			for level, n := range c.grants {
				s.grants(n, urgency.Level(level))
			}
			for level, n := range c.waiting {
				for range n {
					s.queue.waiting = append(s.queue.waiting, s.request(urgency.Level(level)))
				}
			}
			x := s.request(c.level)
			if c.retried {
				s.queue.longestTimeout[x.Route] = 2 * x.Patience
			}
			// The group opened before the window in which its forecast throughput counts.
			s.now = s.now.Add(rateWindow)
			s.report(0, 10, c.backlog)
			x.Arrived, x.Deadline = s.now, s.now.Add(8*time.Second)
			v := s.queue.Arrive(s.now, x, s.ranks)
			if v.Outcome != c.want {
				t.Errorf("%s, want %s; forecast %+v", v.Outcome, c.want, v.Forecast)
			}
			if !v.Spread || v.RetryAfter > 8*time.Second/3 {
				t.Errorf("retry time %s is not spread, or too long", v.RetryAfter)
			}
		})
	}
}

// TestUnreportedRejection guards against a router without reports that holds or rejects requests by
// another order: its own queue and grants decide.
func TestUnreportedRejection(t *testing.T) {
	cases := map[string]struct {
		level   urgency.Level
		waiting [3]int
		want    Outcome
	}{
		"urgent, only batch waits": {0, [3]int{0, 0, 40}, OutcomeWaits},
		"urgent, a long queue":     {0, [3]int{40, 0, 0}, OutcomeRejected},
		"batch, a short queue":     {2, [3]int{0, 0, 4}, OutcomeWaits},
		"batch, a long queue":      {2, [3]int{12, 0, 0}, OutcomeRejected},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := newRankedService(1)
			for _, u := range s.ranks {
				for range 10 {
					s.queue.pool.Sent(s.now, u.Run())
				}
			}
			s.grants(20, 2)
			for level, n := range c.waiting {
				for range n {
					s.queue.waiting = append(s.queue.waiting, s.request(urgency.Level(level)))
				}
			}
			if v := s.queue.Arrive(s.now, s.request(c.level), s.ranks); v.Outcome != c.want {
				t.Errorf("%s, want %s; forecast %+v", v.Outcome, c.want, v.Forecast)
			}
		})
	}
}

// TestFullQueue guards against new requests of a limited level that take the places of returning
// ones and of urgent ones in the bounded queue.
func TestFullQueue(t *testing.T) {
	cases := map[string]struct {
		level   urgency.Level
		retried bool
		waiting int
		want    Outcome
	}{
		"batch, half full":            {2, false, maxWaitingNew, OutcomeRejected},
		"batch, less":                 {2, false, maxWaitingNew - 1, OutcomeWaits},
		"batch, returning, half full": {2, true, maxWaitingNew, OutcomeWaits},
		"urgent, half full":           {0, false, maxWaitingNew, OutcomeWaits},
		"urgent, full":                {0, false, maxWaiting, OutcomeRejected},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := newRankedService(1)
			s.report(0, 10, balance.Backlog{Waiting: c.waiting, Rate: 10_000, Levels: []int{0, 0, c.waiting}})
			for range c.waiting {
				s.queue.waiting = append(s.queue.waiting, s.request(2))
			}
			x := s.request(c.level)
			if c.retried {
				s.queue.longestTimeout[x.Route] = 2 * x.Patience
			}
			if v := s.queue.Arrive(s.now, x, s.ranks); v.Outcome != c.want {
				t.Errorf("%s, want %s", v.Outcome, c.want)
			}
		})
	}
}

// TestSpreadRetryAfter guards against rejected callers that return together, before the queue ahead
// has drained, or later than they accept.
func TestSpreadRetryAfter(t *testing.T) {
	s := newRankedService(1)
	cases := map[string]struct {
		wait, left  time.Duration
		least, most time.Duration
	}{
		"usual":                   {600 * time.Millisecond, 8 * time.Second, 600 * time.Millisecond, 1200 * time.Millisecond},
		"short":                   {20 * time.Millisecond, 8 * time.Second, 250 * time.Millisecond, 500 * time.Millisecond},
		"at most a third":         {5 * time.Second, 6 * time.Second, time.Second, 2 * time.Second},
		"little time is left":     {5 * time.Second, 300 * time.Millisecond, 50 * time.Millisecond, 100 * time.Millisecond},
		"the caller has no time":  {time.Second, 0, 0, 0},
		"the caller is long gone": {time.Second, -time.Second, 0, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			x := s.request(2)
			x.Deadline = s.now.Add(c.left)
			for random, want := range map[float64]time.Duration{0: c.most, 1: c.least} {
				s.queue.pool.SetRandom(func() float64 { return random })
				if got := s.queue.spreadRetryAfter(s.now, x, c.wait); got.Round(time.Millisecond) != want {
					t.Errorf("retry time %s, want %s", got, want)
				}
			}
		})
	}
}

// TestClosedGroups checks that callers of a ranked service whose groups are closed get the retry
// time of the reopening.
func TestClosedGroups(t *testing.T) {
	s := newRankedService(1)
	s.queue.pool.Report(s.now, balance.Group{ID: "g0", Whole: true}, s.ids)
	for level := range urgency.Level(3) {
		v := s.queue.Arrive(s.now, s.request(level), s.ranks)
		if v.Outcome != OutcomeRejected || v.Spread || v.RetryAfter < rankedEngine.FormTime+listingDelay {
			t.Errorf("level %d: %+v", level, v)
		}
	}
}

// TestLevelDemands guards against demand for places that a router may not use: requests of a limited
// level count only while a group is below their limit.
func TestLevelDemands(t *testing.T) {
	cases := map[string]struct {
		running []int
		want    []balance.LevelDemand
	}{
		"room for all":                     {[]int{2}, []balance.LevelDemand{{Wanted: 4, Waiting: 2}, {Wanted: 3, Waiting: 3}, {Wanted: 5, Waiting: 4}}},
		"above the last limit":             {[]int{7}, []balance.LevelDemand{{Wanted: 4, Waiting: 2}, {Wanted: 3, Waiting: 3}, {Wanted: 0, Waiting: 4}}},
		"another group is below the limit": {[]int{7, 2}, []balance.LevelDemand{{Wanted: 4, Waiting: 2}, {Wanted: 3, Waiting: 3}, {Wanted: 5, Waiting: 4}}},
		"all full":                         {[]int{10, 10}, []balance.LevelDemand{{Wanted: 4, Waiting: 2}, {Wanted: 0, Waiting: 3}, {Wanted: 0, Waiting: 4}}},
		"no report":                        {nil, []balance.LevelDemand{{Wanted: 4, Waiting: 2}, {Wanted: 3, Waiting: 3}, {Wanted: 5, Waiting: 4}}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := newRankedService(max(len(c.running), 1))
			for g, running := range c.running {
				s.report(g, running, balance.Backlog{})
			}
			for level, n := range []int{2, 3, 4} {
				for range n {
					x := s.request(urgency.Level(level))
					x.floorAt = s.now.Add(time.Second)
					s.queue.learnLevel(x)
					s.queue.waiting = append(s.queue.waiting, x)
				}
			}
			s.grants(14, 0) // 1.4 per report interval, and 3.0 with the next line
			s.grants(16, 2)
			got := s.queue.LevelDemands(s.now)
			if !slices.Equal(got, c.want) {
				t.Errorf("demand %v, want %v", got, c.want)
			}
			wanted, waiting := 0, 0
			for _, d := range got {
				wanted, waiting = wanted+d.Wanted, waiting+d.Waiting
			}
			if wanted != s.queue.Wanted(s.now) || waiting != s.queue.Waiting() {
				t.Errorf("sums %d and %d, want %d and %d", wanted, waiting, s.queue.Wanted(s.now), s.queue.Waiting())
			}
			if got := s.queue.WaitingByLevel(); !slices.Equal(got, []int{2, 3, 4}) {
				t.Errorf("waiting %v", got)
			}
		})
	}
}

// BenchmarkAdmitRanked measures the search of a full queue for requests with room, with no room.
func BenchmarkAdmitRanked(b *testing.B) {
	s := newRankedService(18) // 72 ranks
	for g := range 18 {
		s.report(g, 11, balance.Backlog{})
	}
	for i := range maxWaiting {
		x := s.request(urgency.Level(i % 3))
		x.floorAt = s.now.Add(time.Second)
		s.queue.waiting = append(s.queue.waiting, x)
	}
	b.ReportAllocs()
	for b.Loop() {
		if grants := s.queue.Admit(s.now, s.ranks); len(grants) > 0 {
			b.Fatal("a request is admitted")
		}
	}
}
