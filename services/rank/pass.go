// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package rank

import (
	"time"

	"fawnwinch.org/fawnwinch/models/group"
)

// passTime is the mean time of a group's passes, as it is seen from their numbers. The zero value is ready.
type passTime struct {
	mean time.Duration
	step group.Step
	at   time.Time
}

const (
	// passKeep is the weight of the past in the mean.
	passKeep = 0.7
	// longestPass bounds what counts as a pass: a group without requests makes none.
	longestPass = time.Second
)

// note takes in the number of the latest pass.
func (p *passTime) note(now time.Time, step group.Step) {
	if step <= p.step {
		return
	}
	took := now.Sub(p.at) / time.Duration(step-p.step) //nolint:gosec // steps are few
	if !p.at.IsZero() && took < longestPass {
		if p.mean == 0 {
			p.mean = took
		}
		p.mean = time.Duration(passKeep*float64(p.mean) + (1-passKeep)*float64(took))
	}
	p.step, p.at = step, now
}
