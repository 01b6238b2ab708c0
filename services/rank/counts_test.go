// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package rank

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"fawnwinch.org/fawnwinch/models/catalog"
	"fawnwinch.org/fawnwinch/models/vm"
	"fawnwinch.org/fawnwinch/services"
	"fawnwinch.org/fawnwinch/services/peer"
)

// TestCounts checks an agent's answers to a coordinator that requests the difference of counts:
// whatever is lost or restarted, the coordinator has the counts of the engine or none.
func TestCounts(t *testing.T) {
	counts := func(epoch services.Epoch, n ...uint64) services.RankCounts {
		return services.RankCounts{Epoch: epoch, Counts: n}
	}
	cases := map[string]struct {
		// then happens between the first answer, to counts of 5 and 300, and the second, to now.
		then func(ta *countSender, held *heldCounts)
		now  services.RankCounts
		// sent is the numbers of the second answer.
		sent []uint64
	}{
		"what was added": {now: counts(1, 6, 302), sent: []uint64{1, 2}},
		"an answer was lost": {
			then: func(ta *countSender, held *heldCounts) { ta.delta(held.number, counts(1, 6, 301)) },
			now:  counts(1, 6, 302), sent: []uint64{6, 302},
		},
		"the engine has started anew": {now: counts(1, 2, 400), sent: []uint64{2, 400}},
		"the group has formed anew":   {now: counts(2, 6, 302), sent: []uint64{6, 302}},
		"the agent has started anew": {
			then: func(ta *countSender, _ *heldCounts) { *ta = newCountSender(begin.Add(time.Second)) },
			now:  counts(1, 6, 302), sent: []uint64{6, 302},
		},
		"the coordinator has dropped its counts": {
			then: func(_ *countSender, held *heldCounts) { *held = heldCounts{} },
			now:  counts(1, 6, 302), sent: []uint64{6, 302},
		},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			ta, held := newCountSender(begin), heldCounts{}
			held.add(ta.delta(held.number, counts(1, 5, 300)))
			if tc.then != nil {
				tc.then(&ta, &held)
			}
			part := ta.delta(held.number, tc.now)
			held.add(part)
			if !reflect.DeepEqual(part.Counts, tc.sent) {
				t.Errorf("sent %v, want %v", part.Counts, tc.sent)
			}
			if !reflect.DeepEqual(held.Counts, tc.now.Counts) || held.Epoch != tc.now.Epoch {
				t.Errorf("holds %v, want %v", held.RankCounts, tc.now)
			}
		})
	}
}

// TestCountsOutOfOrder checks that a report that does not fit is not added.
func TestCountsOutOfOrder(t *testing.T) {
	held := heldCounts{number: 4, RankCounts: services.RankCounts{Counts: []uint64{7}}}
	held.add(CountsPart{Since: 3, Number: 4, Counts: []uint64{1}})
	if held.number != 0 || held.Counts != nil {
		t.Errorf("holds %+v after a delta to other counts", held)
	}
}

// TestCounted checks which ranks of a large group are asked for counts.
func TestCounted(t *testing.T) {
	large := &catalog.Engine{Layers: 8, Experts: 252}
	if small := (&catalog.Engine{Layers: 4, Experts: 72}); countedRanks(small, 12, 12) != 12 || countedRanks(nil, 12, 12) != 12 || countedRanks(small, 12, 4) != defaultCountedRanks {
		t.Error("not all ranks of a small group are asked")
	}
	if n := countedRanks(&catalog.Engine{Layers: 58, Experts: 128}, 32, 32); n != minCountedRanks {
		t.Errorf("%d ranks are asked, want %d", n, minCountedRanks)
	}
	now := begin
	c := &coordinator{a: &Agent{opts: Options{Self: peer.Info{Engine: "e0", DataCentre: "a"}}}}
	c.engine = large
	c.members = make([]*member, 63)
	c.members[0] = &member{info: c.a.opts.Self, known: true, lastContact: now}
	for i := 1; i < 63; i++ {
		p := peer.Info{Name: fmt.Sprintf("agent-%02d", i), Engine: fmt.Sprintf("e%d", i), DataCentre: vm.DataCentre([]string{"a", "b", "c"}[i%3])}
		c.agents = append(c.agents, p)
		c.members[i] = &member{info: p, known: true, lastContact: now}
	}
	c.members[3].lastContact = now.Add(-time.Second)
	got := c.enginesToCount(now)
	if want := countsPerRound / (8 * 252); len(got) != want || !got["e0"] {
		t.Errorf("%d ranks are asked, own among them: %t; want %d", len(got), got["e0"], want)
	}
	if got["e3"] || !got["e6"] || got["e1"] {
		t.Errorf("asked %v; want ranks that answer, of the same data centre first", got)
	}
	c.members[6].counts.number = 9
	c.members[1].counts.number = 9
	c.dropCounts(got)
	if c.members[6].counts.number != 9 || c.members[1].counts.number != 0 {
		t.Error("counts of a rank that is asked were dropped, or those of another were kept")
	}
	if ask := c.ask(c.agents[5], got); !ask.Counts || ask.Since != 9 {
		t.Errorf("asked %+v, want counts since 9", ask)
	}
}

// TestSkipsForeignAgents checks that agents of other groups are polled again only after a while: a
// service may have many.
func TestSkipsForeignAgents(t *testing.T) {
	c := &coordinator{foreign: map[string]time.Time{"other": begin}}
	cases := map[string]struct {
		agent string
		after time.Duration
		want  bool
	}{
		"of this group or unknown": {"mine", 0, false},
		"it has just said so":      {"other", time.Second, true},
		"it said so long ago":      {"other", foreignValid, false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			if got := c.skips(begin.Add(tc.after), peer.Info{Name: tc.agent}); got != tc.want {
				t.Errorf("skipped: %t, want %t", got, tc.want)
			}
		})
	}
}
