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

// switcher executes the coordinator's messages for the agent's own rank. It also coordinates the
// group while this agent leads it (see leads).
type switcher struct {
	a       *Agent
	weights services.WeightStore
	dial    EngineDialer

	mu          sync.Mutex
	participant expertswitch.Participant
	// orderMu serializes orders, so that an admitted order is sent before the next message is
	// admitted.
	orderMu sync.Mutex
}

// orderTimeout bounds one order to the engine.
const orderTimeout = 2 * time.Second

var errRecovering = eris.New("agent has not recovered its promised ballot yet")

// myGroup returns the group that the configuration puts the agent's upstream in, and its rank
// there.
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

// recoverPromise recovers the promised ballot from the engine and all other ranks after a start.
func (s *switcher) recoverPromise(ctx context.Context) error {
	s.mu.Lock()
	done := s.participant.Recovered()
	s.mu.Unlock()
	if done {
		return nil
	}
	g, self, ok := s.myGroup()
	if !ok {
		return fmt.Errorf("upstream is in no group: %w", errRecovering)
	}
	state, err := s.a.engine.State(ctx)
	if err != nil {
		return fmt.Errorf("query own engine: %w", err)
	}
	var others []expertswitch.Ballot
	for r, id := range g.Ranks {
		if group.Rank(r) == self {
			continue
		}
		b, err := s.promisedBy(ctx, id)
		if err != nil {
			return fmt.Errorf("query rank %d: %w", r, err)
		}
		others = append(others, b)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.participant.Recover(state.Fence, others...)
	return nil
}

func (s *switcher) promisedBy(ctx context.Context, id upstream.ID) (expertswitch.Ballot, error) {
	peer, ok := s.a.links.Peer(clock.Now(), id)
	if !ok {
		return 0, fmt.Errorf("no router reports upstream %s: %w", id, errRecovering)
	}
	cctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var b expertswitch.Ballot
	err := s.a.pool.Call(cctx, peer.Owner.RPC, "Agent.Promised", directory.Nothing{}, &b)
	return b, err
}

// promised returns the highest ballot that this agent has promised or that is the fence of its
// engine.
func (s *switcher) promised(ctx context.Context) (expertswitch.Ballot, error) {
	s.mu.Lock()
	b := s.participant.Promised()
	s.mu.Unlock()
	state, err := s.a.engine.State(ctx)
	if err != nil {
		return 0, fmt.Errorf("query own engine: %w", err)
	}
	return max(b, state.Fence), nil
}

// admit lets the participant check a message and returns the order for the engine.
func (s *switcher) admit(m expertswitch.Message) (services.Order, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, err := s.participant.Admit(m)
	if err != nil {
		return o, fmt.Errorf("%s: %w", m.Kind, err)
	}
	return o, nil
}

// handle executes a coordinator's message.
func (s *switcher) handle(ctx context.Context, m expertswitch.Message) (expertswitch.Reply, error) {
	reply := expertswitch.Reply{Kind: m.Kind, Ballot: m.Ballot}
	if err := s.recoverPromise(ctx); err != nil {
		return reply, err
	}
	if m.Kind == expertswitch.KindStage {
		if err := s.loadWeights(ctx, m); err != nil {
			return reply, err
		}
	}
	err := s.execute(ctx, m)
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
	reply.Promised = s.participant.Promised()
	s.mu.Unlock()
	s.a.ring.Add(clock.Now(), timeline.Event{Kind: timeline.KindMap, Name: string(m.Kind), Group: string(m.Group), Detail: fmt.Sprintf("ballot=%d step=%d ok=%t %s", m.Ballot, m.Step, reply.OK, reply.Reason)})
	if reply.State, err = s.a.engine.State(ctx); err != nil {
		return reply, fmt.Errorf("query own engine: %w", err)
	}
	return reply, nil
}

// execute admits a message and sends its order before the next message is admitted.
func (s *switcher) execute(ctx context.Context, m expertswitch.Message) error {
	s.orderMu.Lock()
	defer s.orderMu.Unlock()
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

// loadWeights loads the weights of the experts that a map adds to this rank.
func (s *switcher) loadWeights(ctx context.Context, m expertswitch.Message) error {
	if _, err := s.admit(m); err != nil {
		// execute reports the refusal to the coordinator.
		return nil //nolint:nilerr // reported by the caller's own admission
	}
	_, rank, ok := s.myGroup()
	if !ok {
		return fmt.Errorf("upstream is in no group: %w", errRecovering)
	}
	now, err := s.a.engine.Map(ctx)
	if err != nil {
		return fmt.Errorf("query own engine: %w", err)
	}
	n := int64(m.Map.Loads(now, int(rank)))
	if n == 0 {
		return nil
	}
	if err := s.weights.Fetch(ctx, s.a.self.Upstream, n*s.a.set.Upstream.ExpertBytes); err != nil {
		return fmt.Errorf("fetch %d experts: %w", n, err)
	}
	s.a.loadedExperts.Add(n)
	return nil
}

// Switch executes a coordinator's message.
func (p *API) Switch(m expertswitch.Message, r *expertswitch.Reply) error {
	ctx, cancel := context.WithTimeout(context.Background(), stageTimeout)
	defer cancel()
	reply, err := p.a.switcher.handle(ctx, m)
	*r = reply
	return err
}

// Promised returns the highest ballot that this agent has promised or that is the fence of its
// engine.
func (p *API) Promised(_ directory.Nothing, b *expertswitch.Ballot) error {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	got, err := p.a.switcher.promised(ctx)
	*b = got
	return err
}

// EngineState returns the latest state that the engine of this rank has reported.
func (p *API) EngineState(_ directory.Nothing, st *services.EngineState) error {
	l := p.a.load.Load()
	if l == nil || !l.known {
		return errRecovering
	}
	*st = l.state
	return nil
}

// engineMap returns the expert map in use at the agent's own engine.
func (s *switcher) engineMap(ctx context.Context) (*expertmap.Map, error) {
	m, err := s.a.engine.Map(ctx)
	if err != nil {
		return nil, fmt.Errorf("query own engine: %w", err)
	}
	return m, nil
}
