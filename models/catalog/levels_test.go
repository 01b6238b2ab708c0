// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package catalog

import (
	"fmt"
	"slices"
	"testing"

	"fawnwinch.org/fawnwinch/models/service"
	"fawnwinch.org/fawnwinch/models/urgency"
)

// levelRoute returns a route to some services.
func levelRoute(kind Kind, priority int, services ...service.ID) Route {
	r := Route{Kind: kind, Priority: priority}
	for _, s := range services {
		r.Targets = append(r.Targets, Target{Service: s, Weight: 1})
	}
	return r
}

// TestLevels guards against services that are ranked by the routes of other services, by routes
// without streams or without an engine.
func TestLevels(t *testing.T) {
	cases := map[string]struct {
		routes []Route
		want   urgency.Levels
	}{
		"no route":                   {nil, nil},
		"one route":                  {[]Route{levelRoute(KindStream, 2, "s")}, urgency.Levels{2}},
		"two priorities":             {[]Route{levelRoute(KindStream, 2, "s"), levelRoute(KindStream, 0, "s"), levelRoute(KindStream, 2, "s")}, urgency.Levels{0, 2}},
		"a route without streams":    {[]Route{levelRoute(KindStream, 2, "s"), levelRoute(KindSafe, 0, "s")}, urgency.Levels{2}},
		"a route of another service": {[]Route{levelRoute(KindStream, 2, "s"), levelRoute(KindStream, 0, "t")}, urgency.Levels{2}},
		"a route to two services":    {[]Route{levelRoute(KindStream, 2, "s"), levelRoute(KindStream, 0, "t", "s")}, urgency.Levels{0, 2}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			x := NewIndex(&Catalog{Routes: c.routes, Services: []Service{{ID: "s", Engine: &Engine{}}, {ID: "t", Engine: &Engine{}}, {ID: "plain"}}})
			if got := x.Levels("s"); !slices.Equal(got, c.want) {
				t.Errorf("levels %v, want %v", got, c.want)
			}
		})
	}
	plain := NewIndex(&Catalog{Routes: []Route{levelRoute(KindStream, 0, "plain", "gone"), levelRoute(KindStream, 1, "plain", "gone")}, Services: []Service{{ID: "plain"}}})
	if plain.Levels("plain") != nil || plain.Levels("gone") != nil {
		t.Error("a service without an engine, or one that is not in the catalog, has levels")
	}
}

// TestManyRoutes checks the levels of a service with many routes, which the index computes once.
func TestManyRoutes(t *testing.T) {
	c := &Catalog{Services: []Service{{ID: "s", Engine: &Engine{}}}}
	for i := range 1600 {
		r := levelRoute(KindStream, i%7, "s")
		r.Name = fmt.Sprint("r", i)
		c.Routes = append(c.Routes, r)
	}
	x := NewIndex(c)
	if got := x.Levels("s"); !slices.Equal(got, urgency.Levels{0, 1, 2, 3}) || got.Level(6) != 3 {
		t.Errorf("levels %v", got)
	}
	if n := testing.AllocsPerRun(100, func() { _ = x.Levels("s").Level(x.Routes[5].Priority) }); n > 0 {
		t.Errorf("%v allocations for the level of a request", n)
	}
}

// TestUrgency guards against accounts without a priority that precede ranked ones, and against
// accounts that matter where none is ranked.
func TestUrgency(t *testing.T) {
	ranked := []Account{{ID: "a", Priority: 1, Ranked: true}, {ID: "b", Priority: 3, Ranked: true}, {ID: "c", Priority: 9}}
	cases := map[string]struct {
		accounts []Account
		account  *Account
		want     urgency.Urgency
	}{
		"ranked":                          {ranked, &ranked[0], urgency.Urgency{Account: 1, Route: 5}},
		"not ranked among ranked ones":    {ranked, &ranked[2], urgency.Urgency{Account: 3, Route: 5}},
		"no account among ranked ones":    {ranked, nil, urgency.Urgency{Account: 3, Route: 5}},
		"no ranked account":               {ranked[2:], &ranked[2], urgency.Urgency{Route: 5}},
		"no account, and none is ranked":  {nil, nil, urgency.Urgency{Route: 5}},
		"ranked with the priority 0 only": {[]Account{{Ranked: true}}, nil, urgency.Urgency{Route: 5}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			x := NewIndex(&Catalog{Accounts: c.accounts})
			if got := x.Urgency(&Route{Priority: 5}, c.account); got != c.want {
				t.Errorf("urgency %v, want %v", got, c.want)
			}
		})
	}
}
