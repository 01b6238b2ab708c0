// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package relay

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"fawnwinch.org/fawnwinch/models/catalog"
	"fawnwinch.org/fawnwinch/models/group"
	"fawnwinch.org/fawnwinch/models/upstream"
	"fawnwinch.org/fawnwinch/services"
	"fawnwinch.org/fawnwinch/services/admission"
	"fawnwinch.org/fawnwinch/services/balance"
	"fawnwinch.org/fawnwinch/services/knowledge"
)

// benchRanks is the number of ranks in the benchmarks, in three groups of one service.
const benchRanks = 72

// newRankedRelay returns a relay with one service whose ranks belong to three groups.
func newRankedRelay(b *testing.B) *Relay {
	b.Helper()
	r := newRelay()
	b.Cleanup(r.Close)
	now := time.Now()
	c := testCatalog
	c.Services = []catalog.Service{{ID: "s", Engine: &catalog.Engine{Slots: 10, Stride: 5, StepMillis: 4.55, WriterMillis: 1.09, ContextMillis: 0.022, ReadPerSecond: 61400, Chunk: 512, UsualPrompt: 835, Layers: 16, Experts: 96}}}
	var changes []services.Change[upstream.Instance]
	for i := range benchRanks {
		u := upstream.Instance{ID: upstream.ID(fmt.Sprint("i-", i)), Born: 1, Service: "s", Address: fmt.Sprintf("10.0.%d.1:80", i), Slots: 10, State: upstream.StateReady}
		changes = append(changes, services.Change[upstream.Instance]{Key: string(u.ID), Value: &u})
	}
	r.WithState(func(k *knowledge.State) {
		k.ApplyCatalogs(time.Now(), knowledge.Segment[catalog.Update]{Whole: true, Next: position(1), AsOf: now, Changes: []services.Change[catalog.Update]{{Value: &catalog.Update{Catalog: &c}}}})
		k.ApplyUpstreams(now, knowledge.Segment[upstream.Instance]{Whole: true, Next: position(1), AsOf: now, Changes: changes})
	})
	return r
}

// report sends the load of the groups to a relay.
func report(r *Relay, now time.Time) {
	const groups = 3
	for g := range groups {
		load := balance.Group{Service: "s", ID: group.ID(fmt.Sprint("g", g)), Open: true, Whole: true, Skew: 1.4, Places: balance.Allotment{}}
		for i := g * benchRanks / groups; i < (g+1)*benchRanks/groups; i++ {
			address := fmt.Sprintf("10.0.%d.1:80", i)
			load.Ranks = append(load.Ranks, balance.RankLoad{Address: address, Running: 4, Pace: 1})
			load.Places[address] = 1 << 20
		}
		r.Report(now, load)
	}
}

// BenchmarkGrant measures the decisions of a router for one request with 72 ranks whose load is
// reported: the choice of the rank, and the end of the attempt.
func BenchmarkGrant(b *testing.B) {
	r := newRankedRelay(b)
	report(r, time.Now())
	route := &catalog.Route{Name: "stream", Kind: catalog.KindStream, Goal: 500 * time.Millisecond, PauseGoal: 150 * time.Millisecond}
	b.ReportAllocs()
	reported := time.Now()
	for b.Loop() {
		now := time.Now()
		if now.Sub(reported) > 70*time.Millisecond {
			b.StopTimer()
			report(r, now)
			reported = now
			b.StartTimer()
		}
		x := &exchange{r: r, route: route, service: "s", arrived: now, deadline: now.Add(8 * time.Second)}
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

// BenchmarkReport measures how a router applies the loads of three groups of 24 ranks.
func BenchmarkReport(b *testing.B) {
	r := newRankedRelay(b)
	b.ReportAllocs()
	for b.Loop() {
		report(r, time.Now())
	}
}

// BenchmarkRelay measures a request of a plain service from the caller through a router to the
// upstream and back, on persistent connections over loopback. own-us is the time from the head of
// the request to its first byte at the upstream.
func BenchmarkRelay(b *testing.B) {
	arrived := make(chan time.Time, 1)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	up := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		arrived <- time.Now()
		w.Header().Set("Id", req.Header.Get("Id"))
		_, _ = w.Write([]byte(strings.Repeat("x", 800)))
	}))
	_ = up.Listener.Close()
	up.Listener = l
	up.Start()
	b.Cleanup(up.Close)
	r := newRelay()
	b.Cleanup(r.Close)
	u := upstream.Instance{ID: "u0", Service: "s", Address: l.Addr().String(), Slots: 4, State: upstream.StateReady}
	r.WithState(func(k *knowledge.State) {
		k.ApplyCatalogs(time.Now(), catalogs(time.Now()))
		k.ApplyUpstreams(time.Now(), knowledge.Segment[upstream.Instance]{Whole: true, Next: position(1), AsOf: time.Now(), Changes: []services.Change[upstream.Instance]{{Key: "u0", Value: &u}}})
	})
	var began time.Time
	front := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		began = time.Now()
		r.ServeHTTP(w, req)
	}))
	b.Cleanup(front.Close)
	var own time.Duration
	n := 0
	b.ReportAllocs()
	for b.Loop() {
		req, _ := http.NewRequestWithContext(b.Context(), http.MethodGet, front.URL+"/safe/x", nil)
		req.Host = "h"
		req.Header.Set("Id", "r1")
		req.Header.Set("Key", "k")
		resp, err := front.Client().Do(req)
		if err != nil || resp.StatusCode != http.StatusOK {
			b.Fatalf("%v, %v", resp, err)
		}
		_, _ = resp.Body.Read(make([]byte, 1<<10))
		_ = resp.Body.Close()
		own += (<-arrived).Sub(began)
		n++
		r.WithState(func(k *knowledge.State) {
			k.ApplyCatalogs(time.Now(), knowledge.Segment[catalog.Update]{From: position(1), Next: position(1), AsOf: time.Now()})
		})
	}
	b.ReportMetric(float64(own.Microseconds())/float64(n), "own-us/op")
}
