// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package agent

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"fawnwinch.org/fawnwinch/models/account"
	"fawnwinch.org/fawnwinch/models/request"
	"fawnwinch.org/fawnwinch/models/upstream"
	"fawnwinch.org/fawnwinch/modules/clock"
	"fawnwinch.org/fawnwinch/modules/httpx"
	"fawnwinch.org/fawnwinch/modules/metrics"
	"fawnwinch.org/fawnwinch/modules/timeline"
	"fawnwinch.org/fawnwinch/services/dispatch"
	"fawnwinch.org/fawnwinch/services/once"
	"fawnwinch.org/fawnwinch/services/share"
)

// Reasons in answers to routers and callers.
const (
	reasonLeaving      = "leaving"
	reasonWrongService = "wrong-service"
	reasonBadRequest   = "bad-request"
	reasonDown         = "upstream-unreachable"
	reasonCut          = "upstream-cut"
	reasonForeign      = "foreign-answer"
	reasonNoOnce       = "not-a-plain-service"
)

// routerRequest is one request from a router.
type routerRequest struct {
	id       request.ID
	account  account.ID
	deadline time.Time
	body     []byte
	priority int
}

// Paths that the agent serves itself; all others are those of its upstream.
const (
	pathMetrics = "GET /fawnwinch/metrics"
	pathHealth  = "GET /fawnwinch/healthz"
	pathReady   = "GET /fawnwinch/readyz"
)

