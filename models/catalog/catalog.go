// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package catalog holds the configuration that the operator of a deployment has put in force:
// routes, services with the performance figures of their engines, limits and the keys of client
// accounts.
package catalog

import (
	"strings"
	"time"

	"fawnwinch.org/fawnwinch/models/account"
	"fawnwinch.org/fawnwinch/models/service"
	"fawnwinch.org/fawnwinch/models/upstream"
	"fawnwinch.org/fawnwinch/models/urgency"
	"fawnwinch.org/fawnwinch/models/vm"
)

// Version is the version number of a deployment's catalog. A later catalog has a higher version.
type Version uint64

// Key is the secret with which a caller identifies its client account.
type Key string

// Kind says whether the requests of a route may be repeated and how they are answered.
type Kind string

// The kinds of route.
const (
	// KindSafe marks requests that may run more than once.
	KindSafe Kind = "safe"
	// KindUnsafe marks requests that run at most once.
	KindUnsafe Kind = "unsafe"
	// KindStream marks requests that are answered with a stream of events.
	KindStream Kind = "stream"
)

// Target is a service that receives a fraction of a route's requests.
type Target struct {
	Service service.ID
	// Weight is relative to the sum of all weights of the route.
	Weight float64
}

// Route defines how requests for a host and a path prefix are handled.
type Route struct {
	Name   string
	Host   string
	Prefix string
	// Targets lists the services in the order of the catalog; there is at least one.
	Targets []Target
	Kind    Kind
	// Timeout is the longest time that a request may take.
	Timeout time.Duration
	// Goal is the latency objective: callers pay in full if the complete answer, or the first event
	// of a stream, arrives within it.
	Goal time.Duration
	// PauseGoal is the longest pause between events for which callers pay in full; 0 if none is
	// given.
	PauseGoal time.Duration
	// MaxAttempts is the maximum number of upstreams that one request may be sent to.
	MaxAttempts int
	// Priority orders requests; 0 is the most urgent.
	Priority int
	// Anonymous admits callers without a key.
	Anonymous bool
	// Resumable reports whether another upstream may continue a stream after its latest event.
	Resumable bool
	// Homes lists the regions whose upstreams may get the requests of the route; empty for all.
	Homes []vm.Region
	// Unusable reports whether it is not known which upstreams may get the requests.
	Unusable bool
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == KindSafe || (r.Kind == KindStream && r.Resumable)
}

// Engine holds the performance figures, given by the operator, from which the duration of a group's
// pass is estimated.
type Engine struct {
	// Slots is the number of requests that a rank processes concurrently.
	Slots int
	// Stride is the number of tokens that each stream receives in a pass.
	Stride int
	// StepMillis is the duration of a token step on an idle rank.
	StepMillis float64
	// WriterMillis is added to a step for each stream that is generating tokens.
	WriterMillis float64
	// ContextMillis is added to a step for each thousand tokens of context.
	ContextMillis float64
	// ReadPerSecond is the number of prompt tokens that a rank processes per second.
	ReadPerSecond float64
	// Chunk is the maximum number of prompt tokens processed in a step.
	Chunk int
	// UsualPrompt and UsualAnswer are the mean numbers of tokens in a prompt and in an answer; 0 if
	// not given.
	UsualPrompt, UsualAnswer float64
	// Layers, Experts and Places are the number of layers with experts, the number of experts in
	// each, and the number of experts that a rank holds of each. They are 0 for engines without
	// experts.
	Layers, Experts, Places int
	// MaxFresh is the maximum number of experts of a layer that a rank may load in one map change.
	MaxFresh int
	// ExpertMB is the size of an expert in megabytes.
	ExpertMB float64
	// LoadTime is how long a rank takes to load an expert; 0 if not given.
	LoadTime time.Duration
	// ExpertShare is the fraction of the work for tokens that experts do.
	ExpertShare float64
	// FormTime is how long a broken group takes to form again.
	FormTime time.Duration
}

// Service is a service of the catalog.
type Service struct {
	ID service.ID
	// Engine is nil for plain services.
	Engine *Engine
	// ColdRate is the number of requests per second that a cold upstream accepts from all routers
	// together; 0 if it is not limited.
	ColdRate upstream.Rate
}

