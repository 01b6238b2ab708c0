// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package integration

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"fawnwinch.org/fawnwinch/platform/platformtest"
	"fawnwinch.org/fawnwinch/standin/metastore"
)

// The streams of the stand-in store that the tests write.
const (
	operatorStream = "keyed.op"
	replicaStream  = "keyed.servers"
	// quarantineStream is the stream in which routers keep the requests that crash upstreams.
	quarantineStream = "keyed.fawnwinch-quarantine"
)

// replica is a plain replica that answers as the platform's do.
type replica struct {
	id, address string
	server      *httptest.Server
	requests    atomic.Int32
	// gate delays answers until it is closed, unless it is nil.
	gate chan struct{}
}

func newReplica(t *testing.T, id string, gate chan struct{}) *replica {
	t.Helper()
	rp := &replica{id: id, gate: gate}
	rp.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("X-Fawnwinch-Expected-Instance") != id || r.Header.Get("Api-Key") != "" {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		rp.requests.Add(1)
		if rp.gate != nil {
			<-rp.gate
		}
		w.Header().Set("X-Fawnwinch-Request-Id", r.Header.Get("X-Fawnwinch-Request-Id"))
		w.Header().Set("X-Fawnwinch-Response-Seal", "seal")
		_, _ = fmt.Fprintf(w, "%s for %s", id, r.Header.Get("X-Fawnwinch-Tenant-Id"))
	}))
	t.Cleanup(rp.server.Close)
	rp.address = strings.TrimPrefix(rp.server.URL, "http://")
	return rp
}

func (rp *replica) entry(state string) string {
	return fmt.Sprintf(`{"service":"ledger","address":%q,"zone":"a","slots":6,"state":%q}`, rp.address, state)
}

// operatorConfig returns a configuration with one route of each plain kind and some keys.
func operatorConfig(version int, keys ...string) string {
	list, _ := json.Marshal(keys)
	return fmt.Sprintf(`{"version":%d,"routes":[
	{"name":"peek","host":"h","pathPrefix":"/peek/","kind":"unsafe","timeoutMs":4000,"targetLatencyMs":300,"service":"ledger","maxAttempts":1},
	{"name":"view","host":"h","pathPrefix":"/view/","kind":"safe","timeoutMs":4000,"targetLatencyMs":300,"service":"ledger","maxAttempts":2}],
	"services":[{"name":"ledger"}],"limits":{"maxBodyBytes":100000},"tenants":[{"name":"seiryu","apiKeys":%s}]}`, version, list)
}

// site is a stand-in store with routers before it.
type site struct {
	t     *testing.T
	store *metastore.Store
	// calls counts the calls of the store by all processes.
	calls *atomic.Int64
	addr  string
	dir   string
	// ip is the address of this site only, and ports counts the ports that were allocated there.
	ip    string
	ports atomic.Int32
	// descriptors is the number of descriptors that a process may have open; 0 for the usual one.
	descriptors int
}

func newSite(t *testing.T) *site {
	t.Helper()
	store := metastore.New()
	calls := &atomic.Int64{}
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls.Add(1)
		store.ServeHTTP(w, r)
	}))
	t.Cleanup(func() { s.CloseClientConnections(); s.Close() })
	return &site{t: t, store: store, calls: calls, addr: strings.TrimPrefix(s.URL, "http://"), dir: t.TempDir(), ip: loopback()}
}

// nextPort returns a port that no other process of the site uses. Sites do not use 127.0.0.1
// because outgoing connections get ports there too: now and then one took a port before the process
// that it was meant for listened.
func (s *site) nextPort() int { return firstPort + int(s.ports.Add(1)) }

// node is a running router.
type node struct {
	*process
	front, ready, control, directory string
	settings                         string
}

// router starts a router. Seeds are the control addresses of other routers.
func (s *site) router(name string, seeds ...string) *node {
	s.t.Helper()
	address := func() string { return net.JoinHostPort(s.ip, strconv.Itoa(s.nextPort())) }
	n := &node{front: address(), ready: address(), control: address(), directory: address()}
	n.settings = filepath.Join(s.dir, name+".toml")
	text := platformtest.NodeFile{
		Name: name, IP: s.ip, Zone: "a", Ports: [2]int{1, 2}, Seeds: seeds,
		Front: n.front, Ready: n.ready, Control: n.control, Directory: n.directory, Store: s.addr, Descriptors: s.descriptors,
	}.Text()
	if err := os.WriteFile(n.settings, []byte(text), 0o600); err != nil {
		s.t.Fatal(err)
	}
	n.process = &process{t: s.t, name: name, args: []string{"platform", "router", "-c", n.settings}, logs: filepath.Join(s.dir, name+".log")}
	n.start()
	s.t.Cleanup(func() {
		n.kill()
		if info, err := os.Stat(n.logs); err != nil || !info.Mode().IsRegular() {
			return // a pipe without a writer cannot be read
		}
		if raw, err := os.ReadFile(n.logs); err == nil && strings.Contains(string(raw), "DATA RACE") {
			s.t.Errorf("%s has a data race:\n%s", name, raw)
		}
		if s.t.Failed() && os.Getenv("FAWNWINCH_TEST_LOGS") != "" {
			raw, _ := os.ReadFile(n.logs)
			s.t.Logf("%s:\n%s", name, raw)
		}
	})
	return n
}

