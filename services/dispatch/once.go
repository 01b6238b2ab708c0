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
	// ownerRetryInterval is the time between two attempts to find the owner of a slice.
	ownerRetryInterval = 60 * time.Millisecond
	// ownerTimeout is how long a request waits for a slice to change hands before it is aborted.
	ownerTimeout = 6 * time.Second
)

// doOnce forwards a request that may not be repeated to the owner of its key. While it is certain
// that the key has not run for this request, it retries at the current owner of the slice. After an
// attempt that broke off it only queries the outcome of that attempt.
func (d *Dispatcher) doOnce(ctx context.Context, r *Request) Result {
	slice := request.KeySliceOf(r.Account, r.Key, once.Slices)
	last := Result{Outcome: request.OutcomeNotRun, Reason: ReasonNoOwner}
	ask := false
	deadline := clock.Now().Add(ownerTimeout)
	for n := 1; ctx.Err() == nil && clock.Now().Before(deadline); n++ {
		owner, err := d.dir.Owner(clock.Now(), r.Service.ID, slice, once.NewKeyID(r.Account, r.Key))
		if errors.Is(err, directory.ErrLogUnreachable) {
			// No slice changes hands while the log is unreachable: waiting cannot help.
			return late(last, ask)
		}
		if err != nil {
			pause(ctx, ownerRetryInterval)
			continue
		}
		end := d.attemptOnce(ctx, owner.Entry, r, attemptOptions{once: true, slice: slice, epoch: owner.Epoch, ask: ask, logAge: owner.LogAge})
		last = end.result(n, owner.Entry)
		if owner.NoVoucher && !ask && end.reason == once.ReasonJournalWait {
			// Another router may be able to confirm the outage; this one cannot before the outage
			// ends.
			return last
		}
		switch next := judgeOnce(end, ask); next {
		case onceFinal:
			return last
		case onceRetry:
			ask = false
		case onceAsk:
			ask = true
		}
		pause(ctx, ownerRetryInterval)
	}
	return late(last, ask)
}

func (d *Dispatcher) attemptOnce(ctx context.Context, e membership.Entry, r *Request, o attemptOptions) attemptEnd {
	end := d.attempt(ctx, e, r, o)
	d.trace(r, e, end)
	return end
}

// late returns the answer to a request whose deadline has passed.
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

// onceStep is the action after one attempt.
type onceStep string

const (
	onceFinal onceStep = "final"
	onceRetry onceStep = "again"
	onceAsk   onceStep = "ask"
)

// judgeOnce decides the action after an attempt. Asked reports whether the attempt was itself a
// query for the outcome of an earlier one that broke off.
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
		return onceRetry
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
		return onceRetry
	default:
		return onceFinal
	}
}
