// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package knowledge

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"fawnwinch.org/fawnwinch/models/catalog"
	"fawnwinch.org/fawnwinch/models/upstream"
	"fawnwinch.org/fawnwinch/models/vm"
	"fawnwinch.org/fawnwinch/services"
)

// evacuationRecord returns the record of an evacuation at an offset of an era.
func evacuationRecord(era services.Era, at services.Offset, dc vm.DataCentre, ended bool) services.Change[catalog.Update] {
	return services.Change[catalog.Update]{At: services.Position{Era: era, Offset: at}, Value: &catalog.Update{Evacuation: &catalog.Evacuation{DataCentre: dc, Ended: ended}}}
}

// TestEvacuations checks which data centres are evacuated after segments of the operator's feed.
func TestEvacuations(t *testing.T) {
	began := func(at services.Offset) services.Change[catalog.Update] { return evacuationRecord(0, at, "a", false) }
	ended := func(at services.Offset) services.Change[catalog.Update] { return evacuationRecord(0, at, "a", true) }
	other := evacuationRecord(0, 1, "b", false)
	type segment = Segment[catalog.Update]
	type records = []services.Change[catalog.Update]
	read := func(from, next services.Offset, c ...services.Change[catalog.Update]) segment {
		return segment{From: position(from), Next: position(next), AsOf: begin, Changes: c}
	}
	whole := func(era services.Era, next services.Offset, c ...services.Change[catalog.Update]) segment {
		return segment{Whole: true, Next: services.Position{Era: era, Offset: next}, AsOf: begin, Changes: c}
	}
	cases := map[string]struct {
		segments []segment
		want     []vm.DataCentre
	}{
		"none":                                      {[]segment{whole(0, 3)}, nil},
		"at the start":                              {[]segment{whole(0, 3, began(2))}, []vm.DataCentre{"a"}},
		"started":                                   {[]segment{whole(0, 3), read(3, 4, began(3))}, []vm.DataCentre{"a"}},
		"started twice":                             {[]segment{whole(0, 3), read(3, 5, began(3), began(4))}, []vm.DataCentre{"a"}},
		"ended":                                     {[]segment{whole(0, 3), read(3, 4, began(3)), read(4, 5, ended(4))}, nil},
		"ended in the same segment":                 {[]segment{whole(0, 3), read(3, 5, began(3), ended(4))}, nil},
		"ended without a start":                     {[]segment{whole(0, 3), read(3, 4, ended(3))}, nil},
		"ended early and started again":             {[]segment{whole(0, 3), read(3, 6, began(3), ended(4), began(5))}, []vm.DataCentre{"a"}},
		"all data centres":                          {[]segment{whole(0, 3, other, began(2))}, []vm.DataCentre{"a", "b"}},
		"its start is told again after the end":     {[]segment{whole(0, 3), read(3, 5, began(3), ended(4)), whole(0, 5, began(3))}, nil},
		"a stale segment":                           {[]segment{whole(0, 5, ended(4)), read(3, 4, began(3))}, nil},
		"a snapshot that no longer lists it":        {[]segment{whole(0, 3, began(2)), whole(0, 9)}, nil},
		"a start after such a snapshot":             {[]segment{whole(0, 3, began(2)), whole(0, 9), read(9, 10, began(9))}, []vm.DataCentre{"a"}},
		"a router that knows the end":               {[]segment{whole(0, 3, began(2)), whole(0, 9, ended(7))}, nil},
		"a restore that has lost its start":         {[]segment{whole(0, 9, began(8)), whole(1, 5)}, []vm.DataCentre{"a"}},
		"and the operator's end after that":         {[]segment{whole(0, 9, began(8)), whole(1, 5), {From: services.Position{Era: 1, Offset: 5}, Next: services.Position{Era: 1, Offset: 6}, AsOf: begin, Changes: records{evacuationRecord(1, 5, "a", true)}}}, nil},
		"a restore to before its end":               {[]segment{whole(0, 9, ended(8)), whole(1, 5, evacuationRecord(1, 2, "a", false))}, []vm.DataCentre{"a"}},
		"a restore that has kept all":               {[]segment{whole(0, 9, began(3)), whole(1, 9, evacuationRecord(1, 3, "a", false))}, []vm.DataCentre{"a"}},
		"a restore to after an end that was missed": {[]segment{whole(0, 4, began(3)), whole(1, 9)}, nil},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := New(time.Second)
			for _, p := range c.segments {
				s.ApplyCatalogs(begin, p)
			}
			if got := s.Evacuated(); !slices.Equal(got, c.want) {
				t.Errorf("evacuated: %v, want %v", got, c.want)
			}
		})
	}
}

