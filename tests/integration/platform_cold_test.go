// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package integration

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"
)

const (
	// coldRate is the number of requests per second that a cold replica bears, and coldOverage and
	// coldSlack bound what it gets in any second: the overage times the rate, plus the slack.
	coldRate    = 2
	coldOverage = 1.5
	coldSlack   = 5
	// coldNotice is the time in which routers learn that a replica has turned cold.
	coldNotice = time.Second
	// coldWork is how long a replica works on a request. With some requests at each replica, routers
	// use all of them, whatever their mean answer times.
	coldWork = 50 * time.Millisecond
)

// setCold writes the entry of a replica that is cold for some more time.
func (k *noticeReplica) setCold(s *site, left time.Duration) {
	s.store.Put(replicaStream, k.id, fmt.Sprintf(`{"service":"ledger","address":%q,"zone":"a","slots":6,"state":"ready","coldRemainingMs":%d}`, k.address, left.Milliseconds()))
}

// TestColdReplica lets replicas turn cold under a load that is a multiple of what they bear
// meanwhile, and warm again. The routers together must keep below the bound in any second, also
// when one that does not take part in the traffic is killed.
func TestColdReplica(t *testing.T) {
	const coldFor, total = 5 * time.Second, 8 * time.Second
	cases := map[string]struct {
		cold int
		kill bool
	}{
		"one of three":                     {cold: 1},
		"two of three":                     {cold: 2},
		"one of three, a router is killed": {cold: 1, kill: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newSite(t)
			s.store.Put(operatorStream, "config", strings.Replace(operatorConfig(3, "k"), `{"name":"ledger"}`, fmt.Sprintf(`{"name":"ledger","coldStartS":5,"coldPerS":%d}`, coldRate), 1))
			var replicas []*noticeReplica
			for i := range 3 {
				k := newNoticeReplica(t, s, fmt.Sprint("i-", i))
				k.work = coldWork
				replicas = append(replicas, k)
			}
			routers := s.startThree()
			for _, n := range routers {
				eventually(t, "a served request", func() bool {
					status, _, _ := post(t.Context(), t, n.front, "/view/x", "k")
					return status == http.StatusOK
				})
			}
			for _, k := range replicas[:c.cold] {
				k.setCold(s, coldFor)
				k.respondWith(http.StatusOK, func(http.Header) {})
			}
			if c.kill {
				routers["c"].kill()
				delete(routers, "c")
			}
			outcomes := load(t, routers, 20, total)
			checkOutcomes(t, outcomes, true)
			for _, k := range replicas[:c.cold] {
				var cold, warm []time.Time
				for _, at := range k.arrivalsAfter(coldNotice) {
					if at.Sub(k.since) < coldFor {
						cold = append(cold, at)
					} else if at.Sub(k.since) > coldFor+coldNotice {
						warm = append(warm, at)
					}
				}
				if got, most := maxInWindow(time.Second, cold), coldRate*coldOverage+coldSlack; float64(got) > most {
					t.Errorf("cold replica %s got %d requests in a second, want at most %.0f", k.id, got, most)
				}
				if len(cold) == 0 || len(warm) == 0 {
					t.Errorf("replica %s got %d requests while cold and %d afterwards, want some", k.id, len(cold), len(warm))
				}
			}
		})
	}
}
