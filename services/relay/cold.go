// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package relay

import (
	"time"

	"fawnwinch.org/fawnwinch/services/condition"
)

// UpdateCold applies the cold upstreams of the router's state to the conditions of their services,
// with the rates that the catalog gives for them. It is called after changes of either.
func (r *Relay) UpdateCold(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	index := r.state.Index()
	if index == nil {
		return
	}
	for _, c := range r.state.Cold(now) {
		s := index.Service(c.Service)
		if s == nil || s.ColdRate <= 0 {
			continue
		}
		r.serviceState(now, c.Service).pool.Conditions().SetCold(now, c.Run, condition.Coldness{Until: c.Until, Rate: s.ColdRate})
	}
}
