// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package clock provides the time on which processes base their decisions. It includes the time
// during which the VM was suspended, and ignores steps of the wall clock. The monotonic clock of
// package time stops during a suspension, so ages and leases measured by it are too young
// afterwards.
package clock

import (
	"sync/atomic"
	"time"
)

// Clock provides the current time.
type Clock interface {
	Now() time.Time
}

// current is the clock of the process.
var current atomic.Pointer[Clock]

func init() { Use(NewSystem()) }

// Use sets the clock of the process and returns a function that restores the previous one. Tests
// use it.
func Use(c Clock) (restore func()) {
	before := current.Swap(&c)
	return func() { current.Store(before) }
}

// Now returns the current time. Differences between two such times include suspensions.
func Now() time.Time { return (*current.Load()).Now() }

// Since returns the time elapsed since t, which must be a time of this package.
func Since(t time.Time) time.Duration { return Now().Sub(t) }

// Until returns the time left until t, which must be a time of this package.
func Until(t time.Time) time.Duration { return t.Sub(Now()) }

// Suspended returns how long the VM has been suspended since the process started, or false if its
// clock cannot measure suspensions.
func Suspended() (time.Duration, bool) {
	s, ok := (*current.Load()).(*System)
	if !ok || s.noBootClock {
		return 0, false
	}
	s.Update()
	return s.Suspended(), true
}
