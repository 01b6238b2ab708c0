// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package knowledge holds a router's view of the operator's catalog and of the upstreams, and how
// fresh that view is.
package knowledge

import (
	"cmp"
	"slices"
	"time"

	"fawnwinch.org/fawnwinch/models/catalog"
	"fawnwinch.org/fawnwinch/models/service"
	"fawnwinch.org/fawnwinch/models/upstream"
	"fawnwinch.org/fawnwinch/services"
)

const (
	// maxLapse is how long an upstream whose entry was removed is still used if no other one is
	// available. Entries lapse while the store is unavailable and return within two seconds if the
	// upstream runs.
	maxLapse = 1500 * time.Millisecond
	// lapseFraction is the maximum fraction of the drain time for which such an upstream is used.
	lapseFraction = 0.75
	// maxPastCatalogs is the number of catalogs that are kept to compute deltas for other routers:
	// the one in force and those that routers some hops behind may hold while the operator makes
	// changes in quick succession.
	maxPastCatalogs = 4
	// maxRecentChanges is the number of changes of upstreams that are kept for the same purpose. A
	// restart of one of 129 ranks makes two changes.
	maxRecentChanges = 512
)

// State is a router's view of the catalog and the upstreams. It does no I/O and reads no clock.
type State struct {
	index *catalog.Index
	// past holds the latest catalogs; the last one is in force.
	past []*catalog.Catalog
	// recent holds the latest changes of upstreams without a gap, starting at recentFrom.
	recent     []services.Change[upstream.Instance]
	recentFrom services.Position
	// catalogs and upstreams are the read positions of the two feeds.
	catalogs, upstreams Watermark
	// proof records when the catalog was last confirmed as the newest.
	proof proof
	// unreadable reports whether there is a later catalog that cannot be read. Until the next one no
	// read confirms that the one in force is the newest.
	unreadable bool
	// evacuations holds the data centres whose upstreams get no requests.
	evacuations evacuations
	entries     map[upstream.ID]*entry
	byService   map[service.ID][]upstream.ID
	// owners maps each address to the upstream that uses it.
	owners map[string]upstream.ID
	// drainTime is how long an upstream serves after it leaves, and lapse how long one whose entry was
	// removed may still be used.
	drainTime, lapse time.Duration
}

// New returns the empty state of a process that has just started. drainTime is how long an upstream
// serves after it has reported that it leaves, or after its entry was removed.
func New(drainTime time.Duration) *State {
	s := &State{evacuations: evacuations{}, entries: map[upstream.ID]*entry{}, owners: map[string]upstream.ID{}, byService: map[service.ID][]upstream.ID{}}
	s.SetDrainTime(drainTime)
	return s
}

// SetDrainTime sets a new drain time.
func (s *State) SetDrainTime(drainTime time.Duration) {
	s.drainTime = drainTime
	s.lapse = min(maxLapse, time.Duration(lapseFraction*float64(drainTime)))
}

// ApplyCatalogs applies a segment of the feed of catalogs. Versions only increase: an older version
// than the known one is ignored. A newer version is applied wherever it was found, since it was
// accepted even if the store has lost it since.
func (s *State) ApplyCatalogs(now time.Time, p Segment[catalog.Update]) Fit {
	before := s.catalogs
	lost := p.Next.Era < before.Next.Era
	fit := s.catalogs.advance(p.Whole, p.From, p.Next, p.confirmedAt())
	if fit == FitNew || p.Whole || lost {
		s.adopt(p.Changes) // other segments are read again
		s.unreadable = s.unreadable || p.Unreadable && fit == FitNew
		s.evacuations.apply(p)
	}
	if s.catalogs.Known() && (!before.Known() || before.Next.Era != s.catalogs.Next.Era) {
		s.proof.beginEra(now, s.catalogs.Next.Era)
	}
	if (fit == FitNew || fit == FitSame) && !s.unreadable {
		s.proof.recordRead(p.confirmedAt())
	}
	if s.index != nil && s.index.Version >= p.Vouch.Version {
		s.proof.add(p.Vouch.AsOf)
	}
	return fit
}

// adopt puts a newer catalog in force.
func (s *State) adopt(changes []services.Change[catalog.Update]) {
	for _, c := range changes {
		if c.Value == nil || c.Value.Catalog == nil {
			s.unreadable = s.unreadable || c.Value != nil && c.Value.Unreadable
			continue
		}
		if newest := c.Value.Catalog; s.index == nil || newest.Version > s.index.Version {
			s.unreadable = false
			s.index = catalog.NewIndex(newest)
			s.past = append(s.past[max(0, len(s.past)+1-maxPastCatalogs):], newest)
		}
	}
	s.reindex()
}

