// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package balance

import (
	"maps"
	"math"

	"fawnwinch.org/fawnwinch/models/urgency"
	"fawnwinch.org/fawnwinch/models/vm"
)

// Allotment maps rank addresses to the number of requests that a router may send there until the
// next report.
type Allotment map[string]int

// Demand is the number of requests that a router wants to send until the next report.
type Demand struct {
	Router     string
	Requests   int
	DataCentre vm.DataCentre
	// Levels divides Requests by level; nil if the service has no levels.
	Levels []LevelDemand
	// Most limits the requests to some ranks, by the limits that these ranks report; others are
	// unlimited.
	Most SendLimits
	// Resting holds the addresses of the ranks that have asked the router to back off.
	Resting []string
}

// SendLimits limits the requests that a router may send to some ranks until the next report, by
// rank address. It applies even if the ranks have room.
type SendLimits map[string]int

// allows reports whether a router with the given allotment may get one more request at a rank.
func (m SendLimits) allows(address string, allotted Allotment) bool {
	limit, limited := m[address]
	return !limited || allotted[address] < limit
}

// Bounds limits the requests of a group.
type Bounds struct {
	// Rank is the limit for each rank, and Mean the limit for the average over ranks.
	Rank, Mean int
	// Unstarted is the limit for requests at a rank whose prompts are still to be read; 0 means no
	// limit.
	Unstarted int
	// Unread is the limit for the unread prompt tokens of a rank that has any; 0 means no limit.
	Unread int
	// Prompt is the number of prompt tokens with which a place counts against Unread.
	Prompt int
	// LevelMeans holds the mean number of requests per rank up to which each level gets places; 0
	// means that only Rank and Mean apply, as for services without levels.
	LevelMeans [urgency.MaxLevels]float64
}

// Allotter divides the free capacity of a group's ranks among the routers. The next report arrives
// several passes later. Routers that used only the report would all send to the same ranks, where
// requests would wait although other ranks have room. It does no I/O and reads no clock.
type Allotter struct {
	// credit holds the fractions of requests that each router has earned and not yet received, by
	// data centre of the ranks.
	credit map[creditKey]float64
}

// creditKey identifies a router's credit of a share for ranks in a data centre.
type creditKey struct {
	router     string
	dataCentre vm.DataCentre
	share      shareID
}

// NewAllotter returns an allotter without credits.
func NewAllotter() *Allotter { return &Allotter{credit: map[creditKey]float64{}} }

// remoteWeight is the weight of demand from another data centre, relative to demand from the same
// one, while no request waits. Routers get allotments in both, so that a data centre with more callers than its ranks can
// serve makes progress; traffic between data centres is billed.
const remoteWeight = 0.25

// Allot returns the allotment of each router. Outstanding holds earlier allotments that may be in
// use by now, and caps limits the allotments at some ranks for all routers together. Routers get
// allotments in proportion to their demand, but each gets some: their demand figures are old as
// well. If routers divide their demand by level, the levels are served in order of urgency.
func (a *Allotter) Allot(ranks []RankLoad, b Bounds, outstanding Allotment, demands []Demand, caps SendLimits) map[string]Allotment {
	out := map[string]Allotment{}
	for _, d := range demands {
		out[d.Router] = Allotment{}
	}
	if len(demands) == 0 || len(ranks) == 0 {
		return out
	}
	a.prune(demands)
	r := newAllotmentRound(a, ranks, b, outstanding, demands, caps, out)
	if levels := countLevels(demands); levels > 1 {
		newLevelRound(r, levels).serve()
		return out
	}
	all := newShare(shareAll, len(ranks), totalWeights(demands))
	for r.free >= 1 && r.grant(all) >= 0 {
	}
	a.keepCredits(demands, all)
	return out
}

// allotmentRound is the state of the allotments of one report.
type allotmentRound struct {
	allotter *Allotter
	ranks    []RankLoad
	bounds   Bounds
	demands  []Demand
	caps     SendLimits
	skipSlow bool
	// loads and unstarted hold the requests of each rank, with the allotments so far.
	loads     []float64
	unstarted []int
	// free is the number of requests that the mean of the bounds still allows.
	free float64
	// allotted counts the allotments at each rank, and out those of each router.
	allotted Allotment
	out      map[string]Allotment
}

func newAllotmentRound(a *Allotter, ranks []RankLoad, b Bounds, outstanding Allotment, demands []Demand, caps SendLimits, out map[string]Allotment) *allotmentRound {
	r := &allotmentRound{
		allotter: a, ranks: ranks, bounds: b, demands: demands, caps: caps, skipSlow: canSkipSlow(ranks),
		loads: make([]float64, len(ranks)), unstarted: make([]int, len(ranks)), free: float64(b.Mean * len(ranks)), allotted: Allotment{}, out: out,
	}
	for i, rank := range ranks {
		r.loads[i] = float64(rank.requests() + outstanding[rank.Address])
		r.unstarted[i] = b.unstarted(&rank) + outstanding[rank.Address]
		r.free -= r.loads[i]
	}
	return r
}

