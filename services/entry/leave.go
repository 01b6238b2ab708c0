// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package entry

import (
	"context"
	"slices"
	"sync"
	"time"

	"fawnwinch.org/fawnwinch/models/vm"
	"fawnwinch.org/fawnwinch/services/knowledge"
	"fawnwinch.org/fawnwinch/services/peer"
	"fawnwinch.org/fawnwinch/services/shutdown"
)

// Leave notifies the other routers that this process is stopping.
func (r *Router) Leave(ctx context.Context) {
	r.updateTable(func(now time.Time) {
		self := r.table.Self()
		self.State, self.LeavingSince = peer.StateLeaving, now.UnixMilli()
		r.table.UpdateSelf(now, self)
	})
	var w sync.WaitGroup
	r.startRound(ctx, &w)
	w.Wait()
}

// Ready reports whether the process accepts callers.
func (r *Router) Ready() bool { return r.Self().State == peer.StateReady }

// Addresses returns the addresses that a caller should use.
func (r *Router) Addresses(now time.Time, c Caller) []string {
	var homes [][]vm.Region
	r.opts.Relay.WithState(func(s *knowledge.State) { homes = s.Index().HomesOf(c.Host) })
	inRegion := routersInRegion(r.servingRouters(now).routers, r.opts.Regions, c.Region, homes)
	var out []string
	for _, n := range routersFor(inRegion, c.DataCentre) {
		out = append(out, n.Callers)
	}
	slices.Sort(out)
	return out
}

// serving holds the routers that callers are sent to.
type serving struct {
	routers []peer.Info
	// named reports whether this router is one of them, and others is the state of the other ones of
	// its region.
	named  bool
	others shutdown.Others
}

// servingRouters returns the routers that callers are sent to. Each region is judged by itself, as
// callers are sent to another one only if theirs has no router. This router is excluded while its
// catalog is too old to accept keys.
func (r *Router) servingRouters(now time.Time) serving {
	fresh := r.opts.Relay.AcceptsKeys(now)
	r.mu.Lock()
	defer r.mu.Unlock()
	type region struct{ ready, leaving []peer.Info }
	regions := map[vm.Region]*region{}
	add := func(n peer.Info) {
		id := r.opts.Regions[n.DataCentre]
		if regions[id] == nil {
			regions[id] = &region{}
		}
		switch n.State {
		case peer.StateReady:
			regions[id].ready = append(regions[id].ready, n)
		case peer.StateLeaving:
			regions[id].leaving = append(regions[id].leaving, n)
		case peer.StateStarting:
		}
	}
	self := r.table.Self()
	if fresh {
		add(self)
	}
	for _, n := range r.table.Live(now, vm.RoleRouter) {
		// Nobody exchanges gossip with leaving routers, so nobody notices that one has ended.
		if n.State != peer.StateLeaving || r.table.Unchanged(now, n.Name) < r.opts.Grace {
			add(n)
		}
	}
	s := serving{others: shutdown.OthersNone}
	for id, g := range regions {
		for _, n := range shutdown.Serving(g.ready, g.leaving) {
			s.routers = append(s.routers, n)
			if id != r.opts.Regions[self.DataCentre] {
				continue
			}
			switch {
			case n.Name == self.Name:
				s.named = true
			case n.State == peer.StateReady:
				s.others = shutdown.OthersReady
			case s.others == shutdown.OthersNone:
				s.others = shutdown.OthersLeaving
			}
		}
	}
	return s
}

// StopView returns what this router knows while it stops. LastNamed is the latest time at which it
// was named, as returned in an earlier view.
func (r *Router) StopView(now, lastNamed time.Time) shutdown.View {
	s := r.servingRouters(now)
	if s.named {
		lastNamed = now
	}
	r.opts.Relay.SetOthers(s.others)
	return shutdown.View{
		LastNamed: lastNamed, Others: s.others,
		LastRequest: r.opts.Relay.LastRequest(), Active: r.opts.Relay.Active(), Rejects: r.opts.Relay.LeavingRejects() > 0,
	}
}

// noteServing logs when callers are sent to no router any more, and when they are sent to one again.
func (r *Router) noteServing(now time.Time, s serving) {
	none := len(s.routers) == 0
	r.mu.Lock()
	changed := r.noneServing != none
	r.noneServing = none
	state, live := r.table.Self().State, len(r.table.Live(now, vm.RoleRouter))
	r.mu.Unlock()
	switch {
	case changed && none:
		r.opts.Logger.Warn().Str("state", string(state)).Int("others", live).Msg("no-router-for-callers")
	case changed:
		r.opts.Logger.Info().Str("state", string(state)).Int("routers", len(s.routers)).Str("others", string(s.others)).Msg("routers-for-callers")
	}
}
