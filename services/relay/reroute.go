// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package relay

import (
	"context"
	"time"

	"fawnwinch.org/fawnwinch/models/upstream"
	"fawnwinch.org/fawnwinch/services/balance"
)

// sentAttempt is an attempt whose answer has not ended, of a request that may be sent again.
type sentAttempt struct {
	x   *exchange
	run upstream.Run
	// abort closes the attempt's connection.
	abort func()
}

// trackAttempt registers an attempt that may be rerouted, and returns a function that removes it.
// The connection must not be used for another request before that.
func (r *Relay) trackAttempt(x *exchange, a *answer) func() {
	if !x.route.Repeatable() {
		return func() {}
	}
	s := &sentAttempt{x: x, run: a.upstream.Run(), abort: a.conn.Close}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sent[s] = struct{}{}
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.sent, s)
	}
}

// rerouteStuck sends the requests at ranks that cannot answer to groups that work. A frozen VM
// answers nothing, and the callers of its requests would leave before it resumes. The caller holds
// the lock.
func (r *Relay) rerouteStuck(now time.Time, svc *serviceState) {
	if !svc.pool.Stalled(now) {
		return
	}
	for s := range r.sent {
		if s.x.service != svc.service || !svc.pool.Stuck(now, s.run) {
			continue
		}
		if r.reroute(now, svc, s.x) {
			delete(r.sent, s)
			s.abort()
		}
	}
}

// reroute chooses the upstream of a request's next attempt, or returns false if the request must
// stay where it is. The caller holds the lock.
func (r *Relay) reroute(now time.Time, svc *serviceState, x *exchange) bool {
	if x.attempts >= x.route.MaxAttempts || !now.Before(x.deadline) {
		return false
	}
	ask := r.pickOptions(now, svc, x)
	ask.MaxMean = 0 // the request was admitted before
	next, ok := svc.queue.Reroute(now, ask, x.allowed(r.state.Usable(now, x.service)))
	if !ok {
		return false
	}
	if !x.holdRetryLocked(now, svc) {
		svc.pool.Done(now, next.Run(), balance.ResultUnsent, 0, false)
		svc.pool.PromptRead(next.Run(), x.size)
		return false
	}
	x.next = &next
	r.opts.Logger.Info().Str("request", string(x.meta.ID)).Str("upstream", string(x.last)).Str("next", string(next.ID)).
		Int64("age_ms", now.Sub(x.arrived).Milliseconds()).Msg("request-rerouted")
	return true
}

// rerouted reports whether the current attempt was aborted because the request was rerouted.
func (x *exchange) rerouted() bool {
	x.r.mu.Lock()
	defer x.r.mu.Unlock()
	return x.next != nil
}

// takeNext returns the upstream to which the request was rerouted.
func (x *exchange) takeNext() (upstream.Instance, bool) {
	x.r.mu.Lock()
	defer x.r.mu.Unlock()
	if x.next == nil {
		return upstream.Instance{}, false
	}
	u := *x.next
	x.next = nil
	return u, true
}

// nextUpstream returns the upstream of the next attempt: the one to which the request was rerouted,
// or else one that admits it, after a wait if necessary.
func (x *exchange) nextUpstream(ctx context.Context) (upstream.Instance, bool) {
	if u, ok := x.takeNext(); ok {
		return u, true
	}
	return x.r.acquire(ctx, x)
}

// releaseNext gives the place of an attempt back that is no longer needed: the answer ended while
// the request was rerouted.
func (x *exchange) releaseNext() {
	if u, ok := x.takeNext(); ok {
		x.release(u, balance.ResultUnsent, 0, false)
	}
}
