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

// driver carries out a change of map: it sends the orders that the machine requests and passes the
// answers back to it.
type driver struct {
	c *coordinator
	// delta is the difference of the map that is being prepared from the one in use; nil if the
	// full map is sent. deal describes the map in use if it is the one that engines start with.
	delta *expertmap.Change
	deal  *expertmap.InitialMap
}

const (
	// driveTick is the time between two polls of the ranks during a change.
	driveTick = 80 * time.Millisecond
	// heldPollInterval is the time between two polls while the group is held. They add nothing to
	// the answers to orders, and they delay the orders.
	heldPollInterval = 300 * time.Millisecond
	// resendPause is the pause before an order without an answer is sent again.
	resendPause = 5 * time.Millisecond
)

type answered struct {
	send   mapswitch.Send
	answer services.RankAnswer
}

// reconcile undoes what an earlier coordinator has left unfinished. It returns false if there was
// nothing.
func (d *driver) reconcile(ctx context.Context, status []services.RankStatus) bool {
	return d.reconcileBy(ctx, mapswitch.Resolve(clock.Now(), d.c.fence+1, d.self(), status), -1)
}

// reconcileWithout is reconcile for a group in which one rank does not answer. It reports whether
// there was something that can be undone without that rank.
func (d *driver) reconcileWithout(ctx context.Context, silent group.Rank, status []services.RankStatus) bool {
	return d.reconcileBy(ctx, mapswitch.ResolveWithout(clock.Now(), d.c.fence+1, d.self(), silent, status), int(silent))
}

func (d *driver) reconcileBy(ctx context.Context, m *mapswitch.Machine, silent int) bool {
	if m == nil {
		return false
	}
	begun := clock.Now()
	stage := d.drive(ctx, m)
	d.c.logger.Info().Uint64("fence", uint64(m.Fence)).Uint64("epoch", uint64(d.c.members[d.self()].status.Epoch)).Int("silent_rank", silent).
		Str("stage", string(stage)).Int64("took_ms", clock.Since(begun).Milliseconds()).Msg("map-settle")
	return true
}

// change switches the group to a new map. If it succeeds, the map is pending until the ranks begin
// the pass that uses it, and the planner learns how long the loading took. If it is abandoned
// because demand has shifted, the planner may plan the next change at once.
func (d *driver) change(ctx context.Context, status []services.RankStatus, next *expertmap.Map) {
	began := clock.Now()
	m := mapswitch.Start(began, d.c.fence+1, d.self(), status, next.Version, next.Layers)
	d.setBase(d.c.planner.current, next)
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
		d.c.planner.abandoned()
	}
}

// setBase prepares a map to be sent as its difference from the one in use. No agent was sent the
// map that engines start with, but all can derive it: sent in full, the first map of 129 ranks
// takes half a second on the way to its agents.
func (d *driver) setBase(current, next *expertmap.Map) {
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

// dealOf describes the map that engines start with, of the same size as another map.
func dealOf(m *expertmap.Map, e *catalog.Engine) expertmap.InitialMap {
	deal := expertmap.InitialMap{Layers: len(m.Layers)}
	if deal.Layers > 0 {
		deal.Ranks = len(m.Layers[0].Slots)
	}
	if e != nil {
		deal.Experts, deal.Places = e.Experts, e.Places
	}
	return deal
}

// asChange returns an order in the form in which an agent receives it first: a map as its
// difference from the one in use.
func (d *driver) asChange(start Start, o services.RankOrder) Order {
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

// self returns the coordinator's own rank, or 0 if no rank is recorded for its agent: the engine
// beside it has not answered since the coordinator began.
func (d *driver) self() group.Rank {
	for r, m := range d.c.members {
		if m.info.Name == d.c.a.opts.Self.Name {
			return group.Rank(r)
		}
	}
	return 0
}

// drive runs a machine to its end and returns its last stage. If the agent stops, it ends as soon as
// the group is not held.
func (d *driver) drive(ctx context.Context, m *mapswitch.Machine) mapswitch.Stage {
	if !d.c.a.beginChange() {
		return m.Stage()
	}
	defer d.c.a.endChange()
	answers := make(chan answered, 4*len(d.c.members))
	tick := time.NewTicker(driveTick)
	defer tick.Stop()
	for !m.Ended() && ctx.Err() == nil && !d.c.lost {
		if m.Loading() && d.c.a.isStopping() {
			m.Abandon()
			continue
		}
		d.dispatch(ctx, m.TakeOrders(), answers)
		select {
		case a := <-answers:
			m.HandleAnswer(clock.Now(), a.send, a.answer)
		case <-tick.C:
			if now := clock.Now(); !m.Holding() || now.Sub(d.c.roundBeganAt) > heldPollInterval {
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

// observe polls all ranks and passes their statuses to the machine. Reports to routers continue.
func (d *driver) observe(ctx context.Context, m *mapswitch.Machine) {
	asked := clock.Now()
	loading := m.Loading()
	d.c.poll(ctx, loading)
	now := clock.Now()
	if loading {
		d.c.planner.watch(now, d.c.counts())
		if d.c.planner.outdated(now, driveTick) {
			m.Abandon()
		}
	}
	for r, mb := range d.c.members {
		if mb.known && mb.lastContact.After(asked) {
			m.Observe(now, mb.sent, group.Rank(r), mb.status)
		}
	}
	d.c.reportToRouters(ctx, now)
}

// send sends an order to a rank: through its agent, or directly if the agent does not answer. first
// is the order as the agent receives it first; if the agent lacks its base map, it gets the
// complete order.
func (d *driver) send(ctx context.Context, to peer.Info, s mapswitch.Send, first Order) services.RankAnswer {
	if s.Direct {
		return d.sendDirectly(ctx, to, s.Order)
	}
	if to.Name == d.c.a.opts.Self.Name {
		sendOwn := d.c.a.order
		if s.Begin {
			sendOwn = d.c.a.sendOrder
		}
		answer := sendOwn(s.Order)
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
	return d.orderDirectly(ctx, to, s.Order, peerTimeout)
}

const (
	// directTimeout bounds the first attempt of an order to the engine on another VM: a round trip
	// between data centres and the engine's processing time. directTries is the maximum number of
	// attempts without an answer.
	directTimeout = 20 * time.Millisecond
	directTries   = 4
)

// sendDirectly sends an order to a rank's engine, with retries if there is no answer.
func (d *driver) sendDirectly(ctx context.Context, to peer.Info, o services.RankOrder) services.RankAnswer {
	return sendWithRetry(directTimeout, directTries, func(limit time.Duration) services.RankAnswer { return d.orderDirectly(ctx, to, o, limit) })
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
