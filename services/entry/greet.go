// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package entry

import (
	"context"
	"sync"
	"time"

	"fawnwinch.org/fawnwinch/models/vm"
	"fawnwinch.org/fawnwinch/modules/sleep"
	"fawnwinch.org/fawnwinch/services/knowledge"
	"fawnwinch.org/fawnwinch/services/peer"
)

// greetAll greets the other routers again and again. One that does not answer holds up nobody: a greeting
// ends before the next is due.
func (r *Router) greetAll(ctx context.Context) {
	var w sync.WaitGroup
	defer w.Wait()
	for round := 0; ctx.Err() == nil; round++ {
		r.greet(ctx, &w, func(n peer.Info, known int) bool { return greets(r.opts.Self, n, known, round) })
		r.opts.Relay.Sweep(time.Now())
		sleep.For(ctx, greetEvery)
	}
}

// manyRouters is the number of routers from which on those in different data centres greet each other in turn, in every
// second round only. Greetings grow with the square of their number: of 32 routers they were two thirds of all
// bytes between data centres, which are paid for.
const manyRouters = 12

// greets reports whether a router greets another one in a round. A greeting tells both sides that the other lives, so two that
// greet in turn hear of each other as often as before.
func greets(self, other peer.Info, known, round int) bool {
	if known < manyRouters || self.DataCentre == other.DataCentre {
		return true
	}
	return (round%2 == 0) == (self.Name < other.Name)
}

// greet begins to greet the other routers that are chosen.
func (r *Router) greet(ctx context.Context, w *sync.WaitGroup, chosen func(n peer.Info, known int) bool) {
	now := time.Now()
	r.mu.Lock()
	known := r.table.Known(now, vm.RoleRouter)
	r.opts.Relay.Routers(1 + len(r.table.Live(now, vm.RoleRouter)))
	seeds := r.opts.Seeds
	r.mu.Unlock()
	to := map[string]bool{}
	for _, n := range known {
		if chosen(n, len(known)) {
			to[n.Address] = true
		}
	}
	if len(known) == 0 {
		for _, s := range seeds {
			to[s] = true
		}
	}
	delete(to, r.opts.Self.Address)
	hello, _ := r.hello(now)
	for address := range to {
		w.Go(func() { r.greetOne(ctx, address, hello) })
	}
}

func (r *Router) greetOne(ctx context.Context, address string, hello Hello) {
	cctx, cancel := context.WithTimeout(ctx, greetTime)
	defer cancel()
	sent := time.Now()
	var reply Hello
	if err := r.opts.Pool.Call(cctx, address, "Router.Greet", hello, &reply); err != nil {
		r.opts.Logger.Debug().Str("address", address).Err(err).Msg("router-silent")
		return
	}
	r.heard(reply)
	compare(ctx, r, r.catalogs, sent, address, reply.Catalogs)
	compare(ctx, r, r.upstreams, sent, address, reply.Upstreams)
}

// hello returns what this process says when it greets, and the other routers that it has heard lately.
func (r *Router) hello(now time.Time) (Hello, []peer.Info) {
	h := Hello{From: r.Self()}
	h.From.StoreLost = r.catalogs.failing() || r.upstreams.failing()
	r.opts.Relay.Know(func(s *knowledge.State) {
		h.Catalogs, h.Upstreams = extent(now, s.Catalogs()), extent(now, s.Upstreams())
	})
	r.mu.Lock()
	defer r.mu.Unlock()
	routers := r.table.Live(now, vm.RoleRouter)
	h.Digest = peer.Digest(append(routers[:len(routers):len(routers)], h.From))
	return h, routers
}

// heard takes in what another router says.
func (r *Router) heard(h Hello) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.table.Heard(now, h.From)
	for _, n := range h.Routers {
		r.table.Told(now, n)
	}
}

// compare compares what is known of a feed with what another router knows. If that is more, it takes care that
// it is soon known here: from the store, or from that router while the store cannot be read. Ages count from
// before the question was sent.
func compare[T any](ctx context.Context, r *Router, f *follower[T], sent time.Time, address string, theirs Extent) {
	if !theirs.Known {
		return
	}
	end := knowledge.Part[T]{From: theirs.Next, Next: theirs.Next, AsOf: sent.Add(-theirs.Age)}
	if f.take(end) != knowledge.FitGap {
		return
	}
	if f.mark().Known() && !f.failing() {
		f.miss()
		return
	}
	cctx, cancel := context.WithTimeout(ctx, greetTime)
	defer cancel()
	asked := time.Now()
	var w Whole[T]
	if err := r.opts.Pool.Call(cctx, address, f.calls.whole, Nothing{}, &w); err != nil {
		r.opts.Logger.Warn().Str("from", address).Str("feed", f.name).Err(err).Msg("borrow-failed")
		return
	}
	if !w.Extent.Known {
		return
	}
	fit := f.take(w.part(asked))
	r.opts.Logger.Info().Str("from", address).Str("feed", f.name).Uint64("next", uint64(w.Extent.Next)).Int64("age_ms", w.Extent.Age.Milliseconds()).
		Int("records", len(w.Changes)).Str("fit", string(fit)).Msg("borrowed")
}

// tell tells the other routers what was read of a feed.
func tell[T any](r *Router, method string, p knowledge.Part[T]) {
	now := time.Now()
	r.mu.Lock()
	live := r.table.Live(now, vm.RoleRouter)
	r.mu.Unlock()
	news := News[T]{From: p.From, Next: p.Next, Changes: p.Changes}
	for _, n := range live {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), greetTime)
			defer cancel()
			var reply Nothing
			if err := r.opts.Pool.Call(ctx, n.Address, method, news, &reply); err != nil {
				// The next greeting shows the other router that it has missed something.
				r.opts.Logger.Debug().Str("address", n.Address).Str("call", method).Err(err).Msg("router-silent")
			}
		}()
	}
}
