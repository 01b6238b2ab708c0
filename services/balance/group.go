// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package balance

import (
	"time"

	"fawnwinch.org/fawnwinch/models/group"
	"fawnwinch.org/fawnwinch/models/upstream"
	"fawnwinch.org/fawnwinch/models/vm"
)

// groupReport is what was last heard of a group.
type groupReport struct {
	Group
	at time.Time
}

// Group is what the coordinator of a model group tells all routers.
type Group struct {
	Service string
	ID      group.ID
	// Open says that the group works; a broken one answers nothing until it has formed anew.
	Open bool
	// Whole says that every rank answers: a broken group that is whole opens again within its form time, one
	// that misses ranks at some time after they are back.
	Whole bool
	// Skew is the load of the heaviest rank against the mean under the map in force. It counts the time
	// that ranks take, so it holds for slow ones too.
	Skew float64
	// Ranks lists the load of each rank.
	Ranks []RankLoad
	// Places holds what the router that is told may send until the next report; nil if it has to judge by itself.
	Places Places
}

// Pace returns that of the slowest rank, or 1.
func (g *Group) Pace() float64 {
	pace := 1.0
	for _, r := range g.Ranks {
		pace = max(pace, r.Pace)
	}
	return pace
}

// RankLoad is the load of one rank.
type RankLoad struct {
	// Address is where the rank's engine takes requests.
	Address string
	// DataCentre is where that is; coordinators know it, and routers are not told.
	DataCentre vm.DataCentre
	// Running counts the requests that are being answered. Waiting counts those that wait at the engine.
	Running, Waiting int
	// Unstarted counts the requests that routers have sent and whose answers have not begun. The engine
	// does not tell of a prompt that it is reading.
	Unstarted int
	// Pace is how many times longer than usual the rank takes.
	Pace float64
}

// Unstarted tells a coordinator, for the address of each rank, how many of a router's requests have not begun.
type Unstarted map[string]int

// Report takes in the load of a group, and returns what this router has to add. IDs maps the addresses
// of the ranks to upstreams.
func (p *Pool) Report(now time.Time, g Group, ids map[string]upstream.ID) Unstarted {
	p.groups[g.ID] = groupReport{Group: g, at: now}
	mine := Unstarted{}
	for _, r := range g.Ranks {
		id, ok := ids[r.Address]
		if !ok {
			continue
		}
		s := p.state(id)
		s.report, s.reportedAt, s.ended, s.group = r, now, 0, g.ID
		s.places, s.allotted = g.Places[r.Address], g.Places != nil
		s.known, s.told = s.told, s.unstarted
		if s.unstarted > 0 {
			mine[r.Address] = s.unstarted
		}
	}
	return mine
}

// recent returns the groups that were reported lately.
func (p *Pool) recent(now time.Time) []Group {
	var out []Group
	for _, g := range p.groups {
		if now.Sub(g.at) < reportValid {
			out = append(out, g.Group)
		}
	}
	return out
}

// Reported reports whether the load of a group was told lately.
func (p *Pool) Reported(now time.Time) bool { return len(p.recent(now)) > 0 }

// Closed reports whether all groups that were reported lately are broken.
func (p *Pool) Closed(now time.Time) bool {
	groups := p.recent(now)
	for _, g := range groups {
		if g.Open {
			return false
		}
	}
	return len(groups) > 0
}

// Missing reports whether all groups that were reported lately are broken and none has all its ranks.
func (p *Pool) Missing(now time.Time) bool {
	groups := p.recent(now)
	for _, g := range groups {
		if g.Open || g.Whole {
			return false
		}
	}
	return len(groups) > 0
}

// broken reports whether a rank's group is known to be broken.
func (p *Pool) broken(now time.Time, s *state) bool {
	g, ok := p.groups[s.group]
	return ok && !g.Open && now.Sub(g.at) < reportValid
}

// Skew returns the largest skew of the groups, or 0 if none is known.
func (p *Pool) Skew(now time.Time) float64 {
	skew := 0.0
	for _, g := range p.recent(now) {
		skew = max(skew, g.Skew)
	}
	return skew
}

// Pace returns that of the slowest rank of the groups, or 1.
func (p *Pool) Pace(now time.Time) float64 {
	pace := 1.0
	for _, g := range p.recent(now) {
		pace = max(pace, g.Pace())
	}
	return pace
}
