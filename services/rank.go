// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package services

import (
	"context"

	"fawnwinch.org/fawnwinch/models/expertmap"
	"fawnwinch.org/fawnwinch/models/group"
	"fawnwinch.org/fawnwinch/models/upstream"
)

// Epoch is the number of a formation of a group. Each formation begins with the map that the
// engines start with.
type Epoch uint64

// RankStatus is the status that the engine of a rank reports.
type RankStatus struct {
	// Born identifies the run of the engine.
	Born  upstream.Born
	Group group.ID
	Epoch Epoch
	Rank  group.Rank
	// Size is the number of ranks of the group.
	Size int
	// Open reports whether the group accepts requests.
	Open bool
	// Step is the last pass that has begun.
	Step group.Step
	// Map is the version of the map in use; 0 is the map that engines start with.
	Map expertmap.Version
	// Prepared is the version whose experts are loaded, and Armed the version to which the rank
	// switches at ArmedAt; 0 for none.
	Prepared, Armed expertmap.Version
	ArmedAt         group.Step
	// Held is the pass that the group does not begin before this rank is released. It is valid if
	// Holds is set.
	Held  group.Step
	Holds bool
	// Running and Waiting are numbers of requests.
	Running, Waiting int
	// Pace is the ratio of the time that the rank needs for its work to the usual time.
	// The usual value is 1.
	Pace float64
	// Noted holds the records of the agent beside the rank; empty if the engine was asked directly.
	Noted AgentRecords
}

// AgentRecords holds an agent's records of changes of map since its start.
type AgentRecords struct {
	// Prepared is the latest version that the rank has begun to load on an order of this agent.
	Prepared expertmap.Version
	// Announced is the latest version for which a coordinator has announced that it will arm its
	// own rank.
	Announced expertmap.Version
}

// RankOrderKind is the kind of an order to a rank.
type RankOrderKind string

// The kinds of order to a rank.
const (
	// RankPrepare loads the experts that a map needs in addition to those in use.
	RankPrepare RankOrderKind = "prepare"
	// RankArm has the rank switch to a prepared map when a pass begins.
	RankArm RankOrderKind = "arm"
	// RankDisarm cancels an arm order.
	RankDisarm RankOrderKind = "disarm"
	// RankHold prevents the group from beginning a pass.
	RankHold RankOrderKind = "hold"
	// RankRelease ends a hold.
	RankRelease RankOrderKind = "release"
	// RankAnnounce notifies an agent that a coordinator is about to arm its own rank. It is not
	// sent to an engine.
	RankAnnounce RankOrderKind = "announce"
)

// RankOrder is a fenced order to a rank. It is valid in one epoch only.
type RankOrder struct {
	Kind    RankOrderKind
	Fence   Fence
	Epoch   Epoch
	Version expertmap.Version
	Step    group.Step
	// Layers is the map of a RankPrepare.
	Layers []expertmap.Layer
}

// RankAnswer is the result of an order.
type RankAnswer string

// The answers to an order.
const (
	// RankDone means that the order is in effect.
	RankDone RankAnswer = "done"
	// RankConflict means that the order conflicts with the state of the rank: it had no effect.
	RankConflict RankAnswer = "conflict"
	// RankFenced means that the rank has seen a higher fence: the order had no effect.
	RankFenced RankAnswer = "fenced"
	// RankUnknown means that there was no answer: the order may be in effect, or may still be
	// executed seconds later.
	RankUnknown RankAnswer = "unknown"
)

// RankCounts holds how often the requests of a rank have selected each expert since the engine's
// start.
type RankCounts struct {
	// Born identifies the run of the engine: a restarted engine counts from 0.
	Born   upstream.Born
	Epoch  Epoch
	Counts []uint64
}

// RankMap is the part of a map that one rank holds: its experts, layer by layer.
type RankMap struct {
	Version expertmap.Version
	Experts [][]expertmap.Expert
}

// RankEngine is the engine of one rank.
type RankEngine interface {
	Status(ctx context.Context) (RankStatus, error)
	Counts(ctx context.Context) (RankCounts, error)
	Map(ctx context.Context) (RankMap, error)
	Order(ctx context.Context, o RankOrder) (RankAnswer, error)
}
