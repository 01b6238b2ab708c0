// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package condition

import (
	"maps"
	"time"

	"fawnwinch.org/fawnwinch/models/upstream"
)

const (
	// minUnreachedBackoff and maxUnreachedBackoff bound how long an unreachable upstream is
	// skipped.
	minUnreachedBackoff = 300 * time.Millisecond
	maxUnreachedBackoff = 4 * time.Second
	// fullBackoff is how long a full upstream is skipped that gave no back-off time.
	fullBackoff = 120 * time.Millisecond
)

// record is the state of one run of an upstream.
type record struct {
	leaving      bool
	backoffUntil time.Time
	// skipUntil is the end of the back-off after failed attempts, and unreachedBackoff the latest
	// back-off after a failed connection.
	skipUntil        time.Time
	unreachedBackoff time.Duration
	limit            Limit
	cold             Coldness
	permits          permits
	// unread is the text of the latest parse error, so that each error is reported once.
	unread string
	// unlisted is when the upstream was first missing from the list; zero if it is listed.
	unlisted time.Time
}

// unlistedRetention is how long the record of an unlisted upstream is kept: entries disappear
// during an outage of the store and come back.
const unlistedRetention = 10 * time.Minute

// Register holds the conditions of the upstreams of one service, by run: the reports of one run do
// not apply to another. It is not safe for use by several goroutines.
type Register struct {
	records map[upstream.Run]*record
	// changes counts the starts and ends of limits.
	changes uint64
}

// NewRegister returns an empty register.
func NewRegister() *Register { return &Register{records: map[upstream.Run]*record{}} }

// Note records the notice in an upstream's answer to a request that was sent at sent, and returns
// the changes.
func (g *Register) Note(now, sent time.Time, run upstream.Run, n upstream.Notice) []Change {
	if _, known := g.records[run]; !known && n == (upstream.Notice{}) {
		return nil
	}
	r := g.record(run)
	var changes []Change
	if n.Leaving && !r.leaving {
		r.leaving = true
		changes = append(changes, Change{Kind: KindLeaving})
	}
	if until := now.Add(n.Rest); n.Rest > 0 && until.After(r.backoffUntil) {
		r.backoffUntil = until
		changes = append(changes, Change{Kind: KindResting})
	}
	if n.Limited || r.limit.Named && n.Unread == nil {
		changes = append(changes, g.learn(r, Limit{Named: n.Limited, Rate: n.Limit, Sent: sent, Heard: now})...)
	}
	if n.Unread != nil && n.Unread.Error() != r.unread {
		r.unread = n.Unread.Error()
		changes = append(changes, Change{Unread: n.Unread})
	}
	return changes
}

// learn merges a limit into the record of a run, and returns the changes.
func (g *Register) learn(r *record, l Limit) []Change {
	before := r.limit
	r.limit = before.Merge(l)
	if r.limit.Named == before.Named && r.limit.Rate == before.Rate {
		return nil
	}
	if r.limit.Named != before.Named {
		g.changes++
	}
	if !r.limit.Named {
		r.permits = permits{}
	}
	return []Change{{Kind: KindLimited, Ended: !r.limit.Named}}
}

// Empty reports whether no upstream has a record.
func (g *Register) Empty() bool { return len(g.records) == 0 }

// record returns the record of a run and creates it if necessary.
func (g *Register) record(run upstream.Run) *record {
	r, ok := g.records[run]
	if !ok {
		r = &record{}
		g.records[run] = r
	}
	return r
}

// Unreached records that an upstream could not be reached. The back-off is twice the previous one.
func (g *Register) Unreached(now time.Time, run upstream.Run) {
	r := g.record(run)
	r.unreachedBackoff = min(max(2*r.unreachedBackoff, minUnreachedBackoff), maxUnreachedBackoff)
	r.skipUntil = later(r.skipUntil, now.Add(r.unreachedBackoff))
}

// Full records that an upstream did not run a request.
func (g *Register) Full(now time.Time, run upstream.Run) {
	r := g.record(run)
	r.skipUntil = later(r.skipUntil, now.Add(fullBackoff))
}

// Served records that an upstream has answered a request.
func (g *Register) Served(run upstream.Run) {
	if r, ok := g.records[run]; ok {
		r.unreachedBackoff = 0
	}
}

// Judge returns the condition of an upstream, and the time until a request of this router may be
// chosen for it; 0 if it may be chosen now.
func (g *Register) Judge(now time.Time, run upstream.Run) (Kind, time.Duration) {
	r, ok := g.records[run]
	if !ok {
		return KindFree, 0
	}
	backoff := r.backoffUntil.Sub(now)
	switch out := r.skipUntil.Sub(now); {
	case r.leaving:
		return KindLeaving, Never
	case r.limit.Named:
		return KindLimited, max(backoff, out, r.permits.availableAt(now).Sub(now), 0)
	case r.cold.Cold(now):
		return KindCold, max(backoff, out, r.permits.availableAt(now).Sub(now), 0)
	case backoff > 0:
		return KindResting, max(backoff, out)
	case out > 0:
		return KindOut, out
	}
	return KindFree, 0
}

// Learn records the limit of an upstream that another router knows, and returns the changes.
func (g *Register) Learn(run upstream.Run, l Limit) []Change {
	if _, known := g.records[run]; !known && !l.Named {
		return nil // an unknown limit cannot end
	}
	return g.learn(g.record(run), l)
}

// Limits returns the known limits, including recently ended ones.
func (g *Register) Limits() map[upstream.Run]Limit {
	out := map[upstream.Run]Limit{}
	for run, r := range g.records {
		if r.limit.known() {
			out[run] = r.limit
		}
	}
	return out
}

// Changes returns a counter that increases when a limit starts or ends.
func (g *Register) Changes() uint64 { return g.changes }

// Limit returns the known limit of an upstream.
func (g *Register) Limit(run upstream.Run) Limit {
	if r, ok := g.records[run]; ok {
		return r.limit
	}
	return Limit{}
}

// Forget drops the records of upstreams that have not been listed for unlistedRetention, and empty
// records.
func (g *Register) Forget(now time.Time, listed map[upstream.Run]bool) {
	maps.DeleteFunc(g.records, func(run upstream.Run, r *record) bool {
		switch {
		case listed[run]:
			r.unlisted = time.Time{}
		case r.unlisted.IsZero():
			r.unlisted = now
		}
		return r.empty(now) || !r.unlisted.IsZero() && now.Sub(r.unlisted) > unlistedRetention
	})
}

// empty reports whether the record holds no relevant state.
func (r *record) empty(now time.Time) bool {
	relevant := r.leaving || r.limited(now) || r.unread != "" || now.Before(r.backoffUntil) || now.Sub(r.limit.Heard) < unlistedRetention
	return !relevant && r.unreachedBackoff == 0 && !now.Before(r.skipUntil)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Counts returns the number of upstreams in each condition.
func (g *Register) Counts(now time.Time) map[Kind]int {
	out := map[Kind]int{}
	for _, r := range g.records {
		switch {
		case r.leaving:
			out[KindLeaving]++
		case now.Before(r.backoffUntil):
			out[KindResting]++
		case r.limit.Named:
			out[KindLimited]++
		case r.cold.Cold(now):
			out[KindCold]++
		}
	}
	return out
}
