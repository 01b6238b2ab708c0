// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package soak

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"fawnwinch.org/fawnwinch/standin/metastore"
)

const (
	// lastUnrankedSeed is the last of the seeds that were played before the model service had routes
	// of several priorities. They keep their plans.
	lastUnrankedSeed = 50
	// burstCallers is the number of callers of a burst: more than the 36 slots of the group.
	burstCallers = 48
	// firstBurstTime is the duration of the burst before all other faults.
	firstBurstTime = 3 * time.Second
	// minBurstTime is added to the drawn duration of a burst.
	minBurstTime = time.Second
	// rejectedWait is how long a burst's caller waits after a rejection. Without it, rejections
	// would take most of the processor time of the routers.
	rejectedWait = 200 * time.Millisecond
	// servedAgainTime is the time after a burst and all other faults within which a request of each
	// route must be answered.
	servedAgainTime = 5 * time.Second
)

// isRanked reports whether the model service has routes of several priorities: with every second of
// the new seeds.
func isRanked(seed uint64) bool { return seed > lastUnrankedSeed && seed%2 == 0 }

// modelKinds are the kinds of calls to the ranked model service, the most urgent first.
var modelKinds = []kind{kindUrgent, kindStream, kindBatch}

// streams reports whether calls of the kind are answered by the model service with streams.
func (k kind) streams() bool { return slices.Contains(modelKinds, k) }

// rankedRoutes returns the routes of the ranked model service. The caller holds the lock.
func (w *world) rankedRoutes() []string {
	var out []string
	for i, goal := range []int{200, 400, 1000} {
		out = append(out, fmt.Sprintf(`{"name":%q,"host":"h","pathPrefix":"/%s/","kind":"streaming","timeoutMs":4000,"targetLatencyMs":%d,"gap_aim_ms":120,"priority":%d,"service":"pool","maxAttempts":2,"streamResume":true}`,
			modelKinds[i], modelKinds[i], goal, (i+w.priorityShift)%len(modelKinds)))
	}
	return out
}

// rankedFaults are the faults that may be injected only if the model service is ranked.
var rankedFaults = []fault{
	{"a burst of the least urgent route", 10, func(w *world, rng *rand.Rand, duration time.Duration) {
		var all sync.WaitGroup
		if i := rng.IntN(len(burstCompanions) + 1); i < len(burstCompanions) {
			w.note("during the burst: %s", burstCompanions[i].name)
			all.Go(func() { burstCompanions[i].inject(w, rng, duration) })
		}
		w.burst(minBurstTime + duration)
		all.Wait()
	}},
	{"priorities change during a burst", 6, func(w *world, _ *rand.Rand, duration time.Duration) {
		var all sync.WaitGroup
		all.Go(func() { w.burst(minBurstTime + duration) })
		for range modelKinds { // the last change restores the first priorities
			pause((minBurstTime + duration) / 4)
			w.mu.Lock()
			w.priorityShift++
			w.mu.Unlock()
			w.newConfig()
		}
		all.Wait()
	}},
}

// burstCompanions are faults that are injected during a burst.
var burstCompanions = []fault{
	{"the coordinator is killed", 1, func(w *world, _ *rand.Rand, duration time.Duration) {
		w.restartAgent(w.coordinator(), duration/2)
	}},
	{"the coordinator freezes", 1, func(w *world, _ *rand.Rand, duration time.Duration) { w.coordinator().freeze(duration) }},
	{"the store does not answer", 1, func(w *world, _ *rand.Rand, duration time.Duration) {
		defer w.storeDisturbances.begin()()
		w.store.SetFault(metastore.FaultNoAnswer)
		pause(duration)
		w.store.SetFault(metastore.FaultNone)
	}},
	{"all processes are killed", 1, func(w *world, _ *rand.Rand, duration time.Duration) {
		var all sync.WaitGroup
		for _, r := range w.routers {
			all.Go(func() { w.restart(r, duration/4, func() { r.kill() }) })
		}
		for _, a := range w.agents {
			all.Go(func() { w.restartAgent(a, duration/4) })
		}
		all.Wait()
	}},
}

// restartAgent kills an agent and starts it again after a delay.
func (w *world) restartAgent(a *process, after time.Duration) {
	a.lifecycle.Lock()
	defer a.lifecycle.Unlock()
	a.kill()
	pause(after)
	a.start()
}

