// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package relay

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"fawnwinch.org/fawnwinch/modules/clock"
	"fawnwinch.org/fawnwinch/modules/httpx"
	"fawnwinch.org/fawnwinch/modules/memory"
)

const (
	// defaultStall is how long a caller may take to read a part of an answer before its connection is
	// closed: it holds a descriptor, and memory for the rest of the answer.
	defaultStall = 15 * time.Second
	// partBytes is the size of the parts in which a complete answer is written.
	partBytes = 64 << 10
)

// readBody reads the body of a request, which has to arrive by the deadline of the request.
func (x *exchange) readBody() ([]byte, *refusal) {
	hold := x.hold(nil)
	body, err := httpx.ReadBodyBy(x.w, x.req, clock.Until(x.deadline), func(body io.Reader) ([]byte, error) {
		return hold.ReadAll(body, x.req.ContentLength, x.maxBytes)
	})
	var full memory.ErrFull
	var large httpx.ErrTooLarge
	var incomplete httpx.ErrIncomplete
	switch {
	case err == nil:
		return body, nil
	case errors.As(err, &large):
		return nil, &refusal{status: http.StatusRequestEntityTooLarge, reason: ReasonTooLarge}
	case errors.As(err, &full):
		return nil, &refusal{status: http.StatusServiceUnavailable, reason: ReasonNoMemory, retryAfter: retryBusy + retrySpread()}
	case errors.As(err, &incomplete):
		return nil, &refusal{status: http.StatusRequestTimeout, reason: ReasonIncomplete}
	default:
		return nil, &refusal{status: http.StatusBadRequest, reason: ReasonBadRequest}
	}
}

// allowWrite bounds the time for the next part of the answer.
func (x *exchange) allowWrite() {
	_ = http.NewResponseController(x.w).SetWriteDeadline(clock.ConnDeadline(x.r.stall)) // recorders of tests have none
}

// writeParts writes the body of a complete answer. Each part may take as long as a caller may stall.
func (x *exchange) writeParts(body []byte) error {
	for len(body) > 0 {
		part := body[:min(len(body), partBytes)]
		x.allowWrite()
		if _, err := x.w.Write(part); err != nil {
			return fmt.Errorf("write to caller: %w", err)
		}
		body = body[len(part):]
	}
	return nil
}
