// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package admission

import (
	"testing"
	"time"

	"fawnwinch.org/fawnwinch/services/balance"
)

// TestOldest checks the waiting time that routers report, with which the coordinator decides
// between data centres.
func TestOldest(t *testing.T) {
	now := time.Unix(1000, 0)
	q := NewQueue(balance.NewPool(""))
	if got := q.Oldest(now); got != 0 {
		t.Errorf("the oldest of no requests has waited %s", got)
	}
	younger := &Request{Arrived: now.Add(-100 * time.Millisecond), Deadline: now.Add(time.Second)}
	older := &Request{Arrived: now.Add(-300 * time.Millisecond), Deadline: now.Add(time.Second)}
	q.waiting = []*Request{younger, older}
	if got := q.Oldest(now); got != 300*time.Millisecond {
		t.Errorf("the oldest request has waited %s, want 300 ms", got)
	}
	q.Leave(older)
	if got := q.Oldest(now); got != 100*time.Millisecond {
		t.Errorf("the oldest request has waited %s, want 100 ms", got)
	}
}