func (a *Agent) handler(m *metrics.Metrics) http.Handler {
	mux := http.NewServeMux()
	mux.Handle(pathMetrics, m.Handler())
	mux.HandleFunc(pathHealth, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc(pathReady, func(w http.ResponseWriter, _ *http.Request) {
		if a.State() != upstream.StateReady || a.Config().Revision == 0 {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	mux.HandleFunc("/", a.serve)
	return mux
}

// errBadHeader reports a missing or invalid header in a router's request.
type errBadHeader struct{ name, value string }

func (e errBadHeader) Error() string {
	return fmt.Sprintf("header %s: value %q", e.name, e.value)
}

func readRequest(r *http.Request, now time.Time) (routerRequest, error) {
	budget, err := strconv.Atoi(r.Header.Get(request.HeaderBudget))
	if err != nil || budget <= 0 {
		return routerRequest{}, errBadHeader{name: request.HeaderBudget, value: r.Header.Get(request.HeaderBudget)}
	}
	c := routerRequest{id: request.ID(r.Header.Get(request.HeaderID)), account: account.ID(r.Header.Get(request.HeaderAccount))}
	if c.id == "" || c.account == "" {
		return routerRequest{}, errBadHeader{name: request.HeaderID + " or " + request.HeaderAccount}
	}
	c.deadline = now.Add(time.Duration(budget) * time.Millisecond)
	c.priority, _ = strconv.Atoi(r.Header.Get("Priority"))
	c.body, err = httpx.ReadAll(r.Body, request.MaxBody)
	if err != nil {
		return routerRequest{}, fmt.Errorf("request %s: %w", c.id, err)
	}
	return c, nil
}

func (a *Agent) serve(w http.ResponseWriter, r *http.Request) {
	a.inFlight.Add(1)
	defer a.inFlight.Add(-1)
	now := clock.Now()
	c, err := readRequest(r, now)
	w.Header().Set(request.HeaderID, string(c.id))
	switch {
	case err != nil:
		writeAnswer(w, once.Answer{Outcome: request.OutcomeNotRun, Reason: reasonBadRequest, Status: http.StatusBadRequest}, 0)
	case r.Header.Get(request.HeaderService) != string(a.set.Upstream.Service):
		writeAnswer(w, once.Answer{Outcome: request.OutcomeNotRun, Reason: reasonWrongService}, 0)
	case r.Header.Get(request.HeaderOnce) != "":
		a.serveOnce(w, r, c)
	case a.refusesWork(now):
		writeAnswer(w, once.Answer{Outcome: request.OutcomeNotRun, Reason: reasonLeaving}, time.Second)
	default:
		a.serveShared(w, r, c)
	}
}

// serveShared passes a request that may be repeated to the upstream once its account is admitted.
func (a *Agent) serveShared(w http.ResponseWriter, r *http.Request, c routerRequest) {
	leave, refusal, err := a.gate.Acquire(r.Context(), share.Item{Account: c.account, Deadline: c.deadline, Priority: c.priority})
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if refusal != nil {
		a.recordEvent(c, "refused", string(refusal.Reason))
		writeAnswer(w, once.Answer{Outcome: request.OutcomeNotRun, Reason: string(refusal.Reason)}, refusal.RetryAfter)
		return
	}
	defer leave()
	a.recordEvent(c, "sent-to-upstream", "")
	ctx, cancel := clock.WithDeadline(r.Context(), c.deadline)
	defer cancel()
	a.forward(ctx, w, r, c)
}

func (a *Agent) recordEvent(c routerRequest, name, reason string) {
	a.ring.Add(clock.Now(), timeline.Event{Kind: timeline.KindRequest, Name: name, Request: string(c.id), Detail: "account=" + string(c.account) + " reason=" + reason})
}

// upstreamRequest makes the request to the upstream. Its body cannot be rewound, so that the
// transport never sends it a second time by itself, not even with an idempotency key on it.
func (a *Agent) upstreamRequest(ctx context.Context, r *http.Request, c routerRequest) (*http.Request, error) {
	url := "http://" + a.set.Upstream.Address + r.URL.Path
	if r.URL.RawQuery != "" {
		url += "?" + r.URL.RawQuery
	}
	req, err := http.NewRequestWithContext(ctx, r.Method, url, nil)
	if err != nil {
		return nil, fmt.Errorf("make request to upstream: %w", err)
	}
	if r.Method == http.MethodGet || r.Method == http.MethodHead {
		httpx.SetBody(req, nil)
	} else {
		httpx.SetBody(req, c.body)
	}
	for _, name := range []string{"Content-Type", "Priority", request.HeaderID, request.HeaderAccount, request.HeaderKey} {
		if v := r.Header.Get(name); v != "" {
			req.Header.Set(name, v)
		}
	}
	return req, nil
}

// forward sends a request to the upstream and returns its answer to the router.
func (a *Agent) forward(ctx context.Context, w http.ResponseWriter, r *http.Request, c routerRequest) {
	req, err := a.upstreamRequest(ctx, r, c)
	if err != nil {
		writeAnswer(w, once.Answer{Outcome: request.OutcomeNotRun, Reason: reasonBadRequest}, 0)
		return
	}
	resp, err := a.client.Do(req)
	if err != nil {
		writeAnswer(w, failedAnswer(err), 0)
		return
	}
	defer func() { _ = resp.Body.Close() }()
	if got := resp.Header.Get(request.HeaderID); got != string(c.id) {
		a.recordEvent(c, "foreign-answer", got)
		writeAnswer(w, once.Answer{Outcome: request.OutcomeUnknown, Reason: reasonForeign}, 0)
		return
	}
	if resp.Header.Get("Content-Type") == "text/event-stream" {
		forwardStream(w, resp)
		return
	}
	body, err := httpx.ReadAll(resp.Body, request.MaxBody)
	if err != nil {
		writeAnswer(w, once.Answer{Outcome: request.OutcomeUnknown, Reason: reasonCut}, 0)
		return
	}
	writeAnswer(w, once.Answer{Outcome: request.OutcomeAnswered, Status: resp.StatusCode, ContentType: resp.Header.Get("Content-Type"), Body: body}, 0)
}

// failedAnswer returns the answer for a request that the upstream did not answer: not run if it was
// never sent, otherwise unknown.
func failedAnswer(err error) once.Answer {
	if httpx.NotSent(err) {
		return once.Answer{Outcome: request.OutcomeNotRun, Reason: reasonDown}
	}
	return once.Answer{Outcome: request.OutcomeUnknown, Reason: reasonCut}
}

// forwardStream copies a stream to the router as it arrives. If reading from the upstream fails, it
// aborts the connection to the router: a normal return would end the answer as if the stream were
// complete.
func forwardStream(w http.ResponseWriter, resp *http.Response) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set(request.HeaderOutcome, string(request.OutcomeAnswered))
	w.WriteHeader(resp.StatusCode)
	flusher, ok := w.(http.Flusher)
	buf := make([]byte, 16<<10)
	for {
		n, err := resp.Body.Read(buf)
		if n > 0 {
			if _, werr := w.Write(buf[:n]); werr != nil {
				return
			}
			if ok {
				flusher.Flush()
			}
		}
		if errors.Is(err, io.EOF) {
			return
		}
		if err != nil {
			panic(http.ErrAbortHandler)
		}
	}
}

// writeAnswer writes the answer to a router.
func writeAnswer(w http.ResponseWriter, e once.Answer, retryAfter time.Duration) {
	h := w.Header()
	h.Set(request.HeaderOutcome, string(e.Outcome))
	h.Set(request.HeaderReason, e.Reason)
	if e.ContentType != "" {
		h.Set("Content-Type", e.ContentType)
	}
	if retryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int((retryAfter+time.Second-1)/time.Second)))
	}
	h.Set("Content-Length", strconv.Itoa(len(e.Body)))
	status := e.Status
	if status == 0 {
		status = http.StatusServiceUnavailable
	}
	w.WriteHeader(status)
	_, _ = w.Write(e.Body)
}

