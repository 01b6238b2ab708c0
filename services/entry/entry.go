// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package entry is the I/O layer of the router's control plane: it follows the platform's store,
// exchanges gossip with the other routers, and answers which routers callers should use.
package entry

import (
	"context"
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

// Store is the part of the platform's store that a router uses.
type Store interface {
	Catalogs() services.Feed[catalog.Update]
	Upstreams() services.Feed[upstream.Instance]
	Nodes() services.Feed[peer.Info]
	// PutNodes registers processes.
	PutNodes(ctx context.Context, nodes []peer.Info) error
	// Quarantined returns the feed of quarantined requests: those refused because upstreams crashed
	// while running them.
	Quarantined() services.Feed[quarantine.Entry]
	// PutQuarantined stores entries of such requests, and deletes others by name.
	PutQuarantined(ctx context.Context, entries []quarantine.Entry, drop []string) error
	// Era returns the newest era that the store has reported.
	Era() services.Era
}

// Options holds the dependencies of a Router.
type Options struct {
	Self   peer.Info
	Seeds  []string
	Store  Store
	Pool   *rpc.Pool
	Relay  *relay.Relay
	Logger zerolog.Logger
	Bounds setting.Bounds
	// Grace is the time between the order to stop and the kill, for all routers.
	Grace time.Duration
	// Regions holds the regions of the data centres.
	Regions vm.Regions
}

// Router keeps the state of a relay up to date. It is safe for concurrent use.
type Router struct {
	opts      Options
	catalogs  *follower[catalog.Update]
	upstreams *follower[upstream.Instance]

	// started is the start time of this router.
	started time.Time
	// gossipDue triggers a gossip round.
	gossipDue chan struct{}

	mu    sync.Mutex
	table *peer.Table
	// meter measures the processor time of this process.
	meter usage.Meter
	// inFlight holds the addresses with a gossip exchange in flight.
	inFlight map[string]bool
	// registered holds the addresses of the other routers that are registered in the store, and
	// uncontacted those that are still to be contacted because no gossip mentioned them.
	registered, uncontacted []string
	// registryRead reports whether the registered routers were read.
	registryRead bool
	// outageSince holds the start of the current outage of each feed; absent while the feed is
	// readable.
	outageSince map[string]time.Time
	// noneServing reports whether callers were sent to no router in the latest gossip round.
	noneServing bool
	// groups holds the state of the model groups.
	groups map[group.ID]groupState
	// unreported tracks the ranks that no coordinator reports. Only the gossip loop uses it.
	unreported map[service.ID]unreported
	// searchRequests receives the services with ranks whose load is not reported.
	searchRequests chan service.ID
	// mergedMarks holds the watermarks up to which the state of other routers was merged, by
	// address. ahead receives the address of a router that is ahead of its watermark.
	mergedMarks map[string]Watermarks
	ahead       chan string
	// refreshes receives a router whose state of a feed is fresher than that of this one.
	refreshes chan refresh
	// firstKnownEra is the first store era known to this process; nil until an era is known.
	firstKnownEra *services.Era
	// ledger counts the permits granted by this router.
	ledger *quota.Ledger
	// agentRegistrations receives the agents that want to be registered in the store.
	agentRegistrations chan agentRegistration
}

// New returns a router that knows no other routers.
func New(o Options) *Router {
	now := clock.Now()
	o.Self.State = peer.StateStarting
	r := &Router{
		opts: o, started: now, table: peer.NewTable(now, o.Self), gossipDue: make(chan struct{}, 1), inFlight: map[string]bool{},
		outageSince: map[string]time.Time{}, noneServing: true, groups: map[group.ID]groupState{}, unreported: map[service.ID]unreported{}, searchRequests: make(chan service.ID, 1),
		mergedMarks: map[string]Watermarks{}, ahead: make(chan string, 1), refreshes: make(chan refresh, 1),
		ledger: quota.NewLedger(), agentRegistrations: make(chan agentRegistration, maxBatch),
	}
	r.catalogs = newFollower(r, feedCatalogs, o.Store.Catalogs(), (*knowledge.State).Catalogs)
	r.catalogs.apply, r.catalogs.pull, r.catalogs.version, r.catalogs.proofFrom = r.applyCatalogs, r.pullCatalogs, r.version, r.proofFrom
	r.upstreams = newFollower(r, feedUpstreams, o.Store.Upstreams(), (*knowledge.State).Upstreams)
	r.upstreams.apply, r.upstreams.pull = r.applyUpstreams, r.pullUpstreams
	r.setBounds(o.Bounds)
	o.Relay.OnUnreported(r.requestSearch)
	o.Relay.OnCrash(r.triggerGossip)
	o.Relay.SetPermits(r)
	return r
}

// newFollower returns the follower of one of a router's feeds. The caller still has to set apply
// and pull.
func newFollower[T any](r *Router, name string, feed services.Feed[T], mark func(*knowledge.State) knowledge.Watermark) *follower[T] {
	return &follower[T]{
		name: name, feed: feed, logger: r.opts.Logger, wake: make(chan struct{}, 1), ahead: make(chan string, 1),
		mark:      func() knowledge.Watermark { return r.mark(mark) },
		isReader:  func(now time.Time) bool { return r.isReader(now, name) },
		startWait: r.startWait,
		notify:    r.triggerGossip,
		spreads:   r.spreadsFreshness,
		era:       r.era,
		onRead:    func(err error) { r.noteOutage(name, err) },
	}
}

// The names of the feeds that routers follow, as used in logs.
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
	w.Go(func() { r.registerAgents(ctx) })
	w.Go(func() { r.runGossip(ctx) })
	w.Go(func() { r.runSearches(ctx) })
	w.Go(func() { r.runPulls(ctx) })
	w.Go(func() { r.runRefreshes(ctx) })
	w.Wait()
}

