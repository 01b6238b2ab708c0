// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package clocktest simulates time in tests: suspensions of the VM, where the clock of the process
// advances but timers do not, and bubbles, where time advances once all goroutines wait.
package clocktest

import (
	"sync/atomic"
	"testing"
	"time"

	"fawnwinch.org/fawnwinch/modules/clock"
)

// VM is the clock of a VM that can be suspended.
type VM struct {
	system    *clock.System
	suspended atomic.Int64
}

// New makes a new VM clock the clock of the process until the test ends. Tests that use it must not
// run in parallel.
func New(t testing.TB) *VM {
	t.Helper()
	v := &VM{system: clock.NewSystem()}
	t.Cleanup(clock.Use(v))
	return v
}

// Now implements clock.Clock.
func (v *VM) Now() time.Time { return v.system.Now().Add(time.Duration(v.suspended.Load())) }

// Suspend simulates a suspension of the VM for d.
func (v *VM) Suspend(d time.Duration) { v.suspended.Add(int64(d)) }
