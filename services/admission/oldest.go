// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package admission

import "time"

// Oldest returns how long the oldest waiting request has waited since it arrived; 0 if none waits.
func (q *Queue) Oldest(now time.Time) time.Duration {
	oldest := time.Duration(0)
	for _, x := range q.waiting {
		oldest = max(oldest, now.Sub(x.Arrived))
	}
	return oldest
}
