// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package soak

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"fawnwinch.org/fawnwinch/standin/metastore"
	"fawnwinch.org/fawnwinch/standin/rankgroup"

	"github.com/Shopify/toxiproxy/v2"
)

// fault is a fault that is injected for some time.
type fault struct {
	name string
	// weight is the relative frequency with which the fault is drawn.
	weight int
	inject func(w *world, rng *rand.Rand, duration time.Duration)
}

// pause sleeps for the duration of a fault.
func pause(d time.Duration) { time.Sleep(d) }

func (w *world) anyRouter(rng *rand.Rand) *router { return w.routers[rng.IntN(len(w.routers))] }

// anyReplica returns a random running replica; with plain set, only one of a plain service.
func (w *world) anyReplica(rng *rand.Rand, plain bool) *replica {
	for ; ; pause(20 * time.Millisecond) {
		var out []*replica
		for _, r := range w.allReplicas() {
			r.mu.Lock()
			if !r.ended && r.draining.IsZero() && (!plain || r.engine == nil) {
				out = append(out, r)
			}
			r.mu.Unlock()
		}
		if len(out) > 0 {
			return out[rng.IntN(len(out))]
		}
	}
}

// faults are the faults that may be injected.
var faults = []fault{
	{"a router is killed", 3, func(w *world, rng *rand.Rand, duration time.Duration) {
		r := w.anyRouter(rng)
		w.restart(r, duration, func() { r.kill() })
	}},
	{"a router freezes", 3, func(w *world, rng *rand.Rand, duration time.Duration) {
		w.anyRouter(rng).freeze(duration)
	}},
	{"a router is stopped as planned", 3, func(w *world, rng *rand.Rand, _ time.Duration) {
		w.stopRouter(w.anyRouter(rng), false)
	}},
	{"all routers are killed", 1, func(w *world, _ *rand.Rand, duration time.Duration) { w.restartAll(duration / 4) }},
	{"settings change", 2, func(w *world, rng *rand.Rand, _ time.Duration) { w.anyRouter(rng).hup() }},
	{"an agent is killed", 2, func(w *world, rng *rand.Rand, duration time.Duration) {
		w.restartAgent(w.agents[rng.IntN(len(w.agents))], duration/2)
	}},
	{"an agent freezes", 2, func(w *world, rng *rand.Rand, duration time.Duration) {
		w.agents[rng.IntN(len(w.agents))].freeze(duration)
	}},
	{"orders are lost and carried out late while demand shifts", 4, func(w *world, rng *rand.Rand, duration time.Duration) {
		w.group.SetFaults(rankgroup.Faults{Lost: 0.4, Late: duration / 2})
		for end := time.Now().Add(2 * duration); time.Now().Before(end); pause(demandShiftInterval) {
			w.group.SetHotExpert(rng.IntN(12))
		}
		w.group.SetFaults(rankgroup.Faults{})
	}},
	{"demand shifts", 4, func(w *world, rng *rand.Rand, _ time.Duration) { w.group.SetHotExpert(rng.IntN(12)) }},
	{"the store is in trouble", 3, func(w *world, rng *rand.Rand, duration time.Duration) {
		defer w.storeDisturbances.begin()()
		w.store.SetFault([]metastore.Fault{metastore.FaultBusy, metastore.FaultNoAnswer, metastore.FaultAnswerLost}[rng.IntN(3)])
		pause(duration)
		w.store.SetFault(metastore.FaultNone)
	}},
	{"the store trims its streams", 1, func(w *world, _ *rand.Rand, _ time.Duration) {
		w.store.Trim(operatorStream)
		w.store.Trim(replicaStream)
	}},
	{"a router is cut from the store", 2, func(w *world, rng *rand.Rand, duration time.Duration) {
		r := w.anyRouter(rng)
		defer r.disturb()()
		w.addToxic(r.store, `{"name":"cut","type":"timeout","attributes":{"timeout":0}}`, duration)
	}},
	{"a link is slow", 3, func(w *world, rng *rand.Rand, duration time.Duration) {
		r := w.anyReplica(rng, false)
		defer r.disturbances.begin()()
		w.addToxic(r.proxy, `{"name":"slow","type":"latency","attributes":{"latency":120,"jitter":80}}`, duration)
	}},
	{"a link resets", 3, func(w *world, rng *rand.Rand, duration time.Duration) {
		r := w.anyReplica(rng, false)
		defer r.disturbances.begin()()
		w.addToxic(r.proxy, `{"name":"reset","type":"reset_peer","attributes":{"timeout":30}}`, duration/2)
	}},
	{"a link is silent", 3, func(w *world, rng *rand.Rand, duration time.Duration) {
		r := w.anyReplica(rng, false)
		defer r.disturbances.begin()()
		stream := []string{"upstream", "downstream"}[rng.IntN(2)]
		w.addToxic(r.proxy, `{"name":"silent","type":"timeout","stream":"`+stream+`","attributes":{"timeout":0}}`, duration)
	}},
	{"a link is narrow", 2, func(w *world, rng *rand.Rand, duration time.Duration) {
		r := w.anyReplica(rng, false)
		defer r.disturbances.begin()()
		w.addToxic(r.proxy, `{"name":"narrow","type":"bandwidth","attributes":{"rate":20}}`, duration)
	}},
	{"a replica crashes", 3, func(w *world, rng *rand.Rand, duration time.Duration) {
		r := w.anyReplica(rng, true)
		defer r.disturbances.begin()()
		r.crash()
		pause(duration / 2)
		w.newReplica(r.service, nil)
		r.setState("")
	}},
	{"a replica crashes and its address goes to another service", 2, func(w *world, rng *rand.Rand, duration time.Duration) {
		r := w.anyReplica(rng, true)
		defer r.disturbances.begin()()
		r.crash()
		other := w.newReplica("other", nil)
		r.proxy.Stop()
		r.proxy.Upstream = other.listener.Addr().String()
		if err := r.proxy.Start(); err != nil {
			w.fail("proxy before %s: %v", other.id, err)
		}
		pause(duration / 2)
		w.newReplica(r.service, nil)
		r.setState("")
	}},
	{"a replica drains", 3, func(w *world, rng *rand.Rand, duration time.Duration) {
		r := w.anyReplica(rng, true)
		w.newReplica(r.service, nil)
		r.setState("draining")
		pause(drainTime + duration)
		r.setState("")
		pause(callerTimeout)
		defer r.disturbances.begin()()
		r.crash()
	}},
	{"a replica announces that it leaves", 2, func(w *world, rng *rand.Rand, duration time.Duration) {
		r := w.anyReplica(rng, true)
		w.newReplica(r.service, nil)
		r.setBehavior(behavior{leaving: true})
		pause(drainTime + duration)
		r.setState("")
		pause(callerTimeout)
		defer r.disturbances.begin()()
		r.crash()
	}},
	{"a replica limits its requests", 3, func(w *world, rng *rand.Rand, duration time.Duration) {
		r := w.anyReplica(rng, false)
		r.setBehavior(behavior{limit: []float64{0.5, 1, 3, 20}[rng.IntN(4)]})
		pause(contactTime + 2*duration)
		r.setBehavior(behavior{})
	}},
	{"a replica refuses requests", 4, func(w *world, rng *rand.Rand, duration time.Duration) {
		m := behavior{refuseFraction: 0.3 + 0.7*rng.Float64(), status: http.StatusServiceUnavailable}
		if rng.IntN(3) > 0 {
			m.retryAfter = time.Duration(500+rng.IntN(2500)) * time.Millisecond
		}
		if rng.IntN(4) == 0 {
			m.status = http.StatusTooManyRequests
		}
		w.misbehave(rng, m, duration)
	}},
	{"a replica loses answers", 3, func(w *world, rng *rand.Rand, duration time.Duration) {
		w.misbehave(rng, behavior{loseFraction: 0.3}, duration)
	}},
	{"a replica corrupts answers", 3, func(w *world, rng *rand.Rand, duration time.Duration) {
		w.misbehave(rng, behavior{corruptFraction: 0.3}, duration)
	}},
	{"a replica is slow", 2, func(w *world, rng *rand.Rand, duration time.Duration) {
		w.misbehave(rng, behavior{delay: 400 * time.Millisecond}, duration)
	}},
	{"the configuration changes", 6, func(w *world, _ *rand.Rand, _ time.Duration) { w.newConfig() }},
	{"configurations come in quick succession", 1, func(w *world, _ *rand.Rand, duration time.Duration) {
		for range 5 {
			w.newConfig()
			pause(duration / 10)
		}
	}},
	{"the store is restored from a copy", 3, func(w *world, rng *rand.Rand, duration time.Duration) { w.restoreStore(rng, duration) }},
	{"a data centre is evacuated", 3, func(w *world, rng *rand.Rand, duration time.Duration) { w.evacuate(rng, duration) }},
	{"a service fails while all routers are killed in series", 2, func(w *world, rng *rand.Rand, duration time.Duration) {
		m := []behavior{{refuseFraction: 0.9, status: http.StatusServiceUnavailable}, {loseFraction: 0.9}}[rng.IntN(2)]
		service := []string{"ledger", "pool"}[rng.IntN(2)]
		var failing []*replica
		for _, r := range w.allReplicas() {
			if r.service == service {
				defer r.disturbances.begin()()
				r.setBehavior(m)
				failing = append(failing, r)
			}
		}
		for range 3 {
			pause(duration / 4)
			w.restartAll(duration / 10)
		}
		for _, r := range failing {
			r.setBehavior(behavior{})
		}
	}},
	{"requests share a part that crashes replicas", 5, func(w *world, rng *rand.Rand, duration time.Duration) { w.sendBadParts(rng, duration) }},
}

