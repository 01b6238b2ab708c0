// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package balance

import (
	"math"
	"time"

	"fawnwinch.org/fawnwinch/models/group"
)

const (
	// errorHalfLife is the time after which a past failure has half its weight. A replica that
	// fails part of its requests gets about two requests in that time, so most such replicas are
	// known before their next request.
	errorHalfLife = 2500 * time.Millisecond
	// errorDecay is the smoothing factor of the failure rate: two failures in a row raise it to
	// about a half.
	errorDecay = 0.7
	// latencyDecay is the smoothing factor of the mean answer time.
	latencyDecay = 0.8
	// latencyHalfLife is the time after which a mean answer time without further answers has half
	// its weight. Without ageing, a few late answers would keep an upstream from all requests at
	// light load, and only its own answers could show that it is fast again.
	latencyHalfLife = 4 * time.Second
	// freshFor is how long the reported load decides where requests are sent: about three report
	// intervals. In replays of a calm group with reports that are one second old, routers that use
	// the reported loads earn 0.86 of the possible credit, and routers that use their own sends
	// earn 0.99.
	freshFor = 250 * time.Millisecond
)

// state is a router's record of one upstream, from its own requests and from reports.
type state struct {
	inFlight int
	// unstarted counts this router's requests whose answers have not begun. lastReported is the
	// count last reported to the coordinator, and counted is the part of the latest report that
	// comes from this router.
	unstarted, lastReported, counted int
	// unread holds the prompts of the unstarted requests.
	unread unreadPrompts
	// started and ended count this router's answers that have begun and ended since the report.
	started, ended int
	report         RankLoad
	// slots is the number of requests that the report still allows this router to send. allotted
	// reports whether the report sets slots at all.
	slots    int
	allotted bool
	// group is the rank's group, set by the first report.
	group group.ID
	// valid is how long the report is used.
	reportedAt time.Time
	valid      time.Duration
	errors     float64
	errorsAt   time.Time
	// latency is the mean answer time in seconds as of latencyAt; 0 if unknown.
	latency   float64
	latencyAt time.Time
}

// answerTime returns the mean answer time in seconds.
func (s *state) answerTime(now time.Time) float64 {
	return halved(s.latency, now.Sub(s.latencyAt), latencyHalfLife)
}

func (s *state) recordAnswerTime(now time.Time, took time.Duration) {
	s.latency, s.latencyAt = latencyDecay*s.answerTime(now)+(1-latencyDecay)*took.Seconds(), now
}

// halved returns a value that halves with each half-life.
func halved(value float64, age, halfLife time.Duration) float64 {
	return value * math.Exp2(-age.Seconds()/halfLife.Seconds())
}

func (s *state) errorRate(now time.Time) float64 {
	return halved(s.errors, now.Sub(s.errorsAt), errorHalfLife)
}

func (s *state) recordResult(now time.Time, failed bool) {
	rate := s.errorRate(now)
	sample := 0.0
	if failed {
		sample = 1
	}
	s.errors, s.errorsAt = errorDecay*rate+(1-errorDecay)*sample, now
}

// reported reports whether a coordinator has reported the upstream within the validity of its
// report. fresh reports whether the report is recent enough to use its load.
func (s *state) reported(now time.Time) bool { return now.Sub(s.reportedAt) < s.valid }
func (s *state) fresh(now time.Time) bool    { return now.Sub(s.reportedAt) < freshFor }

// allUnstarted estimates the requests of all routers whose answers have not begun.
func (s *state) allUnstarted() int { return max(s.report.Unstarted-s.counted, 0) + s.unstarted }

// room reports whether an upstream may get one more request of this router. Without a fresh report
// this depends on the router's own sends and on the estimated requests of other routers. A router
// that waited for a slow coordinator's report would leave ranks idle, and one that used an old
// report would send where all others do.
func (s *state) room(now time.Time, load, others float64, limit int) bool {
	switch {
	case s.allotted && s.reported(now) && s.slots > 0:
		return true
	case s.allotted && s.fresh(now):
		return false
	case limit <= 0:
		return true
	case s.fresh(now):
		return load < float64(limit)
	default:
		return float64(s.inFlight)+others < float64(limit)
	}
}
