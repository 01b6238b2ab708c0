// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package rank

import (
	"context"
	"time"

	"fawnwinch.org/fawnwinch/models/group"
	"fawnwinch.org/fawnwinch/modules/clock"
	"fawnwinch.org/fawnwinch/services/balance"
)

// logInterval is the time between two log lines on the load of the group.
const logInterval = 500 * time.Millisecond

// missingAfter is how long a rank may be silent before its group is reported as incomplete and the
// rank gets no new requests: more than five poll rounds of pollInterval. The ranks behind a relay
// that fails are heard again within it.
const missingAfter = 400 * time.Millisecond

// maxSilentFraction is the largest fraction of the ranks that are reported as silent. If more are,
// it is the coordinator that is slow or cut off, and none is reported.
const maxSilentFraction = 1.0 / 3

// silentTimeout is how long a silent rank may stall its group. One that is missing for longer is cut
// off from its coordinator: the platform replaces ranks that have ended sooner.
const silentTimeout = 10 * time.Second

// logLoad logs the load of the group at intervals.
func (c *coordinator) logLoad(now time.Time) {
	if now.Sub(c.loggedAt) < logInterval {
		return
	}
	var fullest, sum, waiting int
	step, pace := c.step(), 1.0
	for _, m := range c.members {
		fullest, sum, waiting = max(fullest, m.status.Running), sum+m.status.Running, waiting+m.status.Waiting
		pace = max(pace, m.status.Pace)
	}
	pass := 0.0
	if step > c.loggedStep && !c.loggedAt.IsZero() {
		pass = now.Sub(c.loggedAt).Seconds() * 1000 / float64(step-c.loggedStep)
	}
	skew := c.skew()
	load := balance.PassLoad{Mean: float64(sum) / float64(len(c.members)), Max: float64(fullest), Skew: skew, Pace: pace}
	c.logger.Info().Int("running", sum).Int("fullest", fullest).Int("waiting", waiting).Uint64("step", uint64(step)).
		Float64("pass_ms", pass).Float64("forecast_ms", c.forecast(load)).Float64("skew", skew).Msg("group-load")
	c.loggedAt, c.loggedStep = now, step
}

// step returns the last pass that a rank has begun.
func (c *coordinator) step() group.Step {
	var step group.Step
	for _, m := range c.members {
		step = max(step, m.status.Step)
	}
	return step
}

// forecast returns the length of a pass under a load in milliseconds, 0 while the engine's
// parameters are not known.
func (c *coordinator) forecast(l balance.PassLoad) float64 {
	if c.engine == nil {
		return 0
	}
	l.Context = c.engine.UsualPrompt
	return balance.Pass(c.engine, l).Seconds() * 1000
}

// reportToRouters sends routers the load of the group, and each of them its allotment.
func (c *coordinator) reportToRouters(ctx context.Context, now time.Time) {
	c.markSilent(now)
	c.markStalled(now)
	g := c.load(now)
	c.noteOpening(now, g)
	c.latest.Store(&g)
	targets := c.registry.Targets(now, c.routers)
	number, slots := c.registry.StartReport(now, targets, g.Ranks, c.bounds(now, g))
	for _, n := range targets {
		routerLoad := g
		routerLoad.Places = slots[n.Name]
		report, list := c.registry.Pack(n.Name, routerLoad)
		report.Authority, report.Coordinator = uint64(c.own.Authority), c.a.opts.Self.Address
		c.sending.Go(func() {
			cctx, cancel := context.WithTimeout(ctx, reportTimeout)
			defer cancel()
			var r balance.ReportReply
			if err := c.a.opts.Pool.Call(cctx, n.Address, "Router.Report", report, &r); err != nil {
				c.logger.Debug().Str("router", n.Name).Err(err).Msg("router-silent")
				return
			}
			c.registry.RecordReply(clock.Now(), n, number, list, r)
		})
	}
}

// Report returns to a router the load of the group that this agent coordinates; the answer is empty
// if it coordinates none. The router may decide by itself what to send until the next report, which
// contains its allotment.
func (p *API) Report(w balance.LoadRequest, r *balance.Report) error {
	p.a.mu.Lock()
	c := p.a.leading
	p.a.mu.Unlock()
	if c == nil {
		return nil
	}
	g := c.latest.Load()
	if g == nil {
		return nil
	}
	*r = c.registry.HandleLoadRequest(clock.Now(), w, *g)
	r.Authority, r.Coordinator = uint64(c.own.Authority), p.a.opts.Self.Address
	return nil
}

