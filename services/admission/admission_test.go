// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package admission

import (
	"slices"
	"strings"
	"testing"
	"time"

	"fawnwinch.org/fawnwinch/models/catalog"
	"fawnwinch.org/fawnwinch/models/upstream"
	"fawnwinch.org/fawnwinch/services/balance"
	"fawnwinch.org/fawnwinch/services/condition"
)

// TestWait checks which requests wait for room, and which retry time rejected ones get.
func TestWait(t *testing.T) {
	now := time.Unix(1000, 0)
	engine := &catalog.Engine{Slots: 12, FormTime: 600 * time.Millisecond}
	cases := map[string]struct {
		patience time.Duration
		waiting  int
		granted  int
		broken   bool
		unlisted bool
		want     time.Duration
	}{
		"new, a short queue":                   {8 * time.Second, 0, 10, false, false, maxWait},
		"new, a queue that is let in in time":  {8 * time.Second, 9, 10, false, false, maxWait},
		"new, a long queue":                    {8 * time.Second, 12, 10, false, false, 0},
		"new, little time is left":             {time.Second, 3, 10, false, false, 400 * time.Millisecond},
		"comes again, a long queue":            {7 * time.Second, 12, 10, false, false, MaxRetryWait},
		"comes again, little time is left":     {time.Second, 12, 10, false, false, 500 * time.Millisecond},
		"new, the group is broken":             {8 * time.Second, 0, 10, true, false, 0},
		"comes again, the group is broken":     {7 * time.Second, 0, 10, true, false, MaxRetryWait},
		"new, no upstream is listed":           {8 * time.Second, 0, 10, false, true, 0},
		"comes again, no upstream is listed":   {7 * time.Second, 0, 10, false, true, MaxRetryWait},
		"new, nothing was let in for a second": {8 * time.Second, 1, 0, false, false, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			full := 8 * time.Second
			if strings.HasPrefix(name, "new") {
				full = c.patience
			}
			q := &Queue{pool: balance.NewPool(""), longestTimeout: map[string]time.Duration{"r": full}, waiting: make([]*Request, c.waiting)}
			for range c.granted {
				q.granted = append(q.granted, now)
			}
			if c.broken {
				q.pool.Report(now, balance.Group{}, nil)
			}
			x := &Request{Route: "r", Goal: 500 * time.Millisecond, Arrived: now, Deadline: now.Add(c.patience), Patience: c.patience, Ask: balance.PickOptions{Engine: engine}}
			x.retried = q.isRetry(now, x)
			if got := q.wait(now, x, c.unlisted, 0); got != c.want {
				t.Errorf("waits %s, want %s", got, c.want)
			}
			if room := q.retryAfter(now, x, 0); c.broken && room < engine.FormTime+listingDelay {
				t.Errorf("retry time %s ends before the group has formed", room)
			}
		})
	}
}

// TestSilence overloads a group with one slow rank: a request must not wait for so long that its
// first event comes after the caller has left the silent stream. Callers that were admitted after a
// wait of 1.6 s, before passes of half a second, left at 2 s, and their prompts were read in vain.
func TestSilence(t *testing.T) {
	now := time.Unix(1000, 0)
	engine := &catalog.Engine{Slots: 12, Stride: 4, StepMillis: 4.55, WriterMillis: 0.905, ReadPerSecond: 61_400, Chunk: 512, UsualPrompt: 800, UsualAnswer: 96, ExpertShare: 0.85, FormTime: 600 * time.Millisecond}
	ranks := func(pace float64) []balance.RankLoad {
		out := make([]balance.RankLoad, 12)
		for i := range out {
			out[i] = balance.RankLoad{Running: 11, Pace: 1}
		}
		out[3].Pace = pace
		return out
	}
	cases := map[string]struct {
		pace      float64
		closed    bool
		plain     bool
		retryWait time.Duration
	}{
		"all ranks as usual":       {1, false, false, MaxRetryWait},
		"a rank three times slow":  {3, false, false, 0},
		"a rank twelve times slow": {12, false, false, 0},
		"a rank thirty times slow": {30, false, false, 0},
		"the group is closed":      {12, true, false, MaxRetryWait},
		"a plain service":          {12, false, true, MaxRetryWait},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			q := NewQueue(balance.NewPool(""))
			g := balance.Group{ID: "g", Open: !c.closed, Ranks: ranks(c.pace), Skew: 1.3}
			q.pool.Report(now, g, nil)
			x := &Request{Route: "r", Arrived: now, Deadline: now.Add(7 * time.Second), Patience: 7 * time.Second, Ask: balance.PickOptions{Engine: engine}, retried: true}
			if c.plain {
				x.Ask.Engine = nil
			}
			want := c.retryWait
			if want == 0 {
				want = max(min(MaxRetryWait, silentStreamTimeout-balance.FirstEvent(engine, g.Load())), 0)
			}
			got := q.wait(now, x, false, 0)
			if got != want {
				t.Errorf("waits %s, want %s", got, want)
			}
			if first := balance.FirstEvent(engine, g.Load()); !c.closed && !c.plain && got > 0 && got+first > silentStreamTimeout {
				t.Errorf("waits %s and then %s for its first event, longer than its caller stays", got, first)
			}
		})
	}
}

