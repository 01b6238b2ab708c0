// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package request holds what all processes share about a caller's request: identifiers, outcomes,
// headers and limits.
package request

import (
	"fmt"
	"time"

	"fawnwinch.org/fawnwinch/models/account"

	"github.com/cespare/xxhash/v2"
)

// ID identifies one request of a caller. The upstream's answer must echo it.
type ID string

// Key is the idempotency key that a caller gives to a request that may not be repeated. Equal keys
// of different client accounts do not collide.
type Key string

// Outcome says what a caller may rely on once it has its answer.
type Outcome string

// The outcomes.
const (
	// OutcomeAnswered means that the body is the upstream's complete answer.
	OutcomeAnswered Outcome = "answered"
	// OutcomeNotRun means that the request has not run and will not run.
	OutcomeNotRun Outcome = "not-run"
	// OutcomeUnknown means that the request may have run; it is not repeated.
	OutcomeUnknown Outcome = "unknown"
)

// Headers between callers, routers, agents and upstreams.
const (
	// HeaderID carries the request id. The upstream echoes it.
	HeaderID = "X-Request-Id"
	// HeaderOutcome carries the Outcome of every answer.
	HeaderOutcome = "Fawnwinch-Outcome"
	// HeaderReason carries a one-word reason why a request was not run or its outcome is unknown.
	HeaderReason = "Fawnwinch-Reason"
	// HeaderKey carries the idempotency key of a request that may not be repeated.
	HeaderKey = "Idempotency-Key"
	// HeaderAccount carries the client account from a router to an agent.
	HeaderAccount = "Fawnwinch-Account"
	// HeaderService carries the service from a router to an agent.
	HeaderService = "Fawnwinch-Service"
	// HeaderBudget carries the time left for the request, in milliseconds.
	HeaderBudget = "Fawnwinch-Budget-Ms"
	// HeaderOnce marks a request that runs at most once; its value is the slice number.
	HeaderOnce = "Fawnwinch-Once-Slice"
	// HeaderLoad carries the upstream's load from an agent to a router.
	HeaderLoad = "Fawnwinch-Load"
)

// Limits of a request.
const (
	// MaxBody is the largest request or unstreamed answer body, in bytes.
	MaxBody = 8 << 20
	// MaxKey is the longest idempotency key, in bytes.
	MaxKey = 200
	// DefaultBudget is the time budget of a request whose caller gives none.
	DefaultBudget = 30 * time.Second
)

// KeySlice is the part of a service's key space that a key falls into.
type KeySlice int

// KeySliceOf returns the slice of a key of a client account among n slices.
func KeySliceOf(a account.ID, k Key, n int) KeySlice {
	h := xxhash.New()
	_, _ = h.WriteString(string(a))
	_, _ = h.Write([]byte{0})
	_, _ = h.WriteString(string(k))
	return KeySlice(h.Sum64() % uint64(n)) //nolint:gosec // n is a small positive constant
}

// ErrBadKey reports an invalid idempotency key.
type ErrBadKey struct {
	Key    Key
	Reason string
}

func (e ErrBadKey) Error() string {
	return fmt.Sprintf("header %s: value %q %s", HeaderKey, string(e.Key), e.Reason)
}

// CheckKey returns an ErrBadKey if k is not a valid idempotency key.
func CheckKey(k Key) error {
	if k == "" {
		return ErrBadKey{Key: k, Reason: "is missing: this route may not be repeated and needs one"}
	}
	if len(k) > MaxKey {
		return ErrBadKey{Key: k[:MaxKey], Reason: fmt.Sprintf("is longer than %d bytes", MaxKey)}
	}
	for _, c := range []byte(k) {
		if c <= ' ' || c > '~' {
			return ErrBadKey{Key: k, Reason: "holds a byte that is not printable ASCII"}
		}
	}
	return nil
}
