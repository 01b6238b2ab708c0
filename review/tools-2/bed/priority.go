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
	"time"
)

// runPriority adds a route whose rank is 10, and then takes a key away.
func runPriority(b *bed) error {
	var mu sync.Mutex
	ran := map[string]bool{}
	if _, err := b.startReplica("i-1", "ledger", 6, func(w http.ResponseWriter, q *http.Request) {
		mu.Lock()
		ran[q.Header.Get("X-Fawnwinch-Request-Id")] = true
		mu.Unlock()
		b.log("replica i-1: runs %s (%s) for tenant %q", q.Header.Get("X-Fawnwinch-Request-Id"), q.URL.Path, q.Header.Get("X-Fawnwinch-Tenant-Id"))
		_, _ = io.WriteString(w, "balance")
	}); err != nil {
		return err
	}
	route := func(name string, priority int) string {
		return fmt.Sprintf(`{"name":%q,"host":"desk.example","pathPrefix":"/%s/","kind":"unsafe","timeoutMs":1500,"targetLatencyMs":300,"priority":%d,"service":"ledger","maxAttempts":1}`, name, name, priority)
	}
	const services = `{"name":"ledger"}`
	const both, one = `[{"name":"seiryu","apiKeys":["k-one","k-two"]}]`, `[{"name":"seiryu","apiKeys":["k-one"]}]`
	b.operate(route("peek", 1), services, both)
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
	serial := 0
	ask := func(r *router, path, key string) (bool, int) {
		serial++
		id := fmt.Sprintf("q%04d", serial)
		w, err := dial(r.front)
		if err != nil {
			return false, 0
		}
		defer w.close()
		_ = w.conn.SetDeadline(time.Now().Add(3 * time.Second))
		resp, err := w.send(context.Background(), http.MethodPost, path, b.host, map[string]string{"X-Fawnwinch-Request-Id": id, "X-Fawnwinch-Deadline-Ms": "1500", "Api-Key": key}, []byte("x"))
		if err != nil {
			b.log("client: %s: %v", id, err)
			return false, 0
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		b.log("client: %s %s with key %s at %s: status %d", id, path, key, r.name, resp.StatusCode)
		mu.Lock()
		defer mu.Unlock()
		return ran[id], resp.StatusCode
	}
	for _, r := range all {
		for _, key := range []string{"k-one", "k-two"} {
			if ok, status := ask(r, "/peek/x", key); !ok || status != http.StatusOK {
				return fmt.Errorf("status %d before the changes", status)
			}
		}
	}
	// The new route is less urgent than the others. Without the trouble its rank is 9.
	rank := 9
	if b.trouble {
		rank = 10
	}
	added := b.operate(route("peek", 1)+","+route("batch", rank), services, both)
	time.Sleep(time.Until(added.Add(3 * time.Second)))
	broken := 0
	for _, r := range all {
		if ok, status := ask(r, "/batch/x", "k-one"); !ok {
			b.log("BROKEN: 3 s after the acknowledgement, %s answers %d on the route that was added", r.name, status)
			broken++
		}
	}
	taken := b.operate(route("peek", 1)+","+route("batch", rank), services, one)
	time.Sleep(time.Until(taken.Add(revokeTime + 2*time.Second)))
	for _, r := range all {
		if ok, _ := ask(r, "/peek/x", "k-two"); ok {
			b.log("BROKEN: a request ran that was sent %.1f s after the acknowledgement of the configuration that took its key away", time.Since(taken).Seconds())
			broken++
		}
	}
	if broken > 0 {
		return fmt.Errorf("%w: %d requests", errBroken, broken)
	}
	return nil
}
