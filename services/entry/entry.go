// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package entry is the router's shell: it follows the platform's store, greets the other routers, and
// answers which routers callers should use.
package entry

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"fawnwinch.org/fawnwinch/models/catalog"
	"fawnwinch.org/fawnwinch/models/upstream"
	"fawnwinch.org/fawnwinch/models/vm"
	"fawnwinch.org/fawnwinch/modules/rpc"
	"fawnwinch.org/fawnwinch/modules/sleep"
	"fawnwinch.org/fawnwinch/services"
	"fawnwinch.org/fawnwinch/services/knowledge"
	"fawnwinch.org/fawnwinch/services/peer"
	"fawnwinch.org/fawnwinch/services/relay"

	"github.com/rs/zerolog"
)

// Store is what a router needs of the platform's store.
type Store interface {
	Catalogs() services.Feed[catalog.Catalog]
	Upstreams() services.Feed[upstream.Instance]
	Nodes() services.Feed[peer.Info]
	// PutNode registers this process.
	PutNode(ctx context.Context, i peer.Info) error
}

// Options holds what a Router needs.
type Options struct {
	Self   peer.Info
	Seeds  []string
	Store  Store
	Pool   *rpc.Pool
	Relay  *relay.Relay
	Logger zerolog.Logger
}

// Router keeps a relay's knowledge up to date. It is safe for use by several goroutines.
type Router struct {
	opts Options

	mu    sync.Mutex
	self  peer.Info
	table *peer.Table
	// outage tells for each feed since when it cannot be read; absent while it can.
	outage map[string]time.Time
}

// New returns a router that knows nobody.
func New(o Options) *Router {
	o.Self.State = peer.StateStarting
	return &Router{opts: o, self: o.Self, table: peer.NewTable(o.Self.Name), outage: map[string]time.Time{}}
}

const (
	// catalogWait is how long a read of the catalog waits for news. A read proves its freshness for the
	// time at which it was sent, and keys that are taken away must be gone within seconds.
	catalogWait = time.Second
	// upstreamsWait is how long a read of the list of upstreams waits for news.
	upstreamsWait = 2 * time.Second
	// greetEvery is the time between two greetings of the other routers.
	greetEvery = 400 * time.Millisecond
	// greetTime bounds a greeting.
	greetTime = 350 * time.Millisecond
	// registerTime bounds a registration.
	registerTime = 1500 * time.Millisecond
	// retryPause is the pause after a failed call of the store.
	retryPause = 150 * time.Millisecond
	// borrowAge is the age from which a router takes the knowledge of others over.
	borrowAge = 1300 * time.Millisecond
)

// Run keeps the router up to date until ctx ends.
func (r *Router) Run(ctx context.Context) {
	var w sync.WaitGroup
	w.Go(func() {
		follow(ctx, r.opts.Store.Catalogs(), catalogWait, r.takeCatalogs, func(err error) { r.noteOutage("catalog", err) })
	})
	w.Go(func() {
		follow(ctx, r.opts.Store.Upstreams(), upstreamsWait, r.takeUpstreams, func(err error) { r.noteOutage("upstreams", err) })
	})
	w.Go(func() { r.register(ctx) })
	w.Go(func() { r.greetAll(ctx) })
	w.Wait()
}

func (r *Router) takeCatalogs(asOf time.Time, changes []services.Change[catalog.Catalog], _ bool) {
	r.opts.Relay.Know(func(s *knowledge.State) {
		for _, c := range changes {
			if c.Value != nil && s.Catalog(asOf, c.Value) {
				r.opts.Logger.Info().Uint64("version", uint64(c.Value.Version)).Int("routes", len(c.Value.Routes)).Msg("catalog-taken")
			}
		}
		if len(changes) == 0 && s.Index() != nil {
			s.Fresh(asOf, s.Index().Version)
		}
	})
	r.becomeReady()
}

func (r *Router) takeUpstreams(asOf time.Time, changes []services.Change[upstream.Instance], whole bool) {
	for _, c := range changes {
		state := "gone"
		if c.Value != nil {
			state = string(c.Value.State)
		}
		r.opts.Logger.Info().Str("upstream", c.Key).Str("state", state).Bool("whole", whole).Str("address", addressOf(c.Value)).Msg("upstream-listed")
	}
	r.opts.Relay.Know(func(s *knowledge.State) { s.Upstreams(time.Now(), asOf, changes, whole) })
	r.becomeReady()
}

// noteOutage logs the begin and the end of a feed's outage.
func (r *Router) noteOutage(name string, err error) {
	now := time.Now()
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
	r.mu.Lock()
	defer r.mu.Unlock()
	if complete && r.self.State == peer.StateStarting {
		r.self.State = peer.StateReady
		r.opts.Logger.Info().Msg("ready")
	}
}

// register registers the process and learns of the others.
func (r *Router) register(ctx context.Context) {
	for registered := false; ctx.Err() == nil; sleep.For(ctx, retryPause) {
		cctx, cancel := context.WithTimeout(ctx, registerTime)
		var failed error
		if !registered {
			failed = r.opts.Store.PutNode(cctx, r.Self())
			registered = failed == nil
		}
		nodes, _, err := r.opts.Store.Nodes().Snapshot(cctx)
		cancel()
		if err = errors.Join(failed, err); err != nil {
			r.opts.Logger.Warn().Err(err).Msg("registration-failed")
			continue
		}
		now := time.Now()
		r.mu.Lock()
		for _, n := range nodes {
			if n.Value != nil {
				r.table.Told(now, *n.Value)
			}
		}
		r.mu.Unlock()
		return
	}
}

// Reseed takes over the addresses of routers to begin with.
func (r *Router) Reseed(seeds []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.opts.Seeds = seeds
}

// Self returns what this process tells of itself.
func (r *Router) Self() peer.Info {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.self
}

// Leave tells the others that this process stops.
func (r *Router) Leave(ctx context.Context) {
	r.mu.Lock()
	r.self.State = peer.StateLeaving
	r.mu.Unlock()
	r.greet(ctx)
}

// Ready reports whether the process takes callers.
func (r *Router) Ready() bool { return r.Self().State == peer.StateReady }

// Addresses returns the addresses that callers should use.
func (r *Router) Addresses(now time.Time) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []string
	if r.self.State == peer.StateReady {
		out = append(out, r.self.Callers)
	}
	for _, n := range r.table.Live(now, vm.RoleRouter) {
		if n.State == peer.StateReady {
			out = append(out, n.Callers)
		}
	}
	slices.Sort(out)
	return out
}

func addressOf(i *upstream.Instance) string {
	if i == nil {
		return ""
	}
	return i.Address
}
