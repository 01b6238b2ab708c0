// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package entry

import (
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"fawnwinch.org/fawnwinch/models/catalog"
	"fawnwinch.org/fawnwinch/modules/clock/clocktest"
	"fawnwinch.org/fawnwinch/services"
	"fawnwinch.org/fawnwinch/services/knowledge"
	"fawnwinch.org/fawnwinch/services/watch"

	"github.com/rs/zerolog"
)

const (
	// storeLatency and routerLatency are the times of a call of the store and of another router.
	storeLatency, routerLatency = 4 * time.Millisecond, 2 * time.Millisecond
	// applyBound and keyBound are the users' bounds on configurations and on keys that were taken
	// away.
	applyBound, keyBound = 2 * time.Second, 5 * time.Second
	// keyMargin is the part of keyBound that routers reserve for the way to the upstream.
	keyMargin = 300 * time.Millisecond
)

var errAway = errors.New("the store is away")

// simStore simulates a store with one feed of catalogs that is restored from copies.
type simStore struct {
	mu      sync.Mutex
	era     services.Era
	log     []catalog.Version
	away    bool
	changed chan struct{}
	// page is the largest number of records in an answer; 0 for any number. An answer with some of
	// the records takes pageLatency.
	page        int
	pageLatency time.Duration
	// calls counts all calls, and snapshots those that read the full feed.
	calls, snapshots int
	// acked holds when each version was first acknowledged.
	acked map[catalog.Version]time.Time
}

func newPlayedStore() *simStore {
	return &simStore{changed: make(chan struct{}), acked: map[catalog.Version]time.Time{}}
}

// change changes the store and wakes the waiting reads.
func (s *simStore) change(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *simStore) write(v catalog.Version) {
	s.change(func() {
		s.log = append(s.log, v)
		if _, ok := s.acked[v]; !ok {
			s.acked[v] = time.Now()
		}
	})
}

func (s *simStore) call(ctx context.Context) error {
	time.Sleep(storeLatency / 2)
	s.mu.Lock()
	s.calls++
	away := s.away
	s.mu.Unlock()
	if away {
		return errAway
	}
	return ctx.Err()
}

func (s *simStore) end() services.Position { return services.Position{Era: s.era}.After(len(s.log)) }

func changesOf(versions []catalog.Version, at services.Position) []services.Change[catalog.Update] {
	var out []services.Change[catalog.Update]
	for i, v := range versions {
		out = append(out, services.Change[catalog.Update]{Key: "config", Value: &catalog.Update{Catalog: &catalog.Catalog{Version: v}}, At: at.After(i)})
	}
	return out
}

func (s *simStore) Snapshot(ctx context.Context) ([]services.Change[catalog.Update], services.Position, error) {
	if err := s.call(ctx); err != nil {
		return nil, services.Position{}, err
	}
	defer time.Sleep(storeLatency / 2)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.snapshots++
	newest := s.log[max(0, len(s.log)-1):]
	return changesOf(newest, s.end()), s.end(), nil
}

func (s *simStore) Changes(ctx context.Context, from services.Position, wait time.Duration) (page services.FeedPage[catalog.Update], err error) {
	if err := s.call(ctx); err != nil {
		return page, err
	}
	defer time.Sleep(storeLatency / 2)
	timeout := time.After(wait)
	for waiting := true; ; {
		s.mu.Lock()
		end, changed, away := s.end(), s.changed, s.away
		news := slices.Clone(s.log[min(int(from.Offset), len(s.log)):])
		s.mu.Unlock()
		switch {
		case away:
			return page, errAway
		case end.Era != from.Era:
			return page, services.ErrEraChanged{From: from, Era: end.Era}
		case len(news) > 0 || !waiting:
			if s.page > 0 && len(news) > s.page {
				news = news[:s.page]
				time.Sleep(s.pageLatency)
			}
			return services.FeedPage[catalog.Update]{Changes: changesOf(news, from), Next: from.After(len(news)), End: end}, nil
		}
		select {
		case <-changed:
		case <-timeout:
			waiting = false
		case <-ctx.Done():
			return page, ctx.Err()
		}
	}
}

