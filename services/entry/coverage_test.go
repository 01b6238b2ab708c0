// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package entry

import (
	"bytes"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"fawnwinch.org/fawnwinch/models/catalog"
	"fawnwinch.org/fawnwinch/models/group"
	"fawnwinch.org/fawnwinch/models/service"
	"fawnwinch.org/fawnwinch/models/upstream"
	"fawnwinch.org/fawnwinch/modules/httpx"
	"fawnwinch.org/fawnwinch/modules/metrics"
	"fawnwinch.org/fawnwinch/modules/rpc"
	"fawnwinch.org/fawnwinch/modules/setting"
	"fawnwinch.org/fawnwinch/services"
	"fawnwinch.org/fawnwinch/services/balance"
	"fawnwinch.org/fawnwinch/services/knowledge"
	"fawnwinch.org/fawnwinch/services/relay"

	"github.com/rs/zerolog"
)

// ranksOf returns the addresses of the ranks of a group.
func ranksOf(g group.ID) []string { return []string{string(g) + "-0", string(g) + "-1"} }

// position returns a position in a store that was never restored from a copy.
func position(o services.Offset) services.Position { return services.Position{Offset: o} }

// knowGroups gives a router the catalog of a service with model groups, and the ranks of those
// groups.
func knowGroups(now time.Time, rl *relay.Relay, groups ...group.ID) {
	rl.WithState(func(s *knowledge.State) {
		c := catalog.Catalog{Version: 1, Services: []catalog.Service{{ID: "m", Engine: &catalog.Engine{Slots: 4}}, {ID: "plain"}}}
		s.ApplyCatalogs(time.Now(), knowledge.Segment[catalog.Update]{Whole: true, Next: position(1), AsOf: now, Changes: []services.Change[catalog.Update]{{Value: &catalog.Update{Catalog: &c}}}})
		var ups []services.Change[upstream.Instance]
		for _, g := range groups {
			for _, address := range ranksOf(g) {
				u := upstream.Instance{ID: upstream.ID(address), Service: "m", Address: address, State: upstream.StateReady, Slots: 4}
				ups = append(ups, services.Change[upstream.Instance]{Key: address, Value: &u})
			}
		}
		s.ApplyUpstreams(now, knowledge.Segment[upstream.Instance]{Whole: true, Next: position(1), AsOf: now, Changes: ups})
	})
}

// reportOf returns the report of a group's coordinator.
func reportOf(g group.ID, authority uint64, coordinator string) balance.Report {
	load := balance.Group{Service: "m", ID: g, Open: true, Whole: true, Skew: 1.5}
	for _, address := range ranksOf(g) {
		load.Ranks = append(load.Ranks, balance.RankLoad{Address: address, Running: 3})
	}
	r := balance.RankList{Number: 1, Addresses: ranksOf(g)}.Pack(load, 0)
	r.Authority, r.Coordinator = authority, coordinator
	return r
}

// TestGroupsStatus checks the group status for operators: the reported groups, and the ranks that
// no group reports.
func TestGroupsStatus(t *testing.T) {
	r, rl, address := router(t, "a")
	now := time.Now()
	knowGroups(now, rl, "g", "h")
	r.takeReport(now, reportOf("g", 7, "coordinator of g"))
	pool := rpc.NewPool()
	defer pool.Close()
	for _, of := range []service.ID{"", "m"} {
		var s GroupsStatus
		if err := pool.Call(t.Context(), address, "Router.Groups", of, &s); err != nil {
			t.Fatal(err)
		}
		if len(s.Groups) != 1 || s.Groups[0].Group != "g" || s.Groups[0].Authority != 7 || s.Groups[0].Running != 6 || !s.Groups[0].Open {
			t.Errorf("of %q: groups %+v", of, s.Groups)
		}
		if len(s.Coverage) != 1 || s.Coverage[0].Listed != 4 || !slices.Equal(s.Coverage[0].Unreported, ranksOf("h")) {
			t.Errorf("of %q: coverage %+v", of, s.Coverage)
		}
	}
}

