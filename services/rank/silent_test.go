// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package rank

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"fawnwinch.org/fawnwinch/models/group"
	"fawnwinch.org/fawnwinch/models/upstream"
	"fawnwinch.org/fawnwinch/services"
	"fawnwinch.org/fawnwinch/services/balance"
	"fawnwinch.org/fawnwinch/services/peer"

	"github.com/rs/zerolog"
)

// frozenGroup is a group of ranks under load, of which the VM of one freezes for a while: a
// coordinator, and routers that choose the ranks of requests.
type frozenGroup struct {
	coordinator *coordinator
	routers     []peer.Info
	pools       map[string]*balance.Pool
	upstreams   []upstream.Instance
	runs        map[string]upstream.Run
	// inFlight holds the requests without an answer, in the order in which they were sent.
	inFlight []sentRequest
}

// frozenGroupBounds have room for the requests of some seconds without answers.
var frozenGroupBounds = balance.Bounds{Rank: 200, Mean: 180}

// sentRequest is a request that a router has sent to a rank.
type sentRequest struct {
	router string
	rank   group.Rank
	at     time.Time
}

func newFrozenGroup(ranks, routers int) *frozenGroup {
	first := services.RankStatus{Group: "g", Size: ranks, Open: true}
	f := &frozenGroup{
		coordinator: newCoordinator(New(begin, Options{Logger: zerolog.Nop()}), lead(1), first),
		pools:       map[string]*balance.Pool{}, runs: map[string]upstream.Run{},
	}
	for r := range ranks {
		u := upstream.Instance{ID: upstream.ID(fmt.Sprint("u", r)), Address: fmt.Sprint("e", r)}
		f.upstreams, f.runs[u.Address] = append(f.upstreams, u), u.Run()
		m := f.coordinator.members[r]
		m.info, m.status, m.known = peer.Info{Name: fmt.Sprint("side-", r), Engine: u.Address}, first, true
	}
	for r := range routers {
		n := peer.Info{Name: fmt.Sprint("front-", r)}
		p := balance.NewPool("")
		p.SetRandom(rand.New(rand.NewPCG(uint64(r), 1)).Float64)
		f.routers, f.pools[n.Name] = append(f.routers, n), p
	}
	return f
}

// poll has all ranks that answer report their load, and passes it on to the routers.
func (f *frozenGroup) poll(now time.Time, answers func(group.Rank) bool) {
	running := map[group.Rank]int{}
	for _, s := range f.inFlight {
		running[s.rank]++
	}
	c := f.coordinator
	for r, m := range c.members {
		if answers(group.Rank(r)) {
			m.lastContact, m.status.Running = now, running[group.Rank(r)]
		}
	}
	c.markSilent(now)
	g := c.load(now)
	number, allotments := c.registry.StartReport(now, f.routers, g.Ranks, &frozenGroupBounds)
	for _, n := range f.routers {
		g.Places = allotments[n.Name]
		unstarted := f.pools[n.Name].Report(now, g, f.runs)
		_, list := c.registry.Pack(n.Name, g)
		c.registry.RecordReply(now, n, number, list, balance.ReportReply{List: list.Number, Unstarted: list.PackUnstarted(unstarted), Wanted: 8})
	}
}

// answer ends the requests that were sent before a time.
func (f *frozenGroup) answer(now, before time.Time) {
	var left []sentRequest
	for _, s := range f.inFlight {
		if !s.at.Before(before) {
			left = append(left, s)
			continue
		}
		p, run := f.pools[s.router], f.upstreams[s.rank].Run()
		p.Started(now, run)
		p.Done(now, run, balance.ResultOK, now.Sub(s.at), true)
	}
	f.inFlight = left
}

// send has a router send a request, and returns the rank that it chose.
func (f *frozenGroup) send(now time.Time, router string) (group.Rank, bool) {
	p := f.pools[router]
	u, ok := p.Pick(now, f.upstreams, balance.PickOptions{Engine: figures, Bounds: frozenGroupBounds, Routers: len(f.routers)})
	if !ok {
		return 0, false
	}
	p.Sent(now, u.Run())
	for r := range f.upstreams {
		if f.upstreams[r].ID == u.ID {
			f.inFlight = append(f.inFlight, sentRequest{router: router, rank: group.Rank(r), at: now})
			return group.Rank(r), true
		}
	}
	return 0, false
}

// TestFrozenRank replays a load of 200 requests per second on a group of which one VM freezes: no
// rank ends a pass without it, so nothing is answered meanwhile. What is sent to the frozen rank
// stays on its way until it resumes. It gets requests only until its coordinator has missed it, and
// again once it answers; the other ranks take the load.
func TestFrozenRank(t *testing.T) {
	const (
		ranks, routers = 12, 3
		interval       = 5 * time.Millisecond
		answerTime     = 300 * time.Millisecond
		frozen         = group.Rank(5)
		freezesAt      = 2 * time.Second
		resumesAt      = 6 * time.Second
		end            = 9 * time.Second
		// knownWithin is when routers know it: the rank is missed, then reported.
		knownWithin = missingAfter + 2*pollInterval
	)
	f := newFrozenGroup(ranks, routers)
	sentBefore, sentFrozen, sentAfter := 0, 0, 0
	longestWait := time.Duration(0)
	waiting := make([][]time.Time, routers)
	nextPoll := begin
	for since := time.Duration(0); since < end; since += interval {
		now := begin.Add(since)
		passing := since < freezesAt || since >= resumesAt
		answers := func(r group.Rank) bool { return r != frozen || passing }
		if passing {
			f.answer(now, now.Add(-answerTime))
		}
		if !now.Before(nextPoll) {
			nextPoll = now.Add(pollInterval)
			f.poll(now, answers)
		}
		router := int(since/interval) % routers
		waiting[router] = append(waiting[router], now)
		for len(waiting[router]) > 0 {
			rank, ok := f.send(now, f.routers[router].Name)
			if !ok {
				break
			}
			longestWait = max(longestWait, now.Sub(waiting[router][0]))
			waiting[router] = waiting[router][1:]
			switch {
			case rank != frozen:
			case since < freezesAt:
				sentBefore++
			case since >= resumesAt:
				sentAfter++
			case since >= freezesAt+knownWithin:
				sentFrozen++
			}
		}
	}
	if sentFrozen > 0 {
		t.Errorf("%d requests were sent to a frozen rank that its coordinator had missed", sentFrozen)
	}
	if sentBefore == 0 || sentAfter == 0 {
		t.Errorf("the rank got %d requests before it froze and %d after it had resumed", sentBefore, sentAfter)
	}
	if longestWait > 2*pollInterval {
		t.Errorf("a request waited %s although the other ranks had room, want at most two reports", longestWait)
	}
}
