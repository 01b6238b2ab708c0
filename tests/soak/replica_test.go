// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package soak

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/Shopify/toxiproxy/v2"
	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"
)

// behavior is how a replica handles the requests that reach it. The fractions apply at random to
// each request.
type behavior struct {
	// refuseFraction is the fraction that is refused with status, and retryAfter the value of
	// Retry-After in these answers; 0 for none.
	refuseFraction float64
	status         int
	retryAfter     time.Duration
	// loseFraction is the fraction that runs and gets no answer, and corruptFraction the fraction
	// whose answer is corrupted.
	loseFraction, corruptFraction float64
	// delay is added to the processing time.
	delay time.Duration
	// limit is the limit that answers report, and leaving reports whether they announce that the
	// replica leaves.
	limit   float64
	leaving bool
}

// arrival is a request that reached a replica.
type arrival struct {
	at  time.Time
	id  string
	run bool
}

// replica is an upstream that the soak simulates. The store lists the address of a proxy in front
// of it.
type replica struct {
	w           *world
	id, service string
	server      *http.Server
	listener    net.Listener
	proxy       *toxiproxy.Proxy
	// proxyAddress is where the proxy listens. A proxy that is started again writes its own field.
	proxyAddress string
	// engine answers the requests to a rank of a model group; nil for plain services.
	engine http.Handler
	zone   string

	mu       sync.Mutex
	rand     *rand.Rand
	behavior behavior
	ended    bool
	// draining is when the store accepted that the replica leaves; zero if it does not leave.
	draining time.Time
	// state is the state in its store entry; empty if it has no entry.
	state string
	// disturbances holds when the replica or its proxy was disturbed.
	disturbances disturbances
	// arrivals holds the requests that arrived, and limits the limits that the replica reported.
	arrivals []arrival
	limits   []limitPeriod
}

// limitPeriod is a limit that a replica reported for some time.
type limitPeriod struct {
	from, to time.Time
	limit    float64
}

func (w *world) newReplica(service string, engine http.Handler) *replica {
	l, err := net.Listen("tcp", w.ip+":0")
	if err != nil {
		w.fail("listen: %v", err)
		return nil
	}
	w.mu.Lock()
	w.replicas++
	n := w.replicas
	w.mu.Unlock()
	r := &replica{w: w, id: fmt.Sprintf("i-%d", n), service: service, listener: l, engine: engine, zone: firstZone, rand: rand.New(rand.NewPCG(w.seed, uint64(n)))}
	if engine == nil && n%2 == 0 {
		r.zone = secondZone
	}
	r.server = &http.Server{Handler: r}
	go func() { _ = r.server.Serve(l) }()
	r.proxy = w.newProxy("to "+r.id, l.Addr().String())
	r.proxyAddress = r.proxy.Listen
	r.setState("ready")
	w.mu.Lock()
	w.all = append(w.all, r)
	w.mu.Unlock()
	return r
}

// newProxy starts a proxy in front of an address.
func (w *world) newProxy(name, address string) *toxiproxy.Proxy {
	p := toxiproxy.NewProxy(w.proxies, name, w.ip+":0", address)
	if err := p.Start(); err != nil {
		w.fail("proxy %s: %v", name, err)
	}
	return p
}

func newProxyServer() *toxiproxy.ApiServer {
	return toxiproxy.NewServer(toxiproxy.NewMetricsContainer(nil), zerolog.Nop())
}

// setState writes the replica's entry to the store; an empty state removes the entry.
func (r *replica) setState(state string) {
	r.putEntry(state)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.state = state
	if state != "ready" {
		r.draining = time.Now()
	}
}

