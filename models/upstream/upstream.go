// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package upstream names the back ends that answer requests.
package upstream

import "fawnwinch.org/fawnwinch/models/vm"

// ID identifies one upstream: a rank of a model group or a replica of a plain service.
type ID string

// Incarnation identifies one run of the agent beside an upstream.
// A restarted agent has another incarnation.
type Incarnation string

// State is the condition an upstream is in as its agent reports it.
type State string

// The states of an upstream.
const (
	// StateReady means that the upstream takes new work.
	StateReady State = "ready"
	// StateLeaving means that the upstream finishes its work and takes no more.
	StateLeaving State = "leaving"
	// StateDown means that the agent cannot reach its upstream.
	StateDown State = "down"
)

// Born is when an upstream started, as it says itself, in Unix milliseconds; 0 if it does not say. An upstream may start again
// under the ID that it had: with a later Born it knows nothing of before, and its counters begin anew.
type Born int64

// Run names one run of an upstream: what was seen of another run under the same ID says nothing of it.
type Run struct {
	ID   ID
	Born Born
}

// Instance is an upstream as the platform lists it.
type Instance struct {
	ID ID
	// Born tells the runs of an upstream apart.
	Born       Born
	Service    string
	Address    string
	DataCentre vm.DataCentre
	// Slots is the number of requests it works on at once.
	Slots int
	State State
}

// Run returns the run that the entry is of.
func (i Instance) Run() Run { return Run{ID: i.ID, Born: i.Born} }
