// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package relay

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"testing"
	"time"

	"fawnwinch.org/fawnwinch/models/catalog"
	"fawnwinch.org/fawnwinch/models/service"
	"fawnwinch.org/fawnwinch/models/upstream"
	"fawnwinch.org/fawnwinch/models/urgency"
	"fawnwinch.org/fawnwinch/services"
	"fawnwinch.org/fawnwinch/services/admission"
	"fawnwinch.org/fawnwinch/services/balance"
	"fawnwinch.org/fawnwinch/services/knowledge"

	"github.com/rs/zerolog"
)

// rankedCatalog has a service s with three levels, and a service t with one. The route split sends
// to either of them.
func rankedCatalog() *catalog.Catalog {
	c := &catalog.Catalog{Version: 5}
	route := func(name string, priority int, targets ...catalog.Target) {
		c.Routes = append(c.Routes, catalog.Route{
			Name: name, Host: "h", Prefix: "/" + name + "/", Kind: catalog.KindStream, Resumable: true, Timeout: 8 * time.Second,
			Goal: 400 * time.Millisecond, PauseGoal: 120 * time.Millisecond, MaxAttempts: 2, Priority: priority, Targets: targets,
		})
	}
	s := catalog.Target{Service: "s", Weight: 1}
	route("urgent", 0, s)
	route("middle", 3, s)
	route("batch", 7, s)
	route("single", 7, catalog.Target{Service: "t", Weight: 1})
	route("split", 7, catalog.Target{Service: "t", Weight: 1}, catalog.Target{Service: "s", Weight: 1})
	engine := &catalog.Engine{Slots: 10, Stride: 6, StepMillis: 5.85, WriterMillis: 0.426, ReadPerSecond: 61_200, Chunk: 512, UsualPrompt: 868, UsualAnswer: 139, ExpertShare: 0.85}
	c.Services = []catalog.Service{{ID: "s", Engine: engine}, {ID: "t", Engine: engine}}
	c.Accounts = []catalog.Account{{ID: "first", Keys: []catalog.Key{"k1"}, Priority: 1, Ranked: true}, {ID: "second", Keys: []catalog.Key{"k2"}, Priority: 2, Ranked: true}, {ID: "none", Keys: []catalog.Key{"k0"}}}
	return c
}

// newUrgencyRelay returns a relay with a catalog and four ranks of one group of the service s, and
// the buffer with its log.
func newUrgencyRelay(t *testing.T, c *catalog.Catalog) (*Relay, *bytes.Buffer) {
	t.Helper()
	r := newRelay()
	t.Cleanup(r.Close)
	log := &bytes.Buffer{}
	r.opts.Logger = zerolog.New(log)
	now := time.Now()
	var list []services.Change[upstream.Instance]
	for i := range 4 {
		u := upstream.Instance{ID: upstream.ID(fmt.Sprint("u", i)), Service: "s", Address: fmt.Sprint("a", i), Slots: 10, State: upstream.StateReady}
		list = append(list, services.Change[upstream.Instance]{Key: string(u.ID), Value: &u})
	}
	r.WithState(func(k *knowledge.State) {
		k.ApplyCatalogs(now, knowledge.Segment[catalog.Update]{Whole: true, Next: position(1), AsOf: now, Changes: []services.Change[catalog.Update]{{Value: &catalog.Update{Catalog: c}}}})
		k.ApplyUpstreams(now, knowledge.Segment[upstream.Instance]{Whole: true, Next: position(1), AsOf: now, Changes: list})
	})
	return r, log
}

// reportRunning reports the group with a number of running requests at each rank, and a number of
// requests of the last level that wait at other routers.
func reportRunning(r *Relay, running, waiting int) RouterLoad {
	g := balance.Group{Service: "s", ID: "g", Open: true, Whole: true, Skew: 1.6, Backlog: balance.Backlog{Waiting: waiting, Rate: 100, Levels: []int{0, 0, waiting}}}
	for i := range 4 {
		g.Ranks = append(g.Ranks, balance.RankLoad{Address: fmt.Sprint("a", i), Running: running, Pace: 1})
	}
	return r.Report(time.Now(), g)
}

