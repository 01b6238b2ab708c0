// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package rank

import (
	"time"

	"fawnwinch.org/fawnwinch/models/expertmap"
	"fawnwinch.org/fawnwinch/services"
)

// Order is a coordinator's order.
type Order struct {
	Authority Authority
	// Start is that of the agent that the order is for. One that has started anew takes no order to prepare: it would
	// take a part in a change that it knows nothing else of.
	Start Start
	Order services.RankOrder
	// Change stands for the map of an order to prepare, for an agent that has the map it goes on from.
	Change *expertmap.Change
}

// OrderReply tells what became of an order.
type OrderReply struct {
	Answer services.RankAnswer
	// NoBase says that the agent does not have the map that the change goes on from: nothing was done.
	NoBase bool
}

// Order carries out an order of a coordinator.
func (p *API) Order(o Order, r *OrderReply) error {
	if p.a.hear(time.Now(), o.Authority) != o.Authority {
		r.Answer = services.RankFenced
		return nil
	}
	switch {
	case o.Order.Kind == services.RankAnnounce:
		r.Answer = p.a.announce(o.Authority, o.Order.Version)
		return nil
	case o.Order.Kind == services.RankPrepare && o.Start != p.a.start:
		r.Answer = services.RankUnknown
		return nil
	}
	if r.NoBase = !p.a.whole(&o); r.NoBase {
		r.Answer = services.RankUnknown
		return nil
	}
	r.Answer = p.a.order(o.Order)
	return nil
}

// whole completes an order to prepare that came as a change, and keeps its map for the next change. It reports
// whether the order is whole.
func (a *Agent) whole(o *Order) bool {
	if o.Order.Kind != services.RankPrepare {
		return true
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if o.Change != nil {
		base, ok := a.maps.of(o.Change.Base)
		if !ok {
			return false
		}
		next, ok := base.Changed(*o.Change, o.Order.Version)
		if !ok {
			return false
		}
		o.Order.Layers = next.Layers
	}
	a.maps.keep(&expertmap.Map{Version: o.Order.Version, Layers: o.Order.Layers})
	return true
}

// keptMaps is the number of maps that an agent keeps: the one in use, and one that may not have come into use.
const keptMaps = 2

// preparedMaps holds the latest maps that an agent was ordered to prepare, the latest first.
type preparedMaps []*expertmap.Map

func (p *preparedMaps) keep(m *expertmap.Map) {
	kept := preparedMaps{m}
	for _, old := range *p {
		if old.Version != m.Version && len(kept) < keptMaps {
			kept = append(kept, old)
		}
	}
	*p = kept
}

func (p preparedMaps) of(v expertmap.Version) (*expertmap.Map, bool) {
	for _, m := range p {
		if m.Version == v {
			return m, true
		}
	}
	return nil, false
}
