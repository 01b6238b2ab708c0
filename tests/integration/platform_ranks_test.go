// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package integration

import (
	"fmt"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"fawnwinch.org/fawnwinch/platform/platformtest"
	"fawnwinch.org/fawnwinch/standin/rankgroup"
)

const (
	rankCount   = 3
	rankLayers  = 2
	rankExperts = 12
	rankSlots   = 6
)

// ranks is a stand-in group with a real agent beside each rank.
type ranks struct {
	*site
	group  *rankgroup.Group
	agents []*process
	// popular is the most popular expert.
	popular int
}

// newRanks starts a group and its agents.
func newRanks(t *testing.T, seed uint64) *ranks {
	t.Helper()
	return newGroups(t, seed, "g")[0]
}

// newGroups starts groups of one service and their agents.
func newGroups(t *testing.T, seed uint64, names ...string) []*ranks {
	t.Helper()
	s := newSite(t)
	s.store.Put(operatorStream, "config", fmt.Sprintf(`{"version":1,"routes":[
	{"name":"draft","host":"h","pathPrefix":"/","kind":"streaming","timeoutMs":8000,"targetLatencyMs":500,"gap_aim_ms":50,"service":"pool","maxAttempts":2}],
	"services":[{"name":"pool","engine":{"slots":12,"stride":4,"step_ms":4.5,"per_seq_ms":0.9,"read_per_s":60000,"chunk":512,"usual":{"prompt":800},
	"sets":%d,"experts":%d,"places":%d,"spare":2,"expert_mb":1,"expert_share":0.85,"form_ms":600}}]}`, rankLayers, rankExperts, rankSlots))
	var out []*ranks
	for _, name := range names {
		out = append(out, newGroup(s, seed, name))
	}
	for _, r := range out {
		r.group.Start()
		t.Cleanup(func() {
			r.group.Stop()
			if seen := r.group.Stats(); seen.Mixed != 0 {
				t.Errorf("%d of %d passes began with two maps", seen.Mixed, seen.Passes)
			}
		})
	}
	return out
}

// newGroup starts the agents of a group.
func newGroup(s *site, seed uint64, name string) *ranks {
	r := &ranks{site: s, group: rankgroup.New(rankgroup.Options{
		Name: name, Ranks: rankCount, Layers: rankLayers, Experts: rankExperts, PassTime: 15 * time.Millisecond, LoadTime: 20 * time.Millisecond,
		Seed: seed, ChoicesPerPass: 60, Running: 10,
	})}
	for n := range rankCount {
		engine := httptest.NewServer(r.group.Handler(n))
		s.t.Cleanup(func() { engine.CloseClientConnections(); engine.Close() })
		r.agents = append(r.agents, r.agent(fmt.Sprint("side-", name, "-", n), strings.TrimPrefix(engine.URL, "http://")))
	}
	return r
}

// agent starts the agent beside an engine.
func (r *ranks) agent(name, engine string) *process {
	r.t.Helper()
	port := r.nextPort()
	settings := filepath.Join(r.dir, name+".toml")
	text := platformtest.NodeFile{Name: name, IP: r.ip, Zone: "a", Ports: [2]int{port, port}, App: engine, Service: "pool", Store: r.addr}.Text()
	if err := os.WriteFile(settings, []byte(text), 0o600); err != nil {
		r.t.Fatal(err)
	}
	p := &process{t: r.t, name: name, args: []string{"platform", "agent", "-c", settings}, logs: filepath.Join(r.dir, name+".log")}
	p.start()
	r.t.Cleanup(func() {
		p.kill()
		raw, err := os.ReadFile(p.logs)
		if err != nil {
			r.t.Errorf("read logs: %v", err)
		}
		if strings.Contains(string(raw), "DATA RACE") {
			r.t.Errorf("%s has a data race:\n%s", name, raw)
		}
		if r.t.Failed() && os.Getenv("FAWNWINCH_TEST_LOGS") != "" {
			r.t.Logf("%s:\n%s", name, raw)
		}
	})
	return p
}

// coordinator returns the agent that became coordinator last, by its log.
func (r *ranks) coordinator() *process {
	var best *process
	highest := 0
	for _, p := range r.agents {
		raw, _ := os.ReadFile(p.logs) // an agent that has not logged yet does not coordinate
		for line := range strings.Lines(string(raw)) {
			var authority int
			if _, value, ok := strings.Cut(line, "event=coordinator-begins authority="); ok {
				if _, err := fmt.Sscan(value, &authority); err == nil && authority > highest {
					best, highest = p, authority
				}
			}
		}
	}
	return best
}

// shiftPopularity makes another expert the most popular. Its replicas are far from those of the one
// before.
func (r *ranks) shiftPopularity() {
	r.popular = (r.popular + 5) % rankExperts
	r.group.SetHotExpert(r.popular)
}

