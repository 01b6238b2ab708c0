// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package soak

import (
	"math/rand/v2"
	"time"
)

const (
	// evacuateTime is the time after which no request may reach an evacuated data centre.
	evacuateTime = 5 * time.Second
	// secondZone is the data centre of every second plain replica, which is evacuated. All other
	// processes are in the first one.
	firstZone, secondZone = "a", "b"
)

// evacuate evacuates the second data centre for long enough that the routers must observe it.
func (w *world) evacuate(_ *rand.Rand, duration time.Duration) {
	w.setEvacuated(true)
	pause(evacuateTime + duration)
	w.setEvacuated(false)
}

// setEvacuated starts or ends the evacuation.
func (w *world) setEvacuated(on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.evacuatedAt = time.Time{}
	if on {
		w.evacuatedAt = time.Now()
	}
	w.putEvacuation()
}

// putEvacuation writes the operator's record of the evacuation, or removes it. The caller holds the
// lock.
func (w *world) putEvacuation() {
	value := ""
	if !w.evacuatedAt.IsZero() {
		value = "{}"
	}
	w.store.Put(operatorStream, "evacuate/"+secondZone, value)
}

// checkEvacuation checks that a request that reaches a replica through a router does not reach an
// evacuated data centre.
func (w *world) checkEvacuation(now time.Time, r *replica, n *router, id string) {
	w.mu.Lock()
	since := w.evacuatedAt
	w.mu.Unlock()
	if r.zone != secondZone || since.IsZero() || now.Sub(since) <= evacuateTime+tolerance {
		return
	}
	if w.undisturbed(n, since, now) && r.disturbances.none(since, now) {
		w.fail("call %s reaches %s through %s %s after its data centre was evacuated", id, r.id, n.name, now.Sub(since))
	}
}
