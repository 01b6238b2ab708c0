// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package membership

import (
	"testing"
	"time"

	"fawnwinch.org/fawnwinch/models/vm"
)

// TestKnown checks when a router knows how many routers there are. It guards against a router that
// uses the retries of all because it has no contact to the others.
func TestKnown(t *testing.T) {
	list := func(addresses ...string) []vm.VM {
		var out []vm.VM
		for _, a := range addresses {
			out = append(out, vm.VM{Role: vm.RoleRouter, RPC: a})
		}
		return out
	}
	beat := func(r *Routers, address string) {
		r.ApplyBeat(start, RouterBeat{Info: RouterInfo{ID: address, Incarnation: address, RPC: address}})
	}
	cases := map[string]struct {
		seeds []string
		do    func(r *Routers)
		at    time.Duration
		want  int
		known bool
	}{
		"starting":                    {nil, func(*Routers) {}, 0, 1, false},
		"alone by the list":           {[]string{"self"}, func(r *Routers) { r.SetVMs(start, list("self")) }, 0, 1, true},
		"seeds do not answer":         {[]string{"self", "b"}, func(r *Routers) { r.SetVMs(start, list("self")) }, 0, 2, false},
		"one of the others is heard":  {[]string{"self", "b"}, func(r *Routers) { r.SetVMs(start, list("self", "b", "c")); beat(r, "b") }, 0, 3, true},
		"all others have gone silent": {nil, func(r *Routers) { r.SetVMs(start, list("b", "c")); beat(r, "b") }, 5 * time.Second, 3, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := NewRouters(testInterval, RouterInfo{ID: "a", RPC: "self"}, c.seeds)
			c.do(r)
			if got, known := r.Known(start.Add(c.at)); got != c.want || known != c.known {
				t.Errorf("%d, %v, want %d, %v", got, known, c.want, c.known)
			}
		})
	}
}
