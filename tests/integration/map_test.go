// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package integration

import (
	"fmt"
	"sync"
	"syscall"
	"testing"
	"time"

	"fawnwinch.org/fawnwinch/models/group"
	"fawnwinch.org/fawnwinch/models/request"
	"fawnwinch.org/fawnwinch/models/upstream"
	"fawnwinch.org/fawnwinch/modules/setting"
	"fawnwinch.org/fawnwinch/services"
	platformstandin "fawnwinch.org/fawnwinch/standin/platform"
	upstreamstandin "fawnwinch.org/fawnwinch/standin/upstream"
)

// report returns what the stand-in of a group saw.
func (c *cluster) report(id upstream.ID) upstreamstandin.Report {
	var r upstreamstandin.Report
	_ = getJSON(c.ranks[id]+"/control/report", "", &r)
	return r
}

// chats drives chats until stopped, and counts those that were not whole.
type chats struct {
	c     *cluster
	mu    sync.Mutex
	whole int
	told  map[string]int
	stop  chan struct{}
	done  sync.WaitGroup
}

func (c *cluster) chats(workers, tokens int) *chats {
	w := &chats{c: c, told: map[string]int{}, stop: make(chan struct{})}
	for i := range workers {
		w.done.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-w.stop:
					return
				default:
				}
				prompt := fmt.Sprintf("memo %d of %d", n, i)
				text, end := c.chat((i+n)%len(c.routers), string(accounts[i%2].Account), prompt, tokens, n%2 == 0)
				w.mu.Lock()
				switch {
				case end.outcome == request.OutcomeAnswered && text == want(prompt, tokens):
					w.whole++
				case end.outcome == request.OutcomeAnswered:
					w.c.t.Errorf("answered with %q, want %q", text, want(prompt, tokens))
				default:
					w.told[string(end.outcome)+" "+end.reason]++
				}
				w.mu.Unlock()
			}
		})
	}
	return w
}

func (w *chats) more(n int) {
	w.c.t.Helper()
	count := func() int { w.mu.Lock(); defer w.mu.Unlock(); return w.whole }
	from := count()
	w.c.await(fmt.Sprintf("%d more whole chats", n), 60*time.Second, func() bool { return count() >= from+n })
}

func (w *chats) end() {
	close(w.stop)
	w.done.Wait()
	w.c.t.Logf("%d whole, others: %v", w.whole, w.told)
}

// inHold lets popularity drift until ranks hold before a step, acts then, and returns that step. The
// stand-in keeps rank 2's answer to the hold until the act is done: neither the coordinator nor rank 2's
// agent can be further than the hold when the act strikes.
func (c *cluster) inHold(act func()) group.Step {
	c.t.Helper()
	rank := c.ranks["group-0-2"]
	var s services.EngineState
	c.put(rank+"/control/fault", upstreamstandin.Fault{Rank: 2, Drift: 40, KeepHoldAnswer: true})
	c.await("a hold", 40*time.Second, func() bool { return getJSON(rank+"/engine/state", "", &s) == nil && s.Hold != 0 })
	act()
	c.put(rank+"/control/fault", upstreamstandin.Fault{Rank: 2})
	return s.Hold
}

// TestHold breaks a process while the ranks hold before a step. The group must step on, on one map.
func TestHold(t *testing.T) {
	faults := map[string]func(c *cluster){
		"coordinator killed":  func(c *cluster) { c.procs["group-0-0"].kill() },
		"coordinator frozen":  func(c *cluster) { c.procs["group-0-0"].signal(syscall.SIGSTOP) },
		"rank's agent killed": func(c *cluster) { c.procs["group-0-2"].kill() },
		"rank's agent frozen": func(c *cluster) { c.procs["group-0-2"].signal(syscall.SIGSTOP) },
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, options{routers: 2, groups: 1, ranks: 3, agent: func(s *setting.Agent) { s.Upstream.ChecksFence = true }})
			w := c.chats(4, 16)
			w.more(20)
			hold := c.inHold(func() { fault(c) })
			broken := time.Now()
			c.await("the group has stepped on", 30*time.Second, func() bool { return c.report("group-0-1").Step > hold })
			t.Logf("the hold ended %s after the fault", time.Since(broken).Round(time.Millisecond))
			w.more(20)
			for _, p := range c.procs {
				p.signal(syscall.SIGCONT)
			}
			w.more(20)
			w.end()
			if r := c.report("group-0-1"); r.Mixed != 0 {
				t.Errorf("%d steps with two maps: %+v", r.Mixed, r.Switches)
			}
		})
	}
}

