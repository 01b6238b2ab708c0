// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package knowledge

import (
	"slices"

	"fawnwinch.org/fawnwinch/models/catalog"
	"fawnwinch.org/fawnwinch/models/service"
	"fawnwinch.org/fawnwinch/models/upstream"
	"fawnwinch.org/fawnwinch/models/vm"
	"fawnwinch.org/fawnwinch/services"
)

// evacuation is the latest known state of a data centre's evacuation and the position of the record
// that states it.
type evacuation struct {
	ended bool
	at    services.Position
}

// evacuations holds the data centres that were ever evacuated. Ended evacuations stay, so that a
// router that has read further than another can tell it about the end. The record with the highest
// position applies, so the order in which routers learn of the records does not matter.
type evacuations map[vm.DataCentre]evacuation

// apply records the evacuations in a segment of the operator's feed.
func (m evacuations) apply(p Segment[catalog.Update]) {
	listed := map[vm.DataCentre]bool{}
	for _, c := range p.Changes {
		if c.Value != nil && c.Value.Evacuation != nil {
			listed[c.Value.Evacuation.DataCentre] = true
			m.set(*c.Value.Evacuation, c.At)
		}
	}
	if !p.Whole {
		return
	}
	for dc, e := range m {
		if !listed[dc] && e.coveredBy(p.Next) {
			m.set(catalog.Evacuation{DataCentre: dc, Ended: true}, p.Next.Previous())
		}
	}
}

// coveredBy reports whether a full snapshot that ends at a position would list the evacuation if it
// were still in force. A store that was restored from a backup has lost the records after it: an
// evacuation that started later stays in force until the operator ends it.
func (e evacuation) coveredBy(next services.Position) bool { return e.at.Offset < next.Offset }

// set records the state of an evacuation at a position.
func (m evacuations) set(e catalog.Evacuation, at services.Position) {
	if before, known := m[e.DataCentre]; !known || before.at.Before(at) {
		m[e.DataCentre] = evacuation{ended: e.Ended, at: at}
	}
}

// active reports whether a data centre is evacuated.
func (m evacuations) active(dc vm.DataCentre) bool {
	e, ok := m[dc]
	return ok && !e.ended
}

// Evacuated returns the data centres that are evacuated, sorted.
func (s *State) Evacuated() []vm.DataCentre {
	var out []vm.DataCentre
	for dc, e := range s.evacuations {
		if !e.ended {
			out = append(out, dc)
		}
	}
	slices.Sort(out)
	return out
}

// Evacuations returns the latest record of each evacuation, including those that have ended.
func (s *State) Evacuations() []services.Change[catalog.Update] {
	out := make([]services.Change[catalog.Update], 0, len(s.evacuations))
	for dc, e := range s.evacuations {
		out = append(out, services.Change[catalog.Update]{At: e.at, Value: &catalog.Update{Evacuation: &catalog.Evacuation{DataCentre: dc, Ended: e.ended}}})
	}
	return out
}

// EvacuatedUpstreams returns the listed upstreams of a service in evacuated data centres.
func (s *State) EvacuatedUpstreams(id service.ID) []upstream.Instance {
	if len(s.evacuations) == 0 {
		return nil
	}
	var out []upstream.Instance
	for _, u := range s.byService[id] {
		if e := s.entries[u]; e.removedAt.IsZero() && s.evacuations.active(e.instance.DataCentre) {
			out = append(out, e.instance)
		}
	}
	return out
}
