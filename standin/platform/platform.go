// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package platform is a small stand-in for the platform's services: an append-only log,
// a delayed VM list and a rate-limited weight store, with faults that can be switched on.
package platform

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	"fawnwinch.org/fawnwinch/models/vm"
	"fawnwinch.org/fawnwinch/modules/httpx"
	"fawnwinch.org/fawnwinch/services"
	platformclient "fawnwinch.org/fawnwinch/services/platform"

	"golang.org/x/time/rate"
)

// Options sets the limits of the stand-in.
type Options struct {
	// AppendsPerSecond is the rate limit of appends to all streams together.
	AppendsPerSecond int
	// Retention is how long records are kept.
	Retention time.Duration
	// ListLag is the time until a change of the VM list becomes visible.
	ListLag time.Duration
	// WeightBytesPerSecond is the rate limit of the weight store.
	WeightBytesPerSecond int
}

// DefaultOptions returns the default limits.
func DefaultOptions() Options {
	return Options{AppendsPerSecond: 300, Retention: time.Hour, ListLag: 2 * time.Second, WeightBytesPerSecond: 1 << 30}
}

// Fault holds the faults of the stand-in that can be switched on.
type Fault struct {
	// Down makes every call fail before it takes effect.
	Down bool `json:"down"`
	// LoseAnswers makes appends take effect and then fail.
	LoseAnswers bool `json:"lose_answers"`
	// DelayMillis is the delay of every call, in milliseconds.
	DelayMillis int `json:"delay_ms"`
}

type stream struct {
	first   services.Offset
	records []services.LogRecord
	changed chan struct{}
}

type listSnapshot struct {
	at  time.Time
	vms []vm.VM
}

// Server is the stand-in. Its handler may be served on any listener.
type Server struct {
	opts    Options
	limiter *rate.Limiter
	weights *rate.Limiter

	mu      sync.Mutex
	fault   Fault
	streams map[services.Stream]*stream
	lists   []listSnapshot
	appends int
	stop    chan struct{}
}

// New returns a stand-in without records or VMs.
func New(o Options) *Server {
	return &Server{
		opts:    o,
		limiter: rate.NewLimiter(rate.Limit(o.AppendsPerSecond), max(1, o.AppendsPerSecond/4)),
		weights: rate.NewLimiter(rate.Limit(o.WeightBytesPerSecond), o.WeightBytesPerSecond),
		streams: map[services.Stream]*stream{},
		stop:    make(chan struct{}),
	}
}

// Close cancels waiting reads.
func (s *Server) Close() { close(s.stop) }

// Handler returns the HTTP interface.
func (s *Server) Handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("POST /v1/streams/{stream}/records", s.withFault(s.handleAppend))
	m.HandleFunc("GET /v1/streams/{stream}/records", s.withFault(s.handleRead))
	m.HandleFunc("GET /v1/vms", s.withFault(s.handleVMs))
	m.HandleFunc("POST /v1/weights/fetch", s.withFault(s.handleFetch))
	m.HandleFunc("PUT /control/vms", s.handleSetVMs)
	m.HandleFunc("PUT /control/fault", s.handleSetFault)
	m.HandleFunc("POST /control/trim", s.handleTrim)
	m.HandleFunc("GET /control/stats", s.handleStats)
	return m
}

func (s *Server) withFault(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		f := s.fault
		s.mu.Unlock()
		if f.DelayMillis > 0 {
			select {
			case <-time.After(time.Duration(f.DelayMillis) * time.Millisecond):
			case <-r.Context().Done():
				return
			}
		}
		if f.Down {
			http.Error(w, "platform is down", http.StatusServiceUnavailable)
			return
		}
		next(w, r)
	}
}

// stream returns a stream by name. The caller holds the lock.
func (s *Server) stream(name services.Stream) *stream {
	st, ok := s.streams[name]
	if !ok {
		st = &stream{changed: make(chan struct{})}
		s.streams[name] = st
	}
	return st
}

func (s *Server) handleAppend(w http.ResponseWriter, r *http.Request) {
	data, err := httpx.ReadAll(r.Body, 4<<20)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !s.limiter.Allow() {
		http.Error(w, "too many appends", http.StatusTooManyRequests)
		return
	}
	s.mu.Lock()
	off := s.append(time.Now(), services.Stream(r.PathValue("stream")), data)
	loseAnswer := s.fault.LoseAnswers
	s.mu.Unlock()
	if loseAnswer {
		http.Error(w, "answer lost", http.StatusGatewayTimeout)
		return
	}
	httpx.WriteJSON(w, http.StatusOK, map[string]services.Offset{"offset": off})
}

