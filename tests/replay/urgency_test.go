// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package replay

import (
	"testing"
	"time"

	"fawnwinch.org/fawnwinch/models/catalog"
	"fawnwinch.org/fawnwinch/models/urgency"
)

// contendedParams are the engine's figures of the contended deployment in
// docs/design/overload.md.
var contendedParams = &catalog.Engine{
	Slots: 10, Stride: 6, StepMillis: 5.85, WriterMillis: 0.426, ContextMillis: 0.0432, ReadPerSecond: 61_200, Chunk: 512, UsualPrompt: 868, UsualAnswer: 139,
	Layers: 16, Experts: 96, Places: 5, ExpertShare: 0.85, FormTime: 600 * time.Millisecond,
}

const (
	// contendedLoad is the usual load as a fraction of what can be carried.
	contendedLoad = 0.9
	// contendedEvents is the mean number of events of an answer of 139 tokens.
	contendedEvents = 23
	// recoveryLimit is the time after the end of an overload from which new requests are in time, at
	// least minInTime of them in each span of inTimeSpan.
	recoveryLimit = 2 * time.Second
	inTimeSpan    = 500 * time.Millisecond
	minInTime     = 0.9
	// minUrgentCredit is the fraction of the credit that the urgent kind earns in a burst of batch.
	minUrgentCredit = 0.85
	// minServedRatio is the smallest ratio of the served fraction of a kind to that of all.
	minServedRatio = 0.25
)

// contendedSkew is the skew of a map whose demand shifts every 3.7 s, until the map follows.
func contendedSkew(at time.Duration) float64 {
	const every, follows = 3700 * time.Millisecond, 400 * time.Millisecond
	if at >= every && at%every < follows {
		return 3
	}
	return 1.5
}

// burst returns the factor of a burst between two times in seconds.
func burst(factor, from, to float64) func(time.Duration) float64 {
	return func(at time.Duration) float64 { return 1 + (factor-1)*within(at, from, to) }
}

// contendedKinds returns the kinds of the contended deployment.
func contendedKinds() (urgent, middle, batch *kind) {
	const pauseGoal = 120 * time.Millisecond
	urgent = &kind{name: "urgent", level: 0, goal: 400 * time.Millisecond, pauseGoal: pauseGoal, share: 0.36, value: 3.5}
	middle = &kind{name: "middle", level: 1, goal: 400 * time.Millisecond, pauseGoal: pauseGoal, share: 0.16, value: 1.8}
	batch = &kind{name: "batch", level: 2, goal: time.Second, pauseGoal: pauseGoal, share: 0.48, value: 0.92}
	return urgent, middle, batch
}

// overload is a load on the contended deployment, and the time from its start to its end.
type overload struct {
	kinds     []*kind
	from, to  time.Duration
	incidents map[time.Duration]func(*world)
	// minUrgent is the credit that the most urgent kind earns at least; 0 if not stated.
	minUrgent float64
}

// overloads returns the load patterns of docs/design/overload.md, part 2, without that of batch
// alone.
func overloads() map[string]overload {
	const from, to = 4, 10
	withBurst := func() []*kind {
		urgent, middle, batch := contendedKinds()
		batch.factor = burst(2.3, from, to)
		return []*kind{urgent, middle, batch}
	}
	urgentBurst := func() []*kind {
		urgent, middle, batch := contendedKinds()
		urgent.factor = burst(1.8, from, from+3.5)
		return []*kind{urgent, middle, batch}
	}
	insistent := func() []*kind {
		kinds := withBurst()
		account := *kinds[2]
		account.name, account.insistent = "insistent", true
		account.share, kinds[2].share = kinds[2].share/3, kinds[2].share*2/3
		return append(kinds, &account)
	}
	return map[string]overload{
		"burst of batch":  {kinds: withBurst(), from: from * time.Second, to: to * time.Second, minUrgent: minUrgentCredit},
		"burst of urgent": {kinds: urgentBurst(), from: from * time.Second, to: from*time.Second + 3500*time.Millisecond},
		"one group lost in the burst": {
			kinds: withBurst(), from: from * time.Second, to: to * time.Second,
			incidents: map[time.Duration]func(*world){6 * time.Second: breakGroup(2), 9 * time.Second: formGroup(2)},
		},
		"the coordinator lost in the burst": {
			kinds: withBurst(), from: from * time.Second, to: to * time.Second,
			incidents: map[time.Duration]func(*world){6 * time.Second: loseCoordinator(0), 8 * time.Second: replaceCoordinator(0)},
		},
		"one account that retries without waiting": {kinds: insistent(), from: from * time.Second, to: to * time.Second},
	}
}

