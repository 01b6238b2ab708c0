// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package replay

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"fawnwinch.org/fawnwinch/models/catalog"
	"fawnwinch.org/fawnwinch/services/balance"
)

// slotsEngine describes the groups of the contended deployment: many slots per rank, and passes
// whose length depends little on the number of streams.
var slotsEngine = &catalog.Engine{
	Slots: 10, Stride: 6, StepMillis: 5.85, WriterMillis: 0.426, ContextMillis: 0.0432, ReadPerSecond: 61_200, Chunk: 512, UsualPrompt: 868, UsualAnswer: 139,
	Layers: 16, Experts: 96, Places: 5, ExpertShare: 0.85, FormTime: 600 * time.Millisecond,
}

const (
	// opening is when groups open in a power failure: routers are back 1 s after the failure, which
	// is time 0 of the replay, and groups 1 s later.
	opening = time.Second
	// mapDelay is the time after the opening in which the skew is that of the first map.
	mapDelay = 500 * time.Millisecond
	// measureDelay is the time after the opening in which coordinators assume the skew of a first
	// map, as they have not measured it yet.
	measureDelay = 1600 * time.Millisecond
	// recoverySpan is the length of the spans of arrival in which the share in time is measured.
	recoverySpan = 500 * time.Millisecond
	// recoveryDuration is how long new callers arrive, which is until the end of the last span.
	recoveryDuration = opening + 5*time.Second
)

// deployment is the size of a deployment and the figures of its engine.
type deployment struct {
	groups, ranks, routers int
	params                 *catalog.Engine
	goal, pauseGoal        time.Duration
}

var recoveryDeployments = map[string]deployment{
	"one group of 63":    {1, 63, 70, engineParams, goal, pauseGoal},
	"three groups of 24": {3, 72, 33, slotsEngine, 400 * time.Millisecond, 120 * time.Millisecond},
}

// powerFailure returns the load after a power failure. The callers of the second without routers
// retry in the first second, half of them for the last time.
func (d deployment) powerFailure(load float64, seed uint64) pattern {
	p := pattern{
		groups: d.groups,
		rate:   func(at time.Duration) float64 { return load * (1 + within(at, 0, 1)) },
		skew:   func(at time.Duration) float64 { return 1.4 + 1.8*within(at, 0, (opening+mapDelay).Seconds()) }, pace: usualPace,
		assumedSkew: func(at time.Duration) float64 {
			return 1.4 + (balance.InitialMapSkew-1.4)*within(at, 0, (opening+measureDelay).Seconds())
		},
		closed: func(at time.Duration) bool { return at < opening }, ledFrom: 600 * time.Millisecond,
		retriedFraction: func(at time.Duration) float64 { return 0.5 * within(at, 0, 1) },
		goal:            d.goal, pauseGoal: d.pauseGoal,
	}.with(d.routers, d.ranks, 70*time.Millisecond, seed)
	p.params, p.queue, p.duration = d.params, 2*d.params.Slots, recoveryDuration
	return p
}

// arrivals counts the callers that arrived in a span, and those of them that were answered in time,
// or in time after their retry.
type arrivals struct{ callers, inTime, afterRetry int }

// inTime reports whether a caller's answer met both goals, counted from the last arrival of its
// request at a router, and whether that was its first.
func (w *world) inTime(c *caller) (met, firstTry bool) {
	goal, pauseGoal := w.p.goals()
	if c.latest.IsZero() || c.stream == nil || c.stream.remaining > 0 || c.pause > pauseGoal {
		return false, false
	}
	return c.arrived.Add(c.first).Sub(c.tried) <= goal, c.first <= goal
}

// spans counts the callers by their arrival after the opening, up to 5 s.
func (w *world) spans() [10]arrivals {
	var out [10]arrivals
	for _, c := range w.callers {
		since := c.arrived.Sub(w.begin) - opening
		if since < 0 || since >= time.Duration(len(out))*recoverySpan {
			continue
		}
		s := &out[since/recoverySpan]
		s.callers++
		switch met, first := w.inTime(c); {
		case first:
			s.inTime++
		case met:
			s.afterRetry++
		}
	}
	return out
}

// recovery is the sum of some replays of a power failure.
type recovery struct {
	spans         [10]arrivals
	callers, lost int
	// inTime counts the callers that were answered in time, also after a retry, and late the others
	// that were answered.
	inTime, late int
}

// add adds the callers of a replay.
func (r *recovery) add(w *world) {
	for i, s := range w.spans() {
		r.spans[i].callers += s.callers
		r.spans[i].inTime += s.inTime
		r.spans[i].afterRetry += s.afterRetry
	}
	met := 0
	for _, c := range w.callers {
		if ok, _ := w.inTime(c); ok {
			met++
		}
	}
	r.callers, r.lost, r.inTime = r.callers+len(w.callers), r.lost+w.res.lost, r.inTime+met
	r.late += len(w.callers) - w.res.lost - met
}

