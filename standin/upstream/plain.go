// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package upstream contains small stand-ins for upstreams: a plain service that counts every
// effect, and a group of model engine ranks that run in lockstep.
package upstream

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"

	"fawnwinch.org/fawnwinch/models/request"
	"fawnwinch.org/fawnwinch/modules/httpx"
)

// PlainFault holds the faults of the plain service.
type PlainFault struct {
	// DelayMillis is the time between the arrival of a request and its effect, in milliseconds.
	DelayMillis int `json:"delay_ms"`
	// LoseAnswers closes the connection after the effect.
	LoseAnswers bool `json:"lose_answers"`
	// Truncate ends the body before its Content-Length.
	Truncate bool `json:"truncate"`
	// ForeignID answers with the id of another request.
	ForeignID bool `json:"foreign_id"`
}

// Plain is a service without idempotency keys of its own: a request that arrives twice has its
// effect twice.
type Plain struct {
	mu      sync.Mutex
	effects map[string]int
	fault   PlainFault
	calls   int
}

// NewPlain returns a service with no effects counted yet.
func NewPlain() *Plain { return &Plain{effects: map[string]int{}} }

// Handler returns the HTTP interface.
func (p *Plain) Handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET /control/effects", func(w http.ResponseWriter, _ *http.Request) {
		httpx.WriteJSON(w, http.StatusOK, p.Effects())
	})
	m.HandleFunc("GET /control/calls", func(w http.ResponseWriter, _ *http.Request) {
		p.mu.Lock()
		defer p.mu.Unlock()
		httpx.WriteJSON(w, http.StatusOK, p.calls)
	})
	m.HandleFunc("PUT /control/fault", func(w http.ResponseWriter, r *http.Request) {
		var f PlainFault
		if err := httpx.ReadJSON(r.Body, 4096, &f); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		p.SetFault(f)
		httpx.WriteJSON(w, http.StatusOK, f)
	})
	m.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	m.HandleFunc("/", p.serve)
	return m
}

// SetFault replaces the faults.
func (p *Plain) SetFault(f PlainFault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = f
}

// Effects returns the number of effects per account and key.
func (p *Plain) Effects() map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make(map[string]int, len(p.effects))
	for k, n := range p.effects {
		out[k] = n
	}
	return out
}

func (p *Plain) serve(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	f := p.fault
	p.mu.Unlock()
	body, err := httpx.ReadAll(r.Body, request.MaxBody)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if f.DelayMillis > 0 {
		time.Sleep(time.Duration(f.DelayMillis) * time.Millisecond)
	}
	key := r.Header.Get(request.HeaderAccount) + "/" + r.Header.Get(request.HeaderKey)
	p.mu.Lock()
	p.calls++
	serial := p.calls
	if r.Method != http.MethodGet && r.Header.Get(request.HeaderKey) != "" {
		p.effects[key]++
	}
	p.mu.Unlock()
	if f.LoseAnswers {
		panic(http.ErrAbortHandler)
	}
	id := r.Header.Get(request.HeaderID)
	if f.ForeignID {
		id = "foreign"
	}
	answer := fmt.Sprintf(`{"id":%q,"path":%q,"bytes":%d,"serial":%d}`, id, r.URL.Path, len(body), serial)
	w.Header().Set(request.HeaderID, id)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	if f.Truncate {
		answer = answer[:len(answer)/2]
	}
	_, _ = w.Write([]byte(answer))
}
