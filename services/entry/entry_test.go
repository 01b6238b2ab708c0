// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package entry

import (
	"context"
	"errors"
	"maps"
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
	"fawnwinch.org/fawnwinch/modules/setting"
	"fawnwinch.org/fawnwinch/services"
	"fawnwinch.org/fawnwinch/services/knowledge"
	"fawnwinch.org/fawnwinch/services/peer"
	"fawnwinch.org/fawnwinch/services/quarantine"
	"fawnwinch.org/fawnwinch/services/relay"
	"fawnwinch.org/fawnwinch/services/watch"

	"github.com/rs/zerolog"
	"go.uber.org/goleak"
)

// script is a feed with scripted responses to reads.
type script[T any] struct {
	reads chan read[T]
}

type read[T any] struct {
	changes []services.Change[T]
	next    services.Position
	err     error
	// whole reports whether a snapshot is expected; from is the expected start of a read of
	// changes.
	whole bool
	from  services.Position
}

var errWrongRead = errors.New("wrong read")

func (s *script[T]) respond(ctx context.Context, whole bool, from services.Position) ([]services.Change[T], services.Position, error) {
	select {
	case r := <-s.reads:
		if r.whole != whole || r.from != from {
			return nil, from, errWrongRead
		}
		return r.changes, r.next, r.err
	case <-ctx.Done():
		return nil, services.Position{}, ctx.Err()
	}
}

func (s *script[T]) Snapshot(ctx context.Context) ([]services.Change[T], services.Position, error) {
	return s.respond(ctx, true, services.Position{})
}

func (s *script[T]) Changes(ctx context.Context, from services.Position, _ time.Duration) (services.FeedPage[T], error) {
	changes, next, err := s.respond(ctx, false, from)
	return services.FeedPage[T]{Changes: changes, Next: next, End: next}, err
}

