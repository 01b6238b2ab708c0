// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package setting

import (
	"time"

	"fawnwinch.org/fawnwinch/models/vm"
)

// Node holds the settings of a process on the users' platform, which writes them. See
// docs/CONFIGURATION.md for the fields of the file.
type Node struct {
	// Name is the unique name of the VM.
	Name       string
	DataCentre vm.DataCentre
	// Regions holds the region of each data centre.
	Regions vm.Regions
	IP      string
	// Callers, Ready and Directory are the addresses that a router serves: for callers, for the
	// platform's readiness checks, and for callers that ask which router to use. Agents have none.
	Callers, Ready, Directory string
	// Peers is the address for calls from other fawnwinch processes.
	Peers string
	// Seeds are the Peers addresses of a few routers. They may be stale.
	Seeds []string
	// Bootstrap reports whether the whole deployment starts for the first time.
	Bootstrap bool
	// Engine is the address of the model engine beside an agent, and EngineService its service.
	Engine, EngineService string
	// Store is the address of the metadata store; StoreReads and StoreWrites are the calls per
	// second that it accepts from all processes together.
	Store                   string
	StoreReads, StoreWrites float64
	// Cores is the share of processor cores that the process has; 0 if not given.
	Cores float64
	// Descriptors is the number of descriptors that the process may have open; 0 if not given.
	Descriptors int
	// Memory is the memory in bytes at which the process is ended; 0 if not given.
	Memory int64
	// Grace is the time between the stop request and the kill.
	Grace  time.Duration
	Bounds Bounds
}

// Bounds holds the limits that the users set for a router. They may change while a process runs.
type Bounds struct {
	// ApplyTime is the time within which a catalog must be in force after the store has accepted
	// it.
	ApplyTime time.Duration
	// DrainTime is how long a leaving upstream continues to serve.
	DrainTime time.Duration
	// KeyFreshness is the time after which a removed key must no longer be accepted.
	KeyFreshness time.Duration
	// KeepKeys reports whether keys stay in force while no process can confirm that the catalog is
	// the newest, for example while the platform's store is unreachable. KeyFreshness does not
	// apply then.
	KeepKeys bool
	// RetryRatio and RetrySlack bound the attempts after the first of each request that a service
	// may receive from all routers in any RetryWindow: RetryRatio times the requests, plus
	// RetrySlack.
	RetryRatio, RetrySlack float64
	RetryWindow            time.Duration
}
