// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package rank

import (
	"context"
	"time"

	"fawnwinch.org/fawnwinch/models/catalog"
	"fawnwinch.org/fawnwinch/models/expertmap"
	"fawnwinch.org/fawnwinch/models/group"
	"fawnwinch.org/fawnwinch/modules/clock"
	"fawnwinch.org/fawnwinch/modules/sleep"
	"fawnwinch.org/fawnwinch/services"
	"fawnwinch.org/fawnwinch/services/mapswitch"
	"fawnwinch.org/fawnwinch/services/peer"
)

// driver carries out a change of map: it sends what the machine wants sent and hands the answers back.
type driver struct {
	c *coordinator
	// delta is how the map that is being prepared differs from the one in use; nil if it is sent whole. Deal describes the
	// one in use if it is the one that engines start with.
	delta *expertmap.Change
	deal  *expertmap.Deal
}

const (
	// driveTick is the time between two looks at the ranks during a change.
	driveTick = 80 * time.Millisecond
	// holdLook is the time between two looks while the group is held. Nothing is told by them that the answers to orders
	// do not, and they hold up the orders.
	holdLook = 300 * time.Millisecond
	// resendPause is the pause before an order that had no answer is sent again.
	resendPause = 5 * time.Millisecond
)

type answered struct {
	send   mapswitch.Send
	answer services.RankAnswer
}

// settle takes back what an earlier coordinator has left behind. It returns false if there was nothing.
func (d *driver) settle(ctx context.Context, status []services.RankStatus) bool {
	return d.settleBy(ctx, mapswitch.Settle(clock.Now(), d.c.fence+1, d.self(), status), -1)
}

// settleWithout is settle for a group in which one rank does not answer. It reports whether there was something
// that can be taken back without that rank.
func (d *driver) settleWithout(ctx context.Context, silent group.Rank, status []services.RankStatus) bool {
	return d.settleBy(ctx, mapswitch.SettleWithout(clock.Now(), d.c.fence+1, d.self(), silent, status), int(silent))
}

func (d *driver) settleBy(ctx context.Context, m *mapswitch.Machine, silent int) bool {
	if m == nil {
		return false
	}
	begun := clock.Now()
	stage := d.drive(ctx, m)
	d.c.logger.Info().Uint64("fence", uint64(m.Fence)).Uint64("epoch", uint64(d.c.members[d.self()].status.Epoch)).Int("silent_rank", silent).
		Str("stage", string(stage)).Int64("took_ms", clock.Since(begun).Milliseconds()).Msg("map-settle")
	return true
}

// change brings a new map into force.
func (d *driver) change(ctx context.Context, status []services.RankStatus, next *expertmap.Map) {
	began := clock.Now()
	m := mapswitch.Start(began, d.c.fence+1, d.self(), status, next.Version, next.Layers)
	d.goOnFrom(d.c.planner.current, next)
	stage := d.drive(ctx, m)
	d.c.logger.Info().Uint64("version", uint64(next.Version)).Uint64("fence", uint64(m.Fence)).Uint64("epoch", uint64(status[0].Epoch)).
		Str("stage", string(stage)).Float64("skew", d.c.planner.skew).Int("moves", d.c.planner.moves).
		Int64("took_ms", clock.Since(began).Milliseconds()).Int64("held_ms", d.held(m).Milliseconds()).Msg("map-change")
	if stage == mapswitch.StageDone {
		d.c.pending, d.c.pendingFrom = next.Version, clock.Now()
		d.c.planner.loaded(m.HeldAt().Sub(began))
	}
	d.c.planner.ended(next, stage == mapswitch.StageDone)
	if stage == mapswitch.StageAbandoned {
		d.c.planner.gaveUp()
	}
}

// goOnFrom has a map sent as what differs from the one in use. No agent has been sent the map that engines start with, but
// all can tell it: whole, the first map of 129 ranks takes half a second on the way to its agents.
func (d *driver) goOnFrom(current, next *expertmap.Map) {
	d.delta, d.deal = nil, nil
	change, ok := next.ChangeFrom(current)
	if !ok {
		return
	}
	if change.Base == 0 {
		deal := dealOf(current, d.c.engine)
		if deal.Map().Digest() != current.Digest() {
			return
		}
		d.deal = &deal
	}
	d.delta = &change
}

// dealOf describes the map that engines start with, of the same size as another.
func dealOf(m *expertmap.Map, e *catalog.Engine) expertmap.Deal {
	deal := expertmap.Deal{Layers: len(m.Layers)}
	if deal.Layers > 0 {
		deal.Ranks = len(m.Layers[0].Slots)
	}
	if e != nil {
		deal.Experts, deal.Places = e.Experts, e.Places
	}
	return deal
}

