// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package entry

import (
	"fmt"
	"testing"
	"time"

	"fawnwinch.org/fawnwinch/models/upstream"
	"fawnwinch.org/fawnwinch/models/vm"
	"fawnwinch.org/fawnwinch/modules/httpx"
	"fawnwinch.org/fawnwinch/modules/rpc"
	"fawnwinch.org/fawnwinch/services/condition"
	"fawnwinch.org/fawnwinch/services/peer"
	"fawnwinch.org/fawnwinch/services/quota"
	"fawnwinch.org/fawnwinch/services/relay"

	"github.com/rs/zerolog"
)

// limitOf returns a recent notice of an upstream's rate limit; a rate of 0 means that the limit has
// ended.
func limitOf(run upstream.Run, rate upstream.Rate) relay.NamedLimit {
	return relay.NamedLimit{Service: "plain", Run: run, Limit: condition.WireLimit{Known: true, Named: rate > 0, Rate: rate}}
}

// knows reports whether a router knows a limit of an upstream.
func knows(rl *relay.Relay, run upstream.Run) bool {
	for _, l := range rl.Limits(time.Now()) {
		if l.Run == run {
			return l.Limit.Named
		}
	}
	return false
}

// TestLimitsSpread checks that rate limits of upstreams, and their end, spread to all routers,
// including one that starts later.
func TestLimitsSpread(t *testing.T) {
	run := upstream.Run{ID: "u", Born: 3}
	a, ra, address := router(t, "a")
	_, rb, _ := router(t, "b", address)
	knowGroups(time.Now(), ra, "g")
	knowGroups(time.Now(), rb, "g")
	a.becomeReady()
	if n := ra.MergeLimits(time.Now(), []relay.NamedLimit{limitOf(run, 2), {Service: "unknown", Run: run, Limit: limitOf(run, 1).Limit}}); n != 1 {
		t.Errorf("%d limits merged, want 1: the other service is unknown", n)
	}
	until(t, "router b told of the limit", func() bool { return knows(rb, run) })
	_, rc, _ := router(t, "c", address)
	until(t, "router c told of the services", func() bool {
		knowGroups(time.Now(), rc, "g")
		return knows(rc, run)
	})
	until(t, "an end that is later than the limit", func() bool {
		rb.MergeLimits(time.Now(), []relay.NamedLimit{limitOf(run, 0)})
		return !knows(rb, run)
	})
	until(t, "router a told of the end", func() bool { return !knows(ra, run) })
	until(t, "router c told of the end", func() bool { return !knows(rc, run) })
}

// known returns the number of routers that one considers as running and not leaving, including
// itself.
func known(r *Router) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.eligibleRouters(time.Now()))
}

// TestOneGrantor checks that routers agree on one permit grantor for an upstream, that together
// they grant what one may, and that another router takes over when the grantor leaves.
func TestOneGrantor(t *testing.T) {
	a, _, address := router(t, "a")
	b, _, _ := router(t, "b", address)
	routers := map[string]*Router{"a": a, "b": b}
	for _, r := range routers {
		r.setState(peer.StateReady)
	}
	run := upstream.Run{ID: "u"}
	grantorOf := func(r *Router) string {
		name, _, _ := r.grantor(time.Now(), run)
		return name
	}
	until(t, "both know each other", func() bool { return known(a) == 2 && known(b) == 2 })
	first := grantorOf(a)
	if grantorOf(b) != first {
		t.Fatalf("routers a and b ask %s and %s for permits", first, grantorOf(b))
	}
	const rate, last = 20, time.Second
	given := 0
	for end := time.Now().Add(last); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		for _, r := range routers {
			reply, err := r.RequestPermits(t.Context(), time.Now(), condition.PermitRequest{Run: run, Limit: limitOf(run, rate).Limit, Wanted: 4})
			if err != nil {
				t.Error(err)
			}
			given += reply.Given
		}
	}
	if most := rate + 8; given > most || given < rate/2 {
		t.Errorf("%d permits in %s, want %d or somewhat less", given, last, rate)
	}
	for name, r := range routers {
		var reply condition.PermitReply
		if err := NewAPI(r).Permit(condition.PermitRequest{Run: run, Limit: limitOf(run, rate).Limit, Wanted: 4}, &reply); err != nil || name != first && reply.Given > 0 {
			t.Errorf("router %s gives %d permits, error %v", name, reply.Given, err)
		}
	}
	routers[first].Leave(t.Context())
	until(t, "another grantor", func() bool { return grantorOf(a) != first && grantorOf(b) == grantorOf(a) })
}

