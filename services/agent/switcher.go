// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package agent

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
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

	"github.com/rotisserie/eris"
)

// switcher obeys coordinators for the agent's own rank, and coordinates its group when the agent
// is beside the first living rank.
type switcher struct {
	a       *Agent
	weights services.WeightStore
	dial    EngineDialer

	mu   sync.Mutex
	part expertswitch.Participant
	// orders lets one order at a time through, so that what was admitted is given before anything
	// else is admitted.
	orders sync.Mutex
}

// orderTimeout bounds one order to the engine.
const orderTimeout = 2 * time.Second

var errRecovering = eris.New("the agent has not learnt its promise again yet")

// myGroup returns the group that the configuration puts the agent's upstream in, and its rank there.
func (s *switcher) myGroup() (service.Group, group.Rank, bool) {
	sv := s.a.Config().Intent.Service(s.a.set.Upstream.Service)
	if sv == nil {
		return service.Group{}, 0, false
	}
	for _, g := range sv.Groups {
		if i := slices.Index(g.Ranks, s.a.self.Upstream); i >= 0 {
			return g, group.Rank(i), true
		}
	}
	return service.Group{}, 0, false
}

// relearn learns the promise from the engine and all other ranks, after a start.
func (s *switcher) relearn(ctx context.Context) error {
	s.mu.Lock()
	done := s.part.Recovered()
	s.mu.Unlock()
	if done {
		return nil
	}
	g, self, ok := s.myGroup()
	if !ok {
		return fmt.Errorf("no group: %w", errRecovering)
	}
	state, err := s.a.engine.State(ctx)
	if err != nil {
		return fmt.Errorf("ask own engine: %w", err)
	}
	var others []expertswitch.Ballot
	for r, id := range g.Ranks {
		if group.Rank(r) == self {
			continue
		}
		b, err := s.promisedBy(ctx, id)
		if err != nil {
			return fmt.Errorf("ask rank %d: %w", r, err)
		}
		others = append(others, b)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.part.Recover(state.Fence, others...)
	return nil
}

func (s *switcher) promisedBy(ctx context.Context, id upstream.ID) (expertswitch.Ballot, error) {
	peer, ok := s.a.links.Peer(clock.Now(), id)
	if !ok {
		return 0, fmt.Errorf("%s is not known: %w", id, errRecovering)
	}
	cctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var b expertswitch.Ballot
	err := s.a.pool.Call(cctx, peer.Owner.RPC, "Agent.Promised", directory.Nothing{}, &b)
	return b, err
}

// promised returns the highest ballot that this rank or its engine knows.
func (s *switcher) promised(ctx context.Context) (expertswitch.Ballot, error) {
	s.mu.Lock()
	b := s.part.Promised()
	s.mu.Unlock()
	state, err := s.a.engine.State(ctx)
	if err != nil {
		return 0, fmt.Errorf("ask own engine: %w", err)
	}
	return max(b, state.Fence), nil
}

// admit asks the participant about a message.
func (s *switcher) admit(m expertswitch.Message) (services.Order, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, err := s.part.Admit(m)
	if err != nil {
		return o, fmt.Errorf("%s: %w", m.Kind, err)
	}
	return o, nil
}

// handle carries out a coordinator's message.
func (s *switcher) handle(ctx context.Context, m expertswitch.Message) (expertswitch.Reply, error) {
	reply := expertswitch.Reply{Kind: m.Kind, Ballot: m.Ballot}
	if err := s.relearn(ctx); err != nil {
		return reply, err
	}
	if m.Kind == expertswitch.KindStage {
		if err := s.fetch(ctx, m); err != nil {
			return reply, err
		}
	}
	err := s.obey(ctx, m)
	var refused services.ErrRefused
	var old expertswitch.ErrOldBallot
	if err != nil && !errors.As(err, &refused) && !errors.As(err, &old) {
		return reply, err
	}
	reply.OK = err == nil
	if err != nil {
		reply.Reason = err.Error()
	}
	s.mu.Lock()
	reply.Promised = s.part.Promised()
	s.mu.Unlock()
	s.a.ring.Add(clock.Now(), timeline.Event{Kind: timeline.KindMap, Name: string(m.Kind), Group: string(m.Group), Detail: fmt.Sprintf("ballot=%d step=%d ok=%t %s", m.Ballot, m.Step, reply.OK, reply.Reason)})
	if reply.State, err = s.a.engine.State(ctx); err != nil {
		return reply, fmt.Errorf("ask own engine: %w", err)
	}
	return reply, nil
}

// obey admits a message and gives its order before anything else is admitted.
func (s *switcher) obey(ctx context.Context, m expertswitch.Message) error {
	s.orders.Lock()
	defer s.orders.Unlock()
	o, err := s.admit(m)
	if err != nil {
		return err
	}
	octx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	if err := s.a.engine.Order(octx, o); err != nil {
		return fmt.Errorf("order %s: %w", o.Kind, err)
	}
	return nil
}

// fetch brings the weights that a map needs beyond those in use.
func (s *switcher) fetch(ctx context.Context, m expertswitch.Message) error {
	if _, err := s.admit(m); err != nil {
		// The coordinator learns it from obey.
		return nil //nolint:nilerr // reported by the caller's own admission
	}
	_, rank, ok := s.myGroup()
	if !ok {
		return fmt.Errorf("no group: %w", errRecovering)
	}
	now, err := s.a.engine.Map(ctx)
	if err != nil {
		return fmt.Errorf("ask own engine: %w", err)
	}
	n := int64(m.Map.Loads(now, int(rank)))
	if n == 0 {
		return nil
	}
	if err := s.weights.Fetch(ctx, s.a.self.Upstream, n*s.a.set.Upstream.ExpertBytes); err != nil {
		return fmt.Errorf("fetch %d experts: %w", n, err)
	}
	s.a.moved.Add(n)
	return nil
}

// Switch carries out a coordinator's message.
func (p *API) Switch(m expertswitch.Message, r *expertswitch.Reply) error {
	ctx, cancel := context.WithTimeout(context.Background(), stageLimit)
	defer cancel()
	reply, err := p.a.switcher.handle(ctx, m)
	*r = reply
	return err
}

// Promised returns the highest ballot that this rank or its engine knows.
func (p *API) Promised(_ directory.Nothing, b *expertswitch.Ballot) error {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	got, err := p.a.switcher.promised(ctx)
	*b = got
	return err
}

// EngineState returns what the engine of this rank tells about itself.
func (p *API) EngineState(_ directory.Nothing, st *services.EngineState) error {
	l := p.a.load.Load()
	if l == nil || !l.known {
		return errRecovering
	}
	*st = l.state
	return nil
}

// mapOf returns the map of a group as its engine has it.
func (s *switcher) mapOf(ctx context.Context) (*expertmap.Map, error) {
	m, err := s.a.engine.Map(ctx)
	if err != nil {
		return nil, fmt.Errorf("ask own engine: %w", err)
	}
	return m, nil
}
