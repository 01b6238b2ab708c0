// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package quarantine

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"fawnwinch.org/fawnwinch/models/prompt"
	"fawnwinch.org/fawnwinch/models/request"
	"fawnwinch.org/fawnwinch/models/upstream"
	"fawnwinch.org/fawnwinch/services/peer"
)

// testStart is the time at which the tests start.
var testStart = time.Unix(1_800_000_000, 0)

// step is an event that is recorded in a register at a time.
type step struct {
	at time.Duration
	// crash is the upstream that ended; ran and lasted are Ran and Lasted of its Crash. survived
	// reports that no upstream ended.
	crash       upstream.ID
	ran, lasted time.Duration
	survived    bool
	// other reports whether another request ran there.
	other bool
}

// TestJudge checks from which crashes on a request is watched and refused, and what clears it.
func TestJudge(t *testing.T) {
	second := time.Second
	cases := map[string]struct {
		steps []step
		at    time.Duration
		want  Standing
	}{
		"one end is chance":              {[]step{{crash: "a"}}, second, StandingFree},
		"two are watched":                {[]step{{crash: "a"}, {at: 5 * second, crash: "b"}}, 6 * second, StandingWatched},
		"three are refused":              {[]step{{crash: "a"}, {at: 5 * second, crash: "b"}, {at: 9 * second, crash: "c"}}, 10 * second, StandingRefused},
		"a rack that loses power is one": {[]step{{crash: "a", ran: second}, {crash: "b", ran: second}, {crash: "c", ran: second, other: true}}, second, StandingFree},
		"three racks are three": {[]step{
			{crash: "a", ran: second},
			{crash: "b", ran: second},
			{crash: "c", ran: second, other: true},
			{at: 5 * second, crash: "d", ran: second},
			{at: 5 * second, crash: "e", ran: second},
			{at: 5 * second, crash: "f", ran: second, other: true},
			{at: 9 * second, crash: "g", ran: second},
			{at: 9 * second, crash: "h", ran: second},
			{at: 9 * second, crash: "i", ran: second, other: true},
		}, 10 * second, StandingRefused},
		"it ran at all that ended together": {[]step{{crash: "a", ran: second}, {crash: "b", ran: second}, {crash: "c", ran: second}}, second, StandingWatched},
		"and so it did again":               {[]step{{crash: "a", ran: second}, {crash: "b", ran: second}, {at: 5 * second, crash: "c", ran: second}}, 6 * second, StandingRefused},
		"the same end told again":           {[]step{{crash: "a"}, {at: second, crash: "a"}, {at: 2 * second, crash: "a"}}, 3 * second, StandingFree},
		"an answer clears all before":       {[]step{{crash: "a"}, {at: 5 * second, crash: "b"}, {at: 6 * second, survived: true, lasted: CompletedRun}, {at: 9 * second, crash: "c"}}, 10 * second, StandingFree},
		"an answer clears what comes soon":  {[]step{{survived: true, lasted: CompletedRun}, {crash: "a"}, {at: 5 * second, crash: "b"}, {at: 9 * second, crash: "c"}}, 10 * second, StandingFree},
		"but not for long":                  {[]step{{survived: true, lasted: CompletedRun}, {at: 61 * second, crash: "a"}, {at: 65 * second, crash: "b"}, {at: 69 * second, crash: "c"}}, 70 * second, StandingRefused},
		"a longer run clears":               {[]step{{crash: "a", lasted: second}, {at: 5 * second, crash: "b", lasted: second}, {at: 6 * second, survived: true, lasted: 2 * second}}, 7 * second, StandingFree},
		"a run as long does not":            {[]step{{crash: "a", lasted: second}, {at: 5 * second, crash: "b", lasted: second}, {at: 6 * second, survived: true, lasted: second}}, 7 * second, StandingWatched},
		"after some time it is watched":     {[]step{{crash: "a"}, {at: 5 * second, crash: "b"}, {at: 9 * second, crash: "c"}}, 9*second + refusalDuration, StandingWatched},
		"and forgotten in the end":          {[]step{{crash: "a"}, {at: 5 * second, crash: "b"}, {at: 9 * second, crash: "c"}}, 9*second + retention, StandingFree},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := NewRegister(testStart)
			k := Key{Account: "x", Digest: 1}
			for _, s := range c.steps {
				if s.survived {
					r.RecordRun(testStart.Add(s.at), Subject{Content: k}, s.lasted)
					continue
				}
				key := k
				if s.other {
					key.Digest++
				}
				r.Add(testStart.Add(s.at), Crash{Key: key, Run: upstream.Run{ID: s.crash}, Ran: s.ran, Lasted: s.lasted})
			}
			r.Sweep(testStart.Add(c.at))
			if got := r.JudgeKey(testStart.Add(c.at), k); got.Standing != c.want {
				t.Errorf("%s, want %s", got.Standing, c.want)
			}
			if got := r.JudgeKey(testStart.Add(c.at), Key{Account: "y", Digest: 1}); got.Standing != StandingFree {
				t.Errorf("the same content of another account is %s", got.Standing)
			}
		})
	}
}

