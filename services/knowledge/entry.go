// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package knowledge

import (
	"time"

	"fawnwinch.org/fawnwinch/models/upstream"
	"fawnwinch.org/fawnwinch/services"
)

const (
	// removedRetention is how long the run of an upstream is remembered after its entry was
	// removed. A store restored from a copy lists it again; copies are some seconds old.
	removedRetention = time.Minute
	// relistDelay is how long such a run gets no work although it is listed. The store drops
	// entries that are not renewed within that time.
	relistDelay = 5 * time.Second
)

// entry is the state of one upstream.
type entry struct {
	instance upstream.Instance
	// at is the position of the entry in the feed.
	at services.Position
	// removedAt is when the entry was removed from the store, or zero. expired reports whether that
	// is too long ago for the upstream to be used.
	removedAt time.Time
	expired   bool
	// unusableUntil is the time until which the upstream gets no work, because the copy that lists
	// it may be older than the end of the upstream.
	unusableUntil time.Time
}

// relisted returns the entry of a run that is listed again at a position. A record from a copy
// is not newer than what was known of the run before the restore: it neither gives back an address
// nor reverts the fact that the run is leaving or has left.
func (e *entry) relisted(now time.Time, i upstream.Instance, at services.Position, returned bool) *entry {
	next := &entry{instance: i, at: at}
	if e.instance.State == upstream.StateLeaving {
		next.instance.State = upstream.StateLeaving
	}
	if !returned || e.at.Offset < at.Offset {
		return next
	}
	next.at, next.unusableUntil = e.at, e.unusableUntil
	if !e.removedAt.IsZero() {
		next.unusableUntil = now.Add(relistDelay)
	}
	return next
}
