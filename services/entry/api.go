// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package entry

import (
	"time"

	"fawnwinch.org/fawnwinch/models/catalog"
	"fawnwinch.org/fawnwinch/models/service"
	"fawnwinch.org/fawnwinch/models/upstream"
	"fawnwinch.org/fawnwinch/models/vm"
	"fawnwinch.org/fawnwinch/modules/clock"
	"fawnwinch.org/fawnwinch/services"
	"fawnwinch.org/fawnwinch/services/balance"
	"fawnwinch.org/fawnwinch/services/knowledge"
	"fawnwinch.org/fawnwinch/services/peer"
)

// FeedProgress is a router's read position in a feed.
type FeedProgress struct {
	Known bool
	// Next is the offset at which the feed continues, in an era of the store.
	Next services.Offset
	Era  services.Era
	// Age is how long ago Next was known to be the end of the feed.
	Age time.Duration
	// Version is that of the catalog in force; 0 for other feeds. Of two routers at the same
	// position, one may hold a later version that the store has lost.
	Version catalog.Version
	// Proven reports whether the catalog in force was ever confirmed as the newest accepted one,
	// and ProvenAge how long ago.
	Proven    bool
	ProvenAge time.Duration
	// Unreadable reports whether there is a later catalog that the router cannot read.
	Unreadable bool
}

func progressOf(now time.Time, m knowledge.Watermark) FeedProgress {
	if !m.Known() {
		return FeedProgress{}
	}
	return FeedProgress{Known: true, Next: m.Next.Offset, Era: m.Next.Era, Age: now.Sub(m.AsOf)}
}

// catalogProgress returns the read position of the feed of catalogs.
func catalogProgress(now time.Time, s *knowledge.State) FeedProgress {
	e := progressOf(now, s.Catalogs())
	e.Version = s.Version()
	e.Proven, e.ProvenAge = !s.CatalogProof().IsZero(), s.CatalogAge(now)
	e.Unreadable = s.Unreadable()
	return e
}

// confirmation returns the confirmation of the newest catalog in a router's reply to a request sent
// at asked.
func (e FeedProgress) confirmation(asked time.Time) knowledge.Confirmation {
	if !e.Proven {
		return knowledge.Confirmation{}
	}
	return knowledge.Confirmation{Version: e.Version, AsOf: asked.Add(-e.ProvenAge)}
}

// position returns the position at which the feed continues.
func (e FeedProgress) position() services.Position {
	return services.Position{Era: e.Era, Offset: e.Next}
}

// asOf returns when the feed was known to end at that position. Age counts from the sending of the
// request at asked, so that state does not appear fresher by its time in transit.
func (e FeedProgress) asOf(asked time.Time) time.Time { return asked.Add(-e.Age) }

// GossipExchange is a message of a gossip exchange between routers.
type GossipExchange struct {
	Greeting peer.GossipMessage
	// Catalogs and Upstreams are the sender's read positions of the two feeds of the store.
	Catalogs, Upstreams FeedProgress
	// Marks are the sender's watermarks of the state that is in no feed.
	Marks Watermarks
}

// DeltaRequest is the read position of the router that requests a delta.
type DeltaRequest struct {
	Known bool
	Next  services.Offset
	Era   services.Era
	// Version is that of the requester's catalog.
	Version catalog.Version
}

// deltaRequest returns the request for the delta after a watermark.
func deltaRequest(m knowledge.Watermark) DeltaRequest {
	return DeltaRequest{Known: m.Known(), Next: m.Next.Offset, Era: m.Next.Era}
}

// CatalogDelta is the delta of the feed of catalogs that the requester is missing.
type CatalogDelta struct {
	Extent FeedProgress
	// Change leads from the requester's version to the newest. Whole is the newest catalog if no
	// change is available. Both are nil if the requester already has the newest.
	Change *catalog.Change
	Whole  *catalog.Catalog
	// Evacuations holds the latest record of each evacuation. EvacuationsKnown is false in the
	// messages of versions that do not know evacuations.
	Evacuations      []EvacuationRecord
	EvacuationsKnown bool
	// KeyedKnown is false in the messages of versions that do not tell whether a catalog without
	// accounts needs keys.
	KeyedKnown bool
}

// EvacuationRecord is the latest state of an evacuation and the offset of its record, in an era of
// the store.
type EvacuationRecord struct {
	DataCentre vm.DataCentre
	Ended      bool
	At         services.Offset
	Era        services.Era
}

