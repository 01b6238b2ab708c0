// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package rank

import (
	"context"
	"sync"

	"fawnwinch.org/fawnwinch/models/expertmap"
	"fawnwinch.org/fawnwinch/models/group"
	"fawnwinch.org/fawnwinch/services"
)

// readMap assembles the map in use from what each rank holds.
func (c *coordinator) readMap(ctx context.Context, status []services.RankStatus) (*expertmap.Map, bool) {
	m := &expertmap.Map{Group: status[0].Group, Version: status[0].Map, Layers: make([]expertmap.Layer, c.engine.Layers)}
	for l := range m.Layers {
		m.Layers[l].Slots = make([][]expertmap.Expert, len(status))
	}
	parts, errs := c.heldMaps(ctx, len(status))
	for r, held := range parts {
		err := errs[r]
		if err != nil || held.Version != m.Version || len(held.Experts) != c.engine.Layers {
			c.logger.Warn().Int("rank", r).Uint64("version", uint64(held.Version)).Uint64("want", uint64(m.Version)).Int("layers", len(held.Experts)).Err(err).Msg("map-unread")
			return nil, false
		}
		if e, ok := c.unknownExpert(held.Experts); ok {
			c.logger.Warn().Int("rank", r).Int("expert", int(e)).Int("experts", c.engine.Experts).Int("places", c.engine.Places).Msg("map-unread")
			return nil, false
		}
		for l, experts := range held.Experts {
			for len(experts) < c.engine.Places {
				experts = append(experts, expertmap.Free)
			}
			m.Layers[l].Slots[r] = experts
		}
	}
	return m, true
}

// unknownExpert returns an expert that the engine does not have, or one beyond a rank's places, if
// there is one.
func (c *coordinator) unknownExpert(layers [][]expertmap.Expert) (expertmap.Expert, bool) {
	for _, experts := range layers {
		for i, e := range experts {
			if e < 0 || int(e) >= c.engine.Experts || i >= c.engine.Places {
				return e, true
			}
		}
	}
	return 0, false
}

// heldMaps asks all ranks concurrently what they hold.
func (c *coordinator) heldMaps(ctx context.Context, ranks int) ([]services.RankMap, []error) {
	parts := make([]services.RankMap, ranks)
	errs := make([]error, ranks)
	var w sync.WaitGroup
	for r := range parts {
		w.Go(func() { parts[r], errs[r] = c.mapOf(ctx, group.Rank(r)) })
	}
	w.Wait()
	return parts, errs
}

func (c *coordinator) mapOf(ctx context.Context, r group.Rank) (services.RankMap, error) {
	cctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	m := c.members[r]
	if m.info.Name == c.a.opts.Self.Name {
		return c.a.opts.Engine.Map(cctx)
	}
	var held services.RankMap
	if err := c.a.opts.Pool.Call(cctx, m.info.Address, "Rank.Map", Ask{Lead: c.lead()}, &held); err == nil {
		return held, nil
	}
	dctx, dcancel := context.WithTimeout(ctx, peerTimeout)
	defer dcancel()
	return c.a.opts.Dial(m.info.Engine).Map(dctx)
}
