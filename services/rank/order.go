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
	// Start is that of the agent that the order is for. One that has started anew takes no order to prepare: it would
	// take a part in a change that it knows nothing else of.
	Start Start
	Order services.RankOrder
	// Change stands for the map of an order to prepare, for an agent that has the map it goes on from. Deal describes that
	// map if it is the one that engines start with.
	Change *expertmap.Change
	Deal   *expertmap.Deal
}

// OrderReply tells what became of an order.
type OrderReply struct {
	Answer services.RankAnswer
	// NoBase says that the agent does not have the map that the change goes on from: nothing was done.
	NoBase bool
}

// Order carries out an order of a coordinator.
func (p *API) Order(o Order, r *OrderReply) error {
	heard := p.a.listen(clock.Now(), o.Lead)
	switch {
	case heard == unplaced:
		r.Answer = services.RankUnknown // the engine does not answer
		return nil
	case heard == foreign:
		r.Answer = services.RankConflict
		return nil
	case heard == deposed:
		r.Answer = services.RankFenced
		return nil
	case o.Order.Kind == services.RankAnnounce:
		r.Answer = p.a.announce(o.Lead.Authority, o.Order.Version)
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

// order gives an order to the engine on the same VM, and again if there is no answer: each order holds
// once, however often it is given under one fence. Loading is done when its experts are there.
func (a *Agent) order(o services.RankOrder) services.RankAnswer {
	answer := a.giveOrder(o)
	if o.Kind == services.RankPrepare && answer == services.RankDone {
		return a.awaitLoaded(o)
	}
	return answer
}

// giveOrder is order without the wait for what is loaded.
func (a *Agent) giveOrder(o services.RankOrder) services.RankAnswer {
	answer := giveAgain(orderTime, orderTries, func(limit time.Duration) services.RankAnswer { return a.orderOnce(o, limit) })
	if o.Kind == services.RankPrepare && answer == services.RankDone {
		a.mu.Lock()
		a.notes.Prepared = max(a.notes.Prepared, o.Version)
		a.mu.Unlock()
	}
	return answer
}

// giveAgain gives an order until there is an answer, a number of times at most. The first try ends after a time, each
// further one gets a quarter more.
func giveAgain(first time.Duration, tries int, give func(limit time.Duration) services.RankAnswer) services.RankAnswer {
	answer := services.RankUnknown
	for try, limit := 0, first; try < tries && answer == services.RankUnknown; try, limit = try+1, limit*5/4 {
		answer = give(limit)
	}
	return answer
}

// announce notes that a coordinator is about to arm its own rank. Only one is heard that no later one has followed, and
// only of a change that this agent has had a part in: after a start it remembers nothing of what it has told others.
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
	for end := clock.Now().Add(loadTime); clock.Now().Before(end); time.Sleep(loadTick) {
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
		if !ok && o.Deal != nil {
			base, ok = o.Deal.Map(), true
		}
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
