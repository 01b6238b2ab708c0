// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package rank

import (
	"context"
	"sync"
	"time"

	"fawnwinch.org/fawnwinch/models/catalog"
	"fawnwinch.org/fawnwinch/models/group"
	"fawnwinch.org/fawnwinch/models/vm"
	"fawnwinch.org/fawnwinch/modules/sleep"
	"fawnwinch.org/fawnwinch/services"
	"fawnwinch.org/fawnwinch/services/peer"
)

// foreignValid is how long an agent counts as one of another group once it has said so. Groups change when their ranks
// start anew, which takes seconds.
const foreignValid = 2 * time.Second

// surroundings is what a coordinator has read in the store: the other processes, and the figures of its engine.
type surroundings struct {
	// at is when the processes were read.
	at              time.Time
	routers, agents []peer.Info
	engine          *catalog.Engine
	// goal is the shortest pause goal of the routes to the service; 0 if there is none.
	goal time.Duration
}

// followNodes reads the processes in an interval until ctx ends, after a failure sooner, and hands over what it
// finds. The store may be slow or away for long, so nothing else waits for it.
func (c *coordinator) followNodes(ctx context.Context, every, afterFailure time.Duration) {
	var s surroundings
	for ctx.Err() == nil {
		pause := every
		if c.read(ctx, &s) {
			found := s
			c.found.Store(&found)
		} else {
			pause = afterFailure
		}
		sleep.For(ctx, pause)
	}
}

// read reads the list of processes and, once, the figures of the engine. It reports whether the list was read.
func (c *coordinator) read(ctx context.Context, s *surroundings) bool {
	cctx, cancel := context.WithTimeout(ctx, claimTime)
	defer cancel()
	now := time.Now()
	nodes, _, err := c.a.opts.Store.Nodes().Snapshot(cctx)
	if err != nil {
		c.a.opts.Logger.Warn().Err(err).Msg("nodes-unread")
		return false
	}
	s.at, s.routers, s.agents = now, nil, nil
	for _, n := range nodes {
		switch {
		case n.Value == nil:
		case n.Value.Role == vm.RoleRouter:
			s.routers = append(s.routers, *n.Value)
		case n.Value.Service == c.service && n.Key != c.a.opts.Self.Name:
			s.agents = append(s.agents, *n.Value)
		}
	}
	if s.engine != nil {
		return true
	}
	catalogs, _, err := c.a.opts.Store.Catalogs().Snapshot(cctx)
	if err != nil {
		c.a.opts.Logger.Warn().Err(err).Msg("catalog-unread")
		return true
	}
	for _, k := range catalogs {
		if k.Value != nil {
			s.take(k.Value, c.service)
		}
	}
	return true
}

// take keeps what the catalog says of a service.
func (s *surroundings) take(k *catalog.Catalog, service string) {
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
		}
	}
}

// look asks all ranks for their load.
func (c *coordinator) look(ctx context.Context, counts bool) {
	counted := map[string]bool{}
	if counts {
		counted = c.counted(time.Now())
		c.dropCounts(counted)
	}
	var own Reply
	if err := c.a.status(c.ask(c.a.opts.Self, counted), &own); err == nil {
		c.take(c.a.opts.Self, own)
	}
	c.lost = c.lost || c.a.hear(time.Now(), c.authority) != c.authority
	replies := make([]*Reply, len(c.agents))
	var w sync.WaitGroup
	for i, n := range c.agents {
		if c.skips(time.Now(), n) {
			continue
		}
		ask := c.ask(n, counted)
		w.Go(func() { replies[i] = c.askAgent(ctx, n, ask) })
	}
	w.Wait()
	for i, r := range replies {
		if r == nil {
			continue
		}
		if r.Foreign {
			c.foreign[c.agents[i].Name] = time.Now()
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

// skips reports whether an agent need not be asked in a look: it has lately said that its rank is of another group.
func (c *coordinator) skips(now time.Time, n peer.Info) bool {
	told, ok := c.foreign[n.Name]
	return ok && now.Sub(told) < foreignValid
}

// ask returns the question for the agent of a rank. Counted holds the engines whose counts are wanted.
func (c *coordinator) ask(n peer.Info, counted map[string]bool) Ask {
	a := Ask{Group: c.first.Group, Authority: c.authority, Counts: counted[n.Engine]}
	if m := c.memberOf(n); m != nil && a.Counts {
		a.Since = m.counts.number
	}
	return a
}

func (c *coordinator) askAgent(ctx context.Context, n peer.Info, ask Ask) *Reply {
	cctx, cancel := context.WithTimeout(ctx, peerTime)
	defer cancel()
	var r Reply
	if err := c.a.opts.Pool.Call(cctx, n.Address, "Rank.Status", ask, &r); err != nil {
		c.a.opts.Logger.Debug().Str("agent", n.Name).Err(err).Msg("agent-silent")
		return nil
	}
	return &r
}

// askDirectly asks the engines of known ranks whose agents have been silent for a while.
func (c *coordinator) askDirectly(ctx context.Context) {
	now := time.Now()
	for _, n := range c.agents {
		if c.skips(now, n) {
			continue
		}
		m := c.memberOf(n)
		if m != nil && (now.Sub(m.heard) < directEvery || now.Sub(m.asked) < directEvery) {
			continue
		}
		if m == nil && now.Sub(c.at) > directEvery {
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
	if r.Start != 0 {
		m.start = r.Start
	}
	m.counts.add(r.Counts)
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

// statusesBut returns the one rank that has not answered for some looks, and the status of all others; false if it is
// not one, or the others differ in epoch or have not answered lately.
func (c *coordinator) statusesBut(now time.Time) (silent group.Rank, out []services.RankStatus, ok bool) {
	out = make([]services.RankStatus, len(c.members))
	var epoch services.Epoch
	count := 0
	for r, m := range c.members {
		if !m.known || now.Sub(m.heard) > missingAfter {
			silent = group.Rank(r)
			count++
			continue
		}
		if epoch == 0 {
			epoch = m.status.Epoch
		}
		if m.status.Epoch != epoch || !m.status.Open {
			return 0, nil, false
		}
		out[r] = m.status
	}
	return silent, out, count == 1 && len(c.members) > 1
}