// TestFollow checks that a feed continues after a failed read, and is read in full after its
// records were trimmed.
func TestFollow(t *testing.T) {
	one := 1
	change := func(k string) []services.Change[int] { return []services.Change[int]{{Key: k, Value: &one}} }
	reads := []read[int]{
		{whole: true, err: errors.New("store is out")},
		{whole: true, changes: change("a"), next: position(4)},
		{from: position(4), changes: change("b"), next: position(5)},
		{from: position(5), err: errors.New("store is out")},
		{from: position(5), next: position(5)},
		{from: position(5), err: services.ErrTrimmed{From: position(5)}},
		{whole: true, changes: change("c"), next: position(9)},
		{from: position(9), next: position(9)},
	}
	s := &script[int]{reads: make(chan read[int], len(reads))}
	for _, r := range reads {
		s.reads <- r
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var got []string
	var failures []error
	var notified []services.Position
	var mark knowledge.Watermark
	f := &follower[int]{
		feed: s, wake: make(chan struct{}, 1),
		mark:     func() knowledge.Watermark { return mark },
		isReader: func(time.Time) bool { return true },
		era:      func() services.Era { return 0 },
		apply: func(p knowledge.Segment[int]) knowledge.Fit {
			name := ""
			for _, c := range p.Changes {
				name += c.Key
			}
			if p.Whole {
				name += "*"
			}
			mark = knowledge.Watermark{Next: p.Next, AsOf: p.AsOf}
			if got = append(got, name); len(got) == 5 {
				cancel()
			}
			return knowledge.FitNew
		},
		notify: func() { notified = append(notified, mark.Next) },
		onRead: func(err error) {
			if err != nil && !errors.Is(err, context.Canceled) {
				failures = append(failures, err)
			}
		},
	}
	f.run(ctx)
	if want := []string{"a*", "b", "", "c*", ""}; !slices.Equal(got, want) || len(failures) != 2 || errors.Is(failures[1], errWrongRead) {
		t.Errorf("took %q, want %q; failures %v", got, want, failures)
	}
	if !slices.Equal(notified, []services.Position{position(4), position(5), position(9)}) {
		t.Errorf("notified the others at %v, want one notification for each advance", notified)
	}
}

// partFeed is a feed of which a read returns at most two changes.
type partFeed struct {
	end  services.Position
	from []services.Position
	wait []time.Duration
	fail int
}

func (f *partFeed) Snapshot(context.Context) ([]services.Change[int], services.Position, error) {
	return nil, services.Position{}, errWrongRead
}

func (f *partFeed) Changes(_ context.Context, from services.Position, wait time.Duration) (services.FeedPage[int], error) {
	f.from, f.wait = append(f.from, from), append(f.wait, wait)
	if len(f.from) == f.fail {
		return services.FeedPage[int]{}, errors.New("store is out")
	}
	n := min(2, int(f.end.Offset-from.Offset))
	return services.FeedPage[int]{Changes: make([]services.Change[int], n), Next: from.After(n), End: f.end}, nil
}

// TestReadInParts reads a feed that answers with a part of the backlog. It guards against a part that
// is taken for the whole, and against a wait between two parts.
func TestReadInParts(t *testing.T) {
	cases := map[string]struct {
		end  services.Offset
		fail int
		// partial reports for each segment that is applied whether it is partial.
		partial []bool
		// behind reports whether the router then knows that it has not reached the end.
		behind bool
	}{
		"all at once":            {6, 0, []bool{false}, false},
		"nothing new":            {4, 0, []bool{false}, false},
		"three parts":            {9, 0, []bool{true, true, false}, false},
		"the second part fails":  {9, 2, []bool{true}, true},
		"the first part fails":   {9, 1, nil, false},
		"the second is the last": {8, 0, []bool{true, false}, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			feed := &partFeed{end: position(c.end), fail: c.fail}
			taken := make(chan knowledge.Segment[int], 10)
			f := nonReader(nil, taken)
			f.feed = feed
			f.read(t.Context(), time.Minute)
			close(taken)
			var partial []bool
			for p := range taken {
				partial = append(partial, p.Partial)
			}
			if !slices.Equal(partial, c.partial) || f.behind.IsZero() == c.behind {
				t.Errorf("partial segments %v, behind since %s", partial, f.behind)
			}
			for i, wait := range feed.wait {
				if (wait > 0) != (i == 0) || feed.from[i] != position(services.Offset(4+2*i)) {
					t.Errorf("read %d: from %s, waits %s", i, feed.from[i], wait)
				}
			}
		})
	}
}

// nonReader returns the follower of a router that is not the reader of a feed and knows it up to
// position 4. Applied segments are sent to taken.
func nonReader(s *script[int], taken chan<- knowledge.Segment[int]) *follower[int] {
	var mu sync.Mutex
	mark := knowledge.Watermark{Next: position(4), AsOf: time.Now().Add(time.Hour)}
	return &follower[int]{
		feed: s, wake: make(chan struct{}, 1), ahead: make(chan string, 1), times: watch.NewTimes(2 * time.Second),
		isReader: func(time.Time) bool { return false },
		era:      func() services.Era { return 0 },
		notify:   func() {},
		onRead:   func(error) {},
		logger:   zerolog.Nop(),
		mark: func() knowledge.Watermark {
			mu.Lock()
			defer mu.Unlock()
			return mark
		},
		apply: func(p knowledge.Segment[int]) knowledge.Fit {
			mu.Lock()
			defer mu.Unlock()
			if !p.Whole && mark.Next.Before(p.From) {
				return knowledge.FitGap
			}
			mark.Next = p.Next
			taken <- p
			return knowledge.FitNew
		},
	}
}

