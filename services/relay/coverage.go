// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package relay

import (
	"time"

	"fawnwinch.org/fawnwinch/models/service"
)

// Coverage states for how many ranks of a service with model groups a coordinator has recently
// reported the load.
type Coverage struct {
	Service service.ID
	// Listed counts the ranks that may accept work; Unreported holds the addresses of those whose
	// load is not reported.
	Listed     int
	Unreported []string
}

// Coverage returns the coverage of each service with model groups.
func (r *Relay) Coverage(now time.Time) []Coverage {
	r.mu.Lock()
	defer r.mu.Unlock()
	index := r.state.Index()
	if index == nil {
		return nil
	}
	var out []Coverage
	for i := range index.Services {
		s := &index.Services[i]
		if s.Engine == nil {
			continue
		}
		usable := r.state.Usable(now, s.ID)
		c := Coverage{Service: s.ID, Listed: len(usable)}
		for _, u := range r.serviceState(now, s.ID).pool.Unreported(now, usable) {
			c.Unreported = append(c.Unreported, u.Address)
		}
		out = append(out, c)
	}
	return out
}
