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

// noteEvery is the time between two lines on the load of the group.
const noteEvery = 500 * time.Millisecond

// missingAfter is how long a rank may be silent before its group counts as not whole; some looks.
const missingAfter = 400 * time.Millisecond

// note logs the load of the group from time to time.
func (c *coordinator) note(now time.Time) {
	if now.Sub(c.notedAt) < noteEvery {
		return
	}
	var most, sum, waiting int
	var step group.Step
	pace := 1.0
	for _, m := range c.members {
		most, sum, waiting = max(most, m.status.Running), sum+m.status.Running, waiting+m.status.Waiting
		step, pace = max(step, m.status.Step), max(pace, m.status.Pace)
	}
	pass := 0.0
	if step > c.notedStep && !c.notedAt.IsZero() {
		pass = now.Sub(c.notedAt).Seconds() * 1000 / float64(step-c.notedStep)
	}
	skew := c.skew()
	load := balance.PassLoad{Mean: float64(sum) / float64(len(c.members)), Max: float64(most), Skew: skew, Pace: pace}
	c.logger.Info().Int("running", sum).Int("fullest", most).Int("waiting", waiting).Uint64("step", uint64(step)).
		Float64("pass_ms", pass).Float64("forecast_ms", c.forecast(load)).Float64("skew", skew).Msg("group-load")
	c.notedAt, c.notedStep = now, step
}

// forecast returns the length of a pass under a load in milliseconds, 0 while the engine's figures are not known.
func (c *coordinator) forecast(l balance.PassLoad) float64 {
	if c.engine == nil {
		return 0
	}
	l.Context = c.engine.UsualPrompt
	return balance.Pass(c.engine, l).Seconds() * 1000
}

// tellRouters tells routers the load of the group, and each of them what it may send.
func (c *coordinator) tellRouters(ctx context.Context, now time.Time) {
	g := c.load(now)
	c.latest.Store(&g)
	targets := c.book.Targets(now, c.routers)
	number, places := c.book.Report(now, targets, g.Ranks, c.bounds(g))
	for _, n := range targets {
		told := g
		told.Places = places[n.Name]
		report, list := c.book.Pack(n.Name, told)
		report.Authority, report.Coordinator = uint64(c.own.Authority), c.a.opts.Self.Address
		c.sending.Go(func() {
			cctx, cancel := context.WithTimeout(ctx, reportTime)
			defer cancel()
			var r balance.ReportReply
			if err := c.a.opts.Pool.Call(cctx, n.Address, "Router.Report", report, &r); err != nil {
				c.logger.Debug().Str("router", n.Name).Err(err).Msg("router-silent")
				return
			}
			c.book.Answered(clock.Now(), n, number, list, r)
		})
	}
}

// Report tells a router the load of the group that this agent coordinates; the answer is empty if it coordinates none.
// The router may judge by itself what to send until the next report, which tells it.
func (p *API) Report(w balance.Want, r *balance.Report) error {
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
	*r = c.book.Want(clock.Now(), w, *g)
	r.Authority, r.Coordinator = uint64(c.own.Authority), p.a.opts.Self.Address
	return nil
}

// load returns the load of the group as it was last heard of.
func (c *coordinator) load(now time.Time) balance.Group {
	g := balance.Group{Service: c.service, ID: c.first.Group, Open: true, Whole: true}
	for _, m := range c.members {
		if m.ended.After(m.sent) {
			// The others tell that the group is broken only when they give up to wait for the rank, and hold what they get until then.
			g.Open, g.Whole = false, false
		}
		g.Whole = g.Whole && m.known && now.Sub(m.heard) < missingAfter
		if m.known && now.Sub(m.heard) < 2*directEvery {
			g.Open = g.Open && m.status.Open
			g.Ranks = append(g.Ranks, balance.RankLoad{
				Address: m.info.Engine, DataCentre: m.info.DataCentre, Running: m.status.Running, Waiting: m.status.Waiting, Unstarted: c.book.Unstarted(now, m.info.Engine), Pace: m.status.Pace,
			})
		}
	}
	g.Skew = c.skew()
	return g
}

// skew returns the skew of the map in use.
func (c *coordinator) skew() float64 {
	if c.planner == nil || c.planner.skew == 0 {
		return balance.FirstSkew
	}
	return c.planner.skew
}

// bounds returns what the ranks may have, or nil while the figures of the engine are not known.
func (c *coordinator) bounds(g balance.Group) *balance.Bounds {
	if c.engine == nil {
		return nil
	}
	b := balance.GroupBounds(c.engine, g.Load(), c.goal)
	return &b
}
