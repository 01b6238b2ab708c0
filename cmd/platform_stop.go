// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package cmd

import (
	"context"
	"time"

	"fawnwinch.org/fawnwinch/modules/clock"
	"fawnwinch.org/fawnwinch/services/shutdown"
)

const (
	// drainPollInterval is the interval at which drain checks for requests in flight.
	drainPollInterval = 50 * time.Millisecond
	// drainLogInterval is the interval at which it logs the requests in flight and those accepted
	// since the latest line.
	drainLogInterval = time.Second
	// answerTime bounds the time until the requests that the end of the process has ended are answered.
	answerTime = 150 * time.Millisecond
)

// stop shuts the router down gracefully: callers are sent elsewhere, requests in flight get their
// answers, and requests that would not are rejected.
func (p *entryProcess) stop(ctx context.Context) error {
	start := clock.Now()
	p.logger.Info().Int("active", p.relay.Active()).Msg("stop")
	plan := shutdown.NewPlan(start, p.node.set.Grace)
	p.relay.StartLeaving(plan)
	p.router.Leave(ctx)
	p.drain(plan)
	p.finish(plan)
	active := p.relay.Active()
	p.relay.EndRequests()
	err := p.front.Finish(answerTime)
	p.logger.Info().Int("ended", active).Int("cut", p.relay.Active()).Int64("took_ms", clock.Since(start).Milliseconds()).Msg("stopped")
	p.cancel()
	p.peers.Close()
	p.pool.Close()
	p.relay.Close()
	p.store.Close()
	return wrap(err, "stop router")
}

// finish accepts no more connections, and waits for the requests that have arrived meanwhile.
func (p *entryProcess) finish(plan shutdown.Plan) {
	p.front.StopAccepting()
	for p.relay.Active() > 0 && clock.Now().Before(plan.End) {
		time.Sleep(drainPollInterval)
	}
}

// drain serves until the plan of the stop says that the process ends.
func (p *entryProcess) drain(plan shutdown.Plan) {
	var view shutdown.View
	phase := shutdown.PhaseServing
	logged, accepted := plan.Since, p.relay.Accepted()
	for {
		now := clock.Now()
		view = p.router.StopView(now, view.LastNamed)
		switch next := plan.Phase(now, view); {
		case next == shutdown.PhaseEnding:
			return
		case next == shutdown.PhaseClosing && phase == shutdown.PhaseServing:
			p.logger.Info().Int64("since_ms", now.Sub(plan.Since).Milliseconds()).Int("active", view.Active).Msg("accepts-no-more")
			p.front.StopAccepting()
			phase = next
		}
		if now.Sub(logged) >= drainLogInterval {
			total := p.relay.Accepted()
			p.logger.Info().Int64("since_ms", now.Sub(plan.Since).Milliseconds()).Int("active", view.Active).Uint64("accepted", total-accepted).
				Str("others", string(view.Others)).Uint64("rejected", p.relay.LeavingRejects()).Msg("leaving")
			logged, accepted = now, total
		}
		time.Sleep(drainPollInterval)
	}
}
