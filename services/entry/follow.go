// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package entry

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"fawnwinch.org/fawnwinch/models/catalog"
	"fawnwinch.org/fawnwinch/modules/clock"
	"fawnwinch.org/fawnwinch/modules/sleep"
	"fawnwinch.org/fawnwinch/services"
	"fawnwinch.org/fawnwinch/services/knowledge"
	"fawnwinch.org/fawnwinch/services/watch"

	"github.com/rs/zerolog"
)

const (
	// maxPollWait bounds the sleep between two checks whether the feed is to be read: the chosen
	// reader changes as routers start and stop.
	maxPollWait = 200 * time.Millisecond
	// pullTimeout bounds a pull from another router. Full catalogs are large, and links may be
	// slow.
	pullTimeout = 1200 * time.Millisecond
	// maxBehind is how long a router that is behind pulls from others before it reads the store
	// itself.
	maxBehind = 600 * time.Millisecond
)

// follower keeps the local state of one feed up to date. It reads the store while this router is
// the chosen reader, and pulls from other routers that are ahead.
type follower[T any] struct {
	// name is the name of the feed in logs and in the choice of its reader.
	name string
	feed services.Feed[T]
	// mark returns the read position of the feed, and apply applies a segment of it. version
	// returns that of the catalog in force; nil for other feeds.
	mark    func() knowledge.Watermark
	version func() catalog.Version
	apply   func(p knowledge.Segment[T]) knowledge.Fit
	// era returns the newest era of the store that is known here.
	era func() services.Era
	// proofFrom returns the time from which reads can confirm again that nothing newer was
	// accepted, and whether that confirmation is still missing; nil for feeds without confirmation.
	proofFrom func() (from time.Time, ok bool)
	// pull pulls the missing segment from the router at an address.
	pull func(ctx context.Context, address string) (knowledge.Segment[T], error)
	// isReader reports whether this router is the reader of the feed.
	isReader func(now time.Time) bool
	// startWait returns the time until which the first read waits for state from other routers; nil
	// if it does not wait.
	startWait func(now time.Time) time.Time
	// notify notifies the other routers that this one has advanced.
	notify func()
	// spreads reports whether a gain in freshness is passed on at once; nil if it never is.
	spreads func() bool
	// onRead is called with the result of each read.
	onRead func(err error)
	logger zerolog.Logger
	wake   chan struct{}
	// ahead receives the address of a router that is ahead of this one.
	ahead chan string

	mu    sync.Mutex
	times watch.Times
	// furthest is the furthest position reported by another router, or the start of a new store
	// era. behind is since when this router has not reached it; zero if it has.
	furthest progress
	behind   time.Time
	// trimmed reports whether the next read must be a full one.
	trimmed  bool
	failures int
	failedAt time.Time
}

// progress is a position in a feed and a version, which the store may have lost since.
type progress struct {
	next    services.Position
	version catalog.Version
}

// covers reports whether r includes everything in o.
func (r progress) covers(o progress) bool { return !r.next.Before(o.next) && r.version >= o.version }

// join returns the union of both.
func (r progress) join(o progress) progress {
	if r.next.Before(o.next) {
		r.next = o.next
	}
	r.version = max(r.version, o.version)
	return r
}

// progress returns the local progress in the feed.
func (f *follower[T]) progress() progress {
	r := progress{next: f.mark().Next}
	if f.version != nil {
		r.version = f.version()
	}
	return r
}

// run follows the feed until ctx ends.
func (f *follower[T]) run(ctx context.Context) {
	var w sync.WaitGroup
	defer w.Wait()
	w.Go(func() { f.runPulls(ctx) })
	for ctx.Err() == nil {
		now := clock.Now()
		reading, times := f.reading(now)
		if wait := times.Next(now, reading).Sub(now); wait > 0 {
			f.sleep(ctx, min(wait, maxPollWait))
			continue
		}
		wait := time.Duration(0)
		if reading.Mine {
			wait = f.maxWait(now, times.Wait)
		}
		f.read(ctx, wait)
	}
}

