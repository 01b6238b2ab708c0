// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package balance

import (
	"testing"
	"time"

	"fawnwinch.org/fawnwinch/models/upstream"
	"fawnwinch.org/fawnwinch/services/condition"
)

// TestOpening checks the forecast of when upstreams accept requests, from the conditions that they
// report.
func TestOpening(t *testing.T) {
	limits := func(p *Pool, id upstream.ID, rate upstream.Rate, again time.Duration) {
		p.Conditions().Note(begin, begin, run(id), upstream.Notice{Limited: true, Limit: rate})
		p.Conditions().Answered(begin, begin, run(id), condition.PermitReply{Again: again})
	}
	cases := map[string]struct {
		prepare  func(p *Pool)
		requests int
		want     time.Duration
	}{
		"nobody has said anything":       {func(*Pool) {}, 1, 0},
		"one limits its requests":        {func(p *Pool) { limits(p, "u0", 1, time.Second) }, 5, 0},
		"both limit their requests":      {func(p *Pool) { limits(p, "u0", 1, time.Second); limits(p, "u1", 1, 300*time.Millisecond) }, 1, 300 * time.Millisecond},
		"the second request":             {func(p *Pool) { limits(p, "u0", 1, time.Second); limits(p, "u1", 1, 300*time.Millisecond) }, 2, time.Second},
		"the sixth request":              {func(p *Pool) { limits(p, "u0", 1, time.Second); limits(p, "u1", 1, 300*time.Millisecond) }, 6, 3 * time.Second},
		"a limit of nothing":             {func(p *Pool) { limits(p, "u0", 0, time.Second); limits(p, "u1", 0, time.Second) }, 3, condition.Never},
		"many requests, a limit of next": {func(p *Pool) { limits(p, "u0", 1e-12, time.Second); limits(p, "u1", 0, time.Second) }, 3, time.Second + maxForecast},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			p := NewPool("")
			c.prepare(p)
			cands := []upstream.Instance{{ID: "u0", Address: "a0"}, {ID: "u1", Address: "a1"}}
			if got := p.TimeToAccept(begin, cands, c.requests); got != c.want {
				t.Errorf("opens after %s, want %s", got, c.want)
			}
		})
	}
}
