// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package rank

import (
	"context"
	"time"

	"fawnwinch.org/fawnwinch/models/group"
	"fawnwinch.org/fawnwinch/services/balance"
)

// noteEvery is the time between two lines on the load of the group.
const noteEvery = 500 * time.Millisecond

// note logs the load of the group from time to time.
func (c *coordinator) note(now time.Time) {
	if now.Sub(c.notedAt) < noteEvery {
		return
	}
	var most, sum, waiting int
	var step group.Step
	for _, m := range c.members {
		most, sum, waiting = max(most, m.status.Running), sum+m.status.Running, waiting+m.status.Waiting
		step = max(step, m.status.Step)
	}
	pass := 0.0
	if step > c.notedStep {
		pass = now.Sub(c.notedAt).Seconds() * 1000 / float64(step-c.notedStep)
	}
	skew := 0.0
	if c.planner != nil {
		skew = c.planner.skew
	}
	c.a.opts.Logger.Info().Int("running", sum).Int("fullest", most).Int("waiting", waiting).Uint64("step", uint64(step)).
		Float64("pass_ms", pass).Float64("skew", skew).Msg("group-load")
	c.notedAt, c.notedStep = now, step
}

// tellRouters tells all routers the load of the group.
func (c *coordinator) tellRouters(ctx context.Context, now time.Time) {
	g := balance.Group{Service: c.service, ID: c.first.Group, Open: true}
	for _, m := range c.members {
		if m.known && now.Sub(m.heard) < 2*directEvery {
			g.Open = g.Open && m.status.Open
			g.Ranks = append(g.Ranks, balance.RankLoad{
				Address: m.info.Engine, Running: m.status.Running, Waiting: m.status.Waiting, Unstarted: c.unstartedAt(now, m.info.Engine), Pace: m.status.Pace,
			})
		}
	}
	if c.planner != nil {
		g.Skew = c.planner.skew
	}
	for _, n := range c.routers {
		c.sending.Go(func() {
			cctx, cancel := context.WithTimeout(ctx, reportTime)
			defer cancel()
			var r struct{ Unstarted balance.Unstarted }
			if err := c.a.opts.Pool.Call(cctx, n.Address, "Router.Report", g, &r); err != nil {
				c.a.opts.Logger.Debug().Str("router", n.Name).Err(err).Msg("router-silent")
				return
			}
			c.mu.Lock()
			defer c.mu.Unlock()
			c.unstarted[n.Name] = told{at: time.Now(), requests: r.Unstarted}
		})
	}
}

// told is what a router has said of its requests that have not begun.
type told struct {
	at       time.Time
	requests balance.Unstarted
}

// unstartedAt returns the requests at a rank that have not begun, as the routers told lately.
func (c *coordinator) unstartedAt(now time.Time, engine string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	sum := 0
	for _, t := range c.unstarted {
		if now.Sub(t.at) < time.Second {
			sum += t.requests[engine]
		}
	}
	return sum
}
