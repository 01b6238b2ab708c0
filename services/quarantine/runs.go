// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package quarantine

import (
	"maps"
	"slices"
	"time"
)

const (
	// maxRuns bounds the runs that are remembered because they clear keys without a recorded crash
	// so far: another router may report one later. They are remembered for runRetention.
	maxRuns      = 2048
	runRetention = time.Minute
	// partRunValid is how long a run of a part clears crashes after it. A part that was harmless
	// before a release of the upstreams may crash them now.
	partRunValid = time.Second
)

// runs remembers the longest latest run of each key.
type runs map[Key]run

// run is a remembered run.
type run struct {
	lasted time.Duration
	at     time.Time
	// first is when a run of the key was recorded for the first time.
	first time.Time
}

// margin returns by how much longer than a crash a run must have lasted to clear the key.
func (k Key) margin() time.Duration {
	if k.IsPart() {
		return partClearMargin
	}
	return clearMargin
}

// valid returns how long a run of the key clears crashes after it.
func (k Key) valid() time.Duration {
	if k.IsPart() {
		return partRunValid
	}
	return runRetention
}

// record remembers a run.
func (r runs) record(now time.Time, k Key, lasted time.Duration) {
	known, ok := r[k]
	current := ok && now.Sub(known.at) <= k.valid()
	switch {
	case current && k.IsPart():
		lasted = max(lasted, known.lasted)
	case current && lasted < known.lasted:
		return
	}
	first := now
	if ok {
		first = known.first
	}
	r[k] = run{lasted: lasted, at: now, first: first}
	if len(r) > maxRuns {
		r.drop(now)
	}
}

// clears reports whether a remembered run clears a crash of a key at a time.
func (r runs) clears(k Key, at time.Time, lasted time.Duration) bool {
	known, ok := r[k]
	return ok && at.Sub(known.at) <= k.valid() && lasted < known.lasted-k.margin()
}

// before reports whether a run of a key is remembered that was recorded before a time.
func (r runs) before(k Key, at time.Time) bool {
	known, ok := r[k]
	return ok && known.first.Before(at)
}

// drop drops the older half of the runs.
func (r runs) drop(now time.Time) {
	var ages []time.Duration
	for _, known := range r {
		ages = append(ages, now.Sub(known.at))
	}
	slices.Sort(ages)
	middle := ages[len(ages)/2]
	maps.DeleteFunc(r, func(_ Key, known run) bool { return now.Sub(known.at) >= middle })
}

// sweep drops expired runs.
func (r runs) sweep(now time.Time) {
	maps.DeleteFunc(r, func(_ Key, known run) bool { return now.Sub(known.at) > runRetention })
}