// TestNonReader checks that a router that is not the reader does not read the store while others
// send it updates. It pulls from those that are ahead, and reads by itself when they do not answer
// for a while.
func TestNonReader(t *testing.T) {
	s := &script[int]{reads: make(chan read[int])}
	ctx, cancel := context.WithCancel(t.Context())
	taken := make(chan knowledge.Segment[int], 1)
	answers := make(chan error)
	f := nonReader(s, taken)
	f.pull = func(context.Context, string) (knowledge.Segment[int], error) {
		return knowledge.Segment[int]{From: position(4), Next: position(5)}, <-answers
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.run(ctx)
	}()
	f.pullIfAhead("a", FeedProgress{Known: true, Next: 4})
	f.pullIfAhead("b", FeedProgress{Known: true, Next: 5})
	answers <- nil
	if p := <-taken; p.Next != position(5) {
		t.Errorf("applied a segment up to %s", p.Next)
	}
	f.pullIfAhead("c", FeedProgress{Known: true, Next: 8})
	answers <- errors.New("no answer")
	f.mu.Lock()
	f.behind = f.behind.Add(-maxBehind)
	f.mu.Unlock()
	f.wakeUp()
	s.reads <- read[int]{from: position(5), next: position(8)}
	if p := <-taken; p.From != position(5) || p.Next != position(8) {
		t.Errorf("read from %s up to %s, want 5 to 8", p.From, p.Next)
	}
	select {
	case s.reads <- read[int]{from: position(8), next: position(8)}:
		t.Error("the feed was read although nothing was missed")
	default:
	}
	cancel()
	<-done
}

// TestIncompletePull checks that a router reads a feed in full after it has received a segment from
// a router of an earlier version, which does not pass on all kinds of records.
func TestIncompletePull(t *testing.T) {
	s := &script[int]{reads: make(chan read[int])}
	ctx, cancel := context.WithCancel(t.Context())
	taken := make(chan knowledge.Segment[int], 1)
	f := nonReader(s, taken)
	f.pull = func(context.Context, string) (knowledge.Segment[int], error) {
		return knowledge.Segment[int]{Whole: true, Next: position(5), Incomplete: true}, nil
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.run(ctx)
	}()
	f.pullIfAhead("a", FeedProgress{Known: true, Next: 5})
	if p := <-taken; !p.Incomplete || p.Next != position(5) {
		t.Errorf("applied %+v", p)
	}
	s.reads <- read[int]{whole: true, next: position(5)}
	if p := <-taken; p.Incomplete || !p.Whole {
		t.Errorf("read %+v after an incomplete segment, want the whole feed", p)
	}
	cancel()
	<-done
}

// silentStore is a store that never answers.
type silentStore struct{}

type silentFeed[T any] struct{}

func (silentFeed[T]) Snapshot(ctx context.Context) ([]services.Change[T], services.Position, error) {
	<-ctx.Done()
	return nil, services.Position{}, ctx.Err()
}

func (silentFeed[T]) Changes(ctx context.Context, _ services.Position, _ time.Duration) (services.FeedPage[T], error) {
	<-ctx.Done()
	return services.FeedPage[T]{}, ctx.Err()
}

func (silentStore) Catalogs() services.Feed[catalog.Update] { return silentFeed[catalog.Update]{} }

func (silentStore) Upstreams() services.Feed[upstream.Instance] {
	return silentFeed[upstream.Instance]{}
}
func (silentStore) Nodes() services.Feed[peer.Info] { return silentFeed[peer.Info]{} }
func (silentStore) Quarantined() services.Feed[quarantine.Entry] {
	return silentFeed[quarantine.Entry]{}
}

func (silentStore) PutQuarantined(ctx context.Context, _ []quarantine.Entry, _ []string) error {
	<-ctx.Done()
	return ctx.Err()
}

// Era implements Store.
func (silentStore) Era() services.Era { return 0 }

func (silentStore) PutNodes(ctx context.Context, _ []peer.Info) error {
	<-ctx.Done()
	return ctx.Err()
}

// quietRelay returns a relay that logs nothing.
func quietRelay() *relay.Relay {
	return relay.New(relay.Options{Bounds: setting.Bounds{ApplyTime: time.Second, KeyFreshness: time.Hour, RetryWindow: time.Second}, Metrics: metrics.New("router"), Logger: zerolog.Nop()})
}

