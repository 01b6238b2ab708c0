// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package entry

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"fawnwinch.org/fawnwinch/models/service"
	"fawnwinch.org/fawnwinch/services/relay"
)

const (
	// untoldAfter is how long ranks are without a told load before a router logs it: a group is led again within a second and a
	// half of its coordinator's death, and routers that have few requests are told each second.
	untoldAfter = 3 * time.Second
	// untoldEvery is the time between two such lines while that lasts.
	untoldEvery = 10 * time.Second
	// untoldNamed is the number of addresses that such a line names.
	untoldNamed = 3
)

// GroupStatus is what a router knows of a model group.
type GroupStatus struct {
	Coordinator
	// Age is how long ago the coordinator last told the load.
	Age time.Duration
	// Open and Whole are as in balance.Group; Ranks, Running and Waiting count ranks and their requests.
	Open, Whole             bool
	Ranks, Running, Waiting int
	Skew                    float64
}

// GroupsStatus is what a router knows of all model groups.
type GroupsStatus struct {
	Router   string
	Groups   []GroupStatus
	Coverage []relay.Coverage
}

// Groups tells operators which groups of a service tell their load, and which ranks belong to none that does; of all services if
// none is named.
func (a *API) Groups(of service.ID, reply *GroupsStatus) error {
	*reply = a.r.groupsStatus(time.Now(), of)
	return nil
}

func (r *Router) groupsStatus(now time.Time, of service.ID) GroupsStatus {
	var out GroupsStatus
	for _, c := range r.opts.Relay.Coverage(now) {
		if of == "" || c.Service == of {
			out.Coverage = append(out.Coverage, c)
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
		g.Coordinator, g.Age = l.Coordinator, now.Sub(l.toldAt)
		out.Groups = append(out.Groups, g)
	}
	slices.SortFunc(out.Groups, func(a, b GroupStatus) int {
		return cmp.Or(strings.Compare(string(a.Service), string(b.Service)), strings.Compare(string(a.Group), string(b.Group)))
	})
	return out
}

// untold is how long ranks of a service have been without a told load, and when that was last logged.
type untold struct{ since, noted time.Time }

// noteCoverage logs that nobody tells the load of some ranks, from time to time, and that all are told again.
func (r *Router) noteCoverage(now time.Time) {
	for _, c := range r.opts.Relay.Coverage(now) {
		u := r.untold[c.Service]
		switch missing := len(c.Untold); {
		case missing == 0 && u.noted.IsZero():
			u.since = time.Time{}
		case missing == 0:
			r.opts.Logger.Info().Str("service", string(c.Service)).Int("listed", c.Listed).Int64("untold_ms", now.Sub(u.since).Milliseconds()).Msg("ranks-told")
			u = untold{}
		case u.since.IsZero():
			u.since = now
		case now.Sub(u.since) > untoldAfter && now.Sub(u.noted) > untoldEvery:
			u.noted = now
			r.logUntold(now, c, u.since)
		}
		r.untold[c.Service] = u
	}
}

func (r *Router) logUntold(now time.Time, c relay.Coverage, since time.Time) {
	known, told := r.groupsStatus(now, c.Service).Groups, 0
	for _, g := range known {
		if g.Age < untoldAfter {
			told++
		}
	}
	r.opts.Logger.Warn().Str("service", string(c.Service)).Int("listed", c.Listed).Int("untold", len(c.Untold)).
		Str("addresses", strings.Join(c.Untold[:min(untoldNamed, len(c.Untold))], ",")).Int("groups_known", len(known)).Int("groups_told", told).
		Int64("untold_ms", now.Sub(since).Milliseconds()).Msg("ranks-untold")
}

// UntoldRanks returns the number of ranks of each service with model groups, and how many of them belong to no group whose load
// was told lately.
func (r *Router) UntoldRanks(now time.Time) (listed, untold map[service.ID]int) {
	listed, untold = map[service.ID]int{}, map[service.ID]int{}
	for _, c := range r.opts.Relay.Coverage(now) {
		listed[c.Service], untold[c.Service] = c.Listed, len(c.Untold)
	}
	return listed, untold
}
