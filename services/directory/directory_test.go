// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package directory

import (
	"testing"
	"time"

	"fawnwinch.org/fawnwinch/models/intent"
	"fawnwinch.org/fawnwinch/models/service"
	"fawnwinch.org/fawnwinch/models/upstream"
	"fawnwinch.org/fawnwinch/services/membership"
	"fawnwinch.org/fawnwinch/services/routing"
)

// TestServes checks that a router with a configuration but without a usable upstream accepts no
// callers: it would refuse requests that other routers can serve.
func TestServes(t *testing.T) {
	now := time.Now()
	in := &intent.Intent{Services: []service.Service{
		{ID: "ledger", Kind: service.KindPlain, Upstreams: []upstream.ID{"a", "b"}},
		{ID: "unused", Kind: service.KindPlain},
	}}
	cases := map[string]struct {
		beats []upstream.ID
		want  bool
	}{
		"no upstream is known yet":       {nil, false},
		"one upstream of a service":      {[]upstream.ID{"b"}, true},
		"an upstream that is not listed": {[]upstream.ID{"c"}, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			d := New(Options{Interval: membership.Interval(400 * time.Millisecond), Tracker: routing.Options{}})
			for _, id := range c.beats {
				b := membership.Beat{Upstream: id, Incarnation: "1", Service: "ledger", State: upstream.StateReady, RPC: "10.0.0.1:1"}
				b.Echo = d.table.ApplyBeat(now, b)
				d.table.ApplyBeat(now, b)
			}
			if got := d.hasUpstreams(now, in); got != c.want {
				t.Errorf("serves: %t, want %t", got, c.want)
			}
		})
	}
}
