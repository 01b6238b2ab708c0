// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package entry

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"fawnwinch.org/fawnwinch/modules/sleep"
	"fawnwinch.org/fawnwinch/services"
	"fawnwinch.org/fawnwinch/services/knowledge"
	"fawnwinch.org/fawnwinch/services/watch"
)

// restMost bounds a rest between two looks at whether a feed is to be read: the choice of the reader
// changes as routers come and go.
const restMost = 200 * time.Millisecond

// follower keeps what is known of one feed up to date. It reads the store when that is this router's turn.
type follower[T any] struct {
	// name is what the feed is called in logs and in the choice of its reader.
	name  string
	feed  services.Feed[T]
	calls calls
	// mark returns how far the feed is known, and take takes in more of it.
	mark func() knowledge.Mark
	take func(p knowledge.Part[T]) knowledge.Fit
	// mine reports whether this router reads the feed for all.
	mine func(now time.Time) bool
	// tell passes on to the other routers what was read.
	tell func(p knowledge.Part[T])
	// note gets the outcome of each read.
	note func(err error)
	wake chan struct{}

	mu       sync.Mutex
	times    watch.Times
	behind   bool
	trimmed  bool
	failures int
	tried    time.Time
}

// calls holds the methods by which routers tell each other of a feed.
type calls struct {
	// news takes in a stretch that another router has read, and whole returns all that is known.
	news, whole string
}

// newFollower returns the follower of one of a router's feeds. Mark and take are still to be set.
func newFollower[T any](r *Router, name string, feed services.Feed[T], c calls) *follower[T] {
	return &follower[T]{
		name: name, feed: feed, calls: c, wake: make(chan struct{}, 1),
		mine: func(now time.Time) bool { return r.reads(now, name) },
		tell: func(p knowledge.Part[T]) { tell(r, c.news, p) },
		note: func(err error) { r.noteOutage(name, err) },
	}
}

// run follows the feed until ctx ends.
func (f *follower[T]) run(ctx context.Context) {
	for ctx.Err() == nil {
		now := time.Now()
		reading, times := f.reading(now)
		if wait := times.Next(now, reading).Sub(now); wait > 0 {
			f.rest(ctx, min(wait, restMost))
			continue
		}
		wait := time.Duration(0)
		if reading.Mine {
			wait = times.Wait
		}
		f.read(ctx, wait)
	}
}

// rebound takes over new times.
func (f *follower[T]) rebound(t watch.Times) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.times = t
}

func (f *follower[T]) reading(now time.Time) (watch.Reading, watch.Times) {
	mark := f.mark()
	mine := f.mine(now)
	f.mu.Lock()
	defer f.mu.Unlock()
	return watch.Reading{Known: mark.Known(), AsOf: mark.AsOf, Mine: mine, Behind: f.behind || f.trimmed, Failures: f.failures, Tried: f.tried}, f.times
}

func (f *follower[T]) rest(ctx context.Context, d time.Duration) {
	cctx, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	select {
	case <-f.wake:
	case <-cctx.Done():
	}
}

// read reads the feed once, and waits for news that long.
func (f *follower[T]) read(ctx context.Context, wait time.Duration) {
	mark := f.mark()
	f.mu.Lock()
	whole := !mark.Known() || f.trimmed
	f.mu.Unlock()
	p := knowledge.Part[T]{Whole: whole, From: mark.Next, AsOf: time.Now()}
	var err error
	if whole {
		p.Changes, p.Next, err = f.feed.Snapshot(ctx)
	} else {
		p.Changes, p.Next, err = f.feed.Changes(ctx, p.From, wait)
	}
	var trimmed services.ErrTrimmed
	if errors.As(err, &trimmed) {
		f.ended(true, nil)
		return
	}
	f.note(err)
	f.ended(false, err)
	if err != nil {
		// Routers that fail at the same time do not come back at the same time.
		sleep.For(ctx, time.Duration(rand.Int64N(int64(failureSpread)))) //nolint:gosec // no secret
		return
	}
	if f.take(p) == knowledge.FitNews && len(p.Changes) > 0 && !whole {
		f.tell(p)
	}
}

// failureSpread bounds the pause by chance after a read that failed.
const failureSpread = 150 * time.Millisecond

// ended notes the end of a read. Trimmed says that the records from the mark on are no longer kept.
func (f *follower[T]) ended(trimmed bool, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err != nil {
		f.failures++
		f.tried = time.Now()
		return
	}
	f.failures, f.trimmed, f.behind = 0, trimmed, false
}

// hear takes in what another router has read.
func (f *follower[T]) hear(p knowledge.Part[T]) {
	if f.take(p) == knowledge.FitGap {
		f.miss()
	}
}

// miss notes that another router knows more than what is known here.
func (f *follower[T]) miss() {
	f.mu.Lock()
	f.behind = true
	f.mu.Unlock()
	select {
	case f.wake <- struct{}{}:
	default: // it is awake
	}
}

// failing reports whether the latest read failed.
func (f *follower[T]) failing() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.failures > 0
}
