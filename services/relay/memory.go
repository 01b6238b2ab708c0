// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package relay

import (
	"fawnwinch.org/fawnwinch/modules/memory"
	"fawnwinch.org/fawnwinch/modules/metrics"
)

// hold returns a hold of memory for a body of the exchange. It is released when the exchange ends.
func (x *exchange) hold(evict func()) *memory.Hold {
	h := x.r.memory.Hold(evict)
	x.holds = append(x.holds, h)
	return h
}

// releaseHolds releases the memory of the exchange.
func (x *exchange) releaseHolds() {
	for _, h := range x.holds {
		h.Release()
	}
}

// measureMemory registers the metrics of the memory of bodies.
func (r *Relay) measureMemory(m *metrics.Metrics) {
	m.Gauge("body_bytes_held", "Bytes that the bodies of requests and answers hold together.", nil, func() float64 {
		held, _, _ := r.memory.Usage()
		return float64(held)
	})
	m.Counter("bodies_refused_total", "Bodies that were not read, as those of others held all memory for bodies.", nil, func() float64 {
		_, refused, _ := r.memory.Usage()
		return float64(refused)
	})
	m.Counter("bodies_evicted_total", "Answers that were dropped, as others needed their memory.", nil, func() float64 {
		_, _, evicted := r.memory.Usage()
		return float64(evicted)
	})
}
