// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package balance

import (
	"fmt"
	"testing"
	"time"

	"fawnwinch.org/fawnwinch/services/peer"
)

// TestBook runs a coordinator's reports and routers' replies, including late and lost ones:
// allotments that may be in use are not given out again.
func TestBook(t *testing.T) {
	at := func(ms int) time.Time { return begin.Add(time.Duration(ms) * time.Millisecond) }
	ranks := []RankLoad{{Address: "e"}}
	bounds := &Bounds{Rank: 8, Mean: 8}
	sum := func(places map[string]Allotment) int {
		n := 0
		for _, p := range places {
			n += p["e"]
		}
		return n
	}
	b := NewRouterRegistry(1)
	names := []peer.Info{{Name: "a"}, {Name: "b"}}
	first, places := b.StartReport(at(0), names, ranks, bounds)
	if len(places) != 0 {
		t.Errorf("routers that have never answered got allotments %v", places)
	}
	answer := func(ms int, name string, report uint64, unstarted uint, wanted int) {
		_, list := b.Pack(name, Group{Ranks: ranks})
		b.RecordReply(at(ms), peer.Info{Name: name}, report, list, ReportReply{List: list.Number, Unstarted: []uint{unstarted}, Wanted: wanted})
	}
	answer(5, "a", first, 0, 3)
	answer(5, "b", first, 0, 0)
	second, places := b.StartReport(at(70), names, ranks, bounds)
	if sum(places) != 8 || places["a"]["e"] <= places["b"]["e"] {
		t.Errorf("allotments %v, want 8 requests, most of them for the busy router", places)
	}
	answer(75, "a", second, 1, 3)
	if _, places = b.StartReport(at(140), names, ranks, bounds); sum(places) != 0 {
		t.Errorf("allotments %v, want none: all slots may be in use", places)
	}
	if n := b.Unstarted(at(140), "e"); n != 1 {
		t.Errorf("%d requests have not begun, want 1", n)
	}
	third, _ := b.StartReport(at(210), names, ranks, bounds)
	answer(215, "a", third, 0, 0)
	answer(216, "a", second, 5, 0)
	if n := b.Unstarted(at(220), "e"); n != 0 {
		t.Errorf("an answer that came late counts: %d requests have not begun", n)
	}
	_, places = b.StartReport(at(1100), names, ranks, bounds)
	if got, ok := places["a"]; !ok || got["e"] != 8 {
		t.Errorf("allotments %v: those of a router that no longer answers must be allotted again", places)
	}
	if _, ok := places["b"]; ok {
		t.Error("a router that no longer answers got an allotment")
	}
	if _, places = b.StartReport(at(1110), names, ranks, nil); places != nil {
		t.Errorf("allotments %v without bounds, want nil", places)
	}
}

// TestRankList checks that a router that loses the rank list gets it again, and gets no allotment
// through a reply to a report that it could not read.
func TestRankList(t *testing.T) {
	ranks := []RankLoad{{Address: "e"}, {Address: "f"}}
	g := Group{Ranks: ranks}
	bounds := &Bounds{Rank: 8, Mean: 8}
	b := NewRouterRegistry(1)
	sendReport := func(ms int, read bool) (carried bool, places Allotment) {
		now := begin.Add(time.Duration(ms) * time.Millisecond)
		number, all := b.StartReport(now, []peer.Info{{Name: "a"}}, g.Ranks, bounds)
		report, list := b.Pack("a", g)
		reply := ReportReply{}
		if read {
			reply.List = list.Number
		}
		b.RecordReply(now, peer.Info{Name: "a"}, number, list, reply)
		_, carried = report.IncludedList()
		return carried, all["a"]
	}
	steps := []struct {
		what          string
		ranks         int
		read, carried bool
	}{
		{"the first report", 2, true, true},
		{"the router has the list", 2, true, false},
		{"a rank has gone", 1, true, true},
		{"the router has started anew", 1, false, false},
		{"the router has no list", 1, true, true},
		{"the router has the list again", 1, true, false},
	}
	for i, step := range steps {
		g.Ranks = ranks[:step.ranks]
		carried, places := sendReport(70*i, step.read)
		if carried != step.carried {
			t.Errorf("%s: list carried: %t, want %t", step.what, carried, step.carried)
		}
		if i > 0 && places == nil {
			t.Errorf("%s: no allotment", step.what)
		}
	}
}

// TestTargets checks which routers get a report in a round: all of few routers; of many, those with
// requests, and the others in rotation.
func TestTargets(t *testing.T) {
	routers := func(n int) []peer.Info {
		out := make([]peer.Info, n)
		for i := range out {
			out[i].Name = fmt.Sprint("r", i)
		}
		return out
	}
	b := NewRouterRegistry(1)
	if got := b.Targets(begin, routers(fullBroadcastMax)); len(got) != fullBroadcastMax {
		t.Errorf("the report goes to %d of %d routers", len(got), fullBroadcastMax)
	}
	many := routers(149)
	reports := map[string]int{}
	for round := range initialRounds {
		for _, r := range b.Targets(begin.Add(time.Duration(round)*70*time.Millisecond), many) {
			reports[r.Name]++
		}
	}
	if len(reports) != len(many) {
		t.Errorf("a new coordinator has reported to %d routers after %d rounds", len(reports), initialRounds)
	}
	b.HandleLoadRequest(begin, LoadRequest{Router: many[7]}, Group{})
	b.RecordReply(begin, many[8], 1, RankList{}, ReportReply{Idle: true})
	reports = map[string]int{}
	for round := range rotationRounds {
		for _, r := range b.Targets(begin.Add(time.Duration(round)*70*time.Millisecond), many) {
			reports[r.Name]++
		}
	}
	if reports["r7"] != rotationRounds || reports["r8"] > 2 || len(reports) < len(many)-1 {
		t.Errorf("the router with requests got %d reports in %d rounds, an idle one %d; %d routers got one", reports["r7"], rotationRounds, reports["r8"], len(reports))
	}
	reports = map[string]int{}
	for round := range rotationRounds {
		for _, r := range b.Targets(begin.Add(activeTimeout+time.Duration(round)*70*time.Millisecond), many) {
			reports[r.Name]++
		}
	}
	if reports["r7"] > 2 {
		t.Errorf("a router that has long been idle still got %d reports", reports["r7"])
	}
}

// TestProbes checks that a rank which rejects some routers and runs nothing gets one request at a
// time, also from other routers, until it accepts one.
func TestProbes(t *testing.T) {
	b := NewRouterRegistry(1)
	steps := []struct {
		after   time.Duration
		running int
		resting []string
		want    SendLimits
	}{
		{0, 0, nil, SendLimits{}},
		{100 * time.Millisecond, 0, []string{"a"}, SendLimits{"a": 1}},
		{200 * time.Millisecond, 0, []string{"a"}, SendLimits{"a": 0}},
		{1100 * time.Millisecond, 0, []string{"a"}, SendLimits{"a": 1}},
		{1200 * time.Millisecond, 1, []string{"a"}, SendLimits{}},
		{1300 * time.Millisecond, 0, []string{"a"}, SendLimits{"a": 1}},
		{1400 * time.Millisecond, 0, nil, SendLimits{}},
	}
	for _, s := range steps {
		ranks := []RankLoad{{Address: "a", Running: s.running}, {Address: "b"}}
		got := b.probes(begin.Add(s.after), ranks, []Demand{{Router: "told", Resting: s.resting}, {Router: "untold"}})
		if fmt.Sprint(got) != fmt.Sprint(s.want) {
			t.Errorf("%s: %v, want %v", s.after, got, s.want)
		}
	}
}
