// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package rank

import (
	"time"

	"fawnwinch.org/fawnwinch/modules/clock"
)

// stopPollInterval is the interval at which Stop checks whether a change has ended.
const stopPollInterval = 5 * time.Millisecond

// Stop ends the agent's work as a coordinator: it starts no change of map any more, abandons one for
// which ranks still load experts, and finishes one for which the group is held. Otherwise the group
// would stand still until another agent has taken over. It waits at most for the given time.
func (a *Agent) Stop(limit time.Duration) {
	a.mu.Lock()
	a.stopping = true
	a.mu.Unlock()
	for end := clock.Now().Add(limit); a.isChanging() && clock.Now().Before(end); {
		time.Sleep(stopPollInterval)
	}
}

// isStopping reports whether Stop was called.
func (a *Agent) isStopping() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.stopping
}

// isChanging reports whether this agent carries out a change of map.
func (a *Agent) isChanging() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.changing
}

// beginChange records the start of a change of map. It returns false if the agent stops.
func (a *Agent) beginChange() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.changing = !a.stopping
	return a.changing
}

func (a *Agent) endChange() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.changing = false
}
