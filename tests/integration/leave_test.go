// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package integration

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"fawnwinch.org/fawnwinch/models/request"
	"fawnwinch.org/fawnwinch/models/upstream"
	"fawnwinch.org/fawnwinch/models/vm"
	"fawnwinch.org/fawnwinch/services/configlog"
)

// callers request the addresses of the routers and cache the answer for its TTL, as real callers
// do.
type callers struct {
	c        *cluster
	mu       sync.Mutex
	complete map[string]int
	failures []string
	stop     chan struct{}
	done     sync.WaitGroup
}

func (c *cluster) callers(workers int) *callers {
	w := &callers{c: c, complete: map[string]int{}, stop: make(chan struct{})}
	for i := range workers {
		w.done.Go(func() { w.work(i) })
	}
	return w
}

func (w *callers) work(i int) {
	var routers []string
	var until time.Time
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	for n := 0; ; n++ {
		select {
		case <-w.stop:
			return
		default:
		}
		if time.Now().After(until) {
			var a struct {
				TTL     int64 `json:"ttl_ms"`
				Routers []string
			}
			for _, r := range w.c.routers {
				if getJSON(r+"/api/v1/endpoints", "small", &a) == nil && len(a.Routers) > 0 {
					break
				}
			}
			routers, until = a.Routers, time.Now().Add(time.Duration(a.TTL)*time.Millisecond)
		}
		w.call(client, routers[i%len(routers)], i, n)
	}
}

func (w *callers) call(client *http.Client, router string, i, n int) {
	kind, path, key := "hold", "/svc/ledger/v1/holds", fmt.Sprintf("key-%d-%d", i, n)
	body := []byte("{}")
	if n%2 == 1 && w.c.opts.groups > 0 {
		kind, path, key = "chat", "/v1/chat/completions", ""
		body = chatBody(fmt.Sprintf("memo %d %d", i, n), 12, n%4 == 1)
	}
	resp, raw, err := doWith(client, http.MethodPost, router+path, "small", map[string]string{request.HeaderKey: key}, body)
	w.mu.Lock()
	defer w.mu.Unlock()
	if err != nil || resp.Header.Get(request.HeaderOutcome) != string(request.OutcomeAnswered) {
		w.failures = append(w.failures, fmt.Sprintf("%s at %s: %v %s", kind, router, err, raw))
		return
	}
	if kind == "chat" {
		text, complete := chatText(raw, n%4 == 1)
		if !complete || text != wantText(fmt.Sprintf("memo %d %d", i, n), 12) {
			w.failures = append(w.failures, "incomplete answer: "+string(raw))
			return
		}
	}
	w.complete[kind]++
}

func (w *callers) awaitMore(n int) {
	w.c.t.Helper()
	count := func() int {
		w.mu.Lock()
		defer w.mu.Unlock()
		return w.complete["hold"] + w.complete["chat"]
	}
	from := count()
	w.c.await(fmt.Sprintf("%d more answers", n), 60*time.Second, func() bool { return count() >= from+n })
}

func (w *callers) stopAndCheck() {
	w.c.t.Helper()
	close(w.stop)
	w.done.Wait()
	for _, b := range w.failures {
		w.c.t.Errorf("cut or refused: %s", b)
	}
	for key, n := range w.c.effects() {
		if n != 1 {
			w.c.t.Errorf("key %s had %d effects", key, n)
		}
	}
	w.c.t.Logf("answered: %v", w.complete)
}

// TestPlannedStop stops processes with SIGTERM under load. No request may be cut, refused or run
// twice.
func TestPlannedStop(t *testing.T) {
	cases := map[string]func(c *cluster, w *callers){
		"router": func(c *cluster, _ *callers) {
			c.procs["router-0"].term(20 * time.Second)
		},
		"all routers in turn": func(c *cluster, w *callers) {
			for r := range c.routers {
				p := c.procs[fmt.Sprint("router-", r)]
				p.term(20 * time.Second)
				p.start()
				c.awaitReady(1)
				w.awaitMore(10)
			}
		},
		"agent of a plain service": func(c *cluster, _ *callers) {
			c.procs["ledger-0"].term(20 * time.Second)
		},
		"agent of a rank": func(c *cluster, _ *callers) {
			c.procs["group-0-1"].term(20 * time.Second)
		},
		"one process of each role": func(c *cluster, _ *callers) {
			for _, name := range []string{"router-1", "ledger-1", "group-0-0"} {
				c.procs[name].signal(syscall.SIGTERM)
			}
			for _, name := range []string{"router-1", "ledger-1", "group-0-0"} {
				c.procs[name].term(20 * time.Second)
			}
		},
	}
	for name, stop := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, options{routers: 2, groups: 1, ranks: 3, plains: 3})
			w := c.callers(4)
			w.awaitMore(30)
			stop(c, w)
			w.awaitMore(60)
			w.stopAndCheck()
		})
	}
}

// TestLeaving announces in each supported way that an upstream is leaving. It must get no new work
// two seconds after the announcement, and no request may be cut.
func TestLeaving(t *testing.T) {
	const id = upstream.ID("ledger-0")
	cases := map[string]func(c *cluster){
		"platform's list": func(c *cluster) {
			for i := range c.vms {
				if c.vms[i].ID == vm.ID(id) {
					c.vms[i].State = vm.StateLeaving
				}
			}
			c.setVMs()
			lag := time.Now().Add(2 * time.Second)
			c.await("the list shows it", 10*time.Second, func() bool { return time.Now().After(lag) })
		},
		"configuration": func(c *cluster) {
			in := c.intent
			in.Services = append(in.Services[:0:0], in.Services...)
			in.Services[0].Closed = []upstream.ID{id}
			if v := c.confirm(0, "close", in); v != configlog.VerdictAccepted {
				c.t.Fatalf("close: %s", v)
			}
		},
		"taken out of the configuration": func(c *cluster) {
			in := c.intent
			in.Services = append(in.Services[:0:0], in.Services...)
			in.Services[0].Upstreams = in.Services[0].Upstreams[1:]
			if v := c.confirm(0, "remove", in); v != configlog.VerdictAccepted {
				c.t.Fatalf("remove: %s", v)
			}
		},
		"agent": func(c *cluster) { c.procs[string(id)].signal(syscall.SIGTERM) },
	}
	for name, announce := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, options{routers: 2, plains: 3})
			w := c.callers(4)
			w.awaitMore(30)
			announce(c)
			deadline := time.Now().Add(2 * time.Second)
			c.await("two seconds", 5*time.Second, func() bool { return time.Now().After(deadline) })
			calls := func() int {
				var n int
				if err := getJSON(c.plain[id]+"/control/calls", "", &n); err != nil {
					t.Error(err)
				}
				return n
			}
			before := calls()
			w.awaitMore(60)
			if after := calls(); after != before {
				t.Errorf("%d calls were sent to a leaving upstream", after-before)
			}
			if name == "configuration" {
				// The operator reopens the upstream.
				c.confirm(1, "open", c.intent)
				c.await("the upstream works again", 15*time.Second, func() bool { return calls() > before })
			}
			w.stopAndCheck()
		})
	}
}
