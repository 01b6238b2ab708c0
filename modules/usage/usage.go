// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package usage measures how much processor time a process uses.
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

// Meter measures the number of cores that a process has used recently. The zero value is ready for
// use. It reads no clock.
type Meter struct {
	at   time.Time
	used time.Duration
	mean float64
}

// decay is the weight of the past in the mean usage, at one sample every 0.4 s: usage from 1.5 s
// ago is weighted as a quarter.
const decay = 0.7

// Observe records the processor time used until now, and returns the mean number of cores in use.
func (m *Meter) Observe(now time.Time, used time.Duration) float64 {
	if passed := now.Sub(m.at); !m.at.IsZero() && passed > 0 {
		m.mean = decay*m.mean + (1-decay)*(used-m.used).Seconds()/passed.Seconds()
	}
	m.at, m.used = now, used
	return m.mean
}
