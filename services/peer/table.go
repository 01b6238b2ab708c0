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
	// silentAfter is how long a neighbour may be silent before others act as if it were gone. One greeting in
	// either direction may be lost, two may not.
	silentAfter = 1050 * time.Millisecond
	// forgetAfter is how long a silent process is kept and greeted now and then.
	forgetAfter = 60 * time.Second
	// fewHeard is the part of its neighbours that a router must have heard within heardLately, somewhat more than the time
	// between two greetings, to tell others that one of them is silent. One that is cut off hears nobody, and would have
	// everybody taken for gone.
	fewHeard    = 0.25
	heardLately = 600 * time.Millisecond
)

// entry is what a table holds of one process.
type entry struct {
	Word
	// heard is when the process itself was last heard, and watched since when it has been a neighbour; zero for never.
	heard, watched time.Time
	// changed numbers the latest change of the word in this table, and from is the process that has told it.
	changed position
	from    teller
	// at is the time of that change.
	at time.Time
}

// position numbers the changes of a table.
type position uint64

// teller is a process since one of its starts.
type teller struct {
	name  string
	start uint64
}

// Table holds the processes that one router knows, itself among them. It does no I/O and reads no clock.
type Table struct {
	self  string
	nodes map[string]*entry
	links map[string]*link
	// position is that of the latest change, digest a number that differs when the words of two tables do.
	position position
	digest   uint64
	// neighbours holds the processes that are greeted, as of a position.
	neighbours []*entry
	chosenAt   position
	chosen     bool
}

// NewTable returns the table of a process that knows only itself, started at a time.
func NewTable(now time.Time, self Info) *Table {
	t := &Table{self: self.Name, nodes: map[string]*entry{}, links: map[string]*link{}}
	t.put(now, Word{Info: self, Stamp: Stamp{Start: uint64(max(now.UnixNano(), 1))}}, teller{})
	return t
}

// Self returns what the process tells of itself.
func (t *Table) Self() Info { return t.nodes[t.self].Info }

// Tell changes what the process tells of itself. It reports whether that is something new.
func (t *Table) Tell(now time.Time, i Info) bool {
	e := t.nodes[t.self]
	if e.Info == i {
		return false
	}
	t.put(now, Word{Info: i, Stamp: Stamp{Start: e.Stamp.Start, Revision: e.Stamp.Revision + 1}}, teller{})
	return true
}

// Position returns a number that rises whenever a word of the table changes.
func (t *Table) Position() uint64 { return uint64(t.position) }

// put keeps a word that some process has told.
func (t *Table) put(now time.Time, w Word, from teller) {
	e, ok := t.nodes[w.Info.Name]
	if !ok {
		e = &entry{}
		t.nodes[w.Info.Name] = e
	} else if !e.Silent {
		t.digest ^= e.hash()
	}
	t.position++
	e.Word, e.changed, e.from, e.at = w, t.position, from, now
	if !w.Silent {
		t.digest ^= e.hash()
	}
}

// take takes in what another process says of a process.
func (t *Table) take(now time.Time, w Word, from teller) {
	e, known := t.nodes[w.Info.Name]
	if !known {
		t.put(now, w, from)
		return
	}
	order := w.Stamp.Compare(e.Stamp)
	switch {
	case w.Info.Name == t.self:
		t.answer(now, w, order)
	case order > 0, order == 0 && w.Silent && !e.Silent:
		t.put(now, w, from)
	}
}

// answer takes a new stamp if others say something of this process that goes before its own word: that it is silent, or
// what an earlier start has told.
func (t *Table) answer(now time.Time, w Word, order int) {
	if order < 0 || order == 0 && !w.Silent {
		return
	}
	own := t.nodes[t.self].Word
	own.Stamp = Stamp{Start: w.Stamp.Start, Revision: w.Stamp.Revision + 1}
	t.put(now, own, teller{})
}

// hear notes that a process was heard itself.
func (t *Table) hear(now time.Time, name string) {
	if e, ok := t.nodes[name]; ok && name != t.self {
		e.heard = now
	}
}

// Failed notes that a process has refused a connection: its VM runs, but the process does not.
func (t *Table) Failed(now time.Time, name string) {
	if e, ok := t.nodes[name]; ok && name != t.self && !e.Silent {
		e.heard = time.Time{}
		t.silence(now, e)
	}
}

func (t *Table) silence(now time.Time, e *entry) {
	w := e.Word
	w.Silent = true
	t.put(now, w, teller{})
}

// Sweep notes which neighbours have fallen silent, and forgets those that have been silent for long.
func (t *Table) Sweep(now time.Time) {
	if neighbours := t.chooseNeighbours(now); !isolated(now, neighbours) {
		for _, e := range neighbours {
			if !e.Silent && !e.fresh(now) {
				t.silence(now, e)
			}
		}
	}
	for name, e := range t.nodes {
		if name != t.self && e.lost(now) {
			t.forget(e)
		}
	}
}

// lost reports whether a process has been silent for so long that it is forgotten.
func (e *entry) lost(now time.Time) bool {
	long := func(at time.Time) bool { return now.Sub(at) > forgetAfter }
	return long(e.heard) && (e.Silent && long(e.at) || !e.watched.IsZero() && long(e.watched))
}

func (t *Table) forget(e *entry) {
	if !e.Silent {
		t.digest ^= e.hash()
	}
	delete(t.nodes, e.Info.Name)
	delete(t.links, e.Info.Name)
	t.chosen = false
}

// fresh reports whether a process was heard itself, or has become a neighbour, a short time ago.
func (e *entry) fresh(now time.Time) bool {
	return now.Sub(e.heard) < silentAfter || now.Sub(e.watched) < silentAfter
}

// isolated reports whether hardly any of the neighbours are heard.
func isolated(now time.Time, neighbours []*entry) bool {
	heard := 0
	for _, e := range neighbours {
		if now.Sub(e.heard) < heardLately {
			heard++
		}
	}
	return float64(heard) < fewHeard*float64(len(neighbours))
}

// Alone reports whether no other process was heard lately.
func (t *Table) Alone(now time.Time) bool {
	for name, e := range t.nodes {
		if name != t.self && now.Sub(e.heard) < silentAfter {
			return false
		}
	}
	return true
}

// live reports whether a process seems to run. Neighbours are judged by what is heard here, others by what is said.
func (t *Table) live(now time.Time, e *entry) bool {
	switch {
	case now.Sub(e.heard) < silentAfter:
		return true
	case !e.watched.IsZero():
		return !e.Silent && e.fresh(now)
	default:
		return !e.Silent
	}
}

// Live returns the other processes of a role that seem to run, sorted by name.
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

// Address returns the address of a process; empty if it is not known.
func (t *Table) Address(name string) string {
	if e, ok := t.nodes[name]; ok {
		return e.Info.Address
	}
	return ""
}
