// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package rank

import (
	"context"
	"time"

	"fawnwinch.org/fawnwinch/models/group"
	"fawnwinch.org/fawnwinch/modules/clock"
	"fawnwinch.org/fawnwinch/services"
	"fawnwinch.org/fawnwinch/services/peer"
)

// foreignValid is how long an agent counts as one of another group once it has said so. Groups change when their ranks
// start anew, which takes seconds.
const foreignValid = 2 * time.Second

// answers is what the agents of a part have answered to a question that was sent at a time; a reply is nil for one that
// did not.
type answers struct {
	part    part
	sent    time.Time
	replies []*Reply
	// failed names a relay that did not answer. Direct says that an engine was asked, and not the agents.
	failed string
	direct bool
}

// look asks all ranks for their load. It waits for the parts whose answers came in time before; others are taken in
// when they come.
func (c *coordinator) look(ctx context.Context, counts bool) {
	now := clock.Now()
	c.noteLook(now)
	counted := map[string]bool{}
	if counts {
		counted = c.counted(now)
		c.dropCounts(counted)
	}
	c.lookAtSelf(counted)
	waited := map[string]bool{}
	for _, p := range c.parts {
		key := p[0].Name
		if c.outstanding[key] || len(p) == 1 && c.skips(now, p[0]) {
			continue
		}
		c.outstanding[key] = true
		if !c.late[key] {
			waited[key] = true
		}
		c.askPart(ctx, now, p, counted)
	}
	c.collect(ctx, waited)
	c.askDirectly(ctx)
	c.judge(clock.Now())
}

// lookAtSelf takes in the load of the own rank.
func (c *coordinator) lookAtSelf(counted map[string]bool) {
	sent := clock.Now()
	var own Reply
	err := c.a.status(c.ask(c.a.opts.Self, counted), &own)
	switch {
	case err != nil: // it is asked again with the next look
	case own.Ended:
		c.noteEnded(sent, c.a.opts.Self)
	default:
		s := own.Status
		c.moved = s.Group != c.first.Group || s.Rank != c.first.Rank || s.Size != c.first.Size
		c.take(sent, c.a.opts.Self, own)
	}
	c.lost = c.lost || !c.a.hear(clock.Now(), c.lead())
}

// askPart asks the agents of a part. What they answer comes in the inbox.
func (c *coordinator) askPart(ctx context.Context, now time.Time, p part, counted map[string]bool) {
	if len(p) == 1 {
		ask := c.ask(p[0], counted)
		c.sending.Go(func() { c.inbox <- answers{part: p, sent: now, replies: []*Reply{c.a.askAgent(ctx, p[0], ask)}} })
		return
	}
	relay, ok := p.relay(now, c.failedRelays)
	if !ok {
		relay = p[0]
	}
	g := GatherAsk{Ask: c.ask(peer.Info{}, nil), Members: make([]GatherMember, len(p))}
	for i, n := range p {
		ask := c.ask(n, counted)
		g.Members[i] = GatherMember{Address: n.Address, Counts: ask.Counts, Since: ask.Since}
	}
	c.sending.Go(func() { c.inbox <- c.gather(ctx, now, p, relay, g) })
}

// gather has a relay ask the agents of its part.
func (c *coordinator) gather(ctx context.Context, sent time.Time, p part, relay peer.Info, g GatherAsk) answers {
	cctx, cancel := context.WithTimeout(ctx, relayTime)
	defer cancel()
	out := answers{part: p, sent: sent, replies: make([]*Reply, len(p))}
	var r GatherReply
	err := c.a.opts.Pool.Call(cctx, relay.Address, "Rank.Gather", g, &r)
	if err != nil || len(r.Replies) != len(p) || len(r.Silent) != len(p) {
		c.logger.Info().Str("relay", relay.Name).Int("agents", len(p)).Err(err).Msg("relay-silent")
		out.failed = relay.Name
		return out
	}
	for i := range r.Replies {
		if !r.Silent[i] {
			out.replies[i] = &r.Replies[i]
		}
	}
	return out
}

// collect takes in answers until all parts that are waited for have answered, and all that have come by then.
func (c *coordinator) collect(ctx context.Context, waited map[string]bool) {
	for {
		var a answers
		if len(waited) > 0 {
			select {
			case a = <-c.inbox:
			case <-ctx.Done():
				return
			}
		} else {
			select {
			case a = <-c.inbox:
			default:
				return
			}
		}
		c.takeAll(a)
		if !a.direct {
			delete(waited, a.part[0].Name)
		}
	}
}

