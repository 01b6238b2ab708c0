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

// Members returns the agents of the service and reports whether the list counts as complete. An
// agent is suspect only if every router that lists it in a recent reply reports it as suspect.
func (l *links) Members(now time.Time) ([]once.Member, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	merged := map[once.Owner]once.Member{}
	for _, r := range l.recentReplies(now) {
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
	listed := l.a.configuredMembers()
	out := make([]once.Member, 0, len(merged))
	for _, m := range merged {
		if !slices.Contains(listed, m.Owner.Upstream) {
			// An upstream that is not in the configuration gets no slices and hands over those it has.
			m.State = upstream.StateLeaving
		}
		out = append(out, m)
	}
	return out, !l.first.IsZero() && now.Sub(l.first) > membersCompleteBeats*l.interval.Heartbeat()
}

// Peer returns another agent of the service as the routers report it, preferably from a router that
// does not suspect it.
func (l *links) Peer(now time.Time, id upstream.ID) (membership.MemberInfo, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var best membership.MemberInfo
	found := false
	for _, r := range l.recentReplies(now) {
		for _, m := range r.Members {
			if m.Owner.Upstream == id && (!found || !m.Suspect) {
				best, found = m, true
			}
		}
	}
	return best, found
}

// othersReady reports whether another agent of the service can take over slices.
func (l *links) othersReady(now time.Time) bool {
	members, _ := l.Members(now)
	for _, m := range members {
		if m.Owner != l.a.self && m.State == upstream.StateReady && !m.Suspect {
			return true
		}
	}
	return false
}

// Handover requests the table of a slice from its owner.
func (l *links) Handover(ctx context.Context, owner once.Owner, s request.KeySlice) (once.Table, error) {
	cctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var t once.Table
	err := l.a.pool.Call(cctx, owner.RPC, "Agent.Handover", HandoverArgs{Owner: owner, Slice: s}, &t)
	return t, err
}

// CollectUnjournaledKeys requests from every known router the keys of a slice that it sent without
// the log. It reports whether the keys are complete.
func (l *links) CollectUnjournaledKeys(ctx context.Context, s request.KeySlice, epoch once.Epoch) ([]once.KeyID, bool) {
	l.mu.Lock()
	var addresses []string
	for address := range l.routers {
		addresses = append(addresses, address)
	}
	live := map[string]bool{}
	for _, r := range l.recentReplies(clock.Now()) {
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
	return mergeSettled(replies, live)
}

// mergeSettled merges the routers' replies. They are complete if every router that is live, or that
// may have sent keys without the log before it was lost, has replied.
func mergeSettled(replies []*directory.SettleReply, live map[string]bool) ([]once.KeyID, bool) {
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
