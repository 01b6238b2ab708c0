// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package balance

import (
	"time"

	"fawnwinch.org/fawnwinch/models/catalog"
	"fawnwinch.org/fawnwinch/models/urgency"
)

const (
	// drainMargin is by how much a group must complete more requests than arrive, so that a backlog
	// of a shortage is served within seconds after it.
	drainMargin = 1.1
	// usualSkew is the skew of a map that follows the demand.
	usualSkew = 1.3
	// unstartedPasses is the number of passes from the arrival of a request at a rank to its first
	// event: the current one, and the one that reads its prompt.
	unstartedPasses = 2
)

// DemandMean returns the smallest mean number of requests per rank with which a group completes the
// requests that arrive, with a margin. Arrivals is their number per rank and second. It returns 0
// if nothing arrives, if not even all slots suffice, or if the engine's figures are missing.
func DemandMean(e *catalog.Engine, pace, arrivals float64) float64 {
	if arrivals <= 0 || e.UsualAnswer <= 0 || e.Stride <= 0 {
		return 0
	}
	passes := e.UsualAnswer/float64(e.Stride) + unstartedPasses
	for n := meanStep; n <= float64(e.Slots); n += meanStep {
		pass := Pass(e, PassLoad{Mean: n, Max: n, Context: e.UsualPrompt, Reading: e.UsualPrompt, Skew: usualSkew, Pace: pace})
		if n/(passes*pass.Seconds()) >= drainMargin*arrivals {
			return n
		}
	}
	return 0
}

// meanStep is the step in which DemandMean searches.
const meanStep = 0.1

// LevelLimit returns the mean number of requests per rank up to which a group accepts requests of a
// level: LevelMean, or more if the requests that arrive need more and all slots suffice for them.
// While not all can be served anyway, the capacity for a shift of demand is kept.
func LevelLimit(e *catalog.Engine, pace float64, pauseGoal time.Duration, level urgency.Level, levels int, arrivals float64) float64 {
	mean := LevelMean(e, pace, pauseGoal, level, levels)
	if mean <= 0 {
		return 0
	}
	return max(mean, DemandMean(e, pace, arrivals))
}
