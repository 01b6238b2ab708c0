// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package rank

import (
	"math"
	"time"

	"fawnwinch.org/fawnwinch/services"
	"fawnwinch.org/fawnwinch/services/placement"
)

const (
	// popularityHalfLife is the time in which past choices count half while demand does not shift.
	popularityHalfLife = 300 * time.Millisecond
	// fewestChoices is the number of choices of a layer on which a plan may rest, for each expert.
	fewestChoices = 4
	// shiftPart is the part of the choices that must have gone to other experts, beyond what chance moves, for a
	// shift of demand. Between two looks without a shift it is below a tenth on the users' days.
	shiftPart = 0.2
	// chanceSpread is how many times the expected difference of two samples of the same demand is put down to chance.
	chanceSpread = 2.0
	// usualShift is the time between shifts that is reckoned with until some were seen; those of the users' days
	// come every 3.4 to 4.2 s.
	usualShift = 4 * time.Second
	// shiftKeep is the weight of the past in the mean time between shifts.
	shiftKeep = 0.7
)

// demand is what the requests of a group have chosen lately. It does no I/O and reads no clock.
type demand struct {
	layers, experts int
	counts          []services.RankCounts
	recent          placement.Popularity
	at              time.Time
	// shiftedAt is when demand was last seen to shift, or when counting began.
	shiftedAt time.Time
	// between is the mean time between shifts.
	between time.Duration
}

func newDemand(layers, experts int) *demand {
	d := &demand{layers: layers, experts: experts, between: usualShift}
	d.recent = d.none()
	return d
}

// none returns the popularity of experts that nobody has chosen.
func (d *demand) none() placement.Popularity {
	p := make(placement.Popularity, d.layers)
	for l := range p {
		p[l] = make([]float64, d.experts)
	}
	return p
}

// count takes the choices since the last look in. What was counted before a shift is forgotten.
func (d *demand) count(now time.Time, counts []services.RankCounts) {
	fresh := d.none()
	for r := range counts {
		if d.counts != nil {
			d.add(fresh, d.counts[r], counts[r])
		}
	}
	d.counts = append([]services.RankCounts(nil), counts...)
	switch {
	case d.at.IsZero():
		d.shiftedAt = now
	case d.shifts(fresh):
		d.noteShift(now)
		d.recent = d.none()
	default:
		d.fade(now.Sub(d.at))
	}
	d.at = now
	for l, layer := range fresh {
		for e, n := range layer {
			d.recent[l][e] += n
		}
	}
}

// add adds what one rank has counted since. A rank that has started anew counts from 0. What a rank counted
// before it was asked is not recent.
func (d *demand) add(to placement.Popularity, before, after services.RankCounts) {
	if len(after.Counts) != d.layers*d.experts || len(before.Counts) != len(after.Counts) {
		return
	}
	same := before.Born == after.Born && before.Epoch == after.Epoch
	for i, n := range after.Counts {
		if same && before.Counts[i] <= n {
			n -= before.Counts[i]
		}
		to[i/d.experts][i%d.experts] += float64(n)
	}
}

// fade lets what was counted count less after some time.
func (d *demand) fade(after time.Duration) {
	keep := math.Exp2(-after.Seconds() / popularityHalfLife.Seconds())
	for _, layer := range d.recent {
		for e := range layer {
			layer[e] *= keep
		}
	}
}

// noteShift notes a shift. One that is seen in several looks is one.
func (d *demand) noteShift(now time.Time) {
	if since := now.Sub(d.shiftedAt); since > lookEvery*shiftLooks {
		d.between = time.Duration(shiftKeep*float64(d.between) + (1-shiftKeep)*float64(since))
	}
	d.shiftedAt = now
}

// shiftLooks is the number of looks in which one shift may be seen: in the first, choices from before are counted too.
const shiftLooks = 4

// lasts forecasts how long demand stays as it is.
func (d *demand) lasts(now time.Time) time.Duration {
	return max(d.between, now.Sub(d.shiftedAt))
}

// shifts reports whether new choices differ from the recent ones by more than chance explains, on average over the layers.
func (d *demand) shifts(fresh placement.Popularity) bool {
	if !sufficient(d.recent) || !sufficient(fresh) {
		return false
	}
	var moved, chance float64
	for l := range fresh {
		m, c := shiftOf(d.recent[l], fresh[l])
		moved, chance = moved+m, chance+c
	}
	return moved > shiftPart*float64(d.layers)+chanceSpread*chance
}

// shiftOf returns the part of the choices that two samples differ in, and what two samples of one demand
// are expected to.
func shiftOf(a, b []float64) (moved, chance float64) {
	sumA, sumB := sum(a), sum(b)
	for e := range a {
		x, y := a[e]/sumA, b[e]/sumB
		moved += math.Abs(x-y) / 2
		chance += math.Sqrt((x+y)/2*(1/sumA+1/sumB)) * halfMeanNormal
	}
	return moved, chance
}

// halfMeanNormal is half of the mean size of a normal number with spread 1.
const halfMeanNormal = 0.4

// enough reports whether enough was counted to plan by.
func (d *demand) enough() bool { return sufficient(d.recent) }

// sufficient reports whether enough was counted in every layer to tell demand from chance.
func sufficient(p placement.Popularity) bool {
	for _, layer := range p {
		if sum(layer) < fewestChoices*float64(len(layer)) {
			return false
		}
	}
	return true
}

// sum returns the choices of a layer.
func sum(layer []float64) float64 {
	var s float64
	for _, n := range layer {
		s += n
	}
	return s
}

// smooth returns the recent demand with a little for every expert, so that none counts as free.
func (d *demand) smooth() placement.Popularity {
	out := make(placement.Popularity, len(d.recent))
	for l, layer := range d.recent {
		out[l] = make([]float64, len(layer))
		for e, n := range layer {
			out[l][e] = n + 0.5
		}
	}
	return out
}
