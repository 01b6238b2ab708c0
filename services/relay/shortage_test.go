// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package relay

import (
	"bytes"
	"context"
	"net/http"
	"reflect"
	"strings"
	"testing"
	"time"

	"fawnwinch.org/fawnwinch/services/admission"
	"fawnwinch.org/fawnwinch/services/balance"
)

// shortageLines returns the lines of a log with the event shortage.
func shortageLines(log *bytes.Buffer) int {
	return strings.Count(log.String(), `"message":"shortage"`)
}

// TestShortageRejected runs rejected and late requests through a router. It guards against a
// shortage that is logged for each request, or that stays in the status after its end.
func TestShortageRejected(t *testing.T) {
	r, log := newUrgencyRelay(t, rankedCatalog())
	reportRunning(r, 11, 400)
	if got := r.Shortages(time.Now()); got != nil {
		t.Errorf("shortages %+v before any request", got)
	}
	for range 3 {
		x, w := newExchange(t, r, "batch", "k1")
		if x.run(t.Context()); w.Code != http.StatusServiceUnavailable {
			t.Fatalf("answered %d", w.Code)
		}
	}
	late, _ := newExchange(t, r, "middle", "k1")
	late.stream = streamState{events: 1, first: late.arrived.Add(time.Second)}
	late.finish(http.StatusOK, ReasonAnswered)
	if n := shortageLines(log); n != 1 {
		t.Fatalf("%d lines, want one:\n%s", n, log)
	}
	first := log.String()[:strings.Index(log.String(), "\n")+1]
	line := lastLine(t, bytes.NewBufferString(first))
	for field, want := range map[string]any{"message": "shortage", "service": "s", "ended": false, "urgency_level": 2.0, "waiting": 0.0, "catch_up": true} {
		if line[field] != want {
			t.Errorf("%s=%v, want %v", field, line[field], want)
		}
	}
	if age, ok := line["report_age_ms"].(float64); !ok || age < 0 {
		t.Errorf("report_age_ms=%v", line["report_age_ms"])
	}
	if wait, ok := line["forecast_ms"].(float64); !ok || wait < 1000 {
		t.Errorf("forecast_ms=%v for 400 requests ahead at 100 per second", line["forecast_ms"])
	}
	now := time.Now()
	got := r.Shortages(now)
	if len(got) != 1 || got[0].Service != "s" || got[0].Lasted < 0 || !reflect.DeepEqual(got[0].Levels, []admission.LevelShortage{{}, {Late: 1}, {Rejected: 3}}) {
		t.Errorf("shortages %+v", got)
	}
	r.Sweep(now.Add(time.Second))
	if n := shortageLines(log); n != 1 {
		t.Errorf("%d lines after a second, want no end", n)
	}
	if r.Sweep(now.Add(3 * time.Second)); len(r.Shortages(now.Add(3*time.Second))) > 0 {
		t.Error("the shortage has not ended")
	}
	line = lastLine(t, log)
	for field, want := range map[string]any{"message": "shortage", "ended": true, "rejected": "0,0,3", "late": "0,1,0", "report_age_ms": -1.0, "catch_up": false} {
		if line[field] != want {
			t.Errorf("at the end %s=%v, want %v", field, line[field], want)
		}
	}
	if ms, _ := line["lasted_ms"].(float64); ms < 2000 || ms >= 3000 {
		t.Errorf("lasted_ms=%v, want 2 s after the last rejection", line["lasted_ms"])
	}
	if r.Sweep(now.Add(4 * time.Second)); shortageLines(log) != 2 {
		t.Errorf("%d lines, want two", shortageLines(log))
	}
}

