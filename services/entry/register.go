// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package entry

import (
	"context"
	"slices"
	"time"

	"fawnwinch.org/fawnwinch/models/vm"
	"fawnwinch.org/fawnwinch/modules/clock"
	"fawnwinch.org/fawnwinch/modules/sleep"
	"fawnwinch.org/fawnwinch/services"
	"fawnwinch.org/fawnwinch/services/knowledge"
	"fawnwinch.org/fawnwinch/services/peer"
)

const (
	// feedNodes is the name by which the router that registers the others is chosen.
	feedNodes = "nodes"
	// registerInterval is the time between two checks for unregistered routers. Those that start
	// within it are registered with one call.
	registerInterval = 500 * time.Millisecond
	// minRereadInterval is the time between the first two reads of the registered routers, so that
	// routers without seeds that start at the same time find each other by the second read. It
	// doubles up to maxRereadInterval, which bounds the time until partitions of a deployment that
	// have forgotten each other find each other again.
	minRereadInterval = time.Second
	maxRereadInterval = 20 * time.Second
	// registerTimeout bounds one check.
	registerTimeout = 1500 * time.Millisecond
)

// registry is what this router has read and written of the processes registered in the store.
type registry struct {
	// era is the store era in which the registry was read. Writes of an earlier era may be lost.
	era services.Era
	// next is the time of the next read, pause after the latest one.
	next  time.Time
	pause time.Duration
	// settledEra is the latest era that is registered as settled.
	settledEra services.Era
	// addresses maps the name of each router to its address.
	addresses map[string]string
	// refused maps the names of the stored entries of refused requests to their number of crashes;
	// nil until they are read. refusedEra is the store era in which they were read.
	refused    map[string]int
	refusedEra services.Era
}

// register registers all routers in the store, including this one, while this router is chosen to
// do so. Coordinators of groups and routers whose seeds are gone find them there.
func (r *Router) register(ctx context.Context) {
	var known registry
	for ; ctx.Err() == nil; sleep.For(ctx, registerInterval) {
		now := clock.Now()
		if now.Before(r.startWait(now)) {
			continue
		}
		reader := r.isReader(now, feedNodes)
		if !reader || r.era() > known.era {
			known = registry{}
		}
		if !reader {
			continue
		}
		cctx, cancel := context.WithTimeout(ctx, registerTimeout)
		if err := r.registerOnce(cctx, now, &known); err != nil {
			r.opts.Logger.Warn().Err(err).Msg("registration-failed")
		}
		if err := r.storeRefused(cctx, &known); err != nil {
			r.opts.Logger.Warn().Err(err).Msg("refused-requests-not-stored")
		}
		cancel()
	}
}

// registerOnce registers the running routers that are not registered.
func (r *Router) registerOnce(ctx context.Context, now time.Time, known *registry) error {
	if !now.Before(known.next) {
		nodes, end, err := r.opts.Store.Nodes().Snapshot(ctx)
		if err != nil {
			return err
		}
		known.era = end.Era
		known.read(now, nodes)
		r.queueUncontacted(known)
	}
	r.noteSettled(now, known)
	missing := r.unregistered(now, known)
	settles := r.newlySettled(known)
	if settles {
		missing = withSettled(missing, r.Self(), known.era)
	}
	if len(missing) == 0 {
		return nil
	}
	if err := r.opts.Store.PutNodes(ctx, missing); err != nil {
		return err
	}
	if settles {
		known.settledEra = known.era
	}
	for _, n := range missing {
		known.addresses[n.Name] = n.Address
	}
	r.opts.Logger.Info().Int("routers", len(missing)).Int("registered", len(known.addresses)).Msg("routers-registered")
	return nil
}

// read records the registered routers.
func (g *registry) read(now time.Time, nodes []services.Change[peer.Info]) {
	g.pause = min(max(2*g.pause, minRereadInterval), maxRereadInterval)
	g.next, g.addresses = now.Add(g.pause), map[string]string{}
	for _, n := range nodes {
		if n.Value != nil && n.Value.Role == vm.RoleRouter {
			g.addresses[n.Value.Name] = n.Value.Address
			g.settledEra = max(g.settledEra, services.Era(n.Value.SettledEra))
		}
	}
}

// queueUncontacted queues the registered routers that no gossip mentioned, so that they are
// contacted.
func (r *Router) queueUncontacted(known *registry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.registered, r.uncontacted, r.registryRead = nil, nil, true
	for name, address := range known.addresses {
		if address == r.opts.Self.Address {
			continue
		}
		r.registered = append(r.registered, address)
		if r.table.Address(name) != address {
			r.uncontacted = append(r.uncontacted, address)
		}
	}
}

// unregistered returns the running routers whose address is not registered.
func (r *Router) unregistered(now time.Time, known *registry) []peer.Info {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []peer.Info
	for _, n := range append(r.table.Live(now, vm.RoleRouter), r.table.Self()) {
		if known.addresses[n.Name] != n.Address {
			out = append(out, n)
		}
	}
	return out
}

// noteSettled applies an era that is registered as settled: routers that start much later need not
// wait for the operator.
func (r *Router) noteSettled(now time.Time, known *registry) {
	if known.era == 0 || known.settledEra != known.era {
		return
	}
	r.opts.Relay.WithState(func(s *knowledge.State) { s.EndRewrite(now, known.era) })
	r.catalogs.wakeUp()
}

// newlySettled reports whether the era of the latest registry read has settled here and is not
// registered as settled.
func (r *Router) newlySettled(known *registry) bool {
	unsettled, at := true, services.Position{}
	r.opts.Relay.WithState(func(s *knowledge.State) {
		_, unsettled = s.RewritePending()
		at = s.Catalogs().Next
	})
	return known.era > 0 && known.settledEra < known.era && at.Era == known.era && !unsettled
}

// withSettled returns the processes to be registered, and the entry of this router with era as its
// settled era.
func withSettled(missing []peer.Info, self peer.Info, era services.Era) []peer.Info {
	self.SettledEra = uint64(era)
	others := slices.DeleteFunc(missing, func(p peer.Info) bool { return p.Name == self.Name })
	return append(others, self)
}
