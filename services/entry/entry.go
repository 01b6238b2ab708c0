// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package entry is the router's shell: it follows the platform's store, greets the other routers, and
// answers which routers callers should use.
package entry

import (
	"context"
	"slices"
	"sync"
	"time"

	"fawnwinch.org/fawnwinch/models/catalog"
	"fawnwinch.org/fawnwinch/models/group"
	"fawnwinch.org/fawnwinch/models/service"
	"fawnwinch.org/fawnwinch/models/upstream"
	"fawnwinch.org/fawnwinch/models/vm"
	"fawnwinch.org/fawnwinch/modules/clock"
	"fawnwinch.org/fawnwinch/modules/rpc"
	"fawnwinch.org/fawnwinch/modules/setting"
	"fawnwinch.org/fawnwinch/modules/usage"
	"fawnwinch.org/fawnwinch/services"
	"fawnwinch.org/fawnwinch/services/knowledge"
	"fawnwinch.org/fawnwinch/services/peer"
	"fawnwinch.org/fawnwinch/services/quarantine"
	"fawnwinch.org/fawnwinch/services/quota"
	"fawnwinch.org/fawnwinch/services/relay"
	"fawnwinch.org/fawnwinch/services/watch"

	"github.com/rs/zerolog"
)

// Store is what a router needs of the platform's store.
type Store interface {
	Catalogs() services.Feed[catalog.Catalog]
	Upstreams() services.Feed[upstream.Instance]
	Nodes() services.Feed[peer.Info]
	// PutNodes registers processes.
	PutNodes(ctx context.Context, nodes []peer.Info) error
	// Refused returns the feed of the requests that are refused because upstreams ended under them.
	Refused() services.Feed[quarantine.Entry]
	// PutRefused keeps entries of such requests, and drops others by name.
	PutRefused(ctx context.Context, entries []quarantine.Entry, drop []string) error
	// Era returns the newest era that the store has told.
	Era() services.Era
}

// Options holds what a Router needs.
type Options struct {
	Self   peer.Info
	Seeds  []string
	Store  Store
	Pool   *rpc.Pool
	Relay  *relay.Relay
	Logger zerolog.Logger
	Bounds setting.Bounds
}

// Router keeps a relay's knowledge up to date. It is safe for use by several goroutines.
type Router struct {
	opts      Options
	catalogs  *follower[catalog.Catalog]
	upstreams *follower[upstream.Instance]

	// news has the neighbours greeted soon.
	news chan struct{}

	mu    sync.Mutex
	table *peer.Table
	// meter tells how much processor time this process uses.
	meter usage.Meter
	// greeting holds the addresses that are being greeted.
	greeting map[string]bool
	// registered holds the addresses of the other routers that are registered in the store, and strangers those of them that
	// are still to be greeted because nothing was heard of them.
	registered, strangers []string
	// outage tells for each feed since when it cannot be read; absent while it can.
	outage map[string]time.Time
	// groups holds what is known of the model groups.
	groups map[group.ID]led
	// unreported tells of the ranks that no coordinator tells of; only the round of greetings uses it.
	unreported map[service.ID]unreported
	// sought takes the services whose loads nobody tells.
	sought chan service.ID
	// heardMarks holds how far the knowledge of other routers was taken in, by address, and knowsMore takes the address of one that
	// has come further.
	heardMarks map[string]Marks
	knowsMore  chan string
	// eraKnown is the first era of the store that this process has known; nil before one is.
	eraKnown *services.Era
	// ledger counts the permits that this router gives.
	ledger *quota.Ledger
}

