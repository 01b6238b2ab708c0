// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package condition tracks the conditions of upstreams, from their own answers and from one
// router's attempts. It decides whether a request may be sent to an upstream now, and otherwise
// when. It does no I/O and reads no clock.
package condition

import "time"

// Kind names a condition of an upstream.
type Kind string

// The conditions.
const (
	// KindFree is an upstream that accepts requests.
	KindFree Kind = "free"
	// KindOut is an upstream that is skipped for a short time because it was unreachable or full.
	KindOut Kind = "out"
	// KindLimited is an upstream that accepts a limited rate of requests from all routers together.
	KindLimited Kind = "limited"
	// KindCold is an upstream that has just started: it accepts a limited rate of requests like a
	// limited one, for some seconds.
	KindCold Kind = "cold"
	// KindResting is an upstream that has asked this router to back off for some time.
	KindResting Kind = "resting"
	// KindLeaving is an upstream that accepts no more requests.
	KindLeaving Kind = "leaving"
)

// Change is a change of a condition caused by an answer.
type Change struct {
	// Kind is the condition that has started, has changed its values, or has ended if Ended is set.
	Kind  Kind
	Ended bool
	// Unread is the error of a header field that could not be parsed, if that is the change.
	Unread error
}

// Never is longer than any request waits.
const Never = time.Duration(1<<63 - 1)