// takeAll takes in the answers of a part.
func (c *coordinator) takeAll(a answers) {
	now := clock.Now()
	if key := a.part[0].Name; !a.direct {
		c.outstanding[key], c.late[key] = false, now.Sub(a.sent) > lateAfter
	}
	if a.failed != "" {
		c.failedRelays[a.failed] = now
	}
	for i, r := range a.replies {
		switch {
		case r == nil:
		case r.Foreign:
			c.foreign[a.part[i].Name] = now
		case r.Authority != c.own.Authority:
			c.lost = c.lost || r.Authority > c.own.Authority
		case r.Ended:
			c.noteEnded(a.sent, a.part[i])
		default:
			c.take(a.sent, a.part[i], *r)
		}
	}
}

// noteEnded notes that the engine of a rank has ended, as its agent has found after a question that was sent at a time.
func (c *coordinator) noteEnded(sent time.Time, n peer.Info) {
	m := c.memberOf(n)
	if m == nil || sent.Before(m.sent) {
		return
	}
	if m.ended.Before(m.sent) {
		c.logger.Info().Str("agent", n.Name).Str("engine", n.Engine).Int("rank", int(m.status.Rank)).Msg("engine-ended")
	}
	m.ended = sent
}

// judge notes whether most ranks are in reach.
func (c *coordinator) judge(now time.Time) {
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

// skips reports whether an agent need not be asked in a look: it has lately said that its rank is of another group.
func (c *coordinator) skips(now time.Time, n peer.Info) bool {
	told, ok := c.foreign[n.Name]
	return ok && now.Sub(told) < foreignValid
}

// ask returns the question for the agent of a rank. Counted holds the engines whose counts are wanted.
func (c *coordinator) ask(n peer.Info, counted map[string]bool) Ask {
	a := Ask{Lead: c.lead(), Counts: counted[n.Engine]}
	if a.Counts {
		if m := c.memberOf(n); m != nil {
			a.Since = m.counts.number
		}
	}
	return a
}

// askDirectly asks the engines of ranks whose agents have been silent for a while, a few at a time.
func (c *coordinator) askDirectly(ctx context.Context) {
	now := clock.Now()
	for _, n := range c.agents {
		if c.asking.Load() >= directAtOnce || c.skips(now, n) {
			continue
		}
		m := c.memberOf(n)
		if m != nil && (now.Sub(m.heard) < directEvery || now.Sub(m.asked) < directEvery) {
			continue
		}
		if m == nil && now.Sub(c.at) > directEvery {
			continue
		}
		if m != nil {
			m.asked = now
		}
		c.asking.Add(1)
		c.sending.Go(func() {
			defer c.asking.Add(-1)
			c.inbox <- c.askEngine(ctx, n)
		})
	}
}

// askEngine asks a rank's engine directly.
func (c *coordinator) askEngine(ctx context.Context, n peer.Info) answers {
	sent := clock.Now()
	cctx, cancel := context.WithTimeout(ctx, peerTime)
	defer cancel()
	s, err := c.a.opts.Dial(n.Engine).Status(cctx)
	c.logger.Info().Str("agent", n.Name).Str("engine", n.Engine).Int("rank", int(s.Rank)).Uint64("step", uint64(s.Step)).
		Bool("holds", s.Holds).Err(err).Msg("engine-asked-directly")
	out := answers{part: part{n}, sent: sent, replies: []*Reply{nil}, direct: true}
	if err == nil {
		out.replies[0] = &Reply{Authority: c.own.Authority, Status: s}
	}
	return out
}

func (c *coordinator) memberOf(n peer.Info) *member {
	for _, m := range c.members {
		if m.known && m.info.Engine == n.Engine {
			return m
		}
	}
	return nil
}

// take notes a rank's reply to a question that was sent at a time. One that was overtaken by a later one is dropped.
func (c *coordinator) take(sent time.Time, n peer.Info, r Reply) {
	if int(r.Status.Rank) >= len(c.members) || r.Status.Size != len(c.members) || r.Status.Group != c.first.Group {
		return
	}
	m := c.members[r.Status.Rank]
	if m.known && (sent.Before(m.sent) || n.Engine == m.info.Engine && r.Status.Born < m.status.Born) {
		return
	}
	m.info, m.status, m.sent, m.heard, m.known = n, r.Status, sent, clock.Now(), true
	if r.Start != 0 {
		m.start = r.Start
	}
	m.counts.add(r.Counts)
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

// statusesBut returns the one rank that has not answered for some looks, and the status of all others; false if it is
// not one, or the others differ in epoch or have not answered lately.
func (c *coordinator) statusesBut(now time.Time) (silent group.Rank, out []services.RankStatus, ok bool) {
	out = make([]services.RankStatus, len(c.members))
	var epoch services.Epoch
	count := 0
	for r, m := range c.members {
		if !m.known || now.Sub(m.heard) > missingAfter {
			silent = group.Rank(r)
			count++
			continue
		}
		if epoch == 0 {
			epoch = m.status.Epoch
		}
		if m.status.Epoch != epoch || !m.status.Open {
			return 0, nil, false
		}
		out[r] = m.status
	}
	return silent, out, count == 1 && len(c.members) > 1
}