// Unreadable reports whether there is a later catalog than the one in force that cannot be read.
func (s *State) Unreadable() bool { return s.unreadable }

// Version returns the version of the catalog in force, or 0 if there is none.
func (s *State) Version() catalog.Version {
	if s.index == nil {
		return 0
	}
	return s.index.Version
}

// CatalogSince returns the change from an earlier version to the catalog in force, or false if that
// version is not kept.
func (s *State) CatalogSince(v catalog.Version) (catalog.Change, bool) {
	for _, c := range s.past {
		if c.Version == v {
			return s.index.ChangeFrom(c)
		}
	}
	return catalog.Change{}, false
}

// Index returns the catalog in force, or nil.
func (s *State) Index() *catalog.Index { return s.index }

// Catalogs returns the read position of the feed of catalogs.
func (s *State) Catalogs() Watermark { return s.catalogs }

// ApplyUpstreams applies a segment of the feed of upstreams.
func (s *State) ApplyUpstreams(now time.Time, p Segment[upstream.Instance]) Fit {
	before := s.upstreams
	fit := s.upstreams.advance(p.Whole, p.From, p.Next, p.confirmedAt())
	if fit != FitNew {
		return fit
	}
	s.recordChanges(p)
	restored := before.Known() && before.Next.Era != p.Next.Era
	removedAt := now
	if !restored { // a store that was restored has lost entries, not removed them
		removedAt = s.earliestRemoval(now, before)
	}
	listed := map[upstream.ID]bool{}
	for _, c := range p.Changes {
		id := upstream.ID(c.Key)
		if c.Value == nil {
			s.markRemoved(removedAt, id)
			continue
		}
		listed[id] = true
		s.put(now, *c.Value, c.At, restored)
	}
	if p.Whole {
		for id := range s.entries {
			if !listed[id] {
				s.markRemoved(removedAt, id)
			}
		}
	}
	s.expire(now)
	s.reindex()
	return fit
}

// recordChanges stores a segment of the feed of upstreams, so that deltas can be sent to other
// routers.
func (s *State) recordChanges(p Segment[upstream.Instance]) {
	if p.Whole || len(p.Changes) > maxRecentChanges {
		s.recent, s.recentFrom = nil, p.Next
		return
	}
	s.recent = append(s.recent, p.Changes...)
	if over := len(s.recent) - maxRecentChanges; over > 0 {
		s.recent = s.recent[over:]
		s.recentFrom = s.recent[0].At
	}
}

// UpstreamsSince returns the changes of upstreams from a position up to the watermark, or false if
// they are not kept.
func (s *State) UpstreamsSince(from services.Position) ([]services.Change[upstream.Instance], bool) {
	if !s.upstreams.Known() || from.Before(s.recentFrom) || s.upstreams.Next.Before(from) {
		return nil, false
	}
	i, _ := slices.BinarySearchFunc(s.recent, from, func(c services.Change[upstream.Instance], at services.Position) int { return c.At.Compare(at) })
	return slices.Clone(s.recent[i:]), true
}

// Upstreams returns the read position of the feed of upstreams.
func (s *State) Upstreams() Watermark { return s.upstreams }

// put stores an entry. A run that was leaving once never becomes ready again, but the upstream may
// restart under its id. A late entry of an earlier run is ignored. restored reports whether the
// entry was read from the store after it was restored from a backup.
func (s *State) put(now time.Time, i upstream.Instance, at services.Position, restored bool) {
	e, ok := s.entries[i.ID]
	if !ok || i.Born > e.instance.Born {
		s.entries[i.ID] = newEntry(now, i, at)
		return
	}
	if i.Born == e.instance.Born {
		s.entries[i.ID] = e.relisted(now, i, at, restored)
	}
}

// earliestRemoval returns the time at which the entries that a segment read now no longer lists may
// have been removed: an upstream ends a drain time after that, not after it was read. A router that is
// further behind has been cut off or has found the store down, when entries lapse of upstreams that run.
func (s *State) earliestRemoval(now time.Time, before Watermark) time.Time {
	if now.Sub(before.AsOf) <= s.drainTime {
		return before.AsOf
	}
	return now
}

