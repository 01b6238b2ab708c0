// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package clock

import (
	"time"
)

// System is the clock of the machine.
type System struct{ begun time.Time }

// NewSystem returns the clock of the machine.
func NewSystem() *System { return &System{begun: time.Now()} }

// Now implements Clock.
func (s *System) Now() time.Time {
	return s.begun.Round(0).Add(time.Since(s.begun))
}
