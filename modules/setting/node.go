// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package setting

import (
	"time"

	"fawnwinch.org/fawnwinch/models/vm"
)

// Node holds the settings of a process on the users' platform. The platform writes them; see
// docs/CONFIGURATION.md for the fields of its file.
type Node struct {
	// Name names the VM; no two VMs share one.
	Name       string
	DataCentre vm.DataCentre
	IP         string
	// Callers, Ready and Directory are the addresses that a router serves: callers, the platform's
	// question whether it is ready, and callers that ask which router to use. Agents have none.
	Callers, Ready, Directory string
	// Peers is the address for calls of other fawnwinch processes.
	Peers string
	// Seeds are Peers addresses of a few routers. They may be stale.
	Seeds []string
	// Bootstrap says that the whole deployment starts for the first time.
	Bootstrap bool
	// Engine is the address of the model engine beside an agent, and EngineService its service.
	Engine, EngineService string
	// Store is the address of the metadata store; StoreReads and StoreWrites are the calls a second that it
	// takes from all processes together.
	Store                   string
	StoreReads, StoreWrites float64
	// Cores is the share of processor cores that the process has; 0 if it is not told.
	Cores float64
	// Grace is the time between the order to stop and the kill.
	Grace  time.Duration
	Bounds Bounds
}

// Bounds holds what the users hold a router to. It may change while a process runs.
type Bounds struct {
	// ApplyTime is the time in which a catalog must be in force once the store has taken it.
	ApplyTime time.Duration
	// DrainTime is how long a leaving upstream still serves.
	DrainTime time.Duration
	// KeyFreshness is the time after which a key that was taken away must no longer be let in.
	KeyFreshness time.Duration
	// KeepKeys says that keys stay in force while nobody can say whether the catalog is the newest, for example
	// while the platform's store is away. KeyFreshness does not bind then.
	KeepKeys bool
	// RetryRatio and RetrySlack bound the arrivals beyond the first of each request that a service may
	// get from all routers in any RetryWindow: RetryRatio of the requests, and RetrySlack.
	RetryRatio, RetrySlack float64
	RetryWindow            time.Duration
}
