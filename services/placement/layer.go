// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package placement

import (
	"fmt"
	"math/bits"
	"slices"

	"fawnwinch.org/fawnwinch/models/expertmap"
)

// wordBits is the size of a word of a set of ranks.
const wordBits = 64

// rankSets holds a set of ranks for each expert, in one row of words, so that it is copied at once.
type rankSets struct {
	words int
	bits  []uint64
}

func newRankSets(experts, ranks int) rankSets {
	words := (ranks + wordBits - 1) / wordBits
	return rankSets{words: words, bits: make([]uint64, experts*words)}
}

// of returns the words of an expert's set.
func (s *rankSets) of(e expertmap.Expert) []uint64 {
	return s.bits[int(e)*s.words : (int(e)+1)*s.words]
}

func (s *rankSets) has(e expertmap.Expert, r int) bool {
	return s.bits[int(e)*s.words+r/wordBits]&(1<<(r%wordBits)) != 0
}

func (s *rankSets) add(e expertmap.Expert, r int) { s.of(e)[r/wordBits] |= 1 << (r % wordBits) }

func (s *rankSets) remove(e expertmap.Expert, r int) { s.of(e)[r/wordBits] &^= 1 << (r % wordBits) }

func (s *rankSets) clone() rankSets {
	return rankSets{words: s.words, bits: slices.Clone(s.bits)}
}

// empty marks a slot that holds nothing of use: a second replica on the same rank serves nobody.
const empty = expertmap.Free

// layer is one layer while it is being changed.
type layer struct {
	popularity []float64
	speed      []float64
	// slots[rank] lists the experts held.
	slots [][]expertmap.Expert
	// holders and replicas tell for each expert which ranks hold it, and how many.
	holders  rankSets
	replicas []int
	// parts holds the load of one replica of each expert; more, what each holder gets on top when
	// one replica is dropped. Both follow from replicas and are kept because the search asks often.
	parts, more []float64
	// inverse holds 1/speed.
	inverse []float64
	load    []float64
	mean    float64
	// origin tells which ranks held each expert at first; fresh counts the experts that each rank has
	// got since. A rank gets at most maxFresh of them; 0 means any number.
	origin   rankSets
	fresh    []int
	maxFresh int
	// loads counts the experts that each rank gets in all layers, by changes that have been made, and made those
	// of them that are of this layer. A rank gets at most maxRank; 0 means any number.
	loads, made []int
	maxRank     int
}

// ErrShape reports an input whose sizes do not fit together.
type ErrShape struct{ What string }

func (e ErrShape) Error() string { return "placement: " + e.What }

func newLayer(slots [][]expertmap.Expert, popularity, speed []float64) (*layer, error) {
	if len(speed) != len(slots) {
		return nil, ErrShape{What: fmt.Sprintf("%d speeds for %d ranks", len(speed), len(slots))}
	}
	l := &layer{
		popularity: popularity, speed: speed, slots: make([][]expertmap.Expert, len(slots)),
		holders: newRankSets(len(popularity), len(slots)), replicas: make([]int, len(popularity)), load: make([]float64, len(slots)),
		parts: make([]float64, len(popularity)), more: make([]float64, len(popularity)), inverse: make([]float64, len(slots)),
	}
	for r, s := range speed {
		l.inverse[r] = 1 / s
	}
	for r, held := range slots {
		if err := l.hold(r, held); err != nil {
			return nil, err
		}
	}
	for e := range popularity {
		l.count(expertmap.Expert(e), 0)
	}
	l.origin, l.fresh, l.made = l.holders.clone(), make([]int, len(slots)), make([]int, len(slots))
	l.reload()
	var total, speeds float64
	for r := range slots {
		total += l.load[r] * speed[r]
		speeds += speed[r]
	}
	l.mean = total / speeds
	return l, nil
}

// hold takes in the slots of one rank.
func (l *layer) hold(r int, held []expertmap.Expert) error {
	l.slots[r] = held
	for i, e := range held {
		if e == empty {
			continue
		}
		if int(e) >= len(l.popularity) || e < 0 {
			return ErrShape{What: fmt.Sprintf("expert %d of %d", e, len(l.popularity))}
		}
		if l.holders.has(e, r) {
			l.replace(r, i, empty)
			continue
		}
		l.holders.add(e, r)
		l.replicas[e]++
	}
	return nil
}

// clone returns a copy that can be changed without changing l. Slot lists are shared until replaced.
func (l *layer) clone() *layer {
	c := *l
	c.slots = slices.Clone(l.slots)
	c.holders = l.holders.clone()
	c.replicas = slices.Clone(l.replicas)
	c.load = slices.Clone(l.load)
	c.fresh = slices.Clone(l.fresh)
	c.parts, c.more = slices.Clone(l.parts), slices.Clone(l.more)
	return &c
}

// count changes the number of replicas of an expert.
func (l *layer) count(e expertmap.Expert, by int) {
	l.replicas[e] += by
	n := float64(l.replicas[e])
	l.parts[e] = l.popularity[e] / n
	l.more[e] = l.popularity[e]/(n-1) - l.parts[e]
}

// room reports whether a rank may get an expert: it had it at first, or has not got too many since.
func (l *layer) room(e expertmap.Expert, r int) bool {
	if l.origin.has(e, r) {
		return true
	}
	if l.maxFresh != 0 && l.fresh[r] >= l.maxFresh {
		return false
	}
	return l.maxRank == 0 || l.loads[r]+l.fresh[r]-l.made[r] < l.maxRank
}

// add notes that a rank now holds an expert.
func (l *layer) add(e expertmap.Expert, r int) {
	l.holders.add(e, r)
	if !l.origin.has(e, r) {
		l.fresh[r]++
	}
}

// remove notes that a rank no longer holds an expert.
func (l *layer) remove(e expertmap.Expert, r int) {
	l.holders.remove(e, r)
	if !l.origin.has(e, r) {
		l.fresh[r]--
	}
}

// part returns the load of one replica of an expert.
func (l *layer) part(e expertmap.Expert) float64 {
	if e == empty {
		return 0
	}
	return l.parts[e]
}

// reload computes the loads anew, so that rounding does not build up.
func (l *layer) reload() {
	for r, held := range l.slots {
		l.load[r] = 0
		for _, e := range held {
			l.load[r] += l.part(e)
		}
		l.load[r] *= l.inverse[r]
	}
}

// heaviest returns the rank with the largest load, and that load.
func (l *layer) heaviest() (int, float64) {
	high := 0
	for r, load := range l.load {
		if load > l.load[high] {
			high = r
		}
	}
	return high, l.load[high]
}

// skew returns the largest load against the mean; 1 is even.
func (l *layer) skew() float64 {
	if l.mean == 0 {
		return 1
	}
	_, high := l.heaviest()
	return high / l.mean
}

func (l *layer) replace(r, slot int, e expertmap.Expert) {
	held := append([]expertmap.Expert(nil), l.slots[r]...)
	held[slot] = e
	l.slots[r] = held
}

// raised returns the largest load among the holders of an expert, other than two ranks, once each
// has more of it.
func (l *layer) raised(e expertmap.Expert, more float64, a, b int) float64 {
	var high float64
	for w, word := range l.holders.of(e) {
		for ; word != 0; word &= word - 1 {
			r := w*wordBits + bits.TrailingZeros64(word)
			if r != a && r != b {
				high = max(high, l.load[r]+more*l.inverse[r])
			}
		}
	}
	return high
}
