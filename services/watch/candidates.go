// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package watch

import "time"

const (
	// settledAfter is the time for which a router's entry must be unchanged before the router counts
	// as a reader. When all routers start, each at first knows few of the others, and would
	// otherwise find itself the reader.
	settledAfter = time.Second
	// contactTimeout is how long a router that has just started waits for contact with one that may
	// have state, before it reads the store, and maxStartWait how long it waits for that state while
	// it is in contact. Each read at start is paid for, and after a loss of power all routers start
	// at once.
	contactTimeout = 500 * time.Millisecond
	maxStartWait   = 3 * time.Second
)

// Candidate is a running router that may become the reader of a feed.
type Candidate struct {
	Name string
	// Ready reports whether the router accepts callers, and Unchanged for how long its entry has not
	// changed.
	Ready     bool
	Unchanged time.Duration
	// Seed reports whether the router's address is one of the seeds.
	Seed bool
}

// Candidates returns the names of the routers among which the reader of a feed is chosen: those that
// have been ready for a while; if there are none, as when all have just started, the seeds; and all
// routers if none of the seeds runs.
func Candidates(routers []Candidate) []string {
	var ready, seeds, all []string
	for _, c := range routers {
		all = append(all, c.Name)
		if c.Seed {
			seeds = append(seeds, c.Name)
		}
		if c.Ready && c.Unchanged >= settledAfter {
			ready = append(ready, c.Name)
		}
	}
	switch {
	case len(ready) > 0:
		return ready
	case len(seeds) > 0:
		return seeds
	}
	return all
}

// StartWait returns the time until which a router that started at a given time waits for state from
// the given other routers before it reads the store. Only a router that is ready or a seed has or
// reads state of its own.
func StartWait(started time.Time, others []Candidate) time.Time {
	for _, c := range others {
		if c.Ready || c.Seed {
			return started.Add(maxStartWait)
		}
	}
	return started.Add(contactTimeout)
}
