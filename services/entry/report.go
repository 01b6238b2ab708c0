// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package entry

import (
	"context"
	"math/rand/v2"
	"time"

	"fawnwinch.org/fawnwinch/models/group"
	"fawnwinch.org/fawnwinch/models/service"
	"fawnwinch.org/fawnwinch/models/vm"
	"fawnwinch.org/fawnwinch/modules/clock"
	"fawnwinch.org/fawnwinch/services/balance"
	"fawnwinch.org/fawnwinch/services/peer"
)

// Coordinator is the agent that coordinates a model group.
type Coordinator struct {
	Group     group.ID
	Service   service.ID
	Authority uint64
	// Address is the RPC address for other processes.
	Address string
}

// groupState is a router's state of a group: its coordinator, and the list of ranks that the
// coordinator's reports refer to.
type groupState struct {
	Coordinator
	list balance.RankList
	// reportedAt is when the load was last reported, and last that report.
	reportedAt time.Time
	last       GroupStatus
}

// takeReport records the load of a group and returns this router's demand.
func (r *Router) takeReport(now time.Time, report balance.Report) balance.ReportReply {
	list := r.noteCoordinator(now, &report)
	g, ok := list.Unpack(report)
	if !ok {
		return balance.ReportReply{}
	}
	demand := r.opts.Relay.Report(now, g)
	return balance.ReportReply{
		List: list.Number, Unstarted: list.PackUnstarted(demand.Unstarted), Wanted: demand.Wanted, Waiting: demand.Waiting, Rate: demand.Rate, Idle: demand.Idle,
		Most: list.PackLimits(demand.Most), Resting: list.PackRanks(demand.Resting), Levels: demand.Levels,
		Unread: list.PackUnread(demand.Unread),
	}
}

// noteCoordinator records the sender of a report, and returns the list of ranks that the report
// refers to.
func (r *Router) noteCoordinator(now time.Time, report *balance.Report) balance.RankList {
	r.mu.Lock()
	defer r.mu.Unlock()
	l := r.groups[report.ID]
	if report.Authority >= l.Authority {
		l.Coordinator = Coordinator{Group: report.ID, Service: service.ID(report.Service), Authority: report.Authority, Address: report.Coordinator}
	}
	if list, ok := report.IncludedList(); ok {
		l.list = list
	}
	l.reportedAt, l.last = now, statusOf(report)
	r.groups[report.ID] = l
	return l.list
}

// statusOf returns the status of a group for operators.
func statusOf(report *balance.Report) GroupStatus {
	s := GroupStatus{Open: report.Open, Whole: report.Whole, Ranks: len(report.Running), Skew: report.Skew}
	for i := range report.Running {
		s.Running += int(report.Running[i])
	}
	for i := range report.Waiting {
		s.Waiting += int(report.Waiting[i])
	}
	return s
}

// coordinatorsOf returns the known coordinators of the groups of a service.
func (r *Router) coordinatorsOf(id service.ID) []Coordinator {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []Coordinator
	for _, l := range r.groups {
		if l.Service == id && l.Address != "" {
			out = append(out, l.Coordinator)
		}
	}
	return out
}

const (
	// searchInterval is the time between two searches for the coordinators of a service while no
	// load is reported. While some loads are, it doubles each time up to maxSearchInterval: a group
	// may have no coordinator for long, and all routers search for it.
	searchInterval    = 100 * time.Millisecond
	maxSearchInterval = 2 * time.Second
	// searchTimeout bounds one call of a search.
	searchTimeout = 200 * time.Millisecond
	// searchFanout is the number of other routers that are asked for coordinators.
	searchFanout = 2
	// reportStaleAfter is the age of a coordinator's latest report from which it is asked for a new
	// one: a few report intervals.
	reportStaleAfter = 300 * time.Millisecond
)

// requestSearch requests a search because requests for a service arrive while some of its ranks are
// not reported. It does not block.
func (r *Router) requestSearch(id service.ID) {
	select {
	case r.searchRequests <- id:
	default: // a search is already pending
	}
}

// searchBackoff is the back-off between searches for the coordinators of a service: the end and the
// length of the current pause.
type searchBackoff struct {
	until  time.Time
	length time.Duration
}