// New returns a router that knows nobody.
func New(o Options) *Router {
	now := clock.Now()
	o.Self.State = peer.StateStarting
	r := &Router{
		opts: o, table: peer.NewTable(now, o.Self), news: make(chan struct{}, 1), greeting: map[string]bool{},
		outage: map[string]time.Time{}, groups: map[group.ID]led{}, unreported: map[service.ID]unreported{}, sought: make(chan service.ID, 1),
		heardMarks: map[string]Marks{}, knowsMore: make(chan string, 1),
		ledger: quota.NewLedger(),
	}
	r.catalogs = newFollower(r, feedCatalogs, o.Store.Catalogs(), (*knowledge.State).Catalogs)
	r.catalogs.take, r.catalogs.ask, r.catalogs.version, r.catalogs.settles = r.takeCatalogs, r.askCatalogs, r.version, r.settles
	r.upstreams = newFollower(r, feedUpstreams, o.Store.Upstreams(), (*knowledge.State).Upstreams)
	r.upstreams.take, r.upstreams.ask = r.takeUpstreams, r.askUpstreams
	if !r.isSeed() {
		r.catalogs.wait(now.Add(seedPatience))
		r.upstreams.wait(now.Add(seedPatience))
	}
	r.rebound(o.Bounds)
	o.Relay.OnUnreported(r.seek)
	o.Relay.OnCrash(r.spread)
	o.Relay.Share(r)
	return r
}

// seedPatience is how long a router that starts waits to be told by the seeds before it reads the store: each read of a
// start is paid for, and after a loss of power all routers start at once.
const seedPatience = 500 * time.Millisecond

// isSeed reports whether this router is one that others ask first, or knows of none.
func (r *Router) isSeed() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.opts.Seeds) == 0 || slices.Contains(r.opts.Seeds, r.opts.Self.Address)
}

// newFollower returns the follower of one of a router's feeds. Take and ask are still to be set.
func newFollower[T any](r *Router, name string, feed services.Feed[T], mark func(*knowledge.State) knowledge.Mark) *follower[T] {
	return &follower[T]{
		name: name, feed: feed, logger: r.opts.Logger, wake: make(chan struct{}, 1), ahead: make(chan string, 1),
		mark:   func() knowledge.Mark { return r.mark(mark) },
		mine:   func(now time.Time) bool { return r.reads(now, name) },
		spread: r.spread,
		era:    r.era,
		note:   func(err error) { r.noteOutage(name, err) },
	}
}

// The feeds that routers follow, as they are called in logs.
const (
	feedCatalogs  = "catalogs"
	feedUpstreams = "upstreams"
)

// Run keeps the router up to date until ctx ends.
func (r *Router) Run(ctx context.Context) {
	var w sync.WaitGroup
	w.Go(func() { r.catalogs.run(ctx) })
	w.Go(func() { r.upstreams.run(ctx) })
	w.Go(func() { r.register(ctx) })
	w.Go(func() { r.greetAll(ctx) })
	w.Go(func() { r.seekAll(ctx) })
	w.Go(func() { r.askHearsay(ctx) })
	w.Wait()
}

// reads reports whether this router reads a feed for all.
func (r *Router) reads(now time.Time, feed string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	// A router that does not reach the store goes on trying by itself, see watch.Times.
	reader := watch.Reader(feed, r.staying(now, func(n peer.Info) bool { return !n.StoreLost }))
	return reader == r.table.Self().Name
}

// staying returns the names of the routers that run and do not leave: this one, and those others that are suited. The caller holds the lock.
func (r *Router) staying(now time.Time, suited func(peer.Info) bool) []string {
	var names []string
	if self := r.table.Self(); self.State != peer.StateLeaving {
		names = append(names, self.Name)
	}
	for _, n := range r.table.Live(now, vm.RoleRouter) {
		if n.State != peer.StateLeaving && suited(n) {
			names = append(names, n.Name)
		}
	}
	return names
}

func (r *Router) mark(of func(*knowledge.State) knowledge.Mark) knowledge.Mark {
	var m knowledge.Mark
	r.opts.Relay.Know(func(s *knowledge.State) { m = of(s) })
	return m
}

// version returns that of the catalog in force.
func (r *Router) version() catalog.Version {
	var v catalog.Version
	r.opts.Relay.Know(func(s *knowledge.State) { v = s.Version() })
	return v
}

