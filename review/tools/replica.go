package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// run is one request that a replica ran.
type run struct {
	id, tenant, replica string
	began, ended        time.Time
	// cut reports whether the connection closed before the answer was sent.
	cut bool
}

// Runs records what replicas ran.
type Runs struct {
	mu   sync.Mutex
	list []*run
	byID map[string][]*run
}

func newRuns() *Runs { return &Runs{byID: map[string][]*run{}} }

func (rs *Runs) add(r *run) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	rs.list = append(rs.list, r)
	rs.byID[r.id] = append(rs.byID[r.id], r)
}

func (rs *Runs) of(id string) []*run {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	return append([]*run(nil), rs.byID[id]...)
}

// Replica is a plain replica.
type Replica struct {
	id, service, address, zone string
	slots                      int
	work                       func() time.Duration
	runs                       *Runs

	mu      sync.Mutex
	running int
}

func (p *Replica) entry(sequence int) string {
	return fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":%d,"state":"ready","coldRemainingMs":0,"sequence":%d}`,
		p.service, p.address, p.zone, p.slots, sequence)
}

func (p *Replica) listen() error {
	l, err := net.Listen("tcp", p.address)
	if err != nil {
		return err
	}
	go func() { _ = (&http.Server{Handler: p}).Serve(l) }()
	return nil
}

// maxQueue is how many requests a replica lets wait beyond its slots.
const maxQueue = 24

func (p *Replica) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	h.Set("X-Fawnwinch-Instance-Id", p.id)
	if r.URL.Path == "/healthz" {
		return
	}
	_, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get("X-Fawnwinch-Request-Id")
	h.Set("X-Fawnwinch-Request-Id", id)
	if want := r.Header.Get("X-Fawnwinch-Expected-Instance"); want != "" && want != p.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	p.mu.Lock()
	full := p.running >= p.slots+maxQueue
	if !full {
		p.running++
	}
	p.mu.Unlock()
	if full || id == "" {
		h.Set("X-Fawnwinch-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	now := &run{id: id, tenant: r.Header.Get("X-Fawnwinch-Tenant-Id"), replica: p.id, began: time.Now()}
	p.runs.add(now)
	defer func() {
		p.mu.Lock()
		p.running--
		p.mu.Unlock()
	}()
	select {
	case <-time.After(p.work()):
	case <-r.Context().Done():
		now.ended, now.cut = time.Now(), true
		return // most replicas drop a request once its connection closes
	}
	now.ended = time.Now()
	h.Set("X-Fawnwinch-Response-Seal", "seal."+id)
	_, _ = w.Write(make([]byte, 800))
}

// Rank is a model replica at rest: it reports and accepts orders, but no requests are sent to it.
type Rank struct {
	id, service, address, zone string
	rank, size                 int

	mu       sync.Mutex
	sequence int
}

func (k *Rank) entry(sequence int) string {
	return fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":12,"state":"ready","coldRemainingMs":0,"stage":"both","models":[{"name":"m","version":1,"adapters":[]}],"sequence":%d}`,
		k.service, k.address, k.zone, sequence)
}

func (k *Rank) listen() error {
	l, err := net.Listen("tcp", k.address)
	if err != nil {
		return err
	}
	go func() { _ = (&http.Server{Handler: k}).Serve(l) }()
	return nil
}

// The layers, experts and places of the model group.
const (
	rankSets    = 4
	rankExperts = 8
	rankPlaces  = 4
)

func (k *Rank) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	switch r.URL.Path {
	case "/fawnwinch/report":
		_ = json.NewEncoder(w).Encode(map[string]any{
			"group": map[string]any{"name": "g", "epoch": 1, "rank": k.rank, "state": "open"}, "size": k.size, "waiting": 0, "running": 0,
			"pace": 1.0, "step": 1, "map": 0, "sequence": 0, "kvUsed": 0, "kvTotal": 280000, "stage": "both",
		})
	case "/fawnwinch/picked":
		if r.URL.RawQuery == "" {
			_ = json.NewEncoder(w).Encode(map[string]any{"step": 1, "epoch": 1, "counts": make([]int, rankSets*rankExperts)})
			return
		}
		lists := make([][]int, rankSets)
		for s := range lists {
			for e := k.rank; e < rankExperts; e += k.size {
				lists[s] = append(lists[s], e)
			}
		}
		_ = json.NewEncoder(w).Encode(map[string]any{"map": map[string]any{"version": 0, "experts": lists}})
	case "/fawnwinch/order":
		w.WriteHeader(http.StatusConflict)
	default:
		w.Header().Set("X-Fawnwinch-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}
