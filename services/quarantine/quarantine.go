// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package quarantine distinguishes requests that crash the upstreams which run them from requests
// that were merely in flight when an upstream ended, and decides which requests are no longer sent.
// It does no I/O and reads no clock.
//
// A request is identified by its client account and its content, because each attempt has another
// id. Two things clear a request: a run of the same content that an upstream answered completely,
// and a run that lasted longer than those during which upstreams ended. A request that crashes
// every upstream that runs it has neither. Routers exchange their crash records, see
// Register.ChangedSince.
package quarantine

import (
	"time"

	"fawnwinch.org/fawnwinch/models/account"
	"fawnwinch.org/fawnwinch/models/request"
	"fawnwinch.org/fawnwinch/models/upstream"
)

const (
	// watchThreshold and refuseThreshold are the weights of the crashes of a request from which it
	// is watched or refused. The weight is mostly the number of consecutive attempts during which
	// upstreams ended. Two may be chance for a request whose caller retries at once; each further
	// crash costs a model group some seconds.
	watchThreshold  = 2
	refuseThreshold = 3
	// clearMargin is by how much longer than its crashes a run must have lasted to clear a request:
	// the time from a request's first token to the crash that it causes varies with the load.
	clearMargin = 500 * time.Millisecond
	// refusalDuration is how long a request is refused after its latest crash. Then it is watched,
	// and refused again after one more crash: a request must not stay refused for good once the
	// upstream has been fixed.
	refusalDuration = 10 * time.Minute
	// retention is how long after its latest crash the record of a request is kept.
	retention = 20 * time.Minute
)

// Key identifies the content of a request of a client account.
type Key struct {
	Account account.ID
	Digest  request.Digest
}

// Crash is the end of an upstream's run while a request was in flight.
type Crash struct {
	Key Key
	Run upstream.Run
	// Ran is the time from sending the request to the end of the upstream. Lasted is the time from
	// the first event of the answer to that end; 0 if the answer had not begun.
	Ran, Lasted time.Duration
	// Age is the time since the crash.
	Age time.Duration
	// Cleared reports whether the request was not the cause.
	Cleared bool
}

// Standing determines how a request is treated.
type Standing string

// The possible standings.
const (
	// StandingFree is a request without restrictions.
	StandingFree Standing = "free"
	// StandingWatched is a request that may crash upstreams: it is sent once, and never while
	// another run of it is in flight.
	StandingWatched Standing = "watched"
	// StandingRefused is a request that is not sent.
	StandingRefused Standing = "refused"
)

// Verdict is the decision on a request.
type Verdict struct {
	Standing Standing
	// Until is when a refused request may be sent again.
	Until time.Time
}

// CompletedRun is the duration of a run that was answered completely: longer than any other run.
const CompletedRun = time.Duration(1<<63 - 1)