// simRouter simulates how a router follows the catalog.
type simRouter struct {
	d    *simulation
	name string
	// cut reports whether the router cannot reach the store.
	cut bool
	// neighbours are the routers that it sends gossip messages to.
	neighbours []*simRouter

	mu        sync.Mutex
	state     *knowledge.State
	f         *follower[catalog.Update]
	gossipDue chan struct{}
	cancel    context.CancelFunc
	done      sync.WaitGroup
	// version is the highest version in force since the latest start.
	version catalog.Version
}

// simulation simulates the routers of a deployment on virtual time.
type simulation struct {
	t       *testing.T
	rand    *rand.Rand
	store   *simStore
	routers []*simRouter
}

func newPlayedRouters(t *testing.T, routers int, seed uint64) *simulation {
	d := &simulation{t: t, rand: rand.New(rand.NewPCG(seed, 1)), store: newPlayedStore()}
	d.store.write(1)
	for i := range routers {
		d.routers = append(d.routers, &simRouter{d: d, name: fmt.Sprint("router-", i)})
	}
	for i, r := range d.routers {
		r.state = knowledge.New(applyBound)
		for _, to := range d.rand.Perm(routers)[:degreeOf(routers)+1] {
			if to != i && len(r.neighbours) < degreeOf(routers) {
				r.neighbours = append(r.neighbours, d.routers[to])
			}
		}
	}
	for _, r := range d.routers {
		r.start()
	}
	return d
}

// degreeOf returns the number of neighbours of each router in a deployment of the given size.
func degreeOf(routers int) int {
	if routers <= 12 {
		return routers - 1
	}
	return int(math.Ceil(math.Log2(float64(routers))))
}

// cutFeed is the store as seen by one router.
type cutFeed struct{ r *simRouter }

func (c cutFeed) reach() error {
	c.r.mu.Lock()
	defer c.r.mu.Unlock()
	if c.r.cut {
		return errAway
	}
	return nil
}

func (c cutFeed) Snapshot(ctx context.Context) ([]services.Change[catalog.Update], services.Position, error) {
	if err := c.reach(); err != nil {
		return nil, services.Position{}, err
	}
	return c.r.d.store.Snapshot(ctx)
}

func (c cutFeed) Changes(ctx context.Context, from services.Position, wait time.Duration) (services.FeedPage[catalog.Update], error) {
	if err := c.reach(); err != nil {
		return services.FeedPage[catalog.Update]{}, err
	}
	return c.r.d.store.Changes(ctx, from, wait)
}

func (r *simRouter) know(f func(s *knowledge.State)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f(r.state)
}

func (r *simRouter) extent() FeedProgress {
	var e FeedProgress
	r.know(func(s *knowledge.State) { e = catalogProgress(time.Now(), s) })
	return e
}

// start restarts the router with empty state.
func (r *simRouter) start() {
	r.mu.Lock()
	r.state, r.gossipDue, r.version = knowledge.New(applyBound), make(chan struct{}, 1), 0
	r.mu.Unlock()
	news := r.gossipDue
	f := &follower[catalog.Update]{
		name: feedCatalogs, feed: cutFeed{r}, times: watch.NewTimes(applyBound), logger: zerolog.Nop(), wake: make(chan struct{}, 1), ahead: make(chan string, 1),
		mark: func() (m knowledge.Watermark) {
			r.know(func(s *knowledge.State) { m = s.Catalogs() })
			return m
		},
		version: func() (v catalog.Version) {
			r.know(func(s *knowledge.State) { v = s.Version() })
			return v
		},
		apply: func(p knowledge.Segment[catalog.Update]) (fit knowledge.Fit) {
			proven := false
			r.know(func(s *knowledge.State) {
				_, unsettled := s.ProofFrom()
				fit = s.ApplyCatalogs(time.Now(), p)
				_, still := s.ProofFrom()
				proven = unsettled && !still
			})
			if proven {
				r.triggerGossip()
			}
			return fit
		},
		proofFrom: func() (from time.Time, ok bool) {
			r.know(func(s *knowledge.State) { from, ok = s.ProofFrom() })
			return from, ok
		},
		era:      func() services.Era { return r.extent().Era },
		isReader: func(time.Time) bool { return watch.ReaderOf(feedCatalogs, r.d.reaching(r)) == r.name },
		notify:   r.triggerGossip,
		onRead:   func(error) {},
		pull:     r.ask,
	}
	ctx, cancel := context.WithCancel(context.Background())
	r.mu.Lock()
	r.f, r.cancel = f, cancel
	r.mu.Unlock()
	r.done.Go(func() { f.run(ctx) })
	r.done.Go(func() { r.runGossip(ctx, news) })
}