// newExchange returns an admitted request of a caller, and what is answered.
func newExchange(t *testing.T, r *Relay, route, key string) (*exchange, *httptest.ResponseRecorder) {
	t.Helper()
	w := httptest.NewRecorder()
	req := httptest.NewRequest(http.MethodGet, "http://h/"+route+"/x", nil)
	req.RequestURI = "/" + route + "/x"
	x := &exchange{r: r, w: w, req: req, arrived: time.Now(), meta: services.CallerMeta{ID: "r1", Key: catalog.Key(key), Patience: 8 * time.Second}, tried: map[upstream.ID]bool{}}
	if ref := x.admit(); ref != nil {
		t.Fatalf("refused: %+v", *ref)
	}
	return x, w
}

// TestRequestUrgency guards against requests with the urgency of another route, account or service:
// a request to one of several services is ranked by the one that was chosen.
func TestRequestUrgency(t *testing.T) {
	cases := map[string]struct {
		route, key string
		order      urgency.Urgency
		header     int
		// levels maps the services that may be chosen to the level and the number of levels.
		levels map[service.ID][2]int
	}{
		"urgent route":                {"urgent", "k2", urgency.Urgency{Account: 2, Route: 0}, 2, map[service.ID][2]int{"s": {0, 3}}},
		"less urgent route":           {"batch", "k1", urgency.Urgency{Account: 1, Route: 7}, 1, map[service.ID][2]int{"s": {2, 3}}},
		"an account without priority": {"middle", "k0", urgency.Urgency{Account: 2, Route: 3}, 3, map[service.ID][2]int{"s": {1, 3}}},
		"a service with one level":    {"single", "k1", urgency.Urgency{Account: 1, Route: 7}, 1, map[service.ID][2]int{"t": {0, 1}}},
		"a route to either service":   {"split", "k1", urgency.Urgency{Account: 1, Route: 7}, 1, map[service.ID][2]int{"s": {2, 3}, "t": {0, 1}}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r, _ := newUrgencyRelay(t, rankedCatalog())
			seen := map[service.ID]bool{}
			for range 200 {
				x, _ := newExchange(t, r, c.route, c.key)
				seen[x.service] = true
				if want, ok := c.levels[x.service]; !ok || want != [2]int{int(x.level), x.levels} {
					t.Fatalf("service %s: level %d of %d, want %v", x.service, x.level, x.levels, want)
				}
				if x.order != c.order || x.urgency != c.header {
					t.Fatalf("urgency %v and priority %d, want %v and %d", x.order, x.urgency, c.order, c.header)
				}
				asked := r.admissionRequest(time.Now(), r.serviceState(time.Now(), x.service), x)
				if asked.Ranked() != (x.service == "s") || (asked.Ask.MaxMean > 0) != (x.service == "s" && x.level > 0) {
					t.Fatalf("service %s, level %d: limit %v", x.service, x.level, asked.Ask.MaxMean)
				}
			}
			if len(seen) != len(c.levels) {
				t.Errorf("services %v", seen)
			}
		})
	}
}

