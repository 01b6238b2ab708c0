// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package services

import (
	"context"
	"net/http"
	"time"

	"fawnwinch.org/fawnwinch/models/account"
	"fawnwinch.org/fawnwinch/models/catalog"
	"fawnwinch.org/fawnwinch/models/prompt"
	"fawnwinch.org/fawnwinch/models/request"
	"fawnwinch.org/fawnwinch/models/upstream"
	"fawnwinch.org/fawnwinch/services/condition"
)

// CallerMeta holds what a router reads from the header of a caller's request.
type CallerMeta struct {
	ID request.ID
	// Patience is the caller's timeout; 0 if it is not given.
	Patience time.Duration
	Key      catalog.Key
	// PromptTokens is the size of the prompt; 0 if it is not given.
	PromptTokens int
	// AnswerTokens is the caller's estimate of the size of the answer, and MaxAnswerTokens the
	// largest answer that it accepts; 0 if they are not given.
	AnswerTokens, MaxAnswerTokens int
	// Parts are the parts of the prompt that other requests may share, in order; nil if they are not
	// given.
	Parts []prompt.Part
	// LastEvent is the ID of the last event that the caller received of a stream it wants to
	// resume.
	LastEvent string
}

// OutgoingMeta holds what a router adds to a request to an upstream.
type OutgoingMeta struct {
	Upstream upstream.ID
	Account  account.ID
	// Left is the time left until the caller's deadline.
	Left time.Duration
	// LastEvent is the ID of the last event that the caller received of a stream, or empty.
	LastEvent string
	// Urgency orders the requests that wait at an upstream; the smallest value is first.
	Urgency int
}

// Execution reports whether an upstream has run a request that it answered.
type Execution string

// The kinds of execution.
const (
	// ExecutionDone means that the request ran and this is its answer.
	ExecutionDone Execution = "done"
	// ExecutionFailed means that the request ran and failed.
	ExecutionFailed Execution = "failed"
	// ExecutionNone means that the request did not run: the upstream is full or leaving.
	ExecutionNone Execution = "none"
	// ExecutionMisdirected means that the request was misdirected: another upstream has the address,
	// and the request did not run.
	ExecutionMisdirected Execution = "stranger"
)

// UpstreamAnswer holds what a router reads from the header of an upstream's answer.
type UpstreamAnswer struct {
	// ID is the request that is answered; empty if it is not given.
	ID        request.ID
	Execution Execution
	// Notice is the upstream's report of its own state. With ExecutionMisdirected it is from a
	// different upstream than the addressed one.
	Notice upstream.Notice
}

// CallerProtocol translates the headers of requests and answers.
type CallerProtocol interface {
	// ParseRequest reads the header of a caller's request.
	ParseRequest(h http.Header) CallerMeta
	// UpstreamHeader returns the header for an upstream.
	UpstreamHeader(h http.Header, o OutgoingMeta) http.Header
	// ParseAnswer reads the status and header of an upstream's answer.
	ParseAnswer(status int, h http.Header) UpstreamAnswer
	// CallerHeader returns the header for the caller.
	CallerHeader(h http.Header) http.Header
	// RefusalHeader returns the header of an answer from the router itself. after is the time after
	// which the caller may retry, or 0.
	RefusalHeader(id request.ID, after time.Duration) http.Header
}

// PermitGrantor grants permits to send requests to upstreams that limit the requests from all
// routers together.
type PermitGrantor interface {
	// RequestPermits requests permits. If it returns an error, none were granted.
	RequestPermits(ctx context.Context, now time.Time, ask condition.PermitRequest) (condition.PermitReply, error)
}