// newEvacuationRecords converts the records of evacuations for sending to other routers.
func newEvacuationRecords(records []services.Change[catalog.Update]) []EvacuationRecord {
	out := make([]EvacuationRecord, len(records))
	for i, c := range records {
		out[i] = EvacuationRecord{DataCentre: c.Value.Evacuation.DataCentre, Ended: c.Value.Evacuation.Ended, At: c.At.Offset, Era: c.At.Era}
	}
	return out
}

// evacuations converts the records of evacuations received from another router. If it does not know
// evacuations, those known here are returned, so that they stay as they are.
func (d *CatalogDelta) evacuations(known []services.Change[catalog.Update]) []services.Change[catalog.Update] {
	if !d.EvacuationsKnown {
		return known
	}
	out := make([]services.Change[catalog.Update], len(d.Evacuations))
	for i, e := range d.Evacuations {
		out[i] = services.Change[catalog.Update]{
			At:    services.Position{Era: e.Era, Offset: e.At},
			Value: &catalog.Update{Evacuation: &catalog.Evacuation{DataCentre: e.DataCentre, Ended: e.Ended}},
		}
	}
	return out
}

// UpstreamDelta is the delta of the feed of upstreams that the requester is missing.
type UpstreamDelta struct {
	Extent FeedProgress
	// Whole reports whether Changes is a full snapshot of the upstreams.
	Whole   bool
	Changes []UpstreamChange
}

// UpstreamChange is one change of an upstream's entry.
type UpstreamChange struct {
	Key string
	// Value is nil if the entry was removed.
	Value *upstream.Instance
	// At is the offset of the change, in an era of the store.
	At  services.Offset
	Era services.Era
}

// newUpstreamChanges converts changes for sending to other routers.
func newUpstreamChanges(changes []services.Change[upstream.Instance]) []UpstreamChange {
	out := make([]UpstreamChange, len(changes))
	for i, c := range changes {
		out[i] = UpstreamChange{Key: c.Key, Value: c.Value, At: c.At.Offset, Era: c.At.Era}
	}
	return out
}

// changes converts the changes received from another router.
func (n *UpstreamDelta) changes() []services.Change[upstream.Instance] {
	out := make([]services.Change[upstream.Instance], len(n.Changes))
	for i, c := range n.Changes {
		out[i] = services.Change[upstream.Instance]{Key: c.Key, Value: c.Value, At: services.Position{Era: c.Era, Offset: c.At}}
	}
	return out
}

// API is the RPC interface of a router.
type API struct{ r *Router }

// NewAPI returns the RPC interface of a router.
func NewAPI(r *Router) *API { return &API{r: r} }

// Greet merges a gossip message and replies to it.
func (a *API) Greet(h GossipExchange, reply *GossipExchange) error {
	now := clock.Now()
	from := a.r.receive(now, h)
	*reply = a.r.gossipFor(now, h.Greeting.From)
	// The age of the sender's state cannot be derived from a request, which may have been in
	// transit for long; only that the sender is ahead.
	a.r.catalogs.pullIfAhead(from, h.Catalogs)
	a.r.upstreams.pullIfAhead(from, h.Upstreams)
	a.r.pullIfAhead(from, h.Marks)
	a.r.refreshFrom(now, peer.Target{Name: h.Greeting.From, Address: from}, h)
	return nil
}

// Catalogs returns the delta of the feed of catalogs.
func (a *API) Catalogs(since DeltaRequest, reply *CatalogDelta) error {
	now := clock.Now()
	a.r.opts.Relay.WithState(func(s *knowledge.State) {
		reply.Extent = catalogProgress(now, s)
		reply.Evacuations, reply.EvacuationsKnown = newEvacuationRecords(s.Evacuations()), true
		reply.KeyedKnown = true
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

// Upstreams returns the delta of the feed of upstreams.
func (a *API) Upstreams(since DeltaRequest, reply *UpstreamDelta) error {
	now := clock.Now()
	a.r.opts.Relay.WithState(func(s *knowledge.State) {
		reply.Extent = progressOf(now, s.Upstreams())
		if since.Known {
			if changes, ok := s.UpstreamsSince(services.Position{Era: since.Era, Offset: since.Next}); ok {
				reply.Changes = newUpstreamChanges(changes)
				return
			}
		}
		reply.Whole, reply.Changes = true, newUpstreamChanges(s.All(now))
	})
	return nil
}

// Report records the load of a model group.
func (a *API) Report(report balance.Report, reply *balance.ReportReply) error {
	*reply = a.r.takeReport(clock.Now(), report)
	return nil
}

// Coordinators returns the coordinators of the groups of a service.
func (a *API) Coordinators(id service.ID, reply *[]Coordinator) error {
	*reply = a.r.coordinatorsOf(id)
	return nil
}
