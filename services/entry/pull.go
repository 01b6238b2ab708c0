// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package entry

import (
	"context"
	"fmt"
	"slices"
	"time"

	"fawnwinch.org/fawnwinch/models/catalog"
	"fawnwinch.org/fawnwinch/models/upstream"
	"fawnwinch.org/fawnwinch/models/vm"
	"fawnwinch.org/fawnwinch/modules/clock"
	"fawnwinch.org/fawnwinch/services"
	"fawnwinch.org/fawnwinch/services/knowledge"
)

// pullCatalogs pulls the newest catalog from another router.
func (r *Router) pullCatalogs(ctx context.Context, address string) (knowledge.Segment[catalog.Update], error) {
	var base *catalog.Catalog
	var known DeltaRequest
	var evacuations []services.Change[catalog.Update]
	r.opts.Relay.WithState(func(s *knowledge.State) {
		evacuations = s.Evacuations()
		if s.Index() != nil {
			base, known = s.Index().Catalog, deltaRequest(s.Catalogs())
			known.Version = base.Version
		}
	})
	asked := clock.Now()
	var n CatalogDelta
	p := knowledge.Segment[catalog.Update]{Whole: true}
	if err := r.opts.Pool.Call(ctx, address, "Router.Catalogs", known, &n); err != nil {
		return p, fmt.Errorf("pull catalogs: %w", err)
	}
	p.Incomplete, p.Unreadable = !n.EvacuationsKnown, n.Extent.Unreadable
	p.Next, p.AsOf, p.Vouch = n.Extent.position(), n.Extent.asOf(asked), n.Extent.confirmation(asked)
	newest := n.Whole
	if n.Change != nil {
		changed, ok := base.Apply(n.Change)
		if !ok {
			return p, fmt.Errorf("received a change from catalog %d, but have catalog %d", n.Change.Base, base.Version)
		}
		newest = changed
	}
	if newest != nil && len(newest.Accounts) == 0 && !n.KeyedKnown {
		return p, fmt.Errorf("pull catalogs: router does not tell whether catalog %d needs keys", newest.Version)
	}
	if newest != nil {
		p.Changes = []services.Change[catalog.Update]{{Value: &catalog.Update{Catalog: newest}}}
	}
	p.Changes = append(p.Changes, n.evacuations(evacuations)...)
	return p, nil
}

// pullUpstreams pulls the upstreams from another router.
func (r *Router) pullUpstreams(ctx context.Context, address string) (knowledge.Segment[upstream.Instance], error) {
	mark := r.upstreams.mark()
	asked := clock.Now()
	var n UpstreamDelta
	if err := r.opts.Pool.Call(ctx, address, "Router.Upstreams", deltaRequest(mark), &n); err != nil {
		return knowledge.Segment[upstream.Instance]{}, fmt.Errorf("pull upstreams: %w", err)
	}
	return knowledge.Segment[upstream.Instance]{Whole: n.Whole, From: mark.Next, Next: n.Extent.position(), AsOf: n.Extent.asOf(asked), Changes: n.changes()}, nil
}

func (r *Router) applyCatalogs(p knowledge.Segment[catalog.Update]) knowledge.Fit {
	var fit knowledge.Fit
	var before, after *catalog.Index
	var evacuatedBefore, evacuated []vm.DataCentre
	var since time.Time
	var pending, stillPending, unreadBefore, unread bool
	now := clock.Now()
	r.opts.Relay.WithState(func(s *knowledge.State) {
		before, evacuatedBefore = s.Index(), s.Evacuated()
		_, pending = s.RewritePending()
		unreadBefore = s.Unreadable()
		fit = s.ApplyCatalogs(now, p)
		since, stillPending = s.RewritePending()
		after, evacuated = s.Index(), s.Evacuated()
		unread = s.Unreadable()
	})
	if unread && !unreadBefore {
		r.opts.Logger.Error().Stringer("place", p.Next).Uint64("in_force", uint64(r.version())).Msg("catalog-unread")
	}
	if pending && !stillPending {
		r.opts.Logger.Info().Stringer("place", p.Next).Uint64("version", uint64(r.version())).Int64("after_ms", now.Sub(since).Milliseconds()).Msg("catalog-proven")
		r.triggerGossip()
	}
	if before != after {
		r.opts.Logger.Info().Uint64("version", uint64(after.Version)).Int("routes", len(after.Routes)).Stringer("place", p.Next).
			Int64("age_ms", clock.Since(p.AsOf).Milliseconds()).Msg("catalog-taken")
	}
	r.logEvacuations(p, evacuatedBefore, evacuated)
	if before != after {
		r.opts.Relay.UpdateCold(now)
	}
	r.becomeReady()
	return fit
}

// logEvacuations logs the evacuations that started or ended by a segment of the operator's feed.
func (r *Router) logEvacuations(p knowledge.Segment[catalog.Update], before, after []vm.DataCentre) {
	log := func(dc vm.DataCentre, name string) {
		r.opts.Logger.Info().Str("data_centre", string(dc)).Stringer("place", p.Next).Bool("whole", p.Whole).Int64("age_ms", clock.Since(p.AsOf).Milliseconds()).Msg(name)
	}
	for _, dc := range after {
		if !slices.Contains(before, dc) {
			log(dc, "evacuation-began")
		}
	}
	for _, dc := range before {
		if !slices.Contains(after, dc) {
			log(dc, "evacuation-ended")
		}
	}
}

func (r *Router) applyUpstreams(p knowledge.Segment[upstream.Instance]) knowledge.Fit {
	var fit knowledge.Fit
	now := clock.Now()
	r.opts.Relay.WithState(func(s *knowledge.State) { fit = s.ApplyUpstreams(now, p) })
	if fit == knowledge.FitNew {
		r.opts.Relay.UpdateCold(now)
		r.firstEra(p.Next.Era)
		r.noteUpstreams(p)
	}
	r.becomeReady()
	return fit
}

// maxLoggedChanges is the number of changes of upstreams up to which each is logged on its own
// line.
const maxLoggedChanges = 8

// noteUpstreams logs changes of upstreams: each of them, or only their counts if there are many.
func (r *Router) noteUpstreams(p knowledge.Segment[upstream.Instance]) {
	age := clock.Since(p.AsOf).Milliseconds()
	if len(p.Changes) > maxLoggedChanges {
		counts := map[upstream.State]int{}
		for _, c := range p.Changes {
			counts[stateOf(c.Value)]++
		}
		r.opts.Logger.Info().Bool("whole", p.Whole).Stringer("place", p.Next).Int64("age_ms", age).Int("ready", counts[upstream.StateReady]).
			Int("leaving", counts[upstream.StateLeaving]).Int("gone", counts[stateGone]).Msg("upstreams-listed")
		return
	}
	for _, c := range p.Changes {
		r.opts.Logger.Info().Str("upstream", c.Key).Str("state", string(stateOf(c.Value))).Bool("whole", p.Whole).
			Stringer("place", p.Next).Int64("age_ms", age).Str("address", addressOf(c.Value)).Int64("cold_ms", coldOf(c.Value).Milliseconds()).Msg("upstream-listed")
	}
}

// stateGone is the logged state of an upstream whose entry was removed.
const stateGone upstream.State = "gone"

func stateOf(i *upstream.Instance) upstream.State {
	if i == nil {
		return stateGone
	}
	return i.State
}

// coldOf returns how much longer an upstream is cold.
func coldOf(i *upstream.Instance) time.Duration {
	if i == nil {
		return 0
	}
	return i.Cold
}

func addressOf(i *upstream.Instance) string {
	if i == nil {
		return ""
	}
	return i.Address
}
