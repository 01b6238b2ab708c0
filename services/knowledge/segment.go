// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package knowledge

import (
	"time"

	"fawnwinch.org/fawnwinch/services"
)

// Segment is a segment of a feed that was read by this router or another one.
type Segment[T any] struct {
	// Whole reports whether Changes is a full snapshot that replaces all earlier state; From is not
	// used then.
	Whole bool
	// From and Next are the positions at which the segment begins and at which the feed continues.
	From, Next services.Position
	// AsOf is a time at which the feed was known to end at Next, unless the segment is partial. It is
	// taken before the read is sent.
	AsOf    time.Time
	Changes []services.Change[T]
	// Vouch is the confirmation of the newest catalog by the router that sent the segment.
	Vouch Confirmation
	// Unreadable reports whether the router that sent the segment knows of a later catalog that it
	// cannot read.
	Unreadable bool
	// Partial reports whether the feed went on after Next at AsOf. Such a segment does not confirm
	// that anything is the newest.
	Partial bool
	// Incomplete reports whether the router that sent the segment does not know all kinds of records,
	// so that the feed has to be read in full to know those up to Next.
	Incomplete bool
}

// confirmedAt returns the time at which the feed was known to end at Next; zero if it went on.
func (p Segment[T]) confirmedAt() time.Time {
	if p.Partial {
		return time.Time{}
	}
	return p.AsOf
}

// Watermark is the read position of a feed.
type Watermark struct {
	// Next is the position at which the feed continues.
	Next services.Position
	// AsOf is the latest time at which Next was known to be the end of the feed; zero if nothing
	// was read.
	AsOf time.Time
}

// Known reports whether the feed was read at all.
func (m Watermark) Known() bool { return !m.AsOf.IsZero() }

// Fit is the result of comparing a segment with the known state.
type Fit string

// The results of comparing a segment with the known state.
const (
	// FitNew is a segment that continues the known state.
	FitNew Fit = "news"
	// FitSame is a segment that ends at the watermark: it only confirms that this was the end of
	// the feed.
	FitSame Fit = "same"
	// FitStale is a segment that ends before the watermark, or belongs to an earlier era of the
	// store.
	FitStale Fit = "old"
	// FitGap is a segment that begins after the watermark, so that records in between are missing.
	// After a restore of the store from a copy, only a full snapshot leads to the new era.
	FitGap Fit = "gap"
)

// advance compares a segment with the watermark, and advances the watermark if the segment can be
// applied. asOf is zero if the segment is partial.
func (m *Watermark) advance(whole bool, from, next services.Position, asOf time.Time) Fit {
	switch {
	case m.Known() && next.Before(m.Next):
		return FitStale
	case m.Known() && next == m.Next && !whole:
		m.confirm(asOf)
		return FitSame
	case !whole && !m.Known(), !whole && m.Next.Before(from):
		return FitGap
	case !whole && from.Before(m.Next):
		// The segment overlaps with one received from another router meanwhile; reading on from the
		// watermark returns the remainder.
		return FitStale
	}
	m.Next = next
	m.confirm(asOf)
	return FitNew
}

// confirm records that the watermark was the end of the feed at asOf.
func (m *Watermark) confirm(asOf time.Time) {
	if asOf.After(m.AsOf) {
		m.AsOf = asOf
	}
}
