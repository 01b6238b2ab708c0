// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package rank

import (
	"context"
	"sync"
	"time"

	"fawnwinch.org/fawnwinch/models/catalog"
	"fawnwinch.org/fawnwinch/models/expertmap"
	"fawnwinch.org/fawnwinch/models/group"
	"fawnwinch.org/fawnwinch/models/vm"
	"fawnwinch.org/fawnwinch/services"
	"fawnwinch.org/fawnwinch/services/balance"
	"fawnwinch.org/fawnwinch/services/peer"
)

const (
	// lookEvery is the time between two looks at the ranks. Demand shifts every few seconds; the time of
	// a look is part of the time in which steps are too long.
	lookEvery = 70 * time.Millisecond
	// nodesEvery is the time between two reads of the list of processes.
	nodesEvery = 4 * time.Second
	// alone is how long a coordinator goes on that reaches less than half of the ranks.
	alone = 1500 * time.Millisecond
	// directEvery is the time between two direct questions to an engine whose agent is silent: they are paid for.
	directEvery = time.Second
	// reportTime bounds telling a router.
	reportTime = 300 * time.Millisecond
)

// member is one rank as the coordinator sees it.
type member struct {
	info   peer.Info
	status services.RankStatus
	// heard is the time of the latest status; asked the latest direct question.
	heard, asked time.Time
	counts       services.RankCounts
	known        bool
}

// coordinator is one agent's time as coordinator.
type coordinator struct {
	a         *Agent
	authority Authority
	service   string
	fence     services.Fence
	first     services.RankStatus
	engine    *catalog.Engine
	// goal is the shortest pause goal of the routes to the service.
	goal    time.Duration
	nodesAt time.Time
	routers []peer.Info
	agents  []peer.Info
	// members holds the ranks, in their order.
	members []*member
	planner *planner
	// pending is the version that all ranks are armed with, until its pass has begun.
	pending expertmap.Version
	// version is the latest that this coordinator has given out. Each authority has a range of its own,
	// above those of all earlier ones: a rank takes no version that is not above all it had.
	version expertmap.Version
	// notedAt and notedStep are when the load of the group was last logged, and its pass then.
	notedAt   time.Time
	notedStep group.Step
	reached   time.Time
	lost      bool
	sending   sync.WaitGroup

	mu sync.Mutex
	// unstarted holds what each router has told.
	unstarted map[string]told
}

func newCoordinator(a *Agent, au Authority, s services.RankStatus) *coordinator {
	c := &coordinator{a: a, authority: au, fence: au.fence(), version: expertmap.Version(au.fence()), service: a.opts.Self.Service, first: s, reached: time.Now(), unstarted: map[string]told{}}
	c.members = make([]*member, s.Size)
	for i := range c.members {
		c.members[i] = &member{}
	}
	return c
}

