// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package peer

import (
	"cmp"
	"slices"
	"time"
)

// maxWords bounds the words in a greeting. A word takes some 150 bytes; what is left follows in the next.
const maxWords = 200

// Greeting is what two routers tell each other of the processes that they know: what has changed in the table of the
// one since the other last took it in.
type Greeting struct {
	From  string
	Stamp Stamp
	// Digest differs when the words of the two tables do; Position is that of the sender's table.
	Digest   uint64
	Position position
	// Seen tells how far the sender has taken in the receiver's table.
	Seen Cursor
	// Words are the changes after Since up to Upto. A sender that does not know how far the receiver is tells of itself
	// only, and Upto is 0.
	Since, Upto position
	Words       []Word
}

// Cursor is a place in the changes of another process's table. Start is that of the process: a new one has a new table.
type Cursor struct {
	Start    uint64
	Position position
}

// link is how far two processes know each other's tables.
type link struct {
	// seen is how far this process has taken in the other's table, and told how far the other has this one's. Known says
	// that the other has told so.
	seen  Cursor
	told  position
	known bool
}

// link returns the link to a process.
func (t *Table) link(name string) *link {
	l, ok := t.links[name]
	if !ok {
		l = &link{}
		t.links[name] = l
	}
	return l
}

// Greeting returns what is to be told to a process; its name is empty if only its address is known.
func (t *Table) Greeting(to string) Greeting {
	own := t.nodes[t.self].Word
	g := Greeting{From: t.self, Stamp: own.Stamp, Digest: t.digest, Position: t.position}
	l, ok := t.links[to]
	if !ok || !l.known {
		g.Words = []Word{own}
		return g
	}
	g.Seen, g.Since, g.Upto = l.seen, l.told, l.told
	if l.told < t.position {
		g.Words, g.Upto = t.since(l.told, teller{name: to, start: l.seen.Start})
	}
	return g
}

// since returns the words that have changed after a position and that were not told by the process that is to be told,
// and how far that goes. A process that knows nothing yet need not know who has fallen silent.
func (t *Table) since(p position, to teller) ([]Word, position) {
	var changed []*entry
	for name, e := range t.nodes {
		if e.changed <= p || e.from == to || p == 0 && e.Silent && name != t.self {
			continue
		}
		changed = append(changed, e)
	}
	slices.SortFunc(changed, func(a, b *entry) int { return cmp.Compare(a.changed, b.changed) })
	upto := t.position
	if len(changed) > maxWords {
		changed = changed[:maxWords]
		upto = changed[maxWords-1].changed
	}
	words := make([]Word, len(changed))
	for i, e := range changed {
		words[i] = e.Word
	}
	return words, upto
}

// Take takes in the greeting of a process, or its answer to one.
func (t *Table) Take(now time.Time, g Greeting) {
	if g.From == t.self || g.From == "" {
		return
	}
	for _, w := range g.Words {
		t.take(now, w, teller{name: g.From, start: g.Stamp.Start})
	}
	t.hear(now, g.From)
	l := t.link(g.From)
	l.known = true
	if g.Digest == t.digest {
		l.seen = Cursor{Start: g.Stamp.Start, Position: g.Position}
		l.told = t.position
		return
	}
	if l.seen.Start != g.Stamp.Start {
		l.seen = Cursor{Start: g.Stamp.Start}
	}
	if g.Since <= l.seen.Position {
		l.seen.Position = max(l.seen.Position, g.Upto)
	}
	l.told = 0
	if g.Seen.Start == t.nodes[t.self].Stamp.Start {
		l.told = g.Seen.Position
	}
}
