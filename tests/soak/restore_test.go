// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package soak

import (
	"math/rand/v2"
	"time"

	"fawnwinch.org/fawnwinch/standin/metastore"
)

// maxRewriteDelay bounds the time after a restore of the store within which the operator and the
// replicas write the lost data again.
const maxRewriteDelay = 1500 * time.Millisecond

// restoreStore restores the store from a copy that is as old as the duration of the fault. It
// restores immediately or after an outage, once or twice, and with writes or answers in progress.
func (w *world) restoreStore(rng *rand.Rand, duration time.Duration) {
	c := w.store.Snapshot()
	pause(duration)
	defer w.storeDisturbances.begin()()
	fault := []metastore.Fault{metastore.FaultNone, metastore.FaultBusy, metastore.FaultNoAnswer, metastore.FaultSlowAnswer, metastore.FaultLateWrite}[rng.IntN(5)]
	if fault != metastore.FaultNone {
		w.store.SetFault(fault)
		pause(duration / 2)
	}
	w.store.Restore(c)
	w.store.SetFault(metastore.FaultNone)
	if rng.IntN(3) == 0 {
		pause(duration / 4)
		w.store.Restore(c)
	}
	pause(time.Duration(rng.Int64N(int64(maxRewriteDelay))))
	w.rewrite()
}

// rewrite makes the operator and the replicas write their last data again. Replicas without an
// entry remove theirs again.
func (w *world) rewrite() {
	for _, r := range w.allReplicas() {
		r.mu.Lock()
		state := r.state
		r.mu.Unlock()
		r.putEntry(state)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.store.Put(operatorStream, "config", w.newest)
	w.putEvacuation()
}