// post sends a request to a router and returns the status, the body and the header.
func post(ctx context.Context, t *testing.T, address, path, key string) (int, string, http.Header) {
	t.Helper()
	return postBody(ctx, t, address, path, key, "x")
}

// postBody is post with a body.
func postBody(ctx context.Context, t *testing.T, address, path, key, body string) (int, string, http.Header) {
	t.Helper()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Host = "h"
	req.Header.Set("X-Fawnwinch-Request-Id", "r1")
	req.Header.Set("X-Fawnwinch-Deadline-Ms", "4000")
	req.Header.Set("Api-Key", key)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err.Error(), nil
	}
	defer func() { _ = resp.Body.Close() }()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error(), nil
	}
	return resp.StatusCode, string(answer), resp.Header
}

// get returns the status and body of a GET request to a router; the status is 0 if there is no
// answer.
func get(t testing.TB, url string) (int, string) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, url, nil)
	if err != nil {
		t.Fatal(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = resp.Body.Close() }()
	body, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(body)
}

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !ok(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s did not happen", what)
		}
	}
}

func (n *node) isReady() bool {
	status, _ := get(n.t, "http://"+n.ready+"/fawnwinch/ready")
	return status == http.StatusOK
}

func (n *node) resolve(t *testing.T) string {
	_, body := get(t, "http://"+n.directory+"/fawnwinch/resolve?name=h&region=r&zone=a")
	return body
}

// TestPlatformEndToEnd runs real routers through a start without a configuration, a first
// configuration, removed keys, an upstream that leaves, trimmed records, a change of settings, and
// an outage of the store in which a router starts.
func TestPlatformEndToEnd(t *testing.T) {
	s := newSite(t)
	a := s.router("a")
	eventually(t, "an answer", func() bool { status, _, _ := post(t.Context(), t, a.front, "/peek/x", "k"); return status != 0 })
	if status, _, header := post(t.Context(), t, a.front, "/peek/x", "k"); status != 503 || header.Get("Retry-After") == "" || a.isReady() {
		t.Errorf("before the configuration: status %d, Retry-After %q", status, header.Get("Retry-After"))
	}
	one, two := newReplica(t, "i-1", nil), newReplica(t, "i-2", nil)
	s.store.Put(operatorStream, "config", operatorConfig(3, "k", "k2"))
	s.store.Put(replicaStream, "i-1", one.entry("ready"))
	eventually(t, "a served request", func() bool {
		status, body, _ := post(t.Context(), t, a.front, "/peek/x", "k")
		return status == 200 && body == "i-1 for seiryu"
	})
	t.Run("a key is taken away", func(t *testing.T) {
		s.store.Put(operatorStream, "config", operatorConfig(5, "k"))
		eventually(t, "the refusal", func() bool { status, _, _ := post(t.Context(), t, a.front, "/peek/x", "k2"); return status == 401 })
		s.store.Put(operatorStream, "config", operatorConfig(4, "k", "k2"))
		s.store.Put(operatorStream, "other", "{")
		if status, _, _ := post(t.Context(), t, a.front, "/peek/x", "k2"); status != 401 {
			t.Errorf("an older configuration came back: status %d", status)
		}
	})
	t.Run("an upstream leaves", func(t *testing.T) {
		s.store.Put(replicaStream, "i-2", two.entry("ready"))
		eventually(t, "the new one", func() bool {
			_, body, _ := post(t.Context(), t, a.front, "/view/x", "k")
			return body == "i-2 for seiryu"
		})
		s.store.Put(replicaStream, "i-1", one.entry("draining"))
		eventually(t, "no work for the old one", func() bool {
			before := one.requests.Load()
			for range 12 {
				if status, _, _ := post(t.Context(), t, a.front, "/view/x", "k"); status != 200 {
					return false
				}
			}
			return one.requests.Load() == before
		})
	})
	t.Run("trimmed records", func(t *testing.T) {
		s.store.Trim(replicaStream)
		s.store.Trim(operatorStream)
		s.store.Put(operatorStream, "config", operatorConfig(6, "k", "k3"))
		eventually(t, "the new key", func() bool { status, _, _ := post(t.Context(), t, a.front, "/peek/x", "k3"); return status == 200 })
	})
	t.Run("settings change", func(t *testing.T) {
		a.signal(syscall.SIGHUP)
		eventually(t, "the log line", func() bool {
			raw, _ := os.ReadFile(a.logs)
			return strings.Contains(string(raw), "event=reload")
		})
		if status, _, _ := post(t.Context(), t, a.front, "/peek/x", "k"); status != 200 {
			t.Errorf("status %d after SIGHUP", status)
		}
	})
	t.Run("a router starts while the store is out", func(t *testing.T) {
		s.store.SetFault(metastore.FaultBusy)
		defer s.store.SetFault(metastore.FaultNone)
		b := s.router("b", a.control)
		eventually(t, "a request served by it", func() bool { status, _, _ := post(t.Context(), t, b.front, "/peek/x", "k"); return status == 200 })
		eventually(t, "refused keys that cannot be verified as current", func() bool {
			status, _, header := post(t.Context(), t, b.front, "/peek/x", "k")
			return status == 503 && header.Get("Retry-After") != ""
		})
	})
}

