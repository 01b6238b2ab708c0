// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package relay

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"fawnwinch.org/fawnwinch/models/catalog"
	"fawnwinch.org/fawnwinch/models/upstream"
	"fawnwinch.org/fawnwinch/modules/clock"
	"fawnwinch.org/fawnwinch/modules/httpconn"
	"fawnwinch.org/fawnwinch/services"
	"fawnwinch.org/fawnwinch/services/balance"
)

const (
	// maxDials bounds the upstreams that one request tries to connect to.
	maxDials = 3
	// maxCrashes is the number of upstreams that may end while they run a request before it is no
	// longer retried. One is most often chance, as many other requests ran there; two hardly are.
	maxCrashes = 2
	// maxIdleConn is how long after its last answer a connection to an upstream is used again. What
	// is written to a VM that has frozen since, or to a connection that a link has dropped, is lost
	// to the caller or read after the caller has left. A frozen VM accepts no connection, so a
	// handshake shows before anything is sent that the upstream is alive; it takes a round trip.
	maxIdleConn = 100 * time.Millisecond
	// maxStaleAnswers bounds the answers to other requests that are skipped on one connection.
	maxStaleAnswers = 2
	// maxAnswerBytes bounds the body of an answer that is buffered before it is passed on.
	maxAnswerBytes = 16 << 20
	// maxDiscardBytes bounds what is read of an answer that is not passed on, so that its connection
	// can be used again. Refusals are short; the rest of a longer answer costs more than a connection.
	maxDiscardBytes = 64 << 10
)

// answer is an upstream's answer whose head has been read.
type answer struct {
	upstream upstream.Instance
	conn     *httpconn.Conn
	resp     *http.Response
	head     services.UpstreamAnswer
	began    time.Time
	// started reports whether the first event has arrived, at startedAt; the latest arrived at
	// latestAt.
	started             bool
	startedAt, latestAt time.Time
	// partsCleared reports whether the answer has been arriving for so long that the parts of the
	// prompt are cleared.
	partsCleared bool
	stop         func() bool
}

// run sends a request to upstreams until one answers or no further attempt is allowed.
func (x *exchange) run(ctx context.Context) {
	defer x.r.endRun(x)
	defer x.releaseNext()
	defer x.returnRetry()
	for dials := 0; ; {
		x.r.endRun(x)
		if ref := x.refusalBeforeAttempt(clock.Now()); ref != nil {
			x.fail(ctx, *ref)
			return
		}
		began := clock.Now()
		u, ok := x.nextUpstream(ctx)
		wait := clock.Since(began)
		x.waited, x.waitedUnsent = x.waited+wait, x.waitedUnsent+wait
		if !ok {
			x.fail(ctx, x.busy())
			return
		}
		x.last = u.ID
		sent := clock.Now()
		a, res, err := x.attempt(ctx, u)
		if res == balance.ResultUnsent && ctx.Err() == nil {
			x.release(u, res, clock.Since(began), false)
			if errors.Is(err, errNoRetry) {
				x.failNotRun(ctx)
				return
			}
			continue
		}
		x.waitedUnsent = 0
		if err == nil {
			if x.deliver(ctx, a) {
				return
			}
		} else {
			x.release(u, res, clock.Since(began), false)
			x.logFailedAttempt(u, res, err)
			if res == balance.ResultBroken {
				x.r.probeAfterBreak(ctx, x, u, sent, 0)
			}
		}
		x.tried[u.ID] = true
		if res == balance.ResultUnreached {
			if dials++; dials >= maxDials {
				x.fail(ctx, x.busy())
				return
			}
			continue
		}
		if !x.allowAttempt(ctx) {
			x.failNotRun(ctx)
			return
		}
	}
}

// refusalBeforeAttempt returns the refusal for a request that must not be sent, or nil.
func (x *exchange) refusalBeforeAttempt(now time.Time) *refusal {
	if ref := x.r.quarantineRefusal(now, x); ref != nil {
		return ref
	}
	return x.leavingRefusal(now)
}

