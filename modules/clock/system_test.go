// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package clock

import (
	"errors"
	"testing"
	"time"
)

// wall is the time of day at which the machines of the tests begin.
var wall = time.Date(2026, 12, 3, 6, 0, 0, 0, time.UTC)

// fake is a machine whose clocks the test moves.
type fake struct {
	// day, ran and up are how far the time of day, the steady clock and the time since the start have come.
	day, ran, up time.Duration
	err          error
}

func (f *fake) read() (time.Time, time.Duration) { return wall.Add(f.day), f.ran }

func (f *fake) boot() (time.Duration, error) { return f.up, f.err }

// TestLook checks that suspensions count, however often it is looked, and that nothing else does.
func TestLook(t *testing.T) {
	type move struct{ ran, suspended time.Duration }
	cases := map[string]struct {
		moves []move
		err   error
		want  time.Duration
	}{
		"nothing happens":         {[]move{{ran: time.Minute}}, nil, time.Minute},
		"one suspension":          {[]move{{ran: time.Second, suspended: 6 * time.Second}}, nil, 7 * time.Second},
		"two suspensions":         {[]move{{time.Second, 6 * time.Second}, {time.Second, time.Minute}}, nil, 68 * time.Second},
		"clocks read apart":       {[]move{{time.Second, time.Millisecond}, {time.Second, time.Microsecond}}, nil, 2 * time.Second},
		"the machine cannot tell": {[]move{{time.Second, 6 * time.Second}}, errors.New("no such clock"), time.Second},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := &fake{up: time.Hour, err: c.err}
			s := newSystem(f)
			begun := s.Now()
			for _, m := range c.moves {
				f.ran += m.ran
				f.up += m.ran + m.suspended
				s.Look()
				s.Look()
			}
			if got := s.Now().Sub(begun); got != c.want {
				t.Errorf("%s have passed, want %s", got, c.want)
			}
		})
	}
}

// TestNotices checks that a suspension is noticed by the first question for the time, because the time of day has moved.
func TestNotices(t *testing.T) {
	cases := map[string]struct {
		day, up, want time.Duration
	}{
		"suspended":                   {day: 7 * time.Second, up: 7 * time.Second, want: 7 * time.Second},
		"the time of day was stepped": {day: time.Hour, up: time.Second, want: time.Second},
		"stepped back":                {day: -time.Hour, up: time.Second, want: time.Second},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := &fake{up: time.Hour}
			s := newSystem(f)
			begun := s.Now()
			f.ran, f.day, f.up = time.Second, c.day, f.up+c.up
			if got := s.Now().Sub(begun); got != c.want {
				t.Errorf("%s have passed, want %s", got, c.want)
			}
		})
	}
}

// TestMachine checks that the clock of the machine that runs the test agrees with its steady clock, and that it can tell suspensions.
func TestMachine(t *testing.T) {
	s := NewSystem()
	if s.blind {
		t.Fatal("the clock that counts suspensions cannot be read")
	}
	begun, steady := s.Now(), time.Now()
	for range 1000 {
		s.Look()
	}
	if apart := (s.Now().Sub(begun) - time.Since(steady)).Abs(); apart > 5*time.Millisecond {
		t.Errorf("the clock is %s apart from the steady clock", apart)
	}
}
