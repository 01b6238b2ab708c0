// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package replay

import (
	"fmt"
	"math"
	"testing"
	"time"

	"fawnwinch.org/fawnwinch/models/vm"
)

// uneven describes a deployment in several data centres whose demand differs. Ranks and routers are
// divided among them in turn, and callers use the routers of their own. Without it there is one data
// centre.
type uneven struct {
	dataCentres int
	// demand returns the part of the load that arrives in a data centre at a time, relative to the
	// others.
	demand func(dataCentre int, at time.Duration) float64
}

// dataCentreResult is the outcome for the callers of one data centre.
type dataCentreResult struct{ callers, inTime float64 }

func (u *uneven) name(i int) vm.DataCentre {
	if u == nil {
		return ""
	}
	return vm.DataCentre(fmt.Sprint("dc-", i%u.dataCentres))
}

// locateCaller chooses the data centre of a caller.
func (w *world) locateCaller(c *caller) {
	u := w.p.uneven
	if u == nil {
		return
	}
	if w.res.at == nil {
		w.res.at = make([]dataCentreResult, u.dataCentres)
	}
	total := 0.0
	for d := range u.dataCentres {
		total += u.demand(d, w.at())
	}
	drawn := w.arrivalRand.Float64() * total
	for c.dataCentre < u.dataCentres-1 && drawn >= u.demand(c.dataCentre, w.at()) {
		drawn -= u.demand(c.dataCentre, w.at())
		c.dataCentre++
	}
	w.res.at[c.dataCentre].callers++
}

// routerFor returns a random router of the caller's data centre.
func (w *world) routerFor(c *caller) *router {
	u := w.p.uneven
	if u == nil {
		return w.routers[w.rand.IntN(len(w.routers))]
	}
	n := (len(w.routers) - c.dataCentre + u.dataCentres - 1) / u.dataCentres
	return w.routers[c.dataCentre+u.dataCentres*w.rand.IntN(n)]
}

// countInTime counts a caller that was answered in time.
func (w *world) countInTime(c *caller) {
	if w.p.uneven != nil {
		w.res.at[c.dataCentre].inTime++
	}
}

// swinging returns the demand of data centres that swings by half around its mean, with different
// phases.
func swinging(dataCentres int, period time.Duration) func(int, time.Duration) float64 {
	return func(d int, at time.Duration) float64 {
		return 1 + 0.5*math.Sin(2*math.Pi*(at.Seconds()/period.Seconds()+float64(d)/float64(dataCentres)))
	}
}

// played returns the smallest and the largest share in time of a data centre's callers, and the
// worth, of a pattern in data centres.
func (u uneven) played(p pattern, seeds uint64) (least, largest, worth float64) {
	sum := make([]dataCentreResult, u.dataCentres)
	for seed := range seeds {
		p.uneven, p.seed = &u, seed
		r := play(p, nil)
		worth += r.worth() / float64(seeds)
		for d := range sum {
			sum[d].callers, sum[d].inTime = sum[d].callers+r.at[d].callers, sum[d].inTime+r.at[d].inTime
		}
	}
	least = 1
	for _, s := range sum {
		least, largest = min(least, s.inTime/s.callers), max(largest, s.inTime/s.callers)
	}
	return least, largest, worth
}

// TestDataCentresAlike simulates demand that swings in three data centres with different phases. The
// ranks of all of them carry the load, but those of one do not carry its peak: no data centre may be
// served worse than another because its routers get too few places elsewhere.
func TestDataCentresAlike(t *testing.T) {
	const (
		dataCentres = 3
		seeds       = 3
		// most is the largest difference between the shares in time of two data centres.
		most = 0.03
	)
	cases := map[string]struct {
		routers, ranks int
		load           float64
	}{
		"load 0.9":        {70, 63, 0.9},
		"load 1.0":        {70, 63, 1.0},
		"load 1.1":        {70, 63, 1.1},
		"load 0.9, small": {9, 12, 0.9},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := pattern{rate: steady(c.load), skew: steady(1.5), pace: usualPace}.with(c.routers, c.ranks, 50*time.Millisecond, 0)
			u := uneven{dataCentres: dataCentres, demand: swinging(dataCentres, 4*time.Second)}
			least, largest, worth := u.played(p, seeds)
			t.Logf("%s: in time %.3f to %.3f of each data centre's callers, worth %.3f", name, least, largest, worth)
			if largest-least > most {
				t.Errorf("%.3f of one data centre's callers are answered in time, and %.3f of another's", least, largest)
			}
		})
	}
}
