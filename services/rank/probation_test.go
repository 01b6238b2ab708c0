// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package rank

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"fawnwinch.org/fawnwinch/models/catalog"
	"fawnwinch.org/fawnwinch/models/group"
	"fawnwinch.org/fawnwinch/models/service"
	"fawnwinch.org/fawnwinch/modules/clock"
	"fawnwinch.org/fawnwinch/services"
	"fawnwinch.org/fawnwinch/services/balance"
	"fawnwinch.org/fawnwinch/services/peer"

	"github.com/rs/zerolog"
)

// TestPaceProbation checks which pace is assumed for a rank that reports a pace in each poll round.
// A rank that flapped got its full share at its first good report, and made all streams of its
// group late in the next bad moment.
func TestPaceProbation(t *testing.T) {
	// phase is a pace that is reported for some time; assumed is the one at the end of it.
	type phase struct {
		pace    float64
		lasts   time.Duration
		assumed float64
	}
	cases := map[string][]phase{
		"always normal":              {{1, time.Second, 1}, {0, time.Second, 1}},
		"never slow":                 {{1.1, time.Second, 1.1}, {1, 70 * time.Millisecond, 1}, {1.2, 70 * time.Millisecond, 1.2}, {1.05, 70 * time.Millisecond, 1.05}},
		"turns slow":                 {{1, time.Second, 1}, {3, 70 * time.Millisecond, 3}, {5, 70 * time.Millisecond, 5}},
		"recovers":                   {{3, time.Second, 3}, {1, 490 * time.Millisecond, 3}, {1, 70 * time.Millisecond, 2}, {1, 560 * time.Millisecond, 1.5}, {1, 4 * time.Second, 1}},
		"believed again afterwards":  {{3, time.Second, 3}, {1, 6 * time.Second, 1}, {1.2, time.Second, 1.2}, {1, 70 * time.Millisecond, 1}},
		"recovers in part":           {{5, time.Second, 5}, {2, 560 * time.Millisecond, 3.5}, {2, 6 * time.Second, 2}},
		"flaps every 1.4 s":          {{3, 1400 * time.Millisecond, 3}, {1, 1400 * time.Millisecond, 1.5}, {3, 1400 * time.Millisecond, 3}, {1, 1400 * time.Millisecond, 2}, {3, 1400 * time.Millisecond, 3}, {1, 1400 * time.Millisecond, 3}, {3, 1400 * time.Millisecond, 3}, {1, 3920 * time.Millisecond, 3}, {1, 140 * time.Millisecond, 2}},
		"slow again after long":      {{3, time.Second, 3}, {1, 31 * time.Second, 1}, {3, time.Second, 3}, {1, 560 * time.Millisecond, 2}},
		"slow again before that":     {{3, time.Second, 3}, {1, 25 * time.Second, 1}, {3, time.Second, 3}, {1, 560 * time.Millisecond, 3}, {1, 490 * time.Millisecond, 2}},
		"small changes while normal": {{1, time.Second, 1}, {1.24, time.Second, 1.24}, {1, 70 * time.Millisecond, 1}, {1.24, time.Second, 1.24}, {1, 70 * time.Millisecond, 1}},
	}
	for name, phases := range cases {
		t.Run(name, func(t *testing.T) {
			var p paceProbation
			now := begin
			for i, f := range phases {
				for end := now.Add(f.lasts); now.Before(end); now = now.Add(pollInterval) {
					p.report(now, f.pace)
				}
				if math.Abs(p.pace()-f.assumed) > paceBelieved {
					t.Errorf("phase %d: a pace of %.2f is assumed after %s at %.2f, want %.2f", i, p.pace(), f.lasts, f.pace, f.assumed)
				}
			}
		})
	}
	t.Run("not heard for long", func(t *testing.T) {
		var p paceProbation
		p.report(begin, 5)
		p.report(begin.Add(20*time.Second), 1)
		if p.pace() != 3 {
			t.Errorf("a pace of %.2f is assumed at the first normal report, want 3", p.pace())
		}
	})
}

// pacedGroup is a group of ranks that report paces, and a router that wants to send more than it
// can get.
type pacedGroup struct {
	coordinator *coordinator
	ranks       []services.RankStatus
	now         time.Time
}

func newPacedGroup(ranks int) *pacedGroup {
	g := &pacedGroup{now: begin}
	for r := range ranks {
		g.ranks = append(g.ranks, services.RankStatus{Group: "g", Size: ranks, Open: true, Rank: group.Rank(r), Pace: 1, Born: 1})
	}
	g.lead()
	return g
}

// lead gives the group a new coordinator, beside the first rank.
func (g *pacedGroup) lead() {
	c := newCoordinator(New(g.now, Options{Self: peer.Info{Name: "side-0", Engine: "e0"}, Logger: zerolog.Nop()}), lead(1), g.ranks[0])
	c.engine, c.goal = figures, 200*time.Millisecond
	g.coordinator = c
}

// poll makes the ranks report their status for some time.
func (g *pacedGroup) poll(lasts time.Duration) {
	for end := g.now.Add(lasts); g.now.Before(end); g.now = g.now.Add(pollInterval) {
		for r, s := range g.ranks {
			g.coordinator.record(g.now, peer.Info{Name: fmt.Sprint("side-", r), Engine: fmt.Sprint("e", r)}, Reply{Status: s}, false)
		}
	}
}

