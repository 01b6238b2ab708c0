// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package rank

import (
	"testing"
	"time"
)

// TestLeaderlessLog checks when an agent logs that its group has no coordinator: not while a
// coordinator is replaced, once soon after, then rarely, and once when the group has one again.
func TestLeaderlessLog(t *testing.T) {
	type look struct {
		at    time.Duration
		l     Leadership
		want  leaderlessEvent
		since time.Duration
	}
	led := Leadership{Led: true}
	silent := func(d time.Duration) Leadership { return Leadership{Silence: d} }
	cases := map[string][]look{
		"led":                       {{0, led, logNothing, 0}, {time.Second, led, logNothing, 0}},
		"a coordinator is replaced": {{time.Second, silent(time.Second), logNothing, 0}, {1500 * time.Millisecond, led, logNothing, 0}},
		"never led, then led": {
			{1900 * time.Millisecond, silent(1900 * time.Millisecond), logNothing, 0},
			{2 * time.Second, silent(2 * time.Second), logLeaderless, 0},
			{3 * time.Second, silent(3 * time.Second), logNothing, 0},
			{12 * time.Second, silent(12 * time.Second), logLeaderless, 0},
			{13 * time.Second, led, logLedAgain, 0},
			{14 * time.Second, led, logNothing, 0},
		},
		"lost": {
			{5 * time.Second, led, logNothing, 0},
			{8 * time.Second, silent(2500 * time.Millisecond), logLeaderless, 5500 * time.Millisecond},
			{9 * time.Second, led, logLedAgain, 5500 * time.Millisecond},
		},
	}
	for name, looks := range cases {
		t.Run(name, func(t *testing.T) {
			var u leaderlessLog
			for _, k := range looks {
				note, since := u.next(begin.Add(k.at), k.l)
				if note != k.want || note != logNothing && !since.Equal(begin.Add(k.since)) {
					t.Errorf("at %s: %q since %s, want %q since %s", k.at, note, since.Sub(begin), k.want, k.since)
				}
			}
		})
	}
}
