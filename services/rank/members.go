// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package rank

import (
	"context"
	"sync"
	"time"

	"fawnwinch.org/fawnwinch/models/catalog"
	"fawnwinch.org/fawnwinch/models/vm"
	"fawnwinch.org/fawnwinch/services"
	"fawnwinch.org/fawnwinch/services/peer"
)

// readNodes reads the list of processes and, once, the figures of the engine.
func (c *coordinator) readNodes(ctx context.Context) {
	cctx, cancel := context.WithTimeout(ctx, claimTime)
	defer cancel()
	c.nodesAt = time.Now()
	nodes, _, err := c.a.opts.Store.Nodes().Snapshot(cctx)
	if err != nil {
		c.a.opts.Logger.Warn().Err(err).Msg("nodes-unread")
		return
	}
	c.routers, c.agents = nil, nil
	for _, n := range nodes {
		switch {
		case n.Value == nil:
		case n.Value.Role == vm.RoleRouter:
			c.routers = append(c.routers, *n.Value)
		case n.Value.Service == c.service && n.Key != c.a.opts.Self.Name:
			c.agents = append(c.agents, *n.Value)
		}
	}
	if c.engine != nil {
		return
	}
	catalogs, _, err := c.a.opts.Store.Catalogs().Snapshot(cctx)
	if err != nil {
		c.a.opts.Logger.Warn().Err(err).Msg("catalog-unread")
		return
	}
	for _, k := range catalogs {
		if k.Value != nil {
			c.takeFigures(k.Value)
		}
	}
}

// takeFigures keeps what the catalog says of the service.
func (c *coordinator) takeFigures(k *catalog.Catalog) {
	for i := range k.Services {
		if s := &k.Services[i]; string(s.ID) == c.service {
			c.engine = s.Engine
		}
	}
	for i := range k.Routes {
		r := &k.Routes[i]
		for _, t := range r.Targets {
			if string(t.Service) == c.service && r.PauseGoal > 0 && (c.goal == 0 || r.PauseGoal < c.goal) {
				c.goal = r.PauseGoal
			}
		}
	}
}

// look asks all ranks for their load.
func (c *coordinator) look(ctx context.Context, counts bool) {
	var own Reply
	if err := c.a.status(counts, &own); err == nil {
		c.take(c.a.opts.Self, own)
	}
	c.lost = c.lost || c.a.hear(time.Now(), c.authority) != c.authority
	replies := make([]*Reply, len(c.agents))
	var w sync.WaitGroup
	for i, n := range c.agents {
		w.Go(func() { replies[i] = c.askAgent(ctx, n, counts) })
	}
	w.Wait()
	for i, r := range replies {
		if r == nil || r.Foreign {
			continue
		}
		if r.Authority != c.authority {
			c.lost = true
			continue
		}
		c.take(c.agents[i], *r)
	}
	c.askDirectly(ctx)
	now := time.Now()
	heard := 0
	for _, m := range c.members {
		if m.known && now.Sub(m.heard) < time.Second {
			heard++
		}
	}
	if 2*heard > len(c.members) {
		c.reached = now
	}
}

func (c *coordinator) askAgent(ctx context.Context, n peer.Info, counts bool) *Reply {
	cctx, cancel := context.WithTimeout(ctx, peerTime)
	defer cancel()
	var r Reply
	if err := c.a.opts.Pool.Call(cctx, n.Address, "Rank.Status", Ask{Group: c.first.Group, Authority: c.authority, Counts: counts}, &r); err != nil {
		c.a.opts.Logger.Debug().Str("agent", n.Name).Err(err).Msg("agent-silent")
		return nil
	}
	return &r
}

// askDirectly asks the engines of known ranks whose agents have been silent for a while.
func (c *coordinator) askDirectly(ctx context.Context) {
	now := time.Now()
	for _, n := range c.agents {
		m := c.memberOf(n)
		if m != nil && (now.Sub(m.heard) < directEvery || now.Sub(m.asked) < directEvery) {
			continue
		}
		if m == nil && now.Sub(c.nodesAt) > directEvery {
			continue
		}
		cctx, cancel := context.WithTimeout(ctx, peerTime)
		s, err := c.a.opts.Dial(n.Engine).Status(cctx)
		cancel()
		if m != nil {
			m.asked = now
		}
		c.a.opts.Logger.Info().Str("agent", n.Name).Str("engine", n.Engine).Int("rank", int(s.Rank)).Uint64("step", uint64(s.Step)).
			Bool("holds", s.Holds).Err(err).Msg("engine-asked-directly")
		if err == nil {
			c.take(n, Reply{Status: s})
		}
	}
}

func (c *coordinator) memberOf(n peer.Info) *member {
	for _, m := range c.members {
		if m.known && m.info.Engine == n.Engine {
			return m
		}
	}
	return nil
}

// take notes a rank's reply.
func (c *coordinator) take(n peer.Info, r Reply) {
	if int(r.Status.Rank) >= len(c.members) || r.Status.Size != len(c.members) || r.Status.Group != c.first.Group {
		return
	}
	m := c.members[r.Status.Rank]
	m.info, m.status, m.heard, m.known = n, r.Status, time.Now(), true
	if len(r.Counts.Counts) > 0 {
		m.counts = r.Counts
	}
}

// statuses returns the latest status of every rank, or false if one is not known or they differ in epoch.
func (c *coordinator) statuses(now time.Time) ([]services.RankStatus, bool) {
	out := make([]services.RankStatus, len(c.members))
	for i, m := range c.members {
		if !m.known || now.Sub(m.heard) > 2*directEvery || m.status.Epoch != c.members[0].status.Epoch || !m.status.Open {
			return nil, false
		}
		out[i] = m.status
	}
	return out, true
}
