// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package vm describes the entries of the platform's VM list.
package vm

// ID identifies one VM.
type ID string

// DataCentre names a data centre.
type DataCentre string

// Role tells which fawnwinch process runs on a VM.
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

// The states of a VM. A VM that is gone is not listed.
const (
	// StateLive marks a VM that runs.
	StateLive State = "live"
	// StateLeaving marks a VM that will be taken away.
	StateLeaving State = "leaving"
)

// VM is one entry of the platform's list. The list lags behind the truth.
type VM struct {
	ID         ID         `json:"id"`
	DataCentre DataCentre `json:"data_centre"`
	Role       Role       `json:"role"`
	State      State      `json:"state"`
	// RPC is the host:port on which the fawnwinch process of this VM takes calls of other processes.
	RPC string `json:"rpc"`
}
