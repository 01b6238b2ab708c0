// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package metrics holds the metrics of a process.
package metrics

import (
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

const namespace = "fawnwinch"

// Metrics is the registry of one process. Names carry their units.
type Metrics struct {
	Registry *prometheus.Registry

	requests *prometheus.CounterVec
	seconds  *prometheus.HistogramVec
	attempts *prometheus.CounterVec
}

// New returns the metrics of a process.
func New(process string) *Metrics {
	m := &Metrics{
		Registry: prometheus.NewRegistry(),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "requests_total", Help: "Requests by service, outcome and reason.",
		}, []string{"service", "outcome", "reason"}),
		seconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: namespace, Name: "request_duration_seconds", Help: "Time from arrival to the end of the answer.",
			Buckets: prometheus.ExponentialBuckets(0.001, 2, 16),
		}, []string{"service"}),
		attempts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "attempts_total", Help: "Attempts at upstreams, retries included.",
		}, []string{"service"}),
	}
	labelled := prometheus.WrapRegistererWith(prometheus.Labels{"process": process}, m.Registry)
	labelled.MustRegister(m.requests, m.seconds, m.attempts,
		collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return m
}

// Request notes the end of a request.
func (m *Metrics) Request(service, outcome, reason string, took time.Duration, attempts int) {
	m.requests.WithLabelValues(service, outcome, reason).Inc()
	m.seconds.WithLabelValues(service).Observe(took.Seconds())
	m.attempts.WithLabelValues(service).Add(float64(attempts))
}

// Gauge registers a value that is read when metrics are.
func (m *Metrics) Gauge(name, help string, labels prometheus.Labels, read func() float64) {
	m.Registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help, ConstLabels: labels}, read))
}

// Counter registers a rising value that is read when metrics are.
func (m *Metrics) Counter(name, help string, labels prometheus.Labels, read func() float64) {
	m.Registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help, ConstLabels: labels}, read))
}

// Handler serves the metrics.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.Registry, promhttp.HandlerOpts{})
}
