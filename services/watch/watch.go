// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package watch decides when a router reads a feed of the platform's store. Store calls cost money,
// so one router reads each feed and passes the updates on to the others. A router that receives
// nothing reads the feed itself before its state is too old.
package watch

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// waitFraction is the fraction of the propagation limit (see NewTimes) that a read waits for
	// updates. The state of the other routers is at most as old as two reads, one finished and one in
	// progress, and a gossip exchange.
	waitFraction = 0.25
	// ownReadFraction is the fraction of the same limit after which a router reads the feed itself.
	// The rest of the limit is left for that read.
	ownReadFraction = 0.75
	// gainFraction is the fraction of the same limit by which a router's state must become fresher
	// before it passes that on at once. A confirmation that nothing has changed travels with each
	// periodic message otherwise, one hop in 0.4 s, and routers some hops from the reader would all
	// read the feed themselves.
	gainFraction = 0.125
	// minBackoff is the back-off after the first failed read; it doubles with each failure, up to
	// maxBackoff. The first router that reaches the store again notifies all others, so a long
	// back-off delays no router.
	minBackoff = 150 * time.Millisecond
	maxBackoff = 1200 * time.Millisecond
)

// Times holds the timing of a feed's reads.
type Times struct {
	// Wait is how long a read waits for updates.
	Wait time.Duration
	// Own is the age of the state from which a router reads the feed itself although another router is
	// its reader.
	Own time.Duration
	// Gain is the increase of freshness that is passed on at once.
	Gain time.Duration
}

// NewTimes returns the times for a feed whose updates must be in force at all routers within a
// time.
func NewTimes(within time.Duration) Times {
	return Times{Wait: time.Duration(waitFraction * float64(within)), Own: time.Duration(ownReadFraction * float64(within)), Gain: time.Duration(gainFraction * float64(within))}
}

// ReaderOf returns the router that reads a feed, given the routers that are alive and reach the
// store, or "" if there are none. Routers with the same list choose the same reader (rendezvous
// hashing); feeds are spread over the routers.
func ReaderOf(feed string, routers []string) string {
	var best string
	var maxScore uint64
	for _, name := range routers {
		score := xxhash.Sum64String(feed + "/" + name)
		if best == "" || score > maxScore || (score == maxScore && name < best) {
			best, maxScore = name, score
		}
	}
	return best
}

// FeedState is a router's state of a feed and of its own reads of it.
type FeedState struct {
	// Known reports whether the feed was read or received since the start.
	Known bool
	// AsOf is the latest time at which the state was known to be current.
	AsOf time.Time
	// Mine reports whether this router is the reader of the feed.
	Mine bool
	// Behind reports whether other routers have had a newer state for some time.
	Behind bool
	// Anew is the time until which this router waits to receive from others a feed that the store has
	// restarted. After that it has to read the full snapshot itself.
	Anew time.Time
	// Patient is the time until which a router that has just started waits to receive the feed from
	// others.
	Patient time.Time
	// Failures counts the failed reads since the last successful one. Tried is the end of the latest
	// read.
	Failures int
	Tried    time.Time
}

// Next returns the time of the router's next read of the feed. A router whose reads fail keeps
// retrying even while it receives updates from others, so that it learns when the store is
// reachable again.
func (t Times) Next(now time.Time, r FeedState) time.Time {
	switch {
	case r.Failures > 0:
		return r.Tried.Add(backoff(r.Failures))
	case now.Before(r.Patient) && !r.Known:
		return r.Patient
	case !r.Known, r.Mine, r.Behind:
		return now
	case now.Before(r.Anew):
		return r.Anew
	default:
		return r.AsOf.Add(t.Own)
	}
}

func backoff(failures int) time.Duration {
	p := minBackoff
	for ; failures > 1 && p < maxBackoff; failures-- {
		p *= 2
	}
	return min(p, maxBackoff)
}
