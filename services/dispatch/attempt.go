// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"fawnwinch.org/fawnwinch/models/request"
	"fawnwinch.org/fawnwinch/modules/clock"
	"fawnwinch.org/fawnwinch/modules/httpx"
	"fawnwinch.org/fawnwinch/services/membership"
	"fawnwinch.org/fawnwinch/services/once"
)

// kind classifies the end of one attempt.
type kind string

const (
	// kindAnswered is a complete answer.
	kindAnswered kind = "answered"
	// kindNotRun means that an agent reported that the request has not run.
	kindNotRun kind = "not-run"
	// kindNotSent means that no connection could be made: the request has not run.
	kindNotSent kind = "not-sent"
	// kindUnknown means that an agent reported that the request may have run.
	kindUnknown kind = "unknown"
	// kindCut means that the connection broke, or that the answer was incomplete or invalid: the
	// request may have run.
	kindCut kind = "cut"
	// kindGone means that the caller disconnected or its deadline has passed after the request was
	// sent: the request may have run.
	kindGone kind = "gone"
)

// attemptOptions are the parameters of one attempt.
type attemptOptions struct {
	// once marks a request that may not be repeated; slice and epoch identify the owner that it is
	// sent to.
	once  bool
	slice request.KeySlice
	epoch once.Epoch
	// ask marks a query for the outcome of an earlier attempt: the request must not run now.
	ask bool
	// logAge is how long the router has been unable to reach the log.
	logAge time.Duration
	// body is sent instead of the request's body if it is not nil.
	body []byte
}

// attemptEnd is the outcome of one attempt.
type attemptEnd struct {
	kind        kind
	reason      string
	status      int
	contentType string
	body        []byte
	retryAfter  time.Duration
}

// broke reports whether the upstream, its agent or the connection to it failed while the request
// may have run.
func (a attemptEnd) broke() bool { return a.kind == kindCut || a.kind == kindUnknown }

// result returns the result of a request whose n-th attempt, at the upstream of e, ended with a and
// was the last one.
func (a attemptEnd) result(n int, e membership.Entry) Result {
	r := Result{
		Reason: a.reason, Status: a.status, ContentType: a.contentType, Body: a.body,
		RetryAfter: a.retryAfter, Upstream: e.Beat.Upstream, Attempts: n,
	}
	switch a.kind {
	case kindAnswered:
		r.Outcome = request.OutcomeAnswered
	case kindNotRun, kindNotSent:
		r.Outcome = request.OutcomeNotRun
	case kindUnknown, kindCut, kindGone:
		r.Outcome = request.OutcomeUnknown
	}
	return r
}

// attempt sends a request to one agent and reads the complete answer.
func (d *Dispatcher) attempt(ctx context.Context, e membership.Entry, r *Request, o attemptOptions) attemptEnd {
	resp, end := d.open(ctx, e, r, o)
	if resp == nil {
		return end
	}
	defer func() { _ = resp.Body.Close() }()
	end = classify(resp, r.ID)
	body, err := httpx.ReadAll(resp.Body, request.MaxBody)
	if err != nil {
		return broken(ctx, err)
	}
	end.body = body
	return end
}

// open sends a request and returns the response once its head has been read, or the outcome of an
// attempt that got no response.
func (d *Dispatcher) open(ctx context.Context, e membership.Entry, r *Request, o attemptOptions) (*http.Response, attemptEnd) {
	body := r.Body
	if o.body != nil {
		body = o.body
	}
	url := "http://" + e.Beat.HTTP + r.Path
	if r.Query != "" {
		url += "?" + r.Query
	}
	req, err := http.NewRequestWithContext(ctx, r.Method, url, nil)
	if err != nil {
		return nil, attemptEnd{kind: kindNotSent, reason: err.Error()}
	}
	httpx.SetBody(req, body)
	setHeaders(req, r, o)
	resp, err := d.client.Do(req)
	if err == nil {
		return resp, attemptEnd{}
	}
	if httpx.NotSent(err) {
		d.dir.MarkUnreachable(e)
		return nil, attemptEnd{kind: kindNotSent, reason: "unreachable"}
	}
	return nil, broken(ctx, err)
}

// broken returns the outcome of an attempt that was sent and got no complete answer.
func broken(ctx context.Context, err error) attemptEnd {
	if ctx.Err() != nil {
		return attemptEnd{kind: kindGone, reason: ReasonDeadline}
	}
	return attemptEnd{kind: kindCut, reason: ReasonCut + ": " + err.Error()}
}

// Headers that are used only between routers and agents.
const (
	// HeaderAsk marks a request that must not run now.
	HeaderAsk = "Fawnwinch-Ask"
	// HeaderEpoch carries the epoch of the owner that a request is sent to.
	HeaderEpoch = "Fawnwinch-Epoch"
	// HeaderLogAge carries how long the router has been unable to reach the log, in milliseconds.
	HeaderLogAge = "Fawnwinch-Log-Age-Ms"
)

func setHeaders(req *http.Request, r *Request, o attemptOptions) {
	h := req.Header
	h.Set(request.HeaderID, string(r.ID))
	h.Set(request.HeaderAccount, string(r.Account))
	h.Set(request.HeaderService, string(r.Service.ID))
	h.Set(request.HeaderBudget, strconv.FormatInt(max(1, clock.Until(r.Deadline).Milliseconds()), 10))
	if r.ContentType != "" {
		h.Set("Content-Type", r.ContentType)
	}
	if r.Priority != "" {
		h.Set("Priority", r.Priority)
	}
	if r.Key != "" {
		h.Set(request.HeaderKey, string(r.Key))
	}
	if !o.once {
		return
	}
	h.Set(request.HeaderOnce, strconv.Itoa(int(o.slice)))
	h.Set(HeaderEpoch, strconv.FormatUint(uint64(o.epoch), 10))
	h.Set(HeaderLogAge, strconv.FormatInt(o.logAge.Milliseconds(), 10))
	if o.ask {
		h.Set(HeaderAsk, "1")
	}
}

// classify derives the outcome of an attempt from the head of an agent's answer.
func classify(resp *http.Response, id request.ID) attemptEnd {
	end := attemptEnd{
		status: resp.StatusCode, contentType: resp.Header.Get("Content-Type"),
		reason: resp.Header.Get(request.HeaderReason),
	}
	if s, err := strconv.Atoi(resp.Header.Get("Retry-After")); err == nil {
		end.retryAfter = time.Duration(s) * time.Second
	}
	if got := resp.Header.Get(request.HeaderID); got != string(id) {
		return attemptEnd{kind: kindCut, reason: fmt.Sprintf("answer of another request: %q", got)}
	}
	switch request.Outcome(resp.Header.Get(request.HeaderOutcome)) {
	case request.OutcomeAnswered:
		end.kind = kindAnswered
	case request.OutcomeNotRun:
		end.kind = kindNotRun
	case request.OutcomeUnknown:
		end.kind = kindUnknown
	default:
		end.kind, end.reason = kindCut, "answer without an outcome"
	}
	return end
}

// streaming reports whether an answer is a stream of events.
func streaming(resp *http.Response) bool {
	return strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream")
}
