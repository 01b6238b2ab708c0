// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package rank

import (
	"context"
	"time"

	"fawnwinch.org/fawnwinch/models/expertmap"
	"fawnwinch.org/fawnwinch/modules/clock"
	"fawnwinch.org/fawnwinch/services"
	"fawnwinch.org/fawnwinch/services/election"
)

// Order is a coordinator's order.
type Order struct {
	Lead election.Lead
	// Start identifies the start of the agent that the order is for. An agent that has restarted
	// accepts no order to prepare: it would take part in a change of which it has no other record.
	Start Start
	Order services.RankOrder
	// Change replaces the map of an order to prepare, for an agent that has the base map. Deal
	// describes the base map if it is the one that engines start with.
	Change *expertmap.Change
	Deal   *expertmap.InitialMap
}

// OrderReply is the result of an order.
type OrderReply struct {
	Answer services.RankAnswer
	// NoBase reports whether the agent lacks the base map of the change: nothing was done.
	NoBase bool
}

// Order carries out an order of a coordinator.
func (p *API) Order(o Order, r *OrderReply) error {
	got := p.a.classify(clock.Now(), o.Lead)
	switch {
	case got == unplaced:
		r.Answer = services.RankUnknown // the engine does not answer
		return nil
	case got == foreign:
		r.Answer = services.RankConflict
		return nil
	case got == deposed:
		r.Answer = services.RankFenced
		return nil
	case o.Order.Kind == services.RankAnnounce:
		r.Answer = p.a.announce(o.Lead.Authority, o.Order.Version)
		return nil
	case o.Order.Kind == services.RankPrepare && o.Start != p.a.start:
		r.Answer = services.RankUnknown
		return nil
	}
	if r.NoBase = !p.a.complete(&o); r.NoBase {
		r.Answer = services.RankUnknown
		return nil
	}
	r.Answer = p.a.order(o.Order)
	return nil
}

// order sends an order to the engine on the same VM, with retries if there is no answer: an order
// takes effect once, however often it is sent under one fence. An order to prepare is done when its
// experts are loaded.
func (a *Agent) order(o services.RankOrder) services.RankAnswer {
	answer := a.sendOrder(o)
	if o.Kind == services.RankPrepare && answer == services.RankDone {
		return a.awaitLoaded(o)
	}
	return answer
}

// sendOrder is order without the wait for the loading.
func (a *Agent) sendOrder(o services.RankOrder) services.RankAnswer {
	answer := sendWithRetry(orderTimeout, orderTries, func(limit time.Duration) services.RankAnswer { return a.orderOnce(o, limit) })
	if o.Kind == services.RankPrepare && answer == services.RankDone {
		a.mu.Lock()
		a.notes.Prepared = max(a.notes.Prepared, o.Version)
		a.mu.Unlock()
	}
	return answer
}

// sendWithRetry sends an order until there is an answer, a number of times at most. The first
// attempt ends after the given time, each retry gets a quarter more.
func sendWithRetry(first time.Duration, tries int, send func(limit time.Duration) services.RankAnswer) services.RankAnswer {
	answer := services.RankUnknown
	for try, limit := 0, first; try < tries && answer == services.RankUnknown; try, limit = try+1, limit*5/4 {
		answer = send(limit)
	}
	return answer
}

// announce records that a coordinator is about to arm its own rank. It accepts only a coordinator
// without a known successor, and only a change that this agent has taken part in: after a start it
// has no record of what it has reported to others.
func (a *Agent) announce(au election.Authority, v expertmap.Version) services.RankAnswer {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case au < a.candidate.Highest():
		return services.RankFenced
	case a.notes.Prepared != v:
		return services.RankConflict
	}
	a.notes.Announced = max(a.notes.Announced, v)
	return services.RankDone
}

func (a *Agent) orderOnce(o services.RankOrder, limit time.Duration) services.RankAnswer {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	answer, err := a.opts.Engine.Order(ctx, o)
	if err != nil {
		a.opts.Logger.Warn().Str("order", string(o.Kind)).Uint64("fence", uint64(o.Fence)).Uint64("version", uint64(o.Version)).
			Uint64("step", uint64(o.Step)).Uint64("epoch", uint64(o.Epoch)).Str("answer", string(answer)).Err(err).Msg("order-failed")
	}
	return answer
}

// awaitLoaded waits until the engine has loaded the experts of a map.
func (a *Agent) awaitLoaded(o services.RankOrder) services.RankAnswer {
	for end := clock.Now().Add(loadTimeout); clock.Now().Before(end); time.Sleep(loadPollInterval) {
		var r Reply
		if err := a.status(Ask{}, &r); err != nil {
			continue // the engine is asked again until the end
		}
		if r.Status.Epoch != o.Epoch || r.Status.Prepared > o.Version {
			return services.RankConflict
		}
		if r.Status.Prepared == o.Version {
			return services.RankDone
		}
	}
	return services.RankUnknown
}

// complete fills in the map of an order to prepare that arrived as a change, and keeps the map for
// the next change. It reports whether the order is complete.
func (a *Agent) complete(o *Order) bool {
	if o.Order.Kind != services.RankPrepare {
		return true
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if o.Change != nil {
		base, ok := a.maps.find(o.Change.Base)
		if !ok && o.Deal != nil {
			base, ok = o.Deal.Map(), true
		}
		if !ok {
			return false
		}
		next, ok := base.Apply(*o.Change, o.Order.Version)
		if !ok {
			return false
		}
		o.Order.Layers = next.Layers
	}
	a.maps.keep(&expertmap.Map{Version: o.Order.Version, Layers: o.Order.Layers})
	return true
}

// keptMaps is the number of maps that an agent keeps: the one in use, and one that may not have
// come into use.
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

func (p preparedMaps) find(v expertmap.Version) (*expertmap.Map, bool) {
	for _, m := range p {
		if m.Version == v {
			return m, true
		}
	}
	return nil, false
}
