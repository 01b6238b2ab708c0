// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package integration

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"fawnwinch.org/fawnwinch/standin/metastore"
)

// largeConfig is operatorConfig with so many routes that an answer of the store holds only a few
// configurations.
func largeConfig(version int, keys ...string) string {
	const idleRoutes = 1500
	var routes strings.Builder
	for i := range idleRoutes {
		_, _ = fmt.Fprintf(&routes, `{"name":"idle-%d","host":"h","pathPrefix":"/idle-%d/","kind":"safe","timeoutMs":4000,"targetLatencyMs":300,"service":"ledger","maxAttempts":2},`, i, i)
	}
	return strings.Replace(operatorConfig(version, keys...), `"routes":[`, `"routes":[`+routes.String(), 1)
}

// TestRevokedKeyInBacklog takes a key away with the last of many large configurations, while the store
// turns all routers away. It guards against routers that take the first part of the backlog for all
// of it, and let the key in again until they have read the rest.
func TestRevokedKeyInBacklog(t *testing.T) {
	const (
		revokeTime     = 5 * time.Second
		configurations = 12
		callers        = 6
	)
	s := newSite(t)
	rp := newReplica(t, "i-1", nil)
	s.store.Put(operatorStream, "config", largeConfig(1, "kept", "taken"))
	s.store.Put(replicaStream, "i-1", rp.entry("ready"))
	routers := []*node{s.router("a"), s.router("b")}
	for _, r := range routers {
		eventually(t, "ready", r.isReady)
		eventually(t, "a request with the key", func() bool {
			status, _, _ := post(t.Context(), t, r.front, "/view/x", "taken")
			return status == http.StatusOK
		})
	}
	s.store.SetFault(metastore.FaultBusy)
	for v := range configurations {
		s.store.Put(operatorStream, "config", largeConfig(2+v, "kept", "taken"))
	}
	s.store.Put(operatorStream, "config", largeConfig(2+configurations, "kept"))
	revoked := time.Now()
	time.Sleep(time.Until(revoked.Add(revokeTime + 200*time.Millisecond)))
	stop := make(chan struct{})
	var all sync.WaitGroup
	var mu sync.Mutex
	denied := 0
	for _, r := range routers {
		for range callers {
			all.Go(func() {
				for {
					select {
					case <-stop:
						return
					default:
					}
					sent := time.Now()
					status, _, _ := post(t.Context(), t, r.front, "/view/x", "taken")
					mu.Lock()
					switch status {
					case http.StatusOK:
						t.Errorf("%s lets the key in %s after it was taken away", r.name, sent.Sub(revoked))
					case http.StatusUnauthorized:
						denied++
					}
					mu.Unlock()
				}
			})
		}
	}
	s.store.SetFault(metastore.FaultNone)
	for _, r := range routers {
		eventually(t, "a request with the key that was kept", func() bool {
			status, _, _ := post(t.Context(), t, r.front, "/view/x", "kept")
			return status == http.StatusOK
		})
	}
	eventually(t, "denied requests", func() bool {
		mu.Lock()
		defer mu.Unlock()
		return denied > callers
	})
	close(stop)
	all.Wait()
}
