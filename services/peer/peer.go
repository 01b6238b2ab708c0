// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package peer keeps track of the other routers of a deployment by gossip. Each router exchanges
// gossip messages with a few neighbours, and updates spread from neighbour to neighbour. The
// messages, connections and processor time of a router grow with the logarithm of the number of
// routers, not with the number itself.
package peer

import (
	"cmp"
	"fmt"

	"fawnwinch.org/fawnwinch/models/vm"

	"github.com/cespare/xxhash/v2"
)

// State is the serving state of a process.
type State string

// The states of a process.
const (
	// StateStarting marks a process that does not have a complete cluster view yet.
	StateStarting State = "starting"
	// StateReady marks a process that accepts work.
	StateReady State = "ready"
	// StateLeaving marks a process that was asked to stop.
	StateLeaving State = "leaving"
)

// Info describes a process.
type Info struct {
	Name       string        `json:"name"`
	Role       vm.Role       `json:"role"`
	DataCentre vm.DataCentre `json:"data_centre"`
	// Address is the RPC address for other processes.
	Address string `json:"address"`
	// Callers is the address for callers; empty for agents.
	Callers string `json:"callers,omitempty"`
	// Engine is the address of the model engine beside an agent.
	Engine string `json:"engine,omitempty"`
	// Service is the service of that engine.
	Service string `json:"service,omitempty"`
	State   State  `json:"state"`
	// LeavingSince orders the leaving processes. It is when the process was ordered to stop, in
	// milliseconds since 1970 by its own clock; 0 if it was not.
	LeavingSince int64 `json:"leaving_since,omitempty"`
	// Cores is the number of processor cores available to the process; it may be a fraction.
	Cores float64 `json:"cores,omitempty"`
	// Busy reports whether the process uses a large fraction of its cores.
	Busy bool `json:"busy,omitempty"`
	// SettledEra is an era of the platform's store in which the operator has had time to rewrite
	// what the store had lost; 0 for none. It is only set in the store, in the record of a router.
	SettledEra uint64 `json:"settled_era,omitempty"`
	// StoreLost reports whether the last attempt of the process to read the platform's store
	// failed.
	StoreLost bool `json:"store_lost,omitempty"`
}

// RegisterReply is the empty reply to the registration of a process.
type RegisterReply struct{ Unused bool }

// Stamp orders the gossip entries of a process: a later start supersedes an earlier one, and a
// later revision of the same start supersedes an earlier one. Only the process itself creates new
// stamps.
type Stamp struct {
	// Start is the start time in nanoseconds by the clock of the process. If its clock was set back
	// and it finds a later start under its own name, the process continues from that one.
	Start uint64
	// Revision counts the changes that the process has published about itself since its start.
	Revision uint64
}

// Compare returns -1, 0 or 1 if s is older than o, the same or newer.
func (s Stamp) Compare(o Stamp) int {
	return cmp.Or(cmp.Compare(s.Start, o.Start), cmp.Compare(s.Revision, o.Revision))
}

// GossipEntry describes one process in a gossip message.
type GossipEntry struct {
	Info  Info
	Stamp Stamp
	// Silent reports whether a neighbour of the process has received nothing from it for a while. A
	// process that learns this about itself publishes a new stamp.
	Silent bool
}

// hash returns a hash of the name and the stamp of a process. Entries with the same hash are equal.
func (w *GossipEntry) hash() uint64 {
	return xxhash.Sum64String(fmt.Sprintf("%q %d %d", w.Info.Name, w.Stamp.Start, w.Stamp.Revision))
}
