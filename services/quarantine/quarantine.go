// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package quarantine distinguishes requests that crash the upstreams which run them from requests
// that were merely in flight when an upstream ended, and decides which requests are no longer sent.
// It does no I/O and reads no clock.
//
// What crashes upstreams is known by a Key. Each attempt of a request has another id, so a request
// is known by its client account and its content. Requests that are all different may share a part
// of their prompt that crashes upstreams, so these parts are known too.
//
// Two things clear a key: a run of it that an upstream answered completely, and a run that lasted
// longer than those during which upstreams ended. What crashes every upstream that runs it has
// neither. Routers exchange their crash records, see Register.ChangedSince.
package quarantine

import (
	"time"

	"fawnwinch.org/fawnwinch/models/request"
	"fawnwinch.org/fawnwinch/models/upstream"
)

const (
	// watchThreshold and refuseThreshold are the weights of the crashes of a content from which it
	// is watched or refused. The weight is mostly the number of consecutive attempts during which
	// upstreams ended. Two may be chance for a request whose caller retries at once; each further
	// crash costs a model group some seconds.
	watchThreshold  = 2
	refuseThreshold = 3
	// partThreshold is the weight of the crashes of a part from which it is refused. Crashes count
	// only with different contents, so retries of one request add nothing. familiarThreshold is that
	// of a familiar part, whose requests were answered shortly before, if at each crash there was an
	// unfamiliar part that may be at fault instead.
	partThreshold     = 2
	familiarThreshold = 4
	// clearMargin is by how much longer than its crashes a run must have lasted to clear a content:
	// the time from a request's first token to the crash that it causes varies with the load.
	clearMargin = 500 * time.Millisecond
	// partClearMargin is the same for a part, which crashes an upstream when that begins to write an
	// answer. Between two crashes of a model group answers may arrive for a few hundred milliseconds
	// only, and the parts of sound requests must be cleared by them.
	partClearMargin = 50 * time.Millisecond
	// partCrashMargin is the longest time for which an answer may have been arriving when a part of
	// its prompt crashes the upstream. Answers of a model group that begin in the same pass as the
	// one at fault arrive just before the crash.
	partCrashMargin = 20 * time.Millisecond
	// PartRunTime is the duration of a run from which it clears all crashes of a part.
	PartRunTime = 2 * partClearMargin
	// refusalDuration is how long a key is refused after its latest crash. Then it is watched, and
	// refused again after one more crash: it must not stay refused for good once the upstream has
	// been fixed.
	refusalDuration = 10 * time.Minute
	// familiarRefusalDuration is how long a familiar part is refused at first, and
	// commonRefusalDuration a common one, whose refusal stops many requests.
	familiarRefusalDuration = 10 * time.Second
	commonRefusalDuration   = time.Second
	// testRetryTime is the retry time of a request that cannot test a part which was refused.
	testRetryTime = time.Second
	// retention is how long after its latest crash the record of a key is kept.
	retention = 20 * time.Minute
)

// Crash is the end of an upstream's run while a request was in flight.
type Crash struct {
	Key Key
	Run upstream.Run
	// Content is the content of the request, for the key of a part.
	Content request.Digest
	// Depth is the position of a part in its prompt, and Familiar reports whether a request with it
	// was answered shortly before.
	Depth    int
	Familiar bool
	// Ran is the time from sending the request to the end of the upstream. Lasted is the time from
	// the first event of the answer to that end; 0 if the answer had not begun.
	Ran, Lasted time.Duration
	// Age is the time since the crash.
	Age time.Duration
	// Cleared reports whether the key was not the cause.
	Cleared bool
}

// Standing determines how a request is treated.
type Standing string

// The possible standings.
const (
	// StandingFree is a request without restrictions.
	StandingFree Standing = "free"
	// StandingSuspect is a request that is not sent again if an upstream ended under it.
	StandingSuspect Standing = "suspect"
	// StandingWatched is a request that may crash upstreams: it is sent once, and never while
	// another run of what may be at fault is in flight.
	StandingWatched Standing = "watched"
	// StandingRefused is a request that is not sent.
	StandingRefused Standing = "refused"
)

// severity orders standings.
func (s Standing) severity() int {
	switch s {
	case StandingSuspect:
		return 1
	case StandingWatched:
		return 2
	case StandingRefused:
		return 3
	case StandingFree:
	}
	return 0
}

// Verdict is the decision on a request.
type Verdict struct {
	Standing Standing
	// Key is what the decision is about.
	Key Key
	// Until is when a refused request may be sent again.
	Until time.Time
	// Test reports whether a watched request was refused before, and is sent to find out whether
	// that is still right.
	Test bool
}

// CompletedRun is the duration of a run that was answered completely: longer than any other run.
const CompletedRun = time.Duration(1<<63 - 1)
