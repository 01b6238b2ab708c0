// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package relay

import (
	"context"
	"net"
	"testing"
	"time"

	"fawnwinch.org/fawnwinch/models/catalog"
	"fawnwinch.org/fawnwinch/models/group"
	"fawnwinch.org/fawnwinch/services"
	"fawnwinch.org/fawnwinch/services/balance"
	"fawnwinch.org/fawnwinch/services/knowledge"
)

// TestReroute checks which requests at a rank that has frozen are sent to another group, instead of
// waiting until their callers leave.
func TestReroute(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nId: r1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	event := func(n string) string { return "id: " + n + "\ndata: x\n\n" }
	chunk := func(s string) string { return "f\r\n" + s + "\r\n" }
	stalled := balance.RankLoad{Silent: true}
	cases := map[string]struct {
		path string
		// begun reports whether the first event arrives before the rank freezes.
		begun bool
		// other is the rank of the other group, and room the number of requests that it accepts.
		other    balance.RankLoad
		room     int
		attempts int
		rerouted bool
	}{
		"a stream that has not begun":   {"/stream/x", false, balance.RankLoad{}, 1, 2, true},
		"a stream that has begun":       {"/stream/x", true, balance.RankLoad{}, 1, 2, true},
		"a request that may be retried": {"/safe/x", false, balance.RankLoad{}, 1, 2, true},
		"a request that may not":        {"/unsafe/x", false, balance.RankLoad{}, 1, 2, false},
		"its only attempt":              {"/stream/x", false, balance.RankLoad{}, 1, 1, false},
		"the other group has no room":   {"/stream/x", false, balance.RankLoad{}, 0, 2, false},
		"the other group is stalled":    {"/stream/x", false, stalled, 1, 2, false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			arrived := make(chan struct{})
			silent := newFake(t, func(_ int, _ map[string]string, c net.Conn) {
				if tc.begun {
					writef(c, "%s%s", head, chunk(event("1")))
				}
				close(arrived)
			})
			other := newFake(t, func(_ int, h map[string]string, c net.Conn) {
				switch {
				case tc.path != "/stream/x":
					writeAnswer(c, h["Id"], event("1")+event("2"))
				case h["Last"] == "1":
					writef(c, "%s%s0\r\n\r\n", head, chunk(event("2")))
				default:
					writef(c, "%s%s%s0\r\n\r\n", head, chunk(event("1")), chunk(event("2")))
				}
			})
			s, r := start(t, silent, other)
			c := testCatalog
			c.Version, c.Services = 4, []catalog.Service{{ID: "s", Engine: &catalog.Engine{Slots: 4}}}
			c.Routes = append([]catalog.Route(nil), c.Routes...)
			for i := range c.Routes {
				c.Routes[i].MaxAttempts = tc.attempts
			}
			r.WithState(func(k *knowledge.State) {
				k.ApplyCatalogs(time.Now(), knowledge.Segment[catalog.Update]{Whole: true, Next: position(2), AsOf: time.Now(), Changes: []services.Change[catalog.Update]{{Value: &catalog.Update{Catalog: &c}}}})
			})
			report := func(now time.Time, id group.ID, rank balance.RankLoad, room int) {
				rank.Pace = 1
				r.Report(now, balance.Group{Service: "s", ID: id, Open: true, Whole: true, Stalled: rank.Silent, Ranks: []balance.RankLoad{rank}, Places: balance.Allotment{rank.Address: room}})
			}
			now := time.Now()
			report(now, "g1", balance.RankLoad{Address: other.address}, 0)
			report(now, "g0", balance.RankLoad{Address: silent.address}, 1)
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			type result struct {
				status int
				body   string
				err    error
			}
			done := make(chan result, 1)
			go func() {
				status, _, body, err := get(ctx, t, s, tc.path, map[string]string{"Patience": "600"})
				done <- result{status, body, err}
			}()
			<-arrived
			now = time.Now()
			tc.other.Address = other.address
			report(now, "g1", tc.other, tc.room)
			report(now, "g0", balance.RankLoad{Address: silent.address, Silent: true}, 0)
			got := <-done
			if whole := got.status == 200 && got.err == nil && got.body == event("1")+event("2"); whole != tc.rerouted {
				t.Errorf("status %d, body %q, %v", got.status, got.body, got.err)
			}
			if n := other.got.Load(); (n > 0) != tc.rerouted {
				t.Errorf("the other group got %d requests", n)
			}
		})
	}
}
