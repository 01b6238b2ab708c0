// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package shutdown

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"fawnwinch.org/fawnwinch/services/peer"
)

var started = time.Unix(1000, 0)

// at returns a time after the order to stop.
func at(ms int) time.Time { return started.Add(time.Duration(ms) * time.Millisecond) }

func ExamplePlan_Admits() {
	now := time.Unix(0, 0)
	p := NewPlan(now, 8*time.Second)
	longest := 2 * time.Second
	fmt.Println(p.Admits(now.Add(4*time.Second), now.Add(time.Hour), longest))
	fmt.Println(p.Admits(now.Add(6*time.Second), now.Add(time.Hour), longest))
	// Output:
	// true
	// false
}

// TestAdmits checks which requests a stopping process accepts: those that end before it does.
func TestAdmits(t *testing.T) {
	plan := NewPlan(started, 8*time.Second) // it ends after 7.6 s
	cases := map[string]struct {
		plan     Plan
		now      int
		deadline int
		longest  time.Duration
		want     bool
	}{
		"not stopping":                       {plan: Plan{}, now: 0, deadline: 60000, want: true},
		"the deadline is before the end":     {plan: plan, now: 7000, deadline: 7500, longest: time.Minute, want: true},
		"the deadline is at the end":         {plan: plan, now: 7000, deadline: 7600, longest: time.Minute, want: false},
		"answers are short":                  {plan: plan, now: 6999, deadline: 60000, longest: 400 * time.Millisecond, want: true},
		"answers are too long by now":        {plan: plan, now: 7001, deadline: 60000, longest: 400 * time.Millisecond, want: false},
		"no answer known, ordered just now":  {plan: plan, now: 3000, deadline: 60000, want: true},
		"no answer known, ordered long ago":  {plan: plan, now: 3001, deadline: 60000, want: false},
		"longer than the grace period":       {plan: plan, now: 0, deadline: 60000, longest: 8 * time.Second, want: false},
		"a grace period within the margins":  {plan: NewPlan(started, 300*time.Millisecond), now: 0, deadline: 60000, longest: time.Millisecond, want: false},
		"after the end":                      {plan: plan, now: 9000, deadline: 60000, longest: time.Millisecond, want: false},
		"after the end, the deadline passed": {plan: plan, now: 9000, deadline: 7000, longest: time.Millisecond, want: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			if got := c.plan.Admits(at(c.now), at(c.deadline), c.longest); got != c.want {
				t.Errorf("admitted: %t, want %t", got, c.want)
			}
		})
	}
}

// TestRetryAfter checks that rejected callers come back soon where others serve, and else when the
// process is back.
func TestRetryAfter(t *testing.T) {
	p := NewPlan(started, 8*time.Second)
	for name, c := range map[string]struct {
		now    int
		others bool
		want   time.Duration
	}{
		"others serve":     {7000, true, retryElsewhere},
		"none serves":      {7000, false, 600*time.Millisecond + restartTime},
		"none, at the end": {8000, false, restartTime},
	} {
		t.Run(name, func(t *testing.T) {
			if got := p.RetryAfter(at(c.now), c.others); got != c.want {
				t.Errorf("%s, want %s", got, c.want)
			}
		})
	}
}