// follower returns that of the latest start; nil before the first.
func (r *simRouter) follower() *follower[catalog.Update] {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.f
}

// triggerGossip triggers a gossip round.
func (r *simRouter) triggerGossip() {
	r.mu.Lock()
	news := r.gossipDue
	r.mu.Unlock()
	select {
	case news <- struct{}{}:
	default:
	}
}

// stop ends the router.
func (r *simRouter) stop() {
	r.cancel()
	r.done.Wait()
}

// reaching returns the names of a router and of all others whose latest read of the store did not
// fail.
func (d *simulation) reaching(self *simRouter) []string {
	names := []string{self.name}
	for _, r := range d.routers {
		if f := r.follower(); r != self && f != nil && !f.failing() {
			names = append(names, r.name)
		}
	}
	return names
}

// ask pulls the catalog from another router.
func (r *simRouter) ask(ctx context.Context, name string) (knowledge.Segment[catalog.Update], error) {
	asked := time.Now()
	time.Sleep(routerLatency)
	i := slices.IndexFunc(r.d.routers, func(o *simRouter) bool { return o.name == name })
	e := r.d.routers[i].extent()
	p := knowledge.Segment[catalog.Update]{Whole: true, Next: e.position(), AsOf: e.asOf(asked), Vouch: e.confirmation(asked)}
	if e.Version > 0 {
		p.Changes = changesOf([]catalog.Version{e.Version}, e.position())
	}
	time.Sleep(routerLatency)
	return p, ctx.Err()
}

// runGossip exchanges gossip with some other routers, which differ from router to router, at
// intervals and after updates.
func (r *simRouter) runGossip(ctx context.Context, news chan struct{}) {
	for ctx.Err() == nil {
		for _, to := range r.neighbours {
			r.exchange(ctx, to)
		}
		timer := time.NewTimer(gossipInterval)
		select {
		case <-news:
			time.Sleep(minGossipGap)
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
	}
}

func (r *simRouter) exchange(ctx context.Context, to *simRouter) {
	sent := time.Now()
	mine := r.extent()
	time.Sleep(routerLatency / 4)
	theirs := to.extent()
	if f := to.follower(); f != nil {
		f.pullIfAhead(r.name, mine)
	}
	if ctx.Err() == nil {
		r.follower().applyReply(sent, to.name, theirs)
	}
}

// check checks the invariants: no version goes back, and no caller is accepted with a catalog that
// was replaced longer ago than the bound on keys. Each version takes a key away.
func (d *simulation) check() {
	now := time.Now()
	for _, r := range d.routers {
		r.know(func(s *knowledge.State) {
			if s.Version() < r.version {
				d.t.Errorf("%s goes back from version %d to %d", r.name, r.version, s.Version())
			}
			r.version = s.Version()
			if s.CatalogAge(now) > keyBound-keyMargin {
				return
			}
			d.store.mu.Lock()
			defer d.store.mu.Unlock()
			for v, at := range d.store.acked {
				if v > s.Version() && now.Sub(at) > keyBound {
					d.t.Errorf("%s lets keys in by version %d, %d was acknowledged %s ago", r.name, s.Version(), v, now.Sub(at))
				}
			}
		})
	}
}

// converged reports whether all routers have a version in force and have confirmed it as the
// newest.
func (d *simulation) converged(v catalog.Version) bool {
	now := time.Now()
	for _, r := range d.routers {
		ok := false
		r.know(func(s *knowledge.State) { ok = s.Version() == v && s.CatalogAge(now) < keyBound-keyMargin })
		if !ok {
			return false
		}
	}
	return true
}

// advance advances the time, and checks the invariants meanwhile.
func (d *simulation) advance(length time.Duration) {
	for end := time.Now().Add(length); time.Now().Before(end); {
		time.Sleep(25 * time.Millisecond)
		d.check()
	}
}

func (d *simulation) stop() {
	for _, r := range d.routers {
		r.stop()
	}
}

// TestRestoreSchedules runs random schedules of restores, outages, writes, restarts and cuts, in
// which the operator rewrites what was lost within two seconds.
func TestRestoreSchedules(t *testing.T) {
	const seeds = 40
	for seed := range uint64(seeds) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			clocktest.Bubble(t, func(t *testing.T) { returnsBySchedule(t, newPlayedRouters(t, 6, seed)) })
		})
	}
}

