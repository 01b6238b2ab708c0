// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package entry

import (
	"testing"
	"time"
)

// TestSeekPause checks how often a router seeks the groups of a service: often while nobody tells, and more and more rarely while only
// some groups are missing.
func TestSeekPause(t *testing.T) {
	now := time.Unix(1000, 0)
	cases := map[string]struct {
		before        time.Duration
		covered, some bool
		want          time.Duration
	}{
		"nobody tells":                   {0, false, false, seekGap},
		"nobody tells, still":            {seekMost, false, false, seekGap},
		"all are told":                   {seekMost, true, true, seekGap},
		"some are told":                  {0, false, true, seekGap},
		"some are told, the next time":   {seekGap, false, true, 2 * seekGap},
		"some are told, for a long time": {seekMost, false, true, seekMost},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			p := seekPause{length: c.before}.next(now, c.covered, c.some)
			if p.length != c.want || !p.until.Equal(now.Add(c.want)) {
				t.Errorf("pause %s until %s, want %s", p.length, p.until.Sub(now), c.want)
			}
		})
	}
}
