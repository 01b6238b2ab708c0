package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

// Replica is a plain replica. It answers after its work time with its own words for the request.
type Replica struct {
	lab         *Lab
	id, address string
	work        time.Duration
	// garbled is the share of the answers in whose place it sends bytes that are not an answer, at
	// garbleRate bytes a second.
	garbled    float64
	garbleRate int
	server     *http.Server

	mu sync.Mutex
	// arrived holds when each request arrived, and spoilt the requests that got no proper answer.
	arrived map[string]time.Time
	spoilt  map[string]bool
}

func (l *Lab) replica(n int, work time.Duration) (*Replica, error) {
	return l.replicaOf("desk", n, work)
}

// replicaOf starts a replica of a service.
func (l *Lab) replicaOf(service string, n int, work time.Duration) (*Replica, error) {
	p := &Replica{lab: l, id: fmt.Sprintf("i-desk%02d", n), address: fmt.Sprintf("%s:8426", l.ip(60+n)), work: work, arrived: map[string]time.Time{}, spoilt: map[string]bool{}}
	ln, err := net.Listen("tcp", p.address)
	if err != nil {
		return nil, err
	}
	p.server = &http.Server{Handler: p}
	go func() { _ = p.server.Serve(ln) }()
	l.store.put("keyed.servers", p.id, fmt.Sprintf(`{"service":%q,"address":%q,"zone":"kolkata-hall","version":"v1","slots":6,"state":"ready","coldRemainingMs":0,"sequence":1}`, service, p.address))
	return p, nil
}

// ServeHTTP runs a request.
func (p *Replica) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Fawnwinch-Request-Id")
	if r.Header.Get("X-Fawnwinch-Expected-Instance") != p.id {
		w.Header().Set("X-Fawnwinch-Instance-Id", p.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	spoil := rand.Float64() < p.garbled
	p.mu.Lock()
	p.arrived[id] = time.Now()
	p.spoilt[id] = spoil
	p.mu.Unlock()
	p.lab.log("replica %s runs %s", p.id, id)
	select {
	case <-time.After(p.work):
	case <-r.Context().Done():
		return
	}
	if spoil {
		p.garble(id, w)
		return
	}
	w.Header().Set("X-Fawnwinch-Request-Id", id)
	w.Header().Set("X-Fawnwinch-Response-Seal", "seal."+id)
	_, _ = fmt.Fprintf(w, "%s by %s", id, p.id)
}

// garble sends bytes that are not an answer until the connection ends.
func (p *Replica) garble(id string, w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	const pause = 10 * time.Millisecond
	part := make([]byte, p.garbleRate/100)
	for i := range part {
		part[i] = 'x'
	}
	began, sent := time.Now(), 0
	for {
		n, err := conn.Write(part)
		if sent += n; err != nil {
			p.lab.log("replica %s sent %d bytes that are not an answer in place of the answer to %s within %d ms", p.id, sent, id, time.Since(began).Milliseconds())
			return
		}
		time.Sleep(time.Until(began.Add(time.Duration(sent/len(part)) * pause)))
	}
}

// isSound reports whether the replica ran a request and did not spoil its answer.
func (p *Replica) isSound(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, ran := p.arrived[id]
	return ran && !p.spoilt[id]
}

const deskConfig = `{"version":7,"routes":[
{"name":"r-post","host":"h.example","pathPrefix":"/post/","kind":"unsafe","timeoutMs":4000,"targetLatencyMs":300,"priority":2,"service":"desk","maxAttempts":1,"allowAnonymous":false},
{"name":"r-view","host":"h.example","pathPrefix":"/view/","kind":"safe","timeoutMs":4000,"targetLatencyMs":300,"priority":2,"service":"desk","maxAttempts":2,"allowAnonymous":false}],
"services":[{"name":"desk","healthCheckPath":"/healthz","maxConnections":48,"protocol":"h1","tls":false}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[{"name":"hule930","apiKeys":["` + apiKey + `"],"priority":1}]}`
