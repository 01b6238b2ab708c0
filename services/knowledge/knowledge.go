// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package knowledge holds what a router knows of the operator's catalog and of the upstreams, and how
// fresh that is.
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
	// lapseMost is how long an upstream whose entry has gone is still used if no other can be. Entries
	// lapse while the store is away and are back within two seconds if the upstream lives.
	lapseMost = 1500 * time.Millisecond
	// lapsePart is the part of the time in which a leaving upstream still serves that is used at most.
	lapsePart = 0.75
)

type entry struct {
	instance upstream.Instance
	// lapsed is the time at which the entry went, or zero.
	lapsed time.Time
}

// State is a router's knowledge. It does no I/O and reads no clock.
type State struct {
	index *catalog.Index
	// catalogAt is a time at which the catalog was the newest.
	catalogAt time.Time
	ups       map[upstream.ID]*entry
	// upstreamsAt is a time at which the list of upstreams was the newest.
	upstreamsAt time.Time
	byService   map[service.ID][]upstream.ID
	// lapse is how long an upstream whose entry has gone may still be used.
	lapse time.Duration
}

// New returns the knowledge of a process that has just started: none. DrainTime is how long an upstream
// serves after it has said that it leaves, or after its entry has gone.
func New(drainTime time.Duration) *State {
	lapse := min(lapseMost, time.Duration(lapsePart*float64(drainTime)))
	return &State{lapse: lapse, ups: map[upstream.ID]*entry{}, byService: map[service.ID][]upstream.ID{}}
}

// Catalog takes in a catalog that was the newest at a time, and reports whether it is news. Versions
// only go up: an older one than is known changes nothing, also not the freshness.
func (s *State) Catalog(asOf time.Time, c *catalog.Catalog) bool {
	if s.index != nil && c.Version < s.index.Version {
		return false
	}
	s.Fresh(asOf, c.Version)
	if s.index != nil && c.Version == s.index.Version {
		return false
	}
	s.index = catalog.NewIndex(c)
	s.catalogAt = asOf
	return true
}

// Fresh notes that a version was the newest at a time.
func (s *State) Fresh(asOf time.Time, v catalog.Version) {
	if s.index != nil && v == s.index.Version && asOf.After(s.catalogAt) {
		s.catalogAt = asOf
	}
}

// Index returns the catalog in force, or nil.
func (s *State) Index() *catalog.Index { return s.index }

// CatalogAge returns how long ago the catalog was last known to be the newest.
func (s *State) CatalogAge(now time.Time) time.Duration { return now.Sub(s.catalogAt) }

// CatalogAt returns the time at which the catalog was last known to be the newest.
func (s *State) CatalogAt() time.Time { return s.catalogAt }

// Upstreams takes in changes of the list of upstreams, which was the newest at asOf. Whole says that
// the changes are the whole list.
func (s *State) Upstreams(now, asOf time.Time, changes []services.Change[upstream.Instance], whole bool) {
	if asOf.After(s.upstreamsAt) {
		s.upstreamsAt = asOf
	}
	listed := map[upstream.ID]bool{}
	for _, c := range changes {
		id := upstream.ID(c.Key)
		if c.Value == nil {
			s.gone(now, id)
			continue
		}
		listed[id] = true
		s.take(*c.Value)
	}
	if whole {
		for id := range s.ups {
			if !listed[id] {
				s.gone(now, id)
			}
		}
	}
	s.sort(now)
}

// take keeps an entry. An upstream that was once leaving does not come back under its id.
func (s *State) take(i upstream.Instance) {
	if e, ok := s.ups[i.ID]; ok && e.instance.State == upstream.StateLeaving {
		i.State = upstream.StateLeaving
	}
	s.ups[i.ID] = &entry{instance: i}
}

func (s *State) gone(now time.Time, id upstream.ID) {
	if e, ok := s.ups[id]; ok && e.lapsed.IsZero() {
		e.lapsed = now
	}
}

// sort lists the upstreams of each service, sorted by id.
func (s *State) sort(now time.Time) {
	s.byService = map[service.ID][]upstream.ID{}
	for id, e := range s.ups {
		if !e.lapsed.IsZero() && now.Sub(e.lapsed) > s.lapse {
			delete(s.ups, id)
			continue
		}
		name := service.ID(e.instance.Service)
		s.byService[name] = append(s.byService[name], id)
	}
	for _, ids := range s.byService {
		slices.SortFunc(ids, cmp.Compare[upstream.ID])
	}
}

// UpstreamsAge returns how long ago the list of upstreams was last known to be the newest.
func (s *State) UpstreamsAge(now time.Time) time.Duration { return now.Sub(s.upstreamsAt) }

// Usable returns the upstreams of a service that may take new work: those listed, or else those whose
// entries have just lapsed.
func (s *State) Usable(now time.Time, id service.ID) []upstream.Instance {
	var listed, lapsed []upstream.Instance
	for _, u := range s.byService[id] {
		e := s.ups[u]
		switch {
		case e.instance.State != upstream.StateReady:
		case e.lapsed.IsZero():
			listed = append(listed, e.instance)
		case now.Sub(e.lapsed) <= s.lapse:
			lapsed = append(lapsed, e.instance)
		}
	}
	if len(listed) > 0 {
		return listed
	}
	return lapsed
}

// Takes reports whether an upstream may still get work. It is asked right before sending.
func (s *State) Takes(now time.Time, id upstream.ID) bool {
	e, ok := s.ups[id]
	return ok && e.instance.State == upstream.StateReady && (e.lapsed.IsZero() || now.Sub(e.lapsed) <= s.lapse)
}

// All returns every upstream that is listed.
func (s *State) All() []upstream.Instance {
	var out []upstream.Instance
	for _, e := range s.ups {
		if e.lapsed.IsZero() {
			out = append(out, e.instance)
		}
	}
	return out
}

// Complete reports whether the knowledge is enough to take callers.
func (s *State) Complete() bool { return s.index != nil && !s.upstreamsAt.IsZero() }
