// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package integration

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"fawnwinch.org/fawnwinch/models/request"
	"fawnwinch.org/fawnwinch/models/upstream"
	"fawnwinch.org/fawnwinch/modules/setting"
	"fawnwinch.org/fawnwinch/routers"
	platformstandin "fawnwinch.org/fawnwinch/standin/platform"
	upstreamstandin "fawnwinch.org/fawnwinch/standin/upstream"

	"github.com/Shopify/toxiproxy/v2"
	"github.com/anishathalye/porcupine"
	"github.com/rs/zerolog"
)

// links puts a fault-injecting proxy before the HTTP port of each agent.
type links struct {
	mu      sync.Mutex
	proxies map[upstream.ID]*toxiproxy.Proxy
}

func (l *links) addProxy(c **cluster, s *setting.Agent) {
	l.mu.Lock()
	defer l.mu.Unlock()
	server := toxiproxy.NewServer(toxiproxy.NewMetricsContainer(nil), zerolog.Nop())
	p := toxiproxy.NewProxy(server, string(s.Upstream.ID), (*c).address(), s.Process.HTTP)
	if err := p.Start(); err != nil {
		(*c).t.Fatal(err)
	}
	(*c).t.Cleanup(p.Stop)
	s.Process.AdvertiseHTTP = p.Listen
	l.proxies[s.Upstream.ID] = p
}

// cut breaks all connections and refuses new ones; restore accepts connections again.
func (l *links) cut() {
	for _, p := range l.proxies {
		p.Stop()
	}
}

func (l *links) restore(t testing.TB) {
	for _, p := range l.proxies {
		if err := p.Start(); err != nil {
			t.Error(err)
		}
	}
}

// reset turns connection resets in the direction of the answers on or off.
func (l *links) reset(t testing.TB, on bool) {
	for _, p := range l.proxies {
		if !on {
			p.Toxics.ResetToxics(context.Background())
			continue
		}
		raw := `{"name":"reset","type":"reset_peer","stream":"downstream","toxicity":0.5,"attributes":{"timeout":5}}`
		if _, err := p.Toxics.AddToxicJson(strings.NewReader(raw)); err != nil {
			t.Error(err)
		}
	}
}

// holdOp is one attempt of a caller, or the final count of a key, for the checker.
type holdOp struct {
	key   string
	final bool
}

// holdModel specifies the results of attempts on one key: an answered attempt has its effect once,
// a not-run attempt has none, an unknown one has at most one, and the final count equals the number
// of effects.
var holdModel = porcupine.NondeterministicModel{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[string][]porcupine.Operation{}
		for _, op := range history {
			k := op.Input.(holdOp).key
			byKey[k] = append(byKey[k], op)
		}
		var out [][]porcupine.Operation
		for _, list := range byKey {
			out = append(out, list)
		}
		return out
	},
	Init: func() []any { return []any{0} },
	Step: func(state, input, output any) []any {
		n := state.(int)
		if input.(holdOp).final {
			if output.(int) == n {
				return []any{n}
			}
			return nil
		}
		switch output.(request.Outcome) {
		case request.OutcomeAnswered:
			return []any{1}
		case request.OutcomeNotRun:
			return []any{n}
		default:
			return []any{n, 1}
		}
	},
	Equal: func(a, b any) bool { return a == b },
}

// workload sends holds with retries at other routers and records the history.
type workload struct {
	c        *cluster
	mu       sync.Mutex
	history  []porcupine.Operation
	outcomes map[request.Outcome]int
	slowest  time.Duration
	stop     chan struct{}
	done     sync.WaitGroup
}

const holdAttempts = 4

func (c *cluster) holds(workers int) *workload {
	w := &workload{c: c, outcomes: map[request.Outcome]int{}, stop: make(chan struct{})}
	began := time.Now()
	for i := range workers {
		w.done.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-w.stop:
					return
				default:
					w.runHold(began, i, fmt.Sprintf("key-%d-%d", i, n))
				}
			}
		})
	}
	return w
}

