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

// Share is a router's share of the slack: it is divided by a number of routers. A share of 0 routers
// is none.
type Share struct {
	Routers int
	// Since is when the process got the share.
	Since time.Time
}

// Routers counts the routers that share the slack: the most that were known within rememberRouters.
// A count that is too high only makes the shares smaller.
type Routers struct {
	count   int
	grownAt time.Time
	// settledAt is when the count was known for the first time; zero until then.
	settledAt time.Time
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
	if r.settledAt.IsZero() && now.Sub(r.grownAt) >= settleTime {
		r.settledAt = now
	}
}

// Share returns the share of this router: none while the number of routers is not known.
func (r *Routers) Share() Share {
	if r.settledAt.IsZero() {
		return Share{}
	}
	return Share{Routers: r.count, Since: r.settledAt}
}
