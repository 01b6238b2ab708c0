// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package balance

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"math"
	"reflect"
	"testing"
	"time"

	"fawnwinch.org/fawnwinch/models/urgency"
	"fawnwinch.org/fawnwinch/services/peer"
)

// levelBook is a registry with a group of idle ranks.
type levelBook struct {
	*RouterRegistry
	group  Group
	bounds Bounds
}

func newLevelBook(ranks int) *levelBook {
	return &levelBook{
		RouterRegistry: NewRouterRegistry(1), group: Group{Ranks: levelRanks(ranks)},
		bounds: Bounds{Rank: 12, Mean: 10, LevelMeans: [urgency.MaxLevels]float64{0, 6, 4}},
	}
}

// report starts a report to all routers with a reply, and records their replies to it.
func (b *levelBook) report(now time.Time, replies map[string]ReportReply) map[string]Allotment {
	var infos []peer.Info
	for name := range replies {
		infos = append(infos, peer.Info{Name: name})
	}
	number, allotments := b.StartReport(now, infos, b.group.Ranks, &b.bounds)
	for name, reply := range replies {
		_, list := b.Pack(name, b.group)
		reply.List = list.Number
		b.RecordReply(now, peer.Info{Name: name}, number, list, reply)
	}
	return allotments
}

// replyOf returns the reply of a router for which the given requests of each level wait.
func replyOf(levels ...int) ReportReply {
	r := ReportReply{}
	for _, n := range levels {
		r.Wanted, r.Waiting = r.Wanted+n, r.Waiting+n
		r.Levels = append(r.Levels, LevelDemand{Wanted: n, Waiting: n})
	}
	return r
}

// TestBacklogLevels guards against waiting requests that are missing in the backlog by level, and
// against sizes of the report that routers determine.
func TestBacklogLevels(t *testing.T) {
	plain := ReportReply{Wanted: 5, Waiting: 4}
	cases := map[string]struct {
		replies map[string]ReportReply
		levels  int
		want    []int
	}{
		"no levels":             {map[string]ReportReply{"a": plain, "b": plain}, 0, nil},
		"one level":             {map[string]ReportReply{"a": replyOf(3)}, 1, nil},
		"three levels":          {map[string]ReportReply{"a": replyOf(1, 2, 3), "b": replyOf(0, 0, 4)}, 3, []int{1, 2, 7}},
		"a router without":      {map[string]ReportReply{"a": replyOf(1, 2, 3), "old": plain}, 3, []int{5, 2, 3}},
		"different numbers":     {map[string]ReportReply{"a": replyOf(1, 2, 3), "b": replyOf(1, 1)}, 3, []int{2, 3, 3}},
		"too many":              {map[string]ReportReply{"a": replyOf(1, 1, 1, 1, 1, 1, 1, 1)}, urgency.MaxLevels, []int{1, 1, 1, 5}},
		"negative and enormous": {map[string]ReportReply{"a": replyOf(-7, 2, 1), "b": replyOf(1, math.MaxInt, 1)}, 3, []int{1, maxDemand + 2, 2}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			b := newLevelBook(4)
			b.report(begin, c.replies)
			b.report(begin.Add(70*time.Millisecond), c.replies)
			report, list := b.Pack("a", b.group)
			g, ok := list.Unpack(roundTrip(t, report))
			if !ok || !reflect.DeepEqual(g.Backlog.Levels, c.want) {
				t.Errorf("read %t, backlog by level %v, want %v", ok, g.Backlog.Levels, c.want)
			}
			if got := b.Levels(begin); got != c.levels {
				t.Errorf("%d levels, want %d", got, c.levels)
			}
		})
	}
}

// TestLevelReplies guards against limits and levels that outlive the replies from which they come:
// the steps are those of one group.
func TestLevelReplies(t *testing.T) {
	b := newLevelBook(10)
	for i := range b.group.Ranks {
		b.group.Ranks[i].Running = 5
	}
	two := func(r ReportReply) map[string]ReportReply { return map[string]ReportReply{"a": r, "b": r} }
	steps := []struct {
		what    string
		after   time.Duration
		replies map[string]ReportReply
		// want is the number of places in the report, which uses the replies to the one before, and
		// levels the number of levels that these show.
		want, levels int
	}{
		{"a successor that knows nothing", 0, two(replyOf(0, 0, 50)), 0, 0},
		{"its second report uses the first replies", 70 * time.Millisecond, two(replyOf(0, 50, 0)), 0, 3},
		{"the demand is of another level", 140 * time.Millisecond, two(replyOf(50, 0, 0)), 10, 3},
		{"it is urgent now", 350 * time.Millisecond, two(ReportReply{Wanted: 1}), 40, 3},
		{"routers that have no levels any more", 420 * time.Millisecond, two(replyOf(0, 50)), 10, 0},
		{"old replies show no levels", 3 * time.Second, nil, 0, 0},
	}
	for _, s := range steps {
		now := begin.Add(s.after)
		if got := b.Levels(now); got != s.levels {
			t.Errorf("%s: %d levels, want %d", s.what, got, s.levels)
		}
		places := 0
		for _, p := range b.report(now, s.replies) {
			for _, n := range p {
				places += n
			}
		}
		if places != s.want {
			t.Errorf("%s: %d places, want %d", s.what, places, s.want)
		}
	}
}

