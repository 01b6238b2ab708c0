// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package rank

import (
	"context"
	"fmt"
	"slices"
	"time"

	"fawnwinch.org/fawnwinch/models/catalog"
	"fawnwinch.org/fawnwinch/models/vm"
	"fawnwinch.org/fawnwinch/modules/clock"
	"fawnwinch.org/fawnwinch/modules/sleep"
	"fawnwinch.org/fawnwinch/services"
	"fawnwinch.org/fawnwinch/services/peer"
)

// clusterView is what a coordinator has read from the store: the other processes, and the
// parameters of its engine.
type clusterView struct {
	// at is when the processes were read, and era that of the store then.
	at              time.Time
	era             services.Era
	routers, agents []peer.Info
	// listed reports whether this process is among them.
	listed bool
	// unlisted holds the agents that the store listed before it was restored from a copy, and not
	// since.
	unlisted []peer.Info
	engine   *catalog.Engine
	// goal is the shortest pause goal of the routes to the service; 0 if there is none.
	goal time.Duration
	// firstEventGoal is the shortest goal of these routes for the first event; 0 if there is none.
	firstEventGoal time.Duration
}

// followNodes reads the processes at an interval until ctx ends, sooner after a failure and while
// agents of ranks are missing, and publishes what it finds. The store may be slow or unavailable
// for long, so nothing else waits for it.
func (c *coordinator) followNodes(ctx context.Context, every, afterFailure time.Duration) {
	var s clusterView
	if found := c.found.Load(); found != nil {
		s = *found
	}
	pause := afterFailure
	for ctx.Err() == nil {
		if c.read(ctx, &s) {
			found := s
			c.found.Store(&found)
			pause = min(2*pause, every)
			if len(s.agents)+1 >= c.first.Size {
				pause = every
			}
		} else {
			pause = afterFailure
		}
		sleep.For(ctx, pause)
	}
}

// read reads the list of processes, unless it was read recently, and, once, the parameters of the
// engine. It reports whether the list is known.
func (c *coordinator) read(ctx context.Context, s *clusterView) bool {
	cctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if now := clock.Now(); now.Sub(s.at) >= storeRetryInterval {
		if err := s.readNodes(cctx, now, c.a.opts); err != nil {
			c.logger.Warn().Err(err).Msg("nodes-unread")
			return false
		}
		c.registerUnlisted(cctx, s)
	}
	if s.engine != nil {
		return true
	}
	catalogs, _, err := c.a.opts.Store.Catalogs().Snapshot(cctx)
	if err != nil {
		c.logger.Warn().Err(err).Msg("catalog-unread")
		return true
	}
	for _, k := range catalogs {
		if k.Value != nil && k.Value.Catalog != nil {
			s.addCatalog(k.Value.Catalog, c.service)
		}
	}
	return true
}

// registerUnlisted registers the agents that the store has lost, and this one, with one call. Those
// agents stay coordinated meanwhile.
func (c *coordinator) registerUnlisted(ctx context.Context, s *clusterView) {
	missing := slices.Clone(s.unlisted)
	if !s.listed {
		missing = append(missing, c.a.opts.Self)
	}
	if len(missing) == 0 {
		return
	}
	if err := c.a.opts.Store.PutNodes(ctx, missing); err != nil {
		c.logger.Warn().Int("agents", len(missing)).Err(err).Msg("agents-not-registered")
		return
	}
	c.logger.Info().Int("agents", len(missing)).Uint64("era", uint64(s.era)).Msg("agents-registered")
}

// readNodes reads the list of processes. Agents that were known before the store was restored from
// a copy stay in the view until they are listed again, and routers until the next read: they
// register by themselves.
func (s *clusterView) readNodes(ctx context.Context, now time.Time, o Options) error {
	nodes, end, err := o.Store.Nodes().Snapshot(ctx)
	if err != nil {
		return fmt.Errorf("read processes: %w", err)
	}
	known, routers := s.unlisted, []peer.Info(nil)
	if end.Era > s.era {
		known, routers = s.agents, s.routers
	}
	s.at, s.era, s.routers, s.agents, s.listed = now, end.Era, nil, nil, false
	listed := map[string]bool{}
	for _, n := range nodes {
		listed[n.Key] = true
		switch {
		case n.Value == nil:
		case n.Key == o.Self.Name:
			s.listed = n.Value.Address == o.Self.Address
		case n.Value.Role == vm.RoleRouter:
			s.routers = append(s.routers, *n.Value)
		case n.Value.Service == o.Self.Service:
			s.agents = append(s.agents, *n.Value)
		}
	}
	isListed := func(p peer.Info) bool { return listed[p.Name] }
	s.unlisted = slices.DeleteFunc(slices.Clone(known), isListed)
	s.agents = append(s.agents, s.unlisted...)
	s.routers = append(s.routers, slices.DeleteFunc(slices.Clone(routers), isListed)...)
	return nil
}

// addCatalog records the catalog's entries for a service.
func (s *clusterView) addCatalog(k *catalog.Catalog, service string) {
	for i := range k.Services {
		if v := &k.Services[i]; string(v.ID) == service {
			s.engine = v.Engine
		}
	}
	for i := range k.Routes {
		r := &k.Routes[i]
		for _, t := range r.Targets {
			if string(t.Service) == service && r.PauseGoal > 0 && (s.goal == 0 || r.PauseGoal < s.goal) {
				s.goal = r.PauseGoal
			}
			if string(t.Service) == service && r.Goal > 0 && (s.firstEventGoal == 0 || r.Goal < s.firstEventGoal) {
				s.firstEventGoal = r.Goal
			}
		}
	}
}
