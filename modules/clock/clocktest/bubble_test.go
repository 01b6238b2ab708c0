// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package clocktest

import (
	"context"
	"sync"
	"testing"
	"time"
)

// TestBubbleTimers fires timers of many goroutines at the same times; a bubble on all processors
// crashes in the race detector here.
func TestBubbleTimers(t *testing.T) {
	const (
		goroutines = 200
		rounds     = 300
		period     = 10 * time.Millisecond
	)
	Bubble(t, func(t *testing.T) {
		var group sync.WaitGroup
		for range goroutines {
			group.Go(func() {
				first, second := time.NewTicker(period), time.NewTicker(period)
				defer first.Stop()
				defer second.Stop()
				for range rounds {
					ctx, cancel := context.WithTimeout(t.Context(), period)
					select {
					case <-first.C:
					case <-second.C:
					case <-ctx.Done():
					}
					cancel()
				}
			})
		}
		group.Wait()
	})
}
