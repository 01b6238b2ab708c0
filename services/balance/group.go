// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package balance

import (
	"slices"
	"time"

	"fawnwinch.org/fawnwinch/models/group"
	"fawnwinch.org/fawnwinch/models/upstream"
	"fawnwinch.org/fawnwinch/models/vm"
)

// groupReport is the latest report of a group.
type groupReport struct {
	Group
	at time.Time
	// valid is how long the report is used.
	valid time.Duration
	// requests is the number of running and unstarted requests of all ranks.
	requests int
	// opened is when the group was first reported open after it was not.
	opened time.Time
}

// Backlog is the number of requests that wait for a group at all routers together.
type Backlog struct {
	// Waiting counts the requests that wait at routers, and Free the requests that were allotted to
	// routers.
	Waiting, Free int
	// Rate is the number of requests sent to the group per second.
	Rate float64
	// Levels holds the waiting requests of each level; nil if the service has none.
	Levels []int
}

// Group is the state of a model group that its coordinator reports to all routers.
type Group struct {
	Service string
	ID      group.ID
	// Open reports whether the group works; a broken group answers nothing until it has formed
	// again.
	Open bool
	// Whole reports whether every rank answers. A broken group with all ranks reopens within its
	// form time; one with missing ranks reopens some time after they are back.
	Whole bool
	// Stalled reports whether no pass ends because a rank is silent: the others wait for it. A group
	// whose rank is frozen is open, but answers nothing until the rank's VM resumes.
	Stalled bool
	// Skew is the ratio of the heaviest rank's load to the mean under the current map. It includes
	// the time that ranks take, so it covers slow ranks as well.
	Skew float64
	// Backlog holds the waiting requests. Coordinators do not set it; it is filled in by
	// RouterRegistry.
	Backlog Backlog
	// Ranks lists the load of each rank.
	Ranks []RankLoad
	// Places is what the receiving router may send until the next report; nil if the router decides
	// by itself.
	Places Allotment
}

// Pace returns the pace of the slowest rank, at least 1.
func (g *Group) Pace() float64 {
	pace := 1.0
	for _, r := range g.Ranks {
		pace = max(pace, r.Pace)
	}
	return pace
}

// RankLoad is the load of one rank.
type RankLoad struct {
	// Address is where the rank's engine accepts requests.
	Address string
	// DataCentre is the rank's location. Coordinators know it; it is not sent to routers.
	DataCentre vm.DataCentre
	// Running counts the requests that are being answered, and Waiting those that wait at the
	// engine.
	Running, Waiting int
	// Unstarted counts the requests that routers have sent and whose answers have not begun. The
	// engine does not report a prompt that it is reading.
	Unstarted int
	// Unread is the number of prompt tokens of the unstarted requests; 0 if routers do not report
	// it.
	Unread int
	// Pace is the rank's step time relative to the normal one; 1 is normal.
	Pace float64
	// Silent reports whether neither the rank's agent nor its engine answers the coordinator. Its VM
	// may be frozen.
	Silent bool
}

// Unstarted maps rank addresses to the number of the router's requests whose answers have not
// begun. Routers report it to a coordinator.
type Unstarted map[string]int

// Report records the load of a group, and returns this router's unstarted requests. IDs maps the
// addresses of the ranks to upstreams.
func (p *Pool) Report(now time.Time, g Group, ids map[string]upstream.Run) Unstarted {
	valid, opened := reportValid, now
	if last, ok := p.groups[g.ID]; ok {
		valid = min(max(reportValid, time.Duration(reportValidIntervals*float64(now.Sub(last.at)))), maxReportValid)
		if last.Open && g.Open {
			opened = last.opened
		}
	}
	p.groups[g.ID] = groupReport{Group: g, at: now, valid: valid, opened: opened, requests: g.requests()}
	p.sends[g.ID] = 0
	reply := Unstarted{}
	for _, r := range g.Ranks {
		id, ok := ids[r.Address]
		if !ok {
			continue
		}
		s := p.state(id)
		s.report, s.reportedAt, s.valid, s.started, s.ended, s.group = r, now, valid, 0, 0, g.ID
		s.slots, s.allotted = g.Places[r.Address], g.Places != nil
		s.counted, s.lastReported = s.lastReported, s.unstarted
		p.sends[g.ID] += s.unstarted - min(s.counted, r.Unstarted)
		s.unread.report()
		if s.unstarted > 0 {
			reply[r.Address] = s.unstarted
		}
	}
	return reply
}

// recentGroups returns the groups with a valid report.
func (p *Pool) recentGroups(now time.Time) []Group {
	var out []Group
	for _, g := range p.groups {
		if now.Sub(g.at) < g.valid {
			out = append(out, g.Group)
		}
	}
	return out
}

// Reported reports whether any group has a valid report.
func (p *Pool) Reported(now time.Time) bool { return len(p.recentGroups(now)) > 0 }

// Unreported returns those of the ranks whose load is in no valid report: their group has no
// leader, or its coordinator does not reach this router.
func (p *Pool) Unreported(now time.Time, ranks []upstream.Instance) []upstream.Instance {
	var out []upstream.Instance
	for _, u := range ranks {
		if s, known := p.states[u.Run()]; !known || !s.reported(now) {
			out = append(out, u)
		}
	}
	return out
}

// Closed reports whether all recently reported groups are broken or stalled. A report of a broken
// group is used for reportValid only: a group forms again within a second, and a router that
// trusted an old report would not try it.
func (p *Pool) Closed(now time.Time) bool {
	closed := false
	for _, g := range p.groups {
		switch age := now.Sub(g.at); {
		case g.Open && !g.Stalled && age < g.valid:
			return false
		case !g.Open && age < reportValid, g.Stalled && age < g.valid:
			closed = true
		}
	}
	return closed
}