// TestBacklog checks that the forecast uses the backlog of all routers if a coordinator reports it:
// one of many routers has too few requests for a forecast.
func TestBacklog(t *testing.T) {
	now := time.Unix(1000, 0)
	second := float64(time.Second)
	cases := map[string]struct {
		waiting, granted int
		backlog          *balance.Backlog
		want             time.Duration
	}{
		"nothing is told: by own grants":             {3, 2, nil, 2 * time.Second},
		"places are left":                            {1, 0, &balance.Backlog{Waiting: 3, Free: 40, Rate: 300}, reportInterval},
		"more wait than there are places":            {1, 0, &balance.Backlog{Waiting: 100, Free: 41, Rate: 300}, reportInterval + time.Duration(0.2*second)},
		"the own queue is longer than was told":      {9, 0, &balance.Backlog{Waiting: 3, Rate: 10}, reportInterval + time.Second},
		"a group that has not let anybody in so far": {0, 0, &balance.Backlog{Waiting: 4}, reportInterval + 5*time.Second},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			q := NewQueue(balance.NewPool(""))
			q.waiting = make([]*Request, c.waiting)
			for range c.granted {
				q.granted = append(q.granted, now)
			}
			if c.backlog != nil {
				q.pool.Report(now, balance.Group{ID: "g", Open: true, Backlog: *c.backlog}, nil)
			}
			if got := q.queueWait(now, nil, balance.Bounds{}); got.Round(time.Millisecond) != c.want {
				t.Errorf("forecast %s, want %s", got, c.want)
			}
		})
	}
}

// TestLearningPeriod checks that a newly started router treats callers with a timeout below the
// route's as retries, and that it uses the timeouts it has seen after the learning period.
func TestLearningPeriod(t *testing.T) {
	now := time.Unix(1000, 0)
	x := &Request{Route: "r", Patience: 6 * time.Second, Timeout: 8 * time.Second}
	q := NewQueue(balance.NewPool(""))
	q.firstArrival = now
	if !q.isRetry(now, x) {
		t.Error("the first caller with a short timeout was not treated as a retry")
	}
	if q.isRetry(now.Add(learningPeriod), x) {
		t.Error("a caller of a route with a long timeout was treated as a retry")
	}
}

// TestJustOpened checks that the queue of a newly opened group is not forecast to be stuck.
func TestJustOpened(t *testing.T) {
	now := time.Unix(1000, 0)
	e := &catalog.Engine{Slots: 6, Stride: 6, StepMillis: 4.55, WriterMillis: 1.99, ReadPerSecond: 61_400, Chunk: 512, UsualPrompt: 835, UsualAnswer: 90, ExpertShare: 0.85}
	q := NewQueue(balance.NewPool(""))
	open := balance.Group{ID: "g", Open: true, Ranks: make([]balance.RankLoad, 12), Skew: 2, Backlog: balance.Backlog{Waiting: 20}}
	q.pool.Report(now, open, nil)
	b := balance.Bounds{Rank: 6, Mean: 5}
	if got := q.queueWait(now, e, b); got < 300*time.Millisecond || got > 1500*time.Millisecond {
		t.Errorf("forecast %s for 20 callers before 12 ranks", got)
	}
	later := now.Add(rateWindow + 1)
	q.pool.Report(later, open, nil)
	if got := q.queueWait(later, e, b); got < 20*time.Second {
		t.Errorf("forecast %s although no request was admitted for a second", got)
	}
}

// TestReopening checks the retry time for callers of a broken group.
func TestReopening(t *testing.T) {
	now := time.Unix(1000, 0)
	engine := &catalog.Engine{FormTime: 600 * time.Millisecond}
	forms := engine.FormTime + listingDelay
	cases := map[string]struct {
		groups []balance.Group
		left   time.Duration
		want   time.Duration
	}{
		"nothing is known of the group":       {nil, 8 * time.Second, forms},
		"it forms anew":                       {[]balance.Group{{Whole: true}}, 8 * time.Second, forms},
		"a rank is missing":                   {[]balance.Group{{}}, 8 * time.Second, 2400 * time.Millisecond},
		"a rank is missing, little time left": {[]balance.Group{{}}, 2 * time.Second, forms},
		"another group works":                 {[]balance.Group{{ID: "a"}, {ID: "b", Open: true}}, 8 * time.Second, forms},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			q := NewQueue(balance.NewPool(""))
			for _, g := range c.groups {
				q.pool.Report(now, g, nil)
			}
			if got := q.reopening(now, &Request{Deadline: now.Add(c.left)}, engine); got != c.want {
				t.Errorf("retry time %s, want %s", got, c.want)
			}
		})
	}
}

