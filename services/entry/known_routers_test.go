// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package entry

import (
	"fmt"
	"testing"
	"time"

	"fawnwinch.org/fawnwinch/models/vm"
	"fawnwinch.org/fawnwinch/services/peer"

	"github.com/rs/zerolog"
)

// TestKnownRouters checks when a router knows how many routers there are. It guards against a router
// that uses the retries of all because it was cut off from the others.
func TestKnownRouters(t *testing.T) {
	cases := map[string]struct {
		// heard holds how long ago messages of other routers arrived, and registered the routers in
		// the store; nil if they were not read.
		heard      []time.Duration
		registered map[string]string
		want       int
		known      bool
	}{
		"starting":                       {nil, nil, 1, false},
		"alone":                          {nil, map[string]string{"a": "self"}, 1, true},
		"others are registered":          {nil, map[string]string{"a": "self", "b": "x", "c": "y"}, 3, false},
		"others are in contact":          {[]time.Duration{0, 0}, nil, 3, true},
		"one of them is silent":          {[]time.Duration{0, 30 * time.Second}, nil, 3, true},
		"all of them are":                {[]time.Duration{30 * time.Second, 30 * time.Second}, nil, 3, false},
		"more are registered than known": {[]time.Duration{0}, map[string]string{"a": "self", "b": "x", "c": "y"}, 3, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			rl := quietRelay()
			t.Cleanup(rl.Close)
			r := New(Options{Self: peer.Info{Name: "a", Role: vm.RoleRouter, Address: "self"}, Store: silentStore{}, Relay: rl, Logger: zerolog.Nop()})
			now := time.Now()
			for i, ago := range c.heard {
				n := fmt.Sprint("r", i)
				other := peer.NewTable(now.Add(-time.Minute), peer.Info{Name: n, Role: vm.RoleRouter, Address: n})
				r.table.Receive(now.Add(-ago), other.GossipFor("a"))
			}
			if c.registered != nil {
				r.queueUncontacted(&registry{addresses: c.registered})
			}
			r.mu.Lock()
			defer r.mu.Unlock()
			r.table.Sweep(now)
			if got, known := r.knownRouters(now); got != c.want || known != c.known {
				t.Errorf("%d, %v, want %d, %v", got, known, c.want, c.known)
			}
		})
	}
}
