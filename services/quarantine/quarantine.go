// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package quarantine tells requests that crash the upstreams which run them from requests that were only there when an upstream
// ended, and decides which are not sent any more. It does no I/O and reads no clock.
//
// A request is known by its client account and its content, because each try has another id. Two things speak for it: a run of the
// same content that an upstream has answered to its end, and one that went on for longer than those under which upstreams ended. A
// request that crashes whatever runs it has neither. What one router has seen is told to the others, see Register.Since.
package quarantine

import (
	"time"

	"fawnwinch.org/fawnwinch/models/account"
	"fawnwinch.org/fawnwinch/models/request"
	"fawnwinch.org/fawnwinch/models/upstream"
)

const (
	// watchedFrom and refusedFrom are the weights of the ends under a request from which it is watched, and refused; mostly the number
	// of tries, one after the other, under which upstreams have ended. Two may be chance for a request whose caller comes again at once; each one more costs a
	// model group some seconds.
	watchedFrom = 2
	refusedFrom = 3
	// outlived is by how much longer than its ends a run must have gone on to speak for a request: the time from a request's first
	// token to the crash that it causes differs with the load.
	outlived = 500 * time.Millisecond
	// refusedFor is how long a request is refused after the latest end. Then it is watched, and refused again after one more: an
	// upstream that was mended must not refuse it for good.
	refusedFor = 10 * time.Minute
	// forgottenAfter is how long after the latest end nothing is known of a request any more.
	forgottenAfter = 20 * time.Minute
)

// Key names what a client account asks.
type Key struct {
	Account account.ID
	Digest  request.Digest
}

// Crash is the end of an upstream's run in the middle of a request.
type Crash struct {
	Key Key
	Run upstream.Run
	// Ran is how long ago the request had been sent when the upstream ended, and Lasted how long the answer had been coming; 0 if it
	// had not begun.
	Ran, Lasted time.Duration
	// Age is how long ago it was.
	Age time.Duration
	// Cleared says that the request was not the cause.
	Cleared bool
}

// Standing is how a request is treated.
type Standing string

// The standings.
const (
	// StandingFree is a request like any other.
	StandingFree Standing = "free"
	// StandingWatched is a request that may crash upstreams: it is sent once, and never while it runs already.
	StandingWatched Standing = "watched"
	// StandingRefused is a request that is not sent.
	StandingRefused Standing = "refused"
)

// Verdict tells how to treat a request.
type Verdict struct {
	Standing Standing
	// Until is when a refused request may be sent again.
	Until time.Time
}

// Finished is how long a run has lasted that came to its end: it outlives any.
const Finished = time.Duration(1<<63 - 1)
