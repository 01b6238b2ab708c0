// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package admission

import (
	"time"

	"fawnwinch.org/fawnwinch/models/urgency"
)

const (
	// shortageWaitFraction is the fraction of its goal after which a waiting request shows a
	// shortage. It is also the time after which a rejection costs the caller credit.
	shortageWaitFraction = 0.25
	// shortageEnd is how long after the last request without room a shortage ends. Callers that
	// were rejected are back by then, and the log gets at most two lines of a service in this time.
	shortageEnd = 2 * time.Second
)

// LevelShortage counts the requests of one level in a shortage.
type LevelShortage struct {
	// Waiting counts the requests that wait now. Rejected and Late count those that found no room
	// and the late streams since the shortage began.
	Waiting, Rejected, Late int
}

// Shortage tracks whether the requests of a service lack room. The zero value tracks none.
type Shortage struct {
	// since is when the shortage began; zero while there is none. latest is when a request lacked
	// room last.
	since, latest time.Time
	levels        [urgency.MaxLevels]LevelShortage
}

// Reject records that a request found no room, and returns whether a shortage begins with it.
func (s *Shortage) Reject(now time.Time, l urgency.Level) bool {
	begins := s.note(now)
	s.level(l).Rejected++
	return begins
}

// Hold records that a request waits or has waited long for room, and returns whether a shortage
// begins with it.
func (s *Shortage) Hold(now time.Time) bool { return s.note(now) }

// Late records a late stream. It neither begins a shortage nor prolongs one: streams are also late
// because a pass is long or a rank is slow.
func (s *Shortage) Late(now time.Time, l urgency.Level) {
	if s.Active(now) {
		s.level(l).Late++
	}
}

// Active reports whether there is a shortage.
func (s *Shortage) Active(now time.Time) bool {
	return !s.since.IsZero() && now.Sub(s.latest) < shortageEnd
}

// Over reports whether a shortage has ended and was not reset since.
func (s *Shortage) Over(now time.Time) bool { return !s.since.IsZero() && !s.Active(now) }

// Reset forgets a shortage.
func (s *Shortage) Reset() { *s = Shortage{} }

// Lasted returns the time from the beginning of the shortage to its end, or until now.
func (s *Shortage) Lasted(now time.Time) time.Duration {
	if s.Over(now) {
		now = s.latest.Add(shortageEnd)
	}
	return now.Sub(s.since)
}

// Counts returns the requests by level, given those that wait now.
func (s *Shortage) Counts(waiting []int) []LevelShortage {
	n := len(waiting)
	for l, c := range s.levels {
		if c != (LevelShortage{}) {
			n = max(n, l+1) // a request may have waited since before a catalog with fewer levels
		}
	}
	out := append([]LevelShortage{}, s.levels[:min(n, len(s.levels))]...)
	for l, w := range waiting[:min(len(waiting), len(out))] {
		out[l].Waiting = w
	}
	return out
}

// note records that a request lacks room, and returns whether a shortage begins with it.
func (s *Shortage) note(now time.Time) bool {
	begins := !s.Active(now)
	if begins {
		*s = Shortage{since: now}
	}
	s.latest = now
	return begins
}

// level returns the counts of a level.
func (s *Shortage) level(l urgency.Level) *LevelShortage {
	return &s.levels[max(0, min(int(l), len(s.levels)-1))]
}

// HeldLong reports whether a request for a model group has waited for room longer than
// shortageWaitFraction of its goal. Without a goal it has not.
func (x *Request) HeldLong(now time.Time) bool {
	held := x.Waited + now.Sub(x.queued)
	return x.Ask.Engine != nil && !x.queued.IsZero() && x.Goal > 0 && held > time.Duration(shortageWaitFraction*float64(x.Goal))
}

// Forecast returns the forecast with which a request that waits arrived.
func (x *Request) Forecast() Forecast { return x.forecast }

// UrgentHeld returns one of the most urgent requests that have waited so long that they show a
// shortage; nil if there is none.
func (q *Queue) UrgentHeld(now time.Time) *Request {
	var held *Request
	for _, x := range q.waiting {
		if x.HeldLong(now) && (held == nil || x.Level < held.Level) {
			held = x
		}
	}
	return held
}
