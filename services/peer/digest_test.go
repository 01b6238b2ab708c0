// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package peer

import (
	"testing"

	"fawnwinch.org/fawnwinch/models/vm"
)

// TestDigest checks what makes a digest differ.
func TestDigest(t *testing.T) {
	a := Info{Name: "a", Role: vm.RoleRouter, Address: "10.0.0.1:1", Callers: "10.0.0.1:2", State: StateReady}
	b := Info{Name: "b", Role: vm.RoleRouter, Address: "10.0.0.2:1", Callers: "10.0.0.2:2", State: StateReady}
	whole := Digest([]Info{a, b})
	if Digest([]Info{b, a}) != whole {
		t.Error("the order of the processes counts")
	}
	cases := map[string]func(i *Info){
		"another name":        func(i *Info) { i.Name = "c" },
		"another address":     func(i *Info) { i.Address = "10.0.0.3:1" },
		"callers elsewhere":   func(i *Info) { i.Callers = "10.0.0.3:2" },
		"it leaves":           func(i *Info) { i.State = StateLeaving },
		"it lost the store":   func(i *Info) { i.StoreLost = true },
		"a shifted separator": func(i *Info) { i.Name, i.Address = "b10", ".0.0.2:1" },
	}
	for name, change := range cases {
		t.Run(name, func(t *testing.T) {
			other := b
			change(&other)
			if Digest([]Info{a, other}) == whole {
				t.Error("the digest is the same")
			}
		})
	}
	if Digest([]Info{a}) == whole || Digest(nil) == whole {
		t.Error("a process that is missing is not seen")
	}
}
