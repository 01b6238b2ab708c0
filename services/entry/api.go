// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package entry

import (
	"time"

	"fawnwinch.org/fawnwinch/models/catalog"
	"fawnwinch.org/fawnwinch/models/upstream"
	"fawnwinch.org/fawnwinch/services"
	"fawnwinch.org/fawnwinch/services/balance"
	"fawnwinch.org/fawnwinch/services/knowledge"
	"fawnwinch.org/fawnwinch/services/peer"
)

// Extent tells how far a router knows a feed.
type Extent struct {
	Known bool
	// Next is the offset from which the feed goes on.
	Next services.Offset
	// Age is how long ago that was known to be the end of the feed.
	Age time.Duration
}

func extent(now time.Time, m knowledge.Mark) Extent {
	if !m.Known() {
		return Extent{}
	}
	return Extent{Known: true, Next: m.Next, Age: now.Sub(m.AsOf)}
}

// Hello is what routers tell each other.
type Hello struct {
	From peer.Info
	// Catalogs and Upstreams tell how far the sender knows the two feeds of the store.
	Catalogs, Upstreams Extent
	// Digest tells of the routers that the sender has heard lately, itself among them. Routers lists the others,
	// in an answer to a router with another digest: as long as all know the same, nobody sends lists.
	Digest  uint64
	Routers []peer.Info
}

// News is a stretch of a feed that a router has just read. It says nothing of its age: it may have been
// on its way for long.
type News[T any] struct {
	From, Next services.Offset
	Changes    []services.Change[T]
}

func (n News[T]) part() knowledge.Part[T] {
	return knowledge.Part[T]{From: n.From, Next: n.Next, Changes: n.Changes}
}

// Whole is everything that a router knows of a feed.
type Whole[T any] struct {
	Extent  Extent
	Changes []services.Change[T]
}

// part returns the knowledge as it was when the router was asked, so that it gets no younger on its way.
func (w Whole[T]) part(asked time.Time) knowledge.Part[T] {
	return knowledge.Part[T]{Whole: true, Next: w.Extent.Next, AsOf: asked.Add(-w.Extent.Age), Changes: w.Changes}
}

// Nothing is the argument or the answer of calls that need none.
type Nothing struct{ Unused bool }

// API is what a router offers to other processes over rpc.
type API struct{ r *Router }

// NewAPI returns the rpc interface of a router.
func NewAPI(r *Router) *API { return &API{r: r} }

// Greet takes in a greeting and answers it.
func (a *API) Greet(h Hello, reply *Hello) error {
	a.r.heard(h)
	var routers []peer.Info
	if *reply, routers = a.r.hello(time.Now()); reply.Digest != h.Digest {
		reply.Routers = routers
	}
	return nil
}

// CatalogNews takes in what another router has read of the feed of catalogs.
func (a *API) CatalogNews(n News[catalog.Catalog], _ *Nothing) error {
	a.r.catalogs.hear(n.part())
	return nil
}

// UpstreamNews takes in what another router has read of the feed of upstreams.
func (a *API) UpstreamNews(n News[upstream.Instance], _ *Nothing) error {
	a.r.upstreams.hear(n.part())
	return nil
}

// Catalogs returns what is known here of the feed of catalogs.
func (a *API) Catalogs(_ Nothing, reply *Whole[catalog.Catalog]) error {
	now := time.Now()
	a.r.opts.Relay.Know(func(s *knowledge.State) {
		reply.Extent = extent(now, s.Catalogs())
		if s.Index() != nil {
			reply.Changes = []services.Change[catalog.Catalog]{{Value: s.Index().Catalog}}
		}
	})
	return nil
}

// Upstreams returns what is known here of the feed of upstreams.
func (a *API) Upstreams(_ Nothing, reply *Whole[upstream.Instance]) error {
	now := time.Now()
	a.r.opts.Relay.Know(func(s *knowledge.State) {
		reply.Extent = extent(now, s.Upstreams())
		reply.Changes = s.All()
	})
	return nil
}

// Report takes in the load of a model group.
func (a *API) Report(report balance.Report, reply *balance.ReportReply) error {
	list := a.r.rankList(&report)
	g, ok := list.Unpack(report)
	if !ok {
		return nil
	}
	unstarted, wanted := a.r.opts.Relay.Report(time.Now(), g)
	*reply = balance.ReportReply{List: list.Number, Unstarted: list.PackUnstarted(unstarted), Wanted: wanted}
	return nil
}