// TestUrgentFirst runs requests through a router while its group is nearly full: the least urgent
// one is held or rejected with a retry time, urgent ones are sent, and the load report divides the
// demand by level.
func TestUrgentFirst(t *testing.T) {
	r, log := newUrgencyRelay(t, rankedCatalog())
	reportRunning(r, 7, 0)
	for _, route := range []string{"urgent", "middle"} {
		x, _ := newExchange(t, r, route, "k1")
		if _, ok := r.acquire(t.Context(), x); !ok {
			t.Errorf("%s: no room", route)
		}
	}
	waits, _ := newExchange(t, r, "batch", "k1")
	ready := make(chan upstream.Instance, 1)
	r.mu.Lock()
	svc := r.pools["s"]
	asked := r.admissionRequest(time.Now(), svc, waits)
	v := svc.queue.Arrive(time.Now(), asked, r.state.Usable(time.Now(), "s"))
	svc.ready[asked] = ready
	r.mu.Unlock()
	if v.Outcome != admission.OutcomeWaits {
		t.Fatalf("batch: %+v, want a wait", v)
	}
	load := reportRunning(r, 8, 400)
	if want := []balance.LevelDemand{{Wanted: 1}, {}, {Waiting: 1}}; !slices.Equal(load.Levels, want) || load.Wanted != 1 || load.Waiting != 1 {
		t.Errorf("demand %v, %d wanted, %d waiting; want %v", load.Levels, load.Wanted, load.Waiting, want)
	}
	if n, want := metricValue(t, r, "fawnwinch_admission_waiting", "2"), 1.0; n != want {
		t.Errorf("%v waiting requests of level 2, want %v", n, want)
	}
	rejected, w := newExchange(t, r, "batch", "k1")
	rejected.run(t.Context())
	if w.Code != http.StatusServiceUnavailable || w.Header().Get("Retry-After") == "" {
		t.Errorf("answered %d, header %v", w.Code, w.Header())
	}
	line := lastLine(t, log)
	if line["route"] != "batch" || line["urgency_level"] != 2.0 || line["urgency"] != "1.7" || line["forecast_ms"] == nil || line["ahead"] != 400.0 {
		t.Errorf("log line %v", line)
	}
	if after, _ := line["retry_after_ms"].(float64); after <= 0 || after > 8000/3 {
		t.Errorf("retry time %v ms, beyond a third of the remaining time", after)
	}
	reportRunning(r, 1, 0)
	select {
	case <-ready:
	default:
		t.Error("the waiting request was not sent when there was room")
	}
	want := map[string]float64{"0 granted": 1, "1 granted": 1, "2 rejected": 1}
	for labels, n := range want {
		var level, outcome string
		_, _ = fmt.Sscan(labels, &level, &outcome)
		if got := metricValue(t, r, "fawnwinch_admission_requests_total", level, outcome); got != n {
			t.Errorf("%s: counted %v, want %v", labels, got, n)
		}
	}
}

// TestExpired checks that a request that waits until its end counts as expired, and one that gets
// room meanwhile as waited.
func TestExpired(t *testing.T) {
	r, _ := newUrgencyRelay(t, rankedCatalog())
	reportRunning(r, 11, 0)
	x, _ := newExchange(t, r, "urgent", "k1")
	x.meta.Patience = 50 * time.Millisecond // returning, and so not rejected by the forecast
	x.deadline = time.Now().Add(x.meta.Patience)
	if _, ok := r.acquire(t.Context(), x); ok {
		t.Fatal("sent to a full rank")
	}
	if got := metricValue(t, r, "fawnwinch_admission_requests_total", "0", "expired"); got != 1 {
		t.Errorf("%v requests counted as expired, want 1", got)
	}
	x, _ = newExchange(t, r, "urgent", "k1")
	r.mu.Lock()
	svc := r.pools["s"]
	asked := r.admissionRequest(time.Now(), svc, x)
	r.mu.Unlock()
	ready := make(chan upstream.Instance, 1)
	ready <- upstream.Instance{ID: "u0"}
	if u, ok := x.await(t.Context(), svc, asked, ready, time.Second); !ok || u.ID != "u0" {
		t.Errorf("got %v, %t, want the upstream that was granted", u, ok)
	}
	if got := metricValue(t, r, "fawnwinch_admission_requests_total", "0", "waited"); got != 1 {
		t.Errorf("%v requests counted as waited, want 1", got)
	}
}

// TestBegunStream guards against a stream that breaks because its group is above the limit of its
// level when another upstream should continue it.
func TestBegunStream(t *testing.T) {
	r, _ := newUrgencyRelay(t, rankedCatalog())
	reportRunning(r, 8, 0)
	x, _ := newExchange(t, r, "batch", "k1")
	x.stream.begun = true
	if _, ok := r.acquire(t.Context(), x); !ok {
		t.Error("no room for a stream that was admitted before")
	}
}

// TestBusySpread guards against a retry time that is spread twice, or that exceeds what callers
// accept after a wait.
func TestBusySpread(t *testing.T) {
	r, _ := newUrgencyRelay(t, rankedCatalog())
	x, _ := newExchange(t, r, "batch", "k1")
	x.spread, x.retryAfter, x.deadline = true, time.Second, time.Now().Add(1500*time.Millisecond)
	if got := x.busy().retryAfter; got > 500*time.Millisecond || got < 400*time.Millisecond {
		t.Errorf("retry time %s, want a third of 1.5 s", got)
	}
	x.deadline = time.Now().Add(8 * time.Second)
	if got := x.busy().retryAfter; got != time.Second {
		t.Errorf("retry time %s, want that of the queue", got)
	}
	x.spread = false
	if got := x.busy().retryAfter; got < time.Second || got >= time.Second+retryBusySpread {
		t.Errorf("retry time %s of another service, want a random part", got)
	}
}

