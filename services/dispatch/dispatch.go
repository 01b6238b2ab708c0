// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package dispatch forwards a caller's request to an upstream and returns its answer. It is the
// only layer that retries.
package dispatch

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"fawnwinch.org/fawnwinch/models/account"
	"fawnwinch.org/fawnwinch/models/request"
	"fawnwinch.org/fawnwinch/models/service"
	"fawnwinch.org/fawnwinch/models/upstream"
	"fawnwinch.org/fawnwinch/modules/clock"
	"fawnwinch.org/fawnwinch/modules/httpx"
	"fawnwinch.org/fawnwinch/modules/timeline"
	"fawnwinch.org/fawnwinch/services/directory"
	"fawnwinch.org/fawnwinch/services/membership"
	"fawnwinch.org/fawnwinch/services/retry"
)

// Request is one caller's request.
type Request struct {
	ID          request.ID
	Account     account.ID
	Service     *service.Service
	Method      string
	Path        string
	Query       string
	ContentType string
	Priority    string
	Body        []byte
	// Key is the caller's idempotency key, if it sent one.
	Key request.Key
	// Once marks a request that may not be repeated.
	Once     bool
	Deadline time.Time
	// Stream reports whether the answer is a stream of tokens.
	Stream bool
}

// Result is the outcome of a request. The body of a streamed answer is written to the Sink instead.
type Result struct {
	Outcome     request.Outcome
	Reason      string
	Status      int
	ContentType string
	Body        []byte
	RetryAfter  time.Duration
	Upstream    upstream.ID
	Attempts    int
}

// Sink receives the events of a streamed answer.
type Sink interface {
	// Part sends one event of the stream to the caller. It returns an error if the caller has
	// disconnected.
	Part(event []byte) error
}

// Reasons that are returned to callers.
const (
	ReasonNoUpstream = "no-upstream"
	ReasonDeadline   = "deadline"
	ReasonCut        = "cut"
	ReasonNoOwner    = "no-owner"
	ReasonBudget     = "retry-budget"
)

const (
	// maxAttempts bounds the attempts of one request.
	maxAttempts = 4
	// maxCuts is the number of upstreams that may fail while they run a request before it is not
	// sent again: one failure is most often chance, two may mean that the request crashes every
	// upstream that runs it.
	maxCuts = 2
	// dialTimeout bounds a connection attempt to an agent.
	dialTimeout = 500 * time.Millisecond
	// defaultRetryAfter is the retry advice if an answer contains none.
	defaultRetryAfter = time.Second
)

// Dispatcher forwards requests. It is safe for concurrent use.
type Dispatcher struct {
	dir    *directory.Directory
	client *http.Client
	ring   *timeline.Ring

	mu      sync.Mutex
	limits  retry.Limits
	budgets map[service.ID]*retry.Budget
}

// New returns a dispatcher.
func New(dir *directory.Directory, ring *timeline.Ring, l retry.Limits) *Dispatcher {
	return &Dispatcher{
		dir: dir, ring: ring, limits: l, budgets: map[service.ID]*retry.Budget{},
		client: &http.Client{Transport: httpx.NewTransport(dialTimeout, 256)},
	}
}

// Close closes idle connections.
func (d *Dispatcher) Close() { d.client.CloseIdleConnections() }

// Do forwards a request until it has an outcome. The sink is used for streamed answers only.
func (d *Dispatcher) Do(ctx context.Context, r *Request, sink Sink) Result {
	ctx, cancel := clock.WithDeadline(ctx, r.Deadline)
	defer cancel()
	var res Result
	switch {
	case r.Once:
		res = d.doOnce(ctx, r)
	case r.Stream:
		res = d.doStream(ctx, r, sink)
	default:
		res = d.doBuffered(ctx, r)
	}
	if res.Outcome == request.OutcomeAnswered {
		d.earnRetry(r)
	} else if res.RetryAfter == 0 {
		res.RetryAfter = defaultRetryAfter
	}
	return res
}

// budget returns the retry budget of a service. The caller holds the lock.
func (d *Dispatcher) budget(now time.Time, id service.ID) *retry.Budget {
	share := d.dir.RetryShare()
	b, ok := d.budgets[id]
	if !ok {
		b = retry.NewBudget(now, d.limits, share)
		d.budgets[id] = b
	}
	b.SetLimits(now, d.limits, share)
	return b
}

// earnRetry records an answered request, which earns a fraction of a retry.
func (d *Dispatcher) earnRetry(r *Request) {
	now := clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.budget(now, r.Service.ID).Request(now)
}

// mayRetry takes one retry out of the budget.
func (d *Dispatcher) mayRetry(r *Request) bool {
	now := clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	_, ok := d.budget(now, r.Service.ID).Take(now)
	return ok
}

// attempts counts the attempts of a request at upstreams.
type attempts struct {
	// sent reports whether the request was sent, and cuts counts the upstreams that failed then.
	sent bool
	cuts int
}

// mayRetry reports whether a request may be sent once more after an attempt that ended with out.
// Until it has been sent for the first time, no retry is needed.
func (a *attempts) mayRetry(d *Dispatcher, r *Request, out attemptEnd) bool {
	a.sent = a.sent || out.kind != kindNotSent
	if out.broke() {
		a.cuts++
	}
	return a.cuts < maxCuts && (!a.sent || d.mayRetry(r))
}

// doBuffered forwards a request that may be repeated and has an unstreamed answer.
func (d *Dispatcher) doBuffered(ctx context.Context, r *Request) Result {
	tried := map[upstream.ID]bool{}
	last := Result{Outcome: request.OutcomeNotRun, Reason: ReasonNoUpstream}
	var a attempts
	for n := 1; n <= maxAttempts; n++ {
		e, ok := d.next(r, tried)
		if !ok {
			return last
		}
		tried[e.Beat.Upstream] = true
		out := d.attempt(ctx, e, r, attemptOptions{})
		d.dir.Done(clock.Now(), e.Beat.Upstream)
		last = out.result(n, e)
		d.trace(r, e, out)
		if out.kind == kindAnswered || ctx.Err() != nil || !a.mayRetry(d, r, out) {
			return last
		}
	}
	return last
}

// next picks an upstream that was not tried yet, or any upstream when all were tried.
func (d *Dispatcher) next(r *Request, tried map[upstream.ID]bool) (membership.Entry, bool) {
	now := clock.Now()
	e, ok := d.dir.Pick(now, r.Service, tried)
	if !ok && len(tried) > 0 {
		e, ok = d.dir.Pick(now, r.Service, nil)
	}
	if ok {
		l := e.Beat.Load
		d.ring.Add(now, timeline.Event{
			Kind: timeline.KindDecision, Name: "pick", Request: string(r.ID),
			Detail: fmt.Sprintf("upstream=%s attempt=%d in_flight=%d queued=%d step_us=%d load_age=%s",
				e.Beat.Upstream, len(tried)+1, l.InFlight, l.Queued, l.StepMicros, now.Sub(e.LoadAt).Round(time.Millisecond)),
		})
	}
	return e, ok
}

func (d *Dispatcher) trace(r *Request, e membership.Entry, out attemptEnd) {
	d.ring.Add(clock.Now(), timeline.Event{
		Kind: timeline.KindRequest, Name: "attempt-end", Request: string(r.ID),
		Detail: "upstream=" + string(e.Beat.Upstream) + " end=" + string(out.kind) + " reason=" + out.reason,
	})
}

// jitter returns a random pause between half of d and d.
func jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d/2+1) //nolint:gosec // not used for secrets
}

// pause waits for a jittered d or the end of ctx.
func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(jitter(d))
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
