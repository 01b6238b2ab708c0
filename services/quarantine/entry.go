// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package quarantine

import (
	"time"

	"fawnwinch.org/fawnwinch/models/request"
)

// Entry is what is kept in the platform's store of a refused request, so that it is known after a loss of all routers.
type Entry struct {
	Key Key
	// At is when the ages of the crashes were taken.
	At      time.Time
	Crashes []Crash
}

// Name returns the key of the entry in the store. Names of client accounts are too long for one.
func (e Entry) Name() string {
	return request.NewDigest([]byte(e.Key.Account), e.Key.Digest.String()).String()
}

// Refused returns an entry for each request that is refused.
func (r *Register) Refused(now time.Time) []Entry {
	var out []Entry
	for k, rec := range r.records {
		if r.Judge(now, k).Standing != StandingRefused {
			continue
		}
		e := Entry{Key: k, At: now}
		for run, c := range rec.crashes {
			e.Crashes = append(e.Crashes, c.told(now, k, run))
		}
		out = append(out, e)
	}
	return out
}

// Restore takes in an entry. The clocks of two VMs may differ: an entry of the future is one of now.
func (r *Register) Restore(now time.Time, e Entry) {
	for _, c := range e.Crashes {
		c.Key = e.Key
		c.Age += max(now.Sub(e.At), 0)
		r.Add(now, c)
	}
}