func (o overload) pattern(seed uint64) pattern {
	return pattern{
		routers: 33, ranks: 72, groups: 3, params: contendedParams, queue: 2 * contendedParams.Slots, rate: steady(contendedLoad), skew: contendedSkew, pace: usualPace,
		reportAge: 50 * time.Millisecond, duration: o.to + 6*time.Second, seed: seed, kinds: o.kinds, events: contendedEvents, incidents: o.incidents,
	}
}

// kindResult is the outcome of the callers of a kind.
type kindResult struct {
	callers, served, inTime int
	// credit is the fraction of the possible credit that was earned.
	credit float64
}

func (r kindResult) part(n int) float64 { return float64(n) / float64(max(r.callers, 1)) }

// resultOf returns the outcome of the callers of a kind, or of all if it is nil, that first tried
// between two times.
func resultOf(worlds []*world, k *kind, from, to time.Duration) kindResult {
	r := kindResult{}
	earned, possible := 0.0, 0.0
	for _, w := range worlds {
		for _, c := range w.callers {
			if at := c.arrived.Sub(w.begin); at < from || at >= to || k != nil && c.kind != k {
				continue
			}
			r.callers++
			if c.served {
				r.served++
			}
			if c.inTime {
				r.inTime++
			}
			earned += c.credit
			possible += c.kind.value
		}
	}
	r.credit = earned / max(possible, 1e-9)
	return r
}

// TestUrgency guards against urgent requests that are late or rejected because of less urgent ones
// in a shortage, against kinds that starve, and against an overload that lasts longer than its
// cause. The aims are those of docs/design/overload.md, part 2.
func TestUrgency(t *testing.T) {
	for name, o := range overloads() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			checkAims(t, o)
		})
	}
}

// TestBatchAlone guards against a limit of the least urgent level that is too low for the usual
// load if no other requests arrive.
func TestBatchAlone(t *testing.T) {
	t.Parallel()
	urgent, middle, batch := contendedKinds()
	urgent.share, middle.share, batch.share = 0, 0, 1
	checkAims(t, overload{kinds: []*kind{urgent, middle, batch}, from: 0, to: 4 * time.Second})
}

// checkAims plays a load with several seeds and checks the outcome.
func checkAims(t *testing.T, o overload) {
	t.Helper()
	var worlds []*world
	for seed := range uint64(benchSeeds) {
		worlds = append(worlds, playWorld(o.pattern(seed), nil))
	}
	checkOverload(t, o, worlds)
	checkInTimeAgain(t, o, worlds)
}

// checkOverload checks the outcome of the kinds during an overload.
func checkOverload(t *testing.T, o overload, worlds []*world) {
	t.Helper()
	all := resultOf(worlds, nil, o.from, o.to)
	credits := map[urgency.Level]float64{}
	for i, k := range o.kinds {
		r := resultOf(worlds, k, o.from, o.to)
		if r.callers == 0 {
			continue
		}
		t.Logf("%s: %d callers, served %.3f, in time %.3f, credit %.3f", k.name, r.callers, r.part(r.served), r.part(r.inTime), r.credit)
		if i == 0 && r.credit < o.minUrgent {
			t.Errorf("%s: credit %.3f, want %.2f", k.name, r.credit, o.minUrgent)
		}
		for l, credit := range credits {
			if l < k.level && r.credit > credit {
				t.Errorf("%s: credit %.3f, kinds of level %d have %.3f", k.name, r.credit, l, credit)
			}
		}
		if _, ok := credits[k.level]; !ok {
			credits[k.level] = r.credit
		}
		if r.part(r.served) < minServedRatio*all.part(all.served) {
			t.Errorf("%s: served %.3f, want a quarter of %.3f", k.name, r.part(r.served), all.part(all.served))
		}
	}
}

// checkInTimeAgain checks that new requests are in time again after an overload.
func checkInTimeAgain(t *testing.T, o overload, worlds []*world) {
	t.Helper()
	for from := o.to + recoveryLimit; from < worlds[0].p.duration; from += inTimeSpan {
		for _, k := range o.kinds {
			if r := resultOf(worlds, k, from, from+inTimeSpan); r.callers > 0 && r.part(r.inTime) < minInTime {
				t.Errorf("%s: %.3f of %d new requests are in time from %s on, want %.2f", k.name, r.part(r.inTime), r.callers, from, minInTime)
			}
		}
	}
}
