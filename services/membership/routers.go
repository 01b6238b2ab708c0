// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package membership

import (
	"slices"
	"time"

	"fawnwinch.org/fawnwinch/models/intent"
	"fawnwinch.org/fawnwinch/models/vm"
)

// Peer is a router's view of another router.
type Peer struct {
	Info     RouterInfo
	LastBeat time.Time
	// Fresh is the latest time at which the router is known to have had contact with the log.
	Fresh    time.Time
	Revision intent.Revision
	Anchored bool
	Retired  bool
	// deadSince is the time at which the router was first known to be dead, or zero.
	deadSince time.Time
	// gossipOnly reports whether the router is known only by gossip of other routers.
	gossipOnly bool
}

// Routers is a router's view of the other routers. It does no I/O and reads no clock.
type Routers struct {
	interval Interval

	self  RouterInfo
	peers map[string]*Peer
	// addresses maps each rpc address from the platform's list and from gossip to its expiry.
	addresses map[string]time.Time
	seeds     []string
	// listed reports whether the platform's list was applied.
	listed bool
}

// NewRouters returns the view of a router that has only the addresses in its settings.
func NewRouters(i Interval, self RouterInfo, seeds []string) *Routers {
	return &Routers{interval: i, self: self, peers: map[string]*Peer{}, addresses: map[string]time.Time{}, seeds: seeds}
}

// Addresses returns the rpc addresses of all other routers that may be alive.
func (r *Routers) Addresses(now time.Time) []string {
	all := append([]string(nil), r.seeds...)
	for a, until := range r.addresses {
		if now.Before(until) {
			all = append(all, a)
		}
	}
	slices.Sort(all)
	all = slices.Compact(all)
	return slices.DeleteFunc(all, func(a string) bool { return a == r.self.RPC })
}

// addressTTL is how long a learned address is called without an answer.
const addressTTL = 10 * time.Second

// SetVMs applies the platform's list: a silent router that is not in it is dead.
func (r *Routers) SetVMs(now time.Time, list []vm.VM) {
	r.listed = true
	listed := map[string]bool{}
	for _, v := range list {
		if v.Role == vm.RoleRouter {
			listed[v.RPC] = true
			r.addresses[v.RPC] = now.Add(addressTTL)
		}
	}
	for _, p := range r.peers {
		if !listed[p.Info.RPC] && p.deadSince.IsZero() && now.Sub(p.LastBeat) > r.interval.SuspectAfter() {
			p.deadSince = now
		}
	}
}

// ApplyBeat applies the heartbeat of a router.
func (r *Routers) ApplyBeat(now time.Time, b RouterBeat) {
	if b.Info.Incarnation == r.self.Incarnation {
		return
	}
	for _, p := range r.peers {
		if p.Info.RPC == b.Info.RPC && p.Info.Incarnation != b.Info.Incarnation && p.deadSince.IsZero() {
			p.deadSince = now
		}
	}
	p, ok := r.peers[b.Info.Incarnation]
	if !ok {
		p = &Peer{}
		r.peers[b.Info.Incarnation] = p
	}
	p.Revision = b.Revision
	p.Info, p.LastBeat, p.Anchored, p.gossipOnly, p.deadSince = b.Info, now, b.Anchored, false, time.Time{}
	p.Retired = p.Retired || b.Retired
	if fresh := now.Add(-b.LogAge); fresh.After(p.Fresh) {
		p.Fresh = fresh
	}
	r.addresses[b.Info.RPC] = now.Add(addressTTL)
	r.mergeLost(now, b.Lost)
}

// mergeLost merges another router's report of lost routers.
func (r *Routers) mergeLost(now time.Time, lost []Lost) {
	for _, l := range lost {
		if _, ok := r.peers[l.Incarnation]; ok || l.Incarnation == r.self.Incarnation {
			continue
		}
		p := &Peer{Info: RouterInfo{Incarnation: l.Incarnation, State: RouterLeaving}, Fresh: now.Add(-l.Fresh), LastBeat: now.Add(-l.Fresh), gossipOnly: true}
		if l.Gone > 0 {
			p.deadSince = now.Add(-l.Gone)
		}
		r.peers[l.Incarnation] = p
	}
}

// AddAddresses adds addresses of routers that another router has reported.
func (r *Routers) AddAddresses(now time.Time, infos []RouterInfo) {
	for _, i := range infos {
		if i.RPC != r.self.RPC {
			r.addresses[i.RPC] = now.Add(addressTTL)
		}
	}
}

// Live returns the routers with recent heartbeats, including this one, sorted by id.
func (r *Routers) Live(now time.Time) []RouterInfo {
	out := []RouterInfo{r.self}
	for _, p := range r.peers {
		if now.Sub(p.LastBeat) <= r.interval.SuspectAfter() && !p.gossipOnly {
			out = append(out, p.Info)
		}
	}
	slices.SortFunc(out, func(a, b RouterInfo) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return out
}

// Known returns the number of routers that may be alive, this one included. It returns false if the
// number is not known: this router is in contact with none of the others, or has not read yet
// whether there are others.
func (r *Routers) Known(now time.Time) (int, bool) {
	others := len(r.Addresses(now))
	if others == 0 {
		return 1, r.listed
	}
	return others + 1, len(r.Live(now)) > 1
}

// Restarted reports whether the incarnation of a router is unknown here.
func (r *Routers) Restarted(i RouterInfo) bool {
	_, known := r.peers[i.Incarnation]
	return !known
}

// Peers returns the other routers with recent heartbeats.
func (r *Routers) Peers(now time.Time) []Peer {
	var out []Peer
	for _, p := range r.peers {
		if now.Sub(p.LastBeat) <= r.interval.SuspectAfter() && !p.gossipOnly {
			out = append(out, *p)
		}
	}
	return out
}

// SetState changes this router's own state.
func (r *Routers) SetState(s RouterState) { r.self.State = s }

// Self returns this router's own description.
func (r *Routers) Self() RouterInfo { return r.self }

// AnchoredElsewhere reports whether another live router has an exact configuration state.
func (r *Routers) AnchoredElsewhere(now time.Time) bool {
	for _, p := range r.peers {
		if p.Anchored && now.Sub(p.LastBeat) <= r.interval.SuspectAfter() {
			return true
		}
	}
	return false
}

// Lost lists the silent routers that may have sent keys without the log: those not known to have
// died within outageAfter of their last contact with the log.
func (r *Routers) Lost(now time.Time, outageAfter, lifetime time.Duration) []Lost {
	var out []Lost
	for inc, p := range r.peers {
		silent := now.Sub(p.LastBeat) > r.interval.SuspectAfter() || p.gossipOnly
		resolved := p.Retired || (!p.deadSince.IsZero() && p.deadSince.Sub(p.Fresh) < outageAfter)
		if !silent || resolved || now.Sub(p.LastBeat) > lifetime {
			continue
		}
		l := Lost{Incarnation: inc, Fresh: now.Sub(p.Fresh)}
		if !p.deadSince.IsZero() {
			l.Gone = max(now.Sub(p.deadSince), 1)
		}
		out = append(out, l)
	}
	return out
}

// Expire removes routers that have been silent for longer than the lifetime of any key, plus
// ForgetAfter. It returns their incarnations.
func (r *Routers) Expire(now time.Time, lifetime time.Duration) []string {
	var gone []string
	for inc, p := range r.peers {
		if now.Sub(p.LastBeat) > lifetime+ForgetAfter {
			delete(r.peers, inc)
			gone = append(gone, inc)
		}
	}
	return gone
}
