// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch

import (
	"context"
	"errors"
	"time"

	"fawnwinch.org/fawnwinch/models/request"
	"fawnwinch.org/fawnwinch/modules/clock"
	"fawnwinch.org/fawnwinch/services/directory"
	"fawnwinch.org/fawnwinch/services/membership"
	"fawnwinch.org/fawnwinch/services/once"
)

const (
	// ownerPause is the time between two looks for the owner of a slice.
	ownerPause = 60 * time.Millisecond
	// ownerPatience is how long a request waits for a slice to change hands before it is given up.
	ownerPatience = 6 * time.Second
)

// doOnce carries a request that may not be repeated to the owner of its key. While it is sure that
// the key has not run for this request it tries again at whoever owns the slice; after an attempt
// that broke off it only asks what became of it.
func (d *Dispatcher) doOnce(ctx context.Context, r *Request) Result {
	slice := request.SliceOf(r.Account, r.Key, once.Slices)
	last := Result{Outcome: request.OutcomeNotRun, Reason: ReasonNoOwner}
	ask := false
	giveUp := clock.Now().Add(ownerPatience)
	for n := 1; ctx.Err() == nil && clock.Now().Before(giveUp); n++ {
		own, err := d.dir.Owner(clock.Now(), r.Service.ID, slice, once.NewKeyID(r.Account, r.Key))
		if errors.Is(err, directory.ErrLogOut) {
			// No slice changes hands while the log is out: waiting is no use.
			return late(last, ask)
		}
		if err != nil {
			pause(ctx, ownerPause)
			continue
		}
		end := d.attemptOnce(ctx, own.Entry, r, attemptOptions{once: true, slice: slice, epoch: own.Epoch, ask: ask, logAge: own.LogAge})
		last = end.result(n, own.Entry)
		if own.NoVoucher && !ask && end.reason == once.ReasonJournalWait {
			// Another router may be able to vouch for the outage; this one will not be before it ends.
			return last
		}
		switch next := judgeOnce(end, ask); next {
		case onceFinal:
			return last
		case onceAgain:
			ask = false
		case onceAsk:
			ask = true
		}
		pause(ctx, ownerPause)
	}
	return late(last, ask)
}

func (d *Dispatcher) attemptOnce(ctx context.Context, e membership.Entry, r *Request, o attemptOptions) attemptEnd {
	end := d.attempt(ctx, e, r, o)
	d.trace(r, e, end)
	return end
}

// late is the answer when the time of a request is over.
func late(last Result, ask bool) Result {
	if ask {
		last.Outcome, last.Reason = request.OutcomeUnknown, ReasonDeadline
		return last
	}
	if last.Outcome != request.OutcomeUnknown {
		last.Outcome = request.OutcomeNotRun
	}
	return last
}

// onceStep is what to do after one attempt.
type onceStep string

const (
	onceFinal onceStep = "final"
	onceAgain onceStep = "again"
	onceAsk   onceStep = "ask"
)

// judgeOnce decides what follows an attempt. Asked says that the attempt was itself a question
// about an earlier one that broke off.
func judgeOnce(end attemptEnd, asked bool) onceStep {
	switch end.kind {
	case kindAnswered:
		return onceFinal
	case kindCut, kindGone:
		return onceAsk
	case kindNotSent:
		if asked {
			return onceAsk
		}
		return onceAgain
	case kindUnknown:
		if asked && end.reason == once.ReasonNotOwner {
			return onceAsk
		}
		return onceFinal
	case kindNotRun:
	}
	switch end.reason {
	case once.ReasonNotOwner, once.ReasonMoving, once.ReasonJournalWait:
		if asked {
			return onceAsk
		}
		return onceAgain
	default:
		return onceFinal
	}
}
