// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"fawnwinch.org/fawnwinch/platform/platformtest"
	"fawnwinch.org/fawnwinch/standin/metastore"
	"fawnwinch.org/fawnwinch/standin/rankgroup"

	"github.com/Shopify/toxiproxy/v2"
)

// Streams of the stand-in store that the soak writes to.
const (
	operatorStream = "keyed.op"
	replicaStream  = "keyed.servers"
)

// Time bounds that the users require, as in the settings of the tests.
const (
	contactTime = 3 * time.Second
	applyTime   = 2 * time.Second
	drainTime   = 2 * time.Second
	graceTime   = 8 * time.Second
	revokeTime  = 5 * time.Second
	// tolerance is what the checks allow for the transit time of a request and for a busy machine.
	tolerance = 500 * time.Millisecond
)

const (
	plainReplicas = 3
	rankCount     = 3
	firstPort     = 22000
)

// router is a router process with its addresses and its own proxy to the store.
type router struct {
	*process
	front, ready, control, directory, settings string
	store                                      *toxiproxy.Proxy
	// starts counts its restarts.
	starts int
}

// world holds everything that a soak runs.
type world struct {
	t     *testing.T
	seed  uint64
	begun time.Time
	ip    string
	dir   string
	store *metastore.Store
	// storeAddress is where the store listens, and storeDisturbances when it was disturbed.
	storeAddress      string
	storeDisturbances disturbances
	proxies           *toxiproxy.ApiServer
	routers           []*router
	agents            []*process
	group             *rankgroup.Group

	// faults are the faults that may be injected.
	faults []fault

	mu       sync.Mutex
	replicas int
	all      []*replica
	port     int
	calls    map[string]*call
	// ended holds the calls that have ended, in order.
	ended    []*call
	failures []string
	events   []string
	configs  []config
	// newest is the text of the newest configuration.
	newest string
	// priorityShift is added to the priorities of the ranked routes, modulo their number.
	priorityShift int
	// burstCount is the number of bursts so far, and bursts are their callers.
	burstCount int
	bursts     sync.WaitGroup
	// evacuatedAt is when the second data centre was evacuated; zero if it is not.
	evacuatedAt time.Time
	// obligations holds the notices of replicas that oblige routers, and backOffRequests the number
	// of requests that arrived during each requested back-off.
	obligations     map[obligationKey]obligation
	backOffRequests map[obligationKey]int
	// left holds the connections that callers have left to routers.
	left []net.Conn
	// badParts holds the parts of prompts that crash replicas.
	badParts map[string]*badPart
}

// fail records a broken guarantee.
func (w *world) fail(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.failures = append(w.failures, fmt.Sprintf("%6.2f s: %s", time.Since(w.begun).Seconds(), fmt.Sprintf(format, args...)))
}

// note records the start or the end of a fault.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.events = append(w.events, fmt.Sprintf("%6.2f s: %s", time.Since(w.begun).Seconds(), fmt.Sprintf(format, args...)))
}

// newWorld starts a store, routers, a group with an agent beside each rank, and plain replicas.
func newWorld(t *testing.T, seed uint64, routers int) *world {
	t.Helper()
	dir, err := os.MkdirTemp("", fmt.Sprintf("fawnwinch-soak-%d-", seed))
	if err != nil {
		t.Fatal(err)
	}
	w := &world{
		t: t, seed: seed, begun: time.Now(), ip: fmt.Sprintf("127.%d.%d.%d", 1+os.Getpid()%250, 200+seed/250%50, 1+seed%250), dir: dir,
		store: metastore.New(), proxies: newProxyServer(), calls: map[string]*call{}, port: firstPort,
		obligations: map[obligationKey]obligation{}, backOffRequests: map[obligationKey]int{}, badParts: map[string]*badPart{},
	}
	s := httptest.NewServer(w.store)
	w.storeAddress = strings.TrimPrefix(s.URL, "http://")
	t.Cleanup(func() { s.CloseClientConnections(); s.Close() })
	if hasStopFaults(seed) {
		w.store.SetMaxAnswer(partBytes, partTime)
	}
	w.newConfig()
	w.group = rankgroup.New(rankgroup.Options{
		Name: "g", Ranks: rankCount, Layers: 2, Experts: 12, PassTime: 15 * time.Millisecond, LoadTime: 20 * time.Millisecond, Seed: seed, ChoicesPerPass: 60, Running: 4,
	})
	w.group.Start()
	t.Cleanup(w.group.Stop)
	for range plainReplicas {
		w.newReplica("ledger", nil)
	}
	for n := range rankCount {
		r := w.newReplica("pool", w.group.Handler(n))
		w.agents = append(w.agents, w.newAgent(fmt.Sprint("side-", n), r.listener.Addr().String()))
	}
	for n := range routers {
		w.routers = append(w.routers, w.newRouter(fmt.Sprint("front-", n)))
	}
	t.Cleanup(w.stop)
	t.Cleanup(w.closeLeft)
	return w
}

// stop ends all processes and replicas.
func (w *world) stop() {
	for _, r := range w.routers {
		r.kill()
	}
	for _, a := range w.agents {
		a.kill()
	}
	for _, r := range w.allReplicas() {
		r.crash()
		r.proxy.Stop()
	}
}

