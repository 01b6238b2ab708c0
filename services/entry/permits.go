// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package entry

import (
	"context"
	"fmt"
	"time"

	"fawnwinch.org/fawnwinch/models/upstream"
	"fawnwinch.org/fawnwinch/models/vm"
	"fawnwinch.org/fawnwinch/modules/clock"
	"fawnwinch.org/fawnwinch/services"
	"fawnwinch.org/fawnwinch/services/condition"
	"fawnwinch.org/fawnwinch/services/peer"
	"fawnwinch.org/fawnwinch/services/quota"
	"fawnwinch.org/fawnwinch/services/watch"
)

// feedPermits is the prefix of the names by which the permit grantor of an upstream is chosen.
const feedPermits = "permits/"

var _ services.PermitGrantor = (*Router)(nil)

// grantor returns the router that grants the permits for an upstream, and whether it is this one.
func (r *Router) grantor(now time.Time, run upstream.Run) (name, address string, self bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	name = watch.ReaderOf(feedPermits+string(run.ID), r.eligibleRouters(now))
	return name, r.table.Address(name), name == r.table.Self().Name
}

// grantShare returns the share of the rates that this router may grant: the routers that it is in
// contact with, as a fraction of all that may be alive. Routers that do not hear of each other, cut
// off or just started, choose several grantors, and the limit of an upstream is for all of them
// together. It is 0 while the number of routers is not known.
func (r *Router) grantShare(now time.Time) quota.Share {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.table.NoContact(now) {
		live := len(r.table.Live(now, vm.RoleRouter)) + 1
		return quota.Share(live) / quota.Share(r.table.Count(vm.RoleRouter)+1)
	}
	known, ok := r.knownRouters(now)
	if known == 1 && !ok {
		return 0
	}
	return 1 / quota.Share(known)
}

// grant grants permits for an upstream whose grantor is this router.
func (r *Router) grant(now time.Time, ask condition.PermitRequest) condition.PermitReply {
	s := r.grantShare(now)
	if s == 0 {
		return quota.Denied()
	}
	return r.ledger.Grant(now, ask, s)
}

// RequestPermits implements services.PermitGrantor: it requests permits from the grantor of an
// upstream.
func (r *Router) RequestPermits(ctx context.Context, now time.Time, ask condition.PermitRequest) (condition.PermitReply, error) {
	name, address, self := r.grantor(now, ask.Run)
	if self {
		return r.grant(now, ask), nil
	}
	cctx, cancel := context.WithTimeout(ctx, condition.PermitTimeout)
	defer cancel()
	var reply condition.PermitReply
	if err := r.opts.Pool.Call(cctx, address, "Router.Permit", ask, &reply); err != nil {
		r.noteNoReply(peer.Target{Name: name, Address: address}, err)
		return condition.PermitReply{}, fmt.Errorf("ask router %s for permits for upstream %s: %w", name, ask.Run.ID, err)
	}
	return reply, nil
}

// Permit grants permits to another router.
func (a *API) Permit(ask condition.PermitRequest, reply *condition.PermitReply) error {
	now := clock.Now()
	if _, _, self := a.r.grantor(now, ask.Run); !self {
		*reply = quota.Denied()
		return nil
	}
	*reply = a.r.grant(now, ask)
	return nil
}
