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
	rankCount  = 3
	rankLayers = 2
	rankExpert = 12
	rankPlaces = 6
)

// ranks is a stand-in group with a real agent beside each rank.
type ranks struct {
	*site
	group  *rankgroup.Group
	agents []*process
	// liked is the expert that is liked most.
	liked int
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
	"sets":%d,"experts":%d,"places":%d,"spare":2,"expert_mb":1,"expert_share":0.85,"form_ms":600}}]}`, rankLayers, rankExpert, rankPlaces))
	var out []*ranks
	for _, name := range names {
		out = append(out, newGroup(s, seed, name))
	}
	for _, r := range out {
		r.group.Start()
		t.Cleanup(func() {
			r.group.Stop()
			if seen := r.group.Seen(); seen.Mixed != 0 {
				t.Errorf("%d of %d passes began with two maps", seen.Mixed, seen.Passes)
			}
		})
	}
	return out
}

// newGroup starts the agents of a group.
func newGroup(s *site, seed uint64, name string) *ranks {
	r := &ranks{site: s, group: rankgroup.New(rankgroup.Options{
		Name: name, Ranks: rankCount, Layers: rankLayers, Experts: rankExpert, PassTime: 15 * time.Millisecond, LoadTime: 20 * time.Millisecond,
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

// coordinator returns the agent that began to coordinate last, by its log.
func (r *ranks) coordinator() *process {
	var best *process
	most := 0
	for _, p := range r.agents {
		raw, _ := os.ReadFile(p.logs) // an agent that has not logged yet does not coordinate
		for line := range strings.Lines(string(raw)) {
			var authority int
			if _, rest, ok := strings.Cut(line, "event=coordinator-begins authority="); ok {
				if _, err := fmt.Sscan(rest, &authority); err == nil && authority > most {
					best, most = p, authority
				}
			}
		}
	}
	return best
}

// shift lets another expert be liked most. Its replicas are far from those of the one before.
func (r *ranks) shift() {
	r.liked = (r.liked + 5) % rankExpert
	r.group.Like(r.liked)
}

// drift changes what is liked, and waits for maps that follow.
func (r *ranks) drift(what string, changes int) {
	r.t.Helper()
	for range changes {
		before := r.group.Seen().Changes
		r.shift()
		eventually(r.t, what, func() bool { return r.group.Seen().Changes > before })
	}
}

// TestRanks takes real agents beside the ranks of a stand-in group through lost and late orders, and through
// coordinators that are killed and frozen, also while they hold the group: maps follow what is liked,
// and no pass begins with two of them.
func TestRanks(t *testing.T) {
	kill := func(p *process) { p.kill(); p.start() }
	cases := map[string]struct {
		trouble rankgroup.Trouble
		// strike is done to the coordinator between two shifts.
		strike func(r *ranks)
	}{
		"calm":                 {},
		"lost and late orders": {trouble: rankgroup.Trouble{Lost: 0.3, Late: 400 * time.Millisecond}},
		"coordinator killed":   {strike: func(r *ranks) { kill(r.coordinator()) }},
		"coordinator frozen and woken": {strike: func(r *ranks) {
			p := r.coordinator()
			p.signal(syscall.SIGSTOP)
			eventually(r.t, "another coordinator", func() bool { return r.coordinator() != p })
			p.signal(syscall.SIGCONT)
		}},
		"coordinator killed while it holds the group, with lost orders": {
			trouble: rankgroup.Trouble{Lost: 0.3, Late: 300 * time.Millisecond},
			strike: func(r *ranks) {
				p := r.coordinator()
				for held := false; !held; {
					before := r.group.Seen().Changes
					r.shift()
					eventually(r.t, "a hold or a change", func() bool {
						held = r.group.Holds()
						return held || r.group.Seen().Changes > before
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
			r.drift("a first map", 1)
			r.group.Trouble(c.trouble)
			r.drift("a map that follows", 2)
			if c.strike != nil {
				c.strike(r)
			}
			passes := r.group.Seen().Passes
			r.drift("a map that follows afterwards", 2)
			eventually(t, "passes", func() bool { return r.group.Seen().Passes > passes+50 })
			t.Logf("%+v", r.group.Seen())
		})
	}
}

// mostStoreCalls is the number of calls of the store that an agent may make in a second once its group is led.
const mostStoreCalls = 2

// TestTwoGroups runs two groups of one service: each is led, its maps follow what is liked there, and no agent goes on calling the
// store.
func TestTwoGroups(t *testing.T) {
	t.Parallel()
	groups := newGroups(t, 7, "g", "h")
	for _, r := range groups {
		r.drift("a first map", 1)
	}
	begun, before := time.Now(), groups[0].calls.Load()
	for range 3 {
		for _, r := range groups {
			r.drift("a map that follows", 1)
		}
	}
	passes := groups[1].group.Seen().Passes
	eventually(t, "passes", func() bool { return groups[1].group.Seen().Passes > passes+60 })
	calls, most := groups[0].calls.Load()-before, mostStoreCalls*2*rankCount*time.Since(begun).Seconds()
	if float64(calls) > most {
		t.Errorf("%d calls of the store in %s", calls, time.Since(begun))
	}
}