// share returns the share in time of the callers that arrived from a time after the opening on.
func (r *recovery) share(from time.Duration) float64 {
	callers, inTime := 0, 0
	for _, s := range r.spans[from/recoverySpan:] {
		callers, inTime = callers+s.callers, inTime+s.inTime
	}
	return float64(inTime) / float64(callers)
}

func (r *recovery) String() string {
	var b strings.Builder
	for _, s := range r.spans[1:] {
		fmt.Fprintf(&b, " %.2f", float64(s.inTime)/float64(s.callers))
	}
	return fmt.Sprintf("in time by arrival from 0.5 s after the opening on:%s; of %d callers %d in time, %d late, %d lost", b.String(), r.callers, r.inTime, r.late, r.lost)
}

const (
	// recoveredAfter is the time after the opening from which callers must be in time again, and
	// recoveredShare the share of them.
	recoveredAfter = 2 * time.Second
	recoveredShare = 0.9
	// recoveryLoad is the load at which that is the aim.
	recoveryLoad = 0.9
	// recoverySeeds is the number of seeds with which the aim is checked.
	recoverySeeds = 2
)

// TestCatchUp replays a power failure with and without the catch-up of coordinators. Without it, the
// slots of groups fill within 1.6 s, and callers wait meanwhile. With it, not fewer callers may be in
// time, and no more may be lost, but for one in a hundred.
func TestCatchUp(t *testing.T) {
	for name, d := range recoveryDeployments {
		for _, load := range []float64{0.75, recoveryLoad, 1} {
			t.Run(fmt.Sprintf("%s, load %.2f", name, load), func(t *testing.T) {
				t.Parallel()
				var usual, own recovery
				p := d.powerFailure(load, 0)
				own.add(playWorld(p, nil))
				p.withoutCatchUp = true
				usual.add(playWorld(p, nil))
				t.Logf("%s", &own)
				t.Logf("without catch-up: %s", &usual)
				if slack := own.callers / 100; own.inTime < usual.inTime-slack || own.lost > usual.lost+slack {
					t.Errorf("%d in time and %d lost, without catch-up %d and %d", own.inTime, own.lost, usual.inTime, usual.lost)
				}
			})
		}
	}
}

// TestRecoveryOneGroup checks the aim for a group of 63 ranks.
func TestRecoveryOneGroup(t *testing.T) { checkRecovery(t, "one group of 63") }

// TestRecoveryThreeGroups checks the aim for three groups of 24 ranks.
func TestRecoveryThreeGroups(t *testing.T) { checkRecovery(t, "three groups of 24") }

// checkRecovery replays a power failure. When callers of the outage returned together and groups
// filled slowly, callers were late for 4 to 6 s after the groups worked again. Those who arrive 2 s
// or more after the opening must be in time.
func checkRecovery(t *testing.T, deployment string) {
	t.Helper()
	var r recovery
	for seed := range uint64(recoverySeeds) {
		r.add(playWorld(recoveryDeployments[deployment].powerFailure(recoveryLoad, seed), nil))
	}
	t.Logf("%s", &r)
	if got := r.share(recoveredAfter); got < recoveredShare {
		t.Errorf("%.2f of the callers from %s after the opening on are in time, want %.2f", got, recoveredAfter, recoveredShare)
	}
}

// BenchmarkOrder logs the outcome of power failures and of two overloads at the sizes of both
// deployments, to compare orders of waiting requests in package admission.
func BenchmarkOrder(b *testing.B) {
	for name, d := range recoveryDeployments {
		loads := map[string]func(seed uint64) pattern{}
		for _, load := range []float64{0.75, 0.9, 1} {
			loads[fmt.Sprintf("power failure, load %.2f", load)] = func(seed uint64) pattern { return d.powerFailure(load, seed) }
		}
		for _, overload := range []string{"more than the group can do", "a burst of 1.7"} {
			loads[overload] = func(seed uint64) pattern {
				p := patterns[overload].with(d.routers, d.ranks, 70*time.Millisecond, seed)
				p.groups, p.params, p.queue, p.goal, p.pauseGoal = d.groups, d.params, 2*d.params.Slots, d.goal, d.pauseGoal
				return p
			}
		}
		for load, p := range loads {
			b.Run(name+"/"+load, func(b *testing.B) {
				var r recovery
				for seed := range uint64(benchSeeds) {
					r.add(playWorld(p(seed), nil))
				}
				b.Logf("%s", &r)
			})
		}
	}
}
