//go:build review

// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	// drainTime is drainMs. A replica serves on for that long after its entry has gone, and longer.
	drainTime = 2 * time.Second
	// servesOn is how long a replica of the script serves after its entry has gone.
	servesOn = 5 * time.Second
	// freezeTime is how long a router stands still.
	freezeTime = 4 * time.Second
	// goneAfter is the time from the freeze to the end of the replica's entry.
	goneAfter = 10 * time.Millisecond
	// rounds is the number of replicas that leave.
	rounds = 10
	// connections is the number of kept connections of the client, and pause the time between two
	// requests on each.
	connections = 3
	pause       = 15 * time.Millisecond
)

// runDrain freezes one router after the other. Each time, the only replica of a service leaves
// without a word; a client asks the router that runs.
func runDrain(b *bed) error {
	var mu sync.Mutex
	gone := map[string]time.Time{}
	late := 0
	routes, services := "", ""
	var replicas []*replica
	for i := range rounds {
		id, service := fmt.Sprintf("i-%d", i+1), fmt.Sprintf("ledger-%d", i+1)
		rp, err := b.startReplica(id, service, 6, func(w http.ResponseWriter, q *http.Request) {
			mu.Lock()
			at := gone[id]
			mu.Unlock()
			switch since := time.Since(at); {
			case at.IsZero():
			case since > servesOn:
				panic(http.ErrAbortHandler) // it has ended
			case since > drainTime:
				mu.Lock()
				late++
				mu.Unlock()
				b.log("BROKEN: replica %s: %s arrives %.3f s after the store has taken that it is gone", id, q.Header.Get("X-Fawnwinch-Request-Id"), since.Seconds())
			}
			_, _ = io.WriteString(w, "balance")
		})
		if err != nil {
			return err
		}
		replicas = append(replicas, rp)
		if i > 0 {
			routes, services = routes+",", services+","
		}
		routes += fmt.Sprintf(`{"name":"peek-%d","host":"desk.example","pathPrefix":"/peek-%d/","kind":"unsafe","timeoutMs":1500,"targetLatencyMs":300,"priority":2,"service":%q,"maxAttempts":1}`, i+1, i+1, service)
		services += fmt.Sprintf(`{"name":%q}`, service)
	}
	b.operate(routes, services, `[{"name":"seiryu","apiKeys":["k-one"]}]`)
	var all []*router
	for range 2 {
		var seeds []string
		if len(all) > 0 {
			seeds = []string{all[0].control}
		}
		r, err := b.startRouter(seeds...)
		if err != nil {
			return err
		}
		all = append(all, r)
	}
	for _, r := range all {
		if err := r.awaitReady(); err != nil {
			return err
		}
	}
	time.Sleep(4 * time.Second)
	for i, rp := range replicas {
		frozen, asked := all[i%2], all[1-i%2]
		b.log("round %d: %s stands still, the client asks %s, replica %s leaves", i+1, frozen.name, asked.name, rp.id)
		ctx, cancel := context.WithCancel(context.Background())
		var w sync.WaitGroup
		for c := range connections {
			w.Go(func() { b.askSteadily(ctx, asked, i+1, c) })
		}
		time.Sleep(500*time.Millisecond + time.Duration(i)*130*time.Millisecond)
		if b.trouble {
			frozen.signal(syscall.SIGSTOP)
		}
		time.Sleep(goneAfter)
		mu.Lock()
		b.store.Put("keyed.servers", rp.id, "")
		gone[rp.id] = time.Now()
		mu.Unlock()
		b.log("store: the entry of %s is gone", rp.id)
		time.Sleep(freezeTime - goneAfter)
		if b.trouble {
			frozen.signal(syscall.SIGCONT)
		}
		cancel()
		w.Wait()
		time.Sleep(4 * time.Second)
	}
	if late > 0 {
		return fmt.Errorf("%w: %d requests reached a replica more than %s after the store had taken that it was gone", errBroken, late, drainTime)
	}
	return nil
}

// askSteadily sends requests on a kept connection, one after the other.
func (b *bed) askSteadily(ctx context.Context, r *router, n, c int) {
	var w *wire
	last := 0
	for i := 1; ctx.Err() == nil; i++ {
		if w == nil {
			var err error
			if w, err = dial(r.front); err != nil {
				b.log("client: %v", err)
				return
			}
		}
		id := fmt.Sprintf("q%d-%d-%04d", n, c, i)
		_ = w.conn.SetDeadline(time.Now().Add(2 * time.Second))
		resp, err := w.send(context.Background(), http.MethodPost, fmt.Sprintf("/peek-%d/x", n), b.host, map[string]string{"X-Fawnwinch-Request-Id": id, "X-Fawnwinch-Deadline-Ms": "1500", "Api-Key": "k-one"}, []byte("x"))
		if err != nil {
			b.log("client: %s: %v", id, err)
			w.close()
			w = nil
			continue
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		if resp.StatusCode != last {
			b.log("client: %s at %s: status %d", id, r.name, resp.StatusCode)
			last = resp.StatusCode
		}
		time.Sleep(pause)
	}
	if w != nil {
		w.close()
	}
}
