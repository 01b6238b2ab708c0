// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package membership

import (
	"slices"
	"time"

	"fawnwinch.org/fawnwinch/models/intent"
	"fawnwinch.org/fawnwinch/models/vm"
)

// Peer is what a router knows about another one.
type Peer struct {
	Info     RouterInfo
	LastBeat time.Time
	// Fresh is the latest time at which the router is known to have had the log.
	Fresh    time.Time
	Revision intent.Revision
	Anchored bool
	Retired  bool
	// gone is the time at which the router was known to be dead, or zero.
	gone time.Time
	// hearsay marks a router known only from another one's word.
	hearsay bool
}

// Routers is a router's view of the other routers. It does no I/O and reads no clock.
type Routers struct {
	interval Interval

	self  RouterInfo
	peers map[string]*Peer
	// addresses holds the rpc addresses to call: from the settings, the platform's list and gossip.
	addresses map[string]time.Time
	seeds     []string
}

// NewRouters returns the view of a router that knows only the addresses in its settings.
func NewRouters(i Interval, self RouterInfo, seeds []string) *Routers {
	return &Routers{interval: i, self: self, peers: map[string]*Peer{}, addresses: map[string]time.Time{}, seeds: seeds}
}

// Addresses returns the rpc addresses of all routers that may be alive, without this one.
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

// addressFor is how long an address heard of is called without an answer.
const addressFor = 10 * time.Second

// VMs takes in the platform's list: a router that it no longer holds is dead.
func (r *Routers) VMs(now time.Time, list []vm.VM) {
	listed := map[string]bool{}
	for _, v := range list {
		if v.Role == vm.RoleRouter {
			listed[v.RPC] = true
			r.addresses[v.RPC] = now.Add(addressFor)
		}
	}
	for _, p := range r.peers {
		if !listed[p.Info.RPC] && p.gone.IsZero() && now.Sub(p.LastBeat) > r.interval.Suspect() {
			p.gone = now
		}
	}
}

// Beat takes in what a router says about itself.
func (r *Routers) Beat(now time.Time, b RouterBeat) {
	if b.Info.Incarnation == r.self.Incarnation {
		return
	}
	for _, p := range r.peers {
		if p.Info.RPC == b.Info.RPC && p.Info.Incarnation != b.Info.Incarnation && p.gone.IsZero() {
			p.gone = now
		}
	}
	p, ok := r.peers[b.Info.Incarnation]
	if !ok {
		p = &Peer{}
		r.peers[b.Info.Incarnation] = p
	}
	p.Revision = b.Revision
	p.Info, p.LastBeat, p.Anchored, p.hearsay, p.gone = b.Info, now, b.Anchored, false, time.Time{}
	p.Retired = p.Retired || b.Retired
	if fresh := now.Add(-b.LogAge); fresh.After(p.Fresh) {
		p.Fresh = fresh
	}
	r.addresses[b.Info.RPC] = now.Add(addressFor)
	r.hear(now, b.Lost)
}

// hear takes in another router's word about lost ones.
func (r *Routers) hear(now time.Time, lost []Lost) {
	for _, l := range lost {
		if _, ok := r.peers[l.Incarnation]; ok || l.Incarnation == r.self.Incarnation {
			continue
		}
		p := &Peer{Info: RouterInfo{Incarnation: l.Incarnation, State: RouterLeaving}, Fresh: now.Add(-l.Fresh), LastBeat: now.Add(-l.Fresh), hearsay: true}
		if l.Gone > 0 {
			p.gone = now.Add(-l.Gone)
		}
		r.peers[l.Incarnation] = p
	}
}

// Hint notes an address of a router.
func (r *Routers) Hint(now time.Time, infos []RouterInfo) {
	for _, i := range infos {
		if i.RPC != r.self.RPC {
			r.addresses[i.RPC] = now.Add(addressFor)
		}
	}
}

// Live returns the routers that beat, this one included, sorted by id.
func (r *Routers) Live(now time.Time) []RouterInfo {
	out := []RouterInfo{r.self}
	for _, p := range r.peers {
		if now.Sub(p.LastBeat) <= r.interval.Suspect() && !p.hearsay {
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

// Restarted reports whether a router runs as another incarnation than the one known at its address.
func (r *Routers) Restarted(i RouterInfo) bool {
	_, known := r.peers[i.Incarnation]
	return !known
}

// Peers returns the other routers that beat.
func (r *Routers) Peers(now time.Time) []Peer {
	var out []Peer
	for _, p := range r.peers {
		if now.Sub(p.LastBeat) <= r.interval.Suspect() && !p.hearsay {
			out = append(out, *p)
		}
	}
	return out
}

// SetState changes this router's own state.
func (r *Routers) SetState(s RouterState) { r.self.State = s }

// Self returns this router's own description.
func (r *Routers) Self() RouterInfo { return r.self }

// AnchoredElsewhere reports whether another live router has an exact configuration.
func (r *Routers) AnchoredElsewhere(now time.Time) bool {
	for _, p := range r.peers {
		if p.Anchored && now.Sub(p.LastBeat) <= r.interval.Suspect() {
			return true
		}
	}
	return false
}

// Lost lists silent routers that may have sent keys without the log, as far as this router knows:
// those not known to be dead within outageAfter of the last time they had the log.
func (r *Routers) Lost(now time.Time, outageAfter, lifetime time.Duration) []Lost {
	var out []Lost
	for inc, p := range r.peers {
		silent := now.Sub(p.LastBeat) > r.interval.Suspect() || p.hearsay
		clean := p.Retired || (!p.gone.IsZero() && p.gone.Sub(p.Fresh) < outageAfter)
		if !silent || clean || now.Sub(p.LastBeat) > lifetime {
			continue
		}
		l := Lost{Incarnation: inc, Fresh: now.Sub(p.Fresh)}
		if !p.gone.IsZero() {
			l.Gone = max(now.Sub(p.gone), 1)
		}
		out = append(out, l)
	}
	return out
}

// Expire forgets routers that have been silent for longer than any key lives, and returns their runs.
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
