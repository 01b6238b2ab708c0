// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package agent

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"fawnwinch.org/fawnwinch/models/expertmap"
	"fawnwinch.org/fawnwinch/models/group"
	"fawnwinch.org/fawnwinch/models/service"
	"fawnwinch.org/fawnwinch/models/upstream"
	"fawnwinch.org/fawnwinch/modules/clock"
	"fawnwinch.org/fawnwinch/modules/timeline"
	"fawnwinch.org/fawnwinch/services"
	"fawnwinch.org/fawnwinch/services/directory"
	"fawnwinch.org/fawnwinch/services/expertswitch"
	"fawnwinch.org/fawnwinch/services/placement"

	"github.com/rotisserie/eris"
)

const (
	// planInterval is the time between two plans of a coordinator.
	planInterval = 2 * time.Second
	// roundTick is the time between two looks at a round in progress.
	roundTick = 20 * time.Millisecond
	// stageLimit bounds the loading of weights at one rank.
	stageLimit = 2 * time.Minute
	// holdLimit bounds how long ranks are kept holding for one that does not answer. It leaves time
	// for a direct order where the engine checks fences.
	holdLimit = 3 * directAfter
	// switchRetry is the time after which an unanswered message is sent again.
	switchRetry = 300 * time.Millisecond
	// switchMargin is the number of steps between the preparation and the switch: about 50 ms of them.
	switchMargin = 12
	// directAfter is how long a rank's agent may be gone inside a hold before its engine is ordered directly.
	directAfter = time.Second
)

// run plans for the group while this agent is beside its first living rank.
func (s *switcher) run(ctx context.Context) {
	ticker := time.NewTicker(planInterval)
	defer ticker.Stop()
	var planner *placement.Planner
	var coord *expertswitch.Coordinator
	var ranks []upstream.ID
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		g, self, ok := s.myGroup()
		if !ok || !s.leads(clock.Now(), g, self) {
			planner, coord = nil, nil
			continue
		}
		if planner == nil || !slices.Equal(ranks, g.Ranks) {
			ranks = g.Ranks
			planner = placement.NewPlanner()
			coord = expertswitch.NewCoordinator(expertswitch.Config{Retry: switchRetry, Margin: switchMargin, StageLimit: stageLimit, HoldLimit: holdLimit}, g.ID, self, expertswitch.Incarnation(rand.Uint32()), len(g.Ranks)) //nolint:gosec // no secret
			s.finish(ctx, coord, g)
		}
		if err := s.planOnce(ctx, planner, coord, g); err != nil {
			s.a.logger.Debug().Err(err).Msg("no plan")
		}
	}
}

// leads reports whether no rank before this one has a living agent.
func (s *switcher) leads(now time.Time, g service.Group, self group.Rank) bool {
	if s.a.State() != upstream.StateReady {
		return false
	}
	for _, id := range g.Ranks[:self] {
		if p, ok := s.a.links.Peer(now, id); ok && !p.Suspect && p.State == upstream.StateReady {
			return false
		}
	}
	return true
}

// finish ends what an earlier coordinator may have left behind.
func (s *switcher) finish(ctx context.Context, coord *expertswitch.Coordinator, g service.Group) {
	if b, err := s.promised(ctx); err == nil {
		coord.Seen(b)
	}
	res := s.round(ctx, coord, g, nil)
	s.tell(g, "round", fmt.Sprintf("result=%s purpose=recover", res))
}

func (s *switcher) tell(g service.Group, name, detail string) {
	s.a.ring.Add(clock.Now(), timeline.Event{Kind: timeline.KindMap, Name: name, Group: string(g.ID), Detail: detail})
}

func (s *switcher) planOnce(ctx context.Context, planner *placement.Planner, coord *expertswitch.Coordinator, g service.Group) error {
	now := clock.Now()
	counts, err := s.a.engine.Popularity(ctx)
	if err != nil {
		return fmt.Errorf("ask own engine: %w", err)
	}
	planner.Observe(now, counts)
	m, err := s.mapOf(ctx)
	if err != nil {
		return err
	}
	states, held := s.states(ctx, g)
	if held {
		s.finish(ctx, coord, g)
		return nil
	}
	speed := placement.Speeds(m, planner.Popularity(), busy(states))
	plan, err := planner.Plan(now, m, speed, s.a.Config().Intent.Rebalance)
	if err != nil {
		return fmt.Errorf("plan group %s: %w", g.ID, err)
	}
	s.tell(g, "plan", fmt.Sprintf("reason=%s moves=%d skew=%.3f planned_skew=%.3f", plan.Reason, plan.Moves, plan.Before, plan.After))
	if plan.Map == nil {
		return nil
	}
	res := s.round(ctx, coord, g, plan.Map)
	s.tell(g, "round", fmt.Sprintf("result=%s reason=%s moves=%d", res, plan.Reason, plan.Moves))
	if res == expertswitch.ResultSwitched {
		planner.Switched(clock.Now(), m)
	}
	return nil
}