// TestLate checks which streams count as late.
func TestLate(t *testing.T) {
	cases := map[string]struct {
		route        string
		events       int
		first, pause time.Duration
		want         float64
	}{
		"in time":                   {"batch", 3, 300 * time.Millisecond, 100 * time.Millisecond, 0},
		"a late first event":        {"batch", 3, 500 * time.Millisecond, 100 * time.Millisecond, 1},
		"a long pause":              {"batch", 3, 300 * time.Millisecond, 130 * time.Millisecond, 1},
		"no event":                  {"batch", 0, 0, 0, 0},
		"a service without ranking": {"single", 3, time.Second, time.Second, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r, _ := newUrgencyRelay(t, rankedCatalog())
			x, _ := newExchange(t, r, c.route, "k1")
			x.stream = streamState{events: c.events, first: x.arrived.Add(c.first), latest: x.arrived.Add(c.first), pause: c.pause}
			x.finish(http.StatusOK, ReasonAnswered)
			if got := metricValue(t, r, "fawnwinch_requests_late_total", fmt.Sprint(int(x.level))); got != c.want {
				t.Errorf("%v late streams, want %v", got, c.want)
			}
		})
	}
}

// lastLine returns the fields of the last line of a log.
func lastLine(t *testing.T, log *bytes.Buffer) map[string]any {
	t.Helper()
	lines := bytes.Split(bytes.TrimSpace(log.Bytes()), []byte("\n"))
	var out map[string]any
	if err := json.Unmarshal(lines[len(lines)-1], &out); err != nil {
		t.Fatal(err)
	}
	return out
}

// metricValue returns the value of a metric of the service s with a level and, if given, an outcome;
// 0 if there is none.
func metricValue(t *testing.T, r *Relay, name string, labels ...string) float64 {
	t.Helper()
	families, err := r.opts.Metrics.Registry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	names := []string{"level", "outcome"}
	sum := 0.0
	for _, f := range families {
		if f.GetName() != name {
			continue
		}
		for _, m := range f.GetMetric() {
			matches := true
			for _, l := range m.GetLabel() {
				if i := slices.Index(names, l.GetName()); i >= 0 && i < len(labels) && l.GetValue() != labels[i] {
					matches = false
				}
			}
			if matches {
				sum += m.GetCounter().GetValue() + m.GetGauge().GetValue()
			}
		}
	}
	return sum
}

// BenchmarkRankedGrant measures the decisions of a router for one request of a ranked service with
// 1,600 routes.
func BenchmarkRankedGrant(b *testing.B) {
	r := newRankedRelay(b)
	report(r, time.Now())
	c := rankedCatalog()
	for i := range 1600 {
		rt := c.Routes[i%3]
		rt.Name = fmt.Sprint("r", i)
		c.Routes = append(c.Routes, rt)
	}
	now := time.Now()
	r.WithState(func(k *knowledge.State) {
		k.ApplyCatalogs(now, knowledge.Segment[catalog.Update]{Whole: true, Next: position(2), AsOf: now, Changes: []services.Change[catalog.Update]{{Value: &catalog.Update{Catalog: c}}}})
	})
	b.ReportAllocs()
	reported := now
	for b.Loop() {
		now := time.Now()
		if now.Sub(reported) > 70*time.Millisecond {
			b.StopTimer()
			report(r, now)
			reported = now
			b.StartTimer()
		}
		x := &exchange{r: r, route: &c.Routes[2], service: "s", arrived: now, deadline: now.Add(8 * time.Second), level: 2, levels: 3}
		u, ok := r.acquire(b.Context(), x)
		if !ok {
			b.Fatal("no rank has room")
		}
		x.release(u, balance.ResultOK, time.Second, false)
		r.mu.Lock()
		r.pools["s"].queue = admission.NewQueue(r.pools["s"].pool) // its counters for the last second would grow without bound
		r.mu.Unlock()
	}
}