const (
	// rejectionValid is how long a rejection by one rank applies to all ranks if no coordinator
	// reports. Without it each caller's last try after a power failure would end at a rank whose
	// group has not formed yet.
	rejectionValid = 300 * time.Millisecond
	// recentStart is how recently before a rejection an answer must have begun to show that its
	// group works.
	recentStart = time.Second
)

// Rejecting reports whether ranks reject requests and none answers, judged by this router's own
// requests. It is false while a coordinator reports.
func (p *Pool) Rejecting(now time.Time) bool {
	return !p.Reported(now) && p.rejectedAt.Sub(p.startedAt) > recentStart && now.Sub(p.rejectedAt) < rejectionValid
}

// Answering reports whether a group is reported open or, if no group is reported, whether an answer
// has begun since a time.
func (p *Pool) Answering(now, since time.Time) bool {
	groups := p.recentGroups(now)
	return slices.ContainsFunc(groups, func(g Group) bool { return g.Open }) || len(groups) == 0 && p.startedAt.After(since)
}

// MissingRanks reports whether all recently reported groups are broken and none has all its ranks.
func (p *Pool) MissingRanks(now time.Time) bool {
	groups := p.recentGroups(now)
	for _, g := range groups {
		if g.Open || g.Whole {
			return false
		}
	}
	return len(groups) > 0
}

// unheardTimeout is how long a rank that its coordinator no longer lists is left alone. A VM that
// freezes is back within seconds. A rank that is missing for longer is cut off from its
// coordinator, and routers that still reach it may use it.
const unheardTimeout = 10 * time.Second

// closed reports whether a rank gets no requests by the latest report of its group: the group is
// broken or stalled, or its coordinator does not hear the rank.
func (p *Pool) closed(now time.Time, s *state) bool {
	g, ok := p.groups[s.group]
	if !ok {
		return false
	}
	age := now.Sub(g.at)
	return !g.Open && age < reportValid || age < g.valid && (g.Stalled || s.silent(now, g.at))
}

// silent reports whether a rank is missing in the group's report of the given time. Requests that
// are sent to a frozen VM stay on their way: the rank receives them when the VM resumes, although
// their callers have disconnected by then.
func (s *state) silent(now, reported time.Time) bool {
	if s.reportedAt.Equal(reported) {
		return s.report.Silent
	}
	return now.Sub(s.reportedAt) < unheardTimeout
}

// Stuck reports whether a rank cannot answer: its coordinator reports, but does not hear it.
func (p *Pool) Stuck(now time.Time, id upstream.Run) bool {
	s, known := p.states[id]
	if !known {
		return false
	}
	g, ok := p.groups[s.group]
	return ok && now.Sub(g.at) < g.valid && s.silent(now, g.at)
}

// Stalled reports whether any group is reported as stalled.
func (p *Pool) Stalled(now time.Time) bool {
	return slices.ContainsFunc(p.recentGroups(now), func(g Group) bool { return g.Stalled })
}

// Backlog returns the sum of the groups' backlogs; false if no group has a valid report.
func (p *Pool) Backlog(now time.Time) (Backlog, bool) {
	var b Backlog
	groups := p.recentGroups(now)
	levels := true
	for _, g := range groups {
		levels = levels && (g.Backlog.Levels != nil || g.Backlog.Waiting == 0)
		b.addLevels(g.Backlog.Levels)
		b.Waiting, b.Free, b.Rate = b.Waiting+g.Backlog.Waiting, b.Free+g.Backlog.Free, b.Rate+g.Backlog.Rate
	}
	if !levels {
		b.Levels = nil
	}
	return b, len(groups) > 0
}

// addLevels adds the waiting requests of another group by level.
func (b *Backlog) addLevels(levels []int) {
	for l, waiting := range levels {
		if l == len(b.Levels) {
			b.Levels = append(b.Levels, 0)
		}
		b.Levels[l] += waiting
	}
}

// OpenRanks returns the number of ranks in groups that are reported open, and whether one of these
// groups has opened within the given time.
func (p *Pool) OpenRanks(now time.Time, within time.Duration) (ranks int, opened bool) {
	for _, g := range p.groups {
		if g.Open && now.Sub(g.at) < g.valid {
			ranks += len(g.Ranks)
			opened = opened || now.Sub(g.opened) < within
		}
	}
	return ranks, opened
}

// ReportAge returns the age of the oldest valid report of a group; false if there is none.
func (p *Pool) ReportAge(now time.Time) (time.Duration, bool) {
	age, reported := time.Duration(0), false
	for _, g := range p.groups {
		if a := now.Sub(g.at); a < g.valid {
			age, reported = max(age, a), true
		}
	}
	return age, reported
}

// CatchingUp reports whether a reported group has opened so recently that it may be in catch-up.
func (p *Pool) CatchingUp(now time.Time) bool {
	_, opened := p.OpenRanks(now, catchUpTime)
	return opened
}

// Load returns the load from which the bounds of the group are computed.
func (g *Group) Load() GroupLoad {
	l := GroupLoad{Skew: g.Skew, Pace: g.Pace()}
	for _, r := range g.Ranks {
		l.Writers += float64(r.Running) / float64(len(g.Ranks))
	}
	return l
}

// GroupLoad returns the maximum load of the groups; unknown values are 0.
func (p *Pool) GroupLoad(now time.Time) GroupLoad {
	l := GroupLoad{Pace: 1}
	for _, g := range p.recentGroups(now) {
		o := g.Load()
		l.Skew, l.Pace, l.Writers = max(l.Skew, o.Skew), max(l.Pace, o.Pace), max(l.Writers, o.Writers)
	}
	return l
}
