// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package upstream names the back ends that answer requests.
package upstream

import (
	"time"

	"fawnwinch.org/fawnwinch/models/vm"
)

// ID identifies one upstream: a rank of a model group or a replica of a plain service.
type ID string

// Incarnation identifies one run of the agent beside an upstream.
// A restarted agent has another incarnation.
type Incarnation string

// State is the condition of an upstream as its agent reports it.
type State string

// The states of an upstream.
const (
	// StateReady means that the upstream accepts new work.
	StateReady State = "ready"
	// StateLeaving means that the upstream finishes its work and accepts no more.
	StateLeaving State = "leaving"
	// StateDown means that the agent cannot reach its upstream.
	StateDown State = "down"
)

// Born is the start time of an upstream in Unix milliseconds, as it reports itself; 0 if it reports
// none. An upstream may restart under the same ID: a later Born means that it has lost its state
// and its counters start from zero.
type Born int64

// Run identifies one run of an upstream. What was observed of another run under the same ID does
// not apply to it.
type Run struct {
	ID   ID
	Born Born
}

// Instance is an upstream as the platform lists it.
type Instance struct {
	ID ID
	// Born distinguishes the runs of an upstream.
	Born       Born
	Service    string
	Address    string
	DataCentre vm.DataCentre
	// Slots is the number of requests that it processes concurrently.
	Slots int
	State State
	// Cold is how much longer the upstream is cold, from the time of the entry on; 0 if it is not.
	Cold time.Duration
}

// Run returns the run that the entry describes.
func (i Instance) Run() Run { return Run{ID: i.ID, Born: i.Born} }