// TestPermitsOfSeparatedRouters counts the permits of all routers while they do not hear of each other.
// It guards against several grantors of one upstream that grant its whole rate each.
func TestPermitsOfSeparatedRouters(t *testing.T) {
	const rate, seconds, step = 40, 5, 20 * time.Millisecond
	run := upstream.Run{ID: "u"}
	ask := condition.PermitRequest{Run: run, Limit: limitOf(run, rate).Limit, Wanted: 8}
	cases := map[string]struct {
		// parts are the numbers of routers that hear of each other. Registered reports whether they
		// have read in the store which routers there are, and met whether they heard of all before.
		parts           []int
		registered, met bool
		atLeast         int
	}{
		"one router":                          {[]int{1}, true, false, rate * seconds * 9 / 10},
		"all hear of each other":              {[]int{12}, false, true, rate * seconds * 9 / 10},
		"all start at once":                   {[]int{1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1}, true, false, rate * seconds / 2},
		"all start while the store is silent": {[]int{1, 1, 1, 1, 1, 1}, false, false, 0},
		"one is cut off":                      {[]int{11, 1}, false, true, rate * seconds / 2},
		"cut in three":                        {[]int{5, 4, 3}, false, true, rate * seconds / 2},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			begun := time.Now()
			var routers []*Router
			addresses := map[string]string{}
			partOf := map[*Router]int{}
			for part, n := range c.parts {
				for range n {
					name := fmt.Sprint("r", len(routers))
					rl := quietRelay()
					t.Cleanup(rl.Close)
					r := New(Options{Self: peer.Info{Name: name, Role: vm.RoleRouter, Address: name}, Store: silentStore{}, Relay: rl, Logger: zerolog.Nop()})
					addresses[name], partOf[r] = name, part
					routers = append(routers, r)
				}
			}
			// hear passes gossip between the routers of each part, or between all of them.
			hear := func(now time.Time, all bool) {
				for _, from := range routers {
					for _, to := range routers {
						if from != to && (all || partOf[from] == partOf[to]) {
							to.table.Receive(now, from.table.GossipFor(to.table.Self().Name))
						}
					}
				}
			}
			if c.met {
				hear(begun.Add(-5*time.Second), true)
			}
			given := 0
			for at := time.Duration(0); at < seconds*time.Second; at += step {
				now := begun.Add(at)
				hear(now, false)
				for _, r := range routers {
					r.table.Sweep(now)
					if c.registered {
						r.queueUncontacted(&registry{addresses: addresses})
					}
					if _, _, self := r.grantor(now, run); self {
						given += r.grant(now, ask).Given
					}
				}
			}
			// Each grantor may save one permit, and those of a quarter of a second at its share.
			if most := rate*seconds + len(c.parts) + rate/4; given > most || given < c.atLeast {
				t.Errorf("%d permits in %d s, want %d to %d", given, seconds, c.atLeast, most)
			}
		})
	}
}

// BenchmarkPermit requests permits from another router over a loopback connection, and measures
// both sides together.
func BenchmarkPermit(b *testing.B) {
	ledger := quota.NewLedger()
	l, err := httpx.Listen("127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	server := rpc.NewServer(l)
	if err := server.Register("Router", &ledgerAPI{ledger}); err != nil {
		b.Fatal(err)
	}
	server.Start()
	pool := rpc.NewPool()
	b.Cleanup(func() { pool.Close(); server.Close() })
	ask := condition.PermitRequest{Run: upstream.Run{ID: "u"}, Limit: limitOf(upstream.Run{}, 1000).Limit, Wanted: 1}
	var reply condition.PermitReply
	for b.Loop() {
		if err := pool.Call(b.Context(), l.Addr().String(), "Router.Permit", ask, &reply); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(pool.Stats.Sent.Load())/float64(b.N), "sent-B/op")
}

// ledgerAPI grants permits from a ledger.
type ledgerAPI struct{ ledger *quota.Ledger }

func (g *ledgerAPI) Permit(ask condition.PermitRequest, reply *condition.PermitReply) error {
	*reply = g.ledger.Grant(time.Now(), ask, 1)
	return nil
}