// TestEvacuationsConverge checks that routers which learn of the same records in different orders,
// in snapshots of each other, agree on the evacuated data centres once each has the newest record.
func TestEvacuationsConverge(t *testing.T) {
	for seed := range uint64(200) {
		r := rand.New(rand.NewPCG(seed, 1))
		var log []services.Change[catalog.Update]
		for i := range 12 {
			log = append(log, evacuationRecord(0, services.Offset(i), vm.DataCentre('a'+rune(r.IntN(3))), r.IntN(2) == 0))
		}
		source := New(time.Second)
		source.ApplyCatalogs(begin, Segment[catalog.Update]{Whole: true, AsOf: begin})
		states := []*State{New(time.Second), New(time.Second), New(time.Second)}
		tell := func(to, from *State) {
			p := Segment[catalog.Update]{Whole: true, Next: from.Catalogs().Next, AsOf: begin, Changes: from.Evacuations()}
			to.ApplyCatalogs(begin, p)
		}
		for i, c := range log {
			source.ApplyCatalogs(begin, Segment[catalog.Update]{From: position(services.Offset(i)), Next: position(services.Offset(i + 1)), AsOf: begin, Changes: []services.Change[catalog.Update]{c}})
			tell(states[r.IntN(3)], source)
			if to, from := r.IntN(3), r.IntN(3); to != from && states[from].Catalogs().Known() {
				tell(states[to], states[from])
			}
		}
		for i, s := range states {
			tell(s, source)
			if got, want := s.Evacuated(), source.Evacuated(); !slices.Equal(got, want) {
				t.Errorf("seed %d: router %d has %v evacuated, want %v", seed, i, got, want)
			}
		}
	}
}

// TestEvacuatedUpstreams checks that upstreams in an evacuated data centre get no work until the
// evacuation has ended, also one that was chosen before it began.
func TestEvacuatedUpstreams(t *testing.T) {
	s := New(time.Second)
	in := func(id, address string, dc vm.DataCentre) services.Change[upstream.Instance] {
		return services.Change[upstream.Instance]{Key: id, Value: &upstream.Instance{ID: upstream.ID(id), Service: "s", Address: address, DataCentre: dc, State: upstream.StateReady}}
	}
	s.ApplyUpstreams(begin, Segment[upstream.Instance]{Whole: true, Next: position(2), AsOf: begin, Changes: []services.Change[upstream.Instance]{in("u1", "10.0.0.1:1", "a"), in("u2", "10.0.0.2:1", "b")}})
	steps := []struct {
		name   string
		record services.Change[catalog.Update]
		usable []upstream.ID
		closed int
	}{
		{"a is evacuated", evacuationRecord(0, 1, "a", false), []upstream.ID{"u2"}, 1},
		{"b too", evacuationRecord(0, 2, "b", false), nil, 2},
		{"a is taken back", evacuationRecord(0, 3, "a", true), []upstream.ID{"u1"}, 1},
		{"a data centre without upstreams", evacuationRecord(0, 4, "c", false), []upstream.ID{"u1"}, 1},
	}
	s.ApplyCatalogs(begin, Segment[catalog.Update]{Whole: true, Next: position(1), AsOf: begin})
	for _, c := range steps {
		s.ApplyCatalogs(begin, Segment[catalog.Update]{From: c.record.At, Next: c.record.At.After(1), AsOf: begin, Changes: []services.Change[catalog.Update]{c.record}})
		var usable []upstream.ID
		for _, u := range s.Usable(begin, "s") {
			usable = append(usable, u.ID)
		}
		if !slices.Equal(usable, c.usable) {
			t.Errorf("%s: usable are %v, want %v", c.name, usable, c.usable)
		}
		if n := len(s.EvacuatedUpstreams("s")); n != c.closed {
			t.Errorf("%s: %d evacuated upstreams, want %d", c.name, n, c.closed)
		}
		for _, u := range []upstream.ID{"u1", "u2"} {
			if got, want := s.AcceptsWork(begin, u), slices.Contains(c.usable, u); got != want {
				t.Errorf("%s: upstream %s accepts work: %t, want %t", c.name, u, got, want)
			}
		}
	}
}