func (w *workload) runHold(began time.Time, worker int, key string) {
	who := string(accounts[worker%len(accounts)].Account)
	var got callResult
	start := time.Now()
	for try := range holdAttempts {
		call := time.Since(began)
		got = w.c.hold((worker+try)%len(w.c.routers), who, key, 3*time.Second)
		w.mu.Lock()
		w.history = append(w.history, porcupine.Operation{
			ClientId: worker, Input: holdOp{key: who + "/" + key}, Output: got.outcome,
			Call: int64(call), Return: int64(time.Since(began)),
		})
		w.mu.Unlock()
		if got.outcome == request.OutcomeAnswered {
			break
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.outcomes[got.outcome]++
	w.slowest = max(w.slowest, time.Since(start))
}

// check stops the load and compares the history with the effects.
func (w *workload) check(t *testing.T) {
	t.Helper()
	close(w.stop)
	w.done.Wait()
	effects := w.c.effects()
	keys := map[string]bool{}
	last := int64(0)
	for _, op := range w.history {
		keys[op.Input.(holdOp).key] = true
		last = max(last, op.Return)
	}
	history := w.history
	for k := range keys {
		history = append(history, porcupine.Operation{Input: holdOp{key: k, final: true}, Output: effects[k], Call: last + 1, Return: last + 2})
	}
	if !porcupine.CheckOperations(holdModel.ToModel(), history) {
		t.Errorf("history is not explained by holds that run at most once")
		for k, n := range effects {
			if n > 1 {
				t.Errorf("key %s had %d effects", k, n)
			}
		}
	}
	t.Logf("%d keys: %v, slowest %s", len(keys), w.outcomes, w.slowest.Round(time.Millisecond))
	if w.outcomes[request.OutcomeAnswered] == 0 {
		t.Error("nothing was answered")
	}
}

// awaitAnswered waits until n more holds have been answered.
func (w *workload) awaitAnswered(n int) {
	w.c.t.Helper()
	count := func() int { w.mu.Lock(); defer w.mu.Unlock(); return w.outcomes[request.OutcomeAnswered] }
	from := count()
	w.c.await(fmt.Sprintf("%d more holds answered", n), 30*time.Second, func() bool { return count() >= from+n })
}

// TestOnceUnderFaults injects one fault at a time under a load of holds.
func TestOnceUnderFaults(t *testing.T) {
	faults := map[string]func(c *cluster, l *links, w *workload){
		"agent killed and replaced": func(c *cluster, _ *links, w *workload) {
			c.procs["ledger-0"].kill()
			w.awaitAnswered(50)
			c.procs["ledger-0"].start()
		},
		"agent frozen and woken": func(c *cluster, _ *links, w *workload) {
			c.procs["ledger-1"].signal(syscall.SIGSTOP)
			w.awaitAnswered(60)
			c.procs["ledger-1"].signal(syscall.SIGCONT)
		},
		"router killed and replaced": func(c *cluster, _ *links, w *workload) {
			c.procs["router-0"].kill()
			w.awaitAnswered(30)
			c.procs["router-0"].start()
		},
		"router frozen and woken": func(c *cluster, _ *links, w *workload) {
			c.procs["router-1"].signal(syscall.SIGSTOP)
			w.awaitAnswered(30)
			c.procs["router-1"].signal(syscall.SIGCONT)
		},
		"upstream loses answers": func(c *cluster, _ *links, w *workload) {
			c.put(c.plain["ledger-0"]+"/control/fault", upstreamstandin.PlainFault{LoseAnswers: true})
			w.awaitAnswered(50)
			c.put(c.plain["ledger-0"]+"/control/fault", upstreamstandin.PlainFault{})
		},
		"upstream frozen and woken": func(c *cluster, _ *links, w *workload) {
			c.procs["standin-ledger-2"].signal(syscall.SIGSTOP)
			w.awaitAnswered(20)
			c.procs["standin-ledger-2"].signal(syscall.SIGCONT)
		},
		"links cut": func(c *cluster, l *links, w *workload) {
			l.cut()
			c.await("callers see the cut", 20*time.Second, func() bool { w.mu.Lock(); defer w.mu.Unlock(); return w.outcomes[request.OutcomeNotRun] > 0 })
			l.restore(c.t)
		},
		"links reset after sending": func(c *cluster, l *links, w *workload) {
			l.reset(c.t, true)
			w.awaitAnswered(30)
			l.reset(c.t, false)
		},
		"log answers lost": func(c *cluster, _ *links, w *workload) {
			c.fault(platformstandin.Fault{LoseAnswers: true})
			w.awaitAnswered(50)
			c.fault(platformstandin.Fault{})
		},
		"log slow": func(c *cluster, _ *links, w *workload) {
			c.fault(platformstandin.Fault{DelayMillis: 300})
			w.awaitAnswered(20)
			c.fault(platformstandin.Fault{})
		},
		"everything at once": func(c *cluster, l *links, w *workload) {
			c.fault(platformstandin.Fault{LoseAnswers: true, DelayMillis: 50})
			l.reset(c.t, true)
			c.procs["ledger-0"].kill()
			c.procs["ledger-1"].signal(syscall.SIGSTOP)
			c.procs["router-0"].kill()
			w.awaitAnswered(10)
			c.procs["ledger-0"].start()
			c.procs["router-0"].start()
			c.procs["ledger-1"].signal(syscall.SIGCONT)
			l.reset(c.t, false)
			c.fault(platformstandin.Fault{})
		},
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			l := &links{proxies: map[upstream.ID]*toxiproxy.Proxy{}}
			var c *cluster
			c = newClusterInto(t, &c, options{routers: 2, plains: 3, agent: func(s *setting.Agent) { l.addProxy(&c, s) }})
			w := c.holds(4)
			w.awaitAnswered(20)
			fault(c, l, w)
			w.awaitAnswered(40)
			w.check(t)
		})
	}
}

// TestUnlistedRouteRetried compares a route that the intent lists as non-repeatable with one that
// it does not list. A lost answer on the unlisted route doubles the effect, because the router
// retries the request.
func TestUnlistedRouteRetried(t *testing.T) {
	c := newCluster(t, options{routers: 1, plains: 2, router: allowRetries})
	for _, address := range c.plain {
		c.put(address+"/control/fault", upstreamstandin.PlainFault{LoseAnswers: true})
	}
	c.awaitRetryShare()
	naive, careful := "naive", "careful"
	_, _, err := do(http.MethodPost, c.routers[0]+"/svc/ledger/v1/unlisted", "small", map[string]string{request.HeaderKey: naive, routers.HeaderTimeout: "2000"}, []byte("{}"))
	if err != nil {
		t.Fatal(err)
	}
	got := c.hold(0, "small", careful, 2*time.Second)
	e := c.effects()
	if got.outcome != request.OutcomeUnknown || e["small/"+careful] != 1 {
		t.Errorf("listed route: outcome %s, %d effects; want unknown and 1", got.outcome, e["small/"+careful])
	}
	if e["small/"+naive] < 2 {
		t.Errorf("unlisted route: %d effects, want 2 at least", e["small/"+naive])
	}
}