// TestShortageHeld checks that a request that waits too long begins a shortage at the next report,
// also if it gets room in the end, and that one after its permitted wait counts as rejected.
func TestShortageHeld(t *testing.T) {
	r, log := newUrgencyRelay(t, rankedCatalog())
	reportRunning(r, 11, 0)
	x, _ := newExchange(t, r, "urgent", "k1")
	now := time.Now()
	r.mu.Lock()
	svc := r.pools["s"]
	asked := r.admissionRequest(now, svc, x)
	v := svc.queue.Arrive(now, asked, r.state.Usable(now, "s"))
	r.mu.Unlock()
	if v.Outcome != admission.OutcomeWaits {
		t.Fatalf("%+v, want a wait", v)
	}
	full := balance.Group{Service: "s", ID: "g", Open: true, Whole: true, Skew: 1.6, Backlog: balance.Backlog{Waiting: 1, Levels: []int{1}}}
	for _, a := range []string{"a0", "a1", "a2", "a3"} {
		full.Ranks = append(full.Ranks, balance.RankLoad{Address: a, Running: 11, Pace: 1})
	}
	r.Report(now.Add(90*time.Millisecond), full)
	if n := shortageLines(log); n != 0 {
		t.Errorf("%d lines within a quarter of the goal", n)
	}
	r.Report(now.Add(110*time.Millisecond), full)
	line := lastLine(t, log)
	if line["message"] != "shortage" || line["ended"] != false || line["urgency_level"] != 0.0 || line["waiting"] != 1.0 || line["forecast_ms"] != float64(v.Forecast.Wait.Milliseconds()) {
		t.Errorf("log line %v", line)
	}
	later := now.Add(1900 * time.Millisecond)
	r.noteWaited(later, svc, asked, true)
	got := r.Shortages(later.Add(1900 * time.Millisecond)) // the last such request counts
	if len(got) != 1 || !reflect.DeepEqual(got[0].Levels, []admission.LevelShortage{{Waiting: 1, Rejected: 1}, {}, {}}) {
		t.Errorf("shortages %+v", got)
	}
	if n := shortageLines(log); n != 1 {
		t.Errorf("%d lines, want one", n)
	}
	svc.queue.Leave(asked)
	if r.Sweep(later.Add(2 * time.Second)); shortageLines(log) != 2 {
		t.Errorf("%d lines, want the end too", shortageLines(log))
	}
}

// TestShortageExpired guards against a request that is not counted as rejected when its permitted
// wait is over, and against a count of callers that disconnected while they waited.
func TestShortageExpired(t *testing.T) {
	r, _ := newUrgencyRelay(t, rankedCatalog())
	reportRunning(r, 11, 0)
	acquire := func(ctx context.Context, patience time.Duration) {
		x, _ := newExchange(t, r, "urgent", "k1")
		x.meta.Patience = patience // returning, and so not rejected by the forecast
		x.deadline = time.Now().Add(patience)
		if _, ok := r.acquire(ctx, x); ok {
			t.Fatal("sent to a full rank")
		}
	}
	disconnected, cancel := context.WithCancel(t.Context())
	cancel()
	acquire(disconnected, 5*time.Second)
	if got := r.Shortages(time.Now()); got != nil {
		t.Errorf("shortages %+v after a caller has disconnected", got)
	}
	acquire(t.Context(), 50*time.Millisecond)
	if got := r.Shortages(time.Now()); len(got) != 1 || got[0].Levels[0].Rejected != 1 {
		t.Errorf("shortages %+v after a permitted wait, want one rejection", got)
	}
}

// TestShortagePlain guards against a shortage of a plain service, and against one of a request that
// was granted immediately.
func TestShortagePlain(t *testing.T) {
	c := rankedCatalog()
	c.Services[1].Engine = nil
	r, log := newUrgencyRelay(t, c)
	reportRunning(r, 1, 0)
	x, _ := newExchange(t, r, "urgent", "k1")
	if _, ok := r.acquire(t.Context(), x); !ok {
		t.Fatal("no room at an idle group")
	}
	x, w := newExchange(t, r, "single", "k1")
	if x.run(t.Context()); w.Code != http.StatusServiceUnavailable {
		t.Fatalf("answered %d without an upstream", w.Code)
	}
	if got := r.Shortages(time.Now()); got != nil || shortageLines(log) != 0 {
		t.Errorf("shortages %+v, log %s", got, log)
	}
}