// TestRegistersConverge checks that registers that exchange their changes converge in any order,
// and that a request stays cleared.
func TestRegistersConverge(t *testing.T) {
	for seed := range uint64(200) {
		chance := rand.New(rand.NewPCG(seed, 0))
		now := testStart
		var all [3]*Register
		var seen [3][3]peer.Watermark
		for i := range all {
			all[i] = NewRegister(now.Add(time.Duration(i)))
		}
		tell := func(from, to int) {
			for _, c := range all[from].ChangedSince(now, seen[to][from]) {
				all[to].Add(now, c)
			}
			seen[to][from] = all[from].Watermark()
		}
		for i := range 60 {
			now = now.Add(time.Duration(chance.IntN(2000)) * time.Millisecond)
			at, x := chance.IntN(3), subject(chance.IntN(3), prompt.Part(fmt.Sprint("p", chance.IntN(3))))
			switch chance.IntN(4) {
			case 0:
				all[at].AddCrash(now, x, Crash{Run: upstream.Run{ID: upstream.ID(fmt.Sprint(i))}, Ran: 100 * time.Millisecond})
			case 1:
				if chance.IntN(4) == 0 {
					all[at].RecordRun(now, x, CompletedRun)
				}
			default:
				tell(at, chance.IntN(3))
			}
		}
		for range 2 {
			for from := range all {
				for to := range all {
					tell(from, to)
				}
			}
		}
		for i := range 3 {
			x := subject(i, prompt.Part(fmt.Sprint("p", i)))
			for _, k := range x.Keys() {
				a, b, c := all[0].JudgeKey(now, k).Standing, all[1].JudgeKey(now, k).Standing, all[2].JudgeKey(now, k).Standing
				if a != b || b != c {
					t.Errorf("seed %d, %s: %s, %s, %s", seed, k, a, b, c)
				}
			}
		}
	}
}

// TestRegisterLimits checks that a register keeps only the latest requests, and sends all of them
// to a router that restarts.
func TestRegisterLimits(t *testing.T) {
	r := NewRegister(testStart)
	for i := range 2 * maxKeys {
		now := testStart.Add(time.Duration(i) * time.Millisecond)
		r.Add(now, Crash{Key: Key{Digest: request.Digest(i)}, Run: upstream.Run{ID: "a"}})
		r.RecordRun(now, Subject{Content: Key{Digest: request.Digest(10*maxKeys + i)}}, CompletedRun)
	}
	now := testStart.Add(time.Hour / 60)
	if got := len(r.ChangedSince(now, peer.Watermark{Start: 1, Position: 1 << 40})); got != maxKeys {
		t.Errorf("%d crash records for a watermark of another register, want %d", got, maxKeys)
	}
	if len(r.runs) > maxRuns {
		t.Errorf("%d runs are kept, want %d at most", len(r.runs), maxRuns)
	}
	if got := r.ChangedSince(now, r.Watermark()); len(got) != 0 {
		t.Errorf("%d crash records although none has changed", len(got))
	}
}

// TestRestore checks that an empty register refuses a restored request for as long as the original
// register would have.
func TestRestore(t *testing.T) {
	k := Key{Account: "x", Digest: 1}
	first := NewRegister(testStart)
	for i := range refuseThreshold {
		first.Add(testStart.Add(time.Duration(i)*time.Second), Crash{Key: k, Run: upstream.Run{ID: upstream.ID(fmt.Sprint(i))}, Ran: 100 * time.Millisecond})
	}
	kept := testStart.Add(5 * time.Second)
	entries := first.Refused(kept)
	if len(entries) != 1 {
		t.Fatalf("%d entries, want 1", len(entries))
	}
	for name, c := range map[string]struct {
		after time.Duration
		want  Standing
	}{
		"at once":                       {0, StandingRefused},
		"by a clock that is behind":     {-time.Minute, StandingRefused},
		"before its time is over":       {refusalDuration / 2, StandingRefused},
		"after its time is over":        {refusalDuration, StandingWatched},
		"after everything is forgotten": {retention, StandingFree},
	} {
		now := kept.Add(c.after)
		r := NewRegister(now)
		r.Restore(now, entries[0])
		if got := r.JudgeKey(now, k).Standing; got != c.want {
			t.Errorf("%s: %s, want %s", name, got, c.want)
		}
	}
}
