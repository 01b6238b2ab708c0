// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package rank

import (
	"context"
	"reflect"
	"testing"
	"time"

	"fawnwinch.org/fawnwinch/models/expertmap"
	"fawnwinch.org/fawnwinch/services"

	"github.com/rs/zerolog"
)

// mapEngine keeps the maps that it is ordered to prepare.
type mapEngine struct {
	engine
	maps [][]expertmap.Layer
}

func (e *mapEngine) Order(ctx context.Context, o services.RankOrder) (services.RankAnswer, error) {
	e.maps = append(e.maps, o.Layers)
	e.status.Prepared = o.Version
	return e.engine.Order(ctx, o)
}

// TestOrderAsChange sends maps as changes to an agent: its engine must get the complete map, or
// nothing if the agent lacks the base map of the change.
func TestOrderAsChange(t *testing.T) {
	e := &mapEngine{}
	api := NewAPI(New(begin, Options{Engine: e, Logger: zerolog.Nop()}))
	version := func(v expertmap.Version, first expertmap.Expert) *expertmap.Map {
		return &expertmap.Map{Version: v, Layers: []expertmap.Layer{{Slots: [][]expertmap.Expert{{first, 1}, {2, expertmap.Free}}}}}
	}
	d := &driver{c: &coordinator{own: lead(1)}}
	give := func(m, base *expertmap.Map) OrderReply {
		t.Helper()
		d.setBase(base, m)
		o := d.asChange(api.a.start, services.RankOrder{Kind: services.RankPrepare, Version: m.Version, Layers: m.Layers})
		if whole := o.Order.Layers != nil; whole != (base.Version == 0) {
			t.Errorf("version %d sent as a complete map: %t", m.Version, whole)
		}
		var r OrderReply
		if err := api.Order(o, &r); err != nil {
			t.Fatal(err)
		}
		return r
	}
	steps := []struct {
		what    string
		m, base *expertmap.Map
		noBase  bool
	}{
		{"the first change", version(5, 0), version(4, 3), true},
		{"the same map whole, as from the first map", version(5, 0), version(0, 3), false},
		{"a change", version(6, 7), version(5, 0), false},
		{"another change from the same map, as the last was not taken", version(7, 8), version(5, 0), false},
		{"a change from a map that is long gone", version(8, 9), version(4, 3), true},
	}
	for _, step := range steps {
		before := len(e.maps)
		r := give(step.m, step.base)
		if r.NoBase != step.noBase {
			t.Fatalf("%s: no base: %t, want %t", step.what, r.NoBase, step.noBase)
		}
		switch {
		case step.noBase && len(e.maps) != before:
			t.Errorf("%s: the engine was given an order", step.what)
		case !step.noBase && (r.Answer != services.RankDone || !reflect.DeepEqual(e.maps[len(e.maps)-1], step.m.Layers)):
			t.Errorf("%s: %s, the engine got %v, want %v", step.what, r.Answer, e.maps[len(e.maps)-1], step.m.Layers)
		}
	}
}

// TestAnnounce checks when an agent records that a coordinator is about to arm its own rank, and
// what it reports of that.
func TestAnnounce(t *testing.T) {
	const version expertmap.Version = 1 << 20
	cases := map[string]struct {
		then func(t *testing.T, api *API) *API
		want services.RankAnswer
		// noted is what is reported to a later coordinator.
		noted services.AgentRecords
	}{
		"after the change was prepared": {want: services.RankDone, noted: services.AgentRecords{Prepared: version, Announced: version}},
		"a later coordinator was heard": {
			then: func(t *testing.T, api *API) *API {
				t.Helper()
				var r Reply
				if err := api.Status(Ask{Lead: lead(9)}, &r); err != nil {
					t.Fatal(err)
				}
				return api
			},
			want: services.RankFenced, noted: services.AgentRecords{Prepared: version},
		},
		"the agent has started anew": {
			then: func(_ *testing.T, api *API) *API {
				return NewAPI(New(begin.Add(time.Second), Options{Engine: api.a.opts.Engine, Logger: zerolog.Nop()}))
			},
			want: services.RankConflict,
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			api := NewAPI(New(begin, Options{Engine: &mapEngine{}, Logger: zerolog.Nop()}))
			prepare := Order{Lead: lead(3), Start: api.a.start, Order: services.RankOrder{Kind: services.RankPrepare, Version: version}}
			var r OrderReply
			if err := api.Order(prepare, &r); err != nil || r.Answer != services.RankDone {
				t.Fatalf("prepare: %s, %v", r.Answer, err)
			}
			if c.then != nil {
				api = c.then(t, api)
			}
			r = OrderReply{}
			if err := api.Order(Order{Lead: lead(3), Order: services.RankOrder{Kind: services.RankAnnounce, Version: version}}, &r); err != nil || r.Answer != c.want {
				t.Errorf("announce: %s, %v, want %s", r.Answer, err, c.want)
			}
			var told Reply
			if err := api.Status(Ask{Lead: lead(9)}, &told); err != nil || told.Status.Noted != c.noted {
				t.Errorf("status has the records %+v, %v, want %+v", told.Status.Noted, err, c.noted)
			}
			if err := api.Order(prepare, &r); err != nil || r.Answer == services.RankDone {
				t.Errorf("a late order to prepare: %s, %v", r.Answer, err)
			}
		})
	}
}
