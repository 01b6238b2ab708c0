// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package integration

import (
	"syscall"
	"testing"
	"time"

	"fawnwinch.org/fawnwinch/models/request"
	"fawnwinch.org/fawnwinch/modules/setting"
	platformstandin "fawnwinch.org/fawnwinch/standin/platform"
)

func shortOutage(s *setting.Agent) { s.Once.OutageAfter = 1500 * time.Millisecond }

// TestOutage makes the platform unavailable. Holds go on at owners that are alive, the slices of an
// owner that dies meanwhile are refused until the log is back, and no hold runs twice afterwards.
func TestOutage(t *testing.T) {
	faults := map[string]func(c *cluster, w *workload){
		"outage alone": func(*cluster, *workload) {},
		"owner dies in the outage": func(c *cluster, w *workload) {
			c.procs["ledger-0"].kill()
			w.awaitAnswered(40)
			c.procs["ledger-0"].start()
		},
		"owner sleeps through the end of the outage": func(c *cluster, w *workload) {
			c.procs["ledger-1"].signal(syscall.SIGSTOP)
			w.awaitAnswered(40)
			c.fault(platformstandin.Fault{})
			w.awaitAnswered(40)
			c.procs["ledger-1"].signal(syscall.SIGCONT)
		},
		"router dies in the outage": func(c *cluster, w *workload) {
			c.procs["router-0"].kill()
			w.awaitAnswered(40)
			c.procs["router-0"].start()
		},
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, options{routers: 2, plains: 3, agent: shortOutage})
			w := c.holds(4)
			w.awaitAnswered(20)
			c.fault(platformstandin.Fault{Down: true})
			w.awaitAnswered(100)
			fault(c, w)
			c.fault(platformstandin.Fault{})
			w.awaitAnswered(40)
			w.check(t)
		})
	}
}

// TestOutageRefusesHolds checks that an owner that may not run without its journal refuses holds at
// once.
func TestOutageRefusesHolds(t *testing.T) {
	c := newCluster(t, options{routers: 1, plains: 1, agent: func(s *setting.Agent) { s.Once.OutageAfter = 0 }})
	c.fault(platformstandin.Fault{Down: true})
	var got callResult
	c.await("refusal for lack of a journal", 20*time.Second, func() bool {
		got = c.hold(0, "small", "k", 20*time.Second)
		return got.reason == "journal-unreachable"
	})
	if again := c.hold(0, "small", "k", 20*time.Second); again.outcome != request.OutcomeNotRun || again.took > 2*time.Second {
		t.Errorf("got %+v, want a refusal at once", again)
	}
	c.fault(platformstandin.Fault{})
	c.await("holds again", 10*time.Second, func() bool { return c.hold(0, "small", "k2", 5*time.Second).outcome == request.OutcomeAnswered })
	if n := c.effects()["small/k"]; n != 0 {
		t.Errorf("refused hold had %d effects", n)
	}
}

// longRetention is the log's retention, and the keys' lifetime, in the test of a long outage.
const longRetention = 12 * time.Second

// TestLongOutage makes the platform unavailable for longer than the log's retention. Meanwhile an
// owner and a router are killed, and another owner is frozen from before the outage until after it.
func TestLongOutage(t *testing.T) {
	t.Parallel()
	c := newCluster(t, options{
		routers: 3, plains: 4, platformArgs: []string{"--retention", longRetention.String()},
		router: func(s *setting.Router) { s.Platform.Retention = longRetention },
		agent: func(s *setting.Agent) {
			s.Platform.Retention, s.Once.Lifetime, s.Once.OutageAfter = longRetention, longRetention, 1500*time.Millisecond
		},
	})
	rev := c.accept(0, "before", c.variant(3))
	c.awaitRevision(rev)
	w := c.holds(4)
	w.awaitAnswered(20)
	stop := c.watchRevisions()
	c.procs["ledger-3"].signal(syscall.SIGSTOP)
	c.fault(platformstandin.Fault{Down: true})
	began := time.Now()
	w.awaitAnswered(60)
	c.procs["ledger-0"].kill()
	c.procs["router-0"].kill()
	w.awaitAnswered(60)
	c.procs["router-0"].start()
	c.await("outage over", 3*longRetention, func() bool { return time.Since(began) > longRetention*3/2 })
	w.awaitAnswered(20)
	c.fault(platformstandin.Fault{})
	c.procs["ledger-0"].start()
	c.procs["ledger-3"].signal(syscall.SIGCONT)
	w.awaitAnswered(100)
	c.awaitRevision(rev)
	c.awaitRevision(c.accept(1, "after", c.variant(4)))
	stop()
	w.check(t)
}