// maxWait returns how long a read may wait for changes. A read that is due to confirm the catalog
// is not delayed by an earlier long poll.
func (f *follower[T]) maxWait(now time.Time, limit time.Duration) time.Duration {
	if f.proofFrom == nil {
		return limit
	}
	from, ok := f.proofFrom()
	if !ok {
		return limit
	}
	return min(max(from.Sub(now), 0), limit)
}

// setTimes sets new times.
func (f *follower[T]) setTimes(t watch.Times) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.times = t
}

func (f *follower[T]) reading(now time.Time) (watch.FeedState, watch.Times) {
	mark := f.mark()
	isReader := f.isReader(now)
	var patient time.Time
	if f.startWait != nil && !mark.Known() {
		patient = f.startWait(now)
	}
	if mark.Known() {
		f.recordFurthest(now, progress{next: services.Position{Era: f.era()}})
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	behind := !f.behind.IsZero() && now.Sub(f.behind) > maxBehind
	var anew time.Time
	if f.furthest.next.Era > mark.Next.Era && !f.behind.IsZero() {
		anew = f.behind.Add(maxBehind)
	}
	return watch.FeedState{
		Known: mark.Known(), Anew: anew, AsOf: mark.AsOf, Mine: isReader, Behind: behind || f.trimmed, Patient: patient, Failures: f.failures, Tried: f.failedAt,
	}, f.times
}

func (f *follower[T]) sleep(ctx context.Context, d time.Duration) {
	cctx, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	select {
	case <-f.wake:
	case <-cctx.Done():
	}
}

// read reads the feed up to its end, page by page, and waits up to the given time for changes.
func (f *follower[T]) read(ctx context.Context, wait time.Duration) {
	for f.readPage(ctx, wait) && ctx.Err() == nil {
		wait = 0
	}
}

// readPage reads the feed once, and reports whether it goes on after what was read.
func (f *follower[T]) readPage(ctx context.Context, wait time.Duration) (more bool) {
	mark := f.mark()
	f.mu.Lock()
	whole := !mark.Known() || f.trimmed || f.furthest.next.Era > mark.Next.Era
	f.mu.Unlock()
	p := knowledge.Segment[T]{Whole: whole, From: mark.Next, AsOf: clock.Now()}
	var err error
	var end services.Position
	if whole {
		p.Changes, p.Next, err = f.feed.Snapshot(ctx)
	} else {
		var page services.FeedPage[T]
		page, err = f.feed.Changes(ctx, p.From, wait)
		p.Changes, p.Next, p.Partial, end = page.Changes, page.Next, page.Partial(), page.End
	}
	var trimmed services.ErrTrimmed
	var returned services.ErrEraChanged
	switch {
	case errors.As(err, &trimmed):
		f.logger.Warn().Str("feed", f.name).Stringer("from", trimmed.From).Msg("feed-trimmed")
		f.recordResult(true, nil)
		return false
	case errors.As(err, &returned) && returned.Era > returned.From.Era:
		f.logger.Warn().Str("feed", f.name).Stringer("from", returned.From).Uint64("era", uint64(returned.Era)).Msg("feed-begun-anew")
		f.recordFurthest(clock.Now(), progress{next: services.Position{Era: returned.Era}})
		f.recordResult(false, nil)
		return false
	}
	f.onRead(err)
	f.recordResult(false, err)
	if err != nil {
		// Random pause, so that routers that fail at the same time do not retry at the same time.
		sleep.For(ctx, time.Duration(rand.Int64N(int64(failureSpread)))) //nolint:gosec // no secret
		return false
	}
	if p.Partial {
		f.logger.Info().Str("feed", f.name).Stringer("from", p.From).Stringer("next", p.Next).Stringer("end", end).Msg("feed-read-in-part")
		f.recordFurthest(clock.Now(), progress{next: end})
		f.advance(p)
		return true
	}
	f.advance(p)
	f.caughtUp()
	return false
}

// caughtUp records that the store was just read and has no later records.
func (f *follower[T]) caughtUp() {
	own := f.progress()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.furthest, f.behind = own, time.Time{}
}

// failureSpread bounds the random pause after a failed read.
const failureSpread = 150 * time.Millisecond

// recordResult records the result of a read. trimmed reports whether the next read must be a full
// one, because the records from the watermark on are no longer kept or some before it are missing.
func (f *follower[T]) recordResult(trimmed bool, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err != nil {
		f.failures++
		f.failedAt = clock.Now()
		return
	}
	f.failures, f.trimmed = 0, trimmed
}

// advance applies a segment of the feed, and notifies other routers if the position has advanced.
func (f *follower[T]) advance(p knowledge.Segment[T]) knowledge.Fit {
	before := f.mark()
	fit := f.apply(p)
	after := f.progress()
	f.mu.Lock()
	if after.covers(f.furthest) {
		f.behind = time.Time{}
	}
	f.mu.Unlock()
	if before.Known() && before.Next.Era != after.next.Era {
		f.logger.Warn().Str("feed", f.name).Stringer("before", before.Next).Stringer("next", after.next).Int64("known_ms", clock.Since(before.AsOf).Milliseconds()).
			Uint64("version", uint64(after.version)).Int("records", len(p.Changes)).Msg("feed-returned")
	}
	if after.next != before.Next || !before.Known() || f.gained(before) {
		f.notify()
	}
	return fit
}

// pullIfAhead records the read position of another router, and pulls from it if it is ahead.
func (f *follower[T]) pullIfAhead(address string, theirs FeedProgress) {
	if !theirs.Known || !f.recordFurthest(clock.Now(), progress{next: theirs.position(), version: theirs.Version}) || address == "" {
		return
	}
	select {
	case f.ahead <- address:
	default: // another pull is already pending
	}
}

// recordFurthest records how far the feed goes, and reports whether this router is behind that.
func (f *follower[T]) recordFurthest(now time.Time, theirs progress) bool {
	known, own := f.mark().Known(), f.progress()
	f.mu.Lock()
	defer f.mu.Unlock()
	if known && own.covers(theirs) {
		return false
	}
	f.furthest = f.furthest.join(theirs)
	if f.behind.IsZero() {
		f.behind = now
	}
	return true
}

// runPulls pulls from routers that are ahead, one at a time, until ctx ends.
func (f *follower[T]) runPulls(ctx context.Context) {
	for {
		select {
		case address := <-f.ahead:
			f.pullFrom(ctx, address)
		case <-ctx.Done():
			return
		}
	}
}

// pullFrom pulls the missing segment from a router.
func (f *follower[T]) pullFrom(ctx context.Context, address string) {
	f.mu.Lock()
	behind := !f.behind.IsZero()
	f.mu.Unlock()
	if !behind {
		return // caught up meanwhile
	}
	cctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	asked := clock.Now()
	p, err := f.pull(cctx, address)
	if err != nil {
		f.logger.Warn().Str("feed", f.name).Str("from", address).Err(err).Msg("feed-pull-failed")
		return
	}
	fit := f.advance(p)
	if p.Incomplete && fit == knowledge.FitNew {
		f.recordResult(true, nil)
	}
	f.logger.Info().Str("feed", f.name).Str("from", address).Stringer("next", p.Next).Int64("age_ms", asked.Sub(p.AsOf).Milliseconds()).
		Bool("whole", p.Whole).Int("records", len(p.Changes)).Str("fit", string(fit)).Msg("feed-pulled")
	f.wakeUp()
}

// wakeUp wakes up the read loop.
func (f *follower[T]) wakeUp() {
	select {
	case f.wake <- struct{}{}:
	default: // a wake-up is already pending
	}
}

// failing reports whether the latest read failed.
func (f *follower[T]) failing() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.failures > 0
}