// firstFaults is the number of faults that the first plans were drawn from. A seed that found a
// fault is replayed with the same plan.
const firstFaults = 27

// demandShiftInterval is the time between two shifts of demand while orders are lost: about as long
// as a change of map takes.
const demandShiftInterval = 400 * time.Millisecond

// restart marks a router as disturbed, ends it with the given function, and starts it again after a
// delay.
func (w *world) restart(r *router, after time.Duration, end func()) {
	r.lifecycle.Lock()
	defer r.lifecycle.Unlock()
	done := r.disturb()
	end()
	pause(after)
	w.mu.Lock()
	r.starts++
	w.mu.Unlock()
	r.start()
	done()
}

// restartAll kills all routers at once and starts them again after a delay.
func (w *world) restartAll(after time.Duration) {
	var all sync.WaitGroup
	for _, r := range w.routers {
		all.Go(func() { w.restart(r, after, func() { r.kill() }) })
	}
	all.Wait()
}

// misbehave makes a replica misbehave for some time.
func (w *world) misbehave(rng *rand.Rand, m behavior, duration time.Duration) {
	r := w.anyReplica(rng, false)
	defer r.disturbances.begin()()
	r.setBehavior(m)
	pause(duration)
	r.setBehavior(behavior{})
}

// addToxic disturbs a link for some time.
func (w *world) addToxic(p *toxiproxy.Proxy, text string, duration time.Duration) {
	t, err := p.Toxics.AddToxicJson(strings.NewReader(text))
	if err != nil {
		return // another fault already disturbs the link in the same way
	}
	pause(duration)
	if err := p.Toxics.RemoveToxic(context.Background(), t.Name); err != nil {
		w.fail("link %s is not restored: %v", p.Name, err)
	}
}

