// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package relay

import "time"

// StartLeaving records when the process was ordered to stop.
func (r *Relay) StartLeaving(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leaving = now
}

// MarkStopped records that the process closes the connections of callers now, whether they have
// requests in flight or not.
func (r *Relay) MarkStopped() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stopped = true
}

// disconnectReason returns why the connection of a caller was lost: the caller has closed it, unless
// this process has.
func (x *exchange) disconnectReason() Reason {
	x.r.mu.Lock()
	defer x.r.mu.Unlock()
	if x.r.stopped {
		return ReasonStopped
	}
	return ReasonCallerDisconnected
}

// Accepted returns the number of requests that have arrived since the process started.
func (r *Relay) Accepted() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.accepted
}
