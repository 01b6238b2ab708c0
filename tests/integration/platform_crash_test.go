// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package integration

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	// learnTime is the time in which every router must know of a request that has crashed three replicas.
	learnTime = 3 * time.Second
	// mostAfter is how often such a request may still reach replicas later.
	mostAfter = 3
	// crashing is the body of the request that crashes what runs it.
	crashing = "crash"
)

// desk is a plain service whose replicas crash under one body, and are replaced by others at other addresses.
type desk struct {
	t *testing.T
	s *site

	mu      sync.Mutex
	started int
	routers map[string]*node
	// tries counts those of the crashing request.
	tries int
	// runs holds when the crashing request reached a replica; each of them ended.
	runs []time.Time
	// listed is the replica that has crashed last: what crashes says nothing, and its entry stays for some seconds.
	listed string
}

func newDesk(t *testing.T, s *site, replicas int) *desk {
	t.Helper()
	d := &desk{t: t, s: s}
	for range replicas {
		d.start()
	}
	return d
}

// start starts a replica.
func (d *desk) start() {
	d.mu.Lock()
	d.started++
	id := fmt.Sprintf("i-%d", d.started)
	d.mu.Unlock()
	server := httptest.NewUnstartedServer(nil)
	server.Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("X-Fawnwinch-Expected-Instance") != id {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		body, _ := io.ReadAll(r.Body)
		if string(body) == crashing {
			d.crash(id, server)
		}
		w.Header().Set("X-Fawnwinch-Request-Id", r.Header.Get("X-Fawnwinch-Request-Id"))
		w.Header().Set("X-Fawnwinch-Response-Seal", "seal")
		_, _ = fmt.Fprint(w, "fine")
	})
	server.Start()
	d.t.Cleanup(server.Close)
	address := strings.TrimPrefix(server.URL, "http://")
	d.s.store.Put(replicaStream, id, fmt.Sprintf(`{"service":"ledger","address":%q,"zone":"a","slots":6,"state":"ready"}`, address))
}

// crash ends a replica in the middle of a request, and starts another. The entry goes when the next one crashes.
func (d *desk) crash(id string, server *httptest.Server) {
	_ = server.Listener.Close()
	d.mu.Lock()
	d.runs = append(d.runs, time.Now())
	lapsed := d.listed
	d.listed = id
	d.mu.Unlock()
	go func() {
		d.start()
		if lapsed != "" {
			d.s.store.Put(replicaStream, lapsed, "")
		}
	}()
	panic(http.ErrAbortHandler)
}

// crashes returns how often the crashing request reached a replica, and when it did so for the third time; zero if it did not.
func (d *desk) crashes() (int, time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.runs) < 3 {
		return len(d.runs), time.Time{}
	}
	return len(d.runs), d.runs[2]
}

// serves waits until a router serves an ordinary request.
func (d *desk) serves(n *node) {
	d.t.Helper()
	eventually(d.t, "an ordinary request served by "+n.name, func() bool {
		status, _, _ := askBody(d.t.Context(), d.t, n.front, "/peek/x", "k", "ordinary")
		return status == http.StatusOK
	})
}

// try sends the crashing request to one router after the other.
func (d *desk) try() (int, http.Header) {
	d.t.Helper()
	n := d.routers[string("abc"[d.tries%3])]
	d.tries++
	d.serves(n)
	status, _, header := askBody(d.t.Context(), d.t, n.front, "/peek/x", "k", crashing)
	return status, header
}

// refused tries the crashing request until every router has refused it at once.
func (d *desk) refused() {
	d.t.Helper()
	eventually(d.t, "a refusal by every router", func() bool {
		before, _ := d.crashes()
		for range len(d.routers) {
			if status, _ := d.try(); status != http.StatusServiceUnavailable {
				return false
			}
		}
		after, _ := d.crashes()
		return after == before
	})
}

// TestCrashingRequest has a caller come again and again, at any router, with a request under which each replica that runs it ends. On
// one evening a tournament's rulings were out for twenty seconds at a time: such a request was sent to replicas four times more after
// it had crashed three, and eight had ended when its caller gave up. Nothing knew the request again, because routers go by ids and each
// try has a new one: two routers saw, within 0.3 ms,
//
//	81.6846 event=attempt-failed error="upstream i-2a97f9c5ab: after event \"\": unexpected EOF" may_run=true result=broken
//	81.6849 event=attempt-failed error="connect to upstream i-2a97f9c5ab: ... connection refused" may_run=false result=unreached
//
// and the next try of the same content was let in 4.5 s later like any other.
func TestCrashingRequest(t *testing.T) {
	s := newSite(t)
	s.store.Put(operatorStream, "config", operatorConfig(3, "k"))
	d := newDesk(t, s, 3)
	d.routers = s.startThree()
	try := d.try
	eventually(t, "three crashes", func() bool { try(); n, _ := d.crashes(); return n >= 3 })
	_, third := d.crashes()
	for time.Since(third) < learnTime {
		try()
	}
	before, _ := d.crashes()
	const tries = 8
	for range tries {
		status, header := try()
		if n, _ := d.crashes(); n > before+mostAfter {
			t.Fatalf("it was sent to replicas %d times after it had crashed three and %s had passed, want %d at most", n-before, learnTime, mostAfter)
		}
		if after, err := time.ParseDuration(header.Get("Retry-After") + "s"); status != http.StatusServiceUnavailable || err != nil || after < learnTime {
			t.Errorf("status %d, Retry-After %q: want a refusal that does not invite to come back at once", status, header.Get("Retry-After"))
		}
	}
	n, _ := d.crashes()
	t.Logf("%d replicas ended, %d of them after every router had to know", n, n-before)
}

// TestCrashingRequestPowerLoss has all routers lose what they know while such a request comes again and again. Nothing was left of it
// but in the memory of the routers, so after each loss of power it was sent until it had crashed three more.
func TestCrashingRequestPowerLoss(t *testing.T) {
	s := newSite(t)
	s.store.Put(operatorStream, "config", operatorConfig(3, "k"))
	d := newDesk(t, s, 3)
	d.routers = s.startThree()
	d.refused()
	poll(learnTime, func() bool { return s.store.Records(quarantineStream) > 0 })
	before, _ := d.crashes()
	const losses = 2
	for range losses {
		for _, n := range d.routers {
			n.kill()
		}
		for _, n := range d.routers {
			n.start()
		}
		d.refused()
	}
	if n, _ := d.crashes(); n > before+mostAfter {
		t.Errorf("it was sent to replicas %d times after it had crashed three, want %d at most", n-before, mostAfter)
	}
}
