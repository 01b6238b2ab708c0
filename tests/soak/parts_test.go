// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	// lastFirstSeed is the last of the seeds that were played before the faults from laterFaults on
	// and before callers declared the parts of their prompts. They keep their plans.
	lastFirstSeed = 300
	// laterFaults is the index of the first of those faults.
	laterFaults = 29
	// badCallers is the number of callers whose requests share a part that crashes replicas.
	badCallers = 3
	// knownCrashes is the number of crashes after which routers must know the part, and maxLateRuns
	// the number of its requests that may reach replicas later than contactTime after the last of
	// these.
	knownCrashes = 5
	maxLateRuns  = 3
	// minSoundCalls is the number of sound calls from which their fraction is checked.
	minSoundCalls = 20
	// minSoundFraction is the fraction of the sound calls with the same key and first part that must
	// be served.
	minSoundFraction = 0.5
)

// hasLaterFaults reports whether the plan of a seed has the later faults.
func hasLaterFaults(seed uint64) bool { return seed > lastFirstSeed }

// faultsOf returns the faults that the plan of a seed is drawn from.
func faultsOf(seed uint64) []fault {
	out := faults
	if !hasLaterFaults(seed) {
		out = faults[:laterFaults]
	}
	switch {
	case hasOnlyStopFaults(seed):
		return stopFaults
	case hasStopFaults(seed):
		out = append(slices.Clone(out), stopFaults...)
	}
	if isRanked(seed) {
		out = append(slices.Clone(out), rankedFaults...)
	}
	return out
}

// badPart is a part of prompts that crashes replicas.
type badPart struct {
	id string
	// crashes holds when replicas crashed.
	crashes []time.Time
	// lateRuns counts the requests that reached replicas although routers must have known the part.
	lateRuns int
	// endedAt is when callers stopped sending requests with it.
	endedAt time.Time
}

// firstPart is a part that the prompts of all calls share.
const firstPart = "f1f1f1f1"

// setParts declares the parts of a call's prompt.
func (w *world) setParts(rng *rand.Rand, c *call, h http.Header) {
	if !hasLaterFaults(w.seed) {
		return
	}
	middle := c.bad
	if middle == "" {
		middle = fmt.Sprintf("50bd%04x", rng.IntN(6))
	}
	h.Set("X-Fawnwinch-Prompt-Prefix-Hash", fmt.Sprintf("%s:40,%s:200,%08x:%d", firstPart, middle, rng.Uint32(), 1+rng.IntN(900)))
}

// sendBadParts has callers send requests that share a part which crashes every replica that runs
// them, for long enough that routers must refuse them.
func (w *world) sendBadParts(rng *rand.Rand, duration time.Duration) {
	w.mu.Lock()
	b := &badPart{id: fmt.Sprintf("bad%05x", len(w.badParts))}
	w.badParts[b.id] = b
	w.mu.Unlock()
	interval := time.Duration(50+rng.IntN(400)) * time.Millisecond
	until := time.Now().Add(3*contactTime + duration)
	var all sync.WaitGroup
	for n := range badCallers {
		own := rand.New(rand.NewPCG(rng.Uint64(), uint64(n)))
		all.Go(func() { w.badCaller(own, b, n, interval, until) })
	}
	all.Wait()
	w.mu.Lock()
	defer w.mu.Unlock()
	b.endedAt = time.Now()
}

// badCaller sends requests with a bad part to random routers until a time.
func (w *world) badCaller(rng *rand.Rand, b *badPart, n int, interval time.Duration, until time.Time) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2}}
	defer client.CloseIdleConnections()
	for i := 0; time.Now().Before(until); i++ {
		c := &call{id: fmt.Sprintf("%s-%d-%d", b.id, n, i), key: "k", kind: kindSafe, bad: b.id, router: w.anyRouter(rng)}
		if rng.IntN(2) == 0 {
			c.kind = kindUnsafe
		}
		c.path = "/" + string(c.kind) + "/x"
		w.mu.Lock()
		c.start = c.router.starts
		w.calls[c.id] = c
		w.mu.Unlock()
		w.send(context.Background(), client, rng, c)
		w.checkCall(c)
		pause(interval)
	}
}

// crashOn ends a replica if the request that it runs has a part that crashes it, starts another one
// later, and reports whether it did.
func (w *world) crashOn(r *replica, id string) bool {
	now := time.Now()
	w.mu.Lock()
	c := w.calls[id]
	b, ok := w.badParts[c.bad]
	if !ok {
		w.mu.Unlock()
		return false
	}
	if len(b.crashes) >= knownCrashes && now.Sub(b.crashes[knownCrashes-1]) > contactTime+tolerance && w.undisturbed(c.router, c.sent, now) {
		b.lateRuns++
	}
	lateRuns := b.lateRuns
	w.mu.Unlock()
	if lateRuns > maxLateRuns {
		w.fail("call %s reaches %s through %s: request %d with part %s that comes later than %s after it had ended %d replicas", id, r.id, c.router.name, lateRuns, b.id, contactTime, knownCrashes)
	}
	r.mu.Lock()
	ended := r.ended
	r.ended = true
	r.mu.Unlock()
	if ended {
		return true
	}
	w.mu.Lock()
	b.crashes = append(b.crashes, now)
	w.mu.Unlock()
	w.note("%s crashes under call %s", r.id, id)
	done := r.disturbances.begin()
	r.crash()
	r.proxy.Stop() // the address of a process that has ended refuses connections
	go func() {
		pause(time.Duration(300+r.draw(700)) * time.Millisecond)
		w.newReplica(r.service, nil)
		r.setState("")
		done()
	}()
	return true
}

// checkParts checks that sound calls were served while routers had to refuse those with a bad part.
func (w *world) checkParts() {
	for _, b := range w.badParts {
		w.t.Logf("%s has ended %d replicas, %d of its requests came late", b.id, len(b.crashes), b.lateRuns)
		if len(b.crashes) == 0 {
			continue
		}
		from := b.crashes[min(knownCrashes, len(b.crashes))-1].Add(2 * contactTime)
		all, served := 0, 0
		for _, c := range w.ended {
			if c.sent.Before(from) || c.endedAt.After(b.endedAt) || c.bad != "" || c.kind.streams() || c.kind == kindProbe || c.leavesEarly || c.keyVersion > 0 {
				continue
			}
			if !w.undisturbed(c.router, c.sent, c.endedAt) || !w.replicasUndisturbed(c.sent, c.endedAt) {
				continue
			}
			if all++; c.status == http.StatusOK && c.err == nil {
				served++
			}
		}
		if all >= minSoundCalls && float64(served) < minSoundFraction*float64(all) {
			w.fail("%d of %d sound calls were served while those with part %s had to be refused", served, all, b.id)
		}
	}
}
