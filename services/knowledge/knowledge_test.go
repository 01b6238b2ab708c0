// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package knowledge

import (
	"testing"
	"time"

	"fawnwinch.org/fawnwinch/models/catalog"
	"fawnwinch.org/fawnwinch/models/upstream"
	"fawnwinch.org/fawnwinch/services"
)

var begin = time.Unix(1000, 0)

// TestCatalog checks that a catalog never reverts, and that only word of the version in force makes it fresher.
func TestCatalog(t *testing.T) {
	s := New(2 * time.Second)
	s.Catalog(begin, &catalog.Catalog{Version: 5})
	steps := []struct {
		name    string
		do      func() bool
		news    bool
		version catalog.Version
		at      time.Duration
	}{
		{"the same again", func() bool { return s.Catalog(begin.Add(time.Second), &catalog.Catalog{Version: 5}) }, false, 5, time.Second},
		{"an older one", func() bool { return s.Catalog(begin.Add(2*time.Second), &catalog.Catalog{Version: 4}) }, false, 5, time.Second},
		{"word of an older one", func() bool { s.Fresh(begin.Add(3*time.Second), 4); return false }, false, 5, time.Second},
		{"word of the one in force", func() bool { s.Fresh(begin.Add(3*time.Second), 5); return false }, false, 5, 3 * time.Second},
		{"late word", func() bool { s.Fresh(begin.Add(2*time.Second), 5); return false }, false, 5, 3 * time.Second},
		{"a newer one", func() bool { return s.Catalog(begin.Add(2*time.Second), &catalog.Catalog{Version: 9}) }, true, 9, 2 * time.Second},
	}
	for _, st := range steps {
		if news := st.do(); news != st.news || s.Index().Version != st.version || !s.CatalogAt().Equal(begin.Add(st.at)) {
			t.Errorf("%s: news %t, version %d as of %s", st.name, news, s.Index().Version, s.CatalogAt().Sub(begin))
		}
	}
}

// TestUpstreams follows the list of upstreams through what may happen to it.
func TestUpstreams(t *testing.T) {
	up := func(id string, st upstream.State) services.Change[upstream.Instance] {
		return services.Change[upstream.Instance]{Key: id, Value: &upstream.Instance{ID: upstream.ID(id), Service: "s", State: st}}
	}
	gone := func(id string) services.Change[upstream.Instance] {
		return services.Change[upstream.Instance]{Key: id}
	}
	ready, leaving := upstream.StateReady, upstream.StateLeaving
	type changes = []services.Change[upstream.Instance]
	cases := map[string]struct {
		then   changes
		whole  bool
		after  time.Duration
		usable int
		takesA bool
	}{
		"nothing more":                             {nil, false, 0, 2, true},
		"one leaves":                               {changes{up("a", leaving)}, false, 0, 1, false},
		"one that left comes back under its id":    {changes{up("a", leaving), up("a", ready)}, false, 0, 1, false},
		"an entry goes: others are chosen":         {changes{gone("a")}, false, 0, 1, true},
		"an entry has gone for long":               {changes{gone("a")}, false, 1600 * time.Millisecond, 1, false},
		"all entries lapse: they are still used":   {changes{gone("a"), gone("b")}, false, time.Second, 2, true},
		"all entries lapsed and did not come back": {changes{gone("a"), gone("b")}, false, 1600 * time.Millisecond, 0, false},
		"all lapse and one is back":                {changes{gone("a"), gone("b"), up("a", ready)}, false, 1600 * time.Millisecond, 1, true},
		"a whole list without one":                 {changes{up("b", ready)}, true, 1600 * time.Millisecond, 1, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := New(2 * time.Second)
			s.Upstreams(begin, begin, changes{up("a", ready), up("b", ready)}, true)
			s.Upstreams(begin, begin, c.then, c.whole)
			now := begin.Add(c.after)
			if got := len(s.Usable(now, "s")); got != c.usable {
				t.Errorf("%d usable, want %d", got, c.usable)
			}
			if got := s.Takes(now, "a"); got != c.takesA {
				t.Errorf("a takes work: %t, want %t", got, c.takesA)
			}
		})
	}
}
