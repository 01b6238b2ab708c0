// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package rank

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"

	"fawnwinch.org/fawnwinch/models/catalog"
	"fawnwinch.org/fawnwinch/models/group"
	"fawnwinch.org/fawnwinch/models/vm"
	"fawnwinch.org/fawnwinch/modules/clock"
	"fawnwinch.org/fawnwinch/services"
	"fawnwinch.org/fawnwinch/services/peer"

	"github.com/rs/zerolog"
)

// outStore fails the first reads, answers the next one, and does not answer afterwards.
type outStore struct {
	nodes    []peer.Info
	catalog  catalog.Catalog
	failures int

	mu    sync.Mutex
	reads int
	// silent is closed when a read gets no answer.
	silent chan struct{}
}

type outFeed[T any] struct {
	s      *outStore
	values []services.Change[T]
	counts bool
}

func (f outFeed[T]) Snapshot(ctx context.Context) ([]services.Change[T], services.Position, error) {
	f.s.mu.Lock()
	if f.counts {
		f.s.reads++
	}
	reads := f.s.reads
	f.s.mu.Unlock()
	switch {
	case reads <= f.s.failures:
		return nil, services.Position{}, errors.New("store is busy")
	case reads > f.s.failures+1:
		close(f.s.silent)
		<-ctx.Done()
		return nil, services.Position{}, ctx.Err()
	}
	return f.values, services.Position{}, nil
}

func (f outFeed[T]) Changes(context.Context, services.Position, time.Duration) (services.FeedPage[T], error) {
	return services.FeedPage[T]{}, errors.New("not read by agents")
}

func (s *outStore) Nodes() services.Feed[peer.Info] {
	f := outFeed[peer.Info]{s: s, counts: true}
	for i := range s.nodes {
		f.values = append(f.values, services.Change[peer.Info]{Key: s.nodes[i].Name, Value: &s.nodes[i]})
	}
	return f
}

func (s *outStore) Catalogs() services.Feed[catalog.Update] {
	return outFeed[catalog.Update]{s: s, values: []services.Change[catalog.Update]{{Value: &catalog.Update{Catalog: &s.catalog}}}}
}

func (s *outStore) Claim(context.Context, string, string, services.Position) (services.Position, bool, error) {
	return services.Position{}, false, nil
}

func (s *outStore) LastClaimant(context.Context, string, services.Position) (string, error) {
	return "", nil
}

func (s *outStore) PutNodes(context.Context, []peer.Info) error { return nil }

// TestFollowNodes checks that a coordinator finds routers, agents and engine parameters after
// failed reads, and that it keeps them when the store stops answering.
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

// endedEngine is an engine at whose address nothing listens any more.
type endedEngine struct{ services.RankEngine }

func (endedEngine) Status(context.Context) (services.RankStatus, error) {
	return services.RankStatus{}, fmt.Errorf("engine e: %w", &net.OpError{Op: "dial", Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)})
}

// TestSilentRanks checks which ranks are reported as silent.
func TestSilentRanks(t *testing.T) {
	heard := member{known: true, lastContact: begin}
	direct := heard
	direct.direct = true
	silentFor := func(m member, d time.Duration) *member {
		m.lastContact = begin.Add(-d)
		return &m
	}
	cases := map[string]struct {
		members []*member
		silent  int
	}{
		"all are heard":              {[]*member{&heard, &heard, silentFor(heard, missingAfter)}, 0},
		"one is not":                 {[]*member{&heard, &heard, silentFor(heard, missingAfter+1)}, 1},
		"its engine has answered":    {[]*member{&heard, &heard, silentFor(direct, directInterval+missingAfter)}, 0},
		"its engine is silent too":   {[]*member{&heard, &heard, silentFor(direct, directInterval+missingAfter+1)}, 1},
		"the coordinator is cut off": {[]*member{&heard, silentFor(heard, missingAfter+1), silentFor(heard, missingAfter+1)}, 0},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			c := newCoordinator(New(begin, Options{Logger: zerolog.Nop()}), lead(1), services.RankStatus{Group: "g"})
			c.members = tc.members
			c.markSilent(begin)
			silent := 0
			for _, r := range c.load(begin).Ranks {
				if r.Silent {
					silent++
				}
			}
			if silent != tc.silent {
				t.Errorf("%d silent ranks, want %d", silent, tc.silent)
			}
		})
	}
}

// TestStalledGroup checks when a group is reported as stalled: requests that are sent to it meanwhile
// would be answered only when the VM of its silent rank resumes.
func TestStalledGroup(t *testing.T) {
	cases := map[string]struct {
		// silent is how long the first rank has been silent, and passAge how long ago the latest
		// pass began at the others.
		silent, passAge time.Duration
		stalled         bool
	}{
		"all are heard":                      {0, 0, false},
		"idle":                               {0, time.Minute, false},
		"a silent rank that the passes need": {missingAfter + 1, missingAfter + 1, true},
		"a silent rank, passes go on":        {2 * time.Second, missingAfter, false},
		"a rank that is cut off":             {silentTimeout, time.Minute, false},
		"a rank that is almost cut off":      {silentTimeout - 1, time.Minute, true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			c := newCoordinator(New(begin, Options{Logger: zerolog.Nop()}), lead(1), services.RankStatus{Group: "g"})
			silent, others := &member{known: true}, &member{known: true}
			silent.status.Step = 500 // of a time before the group has formed again
			c.members = []*member{silent, others, others}
			at := func(now time.Time, lastContact time.Time, step group.Step) {
				silent.lastContact, others.lastContact, others.status.Step = lastContact, now, step
				c.markSilent(now)
				c.markStalled(now)
			}
			passAt := begin.Add(-tc.passAge)
			at(passAt.Add(-time.Second), passAt.Add(-time.Second), 8)
			at(passAt, passAt, 7)
			at(begin, begin.Add(-tc.silent), 7)
			if got := c.load(begin).Stalled; got != tc.stalled {
				t.Errorf("stalled: %t, want %t", got, tc.stalled)
			}
		})
	}
}

// TestEngineEnded checks that a group is reported as broken as soon as one of its engines has
// ended: the other ranks report it only after they have waited for it, and requests that routers
// send meanwhile are delayed. The group is open again once the rank answers.
func TestEngineEnded(t *testing.T) {
	a := New(begin, Options{Logger: zerolog.Nop(), Engine: endedEngine{}})
	var r Reply
	if err := a.status(Ask{}, &r); err != nil || !r.Ended {
		t.Errorf("an agent whose engine refuses connections says %+v, %v", r, err)
	}
	c := newCoordinator(a, lead(1), services.RankStatus{Group: "g", Size: 1})
	n := peer.Info{Name: "side-1", Engine: "e"}
	answer := Reply{Status: services.RankStatus{Group: "g", Size: 1, Open: true}}
	steps := []struct {
		what  string
		after time.Duration
		reply *Reply
		open  bool
	}{
		{"it answers", 0, &answer, true},
		{"it has ended", time.Second, nil, false},
		{"an answer from before comes late", time.Second / 2, &answer, false},
		{"it answers again", 2 * time.Second, &answer, true},
		{"word of its end comes late", time.Second, nil, true},
	}
	for _, s := range steps {
		sent := begin.Add(s.after)
		if s.reply != nil {
			c.record(sent, n, *s.reply, false)
		} else {
			c.noteEnded(sent, n)
		}
		if g := c.load(clock.Now()); g.Open != s.open || g.Whole != s.open {
			t.Errorf("%s: open: %t, complete: %t, want %t", s.what, g.Open, g.Whole, s.open)
		}
	}
}
