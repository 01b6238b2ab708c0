// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package integration

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"fawnwinch.org/fawnwinch/models/account"
	"fawnwinch.org/fawnwinch/models/intent"
	"fawnwinch.org/fawnwinch/modules/setting"
	"fawnwinch.org/fawnwinch/services/configlog"
	platformstandin "fawnwinch.org/fawnwinch/standin/platform"

	"github.com/Shopify/toxiproxy/v2"
	"github.com/rs/zerolog"
)

// propagationTimeout is the time within which an accepted revision must be in force everywhere.
const propagationTimeout = 10 * time.Second

// variant returns the cluster's intent with another share for the small account.
func (c *cluster) variant(weight float64) intent.Intent {
	in := c.intent
	in.Services = append(in.Services[:0:0], in.Services...)
	for i := range in.Services {
		in.Services[i].Shares = []account.Share{accounts[0], {Account: "small", Weight: weight}}
	}
	return in
}

// awaitRevision waits until every process has a revision in force, and returns how long that took.
func (c *cluster) awaitRevision(rev intent.Revision) time.Duration {
	c.t.Helper()
	began := time.Now()
	for r := range c.routers {
		c.await(fmt.Sprintf("revision %d everywhere as router %d reports it", rev, r), propagationTimeout, func() bool {
			s, err := c.status(r)
			return err == nil && s.HasRevision(rev) && len(s.Processes) == len(c.vms)
		})
	}
	return time.Since(began)
}

// state returns the configuration in force at a router.
func (c *cluster) state(router int) intent.State {
	var s intent.State
	if err := getJSON(c.routers[router]+"/api/v1/intents", "operator", &s); err != nil {
		return intent.State{}
	}
	return s
}

// watchRevisions polls all routers and fails the test if one reports a lower revision than it
// reported before, also across restarts. A router that does not know the configuration must not
// answer; such polls are skipped.
func (c *cluster) watchRevisions() (stop func()) {
	done := make(chan struct{})
	var w sync.WaitGroup
	for r := range c.routers {
		w.Go(func() {
			var high intent.Revision
			for {
				select {
				case <-done:
					return
				case <-time.After(30 * time.Millisecond):
				}
				s := c.state(r)
				if s.Intent == nil {
					continue
				}
				if s.Revision < high {
					c.t.Errorf("router %d went from revision %d to %d", r, high, s.Revision)
				}
				high = max(high, s.Revision)
			}
		})
	}
	return func() { close(done); w.Wait() }
}

func (c *cluster) accept(router int, id string, in intent.Intent) intent.Revision {
	c.t.Helper()
	p, err := c.plan(router, in)
	if err != nil {
		c.t.Fatal(err)
	}
	a, err := c.confirmPlan(router, id, p)
	if err != nil || a.Outcome.Verdict != configlog.VerdictAccepted {
		c.t.Fatalf("confirm %s: %v %+v", id, err, a)
	}
	return a.Outcome.Revision
}

