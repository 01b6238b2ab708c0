// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package balance

import (
	"slices"
	"testing"
	"time"

	"fawnwinch.org/fawnwinch/models/catalog"
	"fawnwinch.org/fawnwinch/models/group"
	"fawnwinch.org/fawnwinch/models/upstream"
	"fawnwinch.org/fawnwinch/models/urgency"
)

// TestLevelMean checks the limits of levels with the engine of the contended deployment. Passes
// with as many streams must stay within the pause goal at the skew that the level is prepared for.
func TestLevelMean(t *testing.T) {
	e := &catalog.Engine{Slots: 10, Stride: 6, StepMillis: 5.85, WriterMillis: 0.426, ContextMillis: 0.0432, ReadPerSecond: 61_200, Chunk: 512, UsualPrompt: 868, UsualAnswer: 139, ExpertShare: 0.85}
	const goal = 120 * time.Millisecond
	cases := map[string]struct {
		pauseGoal time.Duration
		level     urgency.Level
		levels    int
		skew      float64
		limited   bool
	}{
		"most urgent":               {goal, 0, 3, 0, false},
		"middle":                    {goal, 1, 3, (minAssumedSkew + shiftSkew) / 2, true},
		"last of three":             {goal, 2, 3, shiftSkew, true},
		"last of two":               {goal, 1, 2, shiftSkew, true},
		"not ranked":                {goal, 0, 1, 0, false},
		"no pause goal":             {0, 2, 3, 0, false},
		"a goal that cannot be met": {goal / 2, 2, 3, 0, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			got := LevelMean(e, 1, c.pauseGoal, c.level, c.levels)
			if got > 0 != c.limited {
				t.Fatalf("limit %.2f", got)
			}
			if !c.limited {
				return
			}
			pass := Pass(e, PassLoad{Mean: got, Max: got, Context: e.UsualPrompt, Reading: e.UsualPrompt, Skew: c.skew, Pace: 1, Copying: true})
			if want := time.Duration(passFraction * float64(c.pauseGoal)); (pass - want).Abs() > time.Microsecond {
				t.Errorf("limit %.2f: a pass takes %s, want %s", got, pass, want)
			}
		})
	}
}

// TestPickMaxMean guards against requests of a limited level that are sent to a group above the
// limit, and against groups without a valid report that get none.
func TestPickMaxMean(t *testing.T) {
	cands, ids := candidates(4)
	load := func(running, unstarted int) []RankLoad {
		return []RankLoad{{Running: running, Unstarted: unstarted, Pace: 1}, {Running: running, Unstarted: unstarted, Pace: 1}}
	}
	cases := map[string]struct {
		// first and second are the loads of the groups of two ranks each; nil for no report.
		first, second []RankLoad
		mean          float64
		age           time.Duration
		// sends and ends are this router's requests at the first group since the report.
		sends, ends int
		want        []upstream.ID
		below       bool
	}{
		"no limit":                          {load(8, 0), load(8, 0), 0, 0, 0, 0, []upstream.ID{"u0", "u1", "u2", "u3"}, true},
		"both below":                        {load(5, 0), load(5, 0), 6.5, 0, 0, 0, []upstream.ID{"u0", "u1", "u2", "u3"}, true},
		"one is at the limit":               {load(6, 0), load(5, 0), 6, 0, 0, 0, []upstream.ID{"u2", "u3"}, true},
		"unstarted requests count":          {load(4, 2), load(5, 0), 6, 0, 0, 0, []upstream.ID{"u2", "u3"}, true},
		"both above":                        {load(7, 0), load(8, 0), 6.5, 0, 0, 0, nil, false},
		"a fraction of a request per rank":  {load(6, 0), load(7, 0), 6.5, 0, 0, 0, []upstream.ID{"u0", "u1"}, true},
		"own sends since":                   {load(6, 0), load(7, 0), 6.5, 0, 1, 0, nil, false},
		"own sends that ended":              {load(6, 0), load(7, 0), 6.5, 0, 3, 3, []upstream.ID{"u0", "u1"}, true},
		"the other is not reported":         {load(7, 0), nil, 6.5, 0, 0, 0, []upstream.ID{"u2", "u3"}, false},
		"nothing is reported":               {nil, nil, 6.5, 0, 0, 0, []upstream.ID{"u0", "u1", "u2", "u3"}, true},
		"reports that are no longer recent": {load(7, 0), load(7, 0), 6.5, 500 * time.Millisecond, 0, 0, nil, false},
		"reports that are no longer valid":  {load(7, 0), load(7, 0), 6.5, reportValid, 0, 0, []upstream.ID{"u0", "u1", "u2", "u3"}, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			p := NewPool("")
			for i, ranks := range [][]RankLoad{c.first, c.second} {
				if ranks == nil {
					continue
				}
				g := Group{ID: []group.ID{"g0", "g1"}[i], Open: true, Ranks: slices.Clone(ranks)}
				g.Ranks[0].Address, g.Ranks[1].Address = cands[2*i].Address, cands[2*i+1].Address
				p.Report(begin, g, ids)
			}
			now := begin.Add(c.age)
			for range c.sends {
				p.Sent(now, cands[0].Run())
			}
			for range c.ends {
				p.Started(now, cands[0].Run())
				p.Done(now, cands[0].Run(), ResultOK, time.Second, true)
			}
			ask := PickOptions{Engine: engine, Bounds: Bounds{Rank: 20, Mean: 20}, Routers: 1, MaxMean: c.mean}
			var got []upstream.ID
			for _, u := range cands {
				ask.Exclude = map[upstream.ID]bool{}
				for _, o := range cands {
					ask.Exclude[o.ID] = o.ID != u.ID
				}
				if _, ok := p.Pick(now, cands, ask); ok {
					got = append(got, u.ID)
				}
			}
			if !slices.Equal(got, c.want) {
				t.Errorf("room at %v, want %v", got, c.want)
			}
			if got := p.BelowMean(now, c.mean); got != c.below {
				t.Errorf("below the limit: %t, want %t", got, c.below)
			}
		})
	}
}

