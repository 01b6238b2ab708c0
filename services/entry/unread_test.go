// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package entry

import (
	"net/http"
	"net/http/httptest"
	"reflect"
	"strings"
	"testing"
	"time"

	"fawnwinch.org/fawnwinch/models/catalog"
	"fawnwinch.org/fawnwinch/models/upstream"
	"fawnwinch.org/fawnwinch/models/vm"
	"fawnwinch.org/fawnwinch/modules/metrics"
	"fawnwinch.org/fawnwinch/modules/rpc"
	"fawnwinch.org/fawnwinch/modules/setting"
	"fawnwinch.org/fawnwinch/platform"
	"fawnwinch.org/fawnwinch/services"
	"fawnwinch.org/fawnwinch/services/balance"
	"fawnwinch.org/fawnwinch/services/knowledge"
	"fawnwinch.org/fawnwinch/services/peer"
	"fawnwinch.org/fawnwinch/services/relay"

	"github.com/rs/zerolog"
)

// TestUnreadReply guards against a prompt that a caller declares in the platform's header and that
// does not reach the coordinator, and against tokens in the replies for a service that is not ranked.
func TestUnreadReply(t *testing.T) {
	cases := map[string]struct {
		// priority is that of a second route; the first one has priority 0.
		priority int
		usage    string
		want     []uint
	}{
		"declared":     {2, "2000,300", []uint{32}},
		"not declared": {2, "", nil},
		"not ranked":   {0, "2000,300", nil},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			arrived, proceed := make(chan struct{}), make(chan struct{})
			engine := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				close(arrived)
				<-proceed
				w.Header().Set("X-Fawnwinch-Request-Id", "r1")
			}))
			defer engine.Close()
			address := engine.Listener.Addr().String()
			rl := relay.New(relay.Options{Bounds: setting.Bounds{ApplyTime: time.Second, KeyFreshness: time.Hour, RetryWindow: time.Second}, Protocol: platform.Headers{}, Metrics: metrics.New("router"), Logger: zerolog.Nop()})
			defer rl.Close()
			knowRank(rl, address, c.priority)
			pool := rpc.NewPool()
			defer pool.Close()
			r := New(Options{Self: peer.Info{Name: "a", Role: vm.RoleRouter}, Store: silentStore{}, Pool: pool, Relay: rl, Logger: zerolog.Nop()})
			done := make(chan struct{})
			go func() {
				defer close(done)
				req := httptest.NewRequestWithContext(t.Context(), http.MethodPost, "http://h/a/x", strings.NewReader("prompt"))
				req.Header.Set("X-Fawnwinch-Request-Id", "r1")
				req.Header.Set("X-Fawnwinch-Token-Usage", c.usage)
				rl.ServeHTTP(httptest.NewRecorder(), req)
			}()
			<-arrived
			list := balance.RankList{Number: 1, Addresses: []string{address}}
			load := balance.Group{Service: "m", ID: "g", Open: true, Whole: true, Ranks: []balance.RankLoad{{Address: address}}}
			reply := r.takeReport(time.Now(), list.Pack(load, 0))
			if !reflect.DeepEqual(reply.Unread, c.want) || !reflect.DeepEqual(reply.Unstarted, []uint{1}) {
				t.Errorf("unread %v, unstarted %v; want %v and one request", reply.Unread, reply.Unstarted, c.want)
			}
			close(proceed)
			<-done
		})
	}
}

// knowRank gives a relay the catalog of a service with two streaming routes, and its only rank.
func knowRank(rl *relay.Relay, address string, priority int) {
	c := catalog.Catalog{Version: 1, Services: []catalog.Service{{ID: "m", Engine: &catalog.Engine{Slots: 4, UsualPrompt: 868, UsualAnswer: 139}}}}
	for prefix, p := range map[string]int{"/a/": 0, "/b/": priority} {
		c.Routes = append(c.Routes, catalog.Route{
			Name: prefix, Host: "h", Prefix: prefix, Kind: catalog.KindStream, Goal: time.Second, Timeout: 2 * time.Second, MaxAttempts: 1, Priority: p,
			Targets: []catalog.Target{{Service: "m", Weight: 1}},
		})
	}
	u := upstream.Instance{ID: "u", Service: "m", Address: address, State: upstream.StateReady, Slots: 4}
	rl.WithState(func(s *knowledge.State) {
		now := time.Now()
		s.ApplyCatalogs(now, knowledge.Segment[catalog.Update]{Whole: true, Next: position(1), AsOf: now, Changes: []services.Change[catalog.Update]{{Value: &catalog.Update{Catalog: &c}}}})
		s.ApplyUpstreams(now, knowledge.Segment[upstream.Instance]{Whole: true, Next: position(1), AsOf: now, Changes: []services.Change[upstream.Instance]{{Key: "u", Value: &u}}})
	})
}
