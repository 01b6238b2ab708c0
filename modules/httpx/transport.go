// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package httpx

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync"
	"time"

	"golang.org/x/net/http/httpguts"
)

// maxHeadBytes bounds the head of an answer.
const maxHeadBytes = 64 << 10

// Transport makes calls to a few peers with many requests each. Unlike an http.Transport, it does not
// take an answer for complete that may have been cut off.
type Transport struct{ base *http.Transport }

// NewTransport returns a transport that keeps a number of idle connections for each peer.
func NewTransport(dialTimeout time.Duration, perHost int) *Transport {
	d := &net.Dialer{Timeout: dialTimeout, KeepAlive: time.Second * 15}
	return &Transport{base: &http.Transport{
		DialContext:         d.DialContext,
		MaxIdleConns:        0,
		MaxIdleConnsPerHost: perHost,
		IdleConnTimeout:     90 * time.Second,
		DisableCompression:  true,

		MaxResponseHeaderBytes: maxHeadBytes,
	}}
}

// CloseIdleConnections closes the idle connections.
func (t *Transport) CloseIdleConnections() { t.base.CloseIdleConnections() }

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	u := &upload{done: make(chan struct{})}
	uploads := req.Body != nil && req.Body != http.NoBody
	if uploads {
		req = req.WithContext(httptrace.WithClientTrace(req.Context(), &httptrace.ClientTrace{WroteRequest: u.wrote}))
	}
	resp, err := t.base.RoundTrip(req)
	if err != nil {
		return nil, err //nolint:wrapcheck // as an http.Transport
	}
	if err := checkHead(resp); err != nil {
		_ = resp.Body.Close()
		return nil, err
	}
	if uploads && resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		resp.Body = &unsizedBody{ReadCloser: resp.Body, upload: u, ended: req.Context().Done()}
	}
	return resp, nil
}

// ErrMalformed reports an answer whose head is not valid.
type ErrMalformed struct{ Part, Value string }

func (e ErrMalformed) Error() string {
	return fmt.Sprintf("answer: %s %q is not valid", e.Part, e.Value)
}

// checkHead checks what an http.Transport lets pass: status codes without a meaning, and field names
// with a blank, of which one that other programs read as Content-Length may hide another length.
func checkHead(resp *http.Response) error {
	if resp.StatusCode < http.StatusOK || resp.StatusCode > 599 {
		return ErrMalformed{Part: "status", Value: strconv.Itoa(resp.StatusCode)}
	}
	if resp.ProtoMajor != 1 {
		return ErrMalformed{Part: "version", Value: resp.Proto}
	}
	for name, values := range resp.Header {
		if !httpguts.ValidHeaderFieldName(name) {
			return ErrMalformed{Part: "field name", Value: name}
		}
		for _, v := range values {
			if !httpguts.ValidHeaderFieldValue(v) {
				return ErrMalformed{Part: "field value", Value: v[:min(len(v), maxErrorBody)]}
			}
		}
	}
	return nil
}

// upload is the sending of a request.
type upload struct {
	once sync.Once
	done chan struct{}
	err  error
}

func (u *upload) wrote(info httptrace.WroteRequestInfo) {
	u.once.Do(func() {
		u.err = info.Err
		close(u.done)
	})
}

// ErrCut reports an answer without a length that may have been cut off.
var ErrCut = errors.New("connection ended while the request was being sent")

// unsizedBody is the body of an answer that ends with its connection. A reset is told once, to the
// reader or to the writer of the connection. So the body is complete only if the request was sent
// completely.
type unsizedBody struct {
	io.ReadCloser

	upload *upload
	ended  <-chan struct{}
}

// Read implements io.Reader.
func (b *unsizedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err //nolint:wrapcheck // as the body
	}
	select {
	case <-b.upload.done: // the end of the connection has ended the sending
		if b.upload.err == nil {
			return n, err //nolint:wrapcheck // io.EOF must not be wrapped
		}
	case <-b.ended:
	}
	return n, ErrCut
}
