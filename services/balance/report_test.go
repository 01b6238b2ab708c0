// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package balance

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"reflect"
	"testing"
)

// TestReport packs groups as reports and unpacks them with different lists on the router's side.
func TestReport(t *testing.T) {
	g := Group{
		Service: "chat", ID: "g", Open: true, Skew: 1.25,
		Ranks: []RankLoad{{Address: "a", Running: 200, Waiting: 3, Unstarted: 1, Pace: 1}, {Address: "b", Pace: 5}},
	}
	list := RankList{Number: 7}.Next(g.Ranks)
	if same := list.Next(g.Ranks); list.Number != 8 || same.Number != 8 {
		t.Fatalf("list %d, then %d for the same ranks; want 8 and 8", list.Number, same.Number)
	}
	allotted := g
	allotted.Places = Allotment{"b": 2}
	silent := g
	silent.Ranks = []RankLoad{g.Ranks[0], {Address: "b", Pace: 1, Silent: true}}
	none := g
	none.Places = Allotment{}
	cases := map[string]struct {
		group Group
		// has is the router's list before the report.
		has  RankList
		read bool
	}{
		"first report":              {group: g, read: true},
		"list is known":             {group: g, has: list, read: true},
		"places":                    {group: allotted, has: list, read: true},
		"a silent rank":             {group: silent, has: list, read: true},
		"not a single place":        {group: none, has: list, read: true},
		"list of an earlier start":  {group: g, has: RankList{Number: 8, Addresses: []string{"a"}}},
		"same number, other ranks":  {group: allotted, has: RankList{Number: 8, Addresses: []string{"a", "b", "c"}}},
		"another list, sent anew":   {group: allotted, has: RankList{Number: 4, Addresses: []string{"z"}}, read: true},
		"no ranks are known at all": {group: Group{ID: "g"}, has: RankList{}, read: true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			l := list.Next(tc.group.Ranks)
			r := roundTrip(t, l.Pack(tc.group, tc.has.Number))
			has := tc.has
			if carried, ok := r.IncludedList(); ok {
				has = carried
			}
			got, ok := has.Unpack(r)
			if ok != tc.read {
				t.Fatalf("read: %t, want %t", ok, tc.read)
			}
			want := tc.group
			if want.Ranks == nil {
				want.Ranks = []RankLoad{}
			}
			if ok && !reflect.DeepEqual(got, want) {
				t.Errorf("got  %+v\nwant %+v", got, want)
			}
		})
	}
}

// TestUnstarted packs and unpacks the counts of a router's reply.
func TestUnstarted(t *testing.T) {
	l := RankList{Number: 1, Addresses: []string{"a", "b"}}
	if got := l.UnpackUnstarted(l.PackUnstarted(Unstarted{"b": 2})); !reflect.DeepEqual(got, Unstarted{"b": 2}) {
		t.Errorf("got %v, want 2 at b", got)
	}
	if got := l.PackUnstarted(Unstarted{}); got != nil {
		t.Errorf("got %v for nothing", got)
	}
	if got := l.UnpackUnstarted([]uint{1}); got != nil {
		t.Errorf("got %v from a list of other length", got)
	}
}

// TestReportSize limits the size of a report of a large group to a router that has the list.
func TestReportSize(t *testing.T) {
	g := Group{Service: "chat", ID: "group-0", Open: true, Whole: true, Skew: 1.2, Places: Allotment{}}
	for i := range 64 {
		address := fmt.Sprintf("10.20.30.%d:8000", i)
		g.Ranks = append(g.Ranks, RankLoad{Address: address, Running: 10, Waiting: 2, Unstarted: 1, Pace: 1})
		g.Places[address] = i % 2
	}
	l := RankList{}.Next(g.Ranks)
	var b bytes.Buffer
	enc := gob.NewEncoder(&b)
	size := func(v any) int {
		from := b.Len()
		if err := enc.Encode(v); err != nil {
			t.Fatal(err)
		}
		return b.Len() - from
	}
	size(Group{}) // the first value of a type includes the type's description
	size(Report{})
	plain, packed := size(g), size(l.Pack(g, l.Number))
	if packed > 350 {
		t.Errorf("a report of %d ranks takes %d bytes, want 350 at most (with addresses %d)", len(g.Ranks), packed, plain)
	}
	t.Logf("%d bytes instead of %d", packed, plain)
}

// roundTrip encodes and decodes a report as a connection does.
func roundTrip(t *testing.T, r Report) Report {
	t.Helper()
	var b bytes.Buffer
	if err := gob.NewEncoder(&b).Encode(r); err != nil {
		t.Fatal(err)
	}
	var out Report
	if err := gob.NewDecoder(&b).Decode(&out); err != nil {
		t.Fatal(err)
	}
	return out
}

// TestPackMost packs and unpacks limits by list position; positions outside the list are dropped.
func TestPackMost(t *testing.T) {
	list := RankList{Number: 1, Addresses: []string{"a", "b", "c"}}
	cases := map[string]struct {
		most SendLimits
		sent map[int]uint
		want SendLimits
	}{
		"none":                  {nil, nil, SendLimits{}},
		"some":                  {SendLimits{"a": 0, "c": 2}, map[int]uint{0: 0, 2: 2}, SendLimits{"a": 0, "c": 2}},
		"of a rank that is not": {SendLimits{"z": 1}, map[int]uint{}, SendLimits{}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			sent := list.PackLimits(c.most)
			if fmt.Sprint(sent) != fmt.Sprint(c.sent) {
				t.Errorf("sent %v, want %v", sent, c.sent)
			}
			if got := list.UnpackLimits(sent); !reflect.DeepEqual(got, c.want) {
				t.Errorf("read %v, want %v", got, c.want)
			}
		})
	}
	if got := list.UnpackLimits(map[int]uint{-1: 1, 3: 1}); len(got) != 0 {
		t.Errorf("read %v from positions outside the list", got)
	}
	if got := list.UnpackRanks(append(list.PackRanks([]string{"c", "z", "a"}), -1, 3)); fmt.Sprint(got) != "[c a]" {
		t.Errorf("read ranks %v, want c and a", got)
	}
}
