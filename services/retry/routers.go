// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package retry

import "time"

const (
	// settleTime is how long the count of a process that starts must not have grown before it is
	// used: after a restart of all routers, each learns of the others one after the other.
	settleTime = 1500 * time.Millisecond
	// rememberRouters is how long a router that is no longer known is still counted. Routers that
	// are frozen or cut off use their shares when they return, and forget none of the others
	// meanwhile.
	rememberRouters = time.Minute
)

// Routers counts the routers that share the slack: the most that were known within rememberRouters.
// A count that is too high only makes the shares smaller.
type Routers struct {
	count   int
	grownAt time.Time
	settled bool
	// lower is the highest count since lowerSince, if all counts since then were lower than count.
	lower      int
	lowerSince time.Time
}

// Set records the number of routers that are known now, this one included.
func (r *Routers) Set(now time.Time, n int) {
	switch {
	case n > r.count:
		r.count, r.grownAt, r.lowerSince = n, now, time.Time{}
	case n == r.count:
		r.lowerSince = time.Time{}
	case r.lowerSince.IsZero():
		r.lower, r.lowerSince = n, now
	default:
		r.lower = max(r.lower, n)
		if now.Sub(r.lowerSince) > rememberRouters {
			r.count, r.lowerSince = r.lower, time.Time{}
		}
	}
	r.settled = r.settled || now.Sub(r.grownAt) >= settleTime
}

// Share returns the number of routers by which the slack is divided, or 0 while it is not known.
func (r *Routers) Share() int {
	if !r.settled {
		return 0
	}
	return r.count
}
