// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package placement

import "fawnwinch.org/fawnwinch/models/expertmap"

// move changes one layer: at rank to, slot toSlot, expert in is loaded in place of expert out.
// If swap is set, rank from gets out in place of in at fromSlot, which is a second load.
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

// search looks for the move that relieves the heaviest rank of a layer most, for its cost, without
// making another rank as heavy.
type search struct {
	l    *layer
	high int
	top  float64
	// relief is the fall from top to the largest load that the best move leaves at the ranks it
	// touches, for each expert loaded.
	relief float64
	best   move
	found  bool
}

// minRelief is the least relief worth a look, as a part of the mean load.
const minRelief = 1e-6

// best returns the best move of the layer, or false if none relieves the heaviest rank.
func (l *layer) best() (move, bool) {
	s := search{l: l, relief: minRelief * l.mean}
	s.high, s.top = l.heaviest()
	for slot, in := range l.slots[s.high] {
		if in != empty {
			s.unload(slot, in)
		}
	}
	return s.best, s.found
}

// unload tries every other rank for an expert that the heaviest rank holds.
func (s *search) unload(slot int, in expertmap.Expert) {
	l := s.l
	partNow, partThen := l.parts[in], l.popularity[in]/float64(l.replicas[in]+1)
	for to := range l.slots {
		if to == s.high || l.load[to] >= s.top || l.holders.has(in, to) || !l.room(in, to) {
			continue
		}
		m := move{from: s.high, fromSlot: slot, to: to, in: in}
		for toSlot, out := range l.slots[to] {
			m.toSlot, m.out, m.swap = toSlot, out, false
			if out == empty || l.replicas[out] > 1 {
				s.tryReplica(m, partNow, partThen)
			}
			if out != empty && !l.holders.has(out, s.high) && l.room(out, s.high) {
				m.swap = true
				s.trySwap(m, partNow)
			}
		}
	}
}

// tryReplica considers one more replica of in, at the price of one replica of out.
func (s *search) tryReplica(m move, partNow, partThen float64) {
	l, limit := s.l, s.top-s.relief
	after := l.load[m.to] + (partThen-l.part(m.out))*l.inverse[m.to]
	if after >= limit {
		return
	}
	from := l.load[m.from] - (partNow-partThen)*l.inverse[m.from]
	if m.out != empty {
		more := l.more[m.out]
		if l.holders.has(m.out, m.from) {
			from += more * l.inverse[m.from]
		}
		after = max(after, l.raised(m.out, more, m.from, m.to))
	}
	s.offer(m, max(after, from))
}

// trySwap considers an exchange of in and out between the two ranks.
func (s *search) trySwap(m move, part float64) {
	l, limit := s.l, s.top-2*s.relief
	shift := part - l.part(m.out)
	after := l.load[m.to] + shift*l.inverse[m.to]
	if after >= limit {
		return
	}
	s.offer(m, max(after, l.load[m.from]-shift*l.inverse[m.from]))
}

func (s *search) offer(m move, after float64) {
	relief := (s.top - after) / float64(m.cost())
	if relief > s.relief {
		s.best, s.relief, s.found = m, relief, true
	}
}

// apply makes a move. The slot lists of touched ranks are copied, so that the map they came from stays.
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
		l.count(m.in, 1)
		if m.out != empty {
			l.count(m.out, -1)
		}
	}
	l.reload()
}