// grant allots one more request to a router of a share, and returns the router's index in demands.
// It returns -1 if no rank has room for a router of the share.
func (r *allotmentRound) grant(s *share) int {
	for {
		i := r.leastLoaded(s.blocked)
		if i < 0 {
			return -1
		}
		address, router := r.ranks[i].Address, -1
		if r.caps.allows(address, r.allotted) {
			router = r.next(s, &r.ranks[i])
		}
		if router < 0 {
			s.blocked[i] = true
			continue
		}
		r.allotted[address]++
		r.loads[i]++
		r.unstarted[i]++
		r.free--
		r.out[r.demands[router].Router][address]++
		return router
	}
}

// requests returns the requests at a rank. The rank's own count does not include the latest sends
// of routers.
func (r *RankLoad) requests() int { return r.Running + max(r.Waiting, r.Unstarted) }

const (
	// slowPace is the pace from which a rank gets no requests while the others have normal pace. A
	// prompt of 800 tokens takes 13 ms to read, and 65 ms at a rank that is five times slower: all
	// streams of the group wait for it. A group with one such rank of 12 earned 0.65 of the
	// possible credit with requests to it, and 0.71 and 0.72 without.
	slowPace = 2.0
	// maxSlowFraction is the largest fraction of the ranks that may be skipped because they are
	// slow. If more are slow, none is skipped.
	maxSlowFraction = 1.0 / 3
)

// slow reports whether a rank takes much longer than normal.
func (r *RankLoad) slow() bool { return r.Pace >= slowPace }

// canSkipSlow reports whether the slow ranks are few enough to skip them.
func canSkipSlow(ranks []RankLoad) bool {
	slow := 0
	for i := range ranks {
		if ranks[i].slow() {
			slow++
		}
	}
	return float64(slow) <= maxSlowFraction*float64(len(ranks))
}

// leastLoaded returns the rank for the next allotted request, or -1 if there is none. A stream at a
// slow rank makes the pass longer for all ranks, so its load is weighted by the pace; with
// skipSlow, slow ranks get none. Silent and blocked ranks never get any.
func (r *allotmentRound) leastLoaded(blocked []bool) int {
	best, bestLoad := -1, math.Inf(1)
	for i := range r.ranks {
		rank := &r.ranks[i]
		if blocked[i] || rank.Silent || r.skipSlow && rank.slow() || !r.room(i) {
			continue
		}
		load := (r.loads[i] + unstartedWeight*r.bounds.unreadPrompts(rank)) * max(rank.Pace, 1)
		if load < bestLoad {
			best, bestLoad = i, load
		}
	}
	return best
}

// room reports whether the bounds allow one more request at a rank.
func (r *allotmentRound) room(rank int) bool {
	return r.loads[rank] < float64(r.bounds.Rank) && (r.bounds.Unstarted == 0 || r.unstarted[rank] < r.bounds.Unstarted)
}

// next returns the router that gets the next request of a share at a rank, based on the allotments
// so far; -1 if none may send there.
func (r *allotmentRound) next(s *share, rank *RankLoad) int {
	at := rank.DataCentre
	total := 0.0
	for i := range r.demands {
		if r.eligible(s, i, rank) {
			total += s.weight(i, &r.demands[i], at)
		}
	}
	best, credits := -1, r.allotter.creditsOf(r.demands, s, at)
	for i := range r.demands {
		if !r.eligible(s, i, rank) {
			continue
		}
		credits[i] += s.weight(i, &r.demands[i], at) / total
		if best < 0 || credits[i] > credits[best] {
			best = i
		}
	}
	if best >= 0 {
		credits[best]--
	}
	return best
}

// eligible reports whether a router may get one more request of a share at a rank.
func (r *allotmentRound) eligible(s *share, router int, rank *RankLoad) bool {
	d := &r.demands[router]
	return s.has(router) && (len(d.Most) == 0 || d.Most.allows(rank.Address, r.out[d.Router]))
}

// creditsOf returns the routers' credits of a share for ranks in a data centre. They are kept in the
// share during a report: a map access for each router and place took most of the time of a report.
func (a *Allotter) creditsOf(demands []Demand, s *share, at vm.DataCentre) []float64 {
	credits, ok := s.credits[at]
	if !ok {
		credits = make([]float64, len(demands))
		for i, d := range demands {
			credits[i] = a.credit[creditKey{router: d.Router, dataCentre: at, share: s.id}]
		}
		s.credits[at] = credits
	}
	return credits
}

// keepCredits keeps the credits of shares for the next report.
func (a *Allotter) keepCredits(demands []Demand, shares ...*share) {
	for _, s := range shares {
		for at, credits := range s.credits {
			for i, n := range credits {
				a.credit[creditKey{router: demands[i].Router, dataCentre: at, share: s.id}] = n
			}
		}
	}
}

// prune drops the credits of routers that are no longer present.
func (a *Allotter) prune(demands []Demand) {
	present := make(map[string]bool, len(demands))
	for _, d := range demands {
		present[d.Router] = true
	}
	maps.DeleteFunc(a.credit, func(key creditKey, _ float64) bool { return !present[key.router] })
}
