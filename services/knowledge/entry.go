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
	// removed. A store that was restored from a backup may list it again; backups are some seconds
	// old.
	removedRetention = time.Minute
	// relistDelay is how long a removed run gets no work after a restored store lists it again. The
	// store drops entries that are not renewed within that time, so a run that is still listed
	// afterwards is alive.
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
	// unusableUntil is the time until which the upstream gets no work: the backup that lists it may
	// have been made before the upstream ended.
	unusableUntil time.Time
	// coldUntil is the time until which the upstream is cold.
	coldUntil time.Time
}

// newEntry returns the entry of an upstream that was read at a time.
func newEntry(now time.Time, i upstream.Instance, at services.Position) *entry {
	return &entry{instance: i, at: at, coldUntil: now.Add(i.Cold)}
}

// relisted returns the entry of a run that is listed again at a position. A run that was leaving
// stays leaving. restored reports whether the store was restored from a backup since its last read.
// A restored store keeps the offsets of the records in the backup. A record without a higher offset
// may then be older than the known entry: the entry keeps its position, so that the upstream does
// not take its address back from a later one, and a run that was removed gets no work for
// relistDelay.
func (e *entry) relisted(now time.Time, i upstream.Instance, at services.Position, restored bool) *entry {
	next := newEntry(now, i, at)
	if e.instance.State == upstream.StateLeaving {
		next.instance.State = upstream.StateLeaving
	}
	if !restored || e.at.Offset < at.Offset {
		return next
	}
	next.at, next.unusableUntil = e.at, e.unusableUntil
	if !e.removedAt.IsZero() {
		next.unusableUntil = now.Add(relistDelay)
	}
	return next
}
