// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package rank

import (
	"testing"
	"time"

	"fawnwinch.org/fawnwinch/models/group"
)

// TestPassTime checks that the time of a pass is told from their numbers, also after the group has rested.
func TestPassTime(t *testing.T) {
	var p passTime
	now := begin
	for step := range group.Step(20) {
		p.note(now, 10+2*step)
		now = now.Add(200 * time.Millisecond)
	}
	p.note(now, 48) // no pass since
	if p.mean != 100*time.Millisecond {
		t.Errorf("a pass takes %s, want 100 ms", p.mean)
	}
	p.note(now.Add(time.Minute), 49)
	if p.mean != 100*time.Millisecond {
		t.Errorf("a pass takes %s after a rest, want 100 ms", p.mean)
	}
}