// TestPhase checks how long a stopping process serves.
func TestPhase(t *testing.T) {
	plan := NewPlan(started, 8*time.Second)
	busy := View{LastRequest: at(8000), Active: 3}
	with := func(v View, change func(*View)) View {
		change(&v)
		return v
	}
	othersReady := with(busy, func(v *View) { v.OthersServe, v.AnyReady = true, true })
	othersLeave := with(busy, func(v *View) { v.OthersServe = true })
	cases := map[string]struct {
		now  int
		view View
		want Phase
	}{
		"callers may hold the address":                    {3299, othersReady, PhaseServing},
		"no caller holds the address":                     {3300, othersReady, PhaseClosing},
		"no caller holds it, and no request is left":      {3300, with(othersReady, func(v *View) { v.Active = 0 }), PhaseEnding},
		"no request is left, but callers may hold it":     {3000, with(othersReady, func(v *View) { v.Active = 0 }), PhaseServing},
		"all leave, callers may hold it":                  {1299, othersLeave, PhaseServing},
		"all leave, few callers hold it":                  {1300, othersLeave, PhaseClosing},
		"all leave, named until just now":                 {2000, with(othersLeave, func(v *View) { v.LastNamed = at(1900) }), PhaseServing},
		"others are back, named until then":               {5000, with(othersReady, func(v *View) { v.LastNamed = at(1800) }), PhaseServing},
		"nobody else serves":                              {7000, with(busy, func(v *View) { v.LastNamed = at(7000) }), PhaseServing},
		"nobody else serves, and no requests for a while": {5000, View{LastNamed: at(5000), LastRequest: at(1700)}, PhaseEnding},
		"nobody else serves, a request lately":            {5000, View{LastNamed: at(5000), LastRequest: at(1701)}, PhaseServing},
		"never a request":                                 {3300, View{LastNamed: at(3300)}, PhaseEnding},
		"the end":                                         {7600, with(busy, func(v *View) { v.LastNamed = at(7600) }), PhaseEnding},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			if got := plan.Phase(at(c.now), c.view); got != c.want {
				t.Errorf("phase %s, want %s", got, c.want)
			}
		})
	}
}

// TestServing checks which routers callers are sent to while some leave.
func TestServing(t *testing.T) {
	ready := func(names ...string) (out []peer.Info) {
		for _, n := range names {
			out = append(out, peer.Info{Name: n, State: peer.StateReady})
		}
		return out
	}
	leaving := func(since ...int64) (out []peer.Info) {
		for i, at := range since {
			out = append(out, peer.Info{Name: fmt.Sprint("l", i), State: peer.StateLeaving, LeavingSince: at})
		}
		return out
	}
	cases := map[string]struct {
		ready, leaving []peer.Info
		want           []string
	}{
		"none":                                {nil, nil, nil},
		"one leaves":                          {ready("a", "b"), leaving(1), []string{"a", "b"}},
		"the only one leaves":                 {nil, leaving(1), []string{"l0"}},
		"all leave, one after the other":      {nil, leaving(2, 1, 3), []string{"l0", "l2"}},
		"all leave at once":                   {nil, leaving(1, 1, 1, 1), []string{"l2", "l3"}},
		"the first one is back":               {ready("a"), leaving(2, 3), []string{"a"}},
		"the first of many is back":           {ready("a"), leaving(1, 2, 3, 4), []string{"a", "l2", "l3"}},
		"one does not tell since when":        {nil, leaving(5, 0), []string{"l0"}},
		"more leave than stay, enough stay":   {ready("a", "b"), leaving(1, 2, 3, 4), []string{"a", "b"}},
		"a few stay, as many as leave last":   {ready("a", "b"), leaving(1, 2, 3), []string{"a", "b"}},
		"a few stay, fewer than leave last":   {ready("a"), leaving(1, 2, 3), []string{"a", "l1", "l2"}},
		"all leave at once, an odd number":    {nil, leaving(1, 1, 1), []string{"l1", "l2"}},
		"two leave, the earlier goes at once": {nil, leaving(2, 1), []string{"l0"}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var got []string
			for _, n := range Serving(c.ready, c.leaving) {
				got = append(got, n.Name)
			}
			slices.Sort(got)
			if !slices.Equal(got, c.want) {
				t.Errorf("serving: %v, want %v", got, c.want)
			}
		})
	}
}

// TestAnswerTimes checks that the longest answer is forgotten after two windows.
func TestAnswerTimes(t *testing.T) {
	a := NewAnswerTimes()
	a.Add(at(0), "r", 3*time.Second)
	a.Add(at(100), "r", time.Second)
	a.Add(at(12000), "r", 2*time.Second)
	a.Add(at(12000), "other", time.Second)
	for _, c := range []struct {
		now  int
		want time.Duration
	}{{13000, 3 * time.Second}, {22000, 2 * time.Second}, {31000, 2 * time.Second}, {32000, 0}} {
		if got := a.Longest(at(c.now), "r"); got != c.want {
			t.Errorf("after %d ms: %s, want %s", c.now, got, c.want)
		}
	}
	a.Sweep(at(60000))
	if len(a.routes) > 0 {
		t.Errorf("%d routes are kept", len(a.routes))
	}
}
