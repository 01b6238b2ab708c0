// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package admission

import (
	"slices"
	"testing"
	"time"

	"fawnwinch.org/fawnwinch/models/catalog"
	"fawnwinch.org/fawnwinch/models/urgency"
	"fawnwinch.org/fawnwinch/services/balance"
)

// TestShortage checks when a shortage begins and ends. It guards against one that goes on after
// requests find room again, and against counts of an earlier one.
func TestShortage(t *testing.T) {
	begin := time.Unix(1000, 0)
	at := func(ms int) time.Time { return begin.Add(time.Duration(ms) * time.Millisecond) }
	var s Shortage
	s.Late(at(0), 1)
	if s.Active(at(0)) || s.Over(at(0)) {
		t.Fatal("a late stream shows a shortage")
	}
	if !s.Reject(at(100), 2) || s.Reject(at(200), 1) || s.Hold(at(1300)) {
		t.Error("the first rejection, and only it, begins the shortage")
	}
	s.Late(at(1400), 0)
	s.Late(at(3299), 0)
	if !s.Active(at(3299)) || s.Over(at(3299)) || s.Lasted(at(3299)) != 3199*time.Millisecond {
		t.Errorf("after 2 s less 1 ms: active %t, lasted %s", s.Active(at(3299)), s.Lasted(at(3299)))
	}
	if s.Active(at(3300)) || !s.Over(at(3300)) || s.Lasted(at(5000)) != 3200*time.Millisecond {
		t.Errorf("after 2 s: active %t, lasted %s", s.Active(at(3300)), s.Lasted(at(5000)))
	}
	s.Late(at(3300), 0)
	if got, want := s.Counts([]int{0, 4, 5}), []LevelShortage{{Late: 2}, {Rejected: 1, Waiting: 4}, {Rejected: 1, Waiting: 5}}; !slices.Equal(got, want) {
		t.Errorf("counts %+v, want %+v", got, want)
	}
	if !s.Hold(at(3400)) {
		t.Error("no new shortage begins")
	}
	if got, want := s.Counts([]int{1}), []LevelShortage{{Waiting: 1}}; !slices.Equal(got, want) {
		t.Errorf("counts %+v of the new shortage, want %+v", got, want)
	}
	if s.Reset(); s.Active(at(3400)) || s.Over(at(9000)) {
		t.Error("a shortage after a reset")
	}
}

// TestShortageLevels guards against counts of a level that get lost, or that end the process, when
// a catalog changes the levels or a caller passes an invalid one.
func TestShortageLevels(t *testing.T) {
	cases := map[string]struct {
		level   urgency.Level
		waiting []int
		want    []LevelShortage
	}{
		"unranked":            {0, []int{3}, []LevelShortage{{Waiting: 3, Rejected: 1}}},
		"fewer levels now":    {2, []int{3}, []LevelShortage{{Waiting: 3}, {}, {Rejected: 1}}},
		"beyond the last":     {9, []int{1, 2}, []LevelShortage{{Waiting: 1}, {Waiting: 2}, {}, {Rejected: 1}}},
		"below the first":     {-1, []int{1, 2}, []LevelShortage{{Waiting: 1, Rejected: 1}, {Waiting: 2}}},
		"too many waiting":    {0, []int{0, 0, 0, 1, 7}, []LevelShortage{{Rejected: 1}, {}, {}, {Waiting: 1}}},
		"no waiting requests": {1, nil, []LevelShortage{{}, {Rejected: 1}}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var s Shortage
			s.Reject(time.Unix(1000, 0), c.level)
			if got := s.Counts(c.waiting); !slices.Equal(got, c.want) {
				t.Errorf("counts %+v, want %+v", got, c.want)
			}
		})
	}
}

// TestHeldLong checks which waiting requests show a shortage: those that have waited for room for
// more than a quarter of their goal, whatever time they spent at upstreams before.
func TestHeldLong(t *testing.T) {
	engine, now := &catalog.Engine{Slots: 1}, time.Unix(1000, 0)
	cases := map[string]struct {
		goal, held, waited time.Duration
		engine             *catalog.Engine
		want               bool
	}{
		"a quarter":                   {400 * time.Millisecond, 100 * time.Millisecond, 0, engine, false},
		"longer":                      {400 * time.Millisecond, 101 * time.Millisecond, 0, engine, true},
		"longer with an earlier wait": {400 * time.Millisecond, 60 * time.Millisecond, 41 * time.Millisecond, engine, true},
		"a longer goal":               {time.Second, 101 * time.Millisecond, 0, engine, false},
		"no goal":                     {0, time.Second, 0, engine, false},
		"a plain service":             {400 * time.Millisecond, time.Second, 0, nil, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			q := NewQueue(balance.NewPool(""))
			// A caller that retries waits also while no upstream is listed.
			x := &Request{Goal: c.goal, Arrived: now.Add(-5 * time.Second), Deadline: now.Add(10 * time.Second), Patience: 10 * time.Second, Timeout: 20 * time.Second, Waited: c.waited, Ask: balance.PickOptions{Engine: c.engine}}
			if v := q.Arrive(now, x, nil); v.Outcome != OutcomeWaits || x.Forecast() != v.Forecast {
				t.Fatalf("%+v, forecast %+v, want a wait with the same forecast", v, x.Forecast())
			}
			if got := q.UrgentHeld(now.Add(c.held)); (got == x) != c.want {
				t.Errorf("held for %s: %v, want %t", c.held, got, c.want)
			}
		})
	}
	never := &Request{Goal: time.Second, Ask: balance.PickOptions{Engine: engine}}
	if never.HeldLong(now) {
		t.Error("a request that has not waited is held")
	}
	less := &Request{Level: 2, Goal: time.Second, Ask: never.Ask, queued: now}
	more := &Request{Level: 1, Goal: time.Second, Ask: never.Ask, queued: now}
	q := NewQueue(balance.NewPool(""))
	q.waiting = []*Request{less, more}
	if got := q.UrgentHeld(now.Add(time.Second)); got != more {
		t.Errorf("got %v, want the most urgent request", got)
	}
}