// awaitMaps shifts popularity and waits for a map that follows, as many times as changes says.
func (r *ranks) awaitMaps(what string, changes int) {
	r.t.Helper()
	for range changes {
		before := r.group.Stats().Changes
		r.shiftPopularity()
		eventually(r.t, what, func() bool { return r.group.Stats().Changes > before })
	}
}

// TestRanks runs real agents beside the ranks of a stand-in group with lost and late orders, and
// with coordinators that are killed and frozen, also while they hold the group. Maps must follow
// popularity, and no pass may begin with two of them.
func TestRanks(t *testing.T) {
	kill := func(p *process) { p.kill(); p.start() }
	cases := map[string]struct {
		faults rankgroup.Faults
		// fault is injected at the coordinator between two shifts.
		fault func(r *ranks)
	}{
		"no faults":            {},
		"lost and late orders": {faults: rankgroup.Faults{Lost: 0.3, Late: 400 * time.Millisecond}},
		"coordinator killed":   {fault: func(r *ranks) { kill(r.coordinator()) }},
		"coordinator frozen and woken": {fault: func(r *ranks) {
			p := r.coordinator()
			p.signal(syscall.SIGSTOP)
			eventually(r.t, "another coordinator", func() bool { return r.coordinator() != p })
			p.signal(syscall.SIGCONT)
		}},
		"coordinator killed while it holds the group, with lost orders": {
			faults: rankgroup.Faults{Lost: 0.3, Late: 300 * time.Millisecond},
			fault: func(r *ranks) {
				p := r.coordinator()
				for held := false; !held; {
					before := r.group.Stats().Changes
					r.shiftPopularity()
					eventually(r.t, "a hold or a change", func() bool {
						held = r.group.Holds()
						return held || r.group.Stats().Changes > before
					})
				}
				kill(p)
			},
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := newRanks(t, 7)
			r.awaitMaps("a first map", 1)
			r.group.SetFaults(c.faults)
			r.awaitMaps("a map that follows", 2)
			if c.fault != nil {
				c.fault(r)
			}
			passes := r.group.Stats().Passes
			r.awaitMaps("a map that follows afterwards", 2)
			eventually(t, "passes", func() bool { return r.group.Stats().Passes > passes+50 })
			t.Logf("%+v", r.group.Stats())
		})
	}
}

// maxStoreCalls is the number of calls of the store that an agent may make per second once its
// group is led.
const maxStoreCalls = 2

// TestTwoGroups runs two groups of one service. Each must be led, its maps must follow the
// popularity of its experts, and its agents must not go on calling the store.
func TestTwoGroups(t *testing.T) {
	t.Parallel()
	groups := newGroups(t, 7, "g", "h")
	for _, r := range groups {
		r.awaitMaps("a first map", 1)
	}
	began, before := time.Now(), groups[0].calls.Load()
	for range 3 {
		for _, r := range groups {
			r.awaitMaps("a map that follows", 1)
		}
	}
	passes := groups[1].group.Stats().Passes
	eventually(t, "passes", func() bool { return groups[1].group.Stats().Passes > passes+60 })
	calls, maxCalls := groups[0].calls.Load()-before, maxStoreCalls*2*rankCount*time.Since(began).Seconds()
	if float64(calls) > maxCalls {
		t.Errorf("%d calls of the store in %s", calls, time.Since(began))
	}
}

// TestCoordinatorStops stops the coordinator as planned while it holds the group for a change of map.
// It guards against a group that stands still until another coordinator has taken over.
func TestCoordinatorStops(t *testing.T) {
	const (
		stops = 3
		// longestHold is the time for which a change may hold the group, also with lost orders.
		longestHold = 250 * time.Millisecond
	)
	r := newRanks(t, 4)
	r.awaitMaps("the first change", 1)
	for range stops {
		r.shiftPopularity()
		before := r.group.Stats().Changes
		for deadline := time.Now().Add(20 * time.Second); !r.group.Holds(); time.Sleep(500 * time.Microsecond) {
			if time.Now().After(deadline) {
				t.Fatal("the group is not held")
			}
		}
		coordinator := r.coordinator()
		coordinator.signal(syscall.SIGTERM)
		begun := time.Now()
		for r.group.Holds() && time.Since(begun) < 5*time.Second {
			time.Sleep(500 * time.Microsecond)
		}
		if held := time.Since(begun); held > longestHold {
			t.Errorf("the group is held for %s after the order to stop", held)
		}
		select {
		case <-coordinator.done:
		case <-time.After(5 * time.Second):
			t.Fatal("the coordinator has not ended")
		}
		coordinator.start()
		r.awaitMaps("a change by another coordinator", before+1)
	}
}
