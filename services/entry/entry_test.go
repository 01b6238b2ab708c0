// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package entry

import (
	"context"
	"errors"
	"slices"
	"sync"
	"testing"
	"time"

	"fawnwinch.org/fawnwinch/models/catalog"
	"fawnwinch.org/fawnwinch/models/upstream"
	"fawnwinch.org/fawnwinch/models/vm"
	"fawnwinch.org/fawnwinch/modules/httpx"
	"fawnwinch.org/fawnwinch/modules/metrics"
	"fawnwinch.org/fawnwinch/modules/rpc"
	"fawnwinch.org/fawnwinch/services"
	"fawnwinch.org/fawnwinch/services/knowledge"
	"fawnwinch.org/fawnwinch/services/peer"
	"fawnwinch.org/fawnwinch/services/relay"

	"github.com/rs/zerolog"
	"go.uber.org/goleak"
)

// script is a feed that answers one read after the other with what the test says.
type script[T any] struct {
	reads chan read[T]
}

type read[T any] struct {
	changes []services.Change[T]
	next    services.Offset
	err     error
	// whole says that the test expects a snapshot; from is where it expects changes to begin.
	whole bool
	from  services.Offset
}

var errWrongRead = errors.New("wrong read")

func (s *script[T]) take(ctx context.Context, whole bool, from services.Offset) ([]services.Change[T], services.Offset, error) {
	select {
	case r := <-s.reads:
		if r.whole != whole || r.from != from {
			return nil, 0, errWrongRead
		}
		return r.changes, r.next, r.err
	case <-ctx.Done():
		return nil, 0, ctx.Err()
	}
}

func (s *script[T]) Snapshot(ctx context.Context) ([]services.Change[T], services.Offset, error) {
	return s.take(ctx, true, 0)
}

func (s *script[T]) Changes(ctx context.Context, from services.Offset, _ time.Duration) ([]services.Change[T], services.Offset, error) {
	return s.take(ctx, false, from)
}

// TestFollow checks that a feed is read on after a failure, and as a whole after its records were trimmed.
func TestFollow(t *testing.T) {
	one := 1
	change := func(k string) []services.Change[int] { return []services.Change[int]{{Key: k, Value: &one}} }
	reads := []read[int]{
		{whole: true, err: errors.New("store is out")},
		{whole: true, changes: change("a"), next: 4},
		{from: 4, changes: change("b"), next: 5},
		{from: 5, err: errors.New("store is out")},
		{from: 5, next: 5},
		{from: 5, err: services.ErrTrimmed{From: 5}},
		{whole: true, changes: change("c"), next: 9},
		{from: 9, next: 9},
	}
	s := &script[int]{reads: make(chan read[int], len(reads))}
	for _, r := range reads {
		s.reads <- r
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var got []string
	var failures []error
	follow(ctx, s, time.Second, func(_ time.Time, changes []services.Change[int], whole bool) {
		name := ""
		for _, c := range changes {
			name += c.Key
		}
		if whole {
			name += "*"
		}
		if got = append(got, name); len(got) == 5 {
			cancel()
		}
	}, func(err error) {
		if err != nil && !errors.Is(err, context.Canceled) {
			failures = append(failures, err)
		}
	})
	if want := []string{"a*", "b", "", "c*", ""}; !slices.Equal(got, want) || len(failures) != 2 || errors.Is(failures[1], errWrongRead) {
		t.Errorf("took %q, want %q; failures %v", got, want, failures)
	}
}

// silent is a store that never answers.
type silent struct{}

type silentFeed[T any] struct{}

func (silentFeed[T]) Snapshot(ctx context.Context) ([]services.Change[T], services.Offset, error) {
	<-ctx.Done()
	return nil, 0, ctx.Err()
}

func (silentFeed[T]) Changes(ctx context.Context, _ services.Offset, _ time.Duration) ([]services.Change[T], services.Offset, error) {
	<-ctx.Done()
	return nil, 0, ctx.Err()
}

func (silent) Catalogs() services.Feed[catalog.Catalog]    { return silentFeed[catalog.Catalog]{} }
func (silent) Upstreams() services.Feed[upstream.Instance] { return silentFeed[upstream.Instance]{} }
func (silent) Nodes() services.Feed[peer.Info]             { return silentFeed[peer.Info]{} }
func (silent) PutNode(ctx context.Context, _ peer.Info) error {
	<-ctx.Done()
	return ctx.Err()
}

// router starts a router whose store never answers, with some seeds.
func router(t *testing.T, name string, seeds ...string) (*Router, *relay.Relay, string) {
	t.Helper()
	l, err := httpx.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	rl := relay.New(relay.Options{KeyFreshness: time.Second, RetryWindow: time.Second, Metrics: metrics.New(name), Logger: zerolog.Nop()})
	pool := rpc.NewPool()
	address := l.Addr().String()
	r := New(Options{
		Self:  peer.Info{Name: name, Role: vm.RoleRouter, Address: address, Callers: "callers of " + name},
		Seeds: seeds, Store: silent{}, Pool: pool, Relay: rl, Logger: zerolog.Nop(),
	})
	server := rpc.NewServer(l)
	if err := server.Register("Router", NewAPI(r)); err != nil {
		t.Fatal(err)
	}
	server.Start()
	ctx, cancel := context.WithCancel(context.Background())
	var w sync.WaitGroup
	w.Go(func() { r.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		w.Wait()
		pool.Close()
		server.Close()
		rl.Close()
	})
	return r, rl, address
}

// until waits for a condition that other goroutines bring about.
func until(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s did not happen", what)
		}
	}
}

// TestBorrow starts a router while the store is out: it learns catalog and upstreams from another one,
// with their age, takes callers, and is named to them until it leaves.
func TestBorrow(t *testing.T) {
	defer goleak.VerifyNone(t)
	t.Run("routers", func(t *testing.T) {
		a, ra, address := router(t, "a")
		old := time.Now().Add(-300 * time.Millisecond)
		u := upstream.Instance{ID: "u", Service: "s", State: upstream.StateReady}
		ra.Know(func(s *knowledge.State) {
			s.Catalog(old, &catalog.Catalog{Version: 7, Accounts: []catalog.Account{{ID: "x", Keys: []catalog.Key{"k"}}}})
			s.Upstreams(old, old, []services.Change[upstream.Instance]{{Key: "u", Value: &u}}, true)
		})
		a.becomeReady()
		b, rb, _ := router(t, "b", address)
		until(t, "router b ready", b.Ready)
		rb.Know(func(s *knowledge.State) {
			if s.Index().Version != 7 || s.Index().Account("k") == nil || len(s.Usable(time.Now(), "s")) != 1 {
				t.Errorf("borrowed version %d", s.Index().Version)
			}
			if s.CatalogAt().After(old) {
				t.Errorf("the catalog got fresher by being borrowed: %s", s.CatalogAt().Sub(old))
			}
		})
		both := []string{"callers of a", "callers of b"}
		until(t, "both named", func() bool {
			return slices.Equal(a.Addresses(time.Now()), both) && slices.Equal(b.Addresses(time.Now()), both)
		})
		b.Leave(t.Context())
		until(t, "b no longer named", func() bool { return slices.Equal(a.Addresses(time.Now()), both[:1]) })
		if b.Ready() {
			t.Error("a router that leaves is ready")
		}
	})
}
