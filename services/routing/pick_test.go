// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package routing

import (
	"fmt"
	"testing"
	"time"

	"fawnwinch.org/fawnwinch/models/account"
	"fawnwinch.org/fawnwinch/models/group"
	"fawnwinch.org/fawnwinch/models/upstream"

	"pgregory.net/rapid"
)

func twoGroups() (*Tracker, []Candidate) {
	t := NewTracker(Options{Routers: 1, EjectLimit: 0.5, Seed: 1})
	var cands []Candidate
	for i := range 4 {
		cands = append(cands, Candidate{Upstream: id(i), Group: group.ID(fmt.Sprint("g", i/2))})
		t.Report(id(i), Report{At: epoch, Concurrency: 8, Step: 1, StepTime: baseStep})
	}
	return t, cands
}

// TestPickAgainstNaive checks that among upstreams of a plain service with fresh reports the choice
// is one that a naive search for the least work would make.
func TestPickAgainstNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tr := NewTracker(Options{Routers: 1, EjectLimit: 0.5})
		var cands []Candidate
		work := map[upstream.ID]int{}
		least := 1 << 30
		for i, n := range rapid.SliceOfN(rapid.IntRange(0, 40), 1, 8).Draw(t, "work") {
			cands = append(cands, Candidate{Upstream: id(i)})
			for range n {
				tr.RequestSent(epoch, id(i))
			}
			tr.Report(id(i), Report{At: epoch.Add(time.Second), Work: n, Concurrency: 16})
			work[id(i)] = n
			least = min(least, n)
		}
		got, ok := tr.Pick(epoch.Add(time.Second), cands)
		if !ok || work[got] != least {
			t.Fatalf("picked %s with %d, least is %d", got, work[got], least)
		}
	})
}

func TestPickAvoids(t *testing.T) {
	cases := map[string]struct {
		prepare func(tr *Tracker)
		at      time.Duration
	}{
		"a slow group": {func(tr *Tracker) {
			tr.Report(id(0), Report{At: epoch.Add(time.Second), Concurrency: 8, Step: 9, StepTime: 5 * baseStep})
			tr.Report(id(1), Report{At: epoch.Add(time.Second), Concurrency: 8, Step: 9, StepTime: 5 * baseStep})
		}, time.Second},
		"a group whose steps have stopped": {func(tr *Tracker) {
			for i := range 3 {
				tr.Report(id(0), Report{At: epoch.Add(time.Duration(i+1) * time.Second), Work: 2, Concurrency: 8, Step: 1, StepTime: baseStep})
			}
		}, 3 * time.Second},
		"a group whose streams have stopped": {func(tr *Tracker) {
			tr.RequestSent(epoch, id(1))
			tr.StreamStarted(epoch, id(1))
		}, 300 * time.Millisecond},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			tr, cands := twoGroups()
			tc.prepare(tr)
			for range 50 {
				if got, _ := tr.Pick(epoch.Add(tc.at), cands); got == id(0) || got == id(1) {
					t.Fatalf("picked %s", got)
				}
			}
		})
	}
}

// TestNeverAllEjected checks that slowness alone never leaves a service without an upstream, and
// that a group that has recovered is readmitted gradually.
func TestNeverAllEjected(t *testing.T) {
	tr, cands := twoGroups()
	for i := range 4 {
		tr.Report(id(i), Report{At: epoch.Add(time.Second), Concurrency: 8, Step: 2, StepTime: time.Duration(1+i) * time.Second})
	}
	if _, ok := tr.Pick(epoch.Add(time.Second), cands); !ok {
		t.Fatal("no upstream left")
	}
	tr, cands = twoGroups()
	slow := func(at time.Duration, step time.Duration) {
		for i := range 2 {
			tr.Report(id(i), Report{At: epoch.Add(at), Concurrency: 8, Step: group.Step(at), StepTime: step})
		}
	}
	slow(time.Second, 10*baseStep)
	tr.Pick(epoch.Add(time.Second), cands)
	slow(2*time.Second, baseStep)
	share := func(at time.Duration) int {
		n := 0
		for range 1000 {
			if got, _ := tr.Pick(epoch.Add(at), cands); got == id(0) || got == id(1) {
				n++
			}
		}
		return n
	}
	early, late := share(2*time.Second), share(2*time.Second+2*recoveryTime)
	if early == 0 || early > 200 || late < 400 {
		t.Errorf("of 1000 choices the recovered group got %d at once and %d later", early, late)
	}
}

// TestRankIsStable checks that the removal of a router moves only its own accounts.
func TestRankIsStable(t *testing.T) {
	var all []Entry
	for i := range 6 {
		all = append(all, Entry{ID: fmt.Sprint("router-", i), DataCentre: "a"})
	}
	first := map[string]int{}
	for a := range 600 {
		accountID := account.ID(fmt.Sprint("account-", a))
		before := Rank(accountID, "a", all)
		after := Rank(accountID, "a", all[1:])
		first[before[0].ID]++
		if before[0].ID != "router-0" && before[0].ID != after[0].ID {
			t.Fatalf("account %s moved from %s to %s", accountID, before[0].ID, after[0].ID)
		}
	}
	for r, n := range first {
		if n < 60 || n > 150 {
			t.Errorf("router %s is first for %d of 600 accounts", r, n)
		}
	}
}
