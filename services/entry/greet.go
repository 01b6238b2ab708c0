// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package entry

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"time"

	"fawnwinch.org/fawnwinch/modules/clock"
	"fawnwinch.org/fawnwinch/modules/usage"
	"fawnwinch.org/fawnwinch/services/knowledge"
	"fawnwinch.org/fawnwinch/services/peer"
)

const (
	// greetEvery is the time between two greetings of a neighbour.
	greetEvery = 400 * time.Millisecond
	// seekEvery is the same while no other router is heard: a router that starts knows no addresses but the seeds', which
	// may be starting too.
	seekEvery = 100 * time.Millisecond
	// greetGap is the time between two rounds of greetings that something new has set off: news that come in quick
	// succession travel together.
	greetGap = 50 * time.Millisecond
	// greetTime bounds a greeting.
	greetTime = 350 * time.Millisecond
)

// greetAll greets the neighbours again and again, and as soon as there is something new to tell.
func (r *Router) greetAll(ctx context.Context) {
	var w sync.WaitGroup
	defer w.Wait()
	for ctx.Err() == nil {
		begun := clock.Now()
		r.greet(ctx, &w)
		r.opts.Relay.Sweep(begun)
		r.ledger.Sweep(begun)
		r.noteCoverage(begun)
		r.rest(ctx, begun)
	}
}

// rest waits until the next round of greetings is due.
func (r *Router) rest(ctx context.Context, begun time.Time) {
	r.mu.Lock()
	pause := greetEvery
	if r.table.Alone(begun) {
		pause = seekEvery
	}
	r.mu.Unlock()
	due := time.NewTimer(pause)
	defer due.Stop()
	select {
	case <-r.news:
	case <-due.C:
		return
	case <-ctx.Done():
		return
	}
	gap := time.NewTimer(greetGap - clock.Since(begun))
	defer gap.Stop()
	select {
	case <-gap.C:
	case <-ctx.Done():
	}
}

// spread has the neighbours greeted soon, because something is new here.
func (r *Router) spread() {
	select {
	case r.news <- struct{}{}:
	default: // a round is due already
	}
}

// greet begins to greet the neighbours. A router that hears nobody greets the seeds and those that are registered.
func (r *Router) greet(ctx context.Context, w *sync.WaitGroup) {
	now := clock.Now()
	r.mu.Lock()
	r.tell(now)
	r.table.Sweep(now)
	targets := r.table.Targets(now, rand.IntN)
	targets = append(targets, r.contacts(r.table.Alone(now))...)
	r.mu.Unlock()
	r.opts.Relay.Routers(max(1, len(namedAnywhere(r.taking(now)))))
	for _, to := range targets {
		if to.Address != r.opts.Self.Address && r.begin(to.Address) {
			w.Go(func() {
				defer r.end(to.Address)
				r.greetOne(ctx, to)
			})
		}
	}
}

// tell notes what is new about this process itself. The caller holds the lock.
func (r *Router) tell(now time.Time) {
	self := r.table.Self()
	self.StoreLost = r.catalogs.failing() || r.upstreams.failing()
	self.Busy = r.busy(now, self)
	r.table.UpdateSelf(now, self)
}

// busy reports whether this process uses much of its processor time. The caller holds the lock.
func (r *Router) busy(now time.Time, self peer.Info) bool {
	used, err := usage.CPUTime()
	if err != nil || self.Cores <= 0 {
		return false // without figures nothing is known to be too much
	}
	part := r.meter.Note(now, used) / self.Cores
	return part > busyAbove || self.Busy && part > calmBelow
}

// contactsAtOnce bounds the registered routers that are greeted in a round although nothing was heard of them.
const contactsAtOnce = 4

// contacts returns some routers that are registered and of which nothing was heard. A router that is alone greets all that
// are registered, some at a time, and the seeds. The caller holds the lock.
func (r *Router) contacts(alone bool) []peer.Target {
	if alone && len(r.strangers) == 0 {
		r.strangers = slices.Clone(r.registered)
	}
	var out []peer.Target
	n := min(contactsAtOnce, len(r.strangers))
	for _, address := range r.strangers[:n] {
		out = append(out, peer.Target{Address: address})
	}
	r.strangers = r.strangers[n:]
	if alone {
		for _, address := range r.opts.Seeds {
			out = append(out, peer.Target{Address: address})
		}
	}
	return out
}

// begin notes that an address is being greeted, unless it is already: one that does not answer is not greeted twice at a time.
func (r *Router) begin(address string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.greeting[address] {
		return false
	}
	r.greeting[address] = true
	return true
}

func (r *Router) end(address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.greeting, address)
}

func (r *Router) greetOne(ctx context.Context, to peer.Target) {
	cctx, cancel := context.WithTimeout(ctx, greetTime)
	defer cancel()
	sent := clock.Now()
	var reply Hello
	if err := r.opts.Pool.Call(cctx, to.Address, "Router.Greet", r.hello(sent, to.Name), &reply); err != nil {
		r.silent(to, err)
		return
	}
	r.heard(clock.Now(), reply)
	r.catalogs.confirmed(sent, to.Address, reply.Catalogs)
	r.upstreams.confirmed(sent, to.Address, reply.Upstreams)
	r.marksTold(to.Address, reply.Marks)
}

// silent notes that a router has not answered.
func (r *Router) silent(to peer.Target, err error) {
	r.opts.Logger.Debug().Str("address", to.Address).Err(err).Msg("router-silent")
	if errors.Is(err, syscall.ECONNREFUSED) {
		r.learn(func(now time.Time) { r.table.ConnectionRefused(now, to.Name) })
	}
}

// hello returns what this process says to a router, whose name is empty if only its address is known.
func (r *Router) hello(now time.Time, to string) Hello {
	var h Hello
	r.opts.Relay.Know(func(s *knowledge.State) {
		h.Catalogs, h.Upstreams = catalogExtent(now, s), extent(now, s.Upstreams())
	})
	h.Marks = r.marks()
	r.mu.Lock()
	defer r.mu.Unlock()
	h.Greeting = r.table.GossipFor(to)
	return h
}

// heard takes in what another router says, and returns its address; empty if that is not known yet.
func (r *Router) heard(now time.Time, h Hello) string {
	r.learn(func(time.Time) { r.table.Receive(now, h.Greeting) })
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.table.Address(h.Greeting.From)
}

// learn changes what is known of the other routers, and has the neighbours told what is new.
func (r *Router) learn(change func(now time.Time)) {
	r.mu.Lock()
	before := r.table.Position()
	change(clock.Now())
	changed := r.table.Position() != before
	r.mu.Unlock()
	if changed {
		r.spread()
	}
}
