// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package cmd

import (
	"fawnwinch.org/fawnwinch/modules/metrics"
	"fawnwinch.org/fawnwinch/modules/rpc"
)

// registerPeerCalls registers the calls of other processes, and their bytes, by method: which kind
// of message grows with the deployment.
func registerPeerCalls(m *metrics.Metrics, pool *rpc.Pool) {
	byMethod := func(name, help string, value func(rpc.MethodStats) uint64) {
		m.LabelledValues(name, help, "method", true, func() []metrics.Sample {
			var out []metrics.Sample
			for method, stats := range pool.Methods() {
				out = append(out, metrics.Sample{Label: method, Value: float64(value(stats))})
			}
			return out
		})
	}
	byMethod("peer_calls_total", "Calls of other processes, by method.", func(s rpc.MethodStats) uint64 { return s.Calls })
	byMethod("peer_call_sent_bytes_total", "Bytes of the requests of these calls.", func(s rpc.MethodStats) uint64 { return s.Sent })
	byMethod("peer_call_received_bytes_total", "Bytes of the responses to these calls.", func(s rpc.MethodStats) uint64 { return s.Received })
}
