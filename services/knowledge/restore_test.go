// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package knowledge

import (
	"slices"
	"testing"
	"time"

	"fawnwinch.org/fawnwinch/models/catalog"
	"fawnwinch.org/fawnwinch/models/upstream"
	"fawnwinch.org/fawnwinch/services"
)

// TestCatalogAfterRestore applies reads and updates from other routers, in the orders in which they
// may arrive, after the store was restored from a copy.
func TestCatalogAfterRestore(t *testing.T) {
	at := func(era services.Era, o services.Offset) services.Position {
		return services.Position{Era: era, Offset: o}
	}
	segment := func(whole bool, from, next services.Position, ms int, versions ...catalog.Version) Segment[catalog.Update] {
		p := Segment[catalog.Update]{Whole: whole, From: from, Next: next, AsOf: begin.Add(time.Duration(ms) * time.Millisecond)}
		for _, v := range versions {
			p.Changes = append(p.Changes, services.Change[catalog.Update]{Key: "config", Value: &catalog.Update{Catalog: &catalog.Catalog{Version: v}}})
		}
		return p
	}
	// Known before: version 48, up to offset 15 of era 1.
	known := segment(true, services.Position{}, at(1, 15), 0, 48)
	copied := segment(true, services.Position{}, at(2, 11), 100, 34)
	type step struct {
		segment Segment[catalog.Update]
		fit     Fit
		version catalog.Version
		next    services.Position
	}
	cases := map[string][]step{
		"the copy ends before":            {{copied, FitNew, 48, at(2, 11)}},
		"the copy ends where the log did": {{segment(true, services.Position{}, at(2, 15), 100, 34), FitNew, 48, at(2, 15)}},
		"and is overtaken by new records": {{segment(true, services.Position{}, at(2, 19), 100, 62), FitNew, 62, at(2, 19)}},
		"no records of the new era are missed": {
			{segment(false, at(2, 15), at(2, 15), 100), FitGap, 48, at(1, 15)},
			{segment(false, at(2, 15), at(2, 16), 100, 52), FitGap, 48, at(1, 15)},
			{copied, FitNew, 48, at(2, 11)},
		},
		"an answer from before comes late": {
			{copied, FitNew, 48, at(2, 11)},
			{segment(false, at(1, 15), at(1, 15), 50), FitStale, 48, at(2, 11)},
			{segment(false, at(1, 15), at(1, 16), 50), FitStale, 48, at(2, 11)},
			{segment(true, services.Position{}, at(1, 20), 50, 48), FitStale, 48, at(2, 11)},
		},
		"it holds a version that is lost": {
			{copied, FitNew, 48, at(2, 11)},
			{segment(false, at(1, 15), at(1, 16), 50, 50), FitStale, 50, at(2, 11)},
		},
		"another router knows a version that is lost": {
			{copied, FitNew, 48, at(2, 11)},
			{segment(true, services.Position{}, at(2, 11), 120, 55), FitNew, 55, at(2, 11)},
		},
		"the operator writes again, one by one": {
			{copied, FitNew, 48, at(2, 11)},
			{segment(false, at(2, 11), at(2, 13), 200, 37, 48), FitNew, 48, at(2, 13)},
			{segment(false, at(2, 13), at(2, 14), 300, 52), FitNew, 52, at(2, 14)},
		},
		"two returns, of which one was not seen": {
			{segment(true, services.Position{}, at(3, 10), 100, 31), FitNew, 48, at(3, 10)},
			{copied, FitStale, 48, at(3, 10)},
		},
	}
	for name, steps := range cases {
		t.Run(name, func(t *testing.T) {
			s := New(2 * time.Second)
			s.ApplyCatalogs(begin, known)
			for i, st := range steps {
				fit := s.ApplyCatalogs(begin, st.segment)
				if fit != st.fit || s.Version() != st.version || s.Catalogs().Next != st.next {
					t.Errorf("step %d: %s, version %d up to %s; want %s, %d, %s", i, fit, s.Version(), s.Catalogs().Next, st.fit, st.version, st.next)
				}
			}
		})
	}
}