// coordinator returns the agent that was the last to log that it coordinates the group; the first
// agent if none has.
func (w *world) coordinator() *process {
	last, newest := w.agents[0], 0
	for _, a := range w.agents {
		raw, err := os.ReadFile(a.logs)
		if err != nil {
			w.fail("read logs: %v", err)
		}
		for line := range bytes.Lines(raw) {
			var authority int
			_, after, _ := bytes.Cut(line, []byte("authority="))
			if _, err := fmt.Sscan(string(after[:min(len(after), 20)]), &authority); err == nil && authority > newest && bytes.Contains(line, []byte("coordinator-begins")) {
				last, newest = a, authority
			}
		}
	}
	return last
}

// burst adds callers of the least urgent route for some time. Their last calls may end later.
func (w *world) burst(duration time.Duration) {
	w.mu.Lock()
	w.burstCount++
	id := w.burstCount
	w.mu.Unlock()
	until := time.Now().Add(duration)
	for n := range burstCallers {
		w.bursts.Go(func() { w.burstCaller(id, n, until) })
	}
	pause(duration)
}

// burstCaller sends calls of the least urgent route to random routers until a time.
func (w *world) burstCaller(burst, n int, until time.Time) {
	rng := w.newRand(uint64(10000 + 1000*burst + n))
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2}}
	defer client.CloseIdleConnections()
	for i := 0; time.Now().Before(until); i++ {
		c := &call{id: fmt.Sprintf("b%d-%d-%d", burst, n, i), key: "k", kind: kindBatch, path: "/" + string(kindBatch) + "/x", router: w.anyRouter(rng)}
		w.mu.Lock()
		c.start = c.router.starts
		w.calls[c.id] = c
		w.mu.Unlock()
		w.send(context.Background(), client, rng, c)
		w.checkCall(c)
		wait := time.Duration(5+rng.IntN(30)) * time.Millisecond
		if c.status != http.StatusOK {
			wait += rejectedWait
		}
		pause(wait)
	}
}

// setSize declares the size of a call in part of the calls to the ranked model service, sometimes
// with invalid values.
func (w *world) setSize(rng *rand.Rand, c *call, h http.Header) {
	if !isRanked(w.seed) || !c.kind.streams() || rng.IntN(2) == 0 {
		return
	}
	usage, hint := fmt.Sprintf("%d,%d", 50+rng.IntN(3000), 20+rng.IntN(200)), fmt.Sprint(5+rng.IntN(200))
	if rng.IntN(10) == 0 {
		usage, hint = []string{"x", "-5,-5", "99999999999999999999,0", ","}[rng.IntN(4)], "-1"
	}
	h.Set("X-Fawnwinch-Token-Usage", usage)
	h.Set("Length-Hint", hint)
}

// checkServedAgain waits until a request of each route of the ranked model service that was sent
// after the end of all faults is answered, and fails after servedAgainTime. Guards against a
// priority that stays locked out after an overload.
func (w *world) checkServedAgain(end time.Time) {
	if !isRanked(w.seed) {
		return
	}
	for missing := slices.Clone(modelKinds); len(missing) > 0; pause(20 * time.Millisecond) {
		w.mu.Lock()
		for _, c := range w.ended {
			if !c.sent.Before(end) && c.endedAt.Sub(end) <= servedAgainTime && c.status == http.StatusOK && c.err == nil {
				missing = slices.DeleteFunc(missing, func(k kind) bool { return k == c.kind })
			}
		}
		w.mu.Unlock()
		if len(missing) > 0 && time.Since(end) > servedAgainTime {
			w.fail("no request of %v is answered within %s after the end of all faults", missing, servedAgainTime)
			return
		}
	}
	w.note("a request of each route is answered %s after the end of all faults", time.Since(end).Round(time.Millisecond))
}

// logLevels logs the faults and what became of the calls of each route of the ranked model service.
func (w *world) logLevels() {
	w.t.Log("faults:\n" + strings.Join(w.events, "\n"))
	for _, k := range modelKinds {
		statuses, slowest := map[int]int{}, time.Duration(0)
		for _, c := range w.ended {
			if c.kind == k {
				statuses[c.status]++
				slowest = max(slowest, c.endedAt.Sub(c.sent))
			}
		}
		w.t.Logf("%s: calls by status %v, longest %s", k, statuses, slowest.Round(time.Millisecond))
	}
}
