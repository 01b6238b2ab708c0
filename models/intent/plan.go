// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package intent

import (
	"fmt"
	"sort"
	"strings"

	"fawnwinch.org/fawnwinch/models/account"
	"fawnwinch.org/fawnwinch/models/service"
	"fawnwinch.org/fawnwinch/models/upstream"
)

// Action is what a change does to a field.
type Action string

// The actions of a change.
const (
	ActionAdd    Action = "add"
	ActionRemove Action = "remove"
	ActionSet    Action = "set"
)

// Change is one difference between the configuration in force and a proposed one.
type Change struct {
	Action Action `json:"action"`
	Field  string `json:"field"`
	Before string `json:"before,omitempty"`
	After  string `json:"after,omitempty"`
}

// Cost estimates the disruption that a plan would cause.
type Cost struct {
	// UpstreamsClosed counts upstreams that would receive no more new work.
	UpstreamsClosed int `json:"upstreams_closed"`
	// UpstreamsOpened counts upstreams that would start to receive work.
	UpstreamsOpened int `json:"upstreams_opened"`
	// AccountsAffected counts client accounts whose share of any service changes.
	AccountsAffected int `json:"accounts_affected"`
}

// Plan describes what a proposed intent would change. Making a plan has no side effects.
type Plan struct {
	Base       Revision `json:"base"`
	BaseDigest Digest   `json:"base_digest"`
	// Change identifies base and proposal together; a confirmation must contain it.
	Change  Digest   `json:"change"`
	Changes []Change `json:"changes"`
	Cost    Cost     `json:"cost"`
	Intent  *Intent  `json:"intent"`
}

// State is an accepted configuration.
type State struct {
	Revision Revision `json:"revision"`
	Digest   Digest   `json:"digest"`
	Intent   *Intent  `json:"intent"`
}

// Empty returns the configuration before the first confirmation.
func Empty() State {
	in := &Intent{Version: FormatVersion}
	return State{Revision: 0, Digest: in.Digest(), Intent: in}
}

// NewPlan compares a proposal with the configuration in force.
func NewPlan(base State, proposal *Intent) Plan {
	changes := diff(flatten(base.Intent), flatten(proposal))
	return Plan{
		Base:       base.Revision,
		BaseDigest: base.Digest,
		Change:     Digest(string(base.Digest) + "-" + string(proposal.Digest())),
		Changes:    changes,
		Cost:       estimate(base.Intent, proposal),
		Intent:     proposal,
	}
}

func flatten(in *Intent) map[string]string {
	out := map[string]string{
		"deployment":                in.Deployment,
		"rebalance.prefer":          string(in.Rebalance.Prefer),
		"rebalance.quiet_from_hour": fmt.Sprint(in.Rebalance.QuietFrom),
		"rebalance.quiet_to_hour":   fmt.Sprint(in.Rebalance.QuietTo),
	}
	for i := range in.Services {
		flattenService(&in.Services[i], out)
	}
	return out
}

func flattenService(s *service.Service, out map[string]string) {
	prefix := "services." + string(s.ID) + "."
	out[prefix+"kind"] = string(s.Kind)
	for _, g := range s.Groups {
		out[prefix+"groups."+string(g.ID)] = joinIDs(g.Ranks)
	}
	for _, u := range s.Upstreams {
		out[prefix+"upstreams."+string(u)] = "open"
	}
	for _, u := range s.Closed {
		out[prefix+"closed."+string(u)] = "closed"
	}
	for _, r := range s.NonRepeatable {
		out[prefix+"non_repeatable."+r.Method+" "+r.Path] = "at most once"
	}
	for _, sh := range s.Shares {
		out[prefix+"shares."+string(sh.Account)] = fmt.Sprintf("%g", sh.Weight)
	}
}

func joinIDs(ids []upstream.ID) string {
	parts := make([]string, len(ids))
	for i, id := range ids {
		parts[i] = string(id)
	}
	return strings.Join(parts, ",")
}

func diff(before, after map[string]string) []Change {
	changes := []Change{}
	for f, b := range before {
		a, ok := after[f]
		switch {
		case !ok:
			changes = append(changes, Change{Action: ActionRemove, Field: f, Before: b})
		case a != b:
			changes = append(changes, Change{Action: ActionSet, Field: f, Before: b, After: a})
		}
	}
	for f, a := range after {
		if _, ok := before[f]; !ok {
			changes = append(changes, Change{Action: ActionAdd, Field: f, After: a})
		}
	}
	sort.Slice(changes, func(i, j int) bool { return changes[i].Field < changes[j].Field })
	return changes
}

func estimate(before, after *Intent) Cost {
	openBefore, openAfter := openUpstreams(before), openUpstreams(after)
	var c Cost
	for u := range openBefore {
		if !openAfter[u] {
			c.UpstreamsClosed++
		}
	}
	for u := range openAfter {
		if !openBefore[u] {
			c.UpstreamsOpened++
		}
	}
	affected := map[account.ID]bool{}
	markShares(before, after, affected)
	markShares(after, before, affected)
	c.AccountsAffected = len(affected)
	return c
}

func openUpstreams(in *Intent) map[upstream.ID]bool {
	open := map[upstream.ID]bool{}
	for i := range in.Services {
		for _, u := range in.Services[i].Members() {
			open[u] = true
		}
		for _, u := range in.Services[i].Closed {
			delete(open, u)
		}
	}
	return open
}

// markShares marks the accounts whose fraction of a service in a differs from that in b.
func markShares(a, b *Intent, affected map[account.ID]bool) {
	for i := range a.Services {
		s := &a.Services[i]
		o := b.Service(s.ID)
		for _, sh := range s.Shares {
			if o == nil || fraction(s, sh.Account) != fraction(o, sh.Account) {
				affected[sh.Account] = true
			}
		}
	}
}

func fraction(s *service.Service, id account.ID) float64 {
	var sum float64
	for _, sh := range s.Shares {
		sum += sh.Weight
	}
	if sum == 0 {
		return 0
	}
	return s.Weight(id) / sum
}
