// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package rpc

import (
	"maps"
	"sync"
)

// MethodStats counts the calls of one method, and the bytes that its requests and responses took.
type MethodStats struct{ Calls, Sent, Received uint64 }

// methodCounter holds the statistics of each method that a pool has called. Their number is bounded
// by that of the methods in the program.
type methodCounter struct {
	mu      sync.Mutex
	methods map[string]MethodStats
}

// add adds to the statistics of a method.
func (m *methodCounter) add(method string, more MethodStats) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.methods == nil {
		m.methods = map[string]MethodStats{}
	}
	stats := m.methods[method]
	stats.Calls += more.Calls
	stats.Sent += more.Sent
	stats.Received += more.Received
	m.methods[method] = stats
}

// snapshot returns a copy of the statistics.
func (m *methodCounter) snapshot() map[string]MethodStats {
	m.mu.Lock()
	defer m.mu.Unlock()
	return maps.Clone(m.methods)
}