func returnsBySchedule(t *testing.T, d *simulation) {
	defer d.stop()
	d.advance(time.Second)
	version := catalog.Version(1)
	write := func() {
		version += 1 + catalog.Version(d.rand.IntN(4))
		d.store.write(version)
	}
	span := func(most time.Duration) time.Duration { return time.Duration(d.rand.Int64N(int64(most))) }
	for range 1 + d.rand.IntN(3) {
		copied := slices.Clone(d.store.log)
		for range 1 + d.rand.IntN(5) {
			d.advance(span(1500 * time.Millisecond))
			write()
		}
		d.advance(span(300 * time.Millisecond))
		if d.rand.IntN(2) == 0 {
			d.store.change(func() { d.store.away = true })
			d.advance(span(6 * time.Second))
		}
		struck := d.routers[d.rand.IntN(len(d.routers))]
		switch d.rand.IntN(4) {
		case 0:
			struck.stop()
			struck.start()
		case 1:
			for _, r := range d.routers {
				r.stop()
			}
			for _, r := range d.routers {
				r.start()
			}
		case 2:
			struck.mu.Lock()
			struck.cut = true
			struck.mu.Unlock()
		}
		d.store.change(func() { d.store.log, d.store.away = copied, false; d.store.era++ })
		d.advance(span(1800 * time.Millisecond))
		if d.rand.IntN(2) == 0 {
			d.store.write(max(version-1, 1))
		}
		d.store.write(version)
		d.advance(span(2 * time.Second))
		struck.mu.Lock()
		struck.cut = false
		struck.mu.Unlock()
	}
	write()
	d.advance(4 * time.Second)
	if !d.converged(version) {
		t.Errorf("not all routers have version %d in force 4 s after the last disturbance", version)
		for _, r := range d.routers {
			t.Logf("%s: %+v, behind since %s, failures %d", r.name, r.extent(), time.Since(r.f.behind), r.f.failures)
		}
	}
}