// fail answers a request that no upstream has answered, or passes on an earlier failure.
func (x *exchange) fail(ctx context.Context, notRun refusal) {
	stopping, ended := x.stopping()
	switch {
	case x.failure != nil && !x.stream.begun && x.req.Context().Err() == nil:
		x.write(x.failure)
	case x.stream.begun && ended:
		x.finish(http.StatusOK, ReasonStopped)
		panic(http.ErrAbortHandler)
	case x.stream.begun:
		x.finish(http.StatusOK, ReasonStreamBroken)
		panic(http.ErrAbortHandler)
	case x.req.Context().Err() != nil:
		x.finish(0, ReasonCallerDisconnected)
		panic(http.ErrAbortHandler)
	case ended && x.mayRun:
		x.refuse(refusal{status: http.StatusGatewayTimeout, reason: ReasonStopped})
	case ended:
		x.refuse(stopping)
	case x.mayRun && ctx.Err() != nil:
		x.refuse(refusal{status: http.StatusGatewayTimeout, reason: ReasonDeadline})
	case x.mayRun:
		x.refuse(refusal{status: http.StatusBadGateway, reason: ReasonUnknown})
	default:
		x.refuse(notRun)
	}
}

// attempt sends the request to one upstream and reads the head of its answer. After an error, the
// result tells the balancer what the error means for the upstream.
func (x *exchange) attempt(ctx context.Context, u upstream.Instance) (*answer, balance.Result, error) {
	x.r.updateRun(u)
	conn, _, err := x.r.conns.Take(ctx, clock.Now(), u.Address)
	if err != nil {
		if ctx.Err() != nil {
			return nil, balance.ResultUnsent, fmt.Errorf("connect to upstream %s: %w", u.ID, err)
		}
		return nil, balance.ResultUnreached, fmt.Errorf("connect to upstream %s: %w", u.ID, err)
	}
	if res, err := x.authorize(ctx, u); err != nil {
		x.r.conns.Put(clock.Now(), conn, maxIdleConn)
		return nil, res, err
	}
	a := &answer{upstream: u, conn: conn, began: clock.Now()}
	if !x.useRetry(a.began, u) {
		x.r.conns.Put(a.began, conn, maxIdleConn)
		return nil, balance.ResultUnsent, fmt.Errorf("send to upstream %s: %w", u.ID, errNoRetry)
	}
	// When the caller disconnects or the deadline passes, the closed connection ends the upstream's
	// work too.
	stopClosing := context.AfterFunc(ctx, conn.Close)
	if x.attempts++; x.attempts == 1 {
		x.firstSent = a.began
	}
	wasRunning := x.mayRun
	x.mayRun = true
	untrack := x.r.trackAttempt(x, a)
	a.stop = func() bool {
		untrack()
		return stopClosing()
	}
	sent := conn.Send(x.outgoing(u))
	// The upstream may have answered before it has read the whole request, so the answer is read
	// even after a send error.
	if err := x.receive(a); err != nil {
		a.drop()
		return nil, x.brokenResult(ctx), errors.Join(sent, err)
	}
	x.recordNotice(clock.Now(), a)
	x.r.recordAnswer(clock.Now(), a)
	x.mayRun = wasRunning || a.head.Execution == services.ExecutionDone || a.head.Execution == services.ExecutionFailed
	return a, balance.ResultOK, nil
}

// brokenResult returns the result of an attempt whose connection was lost. If ctx has ended or the
// request was rerouted, the router closed the connection itself, and the upstream is not at fault.
func (x *exchange) brokenResult(ctx context.Context) balance.Result {
	if ctx.Err() != nil || x.rerouted() {
		return balance.ResultCancelled
	}
	return balance.ResultBroken
}

// outgoing builds the request for an upstream.
func (x *exchange) outgoing(u upstream.Instance) *httpconn.Request {
	last := x.meta.LastEvent
	if x.stream.lastEvent != "" {
		last = x.stream.lastEvent
	}
	return &httpconn.Request{
		Method: x.req.Method, Target: x.req.RequestURI, Host: x.req.Host, Body: x.body,
		Header: x.r.opts.Protocol.UpstreamHeader(x.req.Header, services.OutgoingMeta{
			Upstream: u.ID, Account: x.account, Left: clock.Until(x.deadline), LastEvent: last, Urgency: x.urgency,
		}),
	}
}

// receive reads the head of the answer to this request. It skips answers to other requests that
// arrive first on the connection, such as a duplicate of the previous answer. An answer that names
// no request is accepted only if the request did not run or failed: otherwise a caller might get
// the answer to another request.
func (x *exchange) receive(a *answer) error {
	for range maxStaleAnswers + 1 {
		resp, err := a.conn.Receive(x.req.Method) //nolint:bodyclose // the connection owns the body
		if err != nil {
			return fmt.Errorf("upstream %s: %w", a.upstream.ID, err)
		}
		a.resp = resp
		a.head = x.r.opts.Protocol.ParseAnswer(resp.StatusCode, resp.Header)
		if a.head.ID == x.meta.ID || (a.head.ID == "" && a.head.Execution != services.ExecutionDone) {
			return nil
		}
		if err := httpconn.Drain(resp, maxDiscardBytes); err != nil {
			return fmt.Errorf("upstream %s: answer to request %q: %w", a.upstream.ID, a.head.ID, err)
		}
	}
	return fmt.Errorf("upstream %s: answers belong to other requests", a.upstream.ID)
}

