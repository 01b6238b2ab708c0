// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package rank

import (
	"context"
	"slices"
	"testing"
	"time"

	"fawnwinch.org/fawnwinch/models/catalog"
	"fawnwinch.org/fawnwinch/models/service"
	"fawnwinch.org/fawnwinch/models/vm"
	"fawnwinch.org/fawnwinch/services"
	"fawnwinch.org/fawnwinch/services/peer"
)

// nodeList is a store that lists some processes, in an era.
type nodeList struct {
	claimStore

	era   services.Era
	nodes []peer.Info
}

func (n *nodeList) Nodes() services.Feed[peer.Info] { return n }

func (n *nodeList) Snapshot(context.Context) ([]services.Change[peer.Info], services.Position, error) {
	var out []services.Change[peer.Info]
	for _, p := range n.nodes {
		out = append(out, services.Change[peer.Info]{Key: p.Name, Value: &p})
	}
	return out, services.Position{Era: n.era}.After(len(out)), nil
}

// TestNodesAfterStoreRestore has the store restored without some processes: a coordinator keeps the
// agents until they are listed again, and the routers until its next read.
func TestNodesAfterStoreRestore(t *testing.T) {
	agent := func(name string) peer.Info {
		return peer.Info{Name: name, Role: vm.RoleAgent, Address: "at " + name, Service: "m"}
	}
	router := func(name string) peer.Info {
		return peer.Info{Name: name, Role: vm.RoleRouter, Address: "at " + name}
	}
	moved := agent("b")
	moved.Address = "elsewhere"
	store := &nodeList{era: 1, nodes: []peer.Info{agent("a"), agent("b"), agent("c"), router("r"), router("s")}}
	o := Options{Self: agent("a"), Store: store}
	var s clusterView
	steps := []struct {
		what                  string
		era                   services.Era
		nodes                 []peer.Info
		agents, routers, lost []string
		listed                bool
	}{
		{"the first read", 1, store.nodes, []string{"at b", "at c"}, []string{"at r", "at s"}, nil, true},
		{"an agent has gone", 1, []peer.Info{agent("a"), agent("b"), router("r"), router("s")}, []string{"at b"}, []string{"at r", "at s"}, nil, true},
		{"a return without all but one router", 2, []peer.Info{router("r")}, []string{"at b"}, []string{"at r", "at s"}, []string{"at b"}, false},
		{"the next read", 2, []peer.Info{agent("a"), router("r")}, []string{"at b"}, []string{"at r"}, []string{"at b"}, true},
		{"listed again, elsewhere", 2, []peer.Info{agent("a"), moved, router("r"), router("s")}, []string{"elsewhere"}, []string{"at r", "at s"}, nil, true},
	}
	for _, st := range steps {
		store.era, store.nodes = st.era, st.nodes
		if err := s.readNodes(t.Context(), begin, o); err != nil {
			t.Fatal(err)
		}
		if a, r, l := addresses(s.agents), addresses(s.routers), addresses(s.unlisted); !slices.Equal(a, st.agents) || !slices.Equal(r, st.routers) || !slices.Equal(l, st.lost) || s.listed != st.listed {
			t.Errorf("%s: agents %q, routers %q, lost %q, listed %t; want %q, %q, %q, %t", st.what, a, r, l, s.listed, st.agents, st.routers, st.lost, st.listed)
		}
	}
}

func addresses(list []peer.Info) []string {
	var out []string
	for _, p := range list {
		out = append(out, p.Address)
	}
	return out
}

// TestGoals checks that a coordinator uses the shortest goals of the routes to its service, and that
// routes without a goal or to another service do not count: bounds by a wrong goal make all streams
// late.
func TestGoals(t *testing.T) {
	route := func(to string, goal, pauseGoal time.Duration) catalog.Route {
		return catalog.Route{Goal: goal, PauseGoal: pauseGoal, Targets: []catalog.Target{{Service: service.ID(to)}}}
	}
	k := &catalog.Catalog{Routes: []catalog.Route{
		route("m", time.Second, 0), route("m", 400*time.Millisecond, 150*time.Millisecond), route("m", 0, 120*time.Millisecond), route("other", time.Millisecond, time.Millisecond),
	}}
	var s clusterView
	s.addCatalog(k, "m")
	if s.answerGoal != 400*time.Millisecond || s.goal != 120*time.Millisecond {
		t.Errorf("goals %s and %s, want 400ms and 120ms", s.answerGoal, s.goal)
	}
}
