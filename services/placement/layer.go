// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package placement

import (
	"fmt"
	"math/bits"
	"slices"

	"fawnwinch.org/fawnwinch/models/expertmap"
)

// wordBits is the number of ranks in one word of a set.
const wordBits = 64

// rankSets holds a set of ranks for each expert, in one slice of words so that a copy is one clone.
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

// empty marks an unused slot. A second replica on the same rank has no use, so its slot counts as
// unused.
const empty = expertmap.Free

// layer is the working state of one layer.
type layer struct {
	popularity []float64
	speed      []float64
	// slots[rank] lists the experts held.
	slots [][]expertmap.Expert
	// holders is the set of ranks that hold each expert, and replicas their number.
	holders  rankSets
	replicas []int
	// replicaLoads holds the load of one replica of each expert, and extraLoads the load that each
	// remaining holder gains when one replica is dropped. Both are derived from replicas and cached
	// because the search reads them often.
	replicaLoads, extraLoads []float64
	// inverseSpeed holds 1/speed.
	inverseSpeed []float64
	// load holds the load of each rank: the loads of its replicas, divided by its speed. mean is the
	// mean of load, weighted by speed.
	load []float64
	mean float64
	// initial is the set of ranks that held each expert at the start; gained counts the experts
	// that each rank has gained since. maxFresh bounds gained; 0 means no limit.
	initial  rankSets
	gained   []int
	maxFresh int
	// totalGained counts the experts that each rank gains in all layers by changes already applied,
	// and applied the part of them in this layer. A rank gains at most maxRank; 0 means no limit.
	totalGained, applied []int
	maxRank              int
}

// ErrShape reports an input with mismatched sizes.
type ErrShape struct{ What string }

func (e ErrShape) Error() string { return "placement: " + e.What }

func newLayer(slots [][]expertmap.Expert, popularity, speed []float64) (*layer, error) {
	if len(speed) != len(slots) {
		return nil, ErrShape{What: fmt.Sprintf("%d speeds for %d ranks", len(speed), len(slots))}
	}
	l := &layer{
		popularity: popularity, speed: speed, slots: make([][]expertmap.Expert, len(slots)),
		holders: newRankSets(len(popularity), len(slots)), replicas: make([]int, len(popularity)), load: make([]float64, len(slots)),
		replicaLoads: make([]float64, len(popularity)), extraLoads: make([]float64, len(popularity)), inverseSpeed: make([]float64, len(slots)),
	}
	for r, s := range speed {
		l.inverseSpeed[r] = 1 / s
	}
	for r, held := range slots {
		if err := l.addRank(r, held); err != nil {
			return nil, err
		}
	}
	for e := range popularity {
		l.changeReplicas(expertmap.Expert(e), 0)
	}
	l.initial, l.gained, l.applied = l.holders.clone(), make([]int, len(slots)), make([]int, len(slots))
	l.computeLoad()
	var total, speeds float64
	for r := range slots {
		total += l.load[r] * speed[r]
		speeds += speed[r]
	}
	l.mean = total / speeds
	return l, nil
}

// addRank adds the slots of one rank.
func (l *layer) addRank(r int, held []expertmap.Expert) error {
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

// clone returns a copy that can be changed without changing l. Slot lists are shared until
// replaced.
func (l *layer) clone() *layer {
	c := *l
	c.slots = slices.Clone(l.slots)
	c.holders = l.holders.clone()
	c.replicas = slices.Clone(l.replicas)
	c.load = slices.Clone(l.load)
	c.gained = slices.Clone(l.gained)
	c.replicaLoads, c.extraLoads = slices.Clone(l.replicaLoads), slices.Clone(l.extraLoads)
	return &c
}

// changeReplicas changes the number of replicas of an expert.
func (l *layer) changeReplicas(e expertmap.Expert, by int) {
	l.replicas[e] += by
	n := float64(l.replicas[e])
	l.replicaLoads[e] = l.popularity[e] / n
	l.extraLoads[e] = l.popularity[e]/(n-1) - l.replicaLoads[e]
}

// mayGain reports whether a rank may gain an expert: it held it at the start, or is still below its
// limits.
func (l *layer) mayGain(e expertmap.Expert, r int) bool {
	if l.initial.has(e, r) {
		return true
	}
	if l.maxFresh != 0 && l.gained[r] >= l.maxFresh {
		return false
	}
	return l.maxRank == 0 || l.totalGained[r]+l.gained[r]-l.applied[r] < l.maxRank
}

// add records that a rank now holds an expert.
func (l *layer) add(e expertmap.Expert, r int) {
	l.holders.add(e, r)
	if !l.initial.has(e, r) {
		l.gained[r]++
	}
}

// remove records that a rank no longer holds an expert.
func (l *layer) remove(e expertmap.Expert, r int) {
	l.holders.remove(e, r)
	if !l.initial.has(e, r) {
		l.gained[r]--
	}
}

// replicaLoad returns the load of one replica of an expert.
func (l *layer) replicaLoad(e expertmap.Expert) float64 {
	if e == empty {
		return 0
	}
	return l.replicaLoads[e]
}

// computeLoad sets the load of each rank to the sum of the loads of its replicas, divided by its
// speed. It sums all of them each time so that rounding errors do not accumulate.
func (l *layer) computeLoad() {
	for r, held := range l.slots {
		l.load[r] = 0
		for _, e := range held {
			l.load[r] += l.replicaLoad(e)
		}
		l.load[r] *= l.inverseSpeed[r]
	}
}

// mostLoaded returns the rank with the largest load, and that load.
func (l *layer) mostLoaded() (int, float64) {
	high := 0
	for r, load := range l.load {
		if load > l.load[high] {
			high = r
		}
	}
	return high, l.load[high]
}

// skew returns the ratio of the largest load to the mean; 1 is balanced.
func (l *layer) skew() float64 {
	if l.mean == 0 {
		return 1
	}
	_, high := l.mostLoaded()
	return high / l.mean
}

func (l *layer) replace(r, slot int, e expertmap.Expert) {
	held := append([]expertmap.Expert(nil), l.slots[r]...)
	held[slot] = e
	l.slots[r] = held
}

// maxHolderLoad returns the largest load among the holders of an expert except ranks a and b, after
// each gains the load more.
func (l *layer) maxHolderLoad(e expertmap.Expert, more float64, a, b int) float64 {
	var high float64
	for w, word := range l.holders.of(e) {
		for ; word != 0; word &= word - 1 {
			r := w*wordBits + bits.TrailingZeros64(word)
			if r != a && r != b {
				high = max(high, l.load[r]+more*l.inverseSpeed[r])
			}
		}
	}
	return high
}
