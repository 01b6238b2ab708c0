// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package balance

import (
	"math"
	"time"
)

// paceTolerance covers rounding errors of computed paces.
const paceTolerance = 1e-9

// pace returns the pace by which a rank gets its share: the assumed one if the coordinator has set
// it. 0 and 1 are normal.
func (r *RankLoad) pace() float64 {
	if r.AssumedPace > 0 {
		return max(r.AssumedPace, 1)
	}
	return max(r.Pace, 1)
}

// rankLimits returns the limit for the requests of each rank. A rank that is slower than the mean
// gets as many streams as it writes in the time that a rank of mean pace takes for the mean number:
// each rank writes its own streams before all wait for each other. The steps of a slow rank take
// longer whether it has streams or not, so they do not lower its limit; with them a rank of pace 1.1
// would get none at a step of 5.85 ms and 0.426 ms for each writer. The limits are those without
// paces if too many ranks are slow to skip them, or if the pause goal does not limit the group: the
// other ranks could not take what a slower one does not get.
func rankLimits(ranks []RankLoad, b Bounds) []float64 {
	limits := make([]float64, len(ranks))
	mean, limited := meanPace(ranks), canSkipSlow(ranks) && b.Mean < b.Rank
	for i := range ranks {
		limits[i] = float64(b.Rank)
		if p := ranks[i].pace(); limited && p > mean+paceTolerance {
			limits[i] = min(limits[i], math.Floor(float64(b.Mean)*mean/p+paceTolerance))
		}
	}
	return limits
}

// meanPace returns the mean pace of the ranks that get requests if slow ones are skipped; 1 if
// there are none.
func meanPace(ranks []RankLoad) float64 {
	sum, n := 0.0, 0.0
	for i := range ranks {
		if r := &ranks[i]; !r.slow() && !r.Silent {
			sum, n = sum+r.pace(), n+1
		}
	}
	if n == 0 {
		return 1
	}
	return sum / n
}

// fullRemoteWait is the fraction of the goal that a router's oldest request must have waited for
// its demand to have full weight in all data centres: the rest of the time in which a waiting
// request can be in time is needed for its first event.
const fullRemoteWait = 0.5

// remoteWeight returns the weight of a router's demand for ranks in other data centres. It rises
// from remoteWeight to 1 with the time that the router's oldest request has waited, so that callers
// of no data centre wait for long while ranks of another have room.
func (d *Demand) remoteWeight() float64 {
	if d.Goal <= 0 || d.Oldest <= 0 {
		return remoteWeight
	}
	waited := min(float64(d.Oldest)/(fullRemoteWait*float64(d.Goal)), 1)
	return remoteWeight + (1-remoteWeight)*waited
}

// maxOldest is the longest wait that a router's reply counts as. Callers disconnect earlier, and a
// larger number would overflow a duration.
const maxOldest = time.Minute

// oldestOf returns how long a router's oldest request has waited.
func oldestOf(reply ReportReply) time.Duration {
	return time.Duration(min(reply.Oldest, uint(maxOldest/time.Millisecond))) * time.Millisecond
}