// TestConfiguration injects one fault at a time around confirmations. An accepted revision must be
// in force everywhere within ten seconds and must never be reverted.
func TestConfiguration(t *testing.T) {
	faults := map[string]func(c *cluster){
		"operators race": func(c *cluster) {
			var plans []intent.Plan
			for r := range c.routers {
				p, err := c.plan(r, c.variant(float64(r+2)))
				if err != nil {
					c.t.Fatal(err)
				}
				plans = append(plans, p)
			}
			verdicts := make([]configlog.Verdict, len(plans))
			var w sync.WaitGroup
			for r, p := range plans {
				w.Go(func() {
					a, _ := c.confirmPlan(r, fmt.Sprint("race", r), p)
					verdicts[r] = a.Outcome.Verdict
				})
			}
			w.Wait()
			won := 0
			for r, v := range verdicts {
				if v == configlog.VerdictAccepted {
					won++
					c.awaitRevision(2)
					if got, want := c.state(0).Digest, plans[r].Intent.Digest(); got != want {
						c.t.Errorf("in force %s, accepted %s", got, want)
					}
				}
			}
			if won != 1 {
				c.t.Errorf("verdicts %v: want one accepted", verdicts)
			}
		},
		"append answer lost": func(c *cluster) {
			c.fault(platformstandin.Fault{LoseAnswers: true})
			c.awaitRevision(c.accept(0, "lost", c.variant(3)))
		},
		"confirmation repeated at another router": func(c *cluster) {
			p, err := c.plan(0, c.variant(3))
			if err != nil {
				c.t.Fatal(err)
			}
			first, _ := c.confirmPlan(0, "again", p)
			second, _ := c.confirmPlan(1, "again", p)
			if first.Outcome != second.Outcome || first.Outcome.Verdict != configlog.VerdictAccepted {
				c.t.Errorf("outcomes %+v and %+v", first.Outcome, second.Outcome)
			}
			c.awaitRevision(2)
		},
		"log out at the confirmation": func(c *cluster) {
			p, err := c.plan(0, c.variant(3))
			if err != nil {
				c.t.Fatal(err)
			}
			c.fault(platformstandin.Fault{Down: true})
			a, _ := c.confirmPlan(0, "out", p)
			if a.Outcome.Verdict == configlog.VerdictAccepted {
				c.t.Error("accepted without the log")
			}
			c.fault(platformstandin.Fault{})
			c.awaitRevision(c.accept(1, "after", c.variant(4)))
		},
		"routers replaced one by one": func(c *cluster) {
			rev := c.accept(0, "before", c.variant(3))
			c.awaitRevision(rev)
			for r := range c.routers {
				p := c.procs[fmt.Sprint("router-", r)]
				p.kill()
				p.start()
				c.awaitReady(rev)
			}
			if got := c.state(0).Revision; got != rev {
				c.t.Errorf("revision %d after replacement, want %d", got, rev)
			}
		},
		"fresh start in an outage": func(c *cluster) {
			rev := c.accept(0, "before", c.variant(3))
			c.awaitRevision(rev)
			c.fault(platformstandin.Fault{Down: true})
			c.procs["router-0"].kill()
			c.procs["ledger-0"].kill()
			c.procs["router-0"].start()
			c.procs["ledger-0"].start()
			c.awaitRevision(rev)
			c.await("router-0 serves", propagationTimeout, func() bool {
				resp, _, err := do("GET", c.routers[0]+"/readyz", "", nil, nil)
				return err == nil && resp.StatusCode == http.StatusOK
			})
			c.fault(platformstandin.Fault{})
			c.awaitRevision(c.accept(0, "after", c.variant(4)))
		},
		"retention runs out": func(c *cluster) {
			rev := c.accept(0, "before", c.variant(3))
			began := time.Now()
			c.await("retention passed twice", 15*time.Second, func() bool { return time.Since(began) > 2*testRetention })
			for r := range c.routers {
				p := c.procs[fmt.Sprint("router-", r)]
				p.kill()
				p.start()
				c.awaitReady(rev)
			}
			c.awaitRevision(c.accept(1, "after", c.variant(4)))
		},
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, options{
				routers: 3, plains: 2, platformArgs: []string{"--retention", testRetention.String()},
				router: func(s *setting.Router) { s.Platform.Retention = testRetention },
			})
			stop := c.watchRevisions()
			fault(c)
			stop()
			if first := c.state(0); first.Digest != c.state(1).Digest || first.Digest != c.state(2).Digest {
				t.Error("routers end with different configurations")
			}
		})
	}
}

// testRetention is the log's retention in these tests.
const testRetention = 6 * time.Second

// TestRouterCutFromLog checks that a router that cannot reach the log learns the configuration from
// its peers.
func TestRouterCutFromLog(t *testing.T) {
	var c *cluster
	var proxy *toxiproxy.Proxy
	c = newClusterInto(t, &c, options{routers: 2, plains: 1, router: func(s *setting.Router) {
		if s.Process.ID != "router-1" {
			return
		}
		server := toxiproxy.NewServer(toxiproxy.NewMetricsContainer(nil), zerolog.Nop())
		proxy = toxiproxy.NewProxy(server, "log", c.address(), c.platform)
		if err := proxy.Start(); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(proxy.Stop)
		s.Platform.Address = proxy.Listen
	}})
	proxy.Stop()
	took := c.awaitRevision(c.accept(0, "cut", c.variant(3)))
	t.Logf("in force everywhere after %s", took.Round(time.Millisecond))
}