const (
	// meanFaultInterval is the mean time between the starts of two faults, and maxFaultDuration
	// bounds the random part of a fault's duration, which is added to 300 ms.
	meanFaultInterval = 900 * time.Millisecond
	maxFaultDuration  = 4 * time.Second
)

// injectFaults injects faults until a time, one after another and overlapping, and returns when all
// have ended.
func (w *world) injectFaults(ctx context.Context, until time.Time) {
	rng := w.newRand(1)
	sum := 0
	for _, f := range w.faults {
		sum += f.weight
	}
	var all sync.WaitGroup
	var busy sync.Map
	for n := uint64(0); time.Now().Before(until) && ctx.Err() == nil; n++ {
		pause(time.Duration(rng.ExpFloat64() * float64(meanFaultInterval)))
		at := rng.IntN(sum)
		i := 0
		for ; at >= w.faults[i].weight; i++ {
			at -= w.faults[i].weight
		}
		duration := 300*time.Millisecond + time.Duration(rng.Int64N(int64(maxFaultDuration)))
		if _, running := busy.LoadOrStore(i, true); running {
			continue // no two faults of the same kind at a time
		}
		f, own := w.faults[i], w.newRand(100+n)
		w.note("%s, %s", f.name, duration.Round(time.Millisecond))
		all.Go(func() {
			defer busy.Delete(i)
			f.inject(w, own, duration)
			w.note("over: %s", f.name)
		})
	}
	all.Wait()
}