func (w *world) allReplicas() []*replica {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]*replica(nil), w.all...)
}

func (w *world) address() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.port++
	return net.JoinHostPort(w.ip, strconv.Itoa(w.port))
}

func (w *world) newRouter(name string) *router {
	r := &router{front: w.address(), ready: w.address(), control: w.address(), directory: w.address(), store: w.newProxy(name+" to the store", w.storeAddress)}
	var seeds []string
	for _, o := range w.routers {
		seeds = append(seeds, o.control)
	}
	r.settings = w.write(name, platformtest.NodeFile{
		Name: name, IP: w.ip, Zone: "a", Ports: [2]int{1, 2}, Seeds: seeds[:min(len(seeds), 3)], Front: r.front, Ready: r.ready, Control: r.control, Directory: r.directory, Store: r.store.Listen, Descriptors: w.maxDescriptors(),
	})
	r.process = &process{w: w, name: name, args: []string{"platform", "router", "-c", r.settings}, logs: filepath.Join(w.dir, name+".log")}
	r.start()
	return r
}

func (w *world) newAgent(name, engine string) *process {
	_, text, _ := net.SplitHostPort(w.address())
	port, _ := strconv.Atoi(text) // the address was built from a number
	settings := w.write(name, platformtest.NodeFile{Name: name, IP: w.ip, Zone: "a", Ports: [2]int{port, port}, App: engine, Service: "pool", Store: w.storeAddress})
	p := &process{w: w, name: name, args: []string{"platform", "agent", "-c", settings}, logs: filepath.Join(w.dir, name+".log")}
	p.start()
	return p
}

func (w *world) write(name string, f platformtest.NodeFile) string {
	path := filepath.Join(w.dir, name+".toml")
	if err := os.WriteFile(path, []byte(f.Text()), 0o600); err != nil {
		w.fail("settings of %s: %v", name, err)
	}
	return path
}

// config is one configuration and when the store accepted it.
type config struct {
	version  int
	storedAt time.Time
	// key is the key that was added with the version. Both the key and the route that probes the
	// version are removed keptVersions versions later.
	key string
}

// keptVersions is the number of versions for which a key and a probe route stay in force.
const keptVersions = 3

// newConfig puts the next configuration in force.
func (w *world) newConfig() {
	w.mu.Lock()
	defer w.mu.Unlock()
	c := config{version: len(w.configs) + 1, key: fmt.Sprint("key-", len(w.configs)+1)}
	keys := []string{"k"}
	routes := []string{
		route("peek", "unsafe", "ledger", 2), route("view", "safe", "ledger", 2), route("draft", "streaming", "pool", 2),
	}
	if isRanked(w.seed) {
		routes = append(routes[:2], w.rankedRoutes()...)
	}
	for _, old := range append(w.configs[max(0, len(w.configs)-keptVersions+1):], c) {
		keys = append(keys, old.key)
		routes = append(routes, route(probeOf(old.version), "safe", "ledger", 2))
	}
	list, _ := json.Marshal(keys) // strings always marshal
	w.newest = fmt.Sprintf(`{"version":%d,"routes":[%s],"services":[{"name":"ledger"},{"name":"pool","engine":{"slots":12,"stride":4,"step_ms":4.5,"per_seq_ms":0.9,
	"read_per_s":60000,"chunk":512,"usual":{"prompt":800,"answer":40},"sets":2,"experts":12,"places":6,"spare":2,"expert_mb":1,"expert_share":0.85,"form_ms":600}}],
	"limits":%s,"tenants":[{"name":"seiryu","apiKeys":%s}]}`, c.version, strings.Join(routes, ","), w.limits(), list)
	w.store.Put(operatorStream, "config", w.newest)
	c.storedAt = time.Now()
	w.configs = append(w.configs, c)
}

func probeOf(version int) string { return fmt.Sprint("probe-", version) }

func route(name, kind, service string, attempts int) string {
	return fmt.Sprintf(`{"name":%q,"host":"h","pathPrefix":"/%s/","kind":%q,"timeoutMs":4000,"targetLatencyMs":300,"service":%q,"maxAttempts":%d,"streamResume":%t}`,
		name, name, kind, service, attempts, kind == "streaming")
}

// removedAt returns when the store accepted the configuration that removed what a version had
// added; false if none has.
func (w *world) removedAt(version int) (time.Time, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if i := version + keptVersions - 1; i < len(w.configs) {
		return w.configs[i].storedAt, true
	}
	return time.Time{}, false
}

// ready waits until all routers accept callers.
func (w *world) ready(ctx context.Context) {
	for _, r := range w.routers {
		for ctx.Err() == nil && !r.isReady(ctx) {
			time.Sleep(20 * time.Millisecond)
		}
	}
}

func (r *router) isReady(ctx context.Context) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+r.ready+"/fawnwinch/ready", nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// newRand returns a random source for one part of the soak.
func (w *world) newRand(part uint64) *rand.Rand { return rand.New(rand.NewPCG(w.seed, part)) }
