// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package relay

import (
	"context"
	"errors"
	"fmt"
	"time"

	"fawnwinch.org/fawnwinch/models/upstream"
	"fawnwinch.org/fawnwinch/modules/clock"
	"fawnwinch.org/fawnwinch/services/balance"
	"fawnwinch.org/fawnwinch/services/condition"
	"fawnwinch.org/fawnwinch/services/quota"
)

// errLeaving reports a request that would not end before the process does.
var errLeaving = errors.New("process ends before the answer")

// errQuarantined reports a request that was found to crash upstreams while it waited.
var errQuarantined = errors.New("request crashes upstreams")

// ErrUnavailable reports an upstream that does not accept requests at present.
type ErrUnavailable struct {
	Upstream  upstream.ID
	Condition condition.Kind
}

func (e ErrUnavailable) Error() string {
	return fmt.Sprintf("upstream %s is %s", e.Upstream, e.Condition)
}

// localPermits grants the permits of a router that has no record of other routers.
type localPermits struct{ ledger *quota.Ledger }

// RequestPermits implements services.PermitGrantor.
func (a localPermits) RequestPermits(_ context.Context, now time.Time, ask condition.PermitRequest) (condition.PermitReply, error) {
	return a.ledger.Grant(now, ask, 1), nil
}

// authorize decides right before a request is sent whether it may be sent. The state that was used
// to choose the upstream may have changed while the request waited or a connection was opened.
func (x *exchange) authorize(ctx context.Context, u upstream.Instance) (balance.Result, error) {
	if x.leavingRefusal(clock.Now()) != nil {
		return balance.ResultUnsent, errLeaving
	}
	permission, err := x.r.judgeSend(clock.Now(), x, u)
	if err != nil || permission == condition.PermissionGiven {
		return resultOf(err), err
	}
	if x.r.askPermit(ctx, x, u) != condition.PermissionGiven {
		x.r.endRun(x)
		return balance.ResultUnsent, ErrUnavailable{Upstream: u.ID, Condition: condition.KindLimited}
	}
	return balance.ResultOK, nil
}

// resultOf returns the result of an attempt that was not sent.
func resultOf(err error) balance.Result {
	var unavailable ErrUnavailable
	if errors.As(err, &unavailable) && unavailable.Condition == condition.KindLeaving {
		return balance.ResultUnreached
	}
	return balance.ResultUnsent
}

// judgeSend decides whether a request may be sent to an upstream. If so, it counts the request as
// running.
func (r *Relay) judgeSend(now time.Time, x *exchange, u upstream.Instance) (condition.Permission, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case !r.state.AcceptsWork(now, u.ID):
		return condition.PermissionDenied, ErrUnavailable{Upstream: u.ID, Condition: condition.KindLeaving}
	case r.judgeCrashes(now, x) != nil:
		return condition.PermissionDenied, errQuarantined
	}
	conditions := r.serviceState(now, x.service).pool.Conditions()
	permission := conditions.Permit(now, u.Run())
	if permission == condition.PermissionDenied {
		kind, _ := conditions.Judge(now, u.Run())
		return permission, ErrUnavailable{Upstream: u.ID, Condition: kind}
	}
	r.beginRun(x)
	return permission, nil
}

// askPermit requests permits for an upstream that limits its requests. One of them is for the given
// request.
func (r *Relay) askPermit(ctx context.Context, x *exchange, u upstream.Instance) condition.Permission {
	asked := clock.Now()
	r.mu.Lock()
	conditions := r.serviceState(asked, x.service).pool.Conditions()
	ask := conditions.Ask(asked, u.Run())
	permits := r.permits
	r.mu.Unlock()
	reply, err := permits.RequestPermits(ctx, asked, ask)
	if err != nil {
		reply = quota.Denied()
	}
	now := clock.Now()
	r.mu.Lock()
	permission, changes := conditions.Answered(asked, now, u.Run(), reply)
	r.mu.Unlock()
	r.logPermit(x, u, ask, reply, now.Sub(asked), err)
	r.logLearned(x.service, u.Run(), reply.Limit, changes)
	return permission
}

// logPermit logs that a request was not permitted, or that the permit grantor could not be reached.
func (r *Relay) logPermit(x *exchange, u upstream.Instance, ask condition.PermitRequest, reply condition.PermitReply, took time.Duration, err error) {
	if reply.Given > 0 {
		return // the log line of the request names the upstream
	}
	event := r.opts.Logger.Info()
	if err != nil {
		event = r.opts.Logger.Warn().Err(err)
	}
	event.Str("request", string(x.meta.ID)).Str("upstream", string(u.ID)).Float64("limit_per_second", float64(ask.Limit.Rate)).Int64("limit_age_ms", ask.Limit.HeardAge.Milliseconds()).
		Int("wanted", ask.Wanted).Int64("again_ms", reply.Again.Milliseconds()).Int64("took_ms", took.Milliseconds()).Msg("permit-denied")
}

// notifyLimitEnded notifies the permit grantor of an upstream that its limit has ended. Other
// routers learn it when they ask for permits.
func (r *Relay) notifyLimitEnded(u upstream.Instance, x *exchange) {
	now := clock.Now()
	r.mu.Lock()
	ask := condition.PermitRequest{Run: u.Run(), Limit: r.serviceState(now, x.service).pool.Conditions().Limit(u.Run()).Wire(now)}
	permits := r.permits
	r.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), condition.PermitTimeout)
	defer cancel()
	if _, err := permits.RequestPermits(ctx, now, ask); err != nil {
		r.opts.Logger.Info().Str("upstream", string(u.ID)).Err(err).Msg("limit-end-not-told")
	}
}
