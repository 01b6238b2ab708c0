// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package clocktest suspends the VM of a test: the clock of the process goes on, and no timer does.
package clocktest

import (
	"sync/atomic"
	"testing"
	"time"

	"fawnwinch.org/fawnwinch/modules/clock"
)

// VM is the clock of a VM that can be suspended.
type VM struct {
	running   *clock.System
	suspended atomic.Int64
}

// New makes the clock of a VM that of the process until the test ends. Tests that use it must not run in parallel.
func New(t testing.TB) *VM {
	t.Helper()
	v := &VM{running: clock.NewSystem()}
	t.Cleanup(clock.Use(v))
	return v
}

// Now implements clock.Clock.
func (v *VM) Now() time.Time { return v.running.Now().Add(time.Duration(v.suspended.Load())) }

// Suspend has the VM suspended for some time, in which nothing runs.
func (v *VM) Suspend(d time.Duration) { v.suspended.Add(int64(d)) }
