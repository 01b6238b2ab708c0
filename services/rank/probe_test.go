// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package rank

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"fawnwinch.org/fawnwinch/services/peer"

	"github.com/rs/zerolog"
)

// probedPool answers the questions of a candidate: the agents of the group, of other groups, and
// silent ones, by address.
type probedPool struct {
	own, foreign map[string]bool

	mu    sync.Mutex
	asked map[string]int
}

func (p *probedPool) Call(_ context.Context, address, _ string, _, reply any) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.asked[address]++
	if !p.own[address] && !p.foreign[address] {
		return errNoAnswer
	}
	reply.(*LeadReply).Foreign = p.foreign[address]
	return nil
}

// TestProbeFindsOwnGroup guards against a candidate that takes silent agents of other groups for
// those of its own: of 5 groups of 3 whose coordinators had died, the two candidates of one found
// none of their group in 7 attempts, and the group had no coordinator for more than 2 s.
func TestProbeFindsOwnGroup(t *testing.T) {
	cases := map[string]struct {
		own, foreign, silent int
		// most is the largest number of agents that may be asked.
		most int
	}{
		"one alive, five coordinators dead": {own: 1, foreign: 8, silent: 5, most: 14},
		"one alive, two groups dead":        {own: 1, silent: 48, most: 49},
		"all alive":                         {own: 71, most: probedAgents},
		"none alive":                        {foreign: 8, silent: 7, most: 15},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			pool := &probedPool{own: map[string]bool{}, foreign: map[string]bool{}}
			var agents []peer.Info
			for i := range c.own + c.foreign + c.silent {
				address := fmt.Sprint("at ", i)
				agents = append(agents, peer.Info{Name: fmt.Sprint("agent-", i), Address: address})
				pool.own[address], pool.foreign[address] = i < c.own, i >= c.own && i < c.own+c.foreign
			}
			a := New(time.Now(), Options{Pool: pool, Logger: zerolog.Nop()})
			for range 100 {
				pool.asked = map[string]int{}
				p := a.probe(t.Context(), agents, "g")
				if (p.answered > 0) != (c.own > 0) {
					t.Fatalf("%d agents of the group answered, %d are alive (%d silent, %d of other groups were asked)", p.answered, c.own, p.silent, p.foreign)
				}
				if len(pool.asked) > c.most {
					t.Fatalf("%d agents were asked, want %d at most", len(pool.asked), c.most)
				}
				for address, n := range pool.asked {
					if n > 1 {
						t.Fatalf("%s was asked %d times", address, n)
					}
				}
			}
		})
	}
}
