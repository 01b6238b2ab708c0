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
	// driftThreshold is how far the wall clock may move against the monotonic clock before the boot
	// clock is read to detect a suspension. Shorter suspensions do no harm, and a wall clock under
	// gradual correction moves more slowly.
	driftThreshold = 20 * time.Millisecond
	// minSuspension is the smallest difference between the boot and monotonic clocks that counts
	// as a suspension: they are not read at the same moment.
	minSuspension = 2 * time.Millisecond
)

// source provides the clocks that a System reads.
type source interface {
	// read returns the wall-clock time and the monotonic time.
	read() (day time.Time, steady time.Duration)
	// boot returns the time since the machine booted, including suspensions.
	boot() (time.Duration, error)
}

// System is the clock of the machine. It is safe for concurrent use.
type System struct {
	source source
	// startWall, startMonotonic and startBoot are the readings of the wall, monotonic and boot
	// clocks when the System was created; noBootClock reports that the boot clock could not be
	// read.
	startWall                 time.Time
	startMonotonic, startBoot time.Duration
	noBootClock               bool
	// suspended is how long the machine has been suspended since then, and drift how far the wall
	// clock had moved against the monotonic clock at the last check; both in nanoseconds.
	suspended, drift atomic.Int64
}

// NewSystem returns the clock of the machine.
func NewSystem() *System { return newSystem(machine{start: time.Now()}) }

func newSystem(from source) *System {
	s := &System{source: from}
	s.startWall, s.startMonotonic = from.read()
	boot, err := from.boot()
	s.startBoot, s.noBootClock = boot, err != nil
	return s
}

// Now implements Clock. Reading the boot clock on each call would cost a system call, so it is read
// only after the wall clock has moved against the monotonic clock.
func (s *System) Now() time.Time {
	wall, monotonic := s.source.read()
	passed := monotonic - s.startMonotonic
	drift := wall.Sub(s.startWall) - passed
	if (drift - time.Duration(s.drift.Load())).Abs() > driftThreshold {
		s.Update()
		s.drift.Store(int64(drift)) // after Update: otherwise concurrent calls would return a time without the new suspension
	}
	return s.startWall.Add(passed + time.Duration(s.suspended.Load()))
}

// Update measures how long the machine has been suspended, whatever the wall clock shows, and
// returns the increase. It returns 0 if the boot clock cannot be read.
func (s *System) Update() time.Duration {
	before := s.suspended.Load()
	boot, err := s.source.boot()
	if err != nil || s.noBootClock {
		return 0
	}
	_, monotonic := s.source.read()
	suspended := (boot - s.startBoot) - (monotonic - s.startMonotonic)
	if suspended-time.Duration(before) < minSuspension || !s.suspended.CompareAndSwap(before, int64(suspended)) {
		return 0
	}
	return suspended - time.Duration(before)
}

// Suspended returns how long the machine has been suspended since the System was created, as of the
// last measurement.
func (s *System) Suspended() time.Duration { return time.Duration(s.suspended.Load()) }

// machine reads the clocks of the kernel.
type machine struct{ start time.Time }

func (m machine) read() (time.Time, time.Duration) {
	now := time.Now()
	return now.Round(0), now.Sub(m.start)
}

func (machine) boot() (time.Duration, error) {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0, fmt.Errorf("read CLOCK_BOOTTIME: %w", err)
	}
	return time.Duration(t.Nano()), nil
}
