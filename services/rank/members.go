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

// foreignValid is how long an agent's report that it belongs to another group is valid. Groups
// change when their ranks restart, which takes seconds.
const foreignValid = 2 * time.Second

// answers holds the answers of the agents of a part to a request that was sent at a time; a reply
// is nil for an agent that did not answer.
type answers struct {
	part    part
	sent    time.Time
	replies []*Reply
	// failed names a relay that did not answer. direct reports whether an engine was asked instead
	// of the agents.
	failed string
	direct bool
}

// poll asks all ranks for their load. It waits for the parts that answered in time before; answers
// of the others are processed when they arrive.
func (c *coordinator) poll(ctx context.Context, counts bool) {
	now := clock.Now()
	c.noteRound(now)
	counted := map[string]bool{}
	if counts {
		counted = c.enginesToCount(now)
		c.dropCounts(counted)
	}
	c.pollSelf(counted)
	awaited := map[string]bool{}
	for _, p := range c.parts {
		key := p[0].Name
		if c.outstanding[key] || len(p) == 1 && c.skips(now, p[0]) {
			continue
		}
		c.outstanding[key] = true
		if !c.late[key] {
			awaited[key] = true
		}
		c.askPart(ctx, now, p, counted)
	}
	c.collect(ctx, awaited)
	c.askDirectly(ctx)
	c.checkReach(clock.Now())
}

// pollSelf records the load of the coordinator's own rank.
func (c *coordinator) pollSelf(counted map[string]bool) {
	sent := clock.Now()
	var own Reply
	err := c.a.status(c.ask(c.a.opts.Self, counted), &own)
	switch {
	case err != nil: // retried in the next round
	case own.Ended:
		c.noteEnded(sent, c.a.opts.Self)
	default:
		s := own.Status
		c.moved = s.Group != c.first.Group || s.Rank != c.first.Rank || s.Size != c.first.Size
		c.record(sent, c.a.opts.Self, own, false)
	}
	c.lost = c.lost || !c.a.receive(clock.Now(), c.lead())
}

// askPart polls the agents of a part. Their answers arrive in the inbox.
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

// gather polls the agents of a part through a relay. If the relay fails, no agent of the part
// counts as having answered, and another relay is used for a while.
func (c *coordinator) gather(ctx context.Context, sent time.Time, p part, relay peer.Info, g GatherAsk) answers {
	cctx, cancel := context.WithTimeout(ctx, relayTimeout)
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

// collect processes answers until all awaited parts have answered, and all others that have arrived
// by then.
func (c *coordinator) collect(ctx context.Context, awaited map[string]bool) {
	for {
		var a answers
		if len(awaited) > 0 {
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
		c.recordAll(a)
		if !a.direct {
			delete(awaited, a.part[0].Name)
		}
	}
}

// recordAll records the answers of a part.
func (c *coordinator) recordAll(a answers) {
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
			c.record(a.sent, a.part[i], *r, a.direct)
		}
	}
}

// noteEnded records that the engine of a rank has ended, as its agent reported after a request that
// was sent at a time.
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

// checkReach records whether most ranks are reachable.
func (c *coordinator) checkReach(now time.Time) {
	reachable := 0
	for _, m := range c.members {
		if m.known && now.Sub(m.lastContact) < time.Second {
			reachable++
		}
	}
	if 2*reachable > len(c.members) {
		c.reached = now
	}
}

// skips reports whether an agent need not be polled in a round: it has recently reported that its
// rank is of another group.
func (c *coordinator) skips(now time.Time, n peer.Info) bool {
	reportedAt, ok := c.foreign[n.Name]
	return ok && now.Sub(reportedAt) < foreignValid
}

// ask returns the request for the agent of a rank. counted holds the engines whose counts are
// requested.
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
		if c.asking.Load() >= maxDirect || c.skips(now, n) {
			continue
		}
		m := c.memberOf(n)
		if m != nil && !m.directDue(now) {
			continue
		}
		if m == nil && now.Sub(c.at) > directInterval {
			continue
		}
		if m != nil {
			m.directAt = now
		}
		c.asking.Add(1)
		c.sending.Go(func() {
			defer c.asking.Add(-1)
			c.inbox <- c.askEngine(ctx, n)
		})
	}
}

// directDue reports whether a rank's engine should be asked directly.
func (m *member) directDue(now time.Time) bool {
	return now.Sub(m.lastContact) > missingAfter && now.Sub(m.directAt) >= directInterval
}

// askEngine asks a rank's engine directly.
func (c *coordinator) askEngine(ctx context.Context, n peer.Info) answers {
	sent := clock.Now()
	cctx, cancel := context.WithTimeout(ctx, peerTimeout)
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

// record records a rank's reply to a request that was sent at a time. A reply that a later one has
// overtaken is dropped. Direct reports whether the engine was asked instead of the agent.
func (c *coordinator) record(sent time.Time, n peer.Info, r Reply, direct bool) {
	if int(r.Status.Rank) >= len(c.members) || r.Status.Size != len(c.members) || r.Status.Group != c.first.Group {
		return
	}
	m := c.members[r.Status.Rank]
	if m.known && (sent.Before(m.sent) || n.Engine == m.info.Engine && r.Status.Born < m.status.Born) {
		return
	}
	c.notePace(sent, m, n, r.Status)
	m.info, m.status, m.sent, m.lastContact, m.known, m.direct = n, r.Status, sent, clock.Now(), true, direct
	if r.Start != 0 {
		m.start = r.Start
	}
	m.counts.add(r.Counts)
}

// statuses returns the latest status of every rank, or false if one is missing or they differ in
// epoch.
func (c *coordinator) statuses(now time.Time) ([]services.RankStatus, bool) {
	out := make([]services.RankStatus, len(c.members))
	for i, m := range c.members {
		if !m.known || now.Sub(m.lastContact) > 2*directInterval || m.status.Epoch != c.members[0].status.Epoch || !m.status.Open {
			return nil, false
		}
		out[i] = m.status
	}
	return out, true
}

// statusesExceptOne returns the one rank that has not answered for some rounds, and the status of
// all others; false if there is not exactly one, or the others differ in epoch or have not answered
// recently.
func (c *coordinator) statusesExceptOne(now time.Time) (silent group.Rank, out []services.RankStatus, ok bool) {
	out = make([]services.RankStatus, len(c.members))
	var epoch services.Epoch
	count := 0
	for r, m := range c.members {
		if !m.known || now.Sub(m.lastContact) > missingAfter {
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
