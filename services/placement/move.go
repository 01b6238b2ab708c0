// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package placement

import "fawnwinch.org/fawnwinch/models/expertmap"

// move changes one layer: at rank to, slot toSlot, expert in is loaded instead of expert out.
// If swap is set, rank from loads out instead of in at fromSlot, which is a second load.
type move struct {
	from, fromSlot int
	to, toSlot     int
	in, out        expertmap.Expert
	swap           bool
}

func (m move) cost() int {
	if m.swap {
		return 2
	}
	return 1
}

// search finds the move that relieves the most loaded rank of a layer most for its cost, without
// loading another rank as much.
type search struct {
	l      *layer
	source int
	top    float64
	// relief is the difference, per loaded expert, between top and the largest load that the best
	// move leaves at the ranks it changes.
	relief float64
	best   move
	found  bool
}

// minRelief is the minimum relief of a move, as a fraction of the mean load.
const minRelief = 1e-6

// best returns the best move of the layer, or false if none relieves the most loaded rank.
func (l *layer) best() (move, bool) {
	s := search{l: l, relief: minRelief * l.mean}
	s.source, s.top = l.mostLoaded()
	for slot, in := range l.slots[s.source] {
		if in != empty {
			s.unload(slot, in)
		}
	}
	return s.best, s.found
}

// unload tries to place an expert of the most loaded rank at every other rank.
func (s *search) unload(slot int, in expertmap.Expert) {
	l := s.l
	loadNow, loadAfter := l.replicaLoads[in], l.popularity[in]/float64(l.replicas[in]+1)
	for to := range l.slots {
		if to == s.source || l.load[to] >= s.top || l.holders.has(in, to) || !l.mayGain(in, to) {
			continue
		}
		m := move{from: s.source, fromSlot: slot, to: to, in: in}
		for toSlot, out := range l.slots[to] {
			m.toSlot, m.out, m.swap = toSlot, out, false
			if out == empty || l.replicas[out] > 1 {
				s.tryReplica(m, loadNow, loadAfter)
			}
			if out != empty && !l.holders.has(out, s.source) && l.mayGain(out, s.source) {
				m.swap = true
				s.trySwap(m, loadNow)
			}
		}
	}
}

// tryReplica evaluates one more replica of in at the cost of one replica of out.
func (s *search) tryReplica(m move, loadNow, loadAfter float64) {
	l, limit := s.l, s.top-s.relief
	after := l.load[m.to] + (loadAfter-l.replicaLoad(m.out))*l.inverseSpeed[m.to]
	if after >= limit {
		return
	}
	from := l.load[m.from] - (loadNow-loadAfter)*l.inverseSpeed[m.from]
	if m.out != empty {
		more := l.extraLoads[m.out]
		if l.holders.has(m.out, m.from) {
			from += more * l.inverseSpeed[m.from]
		}
		after = max(after, l.maxHolderLoad(m.out, more, m.from, m.to))
	}
	s.consider(m, max(after, from))
}

// trySwap evaluates an exchange of in and out between the two ranks.
func (s *search) trySwap(m move, replicaLoad float64) {
	l, limit := s.l, s.top-2*s.relief
	shift := replicaLoad - l.replicaLoad(m.out)
	after := l.load[m.to] + shift*l.inverseSpeed[m.to]
	if after >= limit {
		return
	}
	s.consider(m, max(after, l.load[m.from]-shift*l.inverseSpeed[m.from]))
}

func (s *search) consider(m move, after float64) {
	relief := (s.top - after) / float64(m.cost())
	if relief > s.relief {
		s.best, s.relief, s.found = m, relief, true
	}
}

// apply applies a move. The slot lists of changed ranks are copied so that the original map is not
// modified.
func (l *layer) apply(m move) {
	l.replace(m.to, m.toSlot, m.in)
	l.add(m.in, m.to)
	if m.out != empty {
		l.remove(m.out, m.to)
	}
	if m.swap {
		l.replace(m.from, m.fromSlot, m.out)
		l.remove(m.in, m.from)
		l.add(m.out, m.from)
	} else {
		l.changeReplicas(m.in, 1)
		if m.out != empty {
			l.changeReplicas(m.out, -1)
		}
	}
	l.computeLoad()
}
