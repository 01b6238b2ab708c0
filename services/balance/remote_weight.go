// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package balance

import "time"

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
