// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package entry

import (
	"context"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"testing"
	"time"

	"fawnwinch.org/fawnwinch/models/catalog"
	"fawnwinch.org/fawnwinch/models/request"
	"fawnwinch.org/fawnwinch/models/vm"
	"fawnwinch.org/fawnwinch/modules/httpx"
	"fawnwinch.org/fawnwinch/modules/metrics"
	"fawnwinch.org/fawnwinch/modules/rpc"
	"fawnwinch.org/fawnwinch/services"
	"fawnwinch.org/fawnwinch/services/balance"
	"fawnwinch.org/fawnwinch/services/knowledge"
	"fawnwinch.org/fawnwinch/services/peer"
	"fawnwinch.org/fawnwinch/services/relay"

	"github.com/rs/zerolog"
)

// returningCaller is a caller protocol whose callers have little time left, so that they wait for
// room whatever the forecast is.
type returningCaller struct{ services.CallerProtocol }

func (returningCaller) ParseRequest(http.Header) services.CallerMeta {
	return services.CallerMeta{ID: "r1", Patience: 7 * time.Second}
}

func (returningCaller) RefusalHeader(request.ID, time.Duration) http.Header { return http.Header{} }

// levelRecorder is a coordinator that records what routers ask with.
type levelRecorder struct {
	mu   sync.Mutex
	last balance.LoadRequest
}

// Report records the request and returns no load.
func (c *levelRecorder) Report(w balance.LoadRequest, _ *balance.Report) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last = w
	return nil
}

// TestLevelDemands guards against a coordinator that does not learn the levels of a router's demand,
// in a reply to its report or in a request for the load.
func TestLevelDemands(t *testing.T) {
	rl := relay.New(relay.Options{Protocol: returningCaller{}, Metrics: metrics.New("test"), Logger: zerolog.Nop()})
	t.Cleanup(rl.Close)
	pool := rpc.NewPool()
	t.Cleanup(pool.Close)
	r := New(Options{Self: peer.Info{Name: "a", Role: vm.RoleRouter}, Store: silentStore{}, Pool: pool, Relay: rl, Logger: zerolog.Nop()})
	l, err := httpx.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	coordinator, server := &levelRecorder{}, rpc.NewServer(l)
	if err := server.Register("Rank", coordinator); err != nil {
		t.Fatal(err)
	}
	server.Start()
	t.Cleanup(server.Close)
	now := time.Now()
	knowGroups(now, rl, "g")
	c := catalog.Catalog{Version: 2, Services: []catalog.Service{{ID: "m", Engine: &catalog.Engine{Slots: 2, Stride: 6, StepMillis: 5}}}}
	for priority, name := range []string{"urgent", "batch"} {
		c.Routes = append(c.Routes, catalog.Route{
			Name: name, Host: "h", Prefix: "/" + name, Kind: catalog.KindStream, Timeout: 8 * time.Second, Goal: time.Second, MaxAttempts: 1, Priority: priority,
			Targets: []catalog.Target{{Service: "m", Weight: 1}},
		})
	}
	rl.WithState(func(s *knowledge.State) {
		s.ApplyCatalogs(now, knowledge.Segment[catalog.Update]{Whole: true, Next: position(2), AsOf: now, Changes: []services.Change[catalog.Update]{{Value: &catalog.Update{Catalog: &c}}}})
	})
	// Three requests run at each rank of two slots, so there is no room.
	if reply := r.takeReport(now, reportOf("g", 1, l.Addr().String())); reply.Levels != nil {
		t.Errorf("levels %v before any request", reply.Levels)
	}
	ctx, cancel := context.WithCancel(t.Context())
	var w sync.WaitGroup
	for _, path := range []string{"/urgent", "/batch", "/batch"} {
		w.Go(func() {
			defer func() {
				// The handler aborts when the caller disconnects.
				if v := recover(); v != nil && v != http.ErrAbortHandler { //nolint:errorlint // the value that net/http compares
					panic(v)
				}
			}()
			rl.ServeHTTP(httptest.NewRecorder(), httptest.NewRequestWithContext(ctx, http.MethodGet, "http://h"+path, nil))
		})
	}
	want := []balance.LevelDemand{{Wanted: 1, Waiting: 1}, {Wanted: 2, Waiting: 2}}
	until(t, "the wait of three requests", func() bool {
		reply := r.takeReport(time.Now(), reportOf("g", 1, l.Addr().String()))
		return slices.Equal(reply.Levels, want) && reply.Wanted == 3 && reply.Waiting == 3
	})
	r.mu.Lock()
	g := r.groups["g"]
	g.reportedAt = time.Time{}
	r.groups["g"] = g
	r.mu.Unlock()
	r.askCoordinators(t.Context(), "m")
	coordinator.mu.Lock()
	if got := coordinator.last; !slices.Equal(got.Levels, want) || got.Wanted != 3 {
		t.Errorf("asked with levels %v and %d wanted, want %v", got.Levels, got.Wanted, want)
	}
	coordinator.mu.Unlock()
	cancel()
	w.Wait()
}
