// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package peer

import (
	"cmp"
	"slices"
	"time"
)

// maxEntries bounds the entries in a gossip message. An entry takes some 150 bytes; the remainder
// is sent in the next message.
const maxEntries = 200

// GossipMessage carries the changes in the sender's table that the receiver has not
// merged yet.
type GossipMessage struct {
	From  string
	Stamp Stamp
	// Digest differs if the entries of the two tables differ. Position is that of the sender's
	// table.
	Digest   uint64
	Position position
	// Seen is how far the sender has merged the receiver's table.
	Seen Cursor
	// Words are the entries changed after Since up to Upto. A sender that does not know the
	// receiver's position sends only its own entry, and Upto is 0.
	Since, Upto position
	Words       []GossipEntry
}

// Cursor is a position in the changes of another process's table. Start is the start of that
// process, since a restarted process has a new table.
type Cursor struct {
	Start    uint64
	Position position
}

// link tracks how far two processes have merged each other's tables.
type link struct {
	// seen is how far this process has merged the other's table, and acked how far the other has
	// merged this one's. known reports whether the other has confirmed acked.
	seen  Cursor
	acked position
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

// GossipFor returns the gossip message for a process. The name is empty if only its address is
// known.
func (t *Table) GossipFor(to string) GossipMessage {
	own := t.nodes[t.self].GossipEntry
	g := GossipMessage{From: t.self, Stamp: own.Stamp, Digest: t.digest, Position: t.position}
	l, ok := t.links[to]
	if !ok || !l.known {
		g.Words = []GossipEntry{own}
		return g
	}
	g.Seen, g.Since, g.Upto = l.seen, l.acked, l.acked
	if l.acked < t.position {
		g.Words, g.Upto = t.since(l.acked, source{name: to, start: l.seen.Start})
	}
	return g
}

// since returns the entries that changed after a position, except those received from the
// destination, and the position that they cover. Silent processes are not sent to a process that
// has no state yet.
func (t *Table) since(p position, to source) ([]GossipEntry, position) {
	var changed []*record
	for name, e := range t.nodes {
		if e.changed <= p || e.from == to || p == 0 && e.Silent && name != t.self {
			continue
		}
		changed = append(changed, e)
	}
	slices.SortFunc(changed, func(a, b *record) int { return cmp.Compare(a.changed, b.changed) })
	upto := t.position
	if len(changed) > maxEntries {
		changed = changed[:maxEntries]
		upto = changed[maxEntries-1].changed
	}
	words := make([]GossipEntry, len(changed))
	for i, e := range changed {
		words[i] = e.GossipEntry
	}
	return words, upto
}

// Receive merges a gossip message from a process, or its reply to one.
func (t *Table) Receive(now time.Time, g GossipMessage) {
	if g.From == t.self || g.From == "" {
		return
	}
	for _, w := range g.Words {
		t.merge(now, w, source{name: g.From, start: g.Stamp.Start})
	}
	t.markContact(now, g.From)
	l := t.link(g.From)
	l.known = true
	if g.Digest == t.digest {
		l.seen = Cursor{Start: g.Stamp.Start, Position: g.Position}
		l.acked = t.position
		return
	}
	if l.seen.Start != g.Stamp.Start {
		l.seen = Cursor{Start: g.Stamp.Start}
	}
	if g.Since <= l.seen.Position {
		l.seen.Position = max(l.seen.Position, g.Upto)
	}
	l.acked = 0
	if g.Seen.Start == t.nodes[t.self].Stamp.Start {
		l.acked = g.Seen.Position
	}
}
