// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package entry

import (
	"testing"
	"time"
)

// TestSearchBackoff checks how often a router searches for the coordinators of a service: often
// while no load is reported, and less and less often while only some groups are missing.
func TestSearchBackoff(t *testing.T) {
	now := time.Unix(1000, 0)
	cases := map[string]struct {
		before        time.Duration
		covered, some bool
		want          time.Duration
	}{
		"nobody tells":                   {0, false, false, searchInterval},
		"nobody tells, still":            {maxSearchInterval, false, false, searchInterval},
		"all are told":                   {maxSearchInterval, true, true, searchInterval},
		"some are told":                  {0, false, true, searchInterval},
		"some are told, the next time":   {searchInterval, false, true, 2 * searchInterval},
		"some are told, for a long time": {maxSearchInterval, false, true, maxSearchInterval},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			p := searchBackoff{length: c.before}.next(now, c.covered, c.some)
			if p.length != c.want || !p.until.Equal(now.Add(c.want)) {
				t.Errorf("pause %s until %s, want %s", p.length, p.until.Sub(now), c.want)
			}
		})
	}
}
