// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package agent

import (
	"fawnwinch.org/fawnwinch/modules/metrics"
	"fawnwinch.org/fawnwinch/services/share"
)

// register registers the agent's metrics.
func (a *Agent) register(m *metrics.Metrics) {
	gauge := func(name, help string, read func() float64) { m.Gauge(name, help, nil, read) }
	gauge("upstream_running", "Requests at the upstream.", func() float64 { n, _ := a.gate.Counts(); return float64(n) })
	gauge("upstream_queued", "Requests waiting for the upstream.", func() float64 { _, n := a.gate.Counts(); return float64(n) })
	gauge("config_revision", "Revision of the configuration in force.", func() float64 { return float64(a.Config().Revision) })
	gauge("expert_skew_ratio", "Expert load of the rank against the mean of its group.", func() float64 { return a.load.Load().state.Load })
	gauge("step_duration_seconds", "Mean duration of the group's latest steps.", func() float64 { return float64(a.load.Load().state.StepMicros) / 1e6 })
	gauge("once_slices", "Slices of idempotency keys owned here.", func() float64 {
		if a.once == nil {
			return 0
		}
		return float64(len(a.once.Owned()))
	})
	moved := func() float64 { return float64(a.loadedExperts.Load() * a.set.Upstream.ExpertBytes) }
	m.Counter("expert_weight_moved_bytes_total", "Expert weights that this rank has loaded.", nil, moved)
	sent := func() float64 { return float64(a.pool.Stats.Sent.Load() + a.rpc.Stats.Sent.Load()) }
	received := func() float64 { return float64(a.pool.Stats.Received.Load() + a.rpc.Stats.Received.Load()) }
	m.Counter("control_sent_bytes_total", "Bytes sent to other fawnwinch processes for control.", nil, sent)
	m.Counter("control_received_bytes_total", "Bytes received from other fawnwinch processes for control.", nil, received)
	a.registerAccounts(m)
}

// registerAccounts registers the metrics of each account's use of the upstream.
func (a *Agent) registerAccounts(m *metrics.Metrics) {
	each := func(name, help string, rising bool, value func(share.Account) float64) {
		m.LabelledValues(name, help, "account", rising, func() []metrics.Sample {
			var out []metrics.Sample
			for _, acc := range a.gate.Accounts() {
				out = append(out, metrics.Sample{Label: string(acc.ID), Value: value(acc)})
			}
			return out
		})
	}
	each("account_queued", "Requests of an account that wait.", false, func(s share.Account) float64 { return float64(s.Waiting) })
	each("account_running", "Requests of an account that run.", false, func(s share.Account) float64 { return float64(s.Running) })
	each("account_weight", "Share of an account.", false, func(s share.Account) float64 { return s.Weight })
	each("account_work_seconds_total", "Time that requests of an account ran.", true, func(s share.Account) float64 { return s.Work.Seconds() })
}
