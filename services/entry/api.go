// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package entry

import (
	"time"

	"fawnwinch.org/fawnwinch/models/catalog"
	"fawnwinch.org/fawnwinch/models/service"
	"fawnwinch.org/fawnwinch/models/upstream"
	"fawnwinch.org/fawnwinch/modules/clock"
	"fawnwinch.org/fawnwinch/services"
	"fawnwinch.org/fawnwinch/services/balance"
	"fawnwinch.org/fawnwinch/services/knowledge"
	"fawnwinch.org/fawnwinch/services/peer"
)

// Extent tells how far a router knows a feed.
type Extent struct {
	Known bool
	// Next is the offset from which the feed goes on, in an era of the store.
	Next services.Offset
	Era  services.Era
	// Age is how long ago that was known to be the end of the feed.
	Age time.Duration
	// Version is that of the catalog in force; 0 for other feeds. Of two routers at the same place one may know a later one, which the
	// store has lost.
	Version catalog.Version
	// Proven says that the catalog in force was known to be the newest that was accepted, and ProvenAge how long ago.
	Proven    bool
	ProvenAge time.Duration
}

func extent(now time.Time, m knowledge.Mark) Extent {
	if !m.Known() {
		return Extent{}
	}
	return Extent{Known: true, Next: m.Next.Offset, Era: m.Next.Era, Age: now.Sub(m.AsOf)}
}

// catalogExtent returns how far the feed of catalogs is known.
func catalogExtent(now time.Time, s *knowledge.State) Extent {
	e := extent(now, s.Catalogs())
	e.Version = s.Version()
	e.Proven, e.ProvenAge = !s.CatalogProof().IsZero(), s.CatalogAge(now)
	return e
}

// vouch returns what a router has told of the newest catalog, which was asked at a time.
func (e Extent) vouch(asked time.Time) knowledge.Vouch {
	if !e.Proven {
		return knowledge.Vouch{}
	}
	return knowledge.Vouch{Version: e.Version, AsOf: asked.Add(-e.ProvenAge)}
}

// place returns the place from which the feed goes on.
func (e Extent) place() services.Place { return services.Place{Era: e.Era, Offset: e.Next} }

// asOf returns when a feed was known to end there. The question was sent at a time: what is known gets no younger on
// its way.
func (e Extent) asOf(asked time.Time) time.Time { return asked.Add(-e.Age) }

// Hello is what routers tell each other.
type Hello struct {
	Greeting peer.GossipMessage
	// Catalogs and Upstreams tell how far the sender knows the two feeds of the store.
	Catalogs, Upstreams Extent
	// Marks tells how far the sender's knowledge has come that no feed holds.
	Marks Marks
}

// Since is how far the router that asks knows a feed.
type Since struct {
	Known bool
	Next  services.Offset
	Era   services.Era
	// Version is that of its catalog.
	Version catalog.Version
}

// since returns what a router tells that asks for what lies beyond a mark.
func since(m knowledge.Mark) Since {
	return Since{Known: m.Known(), Next: m.Next.Offset, Era: m.Next.Era}
}

// CatalogNews is what a router knows of the feed of catalogs beyond what another one does.
type CatalogNews struct {
	Extent Extent
	// Change leads from the version of the router that asks to the newest. Whole is the newest if no change can be told.
	// Both are nil if the router that asks has it.
	Change *catalog.Change
	Whole  *catalog.Catalog
}

// UpstreamNews is what a router knows of the feed of upstreams beyond what another one does.
type UpstreamNews struct {
	Extent Extent
	// Whole says that the changes are all upstreams there are.
	Whole   bool
	Changes []UpstreamChange
}

// UpstreamChange is one change of an upstream's entry.
type UpstreamChange struct {
	Key string
	// Value is nil if the entry is gone.
	Value *upstream.Instance
	// At is the offset of the change, in an era of the store.
	At  services.Offset
	Era services.Era
}

// newUpstreamChanges returns changes as they are told to other routers.
func newUpstreamChanges(changes []services.Change[upstream.Instance]) []UpstreamChange {
	out := make([]UpstreamChange, len(changes))
	for i, c := range changes {
		out[i] = UpstreamChange{Key: c.Key, Value: c.Value, At: c.At.Offset, Era: c.At.Era}
	}
	return out
}

// changes returns what another router has told.
func (n *UpstreamNews) changes() []services.Change[upstream.Instance] {
	out := make([]services.Change[upstream.Instance], len(n.Changes))
	for i, c := range n.Changes {
		out[i] = services.Change[upstream.Instance]{Key: c.Key, Value: c.Value, At: services.Place{Era: c.Era, Offset: c.At}}
	}
	return out
}

// API is what a router offers to other processes over rpc.
type API struct{ r *Router }

// NewAPI returns the rpc interface of a router.
func NewAPI(r *Router) *API { return &API{r: r} }

// Greet takes in a greeting and answers it.
func (a *API) Greet(h Hello, reply *Hello) error {
	now := clock.Now()
	from := a.r.heard(now, h)
	*reply = a.r.hello(now, h.Greeting.From)
	// How old the sender's knowledge is cannot be told from a greeting, which may have been on its way for long; only
	// that it goes further.
	a.r.catalogs.told(from, h.Catalogs)
	a.r.upstreams.told(from, h.Upstreams)
	a.r.marksTold(from, h.Marks)
	return nil
}

// Catalogs tells what is known here of the feed of catalogs.
func (a *API) Catalogs(since Since, reply *CatalogNews) error {
	now := clock.Now()
	a.r.opts.Relay.Know(func(s *knowledge.State) {
		reply.Extent = catalogExtent(now, s)
		if s.Index() == nil || since.Known && since.Version >= s.Version() {
			return
		}
		if since.Known {
			if change, ok := s.CatalogSince(since.Version); ok {
				reply.Change = &change
				return
			}
		}
		reply.Whole = s.Index().Catalog
	})
	return nil
}

// Upstreams tells what is known here of the feed of upstreams.
func (a *API) Upstreams(since Since, reply *UpstreamNews) error {
	now := clock.Now()
	a.r.opts.Relay.Know(func(s *knowledge.State) {
		reply.Extent = extent(now, s.Upstreams())
		if since.Known {
			if changes, ok := s.UpstreamsSince(services.Place{Era: since.Era, Offset: since.Next}); ok {
				reply.Changes = newUpstreamChanges(changes)
				return
			}
		}
		reply.Whole, reply.Changes = true, newUpstreamChanges(s.All())
	})
	return nil
}

// Report takes in the load of a model group.
func (a *API) Report(report balance.Report, reply *balance.ReportReply) error {
	*reply = a.r.takeReport(clock.Now(), report)
	return nil
}

// Coordinators tells who coordinates the groups of a service.
func (a *API) Coordinators(id service.ID, reply *[]Coordinator) error {
	*reply = a.r.coordinatorsOf(id)
	return nil
}
