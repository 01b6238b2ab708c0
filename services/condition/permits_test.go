// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package condition

import (
	"testing"
	"time"

	"fawnwinch.org/fawnwinch/models/upstream"
)

// TestPermits simulates requests of a router to an upstream with a rate limit.
func TestPermits(t *testing.T) {
	run := upstream.Run{ID: "u"}
	reply := func(given int, again time.Duration) PermitReply {
		return PermitReply{Given: given, Again: again, Limit: limitOf(1, 0, 10).Wire(at(20))}
	}
	type state struct {
		*Register
		t *testing.T
	}
	opens := func(s state, now, want int) {
		s.t.Helper()
		if _, wait := s.Judge(at(now), run); wait != at(want).Sub(at(now)) {
			s.t.Errorf("opens %s after %d ms, want at %d ms", wait, now, want)
		}
	}
	permit := func(s state, want Permission) {
		s.t.Helper()
		if got := s.Permit(at(20), run); got != want {
			s.t.Errorf("permission %s, want %s", got, want)
		}
	}
	cases := map[string]func(s state){
		"no request is sent without asking": func(s state) {
			opens(s, 20, 20)
			s.Choose(at(20), run)
			permit(s, PermissionAsk)
		},
		"one request asks at a time": func(s state) {
			s.Choose(at(20), run)
			opens(s, 21, 20+int(PermitTimeout.Milliseconds()))
		},
		"a request that was chosen before the limit was known asks": func(s state) {
			permit(s, PermissionAsk)
		},
		"permits that are left are taken": func(s state) {
			s.Choose(at(20), run)
			if p, _ := s.Answered(at(20), at(22), run, reply(2, 0)); p != PermissionGiven {
				s.t.Errorf("permission %s", p)
			}
			s.Choose(at(23), run)
			permit(s, PermissionGiven)
			permit(s, PermissionAsk)
		},
		"permits lapse": func(s state) {
			s.Choose(at(20), run)
			s.Answered(at(20), at(22), run, reply(2, 0))
			s.Choose(at(22+int(permitValid.Milliseconds())), run)
			permit(s, PermissionAsk)
		},
		"a permit that is not used is taken by the next": func(s state) {
			s.Choose(at(20), run)
			s.Answered(at(20), at(22), run, reply(2, 0))
			s.Choose(at(23), run)
			s.Withdraw(at(24), run)
			s.Choose(at(25), run)
			permit(s, PermissionGiven)
		},
		"nobody asks again before the time": func(s state) {
			s.Choose(at(20), run)
			if p, _ := s.Answered(at(20), at(22), run, reply(0, 500*time.Millisecond)); p != PermissionDenied {
				s.t.Errorf("permission %s", p)
			}
			s.Withdraw(at(23), run)
			opens(s, 24, 522)
			opens(s, 522, 522)
		},
		"a request that asks no more lets the next one ask": func(s state) {
			s.Choose(at(20), run)
			s.Withdraw(at(30), run)
			opens(s, 30, 30)
		},
		"more is asked for when permits are used up early": func(s state) {
			want := 1
			for i := range 3 {
				now := at(20 + 10*i)
				ask := s.Ask(now, run)
				if ask.Wanted != want {
					s.t.Errorf("asks for %d, want %d", ask.Wanted, want)
				}
				s.Choose(now, run)
				s.Answered(now, now, run, reply(ask.Wanted, 0))
				for range ask.Wanted - 1 {
					s.Choose(now, run)
					permit(s, PermissionGiven)
				}
				want *= 2
			}
			if ask := s.Ask(at(2000), run); ask.Wanted != 1 {
				s.t.Errorf("asks for %d after a while, want 1", ask.Wanted)
			}
		},
		"another router has heard that the limit has ended": func(s state) {
			s.Choose(at(20), run)
			p, changes := s.Answered(at(40), at(42), run, PermitReply{Limit: limitOf(0, 15, 30).Wire(at(40))})
			if p != PermissionGiven || len(changes) != 1 || !changes[0].Ended {
				s.t.Errorf("permission %s, changes %+v", p, changes)
			}
			permit(s, PermissionGiven)
		},
	}
	for name, play := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewRegister()
			g.Note(at(10), at(0), run, upstream.Notice{Limited: true, Limit: 1})
			play(state{g, t})
		})
	}
}