// Account is a client account with its keys.
type Account struct {
	ID   account.ID
	Keys []Key
	// Priority overrides that of the route if Ranked is set.
	Priority int
	Ranked   bool
	// Homes lists the regions whose upstreams may get the account's requests; empty for all.
	Homes []vm.Region
}

// Catalog is one version of the configuration in force. It is not modified after its creation.
type Catalog struct {
	Version  Version
	Routes   []Route
	Services []Service
	// MaxBytes bounds the body of a request, in bytes; 0 if no bound is given.
	MaxBytes int
	// IdleTimeout is how long a caller's connection may rest; 0 if no bound is given. A caller may
	// leave one that has rested for longer to the router to close.
	IdleTimeout time.Duration
	Accounts    []Account
	// Keyed reports whether requests need the key of an account. It may hold without accounts, after
	// the last one was removed.
	Keyed bool
	// Incomplete reports whether some routes or accounts could not be read: what is not in the
	// catalog may exist.
	Incomplete bool
}

// Index provides fast look-ups in one catalog.
type Index struct {
	*Catalog
	byHost    map[string][]*Route
	byKey     map[Key]*Account
	byService map[service.ID]*Service
	levels    map[service.ID]urgency.Levels
	// leastAccount is the least urgent priority of the ranked accounts.
	leastAccount int
}

// NewIndex returns the index of a catalog.
func NewIndex(c *Catalog) *Index {
	x := &Index{Catalog: c, byHost: map[string][]*Route{}, byKey: map[Key]*Account{}, byService: map[service.ID]*Service{}}
	for i := range c.Routes {
		r := &c.Routes[i]
		host := strings.ToLower(r.Host)
		x.byHost[host] = append(x.byHost[host], r)
	}
	for i := range c.Accounts {
		for _, k := range c.Accounts[i].Keys {
			x.byKey[k] = &c.Accounts[i]
		}
	}
	for i := range c.Services {
		x.byService[c.Services[i].ID] = &c.Services[i]
	}
	x.levels = x.newLevels()
	for _, a := range c.Accounts {
		if a.Ranked {
			x.leastAccount = max(x.leastAccount, a.Priority)
		}
	}
	return x
}

// newLevels returns the levels of the services that have an engine.
func (x *Index) newLevels() map[service.ID]urgency.Levels {
	priorities := map[service.ID][]int{}
	for i := range x.Routes {
		r := &x.Routes[i]
		for _, t := range r.Targets {
			if s := x.byService[t.Service]; s != nil && s.Engine != nil && r.Kind == KindStream {
				priorities[t.Service] = append(priorities[t.Service], r.Priority)
			}
		}
	}
	levels := map[service.ID]urgency.Levels{}
	for id, list := range priorities {
		levels[id] = urgency.NewLevels(list)
	}
	return levels
}

// Levels returns the levels of the streaming routes of a service with an engine; none for other
// services.
func (x *Index) Levels(id service.ID) urgency.Levels { return x.levels[id] }

// Urgency returns the urgency of a route's requests from an account; nil for requests without one.
// An account without a priority is as urgent as the least urgent ranked one.
func (x *Index) Urgency(r *Route, a *Account) urgency.Urgency {
	u := urgency.Urgency{Account: x.leastAccount, Route: r.Priority}
	if a != nil && a.Ranked {
		u.Account = a.Priority
	}
	return u
}

// Route returns the route with the longest prefix of a path, or nil.
func (x *Index) Route(host, path string) *Route {
	var best *Route
	for _, r := range x.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) && (best == nil || len(r.Prefix) > len(best.Prefix)) {
			best = r
		}
	}
	return best
}

// HomesOf returns the lists of regions to which the routes of a host restrict their requests.
func (x *Index) HomesOf(host string) [][]vm.Region {
	if x == nil {
		return nil
	}
	var out [][]vm.Region
	for _, r := range x.byHost[strings.ToLower(host)] {
		if len(r.Homes) > 0 {
			out = append(out, r.Homes)
		}
	}
	return out
}

// Account returns the account that holds a key, or nil.
func (x *Index) Account(k Key) *Account { return x.byKey[k] }

// Service returns a service, or nil.
func (x *Index) Service(id service.ID) *Service { return x.byService[id] }

// RequiresKeys reports whether requests need a key. Those of anonymous routes do not.
func (x *Index) RequiresKeys() bool { return x.Keyed || len(x.Accounts) > 0 }
