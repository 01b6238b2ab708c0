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

// Instance is an upstream as the platform lists it. Every start of an upstream has an ID of its own.
type Instance struct {
	ID         ID
	Service    string
	Address    string
	DataCentre vm.DataCentre
	// Slots is the number of requests it works on at once.
	Slots int
	State State
}