// router starts a router with some seeds and a store that never answers.
func router(t *testing.T, name string, seeds ...string) (*Router, *relay.Relay, string) {
	t.Helper()
	l, err := httpx.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	rl := quietRelay()
	pool := rpc.NewPool()
	address := l.Addr().String()
	r := New(Options{
		Self:  peer.Info{Name: name, Role: vm.RoleRouter, Address: address, Callers: "callers of " + name},
		Seeds: seeds, Store: silentStore{}, Pool: pool, Relay: rl, Logger: zerolog.Nop(),
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

// TestPullFromPeer starts a router while the store is unavailable: it pulls catalog and upstreams
// with their age from another router, becomes ready, and is listed for callers until it leaves.
func TestPullFromPeer(t *testing.T) {
	defer goleak.VerifyNone(t)
	t.Run("routers", func(t *testing.T) {
		a, ra, address := router(t, "a")
		old := time.Now().Add(-300 * time.Millisecond)
		u := upstream.Instance{ID: "u", Service: "s", State: upstream.StateReady}
		ra.WithState(func(s *knowledge.State) {
			c := catalog.Catalog{Version: 7, Services: []catalog.Service{{ID: "s"}}, Accounts: []catalog.Account{{ID: "x", Keys: []catalog.Key{"k"}}}}
			s.ApplyCatalogs(time.Now(), knowledge.Segment[catalog.Update]{Whole: true, Next: position(5), AsOf: old, Changes: []services.Change[catalog.Update]{{Value: &catalog.Update{Catalog: &c}}}})
			s.ApplyUpstreams(old, knowledge.Segment[upstream.Instance]{Whole: true, Next: position(9), AsOf: old, Changes: []services.Change[upstream.Instance]{{Key: "u", Value: &u}}})
		})
		a.becomeReady()
		b, rb, _ := router(t, "b", address)
		until(t, "router b ready", b.Ready)
		rb.WithState(func(s *knowledge.State) {
			if s.Index().Version != 7 || s.Index().Account("k") == nil || len(s.Usable(time.Now(), "s")) != 1 {
				t.Errorf("borrowed version %d", s.Index().Version)
			}
			if s.Catalogs().AsOf.After(old) || s.Upstreams().AsOf.After(old) {
				t.Errorf("the feeds got fresher by being borrowed: %s, %s", s.Catalogs().AsOf.Sub(old), s.Upstreams().AsOf.Sub(old))
			}
		})
		both := []string{"callers of a", "callers of b"}
		until(t, "both named", func() bool {
			return slices.Equal(a.Addresses(time.Now(), Caller{}), both) && slices.Equal(b.Addresses(time.Now(), Caller{}), both)
		})
		b.Leave(t.Context())
		until(t, "b no longer named", func() bool { return slices.Equal(a.Addresses(time.Now(), Caller{}), both[:1]) })
		if b.Ready() {
			t.Error("a router that leaves is ready")
		}
	})
}

// refusedStore is a store that keeps refused requests.
type refusedStore struct {
	silentStore

	entries map[string]quarantine.Entry
	era     services.Era
}

// Era implements Store.
func (k *refusedStore) Era() services.Era { return k.era }

func (k *refusedStore) Quarantined() services.Feed[quarantine.Entry] { return k }

func (k *refusedStore) Snapshot(context.Context) ([]services.Change[quarantine.Entry], services.Position, error) {
	var out []services.Change[quarantine.Entry]
	for name, e := range k.entries {
		out = append(out, services.Change[quarantine.Entry]{Key: name, Value: &e})
	}
	return out, services.Position{Era: k.era}, nil
}

func (k *refusedStore) Changes(context.Context, services.Position, time.Duration) (services.FeedPage[quarantine.Entry], error) {
	return services.FeedPage[quarantine.Entry]{}, errWrongRead
}

func (k *refusedStore) PutQuarantined(_ context.Context, entries []quarantine.Entry, drop []string) error {
	for _, e := range entries {
		k.entries[e.Name()] = e
	}
	for _, name := range drop {
		delete(k.entries, name)
	}
	return nil
}

// TestStoreRefused checks that refused requests are stored for as long as they are refused, and
// known to a restarted router.
func TestStoreRefused(t *testing.T) {
	store := &refusedStore{entries: map[string]quarantine.Entry{}}
	start := func() (*Router, *registry) {
		return New(Options{Self: peer.Info{Name: "a"}, Store: store, Relay: quietRelay(), Logger: zerolog.Nop()}), &registry{}
	}
	keep := func(r *Router, known *registry, want int) {
		t.Helper()
		if err := r.storeRefused(t.Context(), known); err != nil || len(store.entries) != want {
			t.Errorf("%d requests are kept, want %d; %v", len(store.entries), want, err)
		}
	}
	k := quarantine.Key{Account: "x", Digest: 1}
	r, known := start()
	keep(r, known, 0)
	r.opts.Relay.WithCrashes(func(g *quarantine.Register) {
		for i, id := range []upstream.ID{"a", "b", "c"} {
			g.Add(time.Now(), quarantine.Crash{Key: k, Run: upstream.Run{ID: id}, Age: time.Duration(3-i) * time.Second})
		}
	})
	keep(r, known, 1)
	r, known = start()
	keep(r, known, 1)
	if got := r.opts.Relay.RefusedCount(time.Now()); got != 1 {
		t.Errorf("%d requests are refused after a start, want 1", got)
	}
	r.opts.Relay.WithCrashes(func(g *quarantine.Register) {
		g.RecordRun(time.Now(), quarantine.Subject{Content: k}, quarantine.CompletedRun)
	})
	keep(r, known, 0)
}

// TestStoreRefusedAfterRestore restores the store from a copy: entries stored since the copy are
// stored again, and entries dropped since are dropped again and not refused.
func TestStoreRefusedAfterRestore(t *testing.T) {
	store := &refusedStore{entries: map[string]quarantine.Entry{}, era: 1}
	r := New(Options{Self: peer.Info{Name: "a"}, Store: store, Relay: quietRelay(), Logger: zerolog.Nop()})
	var known registry
	keep := func(what string, want int) {
		t.Helper()
		if err := r.storeRefused(t.Context(), &known); err != nil || len(store.entries) != want {
			t.Errorf("%s: %d requests are kept, want %d; %v", what, len(store.entries), want, err)
		}
	}
	crash := func(k quarantine.Key) {
		r.opts.Relay.WithCrashes(func(g *quarantine.Register) {
			for i, id := range []upstream.ID{"a", "b", "c"} {
				g.Add(time.Now(), quarantine.Crash{Key: k, Run: upstream.Run{ID: id}, Age: time.Duration(3-i) * time.Second})
			}
		})
	}
	one, two := quarantine.Key{Account: "x", Digest: 1}, quarantine.Key{Account: "x", Digest: 2}
	crash(one)
	keep("one is refused", 1)
	first := maps.Clone(store.entries)
	r.opts.Relay.WithCrashes(func(g *quarantine.Register) {
		g.RecordRun(time.Now(), quarantine.Subject{Content: one}, quarantine.CompletedRun)
	})
	crash(two)
	keep("another one is", 1)
	second := maps.Clone(store.entries)
	store.entries, store.era = first, 2
	keep("after the return", 1)
	if !maps.EqualFunc(store.entries, second, func(a, b quarantine.Entry) bool { return a.Key == b.Key }) {
		t.Errorf("kept after the return: %v", store.entries)
	}
	if got := r.opts.Relay.RefusedCount(time.Now()); got != 1 {
		t.Errorf("%d requests are refused after the return, want 1", got)
	}
	store.entries, store.era = map[string]quarantine.Entry{}, 3
	keep("after another return", 1)
}

// TestReloadSeeds changes the settings while the router starts, for the race detector: a router
// read its seeds while they were being replaced.
func TestReloadSeeds(t *testing.T) {
	r, _, address := router(t, "a", "127.0.0.1:1")
	for range 50 {
		r.Reload([]string{address}, setting.Bounds{ApplyTime: time.Second, DrainTime: time.Second})
		r.isSeed()
	}
}
