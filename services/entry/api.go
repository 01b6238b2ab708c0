// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package entry

import (
	"time"

	"fawnwinch.org/fawnwinch/models/catalog"
	"fawnwinch.org/fawnwinch/models/upstream"
	"fawnwinch.org/fawnwinch/services/balance"
	"fawnwinch.org/fawnwinch/services/knowledge"
	"fawnwinch.org/fawnwinch/services/peer"
)

// Hello is what routers tell each other.
type Hello struct {
	From peer.Info
	// Catalog is the version in force, and CatalogAge how long ago it was known to be the newest.
	Catalog    catalog.Version
	CatalogAge time.Duration
	// UpstreamsAge is how long ago the list of upstreams was known to be the newest.
	UpstreamsKnown bool
	UpstreamsAge   time.Duration
	// Routers lists the routers that the sender has heard lately.
	Routers []peer.Info
}

// Nothing is the argument of calls that need none.
type Nothing struct{ Unused bool }

// CatalogReply is the catalog that a router knows.
type CatalogReply struct {
	Catalog catalog.Catalog
	Age     time.Duration
}

// UpstreamsReply is the list of upstreams that a router knows.
type UpstreamsReply struct {
	Instances []upstream.Instance
	Age       time.Duration
}

// API is what a router offers to other processes over rpc.
type API struct{ r *Router }

// NewAPI returns the rpc interface of a router.
func NewAPI(r *Router) *API { return &API{r: r} }

// Greet takes in a greeting and answers it.
func (a *API) Greet(h Hello, reply *Hello) error {
	a.r.heard(h)
	*reply = a.r.hello(time.Now())
	return nil
}

// Catalog returns the catalog in force here.
func (a *API) Catalog(_ Nothing, reply *CatalogReply) error {
	a.r.opts.Relay.Know(func(s *knowledge.State) {
		if s.Index() != nil {
			reply.Catalog, reply.Age = *s.Index().Catalog, s.CatalogAge(time.Now())
		}
	})
	return nil
}

// Upstreams returns the list of upstreams known here.
func (a *API) Upstreams(_ Nothing, reply *UpstreamsReply) error {
	a.r.opts.Relay.Know(func(s *knowledge.State) { reply.Instances, reply.Age = s.All(), s.UpstreamsAge(time.Now()) })
	return nil
}

// ReportReply is what a router adds to the load of a group.
type ReportReply struct{ Unstarted balance.Unstarted }

// Report takes in the load of a model group.
func (a *API) Report(g balance.Group, reply *ReportReply) error {
	reply.Unstarted = a.r.opts.Relay.Report(time.Now(), g)
	return nil
}
