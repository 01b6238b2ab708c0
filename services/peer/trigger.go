// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package peer

import (
	"time"

	"golang.org/x/time/rate"
)

const (
	// triggerBurst is the number of gossip rounds in a row that updates may trigger: more than an
	// update needs to reach all routers, and than follow from one event such as a loss of power.
	triggerBurst = 12
	// triggerInterval is the mean time between triggered rounds where updates never stop, as when
	// each of many routers changes now and then. Without a limit every router then calls all its
	// neighbours in each gap between rounds, and the load grows until the gap is all that bounds it.
	triggerInterval = 400 * time.Millisecond
)

// NewTriggerLimiter returns the limiter of the gossip rounds of a router that are triggered by
// updates. Updates beyond the limit travel with the periodic rounds.
func NewTriggerLimiter() *rate.Limiter {
	return rate.NewLimiter(rate.Every(triggerInterval), triggerBurst)
}