// load returns the latest known load of the group.
func (c *coordinator) load(now time.Time) balance.Group {
	g := balance.Group{Service: c.service, ID: c.first.Group, Open: true, Whole: true, Stalled: c.stalled}
	usualPrompt := 0
	if c.engine != nil {
		usualPrompt = int(c.engine.UsualPrompt)
	}
	for _, m := range c.members {
		if m.ended.After(m.sent) {
			// The other ranks report the group as broken only when their wait for the rank times
			// out, and hold their requests until then.
			g.Open, g.Whole = false, false
		}
		g.Whole = g.Whole && m.known && now.Sub(m.lastContact) < missingAfter
		if m.known && now.Sub(m.lastContact) < 2*directInterval {
			g.Open = g.Open && m.status.Open
			g.Ranks = append(g.Ranks, balance.RankLoad{
				Address: m.info.Engine, DataCentre: m.info.DataCentre, Running: m.status.Running, Waiting: m.status.Waiting, Unstarted: c.registry.Unstarted(now, m.info.Engine), Pace: m.status.Pace,
				Silent: m.silent, Unread: c.registry.Unread(now, m.info.Engine, usualPrompt),
			})
		}
	}
	g.Skew = c.skew()
	return g
}

// markSilent marks the ranks that get no new requests because they do not answer.
func (c *coordinator) markSilent(now time.Time) {
	unanswered := 0
	for _, m := range c.members {
		if m.known && m.unanswered(now) {
			unanswered++
		}
	}
	tooMany := float64(unanswered) > maxSilentFraction*float64(len(c.members))
	for r, m := range c.members {
		silent := m.known && m.unanswered(now) && !tooMany
		if silent == m.silent {
			continue
		}
		m.silent = silent
		event := "rank-heard"
		if silent {
			event = "rank-silent"
		}
		c.logger.Info().Str("agent", m.info.Name).Str("engine", m.info.Engine).Int("rank", r).Int("unanswered", unanswered).
			Int64("silent_ms", now.Sub(m.lastContact).Milliseconds()).Msg(event)
	}
}

// markStalled marks the group as stalled if a rank is silent and no pass has begun since. A group
// whose rank is only cut off from its coordinator goes on. Passes are counted anew when the group
// forms again, so any other number than the last one of a rank is a new pass.
func (c *coordinator) markStalled(now time.Time) {
	for _, m := range c.members {
		if m.status.Step != m.pass {
			m.pass, c.passAt = m.status.Step, now
		}
	}
	stalled := false
	for _, m := range c.members {
		stalled = stalled || m.silent && now.Sub(m.lastContact) < silentTimeout && now.Sub(c.passAt) > missingAfter
	}
	if stalled != c.stalled {
		c.stalled = stalled
		c.logger.Info().Str("group", string(c.first.Group)).Bool("stalled", stalled).Uint64("step", uint64(c.step())).
			Int64("pass_age_ms", now.Sub(c.passAt).Milliseconds()).Msg("group-stalled")
	}
}

// unanswered reports whether neither the rank's agent nor its engine has answered lately. An engine
// whose agent is silent is asked once in directInterval, so its answer is valid until the next.
func (m *member) unanswered(now time.Time) bool {
	valid := missingAfter
	if m.direct {
		valid += directInterval
	}
	return now.Sub(m.lastContact) > valid
}

// skew returns the skew of the map in use.
func (c *coordinator) skew() float64 {
	if c.planner == nil || c.planner.skew == 0 {
		return balance.InitialMapSkew
	}
	return c.planner.skew
}

// noteOpening records when the group has opened. A group that this coordinator has not seen closed
// counts as opened when all its ranks are first seen without running requests. If any runs one, the
// group was open under an earlier coordinator, and its catch-up is not started a second time.
func (c *coordinator) noteOpening(now time.Time, g balance.Group) {
	switch {
	case !g.Open:
		c.opened, c.wasClosed, c.openedAt = false, true, time.Time{}
	case !c.opened && len(g.Ranks) == len(c.members):
		c.opened = true
		if c.wasClosed || g.Load().Writers == 0 {
			c.openedAt = now
		}
	}
}

// bounds returns the limits of the ranks, or nil while the parameters of the engine are not known.
func (c *coordinator) bounds(now time.Time, g balance.Group) *balance.Bounds {
	if c.engine == nil {
		return nil
	}
	load := g.Load()
	o := balance.Opening{At: c.openedAt, Waiting: c.registry.Waiting(now), Ranks: len(g.Ranks), Goal: c.answerGoal}
	b := balance.CatchUpBounds(now, c.engine, load, balance.GroupBounds(c.engine, load, c.goal).LimitUnread(c.engine, load, c.goal).ForRanks(g.Ranks), o)
	b.LevelMeans = balance.LevelMeans(c.engine, load.Pace, c.goal, c.registry.Levels(now))
	return &b
}