// TestFirst checks the order of admission: requests that can still be answered in time by the time
// left for that, retried requests when they are due, and new requests that are late after these.
func TestFirst(t *testing.T) {
	now := time.Unix(1000, 0)
	const goal = time.Second
	in := func(ms int) time.Time { return now.Add(time.Duration(ms) * time.Millisecond) }
	fresh := func(inTime, deadline int) *Request {
		return &Request{Arrived: in(inTime).Add(-time.Duration(inTimeFraction * float64(goal))), Goal: goal, Deadline: in(deadline), due: in(800)}
	}
	retried := func(due, deadline int) *Request {
		return &Request{Arrived: now, Goal: goal, Deadline: in(deadline), retried: true, due: in(due)}
	}
	cases := map[string]struct {
		waiting []*Request
		want    int
	}{
		"one alone":                           {[]*Request{fresh(-100, 3000)}, 0},
		"in time before late":                 {[]*Request{fresh(-100, 500), fresh(200, 8000)}, 1},
		"in time, the one with less for it":   {[]*Request{fresh(200, 8000), fresh(100, 8000), fresh(150, 300)}, 1},
		"all late: the caller that is going":  {[]*Request{fresh(-100, 5000), fresh(-200, 6000), fresh(-50, 4000)}, 2},
		"the end of its time counts as late":  {[]*Request{fresh(0, 100), fresh(1, 8000)}, 1},
		"in time before one that comes again": {[]*Request{retried(900, 5000), fresh(200, 8000)}, 1},
		"comes again and is due":              {[]*Request{fresh(200, 8000), retried(100, 5000)}, 1},
		"comes again before new and late":     {[]*Request{fresh(-1, 4000), retried(1200, 5000)}, 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			q := &Queue{waiting: c.waiting}
			got := q.next(now, nil)
			if got != c.waiting[c.want] {
				t.Errorf("request %d is admitted, want %d", slices.Index(c.waiting, got), c.want)
			}
			if second := q.next(now, []*Request{got}); second == got {
				t.Error("a request that was passed over is admitted")
			}
		})
	}
	if got := (&Queue{}).next(now, nil); got != nil {
		t.Error("a request is admitted from an empty queue")
	}
}

// TestWake checks that a request which has tried the only upstream with room does not block others.
func TestWake(t *testing.T) {
	now := time.Unix(1000, 0)
	u := upstream.Instance{ID: "u0", Service: "s", Address: "a0", Slots: 1, State: upstream.StateReady}
	tried := &Request{Ask: balance.PickOptions{Exclude: map[upstream.ID]bool{"u0": true}}, Arrived: now, Goal: time.Second}
	fresh := &Request{Arrived: now, Goal: 2 * time.Second}
	q := NewQueue(balance.NewPool(""))
	q.waiting = []*Request{tried, fresh}
	grants := q.Admit(now, []upstream.Instance{u})
	if len(grants) != 1 || grants[0].Request != fresh || !slices.Equal(q.waiting, []*Request{tried}) {
		t.Errorf("let in: %+v; %d wait", grants, len(q.waiting))
	}
}

// TestClosedUpstreams checks that a request is rejected immediately, with a retry time, if the
// upstreams report that they accept it too late: a service that loses most of its rate must not
// hold requests that it cannot serve.
func TestClosedUpstreams(t *testing.T) {
	now := time.Unix(1000, 0)
	limited := upstream.Instance{ID: "limited", Service: "s", Address: "a", Slots: 6}
	free := upstream.Instance{ID: "free", Service: "s", Address: "b", Slots: 6}
	cases := map[string]struct {
		usable  []upstream.Instance
		opening time.Duration
		waited  time.Duration
		retried bool
		want    Outcome
	}{
		"takes requests now":                       {[]upstream.Instance{limited}, 0, 0, false, OutcomeGranted},
		"takes one soon":                           {[]upstream.Instance{limited}, 200 * time.Millisecond, 0, false, OutcomeWaits},
		"takes one too late":                       {[]upstream.Instance{limited}, 3 * time.Second, 0, false, OutcomeRejected},
		"takes one too late for a last try":        {[]upstream.Instance{limited}, 3 * time.Second, 0, true, OutcomeRejected},
		"takes one soon, after a wait":             {[]upstream.Instance{limited}, 400 * time.Millisecond, time.Second, false, OutcomeRejected},
		"takes one too late, another takes it now": {[]upstream.Instance{limited, free}, 3 * time.Second, 0, false, OutcomeGranted},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			pool := balance.NewPool("")
			pool.Conditions().Note(now, now, limited.Run(), upstream.Notice{Limited: true, Limit: 1})
			pool.Conditions().Answered(now, now, limited.Run(), condition.PermitReply{Again: c.opening})
			q := NewQueue(pool)
			q.longestTimeout["r"] = 4 * time.Second
			x := &Request{Route: "r", Goal: 300 * time.Millisecond, Arrived: now, Deadline: now.Add(4 * time.Second), Patience: 4 * time.Second, Waited: c.waited}
			if c.retried {
				x.Patience = 3 * time.Second
			}
			v := q.Arrive(now, x, c.usable)
			if v.Outcome != c.want {
				t.Errorf("%s, want %s", v.Outcome, c.want)
			}
			if v.Outcome == OutcomeRejected && v.RetryAfter < c.opening {
				t.Errorf("retry time %s, but the upstream accepts requests only after %s", v.RetryAfter, c.opening)
			}
		})
	}
}
