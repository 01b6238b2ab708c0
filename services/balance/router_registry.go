// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package balance

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"fawnwinch.org/fawnwinch/services/peer"
)

// RouterRegistry records the routers' replies to a coordinator and the allotments that routers
// received. It is safe for use by several goroutines and reads no clock.
type RouterRegistry struct {
	mu       sync.Mutex
	allotter *Allotter
	routers  map[string]*routerEntry
	// reports is the number of reports so far.
	reports uint64
	// list is the rank list of the latest report.
	list RankList
	// backlog is the group's backlog, reportedAt the time of the latest report, and reportInterval
	// the mean time between reports.
	backlog        Backlog
	reportedAt     time.Time
	reportInterval time.Duration
	// probedAt holds, for each rank that rejects requests and runs none, when the latest probe
	// request was allowed.
	probedAt map[string]time.Time
	// rotation counts the positions in the router list that the rotation of idle routers has
	// passed.
	rotation int
}

// routerEntry is the record of one router.
type routerEntry struct {
	info       peer.Info
	answeredAt time.Time
	// activeAt is when the router last reported requests for the group.
	activeAt time.Time
	// report is the number of the latest report that the router has answered.
	report    uint64
	unstarted Unstarted
	// unread holds the prompt tokens of these requests; nil if the router does not report them.
	unread Unread
	// wanted, waiting and rate are from the router's latest reply.
	wanted, waiting int
	rate            float64
	// levels divides wanted and waiting by level; nil if the router does not.
	levels []LevelDemand
	// maxSends limits the requests that the router may send to some ranks.
	maxSends SendLimits
	// backingOff holds the ranks that have asked the router to back off.
	backingOff []string
	// list is the number of the rank list that the router has.
	list uint64
	// outstanding holds the allotments, by report number, whose use the router has not reported
	// yet.
	outstanding map[uint64]Allotment
}

const (
	// fullBroadcastMax is the number of routers up to which all of them get a report in each round.
	// With more routers, those without requests get reports in rotation: each once in
	// rotationRounds rounds, and once in initialRounds rounds of a new coordinator.
	fullBroadcastMax = 32
	rotationRounds   = 16
	initialRounds    = 4
	// activeTimeout is how long a router gets a report in each round after it last reported
	// requests.
	activeTimeout = 3 * time.Second
)

// Targets returns the routers that get a report in the current round.
func (b *RouterRegistry) Targets(now time.Time, routers []peer.Info) []peer.Info {
	if len(routers) <= fullBroadcastMax {
		return routers
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []peer.Info
	active := map[string]bool{}
	for name, e := range b.routers {
		if now.Sub(e.activeAt) < activeTimeout {
			active[name] = true
			out = append(out, e.info)
		}
	}
	slices.SortFunc(out, func(a, b peer.Info) int { return cmp.Compare(a.Name, b.Name) })
	rounds := rotationRounds
	if b.rotation < len(routers) {
		rounds = initialRounds
	}
	for range (len(routers) + rounds - 1) / rounds {
		if r := routers[b.rotation%len(routers)]; !active[r.Name] {
			out = append(out, r)
		}
		b.rotation++
	}
	return out
}

// HandleLoadRequest records that a router has requests for the group, and returns the load packed
// for that router.
func (b *RouterRegistry) HandleLoadRequest(now time.Time, w LoadRequest, g Group) Report {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.entry(w.Router)
	e.activeAt, e.list = now, w.List
	if w.List == b.list.Number {
		e.answeredAt, e.unstarted, e.wanted = now, b.list.UnpackUnstarted(w.Unstarted), w.Wanted
		e.levels = replaceWanted(e.levels, w.Wanted, w.Levels)
		e.unread = nil
	}
	g.Backlog = b.backlog
	return b.list.Pack(g, w.List)
}

// entry returns the record of a router and creates it if necessary. The caller holds the lock.
func (b *RouterRegistry) entry(r peer.Info) *routerEntry {
	e, ok := b.routers[r.Name]
	if !ok {
		e = &routerEntry{outstanding: map[uint64]Allotment{}}
		b.routers[r.Name] = e
	}
	e.info = r
	return e
}

const (
	// replyValid is how long a router's reply is used at least. It is used for replyValidIntervals
	// times the interval between two reports if that is longer.
	replyValid          = time.Second
	replyValidIntervals = 2.5
	// intervalDecay is the smoothing factor of the mean time between two reports.
	intervalDecay = 0.7
)

// valid returns how long a router's reply is used. The caller holds the lock.
func (b *RouterRegistry) valid() time.Duration {
	return max(replyValid, time.Duration(replyValidIntervals*float64(b.reportInterval)))
}

// NewRouterRegistry returns an empty registry. Rank lists are numbered from first on; coordinators
// must not use the same numbers.
func NewRouterRegistry(first uint64) *RouterRegistry {
	return &RouterRegistry{allotter: NewAllotter(), routers: map[string]*routerEntry{}, probedAt: map[string]time.Time{}, list: RankList{Number: first}}
}

// StartReport starts a report. It returns the report's number and the allotments of the routers
// with a valid reply. Other routers decide by themselves, and all do if bounds is nil.
func (b *RouterRegistry) StartReport(now time.Time, routers []peer.Info, ranks []RankLoad, bounds *Bounds) (uint64, map[string]Allotment) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.reports++
	b.list = b.list.Next(ranks)
	if !b.reportedAt.IsZero() {
		b.reportInterval = time.Duration(intervalDecay*float64(b.reportInterval) + (1-intervalDecay)*float64(now.Sub(b.reportedAt)))
	}
	b.reportedAt, b.backlog = now, Backlog{}
	if bounds == nil {
		return b.reports, nil
	}
	outstanding := Allotment{}
	var demands []Demand
	for _, r := range routers {
		e, ok := b.routers[r.Name]
		if !ok || now.Sub(e.answeredAt) > b.valid() {
			continue
		}
		b.backlog.Waiting += e.waiting
		b.backlog.Rate += e.rate
		demands = append(demands, Demand{Router: r.Name, Requests: e.wanted, DataCentre: r.DataCentre, Levels: e.levels, Most: e.maxSends, Resting: e.backingOff})
		for _, allotment := range e.outstanding {
			for address, n := range allotment {
				outstanding[address] += n
			}
		}
	}
	b.backlog.Levels = b.waitingByLevel(demands)
	allotments := b.allotter.Allot(ranks, *bounds, outstanding, demands, b.probes(now, ranks, demands))
	for name, p := range allotments {
		b.routers[name].outstanding[b.reports] = p
		for _, n := range p {
			b.backlog.Free += n
		}
	}
	return b.reports, allotments
}

