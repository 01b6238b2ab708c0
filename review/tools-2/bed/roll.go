//go:build review

// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// rollRouters get SIGTERM one after the other, rollGap apart.
	rollRouters = 2
	rollGap     = time.Second
	// rollClients is the number of clients. A third of them hold an answer of the directory for three
	// times its time.
	rollClients = 60
	// longFrom and longUntil are the times after the last SIGTERM between which each client asks for
	// one long stream.
	longFrom, longUntil = 3050 * time.Millisecond, 4000 * time.Millisecond
)

// roll is the state of a rolling stop.
type roll struct {
	b       *bed
	all     []*router
	mu      sync.Mutex
	stopped map[string]time.Time // by address of the router
	serial  atomic.Int64
	lost    atomic.Int64
	served  atomic.Int64
	refused atomic.Int64
	excused atomic.Int64
}

// client is one caller, which keeps to the page "Ingress".
type client struct {
	s         *roll
	hold      time.Duration
	addresses []string
	until     time.Time
	failed    map[string]time.Time
	address   string
	w         *wire
}

// lookUp asks up to three directories for addresses.
func (c *client) lookUp() {
	if time.Now().Before(c.until) {
		return
	}
	for _, i := range rand.Perm(len(c.s.all)) {
		list, err := resolve(c.s.all[i].directory, c.s.b.host)
		if err != nil || len(list) == 0 {
			continue
		}
		c.addresses, c.until = list, time.Now().Add(c.hold)
		if c.w != nil && !slices.Contains(list, c.address) {
			c.drop()
		}
		return
	}
}

func (c *client) drop() {
	if c.w != nil {
		c.w.close()
		c.w = nil
	}
}

// connect returns a connection to one of the addresses, by chance, skipping those that have failed.
func (c *client) connect() bool {
	c.lookUp()
	if c.w != nil {
		return true
	}
	var usable []string
	for _, a := range c.addresses {
		if time.Since(c.failed[a]) > time.Second {
			usable = append(usable, a)
		}
	}
	if len(usable) == 0 {
		usable = c.addresses
	}
	if len(usable) == 0 {
		return false
	}
	c.address = usable[rand.IntN(len(usable))]
	w, err := dial(c.address)
	if err != nil {
		c.failed[c.address] = time.Now()
		c.until = time.Time{}
		return false
	}
	c.w = w
	return true
}

// ask sends one request for a stream, and again while it is refused with a promise.
func (c *client) ask(events int) {
	s := c.s
	for end := time.Now().Add(8 * time.Second); time.Now().Before(end); {
		if !c.connect() {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		id := fmt.Sprintf("q%05d", s.serial.Add(1))
		sent, address := time.Now(), c.address
		out := s.b.stream(c.w, id, events)
		s.mu.Lock()
		at, leaves := s.stopped[address]
		s.mu.Unlock()
		switch {
		case out.status == http.StatusOK && out.complete:
			s.served.Add(1)
		case out.status == http.StatusOK:
			after, cut := sent.Sub(at), time.Since(at)
			if leaves && after > 3*time.Second && cut < graceTime+time.Second && out.took < 8*time.Second {
				s.lost.Add(1)
				s.b.log("BROKEN: %s at %s, sent %.3f s after its SIGTERM for %d events, is cut %.3f s after it, after %d events", id, address, after.Seconds(), events, cut.Seconds(), out.events)
			} else {
				s.excused.Add(1)
				s.b.log("client: %s at %s (leaves %t, sent %.3f s after its SIGTERM) is cut after %d of %d events", id, address, leaves, after.Seconds(), out.events, events)
			}
		case out.status != 0:
			s.refused.Add(1)
		}
		if out.err != nil || out.status == 0 || out.closes {
			c.drop()
		}
		if out.status == http.StatusOK {
			return
		}
		if out.status == 0 {
			c.failed[address] = time.Now()
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// runRoll stops and starts two routers in turn, a second apart.
func runRoll(b *bed) error {
	for i := range 3 {
		id := fmt.Sprintf("i-%d", i+1)
		if _, err := b.startReplica(id, "drafts", 24, b.streamOut(id)); err != nil {
			return err
		}
	}
	b.operate(`{"name":"draft","host":"desk.example","pathPrefix":"/draft/","kind":"streaming","timeoutMs":8000,"targetLatencyMs":500,"gap_aim_ms":120,"priority":1,"service":"drafts","maxAttempts":2,"streamResume":true}`,
		`{"name":"drafts"}`, `[{"name":"seiryu","apiKeys":["k-one"]}]`)
	s := &roll{b: b, stopped: map[string]time.Time{}}
	for range rollRouters {
		var seeds []string
		for _, r := range s.all {
			seeds = append(seeds, r.control)
		}
		r, err := b.startRouter(seeds...)
		if err != nil {
			return err
		}
		s.all = append(s.all, r)
	}
	for _, r := range s.all {
		if err := r.awaitReady(); err != nil {
			return err
		}
	}
	began := time.Now()
	first := began.Add(usualCalm)
	last := first.Add((rollRouters - 1) * rollGap)
	end := last.Add(12 * time.Second)
	var clients, stops sync.WaitGroup
	for n := range rollClients {
		clients.Go(func() {
			c := &client{s: s, hold: time.Second, failed: map[string]time.Time{}}
			if n%3 == 0 {
				c.hold *= 3
			}
			defer c.drop()
			long := last.Add(longFrom + time.Duration(rand.Int64N(int64(longUntil-longFrom))))
			for time.Now().Before(end) {
				events := usualEvents
				if !long.IsZero() && time.Now().After(long.Add(-usualEvents*eventPause-100*time.Millisecond)) {
					time.Sleep(time.Until(long))
					events, long = longEvents, time.Time{}
				}
				c.ask(events)
			}
		})
	}
	if b.trouble {
		for i, r := range s.all {
			stops.Go(func() {
				time.Sleep(time.Until(first.Add(time.Duration(i) * rollGap)))
				s.mu.Lock()
				s.stopped[r.front] = time.Now()
				s.mu.Unlock()
				r.signal(syscall.SIGTERM)
				select {
				case <-r.ended:
				case <-time.After(graceTime):
					r.kill()
				}
				time.Sleep(300 * time.Millisecond)
				_ = r.start()
				s.mu.Lock()
				delete(s.stopped, r.front)
				s.mu.Unlock()
			})
		}
	}
	clients.Wait()
	stops.Wait()
	b.log("clients: %d streams complete, %d refusals, %d cut with an excuse", s.served.Load(), s.refused.Load(), s.excused.Load())
	if n := s.lost.Load(); n > 0 {
		return fmt.Errorf("%w: %d streams that were sent more than 3 s after SIGTERM, and passed on, were cut", errBroken, n)
	}
	return nil
}
