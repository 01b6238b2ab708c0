// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package platform is the HTTP client of the platform's log, VM list and weight store.
package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"fawnwinch.org/fawnwinch/models/upstream"
	"fawnwinch.org/fawnwinch/models/vm"
	"fawnwinch.org/fawnwinch/modules/httpx"
	"fawnwinch.org/fawnwinch/services"
)

// maxResponse is the size limit of one response of the platform, in bytes.
const maxResponse = 64 << 20

// dialTimeout bounds a connection attempt.
const dialTimeout = time.Second

// Client implements services.Log, services.VMList and services.WeightStore.
type Client struct {
	base string
	http *http.Client
}

var (
	_ services.Log         = (*Client)(nil)
	_ services.VMList      = (*Client)(nil)
	_ services.WeightStore = (*Client)(nil)
)

// NewClient returns a client of the platform at host:port.
func NewClient(address string) *Client {
	return &Client{base: "http://" + address, http: &http.Client{Transport: httpx.NewTransport(dialTimeout, 16)}}
}

// Close drops idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

type appendResponse struct {
	Offset services.Offset `json:"offset"`
}

// Append appends a record to a stream. A services.ErrNotSent or services.ErrRefused means that the
// record was not appended.
func (c *Client) Append(ctx context.Context, s services.Stream, data []byte) (services.Offset, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+"/v1/streams/"+url.PathEscape(string(s))+"/records", bytes.NewReader(data))
	if err != nil {
		return 0, fmt.Errorf("append to %s: %w", s, err)
	}
	var out appendResponse
	if err := httpx.Do(c.http, req, maxResponse, &out); err != nil {
		return 0, classifyAppendError(s, err)
	}
	return out.Offset, nil
}

func classifyAppendError(s services.Stream, err error) error {
	var status httpx.ErrStatus
	if errors.As(err, &status) && status.Status == http.StatusTooManyRequests {
		return services.ErrNotSent{Err: fmt.Errorf("append to %s: %w", s, err)}
	}
	if httpx.NotSent(err) {
		return services.ErrNotSent{Err: fmt.Errorf("append to %s: %w", s, err)}
	}
	return fmt.Errorf("append to %s: %w", s, err)
}

// Read returns the records of a stream from an offset on.
func (c *Client) Read(ctx context.Context, s services.Stream, from services.Offset, wait time.Duration) (services.Page, error) {
	q := url.Values{"from": {strconv.FormatUint(uint64(from), 10)}, "wait_ms": {strconv.FormatInt(wait.Milliseconds(), 10)}}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+"/v1/streams/"+url.PathEscape(string(s))+"/records?"+q.Encode(), nil)
	if err != nil {
		return services.Page{}, fmt.Errorf("read %s: %w", s, err)
	}
	var p services.Page
	if err := httpx.Do(c.http, req, maxResponse, &p); err != nil {
		return services.Page{}, fmt.Errorf("read %s: %w", s, err)
	}
	return p, nil
}

// VMs returns the platform's VM list.
func (c *Client) VMs(ctx context.Context) ([]vm.VM, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+"/v1/vms", nil)
	if err != nil {
		return nil, fmt.Errorf("list vms: %w", err)
	}
	var list []vm.VM
	if err := httpx.Do(c.http, req, maxResponse, &list); err != nil {
		return nil, fmt.Errorf("list vms: %w", err)
	}
	return list, nil
}

// FetchRequest asks the weight store to transfer weights to an upstream.
type FetchRequest struct {
	Upstream upstream.ID `json:"upstream"`
	Bytes    int64       `json:"bytes"`
}

// Fetch transfers weights to an upstream and returns when the transfer is complete.
func (c *Client) Fetch(ctx context.Context, u upstream.ID, n int64) error {
	raw, err := json.Marshal(FetchRequest{Upstream: u, Bytes: n})
	if err != nil {
		return fmt.Errorf("fetch weights: %w", err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+"/v1/weights/fetch", bytes.NewReader(raw))
	if err != nil {
		return fmt.Errorf("fetch weights: %w", err)
	}
	if err := httpx.Do(c.http, req, maxResponse, nil); err != nil {
		return fmt.Errorf("fetch %d bytes of weights for %s: %w", n, u, err)
	}
	return nil
}
