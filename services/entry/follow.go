// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package entry

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"fawnwinch.org/fawnwinch/modules/sleep"
	"fawnwinch.org/fawnwinch/services"
)

// follow reads a feed until ctx ends. Take gets the changes and the time before the read was sent; whole
// says that they are everything there is. Note gets the outcome of each read.
func follow[T any](ctx context.Context, f services.Feed[T], wait time.Duration, take func(asOf time.Time, changes []services.Change[T], whole bool), note func(error)) {
	var next services.Offset
	for whole := true; ctx.Err() == nil; {
		sent := time.Now()
		var changes []services.Change[T]
		var err error
		if whole {
			changes, next, err = f.Snapshot(ctx)
		} else {
			var to services.Offset
			if changes, to, err = f.Changes(ctx, next, wait); err == nil {
				next = to
			}
		}
		var trimmed services.ErrTrimmed
		if errors.As(err, &trimmed) {
			whole = true
			continue
		}
		note(err)
		if err != nil {
			sleep.For(ctx, retryPause+time.Duration(rand.Int64N(int64(retryPause)))) //nolint:gosec // no secret
			continue
		}
		take(sent, changes, whole)
		whole = false
	}
}
