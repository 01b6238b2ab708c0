// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package relay

import (
	"net"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"fawnwinch.org/fawnwinch/models/catalog"
	"fawnwinch.org/fawnwinch/models/upstream"
	"fawnwinch.org/fawnwinch/models/vm"
	"fawnwinch.org/fawnwinch/services"
	"fawnwinch.org/fawnwinch/services/knowledge"
)

// TestHomes sends requests that a route, an account or both restrict to some regions, past upstreams
// in three regions. A request without an allowed upstream is rejected at once.
func TestHomes(t *testing.T) {
	cases := map[string]struct {
		route, account []vm.Region
		evacuated      vm.DataCentre
		// want holds the data centres whose upstreams may get the requests.
		want string
	}{
		"none":                          {want: "abc"},
		"of the route":                  {route: []vm.Region{"north"}, want: "a"},
		"of the account":                {account: []vm.Region{"south", "north"}, want: "ab"},
		"of both":                       {route: []vm.Region{"north", "south"}, account: []vm.Region{"south"}, want: "b"},
		"of both, without a common one": {route: []vm.Region{"north"}, account: []vm.Region{"south"}},
		"a region without upstreams":    {route: []vm.Region{"west"}},
		"the only one is evacuated":     {route: []vm.Region{"north"}, evacuated: "a"},
		"another one is evacuated":      {route: []vm.Region{"north"}, evacuated: "b", want: "a"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := newRelay()
			r.opts.Regions = vm.Regions{"a": "north", "b": "south", "c": "east"}
			k := testCatalog
			k.Routes = []catalog.Route{k.Routes[0]}
			k.Routes[0].Homes = c.route
			k.Accounts = []catalog.Account{{ID: "seiryu", Keys: []catalog.Key{"k"}, Homes: c.account}}
			fakes := map[string]*fake{}
			var list []services.Change[upstream.Instance]
			for _, dc := range []string{"a", "b", "c"} {
				f := newFake(t, func(_ int, h map[string]string, conn net.Conn) { writeAnswer(conn, h["Id"], "ok") })
				fakes[dc] = f
				list = append(list, services.Change[upstream.Instance]{Key: dc, Value: &upstream.Instance{
					ID: upstream.ID(dc), Service: "s", Address: f.address, DataCentre: vm.DataCentre(dc), Slots: 1, State: upstream.StateReady,
				}})
			}
			now := time.Now()
			updates := []services.Change[catalog.Update]{{Value: &catalog.Update{Catalog: &k}}}
			if c.evacuated != "" {
				updates = append(updates, services.Change[catalog.Update]{Value: &catalog.Update{Evacuation: &catalog.Evacuation{DataCentre: c.evacuated}}})
			}
			r.WithState(func(s *knowledge.State) {
				s.ApplyCatalogs(now, knowledge.Segment[catalog.Update]{Whole: true, Next: position(1), AsOf: now, Changes: updates})
				s.ApplyUpstreams(now, knowledge.Segment[upstream.Instance]{Whole: true, Next: position(1), AsOf: now, Changes: list})
			})
			s := httptest.NewServer(r)
			t.Cleanup(func() { s.Close(); r.Close() })
			for range 12 {
				began := time.Now()
				status, header, _, err := get(t.Context(), t, s, "/safe/x", nil)
				switch {
				case err != nil:
					t.Fatal(err)
				case c.want != "" && status != 200:
					t.Errorf("status %d, want 200", status)
				case c.want == "" && (status != 503 || header.Get("Retry-After") == "" || time.Since(began) > 300*time.Millisecond):
					t.Errorf("status %d with Retry-After %q after %s, want a rejection at once", status, header.Get("Retry-After"), time.Since(began))
				}
			}
			for dc, f := range fakes {
				if !strings.Contains(c.want, dc) && f.got.Load() > 0 {
					t.Errorf("%d requests reached data centre %s, allowed are those in %q", f.got.Load(), dc, c.want)
				}
			}
		})
	}
}
