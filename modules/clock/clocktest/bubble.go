// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package clocktest

import (
	"runtime"
	"sync"
	"testing"
	"testing/synctest"
)

// bubbles counts the bubbles that run and holds the number of processors to return to after the
// last of them.
var bubbles struct {
	sync.Mutex
	running    int
	processors int
}

// Bubble runs f in a bubble of testing/synctest, on one processor. All timers of a bubble share one
// context of the race detector, and Go 1.26 fires a due timer on whichever processor reads its
// channel: with two processors the detector's own stack is corrupted and the test binary crashes.
func Bubble(t *testing.T, f func(*testing.T)) {
	t.Helper()
	useOneProcessor()
	defer releaseProcessor()
	synctest.Test(t, f)
}

func useOneProcessor() {
	bubbles.Lock()
	defer bubbles.Unlock()
	bubbles.running++
	if bubbles.running == 1 {
		bubbles.processors = runtime.GOMAXPROCS(1)
	}
}

func releaseProcessor() {
	bubbles.Lock()
	defer bubbles.Unlock()
	bubbles.running--
	if bubbles.running == 0 {
		runtime.GOMAXPROCS(bubbles.processors)
	}
}