// TestUpstreamsAfterRestore restores the store from a copy that lists upstreams as they were before
// they left, arrived or restarted.
func TestUpstreamsAfterRestore(t *testing.T) {
	at := func(era services.Era, o services.Offset) services.Position {
		return services.Position{Era: era, Offset: o}
	}
	const ready, leaving = upstream.StateReady, upstream.StateLeaving
	type changes = []services.Change[upstream.Instance]
	up := func(id string, born upstream.Born, address string, state upstream.State, place services.Position) services.Change[upstream.Instance] {
		i := &upstream.Instance{ID: upstream.ID(id), Born: born, Service: "s", Address: address, State: state}
		return services.Change[upstream.Instance]{Key: id, Value: i, At: place}
	}
	first := changes{up("a", 1, "x", ready, at(1, 0)), up("b", 1, "y", ready, at(1, 1))}
	cases := map[string]struct {
		// lost is what was written after the copy was taken, and copied what the copy lists.
		lost, copied changes
		// then is what is written after the restore.
		then changes
		// want lists the upstreams that accept work right after the restore, and later those that
		// do some time after it.
		want, later []upstream.ID
	}{
		"nothing was lost": {nil, changes{up("a", 1, "x", ready, at(2, 0)), up("b", 1, "y", ready, at(2, 1))}, nil, ids("a", "b"), ids("a", "b")},
		"one has said that it leaves": {
			changes{up("a", 1, "x", leaving, at(1, 2))}, changes{up("a", 1, "x", ready, at(2, 0)), up("b", 1, "y", ready, at(2, 1))}, nil, ids("b"), ids("b"),
		},
		"one has gone": {
			changes{{Key: "a", At: at(1, 2)}}, changes{up("a", 1, "x", ready, at(2, 0)), up("b", 1, "y", ready, at(2, 1))}, nil, ids("b"), ids("a", "b"),
		},
		"one has gone, and the store drops it": {
			changes{{Key: "a", At: at(1, 2)}},
			changes{up("a", 1, "x", ready, at(2, 0)), up("b", 1, "y", ready, at(2, 1))},
			changes{{Key: "a", At: at(2, 2)}},
			ids("b"), ids("b"),
		},
		"one has gone and started again": {
			changes{{Key: "a", At: at(1, 2)}},
			changes{up("a", 1, "x", ready, at(2, 0)), up("b", 1, "y", ready, at(2, 1))},
			changes{up("a", 2, "x", ready, at(2, 2))},
			ids("a", "b"), ids("a", "b"),
		},
		"one has come, and comes again": {
			changes{up("c", 1, "z", ready, at(1, 2))},
			changes{up("a", 1, "x", ready, at(2, 0)), up("b", 1, "y", ready, at(2, 1))},
			changes{up("c", 1, "z", ready, at(2, 2))},
			ids("a", "b", "c"), ids("a", "b", "c"),
		},
		"one has come, and is missing": {
			changes{up("c", 1, "z", ready, at(1, 2))}, changes{up("a", 1, "x", ready, at(2, 0)), up("b", 1, "y", ready, at(2, 1))}, nil, ids("a", "b"), ids("a", "b"),
		},
		"another has the address, and is missing": {
			changes{up("c", 1, "x", ready, at(1, 2))}, changes{up("a", 1, "x", ready, at(2, 0)), up("b", 1, "y", ready, at(2, 1))}, nil, ids("b"), ids("a", "b"),
		},
		"another has the address, and comes again": {
			changes{up("c", 1, "x", ready, at(1, 2))},
			changes{up("a", 1, "x", ready, at(2, 0)), up("b", 1, "y", ready, at(2, 1))},
			changes{up("c", 1, "x", ready, at(2, 2))},
			ids("b", "c"), ids("b", "c"),
		},
		"the copy lists none": {nil, nil, nil, ids("a", "b"), nil},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := New(2 * time.Second)
			s.ApplyUpstreams(begin, Segment[upstream.Instance]{Whole: true, Next: at(1, 2), AsOf: begin, Changes: first})
			s.ApplyUpstreams(begin, Segment[upstream.Instance]{From: at(1, 2), Next: at(1, 3), AsOf: begin, Changes: c.lost})
			now := begin.Add(2 * time.Second)
			s.ApplyUpstreams(now, Segment[upstream.Instance]{Whole: true, Next: at(2, 2), AsOf: now, Changes: c.copied})
			s.ApplyUpstreams(now, Segment[upstream.Instance]{From: at(2, 2), Next: at(2, 3), AsOf: now, Changes: c.then})
			if got := taking(s, now); !slices.Equal(got, c.want) {
				t.Errorf("after the return %v take work, want %v", got, c.want)
			}
			now = now.Add(2 * relistDelay)
			s.ApplyUpstreams(now, Segment[upstream.Instance]{From: at(2, 3), Next: at(2, 4), AsOf: now})
			if got := taking(s, now); !slices.Equal(got, c.later) {
				t.Errorf("a while after it %v take work, want %v", got, c.later)
			}
		})
	}
}

func ids(list ...upstream.ID) []upstream.ID { return list }

// taking returns the upstreams that may get work of a service: Usable lists them, and AcceptsWork
// agrees right before sending.
func taking(s *State, now time.Time) []upstream.ID {
	var out []upstream.ID
	for _, i := range s.Usable(now, "s") {
		if s.AcceptsWork(now, i.ID) {
			out = append(out, i.ID)
		}
	}
	return out
}
