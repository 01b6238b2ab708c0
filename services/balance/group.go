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
	// valid is how long it counts.
	valid time.Duration
	// opened is when the group was first told to be open, since it was not.
	opened time.Time
}

// Backlog is how much waits for a group at all routers together.
type Backlog struct {
	// Waiting counts the requests that wait at routers, and Free the places that were parted among the routers.
	Waiting, Free int
	// Rate is the number of requests that are sent to the group in a second.
	Rate float64
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
	// Backlog is what waits for the group. Coordinators do not fill it in; it comes from the book.
	Backlog Backlog
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
func (p *Pool) Report(now time.Time, g Group, ids map[string]upstream.Run) Unstarted {
	valid, opened := reportValid, now
	if last, ok := p.groups[g.ID]; ok {
		valid = min(max(reportValid, time.Duration(reportsMissed*float64(now.Sub(last.at)))), reportValidMost)
		if last.Open && g.Open {
			opened = last.opened
		}
	}
	p.groups[g.ID] = groupReport{Group: g, at: now, valid: valid, opened: opened}
	mine := Unstarted{}
	for _, r := range g.Ranks {
		id, ok := ids[r.Address]
		if !ok {
			continue
		}
		s := p.state(id)
		s.report, s.reportedAt, s.valid, s.begun, s.ended, s.group = r, now, valid, 0, 0, g.ID
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
		if now.Sub(g.at) < g.valid {
			out = append(out, g.Group)
		}
	}
	return out
}

// Reported reports whether the load of a group was told lately.
func (p *Pool) Reported(now time.Time) bool { return len(p.recent(now)) > 0 }

// Unreported returns the ranks, of some upstreams of a service with model groups, whose load no coordinator has told lately: those of
// a group that nobody leads, or whose coordinator does not reach this router.
func (p *Pool) Unreported(now time.Time, ranks []upstream.Instance) []upstream.Instance {
	var out []upstream.Instance
	for _, u := range ranks {
		if s, known := p.ups[u.Run()]; !known || !s.reported(now) {
			out = append(out, u)
		}
	}
	return out
}

// Closed reports whether all groups that were reported lately are broken. That counts for a short time only: a group
// forms anew within a second, and a router that goes by an old report would not try it.
func (p *Pool) Closed(now time.Time) bool {
	lately := false
	for _, g := range p.groups {
		if age := now.Sub(g.at); g.Open && age < g.valid {
			return false
		} else if !g.Open && age < reportValid {
			lately = true
		}
	}
	return lately
}

const (
	// turnsAwayFor is how long a rank that has turned a request away speaks for all where no coordinator tells: after a loss of
	// power each caller's last try would end at a rank whose group is still to form.
	turnsAwayFor = 300 * time.Millisecond
	// answersBefore is how long before that no rank has begun an answer: one that does shows that its group works.
	answersBefore = time.Second
)

// TurnsAway reports whether ranks turn requests away and none answers, as far as the router's own requests show: no coordinator
// tells.
func (p *Pool) TurnsAway(now time.Time) bool {
	return !p.Reported(now) && p.fullAt.Sub(p.begunAt) > answersBefore && now.Sub(p.fullAt) < turnsAwayFor
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

// Backlog returns what waits for all groups together; false if none has been reported lately.
func (p *Pool) Backlog(now time.Time) (Backlog, bool) {
	var b Backlog
	groups := p.recent(now)
	for _, g := range groups {
		b.Waiting, b.Free, b.Rate = b.Waiting+g.Backlog.Waiting, b.Free+g.Backlog.Free, b.Rate+g.Backlog.Rate
	}
	return b, len(groups) > 0
}

// OpenRanks returns the number of ranks of the groups that were reported open lately, and whether one of these has opened within a
// time.
func (p *Pool) OpenRanks(now time.Time, within time.Duration) (ranks int, opened bool) {
	for _, g := range p.groups {
		if g.Open && now.Sub(g.at) < g.valid {
			ranks += len(g.Ranks)
			opened = opened || now.Sub(g.opened) < within
		}
	}
	return ranks, opened
}

// Load returns the load by which the bounds of the group are set.
func (g *Group) Load() GroupLoad {
	l := GroupLoad{Skew: g.Skew, Pace: g.Pace()}
	for _, r := range g.Ranks {
		l.Writers += float64(r.Running) / float64(len(g.Ranks))
	}
	return l
}

// GroupLoad returns the heaviest load of the groups: 0 for what is not known.
func (p *Pool) GroupLoad(now time.Time) GroupLoad {
	l := GroupLoad{Pace: 1}
	for _, g := range p.recent(now) {
		o := g.Load()
		l.Skew, l.Pace, l.Writers = max(l.Skew, o.Skew), max(l.Pace, o.Pace), max(l.Writers, o.Writers)
	}
	return l
}