// settles returns the time from which the catalog can be known to be the newest again after a return of the store, and whether it is not yet.
func (r *Router) settles() (from time.Time, ok bool) {
	r.opts.Relay.Know(func(s *knowledge.State) { from, ok = s.Settles() })
	return from, ok
}

// era returns the newest era of the store that is known: by an answer of the store, or by what another router has told.
func (r *Router) era() services.Era {
	era := r.opts.Store.Era()
	r.opts.Relay.Know(func(s *knowledge.State) { era = max(era, s.Catalogs().Next.Era, s.Upstreams().Next.Era) })
	return era
}

// firstEra returns the first era of the store that this process has known. It is the one given if none was known before.
func (r *Router) firstEra(known services.Era) services.Era {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.eraKnown == nil {
		r.eraKnown = &known
	}
	return *r.eraKnown
}

// noteOutage logs the begin and the end of a feed's outage.
func (r *Router) noteOutage(name string, err error) {
	now := clock.Now()
	r.mu.Lock()
	since, out := r.outage[name]
	switch {
	case err != nil && !out:
		r.outage[name] = now
	case err == nil:
		delete(r.outage, name)
	}
	r.mu.Unlock()
	switch {
	case err != nil && !out:
		r.opts.Logger.Warn().Str("feed", name).Err(err).Msg("store-lost")
	case err == nil && out:
		r.opts.Logger.Info().Str("feed", name).Int64("outage_ms", now.Sub(since).Milliseconds()).Msg("store-back")
	}
}

// becomeReady begins to take callers once enough is known.
func (r *Router) becomeReady() {
	complete := false
	r.opts.Relay.Know(func(s *knowledge.State) { complete = s.Complete() })
	if complete && r.Self().State == peer.StateStarting {
		r.enter(peer.StateReady)
		r.opts.Logger.Info().Msg("ready")
	}
}

// enter changes the state of this process, and has the neighbours told.
func (r *Router) enter(s peer.State) {
	r.learn(func(now time.Time) {
		self := r.table.Self()
		self.State = s
		r.table.UpdateSelf(now, self)
	})
}

// Reload takes over new settings: the addresses of routers to begin with, and bounds.
func (r *Router) Reload(seeds []string, b setting.Bounds) {
	r.rebound(b)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.opts.Seeds = seeds
}

// rebound takes over the times in which catalogs must be in force and leaving upstreams get no more work.
func (r *Router) rebound(b setting.Bounds) {
	r.catalogs.rebound(watch.NewTimes(b.ApplyTime))
	r.upstreams.rebound(watch.NewTimes(b.DrainTime))
}

// Self returns what this process tells of itself.
func (r *Router) Self() peer.Info {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.table.Self()
}

// Leave tells the others that this process stops.
func (r *Router) Leave(ctx context.Context) {
	r.enter(peer.StateLeaving)
	var w sync.WaitGroup
	r.greet(ctx, &w)
	w.Wait()
}

// Ready reports whether the process takes callers.
func (r *Router) Ready() bool { return r.Self().State == peer.StateReady }

// Addresses returns the addresses that callers of a data centre should use.
func (r *Router) Addresses(now time.Time, dc vm.DataCentre) []string {
	var out []string
	for _, n := range namedTo(r.taking(now), dc) {
		out = append(out, n.Callers)
	}
	slices.Sort(out)
	return out
}

// taking returns the routers that take callers. This one is not among them while its catalog is too old to let keys in.
func (r *Router) taking(now time.Time) []peer.Info {
	fresh := r.opts.Relay.LetsIn(now)
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []peer.Info
	if self := r.table.Self(); self.State == peer.StateReady && fresh {
		out = append(out, self)
	}
	for _, n := range r.table.Live(now, vm.RoleRouter) {
		if n.State == peer.StateReady {
			out = append(out, n)
		}
	}
	return out
}
