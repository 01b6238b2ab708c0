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
	// popularityHalfLife is the half-life of the weight of past choices while demand does not
	// shift.
	popularityHalfLife = 300 * time.Millisecond
	// minChoices is the number of choices of a layer, for each expert, that a plan requires.
	minChoices = 4
	// shiftFraction is the fraction of the choices that must have moved to other experts, beyond
	// what chance moves, for a shift of demand. Between two rounds without a shift it is below a
	// tenth on the users' days.
	shiftFraction = 0.2
	// chanceSpread is how many times the expected difference of two samples of the same demand is
	// attributed to chance.
	chanceSpread = 2.0
	// defaultShiftInterval is the time between shifts that is assumed until some were observed;
	// those of the users' days occur every 3.4 to 4.2 s.
	defaultShiftInterval = 4 * time.Second
	// shiftDecay is the weight of the past in the mean time between shifts.
	shiftDecay = 0.7
)

// demand holds the recent expert choices of a group's requests. It does no I/O and reads no clock.
type demand struct {
	layers, experts int
	counts          []services.RankCounts
	recent          placement.Popularity
	at              time.Time
	// shiftedAt is when demand last shifted, or when counting began.
	shiftedAt time.Time
	// between is the mean time between shifts.
	between time.Duration
}

func newDemand(layers, experts int) *demand {
	d := &demand{layers: layers, experts: experts, between: defaultShiftInterval}
	d.recent = d.none()
	return d
}

// none returns the popularity of experts without any choices.
func (d *demand) none() placement.Popularity {
	p := make(placement.Popularity, d.layers)
	for l := range p {
		p[l] = make([]float64, d.experts)
	}
	return p
}

// count adds the choices since the last round. Choices from before a shift are discarded.
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
		d.decay(now.Sub(d.at))
	}
	d.at = now
	for l, layer := range fresh {
		for e, n := range layer {
			d.recent[l][e] += n
		}
	}
}

// add adds what one rank has counted since the last round. A rank that has restarted counts from 0.
// What a rank counted before it was asked is not recent.
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

// decay reduces the weight of past choices after some time.
func (d *demand) decay(after time.Duration) {
	keep := math.Exp2(-after.Seconds() / popularityHalfLife.Seconds())
	for _, layer := range d.recent {
		for e := range layer {
			layer[e] *= keep
		}
	}
}

// noteShift records a shift. A shift that shows in several rounds is recorded once.
func (d *demand) noteShift(now time.Time) {
	if since := now.Sub(d.shiftedAt); since > pollInterval*shiftRounds {
		d.between = time.Duration(shiftDecay*float64(d.between) + (1-shiftDecay)*float64(since))
	}
	d.shiftedAt = now
}

// shiftRounds is the number of rounds in which one shift may show: the first also counts choices
// from before it.
const shiftRounds = 4

// expectedDuration forecasts how long demand stays as it is.
func (d *demand) expectedDuration(now time.Time) time.Duration {
	return max(d.between, now.Sub(d.shiftedAt))
}

// shifts reports whether new choices differ from the recent ones by more than chance explains, on
// average over the layers.
func (d *demand) shifts(fresh placement.Popularity) bool {
	if !sufficient(d.recent) || !sufficient(fresh) {
		return false
	}
	var moved, chance float64
	for l := range fresh {
		m, c := shiftOf(d.recent[l], fresh[l])
		moved, chance = moved+m, chance+c
	}
	return moved > shiftFraction*float64(d.layers)+chanceSpread*chance
}

// shiftOf returns the fraction of the choices that differs between two samples, and the fraction
// that is expected to differ between two samples of the same demand.
func shiftOf(a, b []float64) (moved, chance float64) {
	sumA, sumB := sum(a), sum(b)
	for e := range a {
		x, y := a[e]/sumA, b[e]/sumB
		moved += math.Abs(x-y) / 2
		chance += math.Sqrt((x+y)/2*(1/sumA+1/sumB)) * halfMeanNormal
	}
	return moved, chance
}

// halfMeanNormal is half of the mean absolute value of a normal variable with standard deviation 1.
const halfMeanNormal = 0.4

// enough reports whether the recent counts suffice for a plan.
func (d *demand) enough() bool { return sufficient(d.recent) }

// sufficient reports whether enough was counted in every layer to distinguish demand from chance.
func sufficient(p placement.Popularity) bool {
	for _, layer := range p {
		if sum(layer) < minChoices*float64(len(layer)) {
			return false
		}
	}
	return true
}

// sum returns the number of choices of a layer.
func sum(layer []float64) float64 {
	var s float64
	for _, n := range layer {
		s += n
	}
	return s
}

// smooth returns the recent demand with a small amount added for every expert, so that none has
// zero cost.
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