// TestLoadRequestLevels guards against waiting requests that a load request removes from the
// backlog, and against its demand being used at the wrong level.
func TestLoadRequestLevels(t *testing.T) {
	known := replyOf(1, 2, 3).Levels
	cases := map[string]struct {
		known  []LevelDemand
		wanted int
		levels []LevelDemand
		want   []LevelDemand
	}{
		"as before":         {known, 9, []LevelDemand{{Wanted: 4}, {Wanted: 5}, {}}, []LevelDemand{{4, 1}, {5, 2}, {0, 3}}},
		"its own waiting":   {known, 9, []LevelDemand{{Wanted: 4, Waiting: 4}, {}, {Wanted: 5, Waiting: 5}}, []LevelDemand{{4, 1}, {0, 2}, {5, 3}}},
		"without levels":    {known, 9, nil, []LevelDemand{{9, 1}, {0, 2}, {0, 3}}},
		"first of a router": {nil, 9, []LevelDemand{{Wanted: 4}, {Wanted: 5}}, []LevelDemand{{4, 0}, {5, 0}}},
		"no levels at all":  {nil, 9, nil, nil},
		"fewer levels":      {known, 9, []LevelDemand{{Wanted: 4}, {Wanted: 5}}, []LevelDemand{{4, 1}, {5, 2}, {0, 3}}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			if got := replaceWanted(c.known, c.wanted, c.levels); !reflect.DeepEqual(got, c.want) {
				t.Errorf("levels %v, want %v", got, c.want)
			}
		})
	}
	b := newLevelBook(2)
	b.report(begin, map[string]ReportReply{"a": replyOf(0, 7)})
	b.HandleLoadRequest(begin, LoadRequest{Router: peer.Info{Name: "a"}, List: b.list.Number, Wanted: 3, Levels: []LevelDemand{{Wanted: 3}, {}}}, b.group)
	b.report(begin.Add(70*time.Millisecond), map[string]ReportReply{"a": {}})
	if got := b.backlog.Levels; fmt.Sprint(got) != "[0 7]" || b.backlog.Waiting != 7 {
		t.Errorf("backlog by level %v of %d, want [0 7] of 7", got, b.backlog.Waiting)
	}
}

// TestOldFormat guards against replies and reports that a process of the version before levels
// cannot read, or that it sends and this version cannot.
func TestOldFormat(t *testing.T) {
	type oldReply struct {
		List            uint64
		Unstarted       []uint
		Wanted, Waiting int
		Rate            float64
		Idle            bool
	}
	type oldBacklog struct {
		Waiting, Free int
		Rate          float64
	}
	type oldReport struct {
		Running []uint
		Backlog oldBacklog
	}
	type oldRequest struct {
		List   uint64
		Wanted int
	}
	levels := replyOf(1, 2).Levels
	cases := map[string]struct{ from, to, want any }{
		"a new reply":        {ReportReply{List: 1, Wanted: 3, Waiting: 3, Levels: levels}, &oldReply{}, &oldReply{List: 1, Wanted: 3, Waiting: 3}},
		"an old reply":       {oldReply{List: 1, Wanted: 3, Waiting: 2, Rate: 4, Idle: true}, &ReportReply{}, &ReportReply{List: 1, Wanted: 3, Waiting: 2, Rate: 4, Idle: true}},
		"a new report":       {Report{Running: []uint{1}, Backlog: Backlog{Waiting: 3, Levels: []int{1, 2}}}, &oldReport{}, &oldReport{Running: []uint{1}, Backlog: oldBacklog{Waiting: 3}}},
		"an old report":      {oldReport{Running: []uint{1}, Backlog: oldBacklog{Free: 3}}, &Report{}, &Report{Running: []uint{1}, Backlog: Backlog{Free: 3}}},
		"a new load request": {LoadRequest{List: 1, Wanted: 3, Levels: levels}, &oldRequest{}, &oldRequest{List: 1, Wanted: 3}},
		"levels of zeros":    {ReportReply{Levels: make([]LevelDemand, 3)}, &ReportReply{}, &ReportReply{Levels: make([]LevelDemand, 3)}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var b bytes.Buffer
			if err := gob.NewEncoder(&b).Encode(c.from); err != nil {
				t.Fatal(err)
			}
			if err := gob.NewDecoder(&b).Decode(c.to); err != nil {
				t.Fatal(err)
			}
			if !reflect.DeepEqual(c.to, c.want) {
				t.Errorf("got %+v, want %+v", c.to, c.want)
			}
		})
	}
}
