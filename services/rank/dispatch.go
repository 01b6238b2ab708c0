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

// delivery is an order that is to be sent to one rank.
type delivery struct {
	send mapswitch.Send
	to   peer.Info
	// first is the order in the form in which the agent receives it first.
	first Order
}

// batch identifies orders that are sent together: the same order to ranks of one part.
type batch struct {
	part    int
	kind    services.RankOrderKind
	version expertmap.Version
	step    group.Step
}

// dispatch sends orders: identical ones to several ranks of a part through a relay, others one by
// one. Orders that go directly to engines need no relay, and neither does an announcement, which
// goes to one agent only.
func (d *driver) dispatch(ctx context.Context, sends []mapswitch.Send, answers chan<- answered) {
	batches := map[batch][]delivery{}
	for _, s := range sends {
		m := d.c.members[s.Rank]
		dl := delivery{send: s, to: m.info, first: d.asChange(m.start, s.Order)}
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

// forward sends orders to the agents of a part through a relay. If the relay does not answer, the
// coordinator sends each order itself, as it does for an agent that the relay cannot reach or that
// lacks the base map of the order.
func (d *driver) forward(ctx context.Context, relay peer.Info, dls []delivery, answers chan<- answered) {
	kind := dls[0].send.Order.Kind
	cctx, cancel := context.WithTimeout(ctx, orderTimeOf(kind)+peerTimeout)
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
			d.c.sending.Go(func() { answers <- answered{dl.send, d.orderDirectly(ctx, dl.to, dl.send.Order, peerTimeout)} })
		case r.Replies[i].NoBase:
			complete := Order{Lead: dl.first.Lead, Start: dl.first.Start, Order: dl.send.Order}
			d.c.sending.Go(func() { answers <- answered{dl.send, d.send(ctx, dl.to, dl.send, complete)} })
		default:
			answers <- answered{dl.send, r.Replies[i].Answer}
		}
	}
}