// run coordinates until the authority is lost, and says why.
func (c *coordinator) run(ctx context.Context) string {
	defer c.sending.Wait()
	for ctx.Err() == nil {
		begun := time.Now()
		if begun.Sub(c.nodesAt) > nodesEvery {
			c.readNodes(ctx)
		}
		c.look(ctx, true)
		now := time.Now()
		switch {
		case c.lost:
			return "another coordinator has a higher authority"
		case now.Sub(c.reached) > alone:
			return "most ranks are out of reach"
		}
		c.note(now)
		c.tellRouters(ctx, now)
		c.improve(ctx, now)
		sleep(ctx, lookEvery-time.Since(begun))
	}
	return "process stops"
}

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
		if r == nil {
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
	if err := c.a.opts.Pool.Call(cctx, n.Address, "Rank.Status", Ask{Authority: c.authority, Counts: counts}, &r); err != nil {
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

// noteEvery is the time between two lines on the load of the group.
const noteEvery = 500 * time.Millisecond

// note logs the load of the group from time to time.
func (c *coordinator) note(now time.Time) {
	if now.Sub(c.notedAt) < noteEvery {
		return
	}
	var most, sum, waiting int
	var step group.Step
	for _, m := range c.members {
		most, sum, waiting = max(most, m.status.Running), sum+m.status.Running, waiting+m.status.Waiting
		step = max(step, m.status.Step)
	}
	pass := 0.0
	if step > c.notedStep {
		pass = now.Sub(c.notedAt).Seconds() * 1000 / float64(step-c.notedStep)
	}
	skew := 0.0
	if c.planner != nil {
		skew = c.planner.skew
	}
	c.a.opts.Logger.Info().Int("running", sum).Int("fullest", most).Int("waiting", waiting).Uint64("step", uint64(step)).
		Float64("pass_ms", pass).Float64("skew", skew).Msg("group-load")
	c.notedAt, c.notedStep = now, step
}

// tellRouters tells all routers the load of the group.
func (c *coordinator) tellRouters(ctx context.Context, now time.Time) {
	g := balance.Group{Service: c.service, Open: true}
	for _, m := range c.members {
		if m.known && now.Sub(m.heard) < 2*directEvery {
			g.Open = g.Open && m.status.Open
			g.Ranks = append(g.Ranks, balance.RankLoad{
				Address: m.info.Engine, Running: m.status.Running, Waiting: m.status.Waiting, Unstarted: c.unstartedAt(now, m.info.Engine), Pace: m.status.Pace,
			})
		}
	}
	if c.planner != nil {
		g.Skew = c.planner.skew
	}
	for _, n := range c.routers {
		c.sending.Go(func() {
			cctx, cancel := context.WithTimeout(ctx, reportTime)
			defer cancel()
			var r struct{ Unstarted balance.Unstarted }
			if err := c.a.opts.Pool.Call(cctx, n.Address, "Router.Report", g, &r); err != nil {
				c.a.opts.Logger.Debug().Str("router", n.Name).Err(err).Msg("router-silent")
				return
			}
			c.mu.Lock()
			defer c.mu.Unlock()
			c.unstarted[n.Name] = told{at: time.Now(), requests: r.Unstarted}
		})
	}
}

// told is what a router has said of its requests that have not begun.
type told struct {
	at       time.Time
	requests balance.Unstarted
}

// unstartedAt returns the requests at a rank that have not begun, as the routers told lately.
func (c *coordinator) unstartedAt(now time.Time, engine string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	sum := 0
	for _, t := range c.unstarted {
		if now.Sub(t.at) < time.Second {
			sum += t.requests[engine]
		}
	}
	return sum
}

// improve changes the expert map if that pays, after it has settled what an earlier coordinator left.
func (c *coordinator) improve(ctx context.Context, now time.Time) {
	status, ok := c.statuses(now)
	if !ok {
		c.planner = nil
		return
	}
	d := &driver{c: c}
	if c.waits(status) {
		return
	}
	if d.settle(ctx, status) || c.engine == nil || c.engine.Layers == 0 {
		return
	}
	if c.planner == nil || c.planner.epoch != status[0].Epoch || c.planner.current.Version != status[0].Map {
		current, ok := c.readMap(ctx, status)
		if !ok {
			return
		}
		c.planner = newPlanner(c.engine, c.goal, status[0].Epoch, current)
	}
	counts := make([]services.RankCounts, len(c.members))
	speed := make([]float64, len(c.members))
	writers := 0.0
	for i, m := range c.members {
		counts[i] = m.counts
		speed[i] = 1 / max(m.status.Pace, 1)
		writers += float64(m.status.Running) / float64(len(c.members))
	}
	next := c.planner.plan(now, counts, speed, writers)
	if next != nil {
		c.version++
		next.Version = c.version
		d.change(ctx, status, next)
	}
}

// waits reports whether the ranks are still to begin the pass that takes the latest map.
func (c *coordinator) waits(status []services.RankStatus) bool {
	if c.pending == 0 {
		return false
	}
	// The pass may begin between the answers of two ranks.
	begun := true
	for _, s := range status {
		if s.Armed != c.pending && s.Map != c.pending {
			c.pending = 0
			return false
		}
		begun = begun && s.Map == c.pending
	}
	if begun {
		c.pending = 0
	}
	return !begun
}

// readMap puts the map in use together from what each rank holds.
func (c *coordinator) readMap(ctx context.Context, status []services.RankStatus) (*expertmap.Map, bool) {
	m := &expertmap.Map{Group: status[0].Group, Version: status[0].Map, Layers: make([]expertmap.Layer, c.engine.Layers)}
	for l := range m.Layers {
		m.Layers[l].Slots = make([][]expertmap.Expert, len(status))
	}
	for r := range status {
		held, err := c.mapOf(ctx, group.Rank(r))
		if err != nil || held.Version != m.Version || len(held.Experts) != c.engine.Layers {
			c.a.opts.Logger.Warn().Int("rank", r).Uint64("version", uint64(held.Version)).Uint64("want", uint64(m.Version)).Int("layers", len(held.Experts)).Err(err).Msg("map-unread")
			return nil, false
		}
		for l, experts := range held.Experts {
			for len(experts) < c.engine.Places {
				experts = append(experts, expertmap.Free)
			}
			m.Layers[l].Slots[r] = experts
		}
	}
	return m, true
}

func (c *coordinator) mapOf(ctx context.Context, r group.Rank) (services.RankMap, error) {
	cctx, cancel := context.WithTimeout(ctx, peerTime)
	defer cancel()
	m := c.members[r]
	if m.info.Name == c.a.opts.Self.Name {
		return c.a.opts.Engine.Map(cctx)
	}
	var held services.RankMap
	if err := c.a.opts.Pool.Call(cctx, m.info.Address, "Rank.Map", Ask{Authority: c.authority}, &held); err == nil {
		return held, nil
	}
	dctx, dcancel := context.WithTimeout(ctx, peerTime)
	defer dcancel()
	return c.a.opts.Dial(m.info.Engine).Map(dctx)
}