// TestPlatformStop stops a router with a request in flight: it leaves the directory at once, and
// the request gets its answer.
func TestPlatformStop(t *testing.T) {
	s := newSite(t)
	gate := make(chan struct{})
	slow := newReplica(t, "i-1", gate)
	s.store.Put(operatorStream, "config", operatorConfig(3, "k"))
	s.store.Put(replicaStream, "i-1", slow.entry("ready"))
	a := s.router("a")
	b := s.router("b")
	eventually(t, "both ready", func() bool { return a.isReady() && b.isReady() })
	eventually(t, "both named", func() bool { return strings.Contains(b.resolve(t), a.front) && strings.Contains(b.resolve(t), b.front) })
	type result struct {
		status int
		body   string
	}
	answered := make(chan result, 1)
	go func() {
		status, body, _ := post(context.Background(), t, a.front, "/peek/x", "k")
		answered <- result{status, body}
	}()
	eventually(t, "the request at the replica", func() bool { return slow.requests.Load() == 1 })
	a.signal(syscall.SIGTERM)
	eventually(t, "not ready", func() bool { return !a.isReady() })
	eventually(t, "not named", func() bool { return !strings.Contains(b.resolve(t), a.front) })
	close(gate)
	if r := <-answered; r.status != 200 || r.body != "i-1 for seiryu" {
		t.Errorf("the request in flight got status %d, %q", r.status, r.body)
	}
	if status, _, header := post(t.Context(), t, a.front, "/peek/x", "k"); status != 200 || header.Get("Connection") == "keep-alive" {
		t.Errorf("a caller that still holds the address got status %d", status)
	}
	select {
	case <-a.done:
	case <-time.After(8 * time.Second):
		t.Error("the router did not end before it would be killed")
	}
}

// TestPlatformSettings checks that settings which cannot be used are refused with field and value.
func TestPlatformSettings(t *testing.T) {
	s := newSite(t)
	n := s.router("a")
	raw, err := os.ReadFile(n.settings)
	if err != nil {
		t.Fatal(err)
	}
	bad := filepath.Join(s.dir, "bad.toml")
	if err := os.WriteFile(bad, []byte(strings.Replace(string(raw), "graceS = 8", "graceS = -8", 1)), 0o600); err != nil {
		t.Fatal(err)
	}
	p := &process{t: t, name: "bad", args: []string{"platform", "router", "-c", bad}, logs: filepath.Join(s.dir, "bad.log")}
	p.start()
	<-p.done
	logs, _ := os.ReadFile(p.logs)
	if code := p.cmd.ProcessState.ExitCode(); code == 0 || !strings.Contains(string(logs), "GraceS") || !strings.Contains(string(logs), "-8") {
		t.Errorf("exit code %d, output %s", code, logs)
	}
}

// TestPlatformLogs checks that a process goes on when its logs are not read.
func TestPlatformLogs(t *testing.T) {
	s := newSite(t)
	rp := newReplica(t, "i-1", nil)
	s.store.Put(operatorStream, "config", operatorConfig(3, "k"))
	s.store.Put(replicaStream, "i-1", rp.entry("ready"))
	n := s.router("a")
	n.kill()
	if err := os.Remove(n.logs); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Mkfifo(n.logs, 0o600); err != nil {
		t.Fatal(err)
	}
	fifo, err := os.OpenFile(n.logs, os.O_RDWR, 0) // open, but not read
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = fifo.Close() }()
	n.start()
	eventually(t, "ready", n.isReady)
	const requests = 600 // their lines are more than the pipe holds
	for i := range requests {
		if status, _, _ := post(t.Context(), t, n.front, "/view/x", "k"); status != 200 {
			t.Fatalf("request %d: status %d", i, status)
		}
	}
	line, err := bufio.NewReader(fifo).ReadString('\n')
	if err != nil || !strings.Contains(line, "event=") {
		t.Errorf("first line %q, %v", line, err)
	}
}