// allotted returns the places that the only router gets at each rank.
func (g *pacedGroup) allotted() []int {
	c, router := g.coordinator, peer.Info{Name: "front"}
	c.registry = balance.NewRouterRegistry(1)
	load := c.load(clock.Now())
	bounds := balance.Bounds{Rank: 12, Mean: 10}
	number, _ := c.registry.StartReport(g.now, []peer.Info{router}, load.Ranks, &bounds)
	_, list := c.registry.Pack(router.Name, load)
	c.registry.RecordReply(g.now, router, number, list, balance.ReportReply{List: list.Number, Wanted: 1000})
	_, places := c.registry.StartReport(g.now, []peer.Info{router}, load.Ranks, &bounds)
	out := make([]int, len(g.ranks))
	for r := range g.ranks {
		out[r] = places[router.Name][fmt.Sprint("e", r)]
	}
	return out
}

// TestSharesByPace checks the places that ranks get by the paces that they report, and have
// reported before. A rank had all or nothing: with twice the usual pace nothing, below it as many
// as all others, and all of them again at its first normal report.
func TestSharesByPace(t *testing.T) {
	cases := map[string]struct {
		run  func(g *pacedGroup)
		want []int
	}{
		"all as usual":          {func(g *pacedGroup) { g.poll(time.Second) }, []int{10, 10, 10, 10, 10, 10}},
		"a rank is slow":        {func(g *pacedGroup) { g.ranks[3].Pace = 1.3; g.poll(time.Second) }, []int{11, 11, 10, 8, 10, 10}},
		"a rank is much slower": {func(g *pacedGroup) { g.ranks[3].Pace = 5; g.poll(time.Second) }, []int{12, 12, 12, 0, 12, 12}},
		"a third of the ranks are slow": {func(g *pacedGroup) {
			g.ranks[2].Pace, g.ranks[3].Pace = 1.5, 1.5
			g.poll(time.Second)
		}, []int{12, 12, 7, 7, 11, 11}},
		"a third of the ranks are much slower": {func(g *pacedGroup) {
			g.ranks[2].Pace, g.ranks[3].Pace = 5, 5
			g.poll(time.Second)
		}, []int{12, 12, 0, 0, 12, 12}},
		"the coordinator's own rank is slow": {func(g *pacedGroup) { g.ranks[0].Pace = 1.9; g.poll(time.Second) }, []int{6, 11, 11, 11, 11, 10}},
		"a rank flaps every 1.4 s": {func(g *pacedGroup) {
			for range 4 {
				g.ranks[3].Pace = 3
				g.poll(1400 * time.Millisecond)
				g.ranks[3].Pace = 1
				g.poll(1400 * time.Millisecond)
			}
		}, []int{12, 12, 12, 0, 12, 12}},
		"the rank was slow once": {func(g *pacedGroup) {
			g.ranks[3].Pace = 3
			g.poll(time.Second)
			g.ranks[3].Pace = 1
			g.poll(1190 * time.Millisecond)
		}, []int{11, 11, 11, 7, 10, 10}},
		"the coordinator changes meanwhile": {func(g *pacedGroup) {
			g.ranks[3].Pace = 3
			g.poll(time.Second)
			g.lead()
			g.ranks[3].Pace = 1
			g.poll(pollInterval)
		}, []int{10, 10, 10, 10, 10, 10}},
		"the coordinator changes while the rank is slow": {func(g *pacedGroup) {
			g.ranks[3].Pace = 3
			g.poll(time.Second)
			g.lead()
			g.poll(pollInterval)
		}, []int{12, 12, 12, 0, 12, 12}},
		"the slow engine is replaced": {func(g *pacedGroup) {
			g.ranks[3].Pace = 3
			g.poll(time.Second)
			g.ranks[3].Pace, g.ranks[3].Born = 1, 2
			g.poll(pollInterval)
		}, []int{10, 10, 10, 10, 10, 10}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := newPacedGroup(6)
			c.run(g)
			if got := g.allotted(); !slices.Equal(got, c.want) {
				t.Errorf("places %v, want %v", got, c.want)
			}
		})
	}
}

// TestShortestGoal checks the goal with which the coordinator judges waiting times: the shortest of
// the routes to its service. A goal of another service's route would let waiting requests count too
// soon.
func TestShortestGoal(t *testing.T) {
	route := func(to service.ID, goal time.Duration) catalog.Route {
		return catalog.Route{Goal: goal, Targets: []catalog.Target{{Service: to}}}
	}
	k := catalog.Catalog{
		Services: []catalog.Service{{ID: "m", Engine: figures}},
		Routes:   []catalog.Route{route("m", time.Second), route("m", 400*time.Millisecond), route("m", 0), route("other", time.Millisecond)},
	}
	var view clusterView
	view.addCatalog(&k, "m")
	c := newCoordinator(New(begin, Options{Logger: zerolog.Nop()}), lead(1), services.RankStatus{Group: "g", Size: 1})
	c.clusterView = view
	if got := c.bounds(balance.Group{}).Goal; got != 400*time.Millisecond {
		t.Errorf("the goal is %s, want 400 ms", got)
	}
}
