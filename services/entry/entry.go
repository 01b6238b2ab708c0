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
	"fawnwinch.org/fawnwinch/models/group"
	"fawnwinch.org/fawnwinch/models/upstream"
	"fawnwinch.org/fawnwinch/models/vm"
	"fawnwinch.org/fawnwinch/modules/rpc"
	"fawnwinch.org/fawnwinch/modules/setting"
	"fawnwinch.org/fawnwinch/modules/sleep"
	"fawnwinch.org/fawnwinch/services"
	"fawnwinch.org/fawnwinch/services/balance"
	"fawnwinch.org/fawnwinch/services/knowledge"
	"fawnwinch.org/fawnwinch/services/peer"
	"fawnwinch.org/fawnwinch/services/relay"
	"fawnwinch.org/fawnwinch/services/watch"

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
	Bounds setting.Bounds
}

// Router keeps a relay's knowledge up to date. It is safe for use by several goroutines.
type Router struct {
	opts      Options
	catalogs  *follower[catalog.Catalog]
	upstreams *follower[upstream.Instance]

	mu    sync.Mutex
	self  peer.Info
	table *peer.Table
	// outage tells for each feed since when it cannot be read; absent while it can.
	outage map[string]time.Time
	// lists holds the list of ranks by which the coordinator of each group tells its load.
	lists map[group.ID]balance.RankList
}

// New returns a router that knows nobody.
func New(o Options) *Router {
	o.Self.State = peer.StateStarting
	r := &Router{opts: o, self: o.Self, table: peer.NewTable(o.Self.Name), outage: map[string]time.Time{}, lists: map[group.ID]balance.RankList{}}
	r.catalogs = newFollower(r, feedCatalogs, o.Store.Catalogs(), calls{news: "Router.CatalogNews", whole: "Router.Catalogs"})
	r.catalogs.mark = func() knowledge.Mark { return r.mark((*knowledge.State).Catalogs) }
	r.catalogs.take = r.takeCatalogs
	r.upstreams = newFollower(r, feedUpstreams, o.Store.Upstreams(), calls{news: "Router.UpstreamNews", whole: "Router.Upstreams"})
	r.upstreams.mark = func() knowledge.Mark { return r.mark((*knowledge.State).Upstreams) }
	r.upstreams.take = r.takeUpstreams
	r.rebound(o.Bounds)
	return r
}

// rankList returns the list of ranks for a report, and keeps it if the report brings one.
func (r *Router) rankList(report *balance.Report) balance.RankList {
	r.mu.Lock()
	defer r.mu.Unlock()
	if list, ok := report.Carried(); ok {
		r.lists[report.ID] = list
	}
	return r.lists[report.ID]
}

// The feeds that routers follow, as they are called in logs.
const (
	feedCatalogs  = "catalogs"
	feedUpstreams = "upstreams"
)

const (
	// greetEvery is the time between two greetings of the other routers.
	greetEvery = 400 * time.Millisecond
	// greetTime bounds a greeting.
	greetTime = 350 * time.Millisecond
	// registerTime bounds a registration.
	registerTime = 1500 * time.Millisecond
	// registerPause is the pause after a registration that failed.
	registerPause = 150 * time.Millisecond
)

// Run keeps the router up to date until ctx ends.
func (r *Router) Run(ctx context.Context) {
	var w sync.WaitGroup
	w.Go(func() { r.catalogs.run(ctx) })
	w.Go(func() { r.upstreams.run(ctx) })
	w.Go(func() { r.register(ctx) })
	w.Go(func() { r.greetAll(ctx) })
	w.Wait()
}

// reads reports whether this router reads a feed for all.
func (r *Router) reads(now time.Time, feed string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	var names []string
	if r.self.State != peer.StateLeaving {
		names = append(names, r.self.Name)
	}
	for _, n := range r.table.Live(now, vm.RoleRouter) {
		if n.State != peer.StateLeaving && !n.StoreLost {
			names = append(names, n.Name)
		}
	}
	return watch.Reader(feed, names) == r.self.Name
}

func (r *Router) mark(of func(*knowledge.State) knowledge.Mark) knowledge.Mark {
	var m knowledge.Mark
	r.opts.Relay.Know(func(s *knowledge.State) { m = of(s) })
	return m
}

func (r *Router) takeCatalogs(p knowledge.Part[catalog.Catalog]) knowledge.Fit {
	var fit knowledge.Fit
	var before, after *catalog.Index
	r.opts.Relay.Know(func(s *knowledge.State) {
		before = s.Index()
		fit = s.TakeCatalogs(p)
		after = s.Index()
	})
	if before != after {
		r.opts.Logger.Info().Uint64("version", uint64(after.Version)).Int("routes", len(after.Routes)).Uint64("offset", uint64(p.Next)).
			Bool("told", p.AsOf.IsZero()).Msg("catalog-taken")
	}
	r.becomeReady()
	return fit
}

func (r *Router) takeUpstreams(p knowledge.Part[upstream.Instance]) knowledge.Fit {
	var fit knowledge.Fit
	r.opts.Relay.Know(func(s *knowledge.State) { fit = s.TakeUpstreams(time.Now(), p) })
	if fit == knowledge.FitNews {
		r.noteUpstreams(p)
	}
	r.becomeReady()
	return fit
}

func (r *Router) noteUpstreams(p knowledge.Part[upstream.Instance]) {
	for _, c := range p.Changes {
		state := "gone"
		if c.Value != nil {
			state = string(c.Value.State)
		}
		r.opts.Logger.Info().Str("upstream", c.Key).Str("state", state).Bool("whole", p.Whole).Bool("told", p.AsOf.IsZero()).
			Uint64("offset", uint64(p.Next)).Str("address", addressOf(c.Value)).Msg("upstream-listed")
	}
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
	for registered := false; ctx.Err() == nil; sleep.For(ctx, registerPause) {
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
	return r.self
}

// Leave tells the others that this process stops.
func (r *Router) Leave(ctx context.Context) {
	r.mu.Lock()
	r.self.State = peer.StateLeaving
	r.mu.Unlock()
	var w sync.WaitGroup
	r.greet(ctx, &w, func(peer.Info, int) bool { return true })
	w.Wait()
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
