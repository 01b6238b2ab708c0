// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package entry

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"fawnwinch.org/fawnwinch/models/service"
	"fawnwinch.org/fawnwinch/models/vm"
	"fawnwinch.org/fawnwinch/modules/clock"
	"fawnwinch.org/fawnwinch/services/condition"
	"fawnwinch.org/fawnwinch/services/knowledge"
	"fawnwinch.org/fawnwinch/services/quarantine"
	"fawnwinch.org/fawnwinch/services/relay"
)

const (
	// unreportedAfter is how long ranks must be unreported before a router logs it. A group has a
	// new coordinator within a second and a half of its coordinator's death, and routers with few
	// requests get a report each second.
	unreportedAfter = 3 * time.Second
	// unreportedLogInterval is the time between two such log lines while that lasts.
	unreportedLogInterval = 10 * time.Second
	// maxLoggedAddresses is the maximum number of addresses in such a log line.
	maxLoggedAddresses = 3
)

// GroupStatus is a router's view of a model group.
type GroupStatus struct {
	Coordinator
	// Age is how long ago the coordinator last reported the load.
	Age time.Duration
	// Open and Whole are as in balance.Group. Ranks, Running and Waiting count ranks and their
	// requests.
	Open, Whole             bool
	Ranks, Running, Waiting int
	Skew                    float64
}

// GroupsStatus is a router's view of all model groups.
type GroupsStatus struct {
	Router   string
	Groups   []GroupStatus
	Coverage []relay.Coverage
	// Shortages holds the services whose requests lack room.
	Shortages []relay.ServiceShortage `json:",omitempty"`
	// Quarantined holds what is refused because it crashes upstreams.
	Quarantined []relay.QuarantineStatus `json:",omitempty"`
	Store       StoreStatus
	// Evacuated holds the evacuated data centres, and Conditions counts the upstreams in each
	// condition.
	Evacuated  []vm.DataCentre
	Conditions map[condition.Kind]int
}

// Groups returns, for operators, the reported groups of a service, the ranks that no group reports
// and its shortage; of all services if none is given.
func (a *API) Groups(of service.ID, reply *GroupsStatus) error {
	*reply = a.r.groupsStatus(clock.Now(), of)
	return nil
}

// Release clears a content or a part of prompts that is refused, for operators. The other routers
// learn it by gossip.
func (a *API) Release(k quarantine.Key, released *bool) error {
	*released = a.r.opts.Relay.Release(clock.Now(), k)
	a.r.opts.Logger.Info().Stringer("key", k).Bool("released", *released).Msg("quarantine-released")
	return nil
}

func (r *Router) groupsStatus(now time.Time, of service.ID) GroupsStatus {
	out := GroupsStatus{Store: r.storeStatus(now), Conditions: r.opts.Relay.Conditions(now), Quarantined: r.opts.Relay.Quarantined(now)}
	r.opts.Relay.WithState(func(s *knowledge.State) { out.Evacuated = s.Evacuated() })
	for _, c := range r.opts.Relay.Coverage(now) {
		if of == "" || c.Service == of {
			out.Coverage = append(out.Coverage, c)
		}
	}
	for _, s := range r.opts.Relay.Shortages(now) {
		if of == "" || s.Service == of {
			out.Shortages = append(out.Shortages, s)
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	out.Router = r.table.Self().Name
	for _, l := range r.groups {
		if of != "" && l.Service != of {
			continue
		}
		g := l.last
		g.Coordinator, g.Age = l.Coordinator, now.Sub(l.reportedAt)
		out.Groups = append(out.Groups, g)
	}
	slices.SortFunc(out.Groups, func(a, b GroupStatus) int {
		return cmp.Or(strings.Compare(string(a.Service), string(b.Service)), strings.Compare(string(a.Group), string(b.Group)))
	})
	return out
}

// unreported is since when ranks of a service are unreported, and when that was last logged.
type unreported struct{ since, loggedAt time.Time }

// noteCoverage logs periodically that some ranks are unreported, and once when all are reported
// again.
func (r *Router) noteCoverage(now time.Time) {
	for _, c := range r.opts.Relay.Coverage(now) {
		u := r.unreported[c.Service]
		switch missing := len(c.Unreported); {
		case missing == 0 && u.loggedAt.IsZero():
			u.since = time.Time{}
		case missing == 0:
			r.opts.Logger.Info().Str("service", string(c.Service)).Int("listed", c.Listed).Int64("unreported_ms", now.Sub(u.since).Milliseconds()).Msg("ranks-reported")
			u = unreported{}
		case u.since.IsZero():
			u.since = now
		case now.Sub(u.since) > unreportedAfter && now.Sub(u.loggedAt) > unreportedLogInterval:
			u.loggedAt = now
			r.logUnreported(now, c, u.since)
		}
		r.unreported[c.Service] = u
	}
}

func (r *Router) logUnreported(now time.Time, c relay.Coverage, since time.Time) {
	known, recent := r.groupsStatus(now, c.Service).Groups, 0
	for _, g := range known {
		if g.Age < unreportedAfter {
			recent++
		}
	}
	r.opts.Logger.Warn().Str("service", string(c.Service)).Int("listed", c.Listed).Int("unreported", len(c.Unreported)).
		Str("addresses", strings.Join(c.Unreported[:min(maxLoggedAddresses, len(c.Unreported))], ",")).Int("groups_known", len(known)).Int("groups_told", recent).
		Int64("unreported_ms", now.Sub(since).Milliseconds()).Msg("ranks-unreported")
}
