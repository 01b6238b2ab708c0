// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package clock

import (
	"fmt"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// unnoticed is by how much the time of day may move against the steady clock before it is looked for a suspension. Suspensions
	// that are shorter do no harm, and a time of day that is being corrected moves more slowly.
	unnoticed = 20 * time.Millisecond
	// leastSuspension is the shortest difference of the two clocks that is taken for a suspension: they are not read at the same moment.
	leastSuspension = 2 * time.Millisecond
)

// source is what a System reads.
type source interface {
	// read returns the time of day and the time on the steady clock.
	read() (day time.Time, steady time.Duration)
	// boot returns the time since the machine started, suspensions included.
	boot() (time.Duration, error)
}

// System is the clock of the machine. It is safe for use by several goroutines.
type System struct {
	source source
	// begun is the time of day when the clock was made, steady the time on the steady clock and boot that since the start of the
	// machine then; blind says that the last is not known.
	begun        time.Time
	steady, boot time.Duration
	blind        bool
	// suspended is how long the machine has been suspended since, and lead how far the time of day had moved against the steady
	// clock when that was last looked at; both in nanoseconds.
	suspended, lead atomic.Int64
}

// NewSystem returns the clock of the machine.
func NewSystem() *System { return newSystem(machine{begun: time.Now()}) }

func newSystem(from source) *System {
	s := &System{source: from}
	s.begun, s.steady = from.read()
	boot, err := from.boot()
	s.boot, s.blind = boot, err != nil
	return s
}

// Now implements Clock. Reading both clocks each time would take a system call; that the time of day has moved against the steady
// clock says when it is worth one.
func (s *System) Now() time.Time {
	day, steady := s.source.read()
	passed := steady - s.steady
	lead := day.Sub(s.begun) - passed
	if (lead - time.Duration(s.lead.Load())).Abs() > unnoticed {
		s.Look()
		s.lead.Store(int64(lead)) // not before: others would take the time for settled that has just been found wrong
	}
	return s.begun.Add(passed + time.Duration(s.suspended.Load()))
}

// Look finds out how long the machine has been suspended, whatever the time of day says. It returns how much of that is news. A machine
// that cannot tell is taken for one that was not suspended.
func (s *System) Look() time.Duration {
	before := s.suspended.Load()
	boot, err := s.source.boot()
	if err != nil || s.blind {
		return 0
	}
	_, steady := s.source.read()
	suspended := (boot - s.boot) - (steady - s.steady)
	if suspended-time.Duration(before) < leastSuspension || !s.suspended.CompareAndSwap(before, int64(suspended)) {
		return 0
	}
	return suspended - time.Duration(before)
}

// Suspended returns for how long the machine was suspended since the clock was made.
func (s *System) Suspended() time.Duration { return time.Duration(s.suspended.Load()) }

// machine reads the clocks of the kernel.
type machine struct{ begun time.Time }

func (m machine) read() (time.Time, time.Duration) {
	now := time.Now()
	return now.Round(0), now.Sub(m.begun)
}

func (machine) boot() (time.Duration, error) {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0, fmt.Errorf("read the clock that counts suspensions: %w", err)
	}
	return time.Duration(t.Nano()), nil
}
