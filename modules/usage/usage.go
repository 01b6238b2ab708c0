// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package usage tells how much processor time a process uses.
package usage

import (
	"fmt"
	"syscall"
	"time"
)

// CPUTime returns the processor time that this process has used since its start.
func CPUTime() (time.Duration, error) {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0, fmt.Errorf("read processor time: %w", err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano()), nil
}

// Meter tells the part of a core that a process has used lately. The zero value is ready. It reads no clock.
type Meter struct {
	at   time.Time
	used time.Duration
	mean float64
}

// keep is the weight of the past in the mean use, at one look each 0.4 s: what was used 1.5 s ago counts for a quarter.
const keep = 0.7

// Note takes in the processor time that was used by now, and returns the mean number of cores in use.
func (m *Meter) Note(now time.Time, used time.Duration) float64 {
	if passed := now.Sub(m.at); !m.at.IsZero() && passed > 0 {
		m.mean = keep*m.mean + (1-keep)*(used-m.used).Seconds()/passed.Seconds()
	}
	m.at, m.used = now, used
	return m.mean
}
