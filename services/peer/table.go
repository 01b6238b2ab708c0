// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package peer

import (
	"slices"
	"strings"
	"time"

	"fawnwinch.org/fawnwinch/models/vm"
)

const (
	// silenceTimeout is how long a neighbour may be silent before it is treated as gone. It
	// tolerates the loss of one gossip message in either direction, but not of two.
	silenceTimeout = 1050 * time.Millisecond
	// forgetAfter is how long a silent process is kept in the table and occasionally probed.
	forgetAfter = 60 * time.Second
	// minContactFraction is the fraction of its neighbours that a router must have received
	// messages from within contactWindow before it reports one of them as silent. contactWindow is
	// somewhat longer than the gossip interval. A router that is cut off receives nothing and would
	// otherwise report every other router as gone.
	minContactFraction = 0.25
	contactWindow      = 600 * time.Millisecond
)

// record is the table's record of one process.
type record struct {
	GossipEntry
	// lastContact is when a message was last received from the process itself, and neighbourSince
	// since when it has been a neighbour; zero for never.
	lastContact, neighbourSince time.Time
	// changed is the position of the latest change of the entry in this table, and from is the
	// process that sent it.
	changed position
	from    source
	// changedAt is the time of that change.
	changedAt time.Time
}

// position numbers the changes of a table.
type position uint64

// source identifies a process and one of its starts.
type source struct {
	name  string
	start uint64
}

// Table holds the processes known to one router, including the router itself. It does no I/O and
// reads no clock.
type Table struct {
	self  string
	nodes map[string]*record
	links map[string]*link
	// position is that of the latest change, and urgent that of the latest urgent one. digest is a
	// hash that differs if the entries of two tables differ.
	position, urgent position
	digest           uint64
	// neighbours holds the processes that this one exchanges gossip with, computed at position
	// chosenAt.
	neighbours []*record
	chosenAt   position
	chosen     bool
	// meshed reports whether all processes are neighbours of each other.
	meshed bool
}

// NewTable returns the table of a process that knows only itself and started at now.
func NewTable(now time.Time, self Info) *Table {
	t := &Table{self: self.Name, nodes: map[string]*record{}, links: map[string]*link{}}
	t.put(now, GossipEntry{Info: self, Stamp: Stamp{Start: uint64(max(now.UnixNano(), 1))}}, source{})
	return t
}

// Self returns the information that the process publishes about itself.
func (t *Table) Self() Info { return t.nodes[t.self].Info }

// UpdateSelf updates the information that the process publishes about itself. It reports whether
// anything changed.
func (t *Table) UpdateSelf(now time.Time, i Info) bool {
	e := t.nodes[t.self]
	if e.Info == i {
		return false
	}
	t.put(now, GossipEntry{Info: i, Stamp: Stamp{Start: e.Stamp.Start, Revision: e.Stamp.Revision + 1}}, source{})
	return true
}

// UrgentPosition returns the position of the latest change that should be passed on at once. Whether
// a router is busy is not urgent: it changes again and again, at each of many routers, and if each
// change triggered a round of calls at every router, the rounds would never stop.
func (t *Table) UrgentPosition() uint64 { return uint64(t.urgent) }

// urgent reports whether an update of an entry should be passed on at once. One in which only the
// revision differs contradicts that the process is silent.
func (w GossipEntry) urgent(before GossipEntry) bool {
	if w.Info.Busy == before.Info.Busy {
		return true
	}
	before.Info.Busy = w.Info.Busy
	return w.Info != before.Info || w.Silent != before.Silent || w.Stamp.Start != before.Stamp.Start
}

// put stores an entry. from is the process that sent it, or the zero source if this process made
// the entry itself.
func (t *Table) put(now time.Time, w GossipEntry, from source) {
	e, ok := t.nodes[w.Info.Name]
	if !ok {
		e = &record{}
		t.nodes[w.Info.Name] = e
	} else if !e.Silent {
		t.digest ^= e.hash()
	}
	t.position++
	if !ok || w.urgent(e.GossipEntry) {
		t.urgent = t.position
	}
	e.GossipEntry, e.changed, e.from, e.changedAt = w, t.position, from, now
	if !w.Silent {
		t.digest ^= e.hash()
	}
}

// merge applies an entry received from another process.
func (t *Table) merge(now time.Time, w GossipEntry, from source) {
	e, known := t.nodes[w.Info.Name]
	if !known {
		t.put(now, w, from)
		return
	}
	order := w.Stamp.Compare(e.Stamp)
	switch {
	case w.Info.Name == t.self:
		t.refute(now, w, order)
	case order > 0, order == 0 && w.Silent && !e.Silent:
		t.put(now, w, from)
	}
}

