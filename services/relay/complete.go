// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package relay

import (
	"cmp"
	"context"
	"errors"
	"net/http"
	"strconv"

	"fawnwinch.org/fawnwinch/models/upstream"
	"fawnwinch.org/fawnwinch/modules/clock"
	"fawnwinch.org/fawnwinch/services/balance"
	"fawnwinch.org/fawnwinch/services/quarantine"
)

// completed returns what an answer that was read to its end clears. A failure clears the content: it
// ran, and the upstream goes on. It does not clear the parts of the prompt, as the upstream may not
// have begun to write an answer.
func (x *exchange) completed(status int) quarantine.Subject {
	if status >= http.StatusMultipleChoices {
		return quarantine.Subject{Content: x.subject.Content}
	}
	return x.subject
}

// errEvicted reports an answer whose memory was needed for others.
var errEvicted = errors.New("the answer was dropped, as its memory was needed for others")

// completeAnswer is an answer that was read to its end.
type completeAnswer struct {
	upstream upstream.ID
	status   int
	header   http.Header
	body     []byte
}

// deliverComplete passes an answer on after it has been read to its end.
func (x *exchange) deliverComplete(ctx context.Context, a *answer) bool {
	res := balance.ResultOK
	if a.resp.StatusCode >= http.StatusInternalServerError {
		res = balance.ResultError
	}
	got, ok := x.readComplete(ctx, a, res)
	if ok {
		x.write(got)
	}
	return ok
}

// readComplete reads an answer to its end and records the end of the attempt: with the given
// result, or as broken if the answer is truncated.
func (x *exchange) readComplete(ctx context.Context, a *answer, res balance.Result) (*completeAnswer, bool) {
	hold := x.hold(a.conn.Close)
	body, err := hold.ReadAll(a.resp.Body, a.resp.ContentLength, maxAnswerBytes)
	if kept := hold.Keep(); err != nil || !kept {
		a.drop()
		x.recordBreak(ctx, a, cmp.Or(err, errEvicted))
		return nil, false
	}
	x.r.recordRun(clock.Now(), x.completed(a.resp.StatusCode), quarantine.CompletedRun)
	a.reuseConn(x.r.conns)
	x.release(a.upstream, res, clock.Since(a.began), a.started)
	return &completeAnswer{upstream: a.upstream.ID, status: a.resp.StatusCode, header: x.r.opts.Protocol.CallerHeader(a.resp.Header), body: body}, true
}

// write sends a complete answer to the caller.
func (x *exchange) write(got *completeAnswer) {
	x.last = got.upstream
	x.setHead(got.header)
	x.w.Header().Set("Content-Length", strconv.Itoa(len(got.body)))
	x.w.WriteHeader(got.status)
	if err := x.writeParts(got.body); err != nil {
		x.finish(got.status, ReasonCallerDisconnected)
		return
	}
	x.finish(got.status, ReasonAnswered)
}

// setHead copies the header of an upstream's answer to the answer for the caller.
func (x *exchange) setHead(header http.Header) {
	h := x.w.Header()
	for name, values := range header {
		h[name] = values
	}
	x.closeAfterAnswer()
}