func (s *State) markRemoved(at time.Time, id upstream.ID) {
	if e, ok := s.entries[id]; ok && e.removedAt.IsZero() {
		e.removedAt = at
	}
}

// expire removes upstreams whose entries were removed long ago.
func (s *State) expire(now time.Time) {
	for id, e := range s.entries {
		if e.removedAt.IsZero() {
			continue
		}
		e.expired = now.Sub(e.removedAt) > s.lapse
		if now.Sub(e.removedAt) > removedRetention {
			delete(s.entries, id)
		}
	}
}

// reindex lists the upstreams of each service, sorted by id. An address belongs to the latest
// entry: the previous upstream at that address has ended, although its entry stays until it lapses.
// Entries of services that are not in the catalog are not upstreams of the platform and own no
// address.
func (s *State) reindex() {
	s.byService = map[service.ID][]upstream.ID{}
	s.owners = map[string]upstream.ID{}
	for id, e := range s.entries {
		if e.expired || s.index != nil && s.index.Service(service.ID(e.instance.Service)) == nil {
			continue
		}
		if o, ok := s.owners[e.instance.Address]; !ok || s.entries[o].at.Before(e.at) || (e.at == s.entries[o].at && id > o) {
			s.owners[e.instance.Address] = id
		}
	}
	for _, id := range s.owners {
		name := service.ID(s.entries[id].instance.Service)
		s.byService[name] = append(s.byService[name], id)
	}
	for _, ids := range s.byService {
		slices.SortFunc(ids, cmp.Compare[upstream.ID])
	}
}

// Usable returns the upstreams of a service that accept new work: those listed, or if there are
// none, those whose entries have lapsed recently. Upstreams in evacuated data centres are excluded.
func (s *State) Usable(now time.Time, id service.ID) []upstream.Instance {
	ids := s.byService[id]
	listed := make([]upstream.Instance, 0, len(ids)) // called for each request; growing the slice took a sixth of the time of a grant
	var lapsed []upstream.Instance
	for _, u := range ids {
		e := s.entries[u]
		switch {
		case e.instance.State != upstream.StateReady, now.Before(e.unusableUntil), s.evacuations.active(e.instance.DataCentre):
		case e.removedAt.IsZero():
			listed = append(listed, e.instance)
		case now.Sub(e.removedAt) <= s.lapse:
			lapsed = append(lapsed, e.instance)
		}
	}
	if len(listed) > 0 {
		return listed
	}
	return lapsed
}

// AcceptsWork reports whether work may still be sent to an upstream. It is called right before
// sending.
func (s *State) AcceptsWork(now time.Time, id upstream.ID) bool {
	e, ok := s.entries[id]
	return ok && s.owners[e.instance.Address] == id && e.instance.State == upstream.StateReady && !now.Before(e.unusableUntil) &&
		!s.evacuations.active(e.instance.DataCentre) && (e.removedAt.IsZero() || now.Sub(e.removedAt) <= s.lapse)
}

// Listed reports whether the store lists an upstream that accepts work and is not leaving.
func (s *State) Listed(id upstream.ID) bool {
	e, ok := s.entries[id]
	return ok && e.instance.State == upstream.StateReady && e.removedAt.IsZero()
}

// All returns the entries of all listed upstreams, with the times for which they are cold from now
// on.
func (s *State) All(now time.Time) []services.Change[upstream.Instance] {
	var out []services.Change[upstream.Instance]
	for id, e := range s.entries {
		if e.removedAt.IsZero() {
			i := e.instance
			i.Cold = max(e.coldUntil.Sub(now), 0)
			out = append(out, services.Change[upstream.Instance]{Key: string(id), Value: &i, At: e.at})
		}
	}
	return out
}

// ColdUpstream is a run of an upstream that is cold until a time.
type ColdUpstream struct {
	Service service.ID
	Run     upstream.Run
	Until   time.Time
}

// Cold returns the upstreams that are cold.
func (s *State) Cold(now time.Time) []ColdUpstream {
	var out []ColdUpstream
	for _, e := range s.entries {
		if now.Before(e.coldUntil) {
			out = append(out, ColdUpstream{Service: service.ID(e.instance.Service), Run: e.instance.Run(), Until: e.coldUntil})
		}
	}
	return out
}

// Complete reports whether the state suffices to accept callers.
func (s *State) Complete() bool { return s.index != nil && s.upstreams.Known() }
