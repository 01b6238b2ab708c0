// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package entry

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"

	"fawnwinch.org/fawnwinch/models/vm"
	"fawnwinch.org/fawnwinch/modules/clock/clocktest"
	"fawnwinch.org/fawnwinch/services/peer"

	"github.com/rs/zerolog"
)

// countingStore counts the calls that register processes, and the processes.
type countingStore struct {
	silentStore
	err error

	mu    sync.Mutex
	calls int
	nodes map[string]peer.Info
}

func (s *countingStore) PutNodes(_ context.Context, nodes []peer.Info) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.err != nil {
		return s.err
	}
	for _, n := range nodes {
		s.nodes[n.Name] = n
	}
	return nil
}

func agentInfo(i int) peer.Info {
	return peer.Info{Name: fmt.Sprint("agent-", i), Role: vm.RoleAgent, Address: fmt.Sprintf("10.0.0.1:%d", 1000+i)}
}

// TestRegisterAgents has all agents of a deployment start at the same time: a router registers them
// with a number of calls of the store that does not grow with the number of agents.
func TestRegisterAgents(t *testing.T) {
	away := errors.New("away")
	cases := map[string]struct {
		agents int
		err    error
		calls  int
	}{
		"one":                         {1, nil, 1},
		"12":                          {12, nil, 2},
		"516":                         {516, nil, 2},
		"1,032":                       {1032, nil, 2},
		"516 while the store is away": {516, away, 2},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			clocktest.Bubble(t, func(t *testing.T) {
				store := &countingStore{err: c.err, nodes: map[string]peer.Info{}}
				r := New(Options{Self: peer.Info{Name: "a"}, Store: store, Relay: quietRelay(), Logger: zerolog.Nop()})
				ctx, cancel := context.WithCancel(t.Context())
				go r.registerAgents(ctx)
				var w sync.WaitGroup
				for i := range c.agents {
					w.Go(func() {
						if err := NewAPI(r).RegisterAgent(agentInfo(i), nil); !errors.Is(err, c.err) {
							t.Errorf("agent %d: %v, want %v", i, err, c.err)
						}
					})
				}
				w.Wait()
				cancel()
				synctest.Wait()
				if store.calls > c.calls {
					t.Errorf("%d calls of the store, want %d at most", store.calls, c.calls)
				}
				if c.err == nil && len(store.nodes) != c.agents {
					t.Errorf("%d agents are registered, want %d", len(store.nodes), c.agents)
				}
			})
		})
	}
}

// TestRegisterAgentRefuses checks that only agents that can be called are registered.
func TestRegisterAgentRefuses(t *testing.T) {
	r := New(Options{Self: peer.Info{Name: "a"}, Store: &countingStore{}, Relay: quietRelay(), Logger: zerolog.Nop()})
	noName, router, noPort := agentInfo(1), agentInfo(1), agentInfo(1)
	noName.Name, router.Role, noPort.Address = "", vm.RoleRouter, "10.0.0.1"
	for name, info := range map[string]peer.Info{"no name": noName, "a router": router, "no port": noPort} {
		if err := NewAPI(r).RegisterAgent(info, nil); err == nil {
			t.Errorf("%s was registered", name)
		}
	}
}
