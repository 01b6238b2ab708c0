// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package expertmap

import (
	"reflect"
	"testing"
)

// TestChange applies the change between two maps to the map of a receiver.
func TestChange(t *testing.T) {
	base := &Map{Group: "g", Version: 3, Layers: []Layer{{Slots: [][]Expert{{0, 1, Free}, {2, Free, 3}}}}}
	next := base.Clone()
	next.Version = 4
	next.Layers[0].Slots[0][2] = 3
	next.Layers[0].Slots[1][2] = 1
	moved := base.Clone()
	moved.Layers[0].Slots[1] = []Expert{2, 3, Free}
	old := base.Clone()
	old.Version = 2
	change, ok := next.ChangeFrom(base)
	if !ok || len(change.Slots) != 2 {
		t.Fatalf("change %+v, want two slots", change)
	}
	outside := change
	outside.Slots = append([]SlotChange{{Layer: 0, Rank: 2, Slot: 0}}, change.Slots...)
	cases := map[string]struct {
		receiver *Map
		change   Change
		want     bool
	}{
		"the sender's base":               {base, change, true},
		"an older map":                    {old, change, false},
		"the same experts in other slots": {moved, change, false},
		"a slot that does not exist":      {base, outside, false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			got, ok := tc.receiver.Apply(tc.change, 4)
			if ok != tc.want {
				t.Fatalf("applied: %t, want %t", ok, tc.want)
			}
			if ok && !reflect.DeepEqual(got, next) {
				t.Errorf("got %+v, want %+v", got, next)
			}
		})
	}
	if base.Layers[0].Slots[0][2] != Free {
		t.Error("the base was changed")
	}
	if _, ok := (&Map{Layers: []Layer{{}}}).ChangeFrom(base); ok {
		t.Error("a change between maps of different sizes")
	}
}
