// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package httpx

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"fawnwinch.org/fawnwinch/modules/clock"
)

// ErrIncomplete reports a body that has not arrived in time.
type ErrIncomplete struct{ Within time.Duration }

func (e ErrIncomplete) Error() string { return fmt.Sprintf("body has not arrived within %s", e.Within) }

// ReadBody reads the body of a request, of at most limit bytes, which has to arrive within a time. If
// it does not, the connection is closed after the answer, as the rest of the body is not waited for.
func ReadBody(w http.ResponseWriter, r *http.Request, limit int64, within time.Duration) ([]byte, error) {
	return ReadBodyBy(w, r, within, func(body io.Reader) ([]byte, error) { return ReadAll(body, limit) })
}

// ReadBodyBy is ReadBody with a function that reads the body.
func ReadBodyBy(w http.ResponseWriter, r *http.Request, within time.Duration, read func(body io.Reader) ([]byte, error)) ([]byte, error) {
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(clock.ConnDeadline(within)) // recorders of tests have none
	body, err := read(r.Body)
	var timeout net.Error
	switch {
	case err == nil:
		// The same connection tells later whether the caller leaves.
		_ = control.SetReadDeadline(time.Time{})
		return body, nil
	case errors.As(err, &timeout) && timeout.Timeout():
		w.Header().Set("Connection", "close")
		return nil, ErrIncomplete{Within: within}
	default:
		return nil, err
	}
}
