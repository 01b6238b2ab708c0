// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package share

import (
	"testing"
	"time"

	"fawnwinch.org/fawnwinch/models/account"

	"pgregory.net/rapid"
)

// TestQueueLosesNothing checks random schedules: every request is in exactly one of the states
// waiting, running, done and refused; no slot is idle while a request waits; the concurrency limit
// holds.
func TestQueueLosesNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := Limits{Concurrency: rapid.IntRange(1, 4).Draw(t, "slots"), Waiting: rapid.IntRange(0, 6).Draw(t, "waiting")}
		q := NewQueue(limits)
		q.SetWeights(benchShares)
		now := epoch
		state := map[Ticket]string{}
		var next Ticket
		set := func(id Ticket, from, to string) {
			if state[id] != from {
				t.Fatalf("request %d goes from %q to %q", id, state[id], to)
			}
			state[id] = to
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 30).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0, 1:
				next++
				it := Item{Ticket: next, Account: benchShares[rapid.IntRange(0, 2).Draw(t, "who")].Account}
				if rapid.Bool().Draw(t, "deadline") {
					it.Deadline = now.Add(time.Duration(rapid.IntRange(1, 200).Draw(t, "budget")) * time.Millisecond)
				}
				state[next] = "waiting"
				for _, r := range q.Enqueue(now, it) {
					set(r.Ticket, "waiting", "refused")
				}
			case 2:
				for id, s := range state {
					if s == "running" {
						q.Done(now, id)
						state[id] = "done"
						break
					}
				}
			default:
				if next > 0 {
					id := Ticket(rapid.Uint64Range(1, uint64(next)).Draw(t, "cancel"))
					if q.Cancel(id) {
						set(id, "waiting", "cancelled")
					}
				}
			}
			start, refused := q.Next(now)
			for _, it := range start {
				set(it.Ticket, "waiting", "running")
			}
			for _, r := range refused {
				set(r.Ticket, "waiting", "refused")
				if r.RetryAfter <= 0 {
					t.Fatalf("refusal without advice: %+v", r)
				}
			}
			checkCounts(t, q, limits, state)
		}
	})
}

func checkCounts(t *rapid.T, q *Queue, limits Limits, state map[Ticket]string) {
	n := map[string]int{}
	for _, s := range state {
		n[s]++
	}
	run, wait := q.Counts()
	if run != n["running"] || wait != n["waiting"] || run > limits.Concurrency {
		t.Fatalf("queue says %d running, %d waiting; requests say %v", run, wait, n)
	}
	if run < limits.Concurrency && wait > 0 {
		t.Fatalf("%d of %d slots in use while %d wait", run, limits.Concurrency, wait)
	}
}

// TestFairAgainstNaive compares the order with that of a naive scheduler which always serves the
// backlogged account with the least work relative to its weight.
func TestFairAgainstNaive(t *testing.T) {
	q := NewQueue(Limits{Concurrency: 1, Waiting: 1000})
	q.SetWeights(benchShares)
	naive := map[account.ID]float64{}
	weight := map[account.ID]float64{}
	var next Ticket
	for _, s := range benchShares {
		weight[s.Account] = s.Weight
		for range 100 {
			next++
			q.Enqueue(epoch, Item{Ticket: next, Account: s.Account})
		}
	}
	now := epoch
	for range 140 {
		start, _ := q.Next(now)
		got := start[0].Account
		for _, s := range benchShares {
			// A scheduler without preemption may differ by one request.
			if naive[got]/weight[got] > naive[s.Account]/s.Weight+meanRun.Seconds() {
				t.Fatalf("%s served at %v, but %s is behind: %v", got, now, s.Account, naive)
			}
		}
		now = now.Add(meanRun)
		q.Done(now, start[0].Ticket)
		naive[got] += meanRun.Seconds()
	}
}

func TestRefusals(t *testing.T) {
	cases := map[string]struct {
		prepare func(q *Queue)
		item    Item
		want    Reason
	}{
		"no share":    {func(*Queue) {}, Item{Ticket: 99, Account: "nobody"}, ReasonNoShare},
		"full":        {func(q *Queue) { fill(q, "large", 5) }, Item{Ticket: 99, Account: "large"}, ReasonFull},
		"pushed out":  {func(q *Queue) { fill(q, "large", 5) }, Item{Ticket: 99, Account: "small"}, ReasonEvicted},
		"unreachable": {func(q *Queue) { fill(q, "large", 3) }, Item{Ticket: 99, Account: "large", Deadline: epoch.Add(time.Millisecond)}, ReasonDeadline},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			q := NewQueue(Limits{Concurrency: 1, Waiting: 4})
			q.SetWeights(benchShares)
			tc.prepare(q)
			got := q.Enqueue(epoch, tc.item)
			if len(got) != 1 || got[0].Reason != tc.want || got[0].RetryAfter <= 0 {
				t.Errorf("refusals %+v, want %s with advice", got, tc.want)
			}
			if (tc.want == ReasonEvicted) == (got[0].Ticket == tc.item.Ticket) {
				t.Errorf("refused request %d", got[0].Ticket)
			}
		})
	}
}

func fill(q *Queue, who account.ID, n int) {
	for i := range n {
		q.Enqueue(epoch, Item{Ticket: Ticket(i + 1), Account: who})
		q.Next(epoch)
	}
}