// TestShortageStatus checks that operators see a service's shortage, and only that of the service
// for which they ask.
func TestShortageStatus(t *testing.T) {
	rl := relay.New(relay.Options{Bounds: setting.Bounds{ApplyTime: time.Second}, Protocol: returningCaller{}, Metrics: metrics.New("test"), Logger: zerolog.Nop()})
	t.Cleanup(rl.Close)
	pool := rpc.NewPool()
	t.Cleanup(pool.Close)
	l, err := httpx.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := rpc.NewServer(l)
	if err := server.Register("Router", NewAPI(New(Options{Store: silentStore{}, Pool: pool, Relay: rl, Logger: zerolog.Nop()}))); err != nil {
		t.Fatal(err)
	}
	server.Start()
	t.Cleanup(server.Close)
	rl.WithState(func(s *knowledge.State) {
		now := time.Now()
		route := catalog.Route{Name: "r", Host: "h", Prefix: "/", Kind: catalog.KindStream, Goal: time.Second, MaxAttempts: 1, Targets: []catalog.Target{{Service: "m", Weight: 1}}}
		c := catalog.Catalog{Version: 1, Routes: []catalog.Route{route}, Services: []catalog.Service{{ID: "m", Engine: &catalog.Engine{Slots: 4}}, {ID: "n", Engine: &catalog.Engine{Slots: 4}}}}
		s.ApplyCatalogs(now, knowledge.Segment[catalog.Update]{Whole: true, Next: position(1), AsOf: now, Changes: []services.Change[catalog.Update]{{Value: &catalog.Update{Catalog: &c}}}})
		s.ApplyUpstreams(now, knowledge.Segment[upstream.Instance]{Whole: true, Next: position(1), AsOf: now})
	})
	w := httptest.NewRecorder()
	if rl.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "http://h/x", nil)); w.Code != http.StatusServiceUnavailable {
		t.Fatalf("answered %d without an upstream", w.Code)
	}
	for of, want := range map[service.ID]int{"": 1, "m": 1, "n": 0} {
		var s GroupsStatus
		if err := pool.Call(t.Context(), l.Addr().String(), "Router.Groups", of, &s); err != nil {
			t.Fatal(err)
		}
		if len(s.Shortages) != want {
			t.Errorf("of %q: shortages %+v, want %d", of, s.Shortages, want)
		}
		for _, short := range s.Shortages {
			if short.Service != "m" || len(short.Levels) != 1 || short.Levels[0].Rejected != 1 {
				t.Errorf("of %q: shortage %+v", of, short)
			}
		}
	}
}

// TestLogCoverage checks when a router logs unreported ranks: after a delay, at long intervals,
// and once when they are reported again.
func TestLogCoverage(t *testing.T) {
	var logs bytes.Buffer
	rl := quietRelay()
	defer rl.Close()
	r := New(Options{Store: silentStore{}, Pool: rpc.NewPool(), Relay: rl, Logger: zerolog.New(&logs)})
	begin := time.Unix(1000, 0)
	knowGroups(begin, rl, "g", "h")
	report := func(at time.Duration, groups ...group.ID) {
		for _, g := range groups {
			r.takeReport(begin.Add(at), reportOf(g, 1, "c"))
		}
		r.noteCoverage(begin.Add(at))
	}
	steps := []struct {
		at     time.Duration
		groups []group.ID
		want   string
	}{
		{0, []group.ID{"g", "h"}, ""},
		{time.Second, []group.ID{"g"}, ""},
		{3 * time.Second, []group.ID{"g"}, ""},
		{4100 * time.Millisecond, []group.ID{"g"}, "ranks-unreported"},
		{6 * time.Second, []group.ID{"g"}, ""},
		{15 * time.Second, []group.ID{"g"}, "ranks-unreported"},
		{16 * time.Second, []group.ID{"g", "h"}, "ranks-reported"},
		{17 * time.Second, []group.ID{"g", "h"}, ""},
	}
	for _, s := range steps {
		logs.Reset()
		report(s.at, s.groups...)
		if got := logs.String(); (s.want == "") != (got == "") || !strings.Contains(got, s.want) {
			t.Errorf("at %s: logged %q, want %q", s.at, got, s.want)
		}
		if s.want == "ranks-unreported" && !strings.Contains(logs.String(), fmt.Sprintf("%q:%q", "addresses", "h-0,h-1")) {
			t.Errorf("at %s: %s does not name the ranks", s.at, logs.String())
		}
	}
}

// coordinatorOf serves the load of a group to routers, and counts the calls.
type coordinatorOf struct {
	group   group.ID
	address string
	asked   atomic.Int32
}

// Report returns the load of the group.
func (c *coordinatorOf) Report(_ balance.LoadRequest, r *balance.Report) error {
	c.asked.Add(1)
	*r = reportOf(c.group, 1, c.address)
	return nil
}

func newCoordinatorOf(t *testing.T, g group.ID) *coordinatorOf {
	t.Helper()
	l, err := httpx.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	c := &coordinatorOf{group: g, address: l.Addr().String()}
	server := rpc.NewServer(l)
	if err := server.Register("Rank", c); err != nil {
		t.Fatal(err)
	}
	server.Start()
	t.Cleanup(server.Close)
	return c
}

// TestSearchEachGroup checks that a router searches for the coordinator of each group. It guards
// against a search per service that ends with the first reported group: the ranks of the other
// groups then stayed unreported and got requests as if they were idle (`ranks-unreported
// unreported=24 listed=72 groups_known=2 groups_told=2`). The reported group need not be asked
// again.
func TestSearchEachGroup(t *testing.T) {
	a, ra, address := router(t, "a")
	b, rb, _ := router(t, "b", address)
	now := time.Now()
	knowGroups(now, ra, "g", "h")
	knowGroups(now, rb, "g", "h")
	a.becomeReady()
	b.becomeReady()
	until(t, "routers know each other", func() bool { return len(b.someRouters(1)) == 1 })
	g, h := newCoordinatorOf(t, "g"), newCoordinatorOf(t, "h")
	a.takeReport(now, reportOf("g", 1, g.address))
	a.takeReport(now, reportOf("h", 1, h.address))
	b.takeReport(time.Now(), reportOf("g", 1, g.address))
	b.searchCoordinators(t.Context(), "m")
	c := rb.Coverage(time.Now())
	if len(c) != 1 || len(c[0].Unreported) != 0 || h.asked.Load() == 0 {
		t.Errorf("coverage %+v, the coordinator of h was asked %d times", c, h.asked.Load())
	}
}
