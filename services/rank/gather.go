// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package rank

import (
	"context"
	"sync"
	"time"

	"fawnwinch.org/fawnwinch/services"
	"fawnwinch.org/fawnwinch/services/peer"
)

// GatherAsk is a coordinator's request for the loads of the ranks of a part, sent to the agent that
// relays it.
type GatherAsk struct {
	Ask     Ask
	Members []GatherMember
}

// GatherMember is an agent that a relay polls on behalf of a coordinator.
type GatherMember struct {
	Address string
	// Counts and Since are those of the request for this agent.
	Counts bool
	Since  uint64
}

// GatherReply holds an answer for each member, in their order; Silent marks those that did not
// answer.
type GatherReply struct {
	Replies []Reply
	Silent  []bool
}

// Gather polls the agents of a part on behalf of a coordinator, this one among them.
func (p *API) Gather(g GatherAsk, r *GatherReply) error {
	r.Replies, r.Silent = make([]Reply, len(g.Members)), make([]bool, len(g.Members))
	var w sync.WaitGroup
	for i, m := range g.Members {
		ask := g.Ask
		ask.Counts, ask.Since = m.Counts, m.Since
		w.Go(func() {
			if m.Address == p.a.opts.Self.Address {
				r.Silent[i] = p.Status(ask, &r.Replies[i]) != nil
				return
			}
			reply := p.a.askAgent(context.Background(), peer.Info{Address: m.Address}, ask)
			if r.Silent[i] = reply == nil; reply != nil {
				r.Replies[i] = *reply
			}
		})
	}
	w.Wait()
	return nil
}

// ForwardOrder is a coordinator's order to several ranks of a part, sent to the agent that relays
// it.
type ForwardOrder struct {
	Order   Order
	Members []ForwardMember
}

// ForwardMember is an agent to which a relay sends an order on behalf of a coordinator.
type ForwardMember struct {
	Address string
	Start   Start
}

// ForwardReply holds an answer for each member, in their order; Silent marks those that did not
// answer.
type ForwardReply struct {
	Replies []OrderReply
	Silent  []bool
}

// Forward sends an order to the agents of a part, this one among them.
func (p *API) Forward(f ForwardOrder, r *ForwardReply) error {
	r.Replies, r.Silent = make([]OrderReply, len(f.Members)), make([]bool, len(f.Members))
	var w sync.WaitGroup
	for i, m := range f.Members {
		o := f.Order
		o.Start = m.Start
		w.Go(func() {
			if m.Address == p.a.opts.Self.Address {
				_ = p.Order(o, &r.Replies[i]) // it returns no error
				return
			}
			reply, err := p.a.orderAgent(context.Background(), m.Address, o)
			r.Replies[i], r.Silent[i] = reply, err != nil
		})
	}
	w.Wait()
	return nil
}

// askAgent asks an agent for the load of its rank. It returns nil if there is no answer.
func (a *Agent) askAgent(ctx context.Context, n peer.Info, ask Ask) *Reply {
	cctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	var r Reply
	if err := a.opts.Pool.Call(cctx, n.Address, "Rank.Status", ask, &r); err != nil {
		a.opts.Logger.Debug().Str("agent", n.Name).Str("address", n.Address).Err(err).Msg("agent-silent")
		return nil
	}
	return &r
}

// orderTimeOf returns the timeout of an order to an agent.
func orderTimeOf(k services.RankOrderKind) time.Duration {
	if k == services.RankPrepare {
		return peerTimeout + loadTimeout
	}
	return peerTimeout
}

// orderAgent sends an order to the agent at an address.
func (a *Agent) orderAgent(ctx context.Context, address string, o Order) (OrderReply, error) {
	cctx, cancel := context.WithTimeout(ctx, orderTimeOf(o.Order.Kind))
	defer cancel()
	var r OrderReply
	err := a.opts.Pool.Call(cctx, address, "Rank.Order", o, &r)
	if err != nil {
		a.opts.Logger.Debug().Str("address", address).Str("order", string(o.Order.Kind)).Err(err).Msg("agent-silent")
		r.Answer = services.RankUnknown
	}
	return r, err
}
