// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package urgency_test

import (
	"fmt"
	"slices"
	"testing"

	"fawnwinch.org/fawnwinch/models/urgency"
)

// An account's priority goes before that of the route.
func ExampleUrgency_Compare() {
	list := []urgency.Urgency{{Account: 1, Route: 0}, {Account: 0, Route: 2}, {Account: 1, Route: 2}}
	slices.SortFunc(list, urgency.Urgency.Compare)
	fmt.Println(list)
	// Output: [{0 2} {1 0} {1 2}]
}

// TestLevels guards against routes that share a level although their priorities differ, and
// against levels beyond the bound.
func TestLevels(t *testing.T) {
	cases := map[string]struct {
		priorities []int
		ranked     bool
		// of maps priorities to their levels.
		of map[int]urgency.Level
	}{
		"no route":              {nil, false, map[int]urgency.Level{0: 0, 5: 0}},
		"one priority":          {[]int{2, 2, 2}, false, map[int]urgency.Level{0: 0, 2: 0, 7: 0}},
		"three":                 {[]int{2, 0, 1, 0}, true, map[int]urgency.Level{0: 0, 1: 1, 2: 2, 9: 2}},
		"more than the maximum": {[]int{5, 4, 3, 2, 1, 0}, true, map[int]urgency.Level{0: 0, 3: 3, 4: 3, 5: 3}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			l := urgency.NewLevels(c.priorities)
			if l.Ranked() != c.ranked || len(l) > urgency.MaxLevels {
				t.Errorf("levels %v, ranked %t, want ranked %t", l, l.Ranked(), c.ranked)
			}
			for priority, want := range c.of {
				if got := l.Level(priority); got != want {
					t.Errorf("level of %d is %d, want %d", priority, got, want)
				}
			}
		})
	}
}
