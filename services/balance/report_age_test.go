// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package balance

import (
	"testing"
	"time"
)

// TestReportAge guards against an age that hides an old report behind a new one, that counts
// reports which are no longer used, and against a catch-up of a group that opened long ago.
func TestReportAge(t *testing.T) {
	at := func(ms int) time.Time { return begin.Add(time.Duration(ms) * time.Millisecond) }
	p := NewPool("")
	if age, ok := p.ReportAge(at(0)); ok || p.CatchingUp(at(0)) {
		t.Errorf("age %s without a report, catching up %t", age, p.CatchingUp(at(0)))
	}
	p.Report(at(0), Group{ID: "closed"}, nil)
	if p.CatchingUp(at(0)) {
		t.Error("a closed group catches up")
	}
	p.Report(at(50), Group{ID: "open", Open: true}, nil)
	if age, ok := p.ReportAge(at(80)); !ok || age != 80*time.Millisecond || !p.CatchingUp(at(80)) {
		t.Errorf("age %s, %t, catching up %t; want 80 ms of the older report", age, ok, p.CatchingUp(at(80)))
	}
	for ms := 150; ms <= 1050; ms += 100 {
		p.Report(at(ms), Group{ID: "open", Open: true}, nil)
	}
	if age, ok := p.ReportAge(at(1050)); !ok || age != 0 || p.CatchingUp(at(1050)) {
		t.Errorf("age %s, %t, catching up %t; the older report is no longer used", age, ok, p.CatchingUp(at(1050)))
	}
}
