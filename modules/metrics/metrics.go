// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package metrics holds the metrics of a process.
package metrics

import (
	"net/http"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

const namespace = "fawnwinch"

// Metrics is the metrics registry of one process. Metric names include their units.
type Metrics struct {
	Registry *prometheus.Registry

	requests  *prometheus.CounterVec
	durations *prometheus.HistogramVec
	attempts  *prometheus.CounterVec
	// admissions and late count the requests of ranked services.
	admissions, late *prometheus.CounterVec
}

// New returns the metrics of a process. Those registered here have the label process; those added
// later have only the labels that are passed.
func New(process string) *Metrics {
	m := &Metrics{
		Registry: prometheus.NewRegistry(),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "requests_total", Help: "Requests by service, outcome and reason.",
		}, []string{"service", "outcome", "reason"}),
		durations: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: namespace, Name: "request_duration_seconds", Help: "Time from arrival to the end of the answer.",
			// From 1 ms to 32.8 s, each bound twice the one before.
			Buckets: prometheus.ExponentialBuckets(0.001, 2, 16),
		}, []string{"service"}),
		attempts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "attempts_total", Help: "Attempts at upstreams, retries included.",
		}, []string{"service"}),
		admissions: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "admission_requests_total", Help: "Requests of ranked services by level and outcome at the admission queue.",
		}, []string{"service", "level", "outcome"}),
		late: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "requests_late_total", Help: "Streams of ranked services whose first event or a pause missed its goal.",
		}, []string{"service", "level"}),
	}
	labelled := prometheus.WrapRegistererWith(prometheus.Labels{"process": process}, m.Registry)
	labelled.MustRegister(m.requests, m.durations, m.attempts, m.admissions, m.late,
		collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return m
}

// ObserveRequest records the end of a request.
func (m *Metrics) ObserveRequest(service, outcome, reason string, took time.Duration, attempts int) {
	m.requests.WithLabelValues(service, outcome, reason).Inc()
	m.durations.WithLabelValues(service).Observe(took.Seconds())
	m.attempts.WithLabelValues(service).Add(float64(attempts))
}

// CountAdmission records the outcome of a request at the admission queue.
func (m *Metrics) CountAdmission(service string, level int, outcome string) {
	m.admissions.WithLabelValues(service, strconv.Itoa(level), outcome).Inc()
}

// CountLate records a stream that missed a goal.
func (m *Metrics) CountLate(service string, level int) {
	m.late.WithLabelValues(service, strconv.Itoa(level)).Inc()
}

// WaitingByLevel registers a gauge of the requests that wait for each ranked service. Read returns
// them by service and level.
func (m *Metrics) WaitingByLevel(read func() map[string][]int) {
	desc := prometheus.NewDesc(prometheus.BuildFQName(namespace, "", "admission_waiting"), "Waiting requests of ranked services.", []string{"service", "level"}, nil)
	m.Registry.MustRegister(&waiting{desc: desc, read: read})
}

// waiting is the collector of the waiting requests.
type waiting struct {
	desc *prometheus.Desc
	read func() map[string][]int
}

// Describe implements prometheus.Collector.
func (w *waiting) Describe(ch chan<- *prometheus.Desc) { ch <- w.desc }

// Collect implements prometheus.Collector.
func (w *waiting) Collect(ch chan<- prometheus.Metric) {
	for service, levels := range w.read() {
		for level, n := range levels {
			ch <- prometheus.MustNewConstMetric(w.desc, prometheus.GaugeValue, float64(n), service, strconv.Itoa(level))
		}
	}
}

// Gauge registers a gauge whose value is read at each scrape.
func (m *Metrics) Gauge(name, help string, labels prometheus.Labels, read func() float64) {
	m.Registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help, ConstLabels: labels}, read))
}

// Counter registers a counter whose value is read at each scrape.
func (m *Metrics) Counter(name, help string, labels prometheus.Labels, read func() float64) {
	m.Registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help, ConstLabels: labels}, read))
}

// Sample is one value of a metric with one label.
type Sample struct {
	Label string
	Value float64
}

// LabelledValues registers a metric whose labelled values are read at each scrape. It is a counter
// if rising is set, and a gauge otherwise.
func (m *Metrics) LabelledValues(name, help, label string, rising bool, read func() []Sample) {
	kind := prometheus.GaugeValue
	if rising {
		kind = prometheus.CounterValue
	}
	desc := prometheus.NewDesc(prometheus.BuildFQName(namespace, "", name), help, []string{label}, nil)
	m.Registry.MustRegister(&samples{desc: desc, kind: kind, read: read})
}

// samples is the collector of one metric with labelled values.
type samples struct {
	desc *prometheus.Desc
	kind prometheus.ValueType
	read func() []Sample
}

// Describe implements prometheus.Collector.
func (s *samples) Describe(ch chan<- *prometheus.Desc) { ch <- s.desc }

// Collect implements prometheus.Collector.
func (s *samples) Collect(ch chan<- prometheus.Metric) {
	for _, v := range s.read() {
		ch <- prometheus.MustNewConstMetric(s.desc, s.kind, v.Value, v.Label)
	}
}

// Handler returns the HTTP handler that serves the metrics.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.Registry, promhttp.HandlerOpts{})
}
