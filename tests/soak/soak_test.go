// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package soak

import (
	"context"
	"os"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	// recoveryTime is the time after the last fault in which the system may recover, and
	// observedTime the time after that in which it must serve.
	recoveryTime = 6 * time.Second
	observedTime = 4 * time.Second
	// startTime bounds the time until routers accept callers.
	startTime = 30 * time.Second
)

// TestSoak plays a plan of faults.
//
//	go test ./tests/soak -run TestSoak -args -seed 7 -for 60s
func TestSoak(t *testing.T) {
	t.Parallel()
	play(t, *seedFlag, *forFlag, *sizeFlag, faultsOf(*seedFlag))
}

// TestSoakRegressions replays plans that have found a fault.
func TestSoakRegressions(t *testing.T) {
	cases := map[string]struct {
		seed     uint64
		duration time.Duration
		routers  int
		faults   []fault
	}{
		"seeds were read while a SIGHUP replaced them": {5, 40 * time.Second, 3, faults[:firstFaults]},
		"prompts shared a part that crashed replicas":  {301, 40 * time.Second, 3, faultsOf(301)},
		"all routers left, and requests were cut":      {417, 45 * time.Second, 3, faultsOf(417)},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			play(t, c.seed, c.duration, c.routers, c.faults)
		})
	}
}

func play(t *testing.T, seed uint64, duration time.Duration, routers int, plan []fault) {
	w := newWorld(t, seed, routers)
	w.faults = plan
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	begin, stop := context.WithTimeout(ctx, startTime)
	w.ready(begin)
	stop()
	var callers sync.WaitGroup
	for n := range callerCount {
		callers.Go(func() { w.caller(ctx, n) })
	}
	until := time.Now().Add(duration - recoveryTime - observedTime)
	if isRanked(seed) {
		w.burst(firstBurstTime)
		w.checkServedAgain(time.Now())
	}
	w.injectFaults(ctx, until)
	end := time.Now()
	w.checkServedAgain(end)
	pause(time.Until(end.Add(recoveryTime)))
	quietSince := time.Now()
	pause(observedTime)
	cancel()
	callers.Wait()
	w.bursts.Wait()
	w.checkFinal(quietSince)
	w.report()
}

// report reports the broken guarantees with the plan and the path of the logs, which are removed if
// there are none.
func (w *world) report() {
	w.checkLogs()
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.failures) == 0 {
		_ = os.RemoveAll(w.dir)
		return
	}
	w.t.Errorf("seed %d: %d promises broken, logs in %s\n%s\nfaults:\n%s", w.seed, len(w.failures), w.dir, strings.Join(w.failures[:min(len(w.failures), 40)], "\n"), strings.Join(w.events, "\n"))
}

// checkLogs searches the logs of the processes for races and panics.
func (w *world) checkLogs() {
	entries, err := os.ReadDir(w.dir)
	if err != nil {
		w.fail("read logs: %v", err)
		return
	}
	for _, e := range entries {
		if !strings.HasSuffix(e.Name(), ".log") {
			continue
		}
		raw, err := os.ReadFile(w.dir + "/" + e.Name())
		if err != nil {
			w.fail("read logs: %v", err)
		}
		for _, bad := range []string{"DATA RACE", "panic: ", "fatal error: "} {
			if strings.Contains(string(raw), bad) {
				w.fail("%s contains %q", e.Name(), bad)
			}
		}
	}
}
