// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package timeline_test

import (
	"fmt"
	"testing"
	"time"

	"fawnwinch.org/fawnwinch/modules/timeline"
)

// An answer sorts after its question even though the clocks of the two processes differ.
func ExampleMerge() {
	asker, answerer := timeline.NewRing("asker", 10), timeline.NewRing("answerer", 10)
	now := time.Unix(1000, 0)
	asker.Add(now, timeline.Event{Name: "asked"})
	answerer.Clock.Observe(now.Add(-time.Hour), asker.Clock.Now(now))
	answerer.Add(now.Add(-time.Hour), timeline.Event{Name: "answered"})
	for _, e := range timeline.Merge(answerer.Events(timeline.Filter{}), asker.Events(timeline.Filter{})) {
		fmt.Println(e.Process, e.Name)
	}
	// Output:
	// asker asked
	// answerer answered
}

func TestRingKeepsTheLatest(t *testing.T) {
	r := timeline.NewRing("p", 3)
	for i := range 5 {
		r.Add(time.Unix(int64(i), 0), timeline.Event{Name: fmt.Sprint(i), Request: fmt.Sprint(i % 2)})
	}
	r.Add(time.Unix(0, 0), timeline.Event{Name: "rare", Kind: timeline.KindMap})
	cases := map[string]struct {
		filter timeline.Filter
		want   string
	}{
		"all":        {timeline.Filter{}, "[2 3 4 rare]"},
		"a request":  {timeline.Filter{Request: "0"}, "[2 4]"},
		"since":      {timeline.Filter{Since: time.Unix(3, 0)}, "[3 4 rare]"},
		"rare ones":  {timeline.Filter{Kind: timeline.KindMap}, "[rare]"},
		"other kind": {timeline.Filter{Kind: timeline.KindFault}, "[]"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			names := []string{}
			for _, e := range r.Events(tc.filter) {
				names = append(names, e.Name)
			}
			if got := fmt.Sprint(names); got != tc.want {
				t.Errorf("events %s, want %s", got, tc.want)
			}
		})
	}
}
