// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package rank

import (
	"testing"
	"time"
)

// TestLeaderlessNotes checks when an agent logs that nobody leads its group: not while a coordinator is replaced, once soon after, then
// rarely, and once when the group is led again.
func TestLeaderlessNotes(t *testing.T) {
	type look struct {
		at    time.Duration
		l     Leadership
		want  leaderlessNote
		since time.Duration
	}
	led := Leadership{Led: true}
	silent := func(d time.Duration) Leadership { return Leadership{Silence: d} }
	cases := map[string][]look{
		"led":                       {{0, led, noteNothing, 0}, {time.Second, led, noteNothing, 0}},
		"a coordinator is replaced": {{time.Second, silent(time.Second), noteNothing, 0}, {1500 * time.Millisecond, led, noteNothing, 0}},
		"never led, then led": {
			{1900 * time.Millisecond, silent(1900 * time.Millisecond), noteNothing, 0},
			{2 * time.Second, silent(2 * time.Second), noteLeaderless, 0},
			{3 * time.Second, silent(3 * time.Second), noteNothing, 0},
			{12 * time.Second, silent(12 * time.Second), noteLeaderless, 0},
			{13 * time.Second, led, noteLedAgain, 0},
			{14 * time.Second, led, noteNothing, 0},
		},
		"lost": {
			{5 * time.Second, led, noteNothing, 0},
			{8 * time.Second, silent(2500 * time.Millisecond), noteLeaderless, 5500 * time.Millisecond},
			{9 * time.Second, led, noteLedAgain, 5500 * time.Millisecond},
		},
	}
	for name, looks := range cases {
		t.Run(name, func(t *testing.T) {
			var u leaderlessNotes
			for _, k := range looks {
				note, since := u.next(begin.Add(k.at), k.l)
				if note != k.want || note != noteNothing && !since.Equal(begin.Add(k.since)) {
					t.Errorf("at %s: %q since %s, want %q since %s", k.at, note, since.Sub(begin), k.want, k.since)
				}
			}
		})
	}
}
