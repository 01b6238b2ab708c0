// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package relay

import (
	"net"
	"testing"
	"time"

	"fawnwinch.org/fawnwinch/models/upstream"
	"fawnwinch.org/fawnwinch/modules/clock"
	"fawnwinch.org/fawnwinch/modules/clock/clocktest"
	"fawnwinch.org/fawnwinch/modules/httpconn"
	"fawnwinch.org/fawnwinch/services"
	"fawnwinch.org/fawnwinch/services/knowledge"
)

// TestSuspended suspends the VM of a router for longer than an old catalog may be used to accept
// keys, and for longer than connections stay idle. A clock that does not count suspensions reports
// the catalog as 1 s old when a key was revoked 6 s ago, and idle connections as usable that the
// upstream has closed. The router then accepts revoked keys for as long as it was suspended beyond
// the limit, and loses requests that may not be repeated. With such a clock the test logs:
//
//	event=answered catalog_age_ms=1005 reason=answered status=200
func TestSuspended(t *testing.T) {
	cases := map[string]struct {
		suspended time.Duration
		// confirmed reports whether the router learns right after the suspension that its catalog
		// is the newest.
		confirmed   bool
		status      int
		connections uint64
	}{
		"not suspended":                      {0, false, 200, 1},
		"a key may have been taken away":     {6 * time.Second, false, 503, 1},
		"it was not, and connections rested": {6 * time.Second, true, 200, 2},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			vm := clocktest.New(t)
			f := newFake(t, func(_ int, h map[string]string, conn net.Conn) { writeAnswer(conn, h["Id"], "ok") })
			s, r := start(t, f)
			r.conns = httpconn.NewPool(time.Minute)
			r.WithState(func(k *knowledge.State) {
				*k = *knowledge.New(time.Minute)
				k.ApplyCatalogs(time.Now(), catalogs(clock.Now().Add(-time.Second)))
				u := upstream.Instance{ID: "u0", Service: "s", Address: f.address, Slots: 4, State: upstream.StateReady}
				k.ApplyUpstreams(clock.Now(), knowledge.Segment[upstream.Instance]{
					Whole: true, Next: position(1), AsOf: clock.Now(), Changes: []services.Change[upstream.Instance]{{Key: "u0", Value: &u}},
				})
			})
			if status, _, _, _ := get(t.Context(), t, s, "/unsafe/x", nil); status != 200 {
				t.Fatalf("status %d before", status)
			}
			vm.Suspend(c.suspended)
			if c.confirmed {
				r.WithState(func(k *knowledge.State) { k.ApplyCatalogs(time.Now(), catalogs(clock.Now())) })
			}
			if status, _, _, _ := get(t.Context(), t, s, "/unsafe/x", nil); status != c.status {
				t.Errorf("status %d, want %d", status, c.status)
			}
			if got := r.Connections(); got != c.connections {
				t.Errorf("%d connections opened, want %d", got, c.connections)
			}
		})
	}
}
