// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package quarantine

import "time"

// Entry is the stored form of a refused key. The platform's store keeps it, so that the refusal
// survives the loss of all routers.
type Entry struct {
	Key Key
	// At is the time at which the ages of the crashes were computed.
	At      time.Time
	Crashes []Crash
}

// Name returns the key of the entry in the store.
func (e Entry) Name() string { return e.Key.name() }

// Refused returns an entry for each refused key.
func (r *Register) Refused(now time.Time) []Entry {
	var out []Entry
	for k, rec := range r.records {
		if r.JudgeKey(now, k).Standing != StandingRefused {
			continue
		}
		e := Entry{Key: k, At: now}
		for run, c := range rec.crashes {
			e.Crashes = append(e.Crashes, c.export(now, k, run))
		}
		out = append(out, e)
	}
	return out
}

// Restore adds the crashes of an entry to the register. The clocks of two VMs may differ: an entry
// from the future is treated as written now.
func (r *Register) Restore(now time.Time, e Entry) {
	for _, c := range e.Crashes {
		c.Key = e.Key
		c.Age += max(now.Sub(e.At), 0)
		r.Add(now, c)
	}
}
