// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package balance

import (
	"slices"
	"time"

	"fawnwinch.org/fawnwinch/models/group"
)

// requests returns the number of running and unstarted requests of the group. An engine may have
// received unstarted requests of routers that have not reported them yet.
func (g *Group) requests() int {
	sum := 0
	for i := range g.Ranks {
		sum += g.Ranks[i].requests()
	}
	return sum
}

// groupsFrom returns the groups with a valid report whose mean number of requests per rank is at
// least the given one; none if it is 0.
func (p *Pool) groupsFrom(now time.Time, mean float64) []group.ID {
	if mean <= 0 {
		return nil
	}
	var out []group.ID
	for id, g := range p.groups {
		if now.Sub(g.at) < g.valid && float64(g.requests+p.sends[id]) >= mean*float64(len(g.Ranks)) {
			out = append(out, id)
		}
	}
	return out
}

// BelowMean reports whether a group that is reported to work has less than the given mean number of
// requests per rank. It is true if the mean is 0 or no such group is reported.
func (p *Pool) BelowMean(now time.Time, mean float64) bool {
	if mean <= 0 {
		return true
	}
	full, working := p.groupsFrom(now, mean), 0
	for id, g := range p.groups {
		if !g.Open || g.Stalled || now.Sub(g.at) >= g.valid {
			continue
		}
		if working++; !slices.Contains(full, id) {
			return true
		}
	}
	return working == 0
}