// TestRestoreAtSize restores the store for as many routers as deployments have, and counts the
// calls and the time until all routers have converged.
func TestRestoreAtSize(t *testing.T) {
	for _, routers := range []int{6, 32, 149} {
		for name, outage := range map[string]time.Duration{"at once": 0, "after an outage": 2500 * time.Millisecond} {
			t.Run(fmt.Sprintf("%d routers, %s", routers, name), func(t *testing.T) {
				clocktest.Bubble(t, func(t *testing.T) {
					d := newPlayedRouters(t, routers, 1)
					defer d.stop()
					d.advance(3 * time.Second)
					copied := slices.Clone(d.store.log)
					d.store.write(5)
					d.advance(2 * time.Second)
					if outage > 0 {
						d.store.change(func() { d.store.away = true })
						d.advance(outage)
					}
					d.store.change(func() { d.store.log, d.store.away = copied, false; d.store.era++ })
					begun, before, whole := time.Now(), d.store.calls, d.store.snapshots
					d.store.write(7)
					for !d.converged(7) && time.Since(begun) < 10*time.Second {
						d.advance(25 * time.Millisecond)
					}
					took := time.Since(begun)
					d.advance(3*time.Second - took)
					calls, snapshots := d.store.calls-before, d.store.snapshots-whole
					if took > applyBound {
						t.Errorf("all routers are right after %s", took)
					}
					// A router whose reads failed calls once more to detect that it reaches the
					// store, while others may do so too.
					if calls > 2*routers+12 {
						t.Errorf("%d calls in 3 s by %d routers", calls, routers)
					}
					// The full feed is read by the chosen reader, and by few others before they
					// receive its updates.
					if snapshots > 4 {
						t.Errorf("%d full reads by %d routers", snapshots, routers)
					}
					t.Logf("right after %s, %d calls of the store in 3 s, %d of them full reads", took.Round(time.Millisecond), calls, snapshots)
				})
			})
		}
	}
}

// TestRefusalsAfterRestore measures for how long routers refuse keys around an outage and a restore
// in which nothing they know was lost: only while their earlier confirmation is older than the
// bound on keys allows.
func TestRefusalsAfterRestore(t *testing.T) {
	// operatorTime is the time in which the operator rewrites what was lost.
	const operatorTime = 2 * time.Second
	for name, outage := range map[string]time.Duration{
		"at once": 0, "after a second": time.Second, "after two seconds": 2 * time.Second, "after two and a half": 2500 * time.Millisecond, "after six": 6 * time.Second,
	} {
		most := max(outage+operatorTime+watch.NewTimes(applyBound).Own-(keyBound-keyMargin), 0)
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			clocktest.Bubble(t, func(t *testing.T) {
				d := newPlayedRouters(t, 6, 1)
				defer d.stop()
				d.advance(3 * time.Second)
				if outage > 0 {
					d.store.change(func() { d.store.away = true })
				}
				refused := time.Duration(0)
				count := func(length time.Duration) {
					for end := time.Now().Add(length); time.Now().Before(end); {
						d.advance(25 * time.Millisecond)
						if !d.converged(1) {
							refused += 25 * time.Millisecond
						}
					}
				}
				count(outage)
				d.store.change(func() { d.store.away = false; d.store.era++ })
				count(8 * time.Second)
				if refused > most {
					t.Errorf("keys are refused at some router for %s, want %s at most", refused, most)
				}
				t.Logf("refused at some router for %s", refused)
			})
		})
	}
}

// TestBacklogInParts turns all routers away from the store while the operator takes away a key with
// each of many versions. Afterwards the store answers a read with a part of the backlog. It guards
// against a part that is taken for all of it: keys that were taken away would be let in.
func TestBacklogInParts(t *testing.T) {
	const seeds = 30
	for seed := range uint64(seeds) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			clocktest.Bubble(t, func(t *testing.T) {
				d := newPlayedRouters(t, 2+int(seed%5), seed)
				defer d.stop()
				d.store.page, d.store.pageLatency = 1+d.rand.IntN(4), time.Duration(1+d.rand.IntN(100))*time.Millisecond
				d.advance(3 * time.Second)
				d.store.change(func() { d.store.away = true })
				version := catalog.Version(1)
				for range 4 + d.rand.IntN(12) {
					version += 1 + catalog.Version(d.rand.IntN(4))
					d.store.write(version)
					d.advance(time.Duration(d.rand.IntN(400)) * time.Millisecond)
				}
				d.advance(keyBound + time.Duration(d.rand.IntN(2000))*time.Millisecond)
				d.store.change(func() { d.store.away = false })
				d.advance(4 * time.Second)
				if !d.converged(version) {
					t.Errorf("not all routers have version %d in force 4 s after the store is back", version)
				}
			})
		})
	}
}
