// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package clock tells the time by which processes decide: it counts the seconds in which the VM was suspended, and does not follow
// steps of the time of day. The steady clock of package time stands still during a suspension, so ages and leases that go by it
// are too young afterwards.
package clock

import (
	"sync/atomic"
	"time"
)

// Clock tells the time.
type Clock interface {
	Now() time.Time
}

// current holds the clock of the process.
var current atomic.Pointer[Clock]

func init() { Use(NewSystem()) }

// Use makes a clock that of the process, and returns a function that brings back the one before. Tests use it.
func Use(c Clock) (restore func()) {
	before := current.Swap(&c)
	return func() { current.Store(before) }
}

// Now returns the present time. Differences of two such times count suspensions.
func Now() time.Time { return (*current.Load()).Now() }

// Since returns the time that has passed since t, which is one of this package's times.
func Since(t time.Time) time.Duration { return Now().Sub(t) }

// Until returns the time that is left until t, which is one of this package's times.
func Until(t time.Time) time.Duration { return t.Sub(Now()) }

// Suspended returns for how long the VM was suspended since the process began; false if its clock cannot tell.
func Suspended() (time.Duration, bool) {
	s, ok := (*current.Load()).(*System)
	if !ok || s.blind {
		return 0, false
	}
	s.Look()
	return s.Suspended(), true
}