// TestHoldUnfenced freezes the coordinator while the ranks hold before a step, where engines do not check who gives them an order: nobody
// but the agent beside a rank may end its hold, so the group waits for the agent, and goes on when it is back. A frozen coordinator may be
// met in a hold by chance, and a test that thawed it only after more chats had been served waited for ever:
//
//	hold before step 601, step 590
//	40 more whole chats: not within 1m0s
//	after: step 600
func TestHoldUnfenced(t *testing.T) {
	c := newCluster(t, options{routers: 2, groups: 1, ranks: 3})
	w := c.chats(6, 16)
	w.more(20)
	hold := c.inHold(func() { c.procs["group-0-0"].signal(syscall.SIGSTOP) })
	c.await("the group stands before the step", 30*time.Second, func() bool { return c.report("group-0-1").Step == hold-1 })
	c.procs["group-0-0"].signal(syscall.SIGCONT)
	w.more(40)
	w.end()
	if r := c.report("group-0-1"); r.Mixed != 0 || r.Step < hold {
		t.Errorf("%d steps with two maps, step %d: %+v", r.Mixed, r.Step, r.Switches)
	}
}

// TestExpertMap lets popularity drift so that maps change, and breaks coordinators and ranks meanwhile.
// In every step all ranks must use the same map, and steps must go on.
func TestExpertMap(t *testing.T) {
	faults := map[string]func(c *cluster, i int){
		"none": func(*cluster, int) {},
		"coordinator killed": func(c *cluster, _ int) {
			c.procs["group-0-0"].kill()
			c.procs["group-0-0"].start()
		},
		"coordinator frozen": func(c *cluster, i int) {
			sig := syscall.SIGSTOP
			if i%2 == 1 {
				sig = syscall.SIGCONT
			}
			c.procs["group-0-0"].signal(sig)
		},
		"rank's agent killed": func(c *cluster, _ int) {
			c.procs["group-0-2"].kill()
			c.procs["group-0-2"].start()
		},
		"weight store and log away": func(c *cluster, i int) {
			c.fault(platformstandin.Fault{Down: i%2 == 0})
		},
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			// A coordinator that is frozen in a hold has the group wait for it unless engines check fences; see TestHoldUnfenced.
			fenced := func(s *setting.Agent) { s.Upstream.ChecksFence = name == "coordinator frozen" }
			c := newCluster(t, options{routers: 2, groups: 1, ranks: 3, agent: fenced})
			w := c.chats(6, 16)
			const drifts = 4
			for i := range drifts {
				from := len(c.report("group-0-1").Switches)
				c.put(c.ranks["group-0-1"]+"/control/fault", upstreamstandin.Fault{Rank: 1, Drift: 12})
				w.more(40)
				fault(c, i)
				if name == "none" {
					c.await("map changed", 30*time.Second, func() bool { return len(c.report("group-0-1").Switches) > from })
				}
			}
			c.procs["group-0-0"].signal(syscall.SIGCONT)
			from := len(c.report("group-0-1").Switches)
			c.put(c.ranks["group-0-1"]+"/control/fault", upstreamstandin.Fault{Rank: 1, Drift: 40})
			c.await("map changes after the faults", 40*time.Second, func() bool { return len(c.report("group-0-1").Switches) > from })
			w.more(20)
			w.end()
			r := c.report("group-0-1")
			if r.Mixed != 0 {
				t.Errorf("%d steps with two maps: %+v", r.Mixed, r.Switches)
			}
			t.Logf("%d switches in %d steps, skew at the end %.3f", len(r.Switches), r.Step, r.Skew)
		})
	}
}