// states asks every rank for its engine's state; held says that one waits for a decision nobody makes.
func (s *switcher) states(ctx context.Context, g service.Group) (out []services.EngineState, held bool) {
	out = make([]services.EngineState, len(g.Ranks))
	for r, id := range g.Ranks {
		peer, ok := s.a.links.Peer(clock.Now(), id)
		if !ok {
			continue
		}
		cctx, cancel := context.WithTimeout(ctx, callTimeout)
		err := s.a.pool.Call(cctx, peer.Owner.RPC, "Agent.EngineState", directory.Nothing{}, &out[r])
		cancel()
		held = held || (err == nil && out[r].Hold != 0)
	}
	return out, held
}

func busy(states []services.EngineState) []time.Duration {
	out := make([]time.Duration, len(states))
	for r, st := range states {
		out[r] = time.Duration(st.BusyMicros) * time.Microsecond
	}
	return out
}

// arrival is a rank's answer on its way to the coordinator.
type arrival struct {
	from  group.Rank
	reply expertswitch.Reply
}

// round drives the coordinator until its round has ended.
func (s *switcher) round(ctx context.Context, coord *expertswitch.Coordinator, g service.Group, proposal *expertmap.Map) expertswitch.Result {
	replies := make(chan arrival, len(g.Ranks)*4)
	rctx, cancel := context.WithCancel(ctx)
	defer cancel()
	w := &wire{s: s, g: g, replies: replies, since: map[group.Rank]time.Time{}}
	w.send(rctx, coord.Start(clock.Now(), proposal))
	ticker := time.NewTicker(roundTick)
	defer ticker.Stop()
	for {
		if r := coord.Result(); r != expertswitch.ResultNone {
			return r
		}
		select {
		case <-ctx.Done():
			return expertswitch.ResultGivenUp
		case a := <-replies:
			w.send(rctx, coord.Receive(clock.Now(), a.from, a.reply))
		case <-ticker.C:
			w.send(rctx, coord.Tick(clock.Now()))
		}
	}
}

// wire carries the messages of one round.
type wire struct {
	s       *switcher
	g       service.Group
	replies chan arrival
	// since holds the time at which a rank was first sent the present kind of message.
	since map[group.Rank]time.Time
	kind  expertswitch.Kind
}

func (w *wire) send(ctx context.Context, list []expertswitch.Send) {
	now := clock.Now()
	for _, m := range list {
		if m.Message.Kind != w.kind {
			w.kind, w.since = m.Message.Kind, map[group.Rank]time.Time{}
		}
		if _, ok := w.since[m.To]; !ok {
			w.since[m.To] = now
		}
		late := now.Sub(w.since[m.To]) > directAfter
		go w.carry(ctx, m, late)
	}
}

// carry sends one message and hands its answer on. Late says that the rank's agent has not answered for long.
func (w *wire) carry(ctx context.Context, m expertswitch.Send, late bool) {
	peer, ok := w.s.a.links.Peer(clock.Now(), w.g.Ranks[m.To])
	if !ok {
		return
	}
	limit := callTimeout
	if m.Message.Kind == expertswitch.KindStage {
		limit = stageLimit
	}
	cctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	var r expertswitch.Reply
	err := w.s.a.pool.Call(cctx, peer.Owner.RPC, "Agent.Switch", m.Message, &r)
	if err != nil && late && peer.ChecksFence {
		r, err = w.direct(cctx, peer.Engine, m.Message)
	}
	if err != nil {
		return
	}
	select {
	case w.replies <- arrival{from: m.To, reply: r}:
	case <-ctx.Done():
	}
}

var errNeedsAgent = eris.New("only the rank's agent can do this")

// direct gives an order to the engine of a rank whose agent is gone. A late order of that agent is
// refused by the engine's fence.
func (w *wire) direct(ctx context.Context, address string, m expertswitch.Message) (expertswitch.Reply, error) {
	if !m.Direct() {
		return expertswitch.Reply{}, fmt.Errorf("%s: %w", m.Kind, errNeedsAgent)
	}
	eng := w.s.dial(address)
	if err := eng.Order(ctx, m.Order()); err != nil {
		return expertswitch.Reply{}, fmt.Errorf("order engine %s directly: %w", address, err)
	}
	w.s.tell(w.g, "direct-order", fmt.Sprintf("kind=%s engine=%s", m.Order().Kind, address))
	st, err := eng.State(ctx)
	if err != nil {
		return expertswitch.Reply{}, fmt.Errorf("ask engine %s: %w", address, err)
	}
	return expertswitch.Reply{Kind: m.Kind, Ballot: m.Ballot, OK: true, Promised: m.Ballot, State: st}, nil
}
