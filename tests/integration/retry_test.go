// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package integration

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"fawnwinch.org/fawnwinch/modules/setting"
	upstreamstandin "fawnwinch.org/fawnwinch/standin/upstream"
)

// allowRetries makes the retry budget so large that it does not limit a test.
func allowRetries(s *setting.Router) { s.RetryRatio, s.RetrySlack = 1, 1e6 }

// awaitRetryShare waits until the routers know how many they are, and so may use the retry budget.
func (c *cluster) awaitRetryShare() {
	c.t.Helper()
	for i, router := range c.routers {
		c.await(fmt.Sprintf("router %d has a share of the retries", i), 10*time.Second, func() bool {
			_, raw, err := do(http.MethodGet, router+"/metrics", "", nil, nil)
			return err == nil && metric(raw, "fawnwinch_retry_budget_routers") == float64(len(c.routers))
		})
	}
}

// calls returns the requests that the plain upstreams have got.
func (c *cluster) calls() int {
	sum := 0
	for id, address := range c.plain {
		n := 0
		if err := getJSON(address+"/control/calls", "", &n); err != nil {
			c.t.Fatalf("calls of %s: %v", id, err)
		}
		sum += n
	}
	return sum
}

// TestRetriesOfRestartedRouters makes every upstream fail while all routers are killed and start
// again several times. It guards against retries of all routers together that exceed their common
// budget: each start brought twenty.
func TestRetriesOfRestartedRouters(t *testing.T) {
	const rounds, perRound = 4, 30
	c := newCluster(t, options{routers: 3, plains: 3})
	for _, address := range c.plain {
		c.put(address+"/control/fault", upstreamstandin.PlainFault{LoseAnswers: true})
	}
	before, begun, sent := c.calls(), time.Now(), 0
	for round := range rounds {
		if round > 0 {
			for i := range c.routers {
				p := c.procs[fmt.Sprint("router-", i)]
				p.kill()
				p.start()
			}
			c.awaitReady(1)
		}
		for _, router := range c.routers {
			for range perRound {
				sent++
				_, _, _ = do(http.MethodGet, router+"/svc/ledger/v1/balance", "small", nil, nil)
			}
		}
	}
	s := setting.DefaultRouter()
	windows := 1 + float64(time.Since(begun)/s.RetryWindow)
	allowed := s.RetryRatio*float64(sent) + s.RetrySlack*windows
	if retries := c.calls() - before - sent; float64(retries) > allowed {
		t.Errorf("%d retries for %d requests in %s, %.0f are allowed", retries, sent, time.Since(begun).Round(time.Second), allowed)
	}
}
