// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package rank

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"fawnwinch.org/fawnwinch/services/balance"
	"fawnwinch.org/fawnwinch/services/peer"
)

// routerBook holds what the routers have told a coordinator, and what it has let them send. It is safe for
// use by several goroutines and reads no clock.
type routerBook struct {
	mu       sync.Mutex
	allotter *balance.Allotter
	routers  map[string]*routerEntry
	// reports counts the reports.
	reports uint64
	// list is the list of ranks that the latest report went by.
	list balance.RankList
	// turn counts the routers that have had their turn to be told although they are idle.
	turn int
}

// routerEntry is what is known of one router.
type routerEntry struct {
	info       peer.Info
	answeredAt time.Time
	// activeAt is when the router last said that it has requests for the group.
	activeAt time.Time
	// report is the number of the latest report that was answered.
	report    uint64
	unstarted balance.Unstarted
	wanted    int
	// list numbers the list of ranks that the router has.
	list uint64
	// given holds the places of each report whose use the router has not told of yet.
	given map[uint64]balance.Places
}

const (
	// fewRouters is the number of routers up to which all are told the load of the group in each look. Of more, those
	// without requests are told by turns, each once in turnLooks looks, and in firstLooks looks of a new coordinator.
	fewRouters = 32
	turnLooks  = 16
	firstLooks = 4
	// activeFor is how long a router is told in each look after it has said that it has requests.
	activeFor = 3 * time.Second
)

// targets returns the routers that are told the load of the group in a look.
func (b *routerBook) targets(now time.Time, routers []peer.Info) []peer.Info {
	if len(routers) <= fewRouters {
		return routers
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []peer.Info
	active := map[string]bool{}
	for name, e := range b.routers {
		if now.Sub(e.activeAt) < activeFor {
			active[name] = true
			out = append(out, e.info)
		}
	}
	slices.SortFunc(out, func(a, b peer.Info) int { return cmp.Compare(a.Name, b.Name) })
	looks := turnLooks
	if b.turn < len(routers) {
		looks = firstLooks
	}
	for range (len(routers) + looks - 1) / looks {
		if r := routers[b.turn%len(routers)]; !active[r.Name] {
			out = append(out, r)
		}
		b.turn++
	}
	return out
}

// want notes that a router has requests for the group, and returns the load as it can read it.
func (b *routerBook) want(now time.Time, w balance.Want, g balance.Group) balance.Report {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.entry(w.Router)
	e.activeAt, e.list = now, w.List
	if w.List == b.list.Number {
		e.answeredAt, e.unstarted, e.wanted = now, b.list.UnpackUnstarted(w.Unstarted), w.Wanted
	}
	return b.list.Pack(g, w.List)
}

// entry returns what is known of a router. The caller holds the lock.
func (b *routerBook) entry(r peer.Info) *routerEntry {
	e, ok := b.routers[r.Name]
	if !ok {
		e = &routerEntry{given: map[uint64]balance.Places{}}
		b.routers[r.Name] = e
	}
	e.info = r
	return e
}

// answerValid is how long an answer of a router counts. Reports come several times a second.
const answerValid = time.Second

// newRouterBook returns an empty book. Lists of ranks are numbered from first on; coordinators must not use the
// same numbers.
func newRouterBook(first uint64) *routerBook {
	return &routerBook{allotter: balance.NewAllotter(), routers: map[string]*routerEntry{}, list: balance.RankList{Number: first}}
}

// report begins a report: it returns its number, and the places of each router that has answered lately.
// Other routers have to judge by themselves; so have all without bounds.
func (b *routerBook) report(now time.Time, routers []peer.Info, ranks []balance.RankLoad, bounds *balance.Bounds) (uint64, map[string]balance.Places) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.reports++
	b.list = b.list.Next(ranks)
	if bounds == nil {
		return b.reports, nil
	}
	given := balance.Places{}
	var wishes []balance.Wish
	for _, r := range routers {
		e, ok := b.routers[r.Name]
		if !ok || now.Sub(e.answeredAt) > answerValid {
			continue
		}
		wishes = append(wishes, balance.Wish{Router: r.Name, Requests: e.wanted, DataCentre: r.DataCentre})
		for _, places := range e.given {
			for address, n := range places {
				given[address] += n
			}
		}
	}
	places := b.allotter.Allot(ranks, *bounds, given, wishes)
	for name, p := range places {
		b.routers[name].given[b.reports] = p
	}
	return b.reports, places
}

// pack returns the latest report as a router can read it, and the list that it goes by.
func (b *routerBook) pack(name string, g balance.Group) (balance.Report, balance.RankList) {
	b.mu.Lock()
	defer b.mu.Unlock()
	has := uint64(0)
	if e, ok := b.routers[name]; ok {
		has = e.list
	}
	return b.list.Pack(g, has), b.list
}

// answered takes in a router's answer to a report that went by a list. It tells what the router had sent before
// it got the report, so the places of earlier ones are settled.
func (b *routerBook) answered(now time.Time, router peer.Info, report uint64, list balance.RankList, reply balance.ReportReply) {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.entry(router)
	if !reply.Idle {
		e.activeAt = now
	}
	if report < e.report {
		return // answers may pass each other
	}
	if e.list = reply.List; reply.List != list.Number {
		return // the router could not read the report; the next one brings it the list
	}
	e.answeredAt, e.report, e.unstarted, e.wanted = now, report, list.UnpackUnstarted(reply.Unstarted), reply.Wanted
	for n := range e.given {
		if n < report {
			delete(e.given, n)
		}
	}
}

// unstarted returns the requests at a rank that have not begun, as the routers told lately.
func (b *routerBook) unstarted(now time.Time, engine string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	sum := 0
	for _, e := range b.routers {
		if now.Sub(e.answeredAt) < answerValid {
			sum += e.unstarted[engine]
		}
	}
	return sum
}
