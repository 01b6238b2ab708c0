// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package balance

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"testing"
	"time"

	"fawnwinch.org/fawnwinch/models/urgency"
	"fawnwinch.org/fawnwinch/services/peer"
)

// BenchmarkReport measures a coordinator's report in a shortage: the time to allot the places of
// all routers, and the bytes that one router receives.
func BenchmarkReport(b *testing.B) {
	for _, ranks := range []int{12, 72, 260} {
		for _, routers := range []int{6, 33, 531} {
			b.Run(fmt.Sprintf("%d-ranks/%d-routers", ranks, routers), func(b *testing.B) {
				benchmarkReport(b, ranks, routers, nil)
			})
		}
	}
}

// benchmarkReport measures reports to routers that divide their demand into the given levels.
func benchmarkReport(b *testing.B, ranks, routers int, levels []LevelDemand) {
	b.Helper()
	g := Group{Service: "chat", ID: "group-0", Open: true, Whole: true, Skew: 1.2}
	for i := range ranks {
		g.Ranks = append(g.Ranks, RankLoad{Address: fmt.Sprintf("10.20.30.%d:8000", i), Running: 6, Unstarted: 1, Pace: 1})
	}
	infos := make([]peer.Info, routers)
	for i := range infos {
		infos[i].Name = fmt.Sprint("router-", i)
	}
	bounds := Bounds{Rank: 10, Mean: 9, LevelMeans: [urgency.MaxLevels]float64{0, 8.5, 8}}
	registry := NewRouterRegistry(1)
	now := begin
	reply := func(number uint64) {
		for _, n := range infos {
			_, list := registry.Pack(n.Name, g)
			registry.RecordReply(now, n, number, list, ReportReply{List: list.Number, Wanted: 6, Waiting: 5, Rate: 10, Levels: levels})
		}
	}
	number, _ := registry.StartReport(now, infos, g.Ranks, &bounds)
	reply(number)
	places := 0
	for b.Loop() {
		now = now.Add(70 * time.Millisecond)
		var allotments map[string]Allotment
		number, allotments = registry.StartReport(now, infos, g.Ranks, &bounds)
		b.StopTimer()
		g.Places = allotments[infos[0].Name]
		for _, p := range allotments {
			for _, n := range p {
				places += n
			}
		}
		reply(number)
		b.StartTimer()
	}
	b.ReportMetric(float64(places)/float64(b.N), "places/op")
	b.ReportMetric(float64(reportSize(b, registry, g)), "bytes")
}

// reportSize returns the bytes of a report to a router that has the list of ranks.
func reportSize(b *testing.B, registry *RouterRegistry, g Group) int {
	b.Helper()
	report, _ := registry.Pack("router-0", g)
	var out bytes.Buffer
	enc := gob.NewEncoder(&out)
	before := 0
	for _, r := range []Report{{}, report} { // the first value of a type includes its description
		before = out.Len()
		if err := enc.Encode(r); err != nil {
			b.Fatal(err)
		}
	}
	return out.Len() - before
}

// BenchmarkLevelReport is BenchmarkReport with three levels.
func BenchmarkLevelReport(b *testing.B) {
	for _, ranks := range []int{12, 72, 260} {
		for _, routers := range []int{6, 33, 531} {
			b.Run(fmt.Sprintf("%d-ranks/%d-routers", ranks, routers), func(b *testing.B) {
				benchmarkReport(b, ranks, routers, []LevelDemand{{Wanted: 2, Waiting: 1}, {Wanted: 1, Waiting: 1}, {Wanted: 3, Waiting: 3}})
			})
		}
	}
}
