// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package rank

import (
	"context"
	"testing"
	"time"

	"fawnwinch.org/fawnwinch/models/catalog"
	"fawnwinch.org/fawnwinch/models/vm"
	"fawnwinch.org/fawnwinch/services"
	"fawnwinch.org/fawnwinch/services/election"
	"fawnwinch.org/fawnwinch/services/peer"

	"github.com/rs/zerolog"
)

// claimStore lists two agents and answers successive claims: each ends the log at one of ends, and
// succeeds if won is set.
type claimStore struct {
	ends   []services.Offset
	won    bool
	claims []services.Offset
	era    services.Era
}

func (s *claimStore) Claim(_ context.Context, _, _ string, end services.Position) (services.Position, bool, error) {
	s.claims = append(s.claims, end.Offset)
	return services.Position{Era: s.era, Offset: s.ends[min(len(s.claims), len(s.ends))-1]}, s.won, nil
}

func (s *claimStore) LastClaimant(context.Context, string, services.Position) (string, error) {
	return "nobody", nil
}
func (s *claimStore) PutNodes(context.Context, []peer.Info) error { return nil }
func (s *claimStore) Catalogs() services.Feed[catalog.Update]     { return noCatalogs{} }
func (s *claimStore) Nodes() services.Feed[peer.Info]             { return s }
func (s *claimStore) Snapshot(context.Context) ([]services.Change[peer.Info], services.Position, error) {
	a := peer.Info{Name: "side-1", Role: vm.RoleAgent, Address: "1", Service: "m"}
	b := peer.Info{Name: "side-2", Role: vm.RoleAgent, Address: "2", Service: "m"}
	return []services.Change[peer.Info]{{Key: a.Name, Value: &a}, {Key: b.Name, Value: &b}}, services.Position{}, nil
}

func (s *claimStore) Changes(context.Context, services.Position, time.Duration) (services.FeedPage[peer.Info], error) {
	return services.FeedPage[peer.Info]{}, errNoAnswer
}

// callFunc is a pool whose calls run a function.
type callFunc func(method string) error

func (f callFunc) Call(_ context.Context, _, method string, _, _ any) error { return f(method) }

// claimAgent returns an agent of a group of two that is due to start a candidacy.
func claimAgent(s Store) *Agent {
	e := &engine{status: services.RankStatus{Group: "g", Size: 2}}
	a := New(begin, Options{Self: peer.Info{Name: "side-1", Address: "1", Service: "m"}, Engine: e, Store: s, Logger: zerolog.Nop()})
	a.opts.Pool = callFunc(func(string) error { return nil })
	a.readGroup()
	return a
}

// TestNoClaimWhenLed checks that an agent does not claim when a coordinator has taken over while it
// asked others: its claim would depose that coordinator.
func TestNoClaimWhenLed(t *testing.T) {
	s := &claimStore{ends: []services.Offset{5}, won: true}
	a := claimAgent(s)
	a.opts.Pool = callFunc(func(string) error {
		var r Reply
		return NewAPI(a).Status(Ask{Lead: lead(4)}, &r)
	})
	a.campaign(t.Context())
	if len(s.claims) != 0 {
		t.Errorf("claims on %v although authority 4 leads", s.claims)
	}
}

// TestClaimsBackOff checks that an agent takes the end of the log from the store, also a lower one,
// and that consecutive lost claims make it back off for longer and longer.
func TestClaimsBackOff(t *testing.T) {
	s := &claimStore{ends: []services.Offset{9, 3, 4}}
	a := claimAgent(s)
	a.campaign(t.Context())
	want := []services.Offset{0, 9, 3}
	if len(s.claims) != len(want) || s.claims[1] != want[1] || s.claims[2] != want[2] {
		t.Errorf("claims on %v, want %v", s.claims, want)
	}
	now := time.Now()
	if a.due(now.Add(200 * time.Millisecond)) {
		t.Error("the agent starts another candidacy at once")
	}
	a.campaign(t.Context())
	if a.due(time.Now().Add(400 * time.Millisecond)) {
		t.Error("the second pause is no longer than the first")
	}
}

// TestSameOffsetClaimedTwice has two agents claim the same offset before and after the store was
// restored from a copy: they must not get the same authority, and the later one must lead.
func TestSameOffsetClaimedTwice(t *testing.T) {
	s := &claimStore{ends: []services.Offset{7}, won: true, era: 1}
	first, second := claimAgent(s), claimAgent(s)
	before, _ := first.claim(t.Context(), nil, "g")
	s.era = 2
	after, _ := second.claim(t.Context(), nil, "g")
	if before == 0 || after <= before || fenceOf(after) <= fenceOf(before) {
		t.Fatalf("authority %d before the restore, %d after it", before, after)
	}
	for _, a := range []*Agent{first, second} {
		a.receive(begin, election.Lead{Group: "g", Authority: before, Lease: time.Second})
		if !a.receive(begin, election.Lead{Group: "g", Authority: after, Lease: time.Second}) || a.receive(begin, election.Lead{Group: "g", Authority: before, Lease: time.Second}) {
			t.Errorf("authority %d is followed although %d was received", before, after)
		}
	}
}