// TestReportedSends checks that a report replaces this router's sends before it: requests that it
// includes must not count twice, and requests that it cannot include yet must count.
func TestReportedSends(t *testing.T) {
	cands, ids := candidates(1)
	p := NewPool("")
	report := func(running, unstarted int) {
		p.Report(begin, Group{ID: "g", Open: true, Ranks: []RankLoad{{Address: cands[0].Address, Running: running, Unstarted: unstarted, Pace: 1}}}, ids)
	}
	check := func(step string, want float64) {
		t.Helper()
		if !p.BelowMean(begin, want+0.5) || p.BelowMean(begin, want) {
			t.Errorf("%s: the load is not %.0f", step, want)
		}
	}
	report(3, 0)
	p.Sent(begin, cands[0].Run())
	check("sent after the report", 4)
	report(3, 0) // this router tells its unstarted request only in the reply
	check("the coordinator does not know the request yet", 4)
	report(3, 1)
	check("the coordinator counts the request", 4)
	p.Started(begin, cands[0].Run())
	check("the answer has begun", 4)
	report(4, 1)
	check("the rank runs the request, and the count of unstarted ones is old", 4)
	p.Done(begin, cands[0].Run(), ResultOK, time.Second, true)
	check("the answer has ended", 3)
}

// TestPoolBacklogLevels guards against a forecast from the levels of only some of the groups.
func TestPoolBacklogLevels(t *testing.T) {
	cases := map[string]struct {
		groups []Backlog
		want   []int
	}{
		"all report levels":               {[]Backlog{{Waiting: 3, Levels: []int{1, 2}}, {Waiting: 6, Levels: []int{1, 2, 3}}}, []int{2, 4, 3}},
		"one reports none":                {[]Backlog{{Waiting: 3, Levels: []int{1, 2}}, {Waiting: 6}}, nil},
		"one reports none, nothing waits": {[]Backlog{{Waiting: 3, Levels: []int{1, 2}}, {}}, []int{1, 2}},
		"none does":                       {[]Backlog{{Waiting: 3}}, nil},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			p := NewPool("")
			for i, b := range c.groups {
				p.Report(begin, Group{ID: []group.ID{"g0", "g1"}[i], Open: true, Backlog: b}, nil)
			}
			reported := slices.Clone(c.groups[0].Levels)
			if b, ok := p.Backlog(begin); !ok || !slices.Equal(b.Levels, c.want) {
				t.Errorf("levels %v, want %v", b.Levels, c.want)
			}
			if !slices.Equal(c.groups[0].Levels, reported) {
				t.Error("the levels of a report have changed")
			}
		})
	}
}
