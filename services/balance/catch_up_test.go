// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package balance

import (
	"testing"
	"time"

	"fawnwinch.org/fawnwinch/models/catalog"
	"fawnwinch.org/fawnwinch/models/urgency"
	"fawnwinch.org/fawnwinch/services/peer"
)

// catchUpEngine describes ranks with ten slots that read three usual prompts in a pass.
var catchUpEngine = &catalog.Engine{
	Slots: 10, Stride: 6, StepMillis: 5.85, WriterMillis: 0.426, ContextMillis: 0.0432, ReadPerSecond: 61_200, Chunk: 512, UsualPrompt: 868, UsualAnswer: 139, ExpertShare: 0.85,
}

// TestCatchUpBounds checks that a group has more requests than meet the pause goal only shortly
// after it has opened, and only while its backlog cannot be admitted in time. At any other time the
// streams of all callers would be late.
func TestCatchUpBounds(t *testing.T) {
	opened := time.Unix(1000, 0)
	load := GroupLoad{Skew: InitialMapSkew, Pace: 1}
	usual := GroupBounds(catchUpEngine, load, 120*time.Millisecond)
	levels := [urgency.MaxLevels]float64{0, 3.5}
	ranked := usual
	ranked.LevelMeans, ranked.Unread = levels, 1800
	unlimited := GroupBounds(catchUpEngine, load, 0)
	catchUp := Bounds{Rank: 10, Mean: 10, Unstarted: 3}
	cases := map[string]struct {
		usual   Bounds
		at      time.Time
		after   time.Duration
		waiting int
		want    Bounds
	}{
		"a backlog at the opening":          {usual, opened, 0, 400, catchUp},
		"a backlog until the time is over":  {usual, opened, catchUpTime - 1, 400, catchUp},
		"a backlog after that":              {usual, opened, catchUpTime, 400, usual},
		"no backlog":                        {usual, opened, 0, 0, usual},
		"a backlog that is admitted early":  {usual, opened, 0, 100, usual},
		"a group that was already running":  {usual, time.Time{}, 0, 400, usual},
		"no pause goal":                     {unlimited, opened, 0, 4000, unlimited},
		"limits of levels and unread token": {ranked, opened, 0, 400, Bounds{Rank: 10, Mean: 10, Unstarted: 3, Unread: 3072, LevelMeans: levels}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			o := Opening{At: c.at, Waiting: c.waiting, Ranks: 24, Goal: 400 * time.Millisecond}
			if got := CatchUpBounds(opened.Add(c.after), catchUpEngine, load, c.usual, o); got != c.want {
				t.Errorf("bounds %+v, want %+v", got, c.want)
			}
		})
	}
}

// TestWaiting checks that the backlog counts only valid replies, less the allotments that routers
// have received since: a group that has allotted places to all waiting requests has no backlog.
func TestWaiting(t *testing.T) {
	now := time.Unix(1000, 0)
	at := func(ms int) time.Time { return now.Add(time.Duration(ms) * time.Millisecond) }
	routers := []peer.Info{{Name: "a"}, {Name: "b"}}
	ranks := []RankLoad{{Address: "e0"}, {Address: "e1"}}
	b := NewRouterRegistry(1)
	number, _ := b.StartReport(at(0), routers, ranks, &Bounds{Rank: 5, Mean: 5})
	if got := b.Waiting(at(0)); got != 0 {
		t.Errorf("%d wait before any reply", got)
	}
	_, list := b.Pack("a", Group{Ranks: ranks})
	for _, r := range routers {
		b.RecordReply(at(1), r, number, list, ReportReply{List: list.Number, Wanted: 20, Waiting: 20})
	}
	if got := b.Waiting(at(10)); got != 40 {
		t.Errorf("%d wait, want 40", got)
	}
	_, places := b.StartReport(at(70), routers, ranks, &Bounds{Rank: 5, Mean: 5})
	allotted := 0
	for _, p := range places {
		for _, n := range p {
			allotted += n
		}
	}
	if got := b.Waiting(at(71)); allotted != 10 || got != 40-allotted {
		t.Errorf("%d wait after %d were allotted a place, want 30 after 10", got, allotted)
	}
	if got := b.Waiting(at(1500)); got != 0 {
		t.Errorf("%d wait by replies that are no longer valid", got)
	}
}