// drop closes the connection of an answer.
func (a *answer) drop() {
	a.stop()
	a.conn.Close()
}

// reuseConn returns the connection to the pool if it may be reused, and else closes it.
func (a *answer) reuseConn(p *httpconn.Pool) {
	rest, ok := httpconn.Reusable(a.resp)
	if !ok || !a.stop() {
		a.drop()
		return
	}
	p.Put(clock.Now(), a.conn, rest)
}

// deliver passes an answer on, or returns false if another upstream should be tried.
func (x *exchange) deliver(ctx context.Context, a *answer) bool {
	switch a.head.Execution {
	case services.ExecutionNone, services.ExecutionMisdirected:
		res := balance.ResultFull
		if a.head.Execution == services.ExecutionMisdirected {
			res = balance.ResultStranger
		}
		x.discard(a, res, fmt.Errorf("upstream %s: status %d, not run", a.upstream.ID, a.resp.StatusCode))
		return false
	case services.ExecutionFailed:
		return x.deliverFailure(ctx, a)
	case services.ExecutionDone:
	}
	if x.stream.begun && a.resp.StatusCode != http.StatusOK {
		x.discard(a, balance.ResultError, fmt.Errorf("upstream %s: status %d in place of the rest of the stream", a.upstream.ID, a.resp.StatusCode))
		return false
	}
	if x.route.Kind == catalog.KindStream && a.resp.StatusCode == http.StatusOK {
		return x.relayStream(ctx, a)
	}
	return x.deliverComplete(ctx, a)
}

// discard ends an attempt whose answer is not passed on. A connection on which a refusal arrived
// that names no request is not reused: if the refusal was sent twice, the second would be taken for
// the answer to the next request.
func (x *exchange) discard(a *answer, res balance.Result, err error) {
	if derr := httpconn.Drain(a.resp, maxDiscardBytes); derr != nil || a.head.ID == "" {
		a.drop()
	} else {
		a.reuseConn(x.r.conns)
	}
	x.release(a.upstream, res, clock.Since(a.began), a.started)
	x.logFailedAttempt(a.upstream, res, err)
}

// deliverFailure retries the request elsewhere after a failure if that is allowed, or else passes
// the failure on.
func (x *exchange) deliverFailure(ctx context.Context, a *answer) bool {
	if x.stream.begun {
		x.discard(a, balance.ResultError, fmt.Errorf("upstream %s: status %d", a.upstream.ID, a.resp.StatusCode))
		return false
	}
	if x.route.Repeatable() && x.attempts < x.route.MaxAttempts && ctx.Err() == nil && x.holdRetry() {
		return x.saveFailure(ctx, a)
	}
	return x.deliverComplete(ctx, a)
}

// saveFailure saves a failure, to be passed on if no other upstream answers. It always returns
// false, so that another upstream is tried.
func (x *exchange) saveFailure(ctx context.Context, a *answer) bool {
	failure, ok := x.readComplete(ctx, a, balance.ResultError)
	if !ok {
		return false
	}
	x.failure = failure
	x.logFailedAttempt(a.upstream, balance.ResultError, fmt.Errorf("upstream %s: status %d", a.upstream.ID, a.resp.StatusCode))
	return false
}

// logFailedAttempt logs an attempt that did not give the caller a complete answer. A cancelled
// context means that the caller has disconnected: the upstream is not at fault, so the attempt is
// logged at debug level.
func (x *exchange) logFailedAttempt(u upstream.Instance, res balance.Result, err error) {
	event := x.r.opts.Logger.Info()
	if errors.Is(err, context.Canceled) {
		event = x.r.opts.Logger.Debug()
	}
	event.Str("request", string(x.meta.ID)).Stringer("digest", x.digest).Str("account", string(x.account)).Str("upstream", string(u.ID)).Str("address", u.Address).Int("attempt", x.attempts).
		Str("result", string(res)).Bool("may_run", x.mayRun).Err(err).Msg("attempt-failed")
}
