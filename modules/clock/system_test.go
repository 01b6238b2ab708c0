// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package clock

import (
	"errors"
	"testing"
	"time"
)

// wall is the initial wall-clock time of the simulated machines.
var wall = time.Date(2026, 12, 3, 6, 0, 0, 0, time.UTC)

// fake is a machine whose clocks the test advances.
type fake struct {
	// wallElapsed, monotonicElapsed and bootElapsed are how far the wall, monotonic and boot clocks
	// have advanced.
	wallElapsed, monotonicElapsed, bootElapsed time.Duration
	err                                        error
}

func (f *fake) read() (time.Time, time.Duration) { return wall.Add(f.wallElapsed), f.monotonicElapsed }

func (f *fake) boot() (time.Duration, error) { return f.bootElapsed, f.err }

// TestUpdate checks that suspensions count once, however often they are measured, and that nothing
// else counts.
func TestUpdate(t *testing.T) {
	type move struct{ elapsed, suspended time.Duration }
	cases := map[string]struct {
		moves []move
		err   error
		want  time.Duration
	}{
		"nothing happens":        {[]move{{elapsed: time.Minute}}, nil, time.Minute},
		"one suspension":         {[]move{{elapsed: time.Second, suspended: 6 * time.Second}}, nil, 7 * time.Second},
		"two suspensions":        {[]move{{time.Second, 6 * time.Second}, {time.Second, time.Minute}}, nil, 68 * time.Second},
		"clocks read separately": {[]move{{time.Second, time.Millisecond}, {time.Second, time.Microsecond}}, nil, 2 * time.Second},
		"no boot clock":          {[]move{{time.Second, 6 * time.Second}}, errors.New("no such clock"), time.Second},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := &fake{bootElapsed: time.Hour, err: c.err}
			s := newSystem(f)
			start := s.Now()
			for _, m := range c.moves {
				f.monotonicElapsed += m.elapsed
				f.bootElapsed += m.elapsed + m.suspended
				s.Update()
				s.Update()
			}
			if got := s.Now().Sub(start); got != c.want {
				t.Errorf("%s elapsed, want %s", got, c.want)
			}
		})
	}
}

// TestNowDetectsSuspension checks that the first call of Now after a suspension detects it, because
// the wall clock has moved.
func TestNowDetectsSuspension(t *testing.T) {
	cases := map[string]struct {
		wallElapsed, bootElapsed, want time.Duration
	}{
		"suspended":                  {wallElapsed: 7 * time.Second, bootElapsed: 7 * time.Second, want: 7 * time.Second},
		"wall clock stepped forward": {wallElapsed: time.Hour, bootElapsed: time.Second, want: time.Second},
		"wall clock stepped back":    {wallElapsed: -time.Hour, bootElapsed: time.Second, want: time.Second},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := &fake{bootElapsed: time.Hour}
			s := newSystem(f)
			start := s.Now()
			f.monotonicElapsed, f.wallElapsed, f.bootElapsed = time.Second, c.wallElapsed, f.bootElapsed+c.bootElapsed
			if got := s.Now().Sub(start); got != c.want {
				t.Errorf("%s elapsed, want %s", got, c.want)
			}
		})
	}
}

// TestSystemOnThisMachine checks that the clock of the machine that runs the test agrees with its
// monotonic clock, and that its boot clock can be read.
func TestSystemOnThisMachine(t *testing.T) {
	s := NewSystem()
	if s.noBootClock {
		t.Fatal("the boot clock cannot be read")
	}
	start, monotonic := s.Now(), time.Now()
	for range 1000 {
		s.Update()
	}
	if difference := (s.Now().Sub(start) - time.Since(monotonic)).Abs(); difference > 5*time.Millisecond {
		t.Errorf("the clock differs by %s from the monotonic clock", difference)
	}
}