func (r *Router) mark(of func(*knowledge.State) knowledge.Watermark) knowledge.Watermark {
	var m knowledge.Watermark
	r.opts.Relay.WithState(func(s *knowledge.State) { m = of(s) })
	return m
}

// version returns the version of the catalog in force.
func (r *Router) version() catalog.Version {
	var v catalog.Version
	r.opts.Relay.WithState(func(s *knowledge.State) { v = s.Version() })
	return v
}

// proofFrom returns the time from which reads can confirm the catalog as the newest after a restore
// of the store, and whether that confirmation is still missing.
func (r *Router) proofFrom() (from time.Time, ok bool) {
	r.opts.Relay.WithState(func(s *knowledge.State) { from, ok = s.ProofFrom() })
	return from, ok
}

// era returns the newest known era of the store, from the store's responses or from other routers.
func (r *Router) era() services.Era {
	era := r.opts.Store.Era()
	r.opts.Relay.WithState(func(s *knowledge.State) { era = max(era, s.Catalogs().Next.Era, s.Upstreams().Next.Era) })
	return era
}

// firstEra returns the first store era known to this process. If none is known yet, the given one
// is recorded.
func (r *Router) firstEra(known services.Era) services.Era {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.firstKnownEra == nil {
		r.firstKnownEra = &known
	}
	return *r.firstKnownEra
}

// noteOutage logs the start and the end of a feed's outage.
func (r *Router) noteOutage(name string, err error) {
	now := clock.Now()
	r.mu.Lock()
	since, out := r.outageSince[name]
	switch {
	case err != nil && !out:
		r.outageSince[name] = now
	case err == nil:
		delete(r.outageSince, name)
	}
	r.mu.Unlock()
	switch {
	case err != nil && !out:
		r.opts.Logger.Warn().Str("feed", name).Err(err).Msg("store-lost")
	case err == nil && out:
		r.opts.Logger.Info().Str("feed", name).Int64("outage_ms", now.Sub(since).Milliseconds()).Msg("store-back")
	}
}

// becomeReady begins to accept callers once the state is complete.
func (r *Router) becomeReady() {
	complete := false
	r.opts.Relay.WithState(func(s *knowledge.State) { complete = s.Complete() })
	if complete && r.Self().State == peer.StateStarting {
		r.setState(peer.StateReady)
		r.opts.Logger.Info().Msg("ready")
	}
}

// setState changes the state of this process, and notifies the neighbours.
func (r *Router) setState(s peer.State) {
	r.updateTable(func(now time.Time) {
		self := r.table.Self()
		self.State = s
		r.table.UpdateSelf(now, self)
	})
}

// Reload applies new settings: the seeds and the bounds.
func (r *Router) Reload(seeds []string, b setting.Bounds) {
	r.setBounds(b)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.opts.Seeds = seeds
}

// setBounds sets the bounds on the time until catalogs are in force and until leaving upstreams get
// no more work.
func (r *Router) setBounds(b setting.Bounds) {
	r.catalogs.setTimes(watch.NewTimes(b.ApplyTime))
	r.upstreams.setTimes(watch.NewTimes(b.DrainTime))
}

// Self returns the information that this process publishes about itself.
func (r *Router) Self() peer.Info {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.table.Self()
}
