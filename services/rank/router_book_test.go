// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package rank

import (
	"testing"
	"time"

	"fawnwinch.org/fawnwinch/services/balance"
)

// TestRouterBook follows a coordinator's reports and the routers' answers, late and lost ones too: places
// that may be in use are not given out again.
func TestRouterBook(t *testing.T) {
	at := func(ms int) time.Time { return begin.Add(time.Duration(ms) * time.Millisecond) }
	ranks := []balance.RankLoad{{Address: "e"}}
	bounds := &balance.Bounds{Rank: 8, Mean: 8}
	sum := func(places map[string]balance.Places) int {
		n := 0
		for _, p := range places {
			n += p["e"]
		}
		return n
	}
	b := newRouterBook()
	names := []string{"a", "b"}
	first, places := b.report(at(0), names, ranks, bounds)
	if len(places) != 0 {
		t.Errorf("routers that have never answered got places %v", places)
	}
	b.answered(at(5), "a", first, nil, 3)
	b.answered(at(5), "b", first, nil, 0)
	second, places := b.report(at(70), names, ranks, bounds)
	if sum(places) != 8 || places["a"]["e"] <= places["b"]["e"] {
		t.Errorf("places %v, want 8, most of them for the busy router", places)
	}
	b.answered(at(75), "a", second, balance.Unstarted{"e": 1}, 3)
	if _, places = b.report(at(140), names, ranks, bounds); sum(places) != 0 {
		t.Errorf("places %v, but all may be in use", places)
	}
	if n := b.unstarted(at(140), "e"); n != 1 {
		t.Errorf("%d requests have not begun, want 1", n)
	}
	third, _ := b.report(at(210), names, ranks, bounds)
	b.answered(at(215), "a", third, nil, 0)
	b.answered(at(216), "a", second, balance.Unstarted{"e": 5}, 0)
	if n := b.unstarted(at(220), "e"); n != 0 {
		t.Errorf("an answer that came late counts: %d requests have not begun", n)
	}
	_, places = b.report(at(1100), names, ranks, bounds)
	if got, ok := places["a"]; !ok || got["e"] != 8 {
		t.Errorf("places %v: those of a router that has fallen silent must come back", places)
	}
	if _, ok := places["b"]; ok {
		t.Error("a router that has fallen silent got places")
	}
	if _, places = b.report(at(1110), names, ranks, nil); places != nil {
		t.Errorf("places %v without bounds", places)
	}
}
