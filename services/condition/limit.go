// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package condition

import (
	"time"

	"fawnwinch.org/fawnwinch/models/upstream"
)

// Limit is the state of the rate limit of an upstream's run, from one of its answers. The zero
// value means that the run has never reported a limit.
type Limit struct {
	// Named reports whether the answer sets a limit, Rate; otherwise the limit has ended.
	Named bool
	Rate  upstream.Rate
	// Sent is when the request of that answer was sent, and Heard when the answer was received. The
	// upstream made the statement at some time in between.
	Sent, Heard time.Time
}

func (l Limit) known() bool { return !l.Heard.IsZero() }

// Merge returns which of two limits applies. Answers may arrive out of order, so the one received
// later need not be the newer one. If the order is unknown the stricter limit applies, until an
// answer to a later request.
func (l Limit) Merge(o Limit) Limit {
	switch {
	case !o.known():
		return l
	case !l.known(), o.definitelyAfter(l):
		return o
	case l.definitelyAfter(o), l.stricter(o):
		return l
	}
	return o
}

// definitelyAfter reports whether a limit was certainly reported after another one.
func (l Limit) definitelyAfter(o Limit) bool { return !l.Sent.Before(o.Heard) }

// stricter reports whether a limit allows less than another one. Of two equal limits the one
// received later wins.
func (l Limit) stricter(o Limit) bool {
	switch {
	case l.Named != o.Named:
		return l.Named
	case l.Named && l.Rate != o.Rate:
		return l.Rate < o.Rate
	}
	return l.Heard.After(o.Heard)
}

// WireLimit is the wire form of a Limit: the clocks of processes differ, so it has ages instead of
// times.
type WireLimit struct {
	Named             bool
	Rate              upstream.Rate
	SentAge, HeardAge time.Duration
	// Known reports whether there is any statement on a limit.
	Known bool
}

// Wire returns the wire form of a limit at the given time.
func (l Limit) Wire(now time.Time) WireLimit {
	if !l.known() {
		return WireLimit{}
	}
	return WireLimit{Named: l.Named, Rate: l.Rate, SentAge: now.Sub(l.Sent), HeardAge: now.Sub(l.Heard), Known: true}
}

// ToLimit converts a received limit. The message was sent at the earliest at sent, and received at
// came. The limit is older than its ages by the unknown transfer time: Sent is assumed as early and
// Heard as late as possible.
func (t WireLimit) ToLimit(sent, came time.Time) Limit {
	if !t.Known {
		return Limit{}
	}
	return Limit{Named: t.Named, Rate: t.Rate, Sent: sent.Add(-t.SentAge), Heard: came.Add(-t.HeardAge)}
}
