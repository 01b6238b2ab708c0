// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package entry

import (
	"context"
	"sync"
	"time"

	"fawnwinch.org/fawnwinch/models/upstream"
	"fawnwinch.org/fawnwinch/models/vm"
	"fawnwinch.org/fawnwinch/modules/sleep"
	"fawnwinch.org/fawnwinch/services"
	"fawnwinch.org/fawnwinch/services/knowledge"
)

// greetAll greets the other routers again and again.
func (r *Router) greetAll(ctx context.Context) {
	for ctx.Err() == nil {
		r.greet(ctx)
		r.opts.Relay.Sweep(time.Now())
		sleep.For(ctx, greetEvery)
	}
}

func (r *Router) greet(ctx context.Context) {
	now := time.Now()
	r.mu.Lock()
	known := r.table.Known(now, vm.RoleRouter)
	r.opts.Relay.Routers(1 + len(r.table.Live(now, vm.RoleRouter)))
	seeds := r.opts.Seeds
	r.mu.Unlock()
	to := map[string]bool{}
	for _, n := range known {
		to[n.Address] = true
	}
	if len(known) == 0 {
		for _, s := range seeds {
			to[s] = true
		}
	}
	delete(to, r.opts.Self.Address)
	var w sync.WaitGroup
	for address := range to {
		w.Go(func() { r.greetOne(ctx, address) })
	}
	w.Wait()
}

func (r *Router) greetOne(ctx context.Context, address string) {
	cctx, cancel := context.WithTimeout(ctx, greetTime)
	defer cancel()
	sent := time.Now()
	var reply Hello
	if err := r.opts.Pool.Call(cctx, address, "Router.Greet", r.hello(sent), &reply); err != nil {
		r.opts.Logger.Debug().Str("address", address).Err(err).Msg("router-silent")
		return
	}
	r.heard(reply)
	r.borrow(ctx, sent, address, reply)
}

// hello returns what this process says when it greets.
func (r *Router) hello(now time.Time) Hello {
	h := Hello{From: r.Self()}
	r.opts.Relay.Know(func(s *knowledge.State) {
		if s.Index() != nil {
			h.Catalog, h.CatalogAge = s.Index().Version, s.CatalogAge(now)
		}
		h.UpstreamsKnown, h.UpstreamsAge = s.Complete(), s.UpstreamsAge(now)
	})
	r.mu.Lock()
	defer r.mu.Unlock()
	h.Routers = r.table.Live(now, vm.RoleRouter)
	return h
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

// borrow takes over what another router knows better. Ages count from before the question was sent.
func (r *Router) borrow(ctx context.Context, sent time.Time, address string, h Hello) {
	mine := r.hello(sent)
	if h.Catalog > mine.Catalog {
		r.borrowCatalog(ctx, address)
	} else if h.Catalog == mine.Catalog && h.Catalog != 0 {
		r.opts.Relay.Know(func(s *knowledge.State) { s.Fresh(sent.Add(-h.CatalogAge), h.Catalog) })
	}
	if h.UpstreamsKnown && (!mine.UpstreamsKnown || mine.UpstreamsAge > upstreamsWait+borrowAge) && h.UpstreamsAge+borrowAge < mine.UpstreamsAge {
		r.borrowUpstreams(ctx, address)
	}
	r.becomeReady()
}

func (r *Router) borrowCatalog(ctx context.Context, address string) {
	cctx, cancel := context.WithTimeout(ctx, greetTime)
	defer cancel()
	sent := time.Now()
	var k CatalogReply
	if err := r.opts.Pool.Call(cctx, address, "Router.Catalog", Nothing{}, &k); err != nil || k.Catalog.Version == 0 {
		return
	}
	r.opts.Relay.Know(func(s *knowledge.State) {
		if s.Catalog(sent.Add(-k.Age), &k.Catalog) {
			r.opts.Logger.Info().Uint64("version", uint64(k.Catalog.Version)).Str("from", address).Msg("catalog-borrowed")
		}
	})
}

func (r *Router) borrowUpstreams(ctx context.Context, address string) {
	cctx, cancel := context.WithTimeout(ctx, greetTime)
	defer cancel()
	sent := time.Now()
	var u UpstreamsReply
	if err := r.opts.Pool.Call(cctx, address, "Router.Upstreams", Nothing{}, &u); err != nil {
		return
	}
	changes := make([]services.Change[upstream.Instance], len(u.Instances))
	for i := range u.Instances {
		changes[i] = services.Change[upstream.Instance]{Key: string(u.Instances[i].ID), Value: &u.Instances[i]}
	}
	r.opts.Relay.Know(func(s *knowledge.State) { s.Upstreams(time.Now(), sent.Add(-u.Age), changes, true) })
	r.opts.Logger.Info().Int("upstreams", len(changes)).Str("from", address).Msg("upstreams-borrowed")
}
