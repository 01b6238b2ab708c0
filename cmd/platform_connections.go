// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package cmd

import (
	"cmp"
	"time"

	"fawnwinch.org/fawnwinch/modules/clock"
	"fawnwinch.org/fawnwinch/modules/httpx"
	"fawnwinch.org/fawnwinch/modules/metrics"
	"fawnwinch.org/fawnwinch/services/relay"

	"go.uber.org/fx"
)

// restingCheckInterval is the interval at which connections that have rested for too long are
// closed.
const restingCheckInterval = time.Second

// closeRestingConnections closes the connections of callers that have rested for longer than the
// catalog allows.
func closeRestingConnections(lc fx.Lifecycle, conns *httpx.Connections, rl *relay.Relay) {
	runEvery(lc, restingCheckInterval, func() {
		conns.Sweep(clock.Now(), cmp.Or(rl.IdleTimeout(), httpx.MaxIdleTimeout))
	})
}

// registerConnectionMetrics registers the metrics of the accepted connections.
func registerConnectionMetrics(m *metrics.Metrics, conns *httpx.Connections) {
	m.LabelledValues("caller_connections", "Open connections of callers, with and without a request.", "state", false, func() []metrics.Sample {
		c := conns.Counts()
		return []metrics.Sample{{Label: "active", Value: float64(c.Active)}, {Label: "resting", Value: float64(c.Resting)}}
	})
	m.LabelledValues("caller_connections_closed_total", "Connections of callers that were closed without a request, by reason: idle for too long, displaced by others, refused for want of descriptors.", "reason", true, func() []metrics.Sample {
		c := conns.Counts()
		return []metrics.Sample{{Label: "idle", Value: float64(c.Idle)}, {Label: "displaced", Value: float64(c.Displaced)}, {Label: "refused", Value: float64(c.Refused)}}
	})
}
