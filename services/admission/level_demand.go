// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package admission

import (
	"math"
	"time"

	"fawnwinch.org/fawnwinch/models/urgency"
	"fawnwinch.org/fawnwinch/services/balance"
)

// LevelDemands forecasts for each level how many requests could be sent until the next load report
// of a group, and how many wait; nil if the service is not ranked. Requests of a limited level could
// be sent only if a group is below the limit, or if they are starving.
func (q *Queue) LevelDemands(now time.Time) []balance.LevelDemand {
	if q.levels == 0 {
		return nil
	}
	out := make([]balance.LevelDemand, q.levels)
	floor := q.floorLeft(now)
	for _, x := range q.waiting {
		d := &out[q.index(x.Level)]
		d.Waiting++
		switch {
		case q.pool.BelowMean(now, q.levelMeans[q.index(x.Level)]):
			d.Wanted++
		case floor > 0 && x.starving(now):
			d.Wanted++
			floor--
		}
	}
	var rates [urgency.MaxLevels]int
	for _, g := range q.recentLevels(now) {
		rates[q.index(g.level)]++
	}
	// The sum is rounded up, not each level, so that it does not depend on the number of levels.
	sum, counted := 0.0, 0
	for l := range out {
		if q.pool.BelowMean(now, q.levelMeans[l]) {
			sum += float64(rates[l]) / rateWindow.Seconds() * reportInterval.Seconds()
		}
		all := int(math.Ceil(sum))
		out[l].Wanted += all - counted
		counted = all
	}
	return out
}

// WaitingByLevel returns the number of waiting requests of each level; nil if the service is not
// ranked.
func (q *Queue) WaitingByLevel() []int {
	if q.levels == 0 {
		return nil
	}
	out := make([]int, q.levels)
	for _, x := range q.waiting {
		out[q.index(x.Level)]++
	}
	return out
}
