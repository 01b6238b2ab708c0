// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package relay

import (
	"testing"
	"time"

	"fawnwinch.org/fawnwinch/models/catalog"
	"fawnwinch.org/fawnwinch/modules/metrics"
	"fawnwinch.org/fawnwinch/modules/setting"
	"fawnwinch.org/fawnwinch/services/admission"
	"fawnwinch.org/fawnwinch/services/balance"

	"github.com/rs/zerolog"
)

// TestReportOldest checks that a router reports how long its oldest request has waited. Without it
// the coordinator takes a data centre whose callers wait for one with as little need as the others.
func TestReportOldest(t *testing.T) {
	now := time.Now()
	r := New(Options{Bounds: setting.Bounds{ApplyTime: time.Second, KeyFreshness: time.Hour, RetryWindow: time.Second}, Metrics: metrics.New("router"), Logger: zerolog.Nop()})
	g := balance.Group{Service: "s", ID: "g", Open: true}
	if load := r.Report(now, g); load.Oldest != 0 {
		t.Errorf("without requests the oldest has waited %s", load.Oldest)
	}
	// A caller that retries waits also while no upstream is listed.
	x := &admission.Request{Goal: time.Second, Arrived: now, Deadline: now.Add(10 * time.Second), Patience: 10 * time.Second, Timeout: 20 * time.Second, Ask: balance.PickOptions{Engine: &catalog.Engine{Slots: 1}}}
	if d := r.serviceState(now, "s").queue.Arrive(now, x, nil); d.Outcome != admission.OutcomeWaits {
		t.Fatalf("the request is %s, want it to wait", d.Outcome)
	}
	if load := r.Report(now.Add(120*time.Millisecond), g); load.Oldest != 120*time.Millisecond || load.Waiting != 1 {
		t.Errorf("%d requests wait, the oldest for %s, want one for 120 ms", load.Waiting, load.Oldest)
	}
}