// serveOnce runs a request that must not be repeated.
func (a *Agent) serveOnce(w http.ResponseWriter, r *http.Request, c routerRequest) {
	slice, err := strconv.Atoi(r.Header.Get(request.HeaderOnce))
	if err != nil || slice < 0 || slice >= once.Slices || a.once == nil {
		writeAnswer(w, once.Answer{Outcome: request.OutcomeNotRun, Reason: reasonNoOnce, Status: http.StatusBadRequest}, 0)
		return
	}
	key := request.Key(r.Header.Get(request.HeaderKey))
	if request.KeySliceOf(c.account, key, once.Slices) != request.KeySlice(slice) {
		writeAnswer(w, once.Answer{Outcome: request.OutcomeNotRun, Reason: reasonBadRequest, Status: http.StatusBadRequest}, 0)
		return
	}
	epoch, _ := strconv.ParseUint(r.Header.Get(dispatch.HeaderEpoch), 10, 64)
	logAge, _ := strconv.Atoi(r.Header.Get(dispatch.HeaderLogAge))
	attempt := once.Attempt{
		Request: c.id, Key: once.NewKeyID(c.account, key), Slice: request.KeySlice(slice), Epoch: once.Epoch(epoch),
		Digest: requestDigest(r, c.body), Deadline: c.deadline, AskOnly: r.Header.Get(dispatch.HeaderAsk) != "",
		RouterLogAge: time.Duration(logAge) * time.Millisecond,
	}
	answer := a.once.Do(r.Context(), attempt, func(ctx context.Context) once.Answer { return a.runOnce(ctx, r, c) })
	a.recordEvent(c, "once-"+string(answer.Outcome), answer.Reason)
	writeAnswer(w, answer, 0)
}

// requestDigest returns the digest of the method, path, query and body that a key stands
// for.
func requestDigest(r *http.Request, body []byte) request.Digest {
	return request.NewDigest(body, r.Method, r.URL.Path, r.URL.RawQuery)
}

// runOnce waits until the account is admitted and sends the request to the upstream, once.
func (a *Agent) runOnce(ctx context.Context, r *http.Request, c routerRequest) once.Answer {
	leave, refusal, err := a.gate.Acquire(ctx, share.Item{Account: c.account, Deadline: c.deadline, Priority: c.priority})
	if err != nil {
		return once.Answer{Outcome: request.OutcomeNotRun, Reason: string(share.ReasonDeadline)}
	}
	if refusal != nil {
		return once.Answer{Outcome: request.OutcomeNotRun, Reason: string(refusal.Reason)}
	}
	defer leave()
	req, err := a.upstreamRequest(ctx, r, c)
	if err != nil {
		return once.Answer{Outcome: request.OutcomeNotRun, Reason: reasonBadRequest}
	}
	a.recordEvent(c, "sent-to-upstream", "")
	resp, err := a.client.Do(req)
	if err != nil {
		return failedAnswer(err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := httpx.ReadAll(resp.Body, request.MaxBody)
	if err != nil {
		return once.Answer{Outcome: request.OutcomeUnknown, Reason: reasonCut}
	}
	if resp.Header.Get(request.HeaderID) != string(c.id) {
		return once.Answer{Outcome: request.OutcomeUnknown, Reason: reasonForeign}
	}
	return once.Answer{Outcome: request.OutcomeAnswered, Status: resp.StatusCode, ContentType: resp.Header.Get("Content-Type"), Body: body}
}
