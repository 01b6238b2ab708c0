// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package placement

import (
	"testing"
	"time"

	"fawnwinch.org/fawnwinch/models/intent"
)

var noon = time.Date(2026, 6, 1, 12, 0, 0, 0, time.UTC)

// counts returns token counts in which a quarter of the experts receive ten times the tokens of the
// others.
func counts(s size, hot, times int) [][]float64 {
	out := make([][]float64, s.layers)
	for l := range out {
		out[l] = make([]float64, s.experts)
		for e := range out[l] {
			out[l][e] = float64(times)
			if e%4 == hot {
				out[l][e] = float64(10 * times)
			}
		}
	}
	return out
}

func TestPlan(t *testing.T) {
	s := size{ranks: 4, experts: 16, slots: 5, layers: 2}
	skew := intent.Rebalance{Prefer: intent.PreferSkew}
	cases := map[string]struct {
		rebalance intent.Rebalance
		prepare   func(p *Planner)
		want      Reason
	}{
		"nothing seen": {skew, func(*Planner) {}, ReasonNoData},
		"skewed": {skew, func(p *Planner) {
			p.Observe(noon, counts(s, 1, 0))
			p.Observe(noon, counts(s, 1, 100))
		}, ReasonImprove},
		"skewed in quiet hours": {intent.Rebalance{Prefer: intent.PreferCost, QuietFrom: 11, QuietTo: 22}, func(p *Planner) {
			p.Observe(noon, counts(s, 1, 0))
			p.Observe(noon, counts(s, 1, 100))
		}, ReasonQuietHours},
		"quiet hours over midnight": {intent.Rebalance{Prefer: intent.PreferCost, QuietFrom: 22, QuietTo: 13}, func(p *Planner) {
			p.Observe(noon, counts(s, 1, 0))
			p.Observe(noon, counts(s, 1, 100))
		}, ReasonQuietHours},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			p := NewPlanner()
			tc.prepare(p)
			got, err := p.Plan(noon, s.first(), uniform(s.ranks), tc.rebalance)
			if err != nil || got.Reason != tc.want || (got.Map != nil) != (tc.want == ReasonImprove) {
				t.Errorf("plan %+v, %v; want %s", got, err, tc.want)
			}
		})
	}
}

// TestRollback checks that a change is rolled back once its map is worse than the previous one,
// also in quiet hours.
func TestRollback(t *testing.T) {
	s := size{ranks: 4, experts: 16, slots: 5, layers: 2}
	p := NewPlanner()
	p.Observe(noon, counts(s, 1, 0))
	p.Observe(noon, counts(s, 1, 100))
	first := s.first()
	plan, err := p.Plan(noon, first, uniform(s.ranks), intent.Rebalance{Prefer: intent.PreferSkew})
	if err != nil || plan.Map == nil {
		t.Fatalf("no improvement: %+v %v", plan, err)
	}
	p.RecordSwitch(noon, first)
	for i := range 6 {
		p.Observe(noon.Add(time.Duration(i+1)*halfLife), add(counts(s, 1, 100), counts(s, 3, 100*(i+1))))
	}
	later := noon.Add(2 * time.Minute)
	back, err := p.Plan(later, plan.Map, uniform(s.ranks), intent.Rebalance{Prefer: intent.PreferSkew, QuietFrom: 11, QuietTo: 22})
	before, _ := Skew(first, p.Popularity(), uniform(s.ranks))
	now, _ := Skew(plan.Map, p.Popularity(), uniform(s.ranks))
	if now <= before+rollbackMargin {
		t.Fatalf("test set-up has no effect: skew %f, before %f", now, before)
	}
	if err != nil || back.Reason != ReasonRollback || back.Map.Digest() != first.Digest() {
		t.Errorf("plan %+v, %v; want the first map back", back, err)
	}
}

func add(a, b [][]float64) [][]float64 {
	for l := range a {
		for e := range a[l] {
			a[l][e] += b[l][e]
		}
	}
	return a
}

// TestSpeeds checks that a rank with a longer busy time for the same work is rated slower.
func TestSpeeds(t *testing.T) {
	s := size{ranks: 4, experts: 16, slots: 4, layers: 1}
	ms := time.Millisecond
	got := Speeds(s.first(), counts(s, 9, 10), []time.Duration{4 * ms, 4 * ms, 8 * ms, 4 * ms})
	if got[2] >= got[0]*0.7 || got[0] != got[1] {
		t.Errorf("speeds %v: want rank 2 at about half", got)
	}
}
