// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package httpx holds the few HTTP helpers that every process needs.
package httpx

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
)

// ErrStatus reports an answer with an unexpected status.
type ErrStatus struct {
	Status int
	Body   string
}

func (e ErrStatus) Error() string { return fmt.Sprintf("status %d: %s", e.Status, e.Body) }

// maxErrorBody bounds how much of a failed answer is kept for the error, in bytes.
const maxErrorBody = 4096

// WriteJSON answers with v as JSON.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// ReadJSON reads a request or answer body of at most limit bytes into v.
func ReadJSON(r io.Reader, limit int64, v any) error {
	raw, err := ReadAll(r, limit)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(raw, v); err != nil {
		return fmt.Errorf("decode body: %w", err)
	}
	return nil
}

// ErrTooLarge reports a body over its limit.
type ErrTooLarge struct{ Limit int64 }

func (e ErrTooLarge) Error() string { return fmt.Sprintf("body is larger than %d bytes", e.Limit) }

// ReadAll reads a body of at most limit bytes.
func ReadAll(r io.Reader, limit int64) ([]byte, error) {
	raw, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err != nil {
		return nil, fmt.Errorf("read body: %w", err)
	}
	if int64(len(raw)) > limit {
		return nil, ErrTooLarge{Limit: limit}
	}
	return raw, nil
}

// Do sends a request, and decodes a 200 answer of at most limit bytes into v (if not nil).
func Do(c *http.Client, req *http.Request, limit int64, v any) error {
	resp, err := c.Do(req)
	if err != nil {
		return fmt.Errorf("%s %s: %w", req.Method, req.URL.Path, err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		raw, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBody))
		return ErrStatus{Status: resp.StatusCode, Body: string(raw)}
	}
	if v == nil {
		_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, limit))
		return nil
	}
	return ReadJSON(resp.Body, limit, v)
}

// NotSent reports whether a request failed before a connection existed, so that nothing was sent.
func NotSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// SetBody gives a request a body that cannot be rewound, even if it is empty. Otherwise a transport
// may resend a GET, or a request with an idempotency key, when the connection breaks, although the
// first one may have run.
func SetBody(req *http.Request, body []byte) {
	req.Body = io.NopCloser(bytes.NewReader(body))
	req.GetBody = nil
	req.ContentLength = int64(len(body))
}

// Listen opens a TCP port.
func Listen(address string) (net.Listener, error) {
	l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", address, err)
	}
	return l, nil
}
