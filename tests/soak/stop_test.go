// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package soak

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"fawnwinch.org/fawnwinch/standin/metastore"
)

const (
	// lastSeedWithoutStops is the last of the seeds that were played before stopFaults. They keep
	// their plans.
	lastSeedWithoutStops = 400
	// boundDescriptors is the number of descriptors that a router may have open, and restingTime how
	// long a caller's connection may rest, for the other seeds.
	boundDescriptors = 600
	restingTime      = 3 * time.Second
	// partBytes is the size of the store's answers to their reads, so that most hold one record, and
	// partTime what such an answer takes.
	partBytes = 400
	partTime  = 30 * time.Millisecond
	// timeUsed is the fraction of its time from which a call may be cut: its deadline is near.
	timeUsed = 0.7
)

// hasStopFaults reports whether the plan of a seed has stopFaults.
func hasStopFaults(seed uint64) bool { return seed > lastSeedWithoutStops }

// hasOnlyStopFaults reports whether the plan of a seed has no other faults: a call is only checked for
// a cut by a planned stop if nothing else disturbed its router.
func hasOnlyStopFaults(seed uint64) bool { return hasStopFaults(seed) && seed%4 == 1 }

// stopFaults are stops of all routers, callers that leave connections to routers, and a store that
// turns routers away for longer than keys may be used.
var stopFaults = []fault{
	{"all routers are stopped one after another", 5, func(w *world, rng *rand.Rand, _ time.Duration) {
		gap := time.Duration(rng.IntN(2000)) * time.Millisecond
		if rng.IntN(4) == 0 {
			gap = 0
		}
		var all sync.WaitGroup
		for _, i := range rng.Perm(len(w.routers)) {
			r, twice := w.routers[i], rng.IntN(2) == 0
			all.Go(func() { w.stopRouter(r, twice) })
			pause(gap)
		}
		all.Wait()
	}},
	{"an agent is stopped as planned", 3, func(w *world, rng *rand.Rand, duration time.Duration) {
		a := w.agents[rng.IntN(len(w.agents))]
		a.lifecycle.Lock()
		defer a.lifecycle.Unlock()
		a.end(syscall.SIGTERM, graceTime)
		pause(duration / 4)
		a.start()
	}},
	{"callers leave connections at rest", 6, func(w *world, rng *rand.Rand, duration time.Duration) {
		r := w.anyRouter(rng)
		address, path := r.front, "/view/x"
		if rng.IntN(2) == 0 {
			address, path = r.directory, "/fawnwinch/resolve?name=h&region=r&zone=a"
		}
		for range 200 + rng.IntN(600) {
			w.leaveConnection(address, "GET "+path+" HTTP/1.1\r\nHost: h\r\nX-Fawnwinch-Request-Id: rest\r\n\r\n", true)
		}
		pause(duration)
	}},
	{"callers stall in the middle of a request", 3, func(w *world, rng *rand.Rand, duration time.Duration) {
		r := w.anyRouter(rng)
		for range 50 {
			w.leaveConnection(r.front, "POST /view/x HTTP/1.1\r\nHost: h\r\nX-Fawnwinch-Request-Id: stall\r\nApi-Key: k\r\nContent-Length: 10\r\n\r\n123", false)
		}
		pause(duration)
	}},
	{"the store turns all routers away while keys are taken away", 4, func(w *world, rng *rand.Rand, duration time.Duration) {
		defer w.storeDisturbances.begin()()
		w.store.SetFault(metastore.FaultBusy)
		for range 3 + rng.IntN(8) {
			w.newConfig()
			pause(time.Duration(rng.IntN(300)) * time.Millisecond)
		}
		pause(revokeTime + duration/4)
		w.store.SetFault(metastore.FaultNone)
	}},
}

// stopRouter stops a router as planned, perhaps with a second signal, and starts it again.
func (w *world) stopRouter(r *router, twice bool) {
	w.restartPlanned(r, func() {
		if twice {
			defer time.AfterFunc(time.Second, func() { r.signal(syscall.SIGTERM) }).Stop()
		}
		r.end(syscall.SIGTERM, graceTime)
	})
}

// restartPlanned is restart for a router that is stopped as planned.
func (w *world) restartPlanned(r *router, end func()) {
	r.lifecycle.Lock()
	defer r.lifecycle.Unlock()
	done := r.disturbances.begin()
	planned := r.planned.begin()
	end()
	planned()
	w.mu.Lock()
	r.starts++
	w.mu.Unlock()
	r.start()
	done()
}

// leaveConnection opens a connection, sends text, reads the answer if one is expected, and leaves the
// connection open.
func (w *world) leaveConnection(address, text string, answered bool) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return // the router may have ended
	}
	w.mu.Lock()
	w.left = append(w.left, conn)
	w.mu.Unlock()
	_ = conn.SetDeadline(time.Now().Add(time.Second))
	if _, err := io.WriteString(conn, text); err != nil || !answered {
		return
	}
	if resp, err := http.ReadResponse(bufio.NewReader(conn), nil); err == nil {
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
	}
}

// closeLeft closes the connections that callers have left.
func (w *world) closeLeft() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, c := range w.left {
		_ = c.Close()
	}
	w.left = nil
}

// workTime draws the time that a replica takes for a request. Plain replicas take longer where routers
// are stopped: otherwise a stopping router has a moment without requests, and ends.
func (r *replica) workTime() time.Duration {
	if hasStopFaults(r.w.seed) && r.engine == nil {
		return time.Duration(100+r.draw(300)) * time.Millisecond
	}
	return time.Duration(r.draw(40)) * time.Millisecond
}

// maxDescriptors returns the number of descriptors that a router may have open; 0 for any number.
func (w *world) maxDescriptors() int {
	if !hasStopFaults(w.seed) {
		return 0
	}
	return boundDescriptors
}

// limits returns the limits in the configurations of a seed.
func (w *world) limits() string {
	if !hasStopFaults(w.seed) {
		return `{"maxBodyBytes":100000}`
	}
	return fmt.Sprintf(`{"maxBodyBytes":100000,"idleTimeoutMs":%d}`, restingTime.Milliseconds())
}

// checkCut checks that a call which a replica ran was not cut by a planned stop of its router, if
// neither the router nor the replica was disturbed otherwise.
func (w *world) checkCut(c *call, now time.Time, runs int) {
	cut := c.err != nil && !c.leavesEarly && runs > 0
	if !cut || now.Sub(c.sent) > time.Duration(timeUsed*float64(callerTimeout)) || c.router.planned.none(c.sent, now) {
		return
	}
	if !c.router.unplanned.none(c.sent.Add(-contactTime), now) {
		return
	}
	for _, r := range c.ranAt {
		if !r.disturbances.none(c.sent.Add(-contactTime), now) {
			return
		}
	}
	w.fail("call %s at %s ran at %s and was cut by a planned stop: %v", c.id, c.router.name, c.ranAt[0].id, c.err)
}
