// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package balance

import (
	"math"
	"slices"
	"time"

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
	// Oldest is how long the router's oldest request has waited, and Goal the time within which
	// requests should be answered; 0 if unknown.
	Oldest, Goal time.Duration
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
	// Goal is the shortest time within which routes to the service want the first event; 0 if
	// unknown.
	Goal time.Duration
	// Unread is the limit for the unread prompt tokens of a rank that has any; 0 means no limit.
	Unread int
	// LevelMeans holds the mean number of requests per rank up to which each level gets places; 0
	// means that only Rank and Mean apply, as for services without levels.
	LevelMeans [urgency.MaxLevels]float64
}

// LevelDemand is a router's demand of one level.
type LevelDemand struct {
	// Wanted is the number of requests that the router wants to send until the next report, and
	// Waiting the number of these that wait already.
	Wanted, Waiting int
}

// Allotter divides the free capacity of a group's ranks among the routers. The next report arrives
// several passes later. Routers that used only the report would all send to the same ranks, where
// requests would wait although other ranks have room. It does no I/O and reads no clock.
type Allotter struct {
	// credit holds the fractional shares that each router has earned and not yet received, by data
	// centre of the ranks.
	credit map[creditKey]float64
}

// creditKey identifies a router's credit for ranks in a data centre.
type creditKey struct {
	router     string
	dataCentre vm.DataCentre
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
// well.
func (a *Allotter) Allot(ranks []RankLoad, b Bounds, outstanding Allotment, demands []Demand, caps SendLimits) map[string]Allotment {
	out := map[string]Allotment{}
	for _, d := range demands {
		out[d.Router] = Allotment{}
	}
	if len(demands) == 0 || len(ranks) == 0 {
		return out
	}
	a.prune(demands)
	loads := make([]float64, len(ranks))
	unstarted := make([]int, len(ranks))
	left := float64(b.Mean * len(ranks))
	for i, r := range ranks {
		loads[i] = float64(r.requests() + outstanding[r.Address])
		unstarted[i] = max(r.Waiting, r.Unstarted) + outstanding[r.Address]
		left -= loads[i]
	}
	limits, skipSlow := rankLimits(ranks, b), canSkipSlow(ranks)
	allotted := Allotment{}
	for left >= 1 {
		i := leastLoaded(ranks, loads, unstarted, limits, b, skipSlow)
		if i < 0 {
			break
		}
		router := ""
		if caps.allows(ranks[i].Address, allotted) {
			router = a.next(demands, &ranks[i], out)
		}
		if router == "" {
			loads[i] = math.Inf(1) // no router may send there
			continue
		}
		allotted[ranks[i].Address]++
		loads[i]++
		unstarted[i]++
		left--
		out[router][ranks[i].Address]++
	}
	return out
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
func (r *RankLoad) slow() bool { return r.pace() >= slowPace }

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
// skipSlow, slow ranks get none. Silent ranks never get any.
func leastLoaded(ranks []RankLoad, loads []float64, unstarted []int, limits []float64, b Bounds, skipSlow bool) int {
	best, bestLoad := -1, math.Inf(1)
	for i := range ranks {
		if loads[i] >= limits[i] || ranks[i].Silent || skipSlow && ranks[i].slow() || b.Unstarted > 0 && unstarted[i] >= b.Unstarted {
			continue
		}
		load := (loads[i] + unstartedWeight*float64(max(ranks[i].Waiting, ranks[i].Unstarted))) * ranks[i].pace()
		if load < bestLoad {
			best, bestLoad = i, load
		}
	}
	return best
}

// weight returns the weight of a router's demand for ranks in a data centre. A router without
// demand has a small weight too.
func (d Demand) weight(at vm.DataCentre) float64 {
	weight := float64(d.Requests + 1)
	if d.DataCentre != at {
		weight *= d.remoteWeight()
	}
	return weight
}

// next returns the router that gets the next request at a rank, based on the allotments so far; ""
// if none may send there.
func (a *Allotter) next(demands []Demand, rank *RankLoad, allotted map[string]Allotment) string {
	at := rank.DataCentre
	total := 0.0
	for _, d := range demands {
		if d.Most.allows(rank.Address, allotted[d.Router]) {
			total += d.weight(at)
		}
	}
	best := creditKey{}
	for _, d := range demands {
		if !d.Most.allows(rank.Address, allotted[d.Router]) {
			continue
		}
		key := creditKey{router: d.Router, dataCentre: at}
		a.credit[key] += d.weight(at) / total
		if best.router == "" || a.credit[key] > a.credit[best] {
			best = key
		}
	}
	if best.router != "" {
		a.credit[best]--
	}
	return best.router
}

// prune drops the credits of routers that are no longer present.
func (a *Allotter) prune(demands []Demand) {
	for key := range a.credit {
		if !slices.ContainsFunc(demands, func(d Demand) bool { return d.Router == key.router }) {
			delete(a.credit, key)
		}
	}
}
