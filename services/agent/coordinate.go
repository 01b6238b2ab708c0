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
	// roundTick is the time between two ticks of a round in progress.
	roundTick = 20 * time.Millisecond
	// stageTimeout bounds the loading of weights at one rank.
	stageTimeout = 2 * time.Minute
	// holdTimeout bounds how long the ranks hold for one that does not answer. It leaves time for a
	// direct order where the engine checks fences.
	holdTimeout = 3 * directOrderAfter
	// switchRetryInterval is the retry interval of an unanswered message.
	switchRetryInterval = 300 * time.Millisecond
	// switchMarginSteps is the number of steps between the preparation and the switch, about 50 ms.
	switchMarginSteps = 12
	// directOrderAfter is how long a rank's agent may not answer in a round before the order is sent
	// directly to its engine.
	directOrderAfter = time.Second
)

// run coordinates the group while this agent leads it (see leads).
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
			coord = expertswitch.NewCoordinator(expertswitch.Config{Retry: switchRetryInterval, Margin: switchMarginSteps, StageLimit: stageTimeout, HoldLimit: holdTimeout}, g.ID, self, expertswitch.Incarnation(rand.Uint32()), len(g.Ranks)) //nolint:gosec // no secret
			s.recoverRound(ctx, coord, g)
		}
		if err := s.planOnce(ctx, planner, coord, g); err != nil {
			s.a.logger.Debug().Err(err).Msg("no plan")
		}
	}
}

// leads reports whether this agent is ready and no lower rank has a ready agent.
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

// recoverRound completes or aborts a round that an earlier coordinator may have left open.
func (s *switcher) recoverRound(ctx context.Context, coord *expertswitch.Coordinator, g service.Group) {
	if b, err := s.promised(ctx); err == nil {
		coord.ObserveBallot(b)
	}
	res := s.round(ctx, coord, g, nil)
	s.recordEvent(g, "round", fmt.Sprintf("result=%s purpose=recover", res))
}

func (s *switcher) recordEvent(g service.Group, name, detail string) {
	s.a.ring.Add(clock.Now(), timeline.Event{Kind: timeline.KindMap, Name: name, Group: string(g.ID), Detail: detail})
}

func (s *switcher) planOnce(ctx context.Context, planner *placement.Planner, coord *expertswitch.Coordinator, g service.Group) error {
	now := clock.Now()
	counts, err := s.a.engine.Popularity(ctx)
	if err != nil {
		return fmt.Errorf("query own engine: %w", err)
	}
	planner.Observe(now, counts)
	m, err := s.engineMap(ctx)
	if err != nil {
		return err
	}
	states, held := s.engineStates(ctx, g)
	if held {
		s.recoverRound(ctx, coord, g)
		return nil
	}
	speed := placement.Speeds(m, planner.Popularity(), busyTimes(states))
	plan, err := planner.Plan(now, m, speed, s.a.Config().Intent.Rebalance)
	if err != nil {
		return fmt.Errorf("plan group %s: %w", g.ID, err)
	}
	s.recordEvent(g, "plan", fmt.Sprintf("reason=%s moves=%d skew=%.3f planned_skew=%.3f", plan.Reason, plan.Moves, plan.Before, plan.After))
	if plan.Map == nil {
		return nil
	}
	res := s.round(ctx, coord, g, plan.Map)
	s.recordEvent(g, "round", fmt.Sprintf("result=%s reason=%s moves=%d", res, plan.Reason, plan.Moves))
	if res == expertswitch.ResultSwitched {
		planner.RecordSwitch(clock.Now(), m)
	}
	return nil
}

