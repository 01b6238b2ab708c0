// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package balance

import (
	"time"

	"fawnwinch.org/fawnwinch/models/catalog"
)

// catchUpTime is how long after its opening a group may have more requests than meet the pause
// goal. Filling the ranks of a group within its usual bounds takes 1.6 s while the skew of its
// first map is assumed.
const catchUpTime = time.Second

// Opening describes a group that may have opened with a backlog.
type Opening struct {
	// At is when the group opened; zero if it is closed or was already running when its coordinator
	// took over.
	At time.Time
	// Waiting is the number of requests that wait at the routers.
	Waiting int
	// Ranks is the number of ranks of the group.
	Ranks int
	// Goal is the shortest time within which first events earn full credit.
	Goal time.Duration
}

// CatchUpBounds returns the bounds of a group, which are its usual ones unless it is in catch-up. A
// group is in catch-up for catchUpTime after its opening, while more requests wait than its ranks
// can admit within the goal: all of these are late already, so passes beyond the pause goal cost no
// credit. It may use all slots then, and read as many prompts in a pass as one can.
func CatchUpBounds(now time.Time, e *catalog.Engine, l GroupLoad, usual Bounds, o Opening) Bounds {
	if o.At.IsZero() || now.Sub(o.At) >= catchUpTime || float64(o.Waiting) <= admittedWithin(e, l, usual, o) {
		return usual
	}
	b := usual
	b.Rank, b.Mean = max(b.Rank, e.Slots), max(b.Mean, e.Slots)
	tokens := e.Chunk * e.Stride
	if b.Unstarted > 0 && e.UsualPrompt > 0 {
		b.Unstarted = max(b.Unstarted, int(float64(tokens)/e.UsualPrompt))
	}
	if b.Unread > 0 {
		b.Unread = max(b.Unread, tokens)
	}
	return b
}

// admittedWithin forecasts how many requests the ranks of a group admit within the goal, which is
// limited by the free slots and by the prompts that are read in each pass.
func admittedWithin(e *catalog.Engine, l GroupLoad, b Bounds, o Opening) float64 {
	each := max(float64(b.Mean)-l.Writers, 0) + DrainRate(e, l, b)*o.Goal.Seconds()
	if pass := l.pass(e, float64(b.Unstarted)*e.UsualPrompt); b.Unstarted > 0 && pass > 0 {
		each = min(each, float64(b.Unstarted)*float64(o.Goal)/float64(pass))
	}
	return each * float64(o.Ranks)
}