// inChanges returns an order as an agent gets it first: a map as what differs from the one in use.
func (d *driver) inChanges(start Start, o services.RankOrder) Order {
	out := Order{Lead: d.c.lead(), Start: start, Order: o}
	if o.Kind != services.RankPrepare || d.delta == nil {
		return out
	}
	out.Order.Layers, out.Change, out.Deal = nil, d.delta, d.deal
	return out
}

// held returns how long the group was held by a change that has just ended.
func (d *driver) held(m *mapswitch.Machine) time.Duration {
	if m.HeldAt().IsZero() {
		return 0
	}
	return clock.Since(m.HeldAt())
}

// self returns the coordinator's own rank.
func (d *driver) self() group.Rank {
	for r, m := range d.c.members {
		if m.info.Name == d.c.a.opts.Self.Name {
			return group.Rank(r)
		}
	}
	return 0
}

// drive runs a machine to its end and returns its last stage.
func (d *driver) drive(ctx context.Context, m *mapswitch.Machine) mapswitch.Stage {
	answers := make(chan answered, 4*len(d.c.members))
	tick := time.NewTicker(driveTick)
	defer tick.Stop()
	for !m.Ended() && ctx.Err() == nil && !d.c.lost {
		d.dispatch(ctx, m.Sends(), answers)
		select {
		case a := <-answers:
			m.Answer(clock.Now(), a.send, a.answer)
		case <-tick.C:
			if now := clock.Now(); !m.Holding() || now.Sub(d.c.lookedAt) > holdLook {
				d.observe(ctx, m)
			}
			m.Tick(clock.Now())
		case <-ctx.Done():
		}
	}
	d.c.fence = max(d.c.fence, m.Fence)
	if m.Stage() == mapswitch.StageLost {
		d.c.lost = true
	}
	return m.Stage()
}

// observe asks all ranks and tells the machine. Routers go on being told.
func (d *driver) observe(ctx context.Context, m *mapswitch.Machine) {
	asked := clock.Now()
	loading := m.Loading()
	d.c.look(ctx, loading)
	now := clock.Now()
	if loading {
		d.c.planner.watch(now, d.c.counts())
		if d.c.planner.outdated(now, driveTick) {
			m.Abandon()
		}
	}
	for r, mb := range d.c.members {
		if mb.known && mb.heard.After(asked) {
			m.Observe(now, mb.sent, group.Rank(r), mb.status)
		}
	}
	d.c.tellRouters(ctx, now)
}

// send gives an order to a rank: by its agent, or directly if the agent does not answer. First is the order as
// the agent gets it first; if that goes on from a map that it does not have, it gets the whole order.
func (d *driver) send(ctx context.Context, to peer.Info, s mapswitch.Send, first Order) services.RankAnswer {
	if s.Direct {
		return d.sendDirectly(ctx, to, s.Order)
	}
	if to.Name == d.c.a.opts.Self.Name {
		give := d.c.a.order
		if s.Begin {
			give = d.c.a.giveOrder
		}
		answer := give(s.Order)
		if answer == services.RankUnknown {
			sleep.For(ctx, resendPause)
		}
		return answer
	}
	r, err := d.c.a.orderAgent(ctx, to.Address, first)
	if err == nil && r.NoBase {
		r, err = d.c.a.orderAgent(ctx, to.Address, Order{Lead: first.Lead, Start: first.Start, Order: s.Order})
	}
	if err == nil {
		return r.Answer
	}
	if s.Order.Kind == services.RankAnnounce {
		return services.RankUnknown // no engine knows it
	}
	return d.orderDirectly(ctx, to, s.Order, peerTime)
}

const (
	// directTime bounds the first try of an order to the engine on another VM: two ways between data centres and what the
	// engine needs. directTries bounds how often it is given without an answer.
	directTime  = 20 * time.Millisecond
	directTries = 4
)

// sendDirectly gives an order to a rank's engine, and again if there is no answer.
func (d *driver) sendDirectly(ctx context.Context, to peer.Info, o services.RankOrder) services.RankAnswer {
	return giveAgain(directTime, directTries, func(limit time.Duration) services.RankAnswer { return d.orderDirectly(ctx, to, o, limit) })
}

func (d *driver) orderDirectly(ctx context.Context, to peer.Info, o services.RankOrder, limit time.Duration) services.RankAnswer {
	dctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	answer, err := d.c.a.opts.Dial(to.Engine).Order(dctx, o)
	if err != nil {
		d.c.logger.Warn().Str("agent", to.Name).Str("order", string(o.Kind)).Uint64("fence", uint64(o.Fence)).
			Str("answer", string(answer)).Err(err).Msg("direct-order-failed")
	}
	return answer
}
