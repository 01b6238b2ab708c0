// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package urgency orders the requests of a service by the priorities of their accounts and routes.
package urgency

import (
	"cmp"
	"slices"
)

// Urgency is the urgency of a request. The priority of the account decides first, then that of the
// route; the smaller value is the more urgent one.
type Urgency struct{ Account, Route int }

// Compare returns -1, 0 or 1 if u is more urgent than o, as urgent or less urgent.
func (u Urgency) Compare(o Urgency) int {
	return cmp.Or(cmp.Compare(u.Account, o.Account), cmp.Compare(u.Route, o.Route))
}

// Level is the position of a route's priority among those of its service; 0 is the most urgent.
type Level int

// MaxLevels bounds the levels of a service, and with them the entries of a router's report and the
// labels of metrics.
const MaxLevels = 4

// Levels holds the distinct priorities of the routes of a service in ascending order, at most
// MaxLevels of them.
type Levels []int

// NewLevels returns the levels of a service whose routes have the given priorities.
func NewLevels(priorities []int) Levels {
	l := slices.Compact(slices.Sorted(slices.Values(priorities)))
	return l[:min(len(l), MaxLevels)]
}

// Ranked reports whether the routes of the service differ in priority.
func (l Levels) Ranked() bool { return len(l) > 1 }

// Level returns the level of a route's priority. Priorities beyond the last level belong to it.
func (l Levels) Level(priority int) Level {
	i, _ := slices.BinarySearch(l, priority)
	return Level(max(min(i, len(l)-1), 0))
}