// refute publishes a new stamp if others hold an entry of this process that supersedes its own: one
// that marks it as silent, or one from an earlier start.
func (t *Table) refute(now time.Time, w GossipEntry, order int) {
	if order < 0 || order == 0 && !w.Silent {
		return
	}
	own := t.nodes[t.self].GossipEntry
	own.Stamp = Stamp{Start: w.Stamp.Start, Revision: w.Stamp.Revision + 1}
	t.put(now, own, source{})
}

// markContact records that a message was received from the process itself.
func (t *Table) markContact(now time.Time, name string) {
	if e, ok := t.nodes[name]; ok && name != t.self {
		e.lastContact = now
	}
}

// ConnectionRefused records that a process refused a connection: its VM runs, but the process does
// not.
func (t *Table) ConnectionRefused(now time.Time, name string) {
	if e, ok := t.nodes[name]; ok && name != t.self && !e.Silent {
		e.lastContact = time.Time{}
		t.markSilent(now, e)
	}
}

func (t *Table) markSilent(now time.Time, e *record) {
	w := e.GossipEntry
	w.Silent = true
	t.put(now, w, source{})
}

// Sweep marks neighbours as silent after the timeout, and forgets processes that have been silent
// for forgetAfter.
func (t *Table) Sweep(now time.Time) {
	if neighbours := t.chooseNeighbours(now); !isolated(now, neighbours) {
		for _, e := range neighbours {
			if !e.Silent && !e.fresh(now) {
				t.markSilent(now, e)
			}
		}
	}
	for name, e := range t.nodes {
		if name != t.self && e.expired(now) {
			t.forget(e)
		}
	}
}

// expired reports whether a process has been silent for so long that it is removed from the table.
func (e *record) expired(now time.Time) bool {
	long := func(at time.Time) bool { return now.Sub(at) > forgetAfter }
	return long(e.lastContact) && (e.Silent && long(e.changedAt) || !e.neighbourSince.IsZero() && long(e.neighbourSince))
}

func (t *Table) forget(e *record) {
	if !e.Silent {
		t.digest ^= e.hash()
	}
	delete(t.nodes, e.Info.Name)
	delete(t.links, e.Info.Name)
	t.chosen = false
}

// fresh reports whether a message was received from the process, or it became a neighbour, within
// silenceTimeout.
func (e *record) fresh(now time.Time) bool {
	return now.Sub(e.lastContact) < silenceTimeout || now.Sub(e.neighbourSince) < silenceTimeout
}

// isolated reports whether too few of the neighbours have sent a message recently.
func isolated(now time.Time, neighbours []*record) bool {
	reached := 0
	for _, e := range neighbours {
		if now.Sub(e.lastContact) < contactWindow {
			reached++
		}
	}
	return float64(reached) < minContactFraction*float64(len(neighbours))
}

// NoContact reports whether no other process has sent a message within silenceTimeout.
func (t *Table) NoContact(now time.Time) bool {
	for name, e := range t.nodes {
		if name != t.self && now.Sub(e.lastContact) < silenceTimeout {
			return false
		}
	}
	return true
}

// live reports whether a process appears to run. Neighbours are judged by the messages received
// here, other processes by gossip.
func (t *Table) live(now time.Time, e *record) bool {
	switch {
	case now.Sub(e.lastContact) < silenceTimeout:
		return true
	case !e.neighbourSince.IsZero():
		return !e.Silent && e.fresh(now)
	default:
		return !e.Silent
	}
}

// Live returns the other processes of a role that appear to run, sorted by name.
func (t *Table) Live(now time.Time, role vm.Role) []Info {
	t.chooseNeighbours(now)
	var out []Info
	for name, e := range t.nodes {
		if name != t.self && e.Info.Role == role && t.live(now, e) {
			out = append(out, e.Info)
		}
	}
	slices.SortFunc(out, func(a, b Info) int { return strings.Compare(a.Name, b.Name) })
	return out
}

// Count returns the number of other processes of a role in the table, silent ones included.
func (t *Table) Count(role vm.Role) int {
	n := 0
	for name, e := range t.nodes {
		if name != t.self && e.Info.Role == role {
			n++
		}
	}
	return n
}

// Unchanged returns for how long the entry of a process has not changed in this table; 0 if the
// process is unknown.
func (t *Table) Unchanged(now time.Time, name string) time.Duration {
	if e, ok := t.nodes[name]; ok {
		return now.Sub(e.changedAt)
	}
	return 0
}

// Meshed reports whether all routers are neighbours of each other, so that state reaches each of them
// with one message.
func (t *Table) Meshed(now time.Time) bool {
	t.chooseNeighbours(now)
	return t.meshed
}

// Address returns the address of a process, or "" if it is unknown.
func (t *Table) Address(name string) string {
	if e, ok := t.nodes[name]; ok {
		return e.Info.Address
	}
	return ""
}
