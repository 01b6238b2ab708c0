// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package peer keeps track of the other fawnwinch processes of a deployment: each registers once in
// the platform's store, and after that the processes tell each other.
package peer

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"fawnwinch.org/fawnwinch/models/vm"

	"github.com/cespare/xxhash/v2"
)

// State tells whether a process takes work.
type State string

// The states of a process.
const (
	// StateStarting marks a process that does not know enough yet.
	StateStarting State = "starting"
	// StateReady marks a process that takes work.
	StateReady State = "ready"
	// StateLeaving marks a process that was told to stop.
	StateLeaving State = "leaving"
)

// Info describes a process.
type Info struct {
	Name       string        `json:"name"`
	Role       vm.Role       `json:"role"`
	DataCentre vm.DataCentre `json:"data_centre"`
	// Address takes calls of other processes.
	Address string `json:"address"`
	// Callers is the address for callers; agents have none.
	Callers string `json:"callers,omitempty"`
	// Engine is the address of the model engine beside an agent.
	Engine string `json:"engine,omitempty"`
	// Service is the service of that engine.
	Service string `json:"service,omitempty"`
	State   State  `json:"state"`
	// StoreLost says that the process could not read the platform's store when it last tried.
	StoreLost bool `json:"store_lost,omitempty"`
}

const (
	// silentAfter is how long a process may be silent before others act as if it were gone. One greeting in
	// either direction may be lost, two may not.
	silentAfter = 1050 * time.Millisecond
	// forgetAfter is how long a silent process is still greeted.
	forgetAfter = 60 * time.Second
)

type entry struct {
	info  Info
	heard time.Time
	// told is the time at which anyone last named the process.
	told time.Time
}

// Table holds the processes that one process knows. It does no I/O and reads no clock.
type Table struct {
	self  string
	nodes map[string]*entry
}

// NewTable returns the table of a process, which is not in it itself.
func NewTable(self string) *Table { return &Table{self: self, nodes: map[string]*entry{}} }

// Heard takes in what a process says of itself.
func (t *Table) Heard(now time.Time, i Info) {
	if i.Name == t.self {
		return
	}
	t.nodes[i.Name] = &entry{info: i, heard: now, told: now}
}

// Told takes in what the store or another process says about a process. Its own word goes before.
func (t *Table) Told(now time.Time, i Info) {
	if i.Name == t.self {
		return
	}
	e, ok := t.nodes[i.Name]
	if ok && (now.Sub(e.heard) < silentAfter || e.info.Address == i.Address) {
		return
	}
	t.nodes[i.Name] = &entry{info: i, told: now}
}

// Live returns the processes of a role that were heard lately, sorted by name.
func (t *Table) Live(now time.Time, role vm.Role) []Info {
	return t.list(func(e *entry) bool { return e.info.Role == role && now.Sub(e.heard) < silentAfter })
}

// Known returns all processes of a role that may still be there, sorted by name.
func (t *Table) Known(now time.Time, role vm.Role) []Info {
	return t.list(func(e *entry) bool { return e.info.Role == role && now.Sub(e.told) < forgetAfter })
}

// Digest returns a number that differs when the processes do; their order does not matter.
func Digest(infos []Info) uint64 {
	var sum uint64
	for _, i := range infos {
		sum += xxhash.Sum64String(fmt.Sprintf("%q", []string{i.Name, string(i.Role), i.Address, i.Callers, string(i.State), strconv.FormatBool(i.StoreLost)}))
	}
	return sum
}

func (t *Table) list(keep func(*entry) bool) []Info {
	var out []Info
	for _, e := range t.nodes {
		if keep(e) {
			out = append(out, e.info)
		}
	}
	slices.SortFunc(out, func(a, b Info) int { return strings.Compare(a.Name, b.Name) })
	return out
}
