// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package balance

import (
	"slices"

	"fawnwinch.org/fawnwinch/models/urgency"
)

// LevelDemand is a router's demand of one level.
type LevelDemand struct {
	// Wanted is the number of requests that the router wants to send until the next report, and
	// Waiting the number of these that wait already.
	Wanted, Waiting int
}

// maxDemand bounds a reported number of requests of a level, so that sums do not overflow. It is
// far above what a router can hold.
const maxDemand = 1 << 20

// limitLevels returns reported demands within the bounds of a report: negative numbers count as 0,
// and further levels belong to the last one.
func limitLevels(levels []LevelDemand) []LevelDemand {
	var out []LevelDemand
	for i, d := range levels {
		if i < urgency.MaxLevels {
			out = append(out, LevelDemand{})
		}
		last := &out[len(out)-1]
		last.Wanted = min(last.Wanted+min(max(d.Wanted, 0), maxDemand), maxDemand)
		last.Waiting = min(last.Waiting+min(max(d.Waiting, 0), maxDemand), maxDemand)
	}
	return out
}

// replaceWanted returns demands with the wanted requests of a load request, which says nothing of
// the waiting ones. If it does not divide them, they belong to level 0.
func replaceWanted(known []LevelDemand, wanted int, levels []LevelDemand) []LevelDemand {
	if len(levels) == 0 && len(known) > 0 {
		levels = []LevelDemand{{Wanted: wanted}}
	}
	out := limitLevels(levels)
	for i := range out {
		out[i].Waiting = 0
	}
	for i, d := range known {
		if i >= len(out) {
			out = append(out, LevelDemand{})
		}
		out[i].Waiting = d.Waiting
	}
	return out
}

// level returns a router's demand of a level. A router that does not divide its demand has all of
// it at level 0.
func (d *Demand) level(l int) LevelDemand {
	switch {
	case l < len(d.Levels):
		return d.Levels[l]
	case l == 0:
		return LevelDemand{Wanted: d.Requests}
	default:
		return LevelDemand{}
	}
}

// countLevels returns the number of levels that the routers' demands are divided into. A router
// that has read a new catalog may have more levels than another.
func countLevels(demands []Demand) int {
	levels := 0
	for _, d := range demands {
		levels = max(levels, len(d.Levels))
	}
	return min(levels, urgency.MaxLevels)
}

const (
	// maxDemandFactor and maxDemandSurplus limit a router's demand of a level, relative to that of
	// the median router: with false figures one router would get all places. The surplus lets a
	// router send a few requests when most others have none.
	maxDemandFactor, maxDemandSurplus = 8, 8
)

// limitDemand limits the demands of a level relative to that of the median router. Of an even
// number of routers the lower one of the middle pair counts, so that it also applies to two.
func limitDemand(wanted []int) {
	median := slices.Sorted(slices.Values(wanted))[(len(wanted)-1)/2]
	limit := maxDemandFactor*median + maxDemandSurplus
	for i, n := range wanted {
		wanted[i] = min(n, limit)
	}
}
