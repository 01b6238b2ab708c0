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

// runTenant takes the key of the only tenant away from a connected client.
func runTenant(b *bed) error {
	var mu sync.Mutex
	ran := map[string]string{}
	if _, err := b.startReplica("i-1", "ledger", 6, func(w http.ResponseWriter, q *http.Request) {
		id, tenant := q.Header.Get("X-Fawnwinch-Request-Id"), q.Header.Get("X-Fawnwinch-Tenant-Id")
		mu.Lock()
		ran[id] = tenant
		mu.Unlock()
		b.log("replica i-1: runs %s for tenant %q", id, tenant)
		_, _ = io.WriteString(w, "balance")
	}); err != nil {
		return err
	}
	const routes = `{"name":"peek","host":"desk.example","pathPrefix":"/peek/","kind":"unsafe","timeoutMs":1500,"targetLatencyMs":300,"priority":2,"service":"ledger","maxAttempts":1}`
	const services = `{"name":"ledger"}`
	b.operate(routes, services, `[{"name":"seiryu","apiKeys":["k-one","k-two"]}]`)
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
	ask := func(r *router, w *wire, key string) (string, int) {
		serial++
		id := fmt.Sprintf("q%04d", serial)
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		defer cancel()
		_ = w.conn.SetDeadline(time.Now().Add(3 * time.Second))
		resp, err := w.send(ctx, http.MethodPost, "/peek/x", b.host, map[string]string{"X-Fawnwinch-Request-Id": id, "X-Fawnwinch-Deadline-Ms": "1500", "Api-Key": key}, []byte("x"))
		if err != nil {
			b.log("client: %s with key %s at %s: %v", id, key, r.name, err)
			return id, 0
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		b.log("client: %s with key %s at %s: status %d", id, key, r.name, resp.StatusCode)
		return id, resp.StatusCode
	}
	wires := map[*router]*wire{}
	for _, r := range all {
		w, err := dial(r.front)
		if err != nil {
			return err
		}
		defer w.close()
		wires[r] = w
		if _, status := ask(r, w, "k-one"); status != http.StatusOK {
			return fmt.Errorf("status %d before the change", status)
		}
		if _, status := ask(r, w, "k-never"); status != http.StatusUnauthorized {
			return fmt.Errorf("status %d for an unknown key before the change", status)
		}
	}
	// One key is taken away first; it is refused as it should be.
	first := b.operate(routes, services, `[{"name":"seiryu","apiKeys":["k-one"]}]`)
	time.Sleep(time.Until(first.Add(revokeTime + 500*time.Millisecond)))
	for _, r := range all {
		if _, status := ask(r, wires[r], "k-two"); status != http.StatusUnauthorized {
			return fmt.Errorf("status %d for the key that was taken away first", status)
		}
	}
	if !b.trouble {
		return nil
	}
	acked := b.operate(routes, services, `[]`)
	time.Sleep(time.Until(acked.Add(revokeTime + 500*time.Millisecond)))
	broken := 0
	for _, r := range all {
		for _, key := range []string{"k-one", "k-two", "k-never"} {
			sent := time.Since(acked)
			id, _ := ask(r, wires[r], key)
			mu.Lock()
			tenant, ok := ran[id]
			mu.Unlock()
			if ok {
				broken++
				b.log("BROKEN: %s was sent with key %s %.1f s after the acknowledgement of the configuration without it, and ran (tenant %q)", id, key, sent.Seconds(), tenant)
			}
		}
	}
	if broken > 0 {
		return fmt.Errorf("%w: %d requests ran with keys that were taken away more than %s before, or that never were", errBroken, broken, revokeTime)
	}
	return nil
}
