// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package rank

import (
	"context"

	"fawnwinch.org/fawnwinch/models/expertmap"
	"fawnwinch.org/fawnwinch/models/group"
	"fawnwinch.org/fawnwinch/modules/clock"
	"fawnwinch.org/fawnwinch/services"
	"fawnwinch.org/fawnwinch/services/mapswitch"
	"fawnwinch.org/fawnwinch/services/peer"
)

// delivery is an order on its way to one rank.
type delivery struct {
	send mapswitch.Send
	to   peer.Info
	// first is the order as the agent gets it first.
	first Order
}

// batch tells which orders go together: the same order to ranks of one part.
type batch struct {
	part    int
	kind    services.RankOrderKind
	version expertmap.Version
	step    group.Step
}

// dispatch sends orders: the same to several ranks of a part through a relay, others one by one.
func (d *driver) dispatch(ctx context.Context, sends []mapswitch.Send, answers chan<- answered) {
	batches := map[batch][]delivery{}
	for _, s := range sends {
		m := d.c.members[s.Rank]
		dl := delivery{send: s, to: m.info, first: d.inChanges(m.start, s.Order)}
		i, ok := d.c.partOf[m.info.Name]
		if !ok || s.Direct || s.Order.Kind == services.RankAnnounce {
			d.each(ctx, []delivery{dl}, answers)
			continue
		}
		key := batch{part: i, kind: s.Order.Kind, version: s.Order.Version, step: s.Order.Step}
		batches[key] = append(batches[key], dl)
	}
	now := clock.Now()
	for key, dls := range batches {
		relay, ok := d.c.parts[key.part].relay(now, d.c.failedRelays)
		if !ok || len(dls) == 1 {
			d.each(ctx, dls, answers)
			continue
		}
		d.c.sending.Go(func() { d.forward(ctx, relay, dls, answers) })
	}
}

// each sends orders one by one.
func (d *driver) each(ctx context.Context, dls []delivery, answers chan<- answered) {
	for _, dl := range dls {
		d.c.sending.Go(func() { answers <- answered{dl.send, d.send(ctx, dl.to, dl.send, dl.first)} })
	}
}

// forward has a relay give orders to agents of its part. If it does not answer each gets its order from here, as does an
// agent that cannot be reached from there or lacks the map that the order goes on from.
func (d *driver) forward(ctx context.Context, relay peer.Info, dls []delivery, answers chan<- answered) {
	kind := dls[0].send.Order.Kind
	cctx, cancel := context.WithTimeout(ctx, orderTimeOf(kind)+peerTime)
	defer cancel()
	f := ForwardOrder{Order: dls[0].first, Members: make([]ForwardMember, len(dls))}
	for i, dl := range dls {
		f.Members[i] = ForwardMember{Address: dl.to.Address, Start: dl.first.Start}
	}
	var r ForwardReply
	err := d.c.a.opts.Pool.Call(cctx, relay.Address, "Rank.Forward", f, &r)
	if err != nil || len(r.Replies) != len(dls) || len(r.Silent) != len(dls) {
		d.c.logger.Info().Str("relay", relay.Name).Str("order", string(kind)).Int("agents", len(dls)).Err(err).Msg("relay-silent")
		d.each(ctx, dls, answers)
		return
	}
	for i, dl := range dls {
		switch {
		case r.Silent[i]:
			d.c.sending.Go(func() { answers <- answered{dl.send, d.orderDirectly(ctx, dl.to, dl.send.Order, peerTime)} })
		case r.Replies[i].NoBase:
			whole := Order{Lead: dl.first.Lead, Start: dl.first.Start, Order: dl.send.Order}
			d.c.sending.Go(func() { answers <- answered{dl.send, d.send(ctx, dl.to, dl.send, whole)} })
		default:
			answers <- answered{dl.send, r.Replies[i].Answer}
		}
	}
}