// next returns the pause after a search. covered reports whether all ranks are reported now, and
// some whether some are.
func (p searchBackoff) next(now time.Time, covered, some bool) searchBackoff {
	length := searchInterval
	if !covered && some {
		length = min(max(2*p.length, searchInterval), maxSearchInterval)
	}
	return searchBackoff{until: now.Add(length), length: length}
}

// runSearches searches for the coordinators of unreported ranks until ctx ends.
func (r *Router) runSearches(ctx context.Context) {
	pauses := map[service.ID]searchBackoff{}
	for {
		select {
		case id := <-r.searchRequests:
			if clock.Now().Before(pauses[id].until) {
				continue
			}
			r.searchCoordinators(ctx, id)
			now := clock.Now()
			covered, some := r.covered(now, id)
			pauses[id] = pauses[id].next(now, covered, some)
		case <-ctx.Done():
			return
		}
	}
}

// covered reports whether the loads of all ranks of a service are reported, and whether those of
// some are.
func (r *Router) covered(now time.Time, id service.ID) (all, some bool) {
	for _, c := range r.opts.Relay.Coverage(now) {
		if c.Service == id {
			return len(c.Unreported) == 0, len(c.Unreported) < c.Listed
		}
	}
	return false, false
}

// searchCoordinators asks the known coordinators of a service without a recent report, and if ranks
// remain unreported, asks other routers for coordinators. A service may have several groups: a
// report of one says nothing about the others.
func (r *Router) searchCoordinators(ctx context.Context, id service.ID) {
	r.askCoordinators(ctx, id)
	if all, _ := r.covered(clock.Now(), id); all {
		return
	}
	for _, n := range r.someRouters(searchFanout) {
		var found []Coordinator
		if err := r.callWithTimeout(ctx, n.Address, "Router.Coordinators", id, &found); err != nil {
			continue // the gossip loop detects that the router is silent
		}
		if !r.mergeCoordinators(found) {
			continue
		}
		r.askCoordinators(ctx, id)
		if all, _ := r.covered(clock.Now(), id); all {
			return
		}
	}
	r.opts.Logger.Info().Str("service", string(id)).Int("known", len(r.coordinatorsOf(id))).Msg("no-coordinator-reachable")
}

// askCoordinators asks the known coordinators without a recent report for their load.
func (r *Router) askCoordinators(ctx context.Context, id service.ID) {
	for _, c := range r.coordinatorsOf(id) {
		r.mu.Lock()
		l := r.groups[c.Group]
		want := balance.LoadRequest{Router: r.table.Self(), List: l.list.Number}
		r.mu.Unlock()
		if clock.Since(l.reportedAt) < reportStaleAfter {
			continue
		}
		want.Levels = r.opts.Relay.LevelDemands(clock.Now(), id)
		for _, d := range want.Levels {
			want.Wanted += d.Wanted
		}
		var report balance.Report
		if err := r.callWithTimeout(ctx, c.Address, "Rank.Report", want, &report); err != nil {
			r.opts.Logger.Debug().Str("coordinator", c.Address).Err(err).Msg("coordinator-silent")
			continue
		}
		if report.ID != "" {
			r.takeReport(clock.Now(), report)
		}
	}
}

func (r *Router) callWithTimeout(ctx context.Context, address, method string, args, reply any) error {
	cctx, cancel := context.WithTimeout(ctx, searchTimeout)
	defer cancel()
	return r.opts.Pool.Call(cctx, address, method, args, reply)
}

// mergeCoordinators records coordinators known to another router, and reports whether any was new.
func (r *Router) mergeCoordinators(found []Coordinator) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	added := false
	for _, c := range found {
		if l := r.groups[c.Group]; c.Authority > l.Authority {
			l.Coordinator = c
			r.groups[c.Group] = l
			added = true
		}
	}
	return added
}

// someRouters returns some randomly chosen routers that appear to run.
func (r *Router) someRouters(limit int) []peer.Info {
	r.mu.Lock()
	live := r.table.Live(clock.Now(), vm.RoleRouter)
	r.mu.Unlock()
	rand.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] }) //nolint:gosec // no secret
	return live[:min(limit, len(live))]
}
