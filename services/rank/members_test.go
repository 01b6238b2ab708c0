// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package rank

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"fawnwinch.org/fawnwinch/models/catalog"
	"fawnwinch.org/fawnwinch/models/vm"
	"fawnwinch.org/fawnwinch/services"
	"fawnwinch.org/fawnwinch/services/peer"

	"github.com/rs/zerolog"
)

// outStore answers the first reads with a failure, then once, and is silent after that.
type outStore struct {
	nodes    []peer.Info
	catalog  catalog.Catalog
	failures int

	mu    sync.Mutex
	reads int
	// silent is closed when a read meets silence.
	silent chan struct{}
}

type outFeed[T any] struct {
	s      *outStore
	values []services.Change[T]
	counts bool
}

func (f outFeed[T]) Snapshot(ctx context.Context) ([]services.Change[T], services.Offset, error) {
	f.s.mu.Lock()
	if f.counts {
		f.s.reads++
	}
	reads := f.s.reads
	f.s.mu.Unlock()
	switch {
	case reads <= f.s.failures:
		return nil, 0, errors.New("store is busy")
	case reads > f.s.failures+1:
		close(f.s.silent)
		<-ctx.Done()
		return nil, 0, ctx.Err()
	}
	return f.values, 0, nil
}

func (f outFeed[T]) Changes(context.Context, services.Offset, time.Duration) ([]services.Change[T], services.Offset, error) {
	return nil, 0, errors.New("not read by agents")
}

func (s *outStore) Nodes() services.Feed[peer.Info] {
	f := outFeed[peer.Info]{s: s, counts: true}
	for i := range s.nodes {
		f.values = append(f.values, services.Change[peer.Info]{Key: s.nodes[i].Name, Value: &s.nodes[i]})
	}
	return f
}

func (s *outStore) Catalogs() services.Feed[catalog.Catalog] {
	return outFeed[catalog.Catalog]{s: s, values: []services.Change[catalog.Catalog]{{Value: &s.catalog}}}
}

func (s *outStore) Claim(context.Context, string, string, services.Offset) (services.Offset, bool, error) {
	return 0, false, nil
}

func (s *outStore) Claimer(context.Context, string, services.Offset) (string, error) { return "", nil }

func (s *outStore) PutNodes(context.Context, []peer.Info) error { return nil }

// TestFollowNodes checks that a coordinator finds routers, agents and figures after reads that failed, and that
// a store which falls silent later takes nothing of that away.
func TestFollowNodes(t *testing.T) {
	s := &outStore{
		failures: 1, silent: make(chan struct{}),
		nodes: []peer.Info{
			{Name: "front-1", Role: vm.RoleRouter},
			{Name: "side-1", Role: vm.RoleAgent, Service: "m"},
			{Name: "side-2", Role: vm.RoleAgent, Service: "m"},
			{Name: "side-3", Role: vm.RoleAgent, Service: "other"},
		},
		catalog: catalog.Catalog{
			Services: []catalog.Service{{ID: "m", Engine: figures}, {ID: "other"}},
			Routes: []catalog.Route{
				{PauseGoal: 200 * time.Millisecond, Targets: []catalog.Target{{Service: "m"}}},
				{PauseGoal: goal, Targets: []catalog.Target{{Service: "m"}}},
				{PauseGoal: time.Millisecond, Targets: []catalog.Target{{Service: "other"}}},
				{Targets: []catalog.Target{{Service: "m"}}},
			},
		},
	}
	a := New(begin, Options{Self: peer.Info{Name: "side-1", Service: "m"}, Store: s, Logger: zerolog.Nop()})
	c := newCoordinator(a, lead(1), services.RankStatus{Size: 2})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		c.followNodes(ctx, time.Millisecond, time.Millisecond)
	}()
	<-s.silent
	found := c.found.Load()
	if found == nil {
		t.Fatal("nothing was found")
	}
	if len(found.routers) != 1 || len(found.agents) != 1 || found.agents[0].Name != "side-2" || found.engine != figures || found.goal != goal {
		t.Errorf("found %+v", *found)
	}
	cancel()
	<-done
}
