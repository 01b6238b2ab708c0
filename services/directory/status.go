// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package directory

import (
	"slices"
	"strings"
	"time"

	"fawnwinch.org/fawnwinch/models/intent"
	"fawnwinch.org/fawnwinch/models/service"
	"fawnwinch.org/fawnwinch/models/vm"
	"fawnwinch.org/fawnwinch/services/membership"
)

// ProcessStatus is the status of one process.
type ProcessStatus struct {
	ID         string          `json:"id"`
	Role       vm.Role         `json:"role"`
	DataCentre vm.DataCentre   `json:"data_centre"`
	State      string          `json:"state"`
	Revision   intent.Revision `json:"revision"`
	Service    service.ID      `json:"service,omitempty"`
	InFlight   int             `json:"in_flight"`
	Queued     int             `json:"queued"`
	StepMicros int64           `json:"step_micros,omitempty"`
	Map        uint64          `json:"expert_map,omitempty"`
	Skew       float64         `json:"skew,omitempty"`
	Slices     int             `json:"slices,omitempty"`
}

// Status is one router's view of all processes.
type Status struct {
	Router    string          `json:"router"`
	Revision  intent.Revision `json:"revision"`
	Processes []ProcessStatus `json:"processes"`
}

// HasRevision reports whether every process that is not suspect has the given revision or a higher
// one in force.
func (s *Status) HasRevision(rev intent.Revision) bool {
	return !slices.ContainsFunc(s.Processes, func(p ProcessStatus) bool { return p.Revision < rev && p.State != "suspect" })
}

// Status returns this router's view of all processes: itself, the other routers and the agents.
func (d *Directory) Status(now time.Time) Status {
	rev := d.opts.Follower.State().Revision
	d.mu.Lock()
	defer d.mu.Unlock()
	self := d.routers.Self()
	out := Status{Router: self.ID, Revision: rev}
	out.Processes = append(out.Processes, routerStatus(self, rev))
	for _, p := range d.routers.Peers(now) {
		out.Processes = append(out.Processes, routerStatus(p.Info, p.Revision))
	}
	for id, e := range d.table.All(now) {
		l := e.Beat.Load
		p := ProcessStatus{
			ID: string(id), Role: vm.RoleAgent, DataCentre: e.Beat.DataCentre, State: string(e.Beat.State),
			Revision: e.Beat.Revision, Service: e.Beat.Service, InFlight: l.InFlight, Queued: l.Queued,
			StepMicros: l.StepMicros, Map: l.Map, Skew: l.Skew, Slices: len(e.Beat.Owned),
		}
		if e.Suspect {
			p.State = "suspect"
		} else if e.Leaving {
			p.State = "leaving"
		}
		out.Processes = append(out.Processes, p)
	}
	// Routers come before agents, each sorted by id.
	slices.SortFunc(out.Processes, func(a, b ProcessStatus) int { return strings.Compare(string(b.Role)+a.ID, string(a.Role)+b.ID) })
	return out
}

func routerStatus(i membership.RouterInfo, rev intent.Revision) ProcessStatus {
	return ProcessStatus{ID: i.ID, Role: vm.RoleRouter, DataCentre: i.DataCentre, State: string(i.State), Revision: rev}
}