// Levels returns the number of levels that the routers' valid replies show; 0 if they show none. A
// coordinator reads the catalog only once, so it learns changes of levels from the routers.
func (b *RouterRegistry) Levels(now time.Time) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	levels := 0
	for _, e := range b.routers {
		if now.Sub(e.answeredAt) <= b.valid() {
			levels = max(levels, len(e.levels))
		}
	}
	return levels
}

// waitingByLevel returns the waiting requests of each level at all routers with a demand; nil if
// the service has no levels. The caller holds the lock.
func (b *RouterRegistry) waitingByLevel(demands []Demand) []int {
	levels := countLevels(demands)
	if levels < 2 {
		return nil
	}
	out := make([]int, levels)
	for _, d := range demands {
		e := b.routers[d.Router]
		if len(e.levels) == 0 {
			out[0] += e.waiting
		}
		for l, demand := range e.levels {
			out[l] += demand.Waiting
		}
	}
	return out
}

// probeInterval is the time between two probe requests to a rank that rejects requests and runs
// none.
const probeInterval = time.Second

// probes limits the allotments at ranks that look idle because they reject requests. A router that
// has not been rejected there would send to such a rank first, and with many routers most have not.
// One request per probeInterval shows when the rank accepts requests again. The caller holds the
// lock.
func (b *RouterRegistry) probes(now time.Time, ranks []RankLoad, demands []Demand) SendLimits {
	out := SendLimits{}
	for _, r := range ranks {
		rejects := slices.ContainsFunc(demands, func(d Demand) bool { return slices.Contains(d.Resting, r.Address) })
		switch {
		case !rejects || r.Running > 0:
			delete(b.probedAt, r.Address)
		case now.Sub(b.probedAt[r.Address]) >= probeInterval:
			b.probedAt[r.Address] = now
			out[r.Address] = 1
		default:
			out[r.Address] = 0
		}
	}
	return out
}

// Pack returns a group's load, with the backlog of the latest report, packed for a router, and the
// rank list that it refers to. The list itself is included only if the router does not have it.
func (b *RouterRegistry) Pack(name string, g Group) (Report, RankList) {
	b.mu.Lock()
	defer b.mu.Unlock()
	has := uint64(0)
	if e, ok := b.routers[name]; ok {
		has = e.list
	}
	g.Backlog = b.backlog
	return b.list.Pack(g, has), b.list
}

// RecordReply records a router's reply to a report with the given rank list. The reply covers all
// sends before the router received the report, so earlier allotments are no longer outstanding.
func (b *RouterRegistry) RecordReply(now time.Time, router peer.Info, report uint64, list RankList, reply ReportReply) {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.entry(router)
	if !reply.Idle {
		e.activeAt = now
	}
	if report < e.report {
		return // replies may arrive out of order
	}
	if e.list = reply.List; reply.List != list.Number {
		return // the router could not read the report; the next one includes the list
	}
	e.answeredAt, e.report, e.unstarted, e.wanted = now, report, list.UnpackUnstarted(reply.Unstarted), reply.Wanted
	e.waiting, e.rate, e.levels = reply.Waiting, reply.Rate, limitLevels(reply.Levels)
	e.unread = list.UnpackUnread(reply.Unread)
	e.maxSends, e.backingOff = list.UnpackLimits(reply.Most), list.UnpackRanks(reply.Resting)
	for n := range e.outstanding {
		if n < report {
			delete(e.outstanding, n)
		}
	}
}

// Unstarted returns the number of requests at a rank whose answers have not begun, from valid
// replies of routers.
func (b *RouterRegistry) Unstarted(now time.Time, engine string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	sum := 0
	for _, e := range b.routers {
		if now.Sub(e.answeredAt) < b.valid() {
			sum += e.unstarted[engine]
		}
	}
	return sum
}

// Waiting returns the number of requests that wait at routers, from their valid replies. Allotments
// that a router has received since its reply are deducted.
func (b *RouterRegistry) Waiting(now time.Time) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	sum := 0
	for _, e := range b.routers {
		if now.Sub(e.answeredAt) > b.valid() {
			continue
		}
		waiting := e.waiting
		for number, allotment := range e.outstanding {
			if number <= e.report {
				continue
			}
			for _, n := range allotment {
				waiting -= n
			}
		}
		sum += max(waiting, 0)
	}
	return sum
}
