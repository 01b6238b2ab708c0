// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package vm describes the entries of the platform's VM list.
package vm

// ID identifies one VM.
type ID string

// DataCentre names a data centre.
type DataCentre string

// Region names a group of data centres that are close to each other.
type Region string

// Regions maps data centres to their regions.
type Regions map[DataCentre]Region

// Role says which fawnwinch process runs on a VM.
type Role string

// The roles of a VM.
const (
	// RoleRouter marks an entry VM.
	RoleRouter Role = "router"
	// RoleAgent marks an upstream VM.
	RoleAgent Role = "agent"
)

// State is the state of a VM in the platform's list.
type State string

// The states of a VM. A removed VM is not listed.
const (
	// StateLive marks a running VM.
	StateLive State = "live"
	// StateLeaving marks a VM that will be removed.
	StateLeaving State = "leaving"
)

// VM is one entry of the platform's list. The list lags behind the actual state.
type VM struct {
	ID         ID         `json:"id"`
	DataCentre DataCentre `json:"data_centre"`
	Role       Role       `json:"role"`
	State      State      `json:"state"`
	// RPC is the host:port on which the fawnwinch process of this VM accepts RPC calls from other
	// processes.
	RPC string `json:"rpc"`
}