func (s *Server) append(now time.Time, name services.Stream, data []byte) services.Offset {
	st := s.stream(name)
	off := st.first + services.Offset(len(st.records))
	st.records = append(st.records, services.LogRecord{Offset: off, At: now, Data: data})
	s.appends++
	close(st.changed)
	st.changed = make(chan struct{})
	return off
}

// trim drops records that are older than the retention. The caller holds the lock.
func (st *stream) trim(now time.Time, retention time.Duration) {
	n := 0
	for n < len(st.records) && now.Sub(st.records[n].At) > retention {
		n++
	}
	st.first += services.Offset(n)
	st.records = append([]services.LogRecord(nil), st.records[n:]...)
}

// maxRecords is the maximum number of records of a page.
const maxRecords = 2000

func (st *stream) page(now time.Time, from services.Offset) services.Page {
	tail := st.first + services.Offset(len(st.records))
	p := services.Page{First: st.first, Tail: tail, Now: now, Records: []services.LogRecord{}}
	if from < st.first {
		from = st.first
	}
	if from < tail {
		rest := st.records[from-st.first:]
		p.Records = append(p.Records, rest[:min(len(rest), maxRecords)]...)
	}
	return p
}

func (s *Server) handleRead(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseUint(r.URL.Query().Get("from"), 10, 64)
	if err != nil {
		http.Error(w, "from: "+err.Error(), http.StatusBadRequest)
		return
	}
	waitMillis, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	deadline := time.NewTimer(time.Duration(waitMillis) * time.Millisecond)
	defer deadline.Stop()
	for {
		s.mu.Lock()
		now := time.Now()
		st := s.stream(services.Stream(r.PathValue("stream")))
		st.trim(now, s.opts.Retention)
		page, changed, down := st.page(now, services.Offset(from)), st.changed, s.fault.Down
		s.mu.Unlock()
		if down {
			http.Error(w, "platform is down", http.StatusServiceUnavailable)
			return
		}
		if len(page.Records) > 0 || page.Tail < services.Offset(from) || waitMillis == 0 {
			httpx.WriteJSON(w, http.StatusOK, page)
			return
		}
		select {
		case <-changed:
		case <-deadline.C:
			waitMillis = 0
		case <-r.Context().Done():
			return
		case <-s.stop:
			return
		}
	}
}

func (s *Server) handleVMs(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	cutoff := time.Now().Add(-s.opts.ListLag)
	visible := []vm.VM{}
	for i, l := range s.lists {
		if i == 0 || !l.at.After(cutoff) {
			visible = l.vms
		}
	}
	httpx.WriteJSON(w, http.StatusOK, visible)
}

// SetVMs sets the VM list. Callers see it after ListLag.
func (s *Server) SetVMs(now time.Time, vms []vm.VM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lists = append(s.lists, listSnapshot{at: now, vms: vms})
}

// SetFault replaces the faults.
func (s *Server) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
	for _, st := range s.streams {
		close(st.changed)
		st.changed = make(chan struct{})
	}
}

func (s *Server) handleSetVMs(w http.ResponseWriter, r *http.Request) {
	var vms []vm.VM
	if err := httpx.ReadJSON(r.Body, 4<<20, &vms); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetVMs(time.Now(), vms)
	httpx.WriteJSON(w, http.StatusOK, vms)
}

func (s *Server) handleSetFault(w http.ResponseWriter, r *http.Request) {
	var f Fault
	if err := httpx.ReadJSON(r.Body, 4096, &f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFault(f)
	httpx.WriteJSON(w, http.StatusOK, f)
}

func (s *Server) handleTrim(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if st, ok := s.streams[services.Stream(r.URL.Query().Get("stream"))]; ok {
		st.trim(time.Now().Add(time.Second), 0)
	}
	httpx.WriteJSON(w, http.StatusOK, true)
}

// Stats holds counters of the stand-in.
type Stats struct {
	Appends int `json:"appends"`
}

func (s *Server) handleStats(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	httpx.WriteJSON(w, http.StatusOK, Stats{Appends: s.appends})
}

func (s *Server) handleFetch(w http.ResponseWriter, r *http.Request) {
	var f platformclient.FetchRequest
	if err := httpx.ReadJSON(r.Body, 4096, &f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	for left := f.Bytes; left > 0; {
		n := min(left, int64(s.weights.Burst()))
		if err := s.weights.WaitN(r.Context(), int(n)); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		left -= n
	}
	httpx.WriteJSON(w, http.StatusOK, f)
}