// putEntry writes an entry to the store.
func (r *replica) putEntry(state string) {
	entry := ""
	if state != "" {
		address := r.proxyAddress
		if r.engine != nil && isRanked(r.w.seed) {
			// Coordinators report a rank by the address that its agent uses. Under another address
			// routers would have no reports of it.
			address = r.listener.Addr().String()
		}
		entry = fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"slots":6,"state":%q}`, r.service, address, r.zone, state)
	}
	r.w.store.Put(replicaStream, r.id, entry)
}

// setBehavior sets how the replica handles requests from now on.
func (r *replica) setBehavior(m behavior) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.behavior.limit > 0 {
		r.limits[len(r.limits)-1].to = now
	}
	if m.limit > 0 {
		r.limits = append(r.limits, limitPeriod{from: now, limit: m.limit})
	}
	r.behavior = m
}

// crash ends the replica without notice.
func (r *replica) crash() {
	r.mu.Lock()
	r.ended = true
	r.mu.Unlock()
	_ = r.server.Close()
}

// ServeHTTP answers as the replica.
func (r *replica) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	if r.engine != nil && strings.HasPrefix(req.URL.Path, "/fawnwinch/") {
		r.engine.ServeHTTP(w, req)
		return
	}
	id := req.Header.Get("X-Fawnwinch-Request-Id")
	if req.Header.Get("X-Fawnwinch-Expected-Instance") != r.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return
	}
	r.mu.Lock()
	m := r.behavior
	refused, lost, corrupted := r.rand.Float64() < m.refuseFraction, r.rand.Float64() < m.loseFraction, r.rand.Float64() < m.corruptFraction
	r.arrivals = append(r.arrivals, arrival{at: time.Now(), id: id, run: !refused})
	r.mu.Unlock()
	w.Header().Set("X-Fawnwinch-Request-Id", id)
	w.Header().Set("X-Replica", r.id)
	r.w.checkArrival(r, id)
	if m.limit > 0 {
		w.Header().Set("Server-Limit", strconv.FormatFloat(m.limit, 'f', -1, 64))
	}
	if m.leaving {
		w.Header().Set("Server-Leaving", "1")
	}
	if refused {
		w.Header().Set("X-Fawnwinch-Not-Executed", "1")
		if m.retryAfter > 0 {
			r.w.recordBackOff(r, id, m.retryAfter)
			w.Header().Set("Retry-After", strconv.FormatFloat(m.retryAfter.Seconds(), 'f', -1, 64))
		}
		w.WriteHeader(m.status)
		return
	}
	r.w.recordRun(r, id, req, body)
	time.Sleep(m.delay + r.workTime())
	if r.w.crashOn(r, id) {
		panic(http.ErrAbortHandler)
	}
	if r.engine != nil && isRanked(r.w.seed) && hasLaterFaults(r.w.seed) && r.draw(2) == 0 {
		out := &closingWriter{ResponseWriter: w}
		defer out.close()
		w = out
	}
	switch {
	case lost:
		panic(http.ErrAbortHandler)
	case r.engine != nil:
		r.stream(w, req, id, corrupted)
	default:
		r.answer(w, id, corrupted)
	}
}

func (r *replica) draw(n int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rand.IntN(n)
}

// sealOf returns the seal of an answer to a request.
func sealOf(id string, body []byte) string {
	return strconv.FormatUint(xxhash.Sum64String(id+"|"+string(body)), 16)
}

// answer sends an answer with a seal, or one that is corrupted in one of several ways.
func (r *replica) answer(w http.ResponseWriter, id string, corrupted bool) {
	body := bytes.Repeat([]byte(id+" by "+r.id+"\n"), 1+r.draw(300))
	w.Header().Set("X-Fawnwinch-Response-Seal", sealOf(id, body))
	if !corrupted {
		if _, err := w.Write(body); err == nil {
			r.w.recordAnswer(id)
		}
		return
	}
	switch r.draw(3) {
	case 0:
		w.Header().Set("Content-Length", strconv.Itoa(len(body)+7))
		_, _ = w.Write(body)
		panic(http.ErrAbortHandler)
	case 1:
		w.Header().Set("X-Fawnwinch-Request-Id", "another")
		_, _ = w.Write(body)
	default:
		panic(http.ErrAbortHandler)
	}
}

// eventsOf is the number of events of the stream that answers a request.
func eventsOf(id string) int { return 5 + int(xxhash.Sum64String(id)%12) }

// stream sends the events of a stream, starting after the last one that the caller has received.
func (r *replica) stream(w http.ResponseWriter, req *http.Request, id string, corrupted bool) {
	from, _ := strconv.Atoi(req.Header.Get("Last-Event-Id")) // 0 if absent
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Fawnwinch-Response-Seal", "stream")
	out := http.NewResponseController(w)
	for n := from + 1; n <= eventsOf(id); n++ {
		event := fmt.Sprintf("id: %d\ndata: %s/%d\n\n", n, id, n)
		if corrupted && n == from+3 {
			_, _ = io.WriteString(w, event[:len(event)/2])
			_ = out.Flush()
			panic(http.ErrAbortHandler)
		}
		if _, err := io.WriteString(w, event); err != nil || out.Flush() != nil {
			return
		}
		time.Sleep(15 * time.Millisecond)
	}
	r.w.recordAnswer(id)
}

// closingWriter writes an answer with neither a length nor chunks, which ends with its connection.
type closingWriter struct {
	http.ResponseWriter
	conn net.Conn
}

// Write writes the head before the first bytes of the body.
func (c *closingWriter) Write(p []byte) (int, error) {
	if c.conn == nil {
		conn, _, err := http.NewResponseController(c.ResponseWriter).Hijack()
		if err != nil {
			return 0, fmt.Errorf("take the connection: %w", err)
		}
		c.conn = conn
		head := bytes.NewBufferString("HTTP/1.1 200 OK\r\n")
		_ = c.Header().Write(head) // a buffer takes all
		head.WriteString("\r\n")
		if _, err := conn.Write(head.Bytes()); err != nil {
			return 0, fmt.Errorf("write the head: %w", err)
		}
	}
	return c.conn.Write(p)
}

// FlushError does nothing, since nothing is buffered.
func (c *closingWriter) FlushError() error { return nil }

// close ends the answer.
func (c *closingWriter) close() {
	if c.conn != nil {
		_ = c.conn.Close()
	}
}
