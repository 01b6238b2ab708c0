// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package integration

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"fawnwinch.org/fawnwinch/models/request"
	"fawnwinch.org/fawnwinch/models/upstream"
	"fawnwinch.org/fawnwinch/modules/setting"
	"fawnwinch.org/fawnwinch/services"
	upstreamstandin "fawnwinch.org/fawnwinch/standin/upstream"

	"github.com/Shopify/toxiproxy/v2"
)

// TestCompleteAnswers makes one of two upstreams return faulty answers. Callers must get complete
// answers to their own requests from the other one, or the outcome unknown.
func TestCompleteAnswers(t *testing.T) {
	faults := map[string]upstreamstandin.PlainFault{
		"truncated":         {Truncate: true},
		"another request's": {ForeignID: true},
		"cut off":           {LoseAnswers: true},
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, options{routers: 1, plains: 2, router: allowRetries})
			c.put(c.plain["ledger-0"]+"/control/fault", fault)
			c.awaitRetryShare()
			for i := range 40 {
				resp, raw, err := do(http.MethodGet, fmt.Sprintf("%s/svc/ledger/v1/balance/%d", c.routers[0], i), "small", nil, nil)
				if err != nil || resp.Header.Get(request.HeaderOutcome) != string(request.OutcomeAnswered) {
					t.Fatalf("balance %d: %v %s", i, err, raw)
				}
				id := resp.Header.Get(request.HeaderID)
				if !bytes.Contains(raw, []byte(id)) || !bytes.Contains(raw, fmt.Appendf(nil, "/v1/balance/%d", i)) {
					t.Errorf("balance %d: answer %s is not that of request %s", i, raw, id)
				}
			}
			got := map[request.Outcome]int{}
			for i := range 20 {
				h := c.hold(0, "small", fmt.Sprint("k", i), 5*time.Second)
				got[h.outcome]++
				if h.outcome == request.OutcomeAnswered && !strings.Contains(h.body, "/v1/holds") {
					t.Errorf("hold %d: %s", i, h.body)
				}
			}
			for key, n := range c.effects() {
				if strings.HasPrefix(key, "small/k") && n != 1 {
					t.Errorf("hold %s had %d effects", key, n)
				}
			}
			if got[request.OutcomeNotRun] > 0 || got[request.OutcomeUnknown] == 0 {
				t.Errorf("holds: %v; want some unknown and none not run", got)
			}
		})
	}
}

// TestStreamResumes cuts every stream of one rank after some bytes. Callers see each token once, in
// order.
func TestStreamResumes(t *testing.T) {
	l := &links{proxies: map[upstream.ID]*toxiproxy.Proxy{}}
	var c *cluster
	c = newClusterInto(t, &c, options{
		routers: 1, groups: 1, ranks: 3, agent: func(s *setting.Agent) { l.addProxy(&c, s) },
		router: allowRetries,
	})
	raw := `{"name":"cut","type":"limit_data","stream":"downstream","attributes":{"bytes":1500}}`
	if _, err := l.proxies["group-0-1"].Toxics.AddToxicJson(strings.NewReader(raw)); err != nil {
		t.Fatal(err)
	}
	c.awaitRetryShare()
	for i := range 24 {
		prompt := fmt.Sprint("memo ", i)
		text, end := c.chat(0, "small", prompt, 40, true)
		if end.outcome != request.OutcomeAnswered || text != wantText(prompt, 40) {
			t.Errorf("chat %d: %s %s, text %q", i, end.outcome, end.reason, text)
		}
	}
	if _, raw, err := do(http.MethodGet, c.routers[0]+"/metrics", "", nil, nil); err != nil || !bytes.Contains(raw, []byte("fawnwinch_attempts_total")) {
		t.Errorf("metrics: %v", err)
	}
	if !c.cutSeen() {
		t.Error("no stream was cut, so the test proves nothing")
	}
}

// cutSeen reports whether the time line lists an attempt whose answer was cut.
func (c *cluster) cutSeen() bool {
	_, raw, err := do(http.MethodGet, c.routers[0]+"/api/v1/timeline?kind=request", "operator", nil, nil)
	return err == nil && bytes.Contains(raw, []byte("end=cut"))
}

// TestNoRetryStorm makes every upstream fail and checks that retries stay within their budget.
func TestNoRetryStorm(t *testing.T) {
	c := newCluster(t, options{routers: 1, plains: 2})
	for _, address := range c.plain {
		c.put(address+"/control/fault", upstreamstandin.PlainFault{LoseAnswers: true})
	}
	const calls, saved = 300, 20
	for range calls {
		resp, raw, err := do(http.MethodGet, c.routers[0]+"/svc/ledger/v1/balance", "small", nil, nil)
		if err != nil || resp.Header.Get("Retry-After") == "" {
			t.Fatalf("failed call without Retry-After: %v %s", err, raw)
		}
	}
	_, raw, err := do(http.MethodGet, c.routers[0]+"/metrics", "", nil, nil)
	if err != nil {
		t.Fatal(err)
	}
	attempts := metric(raw, `fawnwinch_attempts_total{process="router-0",service="ledger"}`)
	if attempts < calls || attempts > calls+saved+1 {
		t.Errorf("%.0f attempts for %d calls of which none was answered", attempts, calls)
	}
}

// TestSentToTwoUpstreamsAtMost makes each upstream close the connection while it runs a request,
// which may then be sent to two upstreams at most. Without this limit it was sent to four upstreams
// in turn: a request that crashes the upstreams that run it would have taken a service down with
// one attempt of its caller.
func TestSentToTwoUpstreamsAtMost(t *testing.T) {
	c := newCluster(t, options{routers: 1, plains: 4, router: allowRetries})
	for _, address := range c.plain {
		c.put(address+"/control/fault", upstreamstandin.PlainFault{LoseAnswers: true})
	}
	c.awaitRetryShare()
	resp, raw, err := do(http.MethodGet, c.routers[0]+"/svc/ledger/v1/balance", "small", nil, nil)
	if err != nil || resp.Header.Get(request.HeaderOutcome) != string(request.OutcomeUnknown) {
		t.Fatalf("%v %s", err, raw)
	}
	sent := 0
	for _, address := range c.plain {
		calls := 0
		if err := getJSON(address+"/control/calls", "", &calls); err != nil {
			t.Fatal(err)
		}
		sent += calls
	}
	if sent != 2 {
		t.Errorf("the request was sent to %d upstreams, want 2", sent)
	}
}

// TestCallerDisconnects checks that a caller that disconnects frees its slot at the engine.
func TestCallerDisconnects(t *testing.T) {
	c := newCluster(t, options{routers: 1, groups: 1, ranks: 2})
	running := func() int {
		n := 0
		for _, address := range c.ranks {
			var s services.EngineState
			if err := getJSON(address+"/engine/state", "", &s); err != nil {
				return -1
			}
			n += s.Running + s.Waiting
		}
		return n
	}
	ctx, cancel := context.WithCancel(t.Context())
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.routers[0]+"/v1/chat/completions", bytes.NewReader(chatBody("long", 50000, true)))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer small")
	go func() {
		if resp, err := http.DefaultClient.Do(req); err == nil {
			_, _ = resp.Body.Read(make([]byte, 1))
		}
	}()
	c.await("the request runs", 10*time.Second, func() bool { return running() == 1 })
	cancel()
	c.await("the engine has dropped the request", 5*time.Second, func() bool { return running() == 0 })
}
