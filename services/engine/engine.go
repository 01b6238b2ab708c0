// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package engine is the HTTP client of one rank of a model engine.
package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"fawnwinch.org/fawnwinch/models/expertmap"
	"fawnwinch.org/fawnwinch/modules/httpx"
	"fawnwinch.org/fawnwinch/services"
)

const (
	dialTimeout = time.Second
	// maxResponse is the size limit of one response, in bytes.
	maxResponse = 64 << 20
)

// Client implements services.Engine.
type Client struct {
	base string
	http *http.Client
}

var _ services.Engine = (*Client)(nil)

// NewClient returns a client of the rank at host:port.
func NewClient(address string) *Client {
	return &Client{base: "http://" + address, http: &http.Client{Transport: httpx.NewTransport(dialTimeout, 4)}}
}

// Close drops idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

func (c *Client) get(ctx context.Context, path string, v any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+path, nil)
	if err != nil {
		return fmt.Errorf("engine %s: %w", path, err)
	}
	if err := httpx.Do(c.http, req, maxResponse, v); err != nil {
		return fmt.Errorf("engine %s: %w", path, err)
	}
	return nil
}

// State returns the state that the rank reports.
func (c *Client) State(ctx context.Context) (services.EngineState, error) {
	var s services.EngineState
	err := c.get(ctx, "/engine/state", &s)
	return s, err
}

// Map returns the expert map in use at the rank.
func (c *Client) Map(ctx context.Context) (*expertmap.Map, error) {
	var m expertmap.Map
	err := c.get(ctx, "/engine/map", &m)
	return &m, err
}

// Popularity returns the number of tokens routed to each expert, by layer, since the engine
// started.
func (c *Client) Popularity(ctx context.Context) ([][]float64, error) {
	var p [][]float64
	err := c.get(ctx, "/engine/experts", &p)
	return p, err
}

// Order sends an order to the rank. A services.ErrRefused means that the order was not executed.
func (c *Client) Order(ctx context.Context, o services.Order) error {
	raw, err := json.Marshal(o)
	if err != nil {
		return fmt.Errorf("order %s: %w", o.Kind, err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+"/engine/orders", bytes.NewReader(raw))
	if err != nil {
		return fmt.Errorf("order %s: %w", o.Kind, err)
	}
	err = httpx.Do(c.http, req, maxResponse, nil)
	var status httpx.ErrStatus
	if errors.As(err, &status) && status.Status == http.StatusConflict {
		return services.ErrRefused{Reason: status.Body}
	}
	if err != nil {
		return fmt.Errorf("order %s: %w", o.Kind, err)
	}
	return nil
}