// engineStates returns the engine state of every rank. held reports whether any rank holds: no
// round is in progress, so no coordinator will end that hold.
func (s *switcher) engineStates(ctx context.Context, g service.Group) (out []services.EngineState, held bool) {
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

func busyTimes(states []services.EngineState) []time.Duration {
	out := make([]time.Duration, len(states))
	for r, st := range states {
		out[r] = time.Duration(st.BusyMicros) * time.Microsecond
	}
	return out
}

// rankReply is a rank's reply to the coordinator.
type rankReply struct {
	from  group.Rank
	reply expertswitch.Reply
}

// round runs one round of the coordinator to its end.
func (s *switcher) round(ctx context.Context, coord *expertswitch.Coordinator, g service.Group, proposal *expertmap.Map) expertswitch.Result {
	replies := make(chan rankReply, len(g.Ranks)*4)
	rctx, cancel := context.WithCancel(ctx)
	defer cancel()
	w := &roundSender{s: s, g: g, replies: replies, firstSent: map[group.Rank]time.Time{}}
	w.send(rctx, coord.Start(clock.Now(), proposal))
	ticker := time.NewTicker(roundTick)
	defer ticker.Stop()
	for {
		if r := coord.Result(); r != expertswitch.ResultNone {
			return r
		}
		select {
		case <-ctx.Done():
			return expertswitch.ResultTimedOut
		case a := <-replies:
			w.send(rctx, coord.Receive(clock.Now(), a.from, a.reply))
		case <-ticker.C:
			w.send(rctx, coord.Tick(clock.Now()))
		}
	}
}

// roundSender sends the messages of one round.
type roundSender struct {
	s       *switcher
	g       service.Group
	replies chan rankReply
	// firstSent maps each rank to the time at which it was first sent the current kind of message.
	firstSent map[group.Rank]time.Time
	lastKind  expertswitch.Kind
}

func (w *roundSender) send(ctx context.Context, list []expertswitch.Send) {
	now := clock.Now()
	for _, m := range list {
		if m.Message.Kind != w.lastKind {
			w.lastKind, w.firstSent = m.Message.Kind, map[group.Rank]time.Time{}
		}
		if _, ok := w.firstSent[m.To]; !ok {
			w.firstSent[m.To] = now
		}
		overdue := now.Sub(w.firstSent[m.To]) > directOrderAfter
		go w.deliver(ctx, m, overdue)
	}
}

// deliver sends one message and passes on its reply. Overdue reports whether the rank's agent has
// not answered for longer than directOrderAfter.
func (w *roundSender) deliver(ctx context.Context, m expertswitch.Send, overdue bool) {
	peer, ok := w.s.a.links.Peer(clock.Now(), w.g.Ranks[m.To])
	if !ok {
		return
	}
	limit := callTimeout
	if m.Message.Kind == expertswitch.KindStage {
		limit = stageTimeout
	}
	cctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	var r expertswitch.Reply
	err := w.s.a.pool.Call(cctx, peer.Owner.RPC, "Agent.Switch", m.Message, &r)
	if err != nil && overdue && peer.ChecksFence {
		r, err = w.orderDirectly(cctx, peer.Engine, m.Message)
	}
	if err != nil {
		return
	}
	select {
	case w.replies <- rankReply{from: m.To, reply: r}:
	case <-ctx.Done():
	}
}

var errNeedsAgent = eris.New("message requires the agent of the rank")

// orderDirectly sends an order to the engine of a rank whose agent does not answer. The engine's
// fence refuses a late order of that agent.
func (w *roundSender) orderDirectly(ctx context.Context, address string, m expertswitch.Message) (expertswitch.Reply, error) {
	if !m.Direct() {
		return expertswitch.Reply{}, fmt.Errorf("%s: %w", m.Kind, errNeedsAgent)
	}
	eng := w.s.dial(address)
	if err := eng.Order(ctx, m.Order()); err != nil {
		return expertswitch.Reply{}, fmt.Errorf("order engine %s directly: %w", address, err)
	}
	w.s.recordEvent(w.g, "direct-order", fmt.Sprintf("kind=%s engine=%s", m.Order().Kind, address))
	st, err := eng.State(ctx)
	if err != nil {
		return expertswitch.Reply{}, fmt.Errorf("query engine %s: %w", address, err)
	}
	return expertswitch.Reply{Kind: m.Kind, Ballot: m.Ballot, OK: true, Promised: m.Ballot, State: st}, nil
}
