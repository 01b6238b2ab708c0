// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package entry

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"fawnwinch.org/fawnwinch/models/vm"
	"fawnwinch.org/fawnwinch/services/peer"
)

// fleet returns routers of some data centres; the first ones of each have more processor cores.
func fleet(dataCentres, each, large int) []peer.Info {
	var out []peer.Info
	for d := range dataCentres {
		for i := range each {
			r := peer.Info{Name: fmt.Sprintf("r-%d-%d", d, i), DataCentre: vm.DataCentre(fmt.Sprint("dc-", d)), Cores: 0.4}
			if i < large {
				r.Cores = 0.8
			}
			out = append(out, r)
		}
	}
	return out
}

// TestRoutersFor checks which routers callers get: a few of their data centre, large ones first,
// and more while those are busy.
func TestRoutersFor(t *testing.T) {
	busy := func(rs []peer.Info, n int) []peer.Info {
		for i := range n {
			rs[i].Busy = true
		}
		return rs
	}
	cases := map[string]struct {
		routers []peer.Info
		dc      vm.DataCentre
		want    int
	}{
		"few routers: all":                   {fleet(3, 4, 0), "dc-0", 12},
		"many: some of the data centre":      {fleet(5, 30, 2), "dc-0", idleRoutersListed},
		"two are busy: two more":             {busy(fleet(5, 30, 2), 2), "dc-0", idleRoutersListed + 2},
		"all are busy: all":                  {busy(fleet(5, 30, 2), 30), "dc-0", 30},
		"a small data centre":                {fleet(10, 2, 0), "dc-0", 2},
		"a data centre without routers":      {fleet(5, 30, 2), "elsewhere", 5 * idleRoutersListed},
		"busy ones of another do not matter": {busy(fleet(5, 30, 2), 30), "dc-1", idleRoutersListed},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			got := routersFor(c.routers, c.dc)
			if len(got) != c.want {
				t.Fatalf("%d routers, want %d", len(got), c.want)
			}
			slices.Reverse(c.routers)
			if again := routersFor(c.routers, c.dc); c.want == idleRoutersListed && !slices.Equal(got, again) {
				t.Errorf("routers with another order of the same list name others: %v, %v", got, again)
			}
		})
	}
	got := routersFor(fleet(5, 30, 2), "dc-3")
	if got[0].Cores != 0.8 || got[1].Cores != 0.8 || got[2].Cores != 0.4 {
		t.Errorf("the large ones are not first: %v", got)
	}
}

// TestRoutersForStable checks that the loss of one router replaces only that one in the list for
// callers.
func TestRoutersForStable(t *testing.T) {
	all := fleet(5, 30, 0)
	before := routersFor(all, "dc-2")
	for _, lost := range before {
		after := routersFor(slices.DeleteFunc(slices.Clone(all), func(r peer.Info) bool { return r.Name == lost.Name }), "dc-2")
		kept := 0
		for _, r := range after {
			if slices.Contains(before, r) {
				kept++
			}
		}
		if len(after) != idleRoutersListed || kept != idleRoutersListed-1 {
			t.Errorf("without %s %d of the others are still named, and %d in all", lost.Name, kept, len(after))
		}
	}
}

// TestRoutersInRegion checks which routers callers get that are in another region than some of the
// routers, or than all that may handle their requests.
func TestRoutersInRegion(t *testing.T) {
	regions := vm.Regions{"dc-0": "north", "dc-1": "north", "dc-2": "south", "dc-3": "east"}
	cases := map[string]struct {
		caller vm.Region
		homes  [][]vm.Region
		want   []vm.DataCentre
	}{
		"own region":                       {"north", nil, []vm.DataCentre{"dc-0", "dc-1"}},
		"own region, which is no home":     {"north", [][]vm.Region{{"south"}}, []vm.DataCentre{"dc-0", "dc-1"}},
		"no router in the caller's region": {"west", [][]vm.Region{{"south", "east"}}, []vm.DataCentre{"dc-2", "dc-3"}},
		"two lists":                        {"west", [][]vm.Region{{"south", "east"}, {"east"}}, []vm.DataCentre{"dc-3"}},
		"no region in both lists":          {"west", [][]vm.Region{{"south"}, {"east"}}, []vm.DataCentre{"dc-0", "dc-1", "dc-2", "dc-3"}},
		"a home without a router":          {"west", [][]vm.Region{{"atlantis"}}, []vm.DataCentre{"dc-0", "dc-1", "dc-2", "dc-3"}},
		"a caller without a region":        {"", [][]vm.Region{{"south"}}, []vm.DataCentre{"dc-0", "dc-1", "dc-2", "dc-3"}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var got []vm.DataCentre
			for _, r := range routersInRegion(fleet(4, 1, 0), regions, c.caller, c.homes) {
				got = append(got, r.DataCentre)
			}
			if !slices.Equal(got, c.want) {
				t.Errorf("routers in %v, want %v", got, c.want)
			}
		})
	}
}

// TestIsBusy checks when a router is busy.
func TestIsBusy(t *testing.T) {
	cases := map[string]struct {
		fraction float64
		before   bool
		idle     time.Duration
		want     bool
	}{
		"serves callers":                     {0.3, false, time.Second, true},
		"serves few":                         {0.2, false, 0, false},
		"was busy, and is not idle":          {0.2, true, 0, true},
		"was busy, and is idle":              {0.05, true, 0, false},
		"starts, without a request":          {0.9, false, 1 << 62, false},
		"was busy, and gets no more request": {0.9, true, 3 * time.Second, false},
	}
	for name, c := range cases {
		if got := isBusy(c.fraction, c.before, c.idle); got != c.want {
			t.Errorf("%s: busy: %t, want %t", name, got, c.want)
		}
	}
}
