// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package agent

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"fawnwinch.org/fawnwinch/models/request"
	"fawnwinch.org/fawnwinch/models/upstream"
	"fawnwinch.org/fawnwinch/modules/clock"
	"fawnwinch.org/fawnwinch/services/directory"
	"fawnwinch.org/fawnwinch/services/membership"
	"fawnwinch.org/fawnwinch/services/once"
)

// Members returns the agents of the service. An agent is suspect only if every router that answers says so.
func (l *links) Members(now time.Time) ([]once.Member, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	merged := map[once.Owner]once.Member{}
	for _, r := range l.fresh(now) {
		for _, m := range r.Members {
			old, ok := merged[m.Owner]
			member := once.Member{Owner: m.Owner, State: m.State, Suspect: m.Suspect}
			if ok {
				member.Suspect = member.Suspect && old.Suspect
				if old.State == upstream.StateLeaving {
					member.State = old.State
				}
			}
			merged[m.Owner] = member
		}
	}
	merged[l.a.self] = once.Member{Owner: l.a.self, State: l.a.State()}
	listed := l.a.listed()
	out := make([]once.Member, 0, len(merged))
	for _, m := range merged {
		if !slices.Contains(listed, m.Owner.Upstream) {
			// What the configuration does not list gets no slices, and hands over those it has.
			m.State = upstream.StateLeaving
		}
		out = append(out, m)
	}
	return out, !l.first.IsZero() && now.Sub(l.first) > joinBeats*l.interval.Beat()
}

// Peer returns what the routers know of another agent of the service.
func (l *links) Peer(now time.Time, id upstream.ID) (membership.MemberInfo, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var best membership.MemberInfo
	found := false
	for _, r := range l.fresh(now) {
		for _, m := range r.Members {
			if m.Owner.Upstream == id && (!found || !m.Suspect) {
				best, found = m, true
			}
		}
	}
	return best, found
}

// othersReady reports whether another agent of the service can take slices over.
func (l *links) othersReady(now time.Time) bool {
	members, _ := l.Members(now)
	for _, m := range members {
		if m.Owner != l.a.self && m.State == upstream.StateReady && !m.Suspect {
			return true
		}
	}
	return false
}

// Handover asks the owner of a slice for its table.
func (l *links) Handover(ctx context.Context, owner once.Owner, s request.Slice) (once.Table, error) {
	cctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var t once.Table
	err := l.a.pool.Call(cctx, owner.RPC, "Agent.Handover", HandoverArgs{Owner: owner, Slice: s}, &t)
	return t, err
}

// Settle asks every known router for the keys of a slice that it sent without the log.
func (l *links) Settle(ctx context.Context, s request.Slice, epoch once.Epoch) ([]once.KeyID, bool) {
	l.mu.Lock()
	var addresses []string
	for address := range l.routers {
		addresses = append(addresses, address)
	}
	live := map[string]bool{}
	for _, r := range l.fresh(clock.Now()) {
		for _, i := range r.Routers {
			live[i.Incarnation] = true
		}
	}
	l.mu.Unlock()
	args := directory.SettleArgs{
		Service: l.a.set.Upstream.Service, Slice: s, Epoch: epoch,
		OutageAfter: l.a.set.Once.OutageAfter, Lifetime: l.a.set.Once.Lifetime,
	}
	replies := make([]*directory.SettleReply, len(addresses))
	var w sync.WaitGroup
	for i, address := range addresses {
		w.Go(func() {
			cctx, cancel := context.WithTimeout(ctx, callTimeout)
			defer cancel()
			var r directory.SettleReply
			if err := l.a.pool.Call(cctx, address, "Router.Settle", args, &r); err == nil {
				replies[i] = &r
			}
		})
	}
	w.Wait()
	if l.a.set.Once.OutageAfter == 0 {
		return nil, true
	}
	return settled(replies, live)
}

// settled joins the routers' replies. They are complete if every router that is alive, or that may
// have sent keys without the log before it was lost, is among them.
func settled(replies []*directory.SettleReply, live map[string]bool) ([]once.KeyID, bool) {
	var keys []once.KeyID
	answered := map[string]bool{}
	needed := maps.Clone(live)
	for _, r := range replies {
		if r == nil {
			continue
		}
		answered[r.Incarnation] = true
		keys = append(keys, r.Keys...)
		for _, lost := range r.Lost {
			needed[lost.Incarnation] = true
		}
	}
	for incarnation := range needed {
		if !answered[incarnation] {
			return keys, false
		}
	}
	return keys, len(answered) > 0
}
