// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package services

import (
	"context"

	"fawnwinch.org/fawnwinch/models/expertmap"
	"fawnwinch.org/fawnwinch/models/group"
	"fawnwinch.org/fawnwinch/models/upstream"
)

// Epoch numbers the formations of a group. Each formation begins on the map that the engines start with.
type Epoch uint64

// RankStatus is what the engine of a rank tells of itself.
type RankStatus struct {
	// Born tells the runs of the engine apart.
	Born  upstream.Born
	Group group.ID
	Epoch Epoch
	Rank  group.Rank
	// Size is the number of ranks of the group.
	Size int
	// Open says that the group takes requests.
	Open bool
	// Step is the last pass that has begun.
	Step group.Step
	// Map is the version of the map in use; 0 is the one that engines start with.
	Map expertmap.Version
	// Prepared is the version whose experts are loaded, and Armed the one that is taken at ArmedAt; 0 for none.
	Prepared, Armed expertmap.Version
	ArmedAt         group.Step
	// Held is the pass that the group does not begin before it is let go at this rank, if Holds is set.
	Held  group.Step
	Holds bool
	// Running and Waiting count requests.
	Running, Waiting int
	// Pace is how many times longer than usual the rank takes for its work; 1 is usual.
	Pace float64
	// Noted is what the agent beside the rank remembers; empty if the engine was asked directly.
	Noted RankNotes
}

// RankNotes is what an agent remembers of changes of map since its start.
type RankNotes struct {
	// Prepared is the latest version that the rank has begun to load by an order of this agent.
	Prepared expertmap.Version
	// Announced is the latest version with which a coordinator has said that it will arm its own rank.
	Announced expertmap.Version
}

// RankOrderKind tells what a rank shall do.
type RankOrderKind string

// The kinds of order to a rank.
const (
	// RankPrepare loads the experts that a map needs beside those in use.
	RankPrepare RankOrderKind = "prepare"
	// RankArm takes a prepared map when a pass begins.
	RankArm RankOrderKind = "arm"
	// RankDisarm takes an arm back.
	RankDisarm RankOrderKind = "disarm"
	// RankHold keeps the group from beginning a pass.
	RankHold RankOrderKind = "hold"
	// RankRelease ends a hold.
	RankRelease RankOrderKind = "release"
	// RankAnnounce tells an agent that a coordinator is about to arm its own rank. It does not go to an engine.
	RankAnnounce RankOrderKind = "announce"
)

// RankOrder is a fenced order to a rank. It holds in one epoch only.
type RankOrder struct {
	Kind    RankOrderKind
	Fence   Fence
	Epoch   Epoch
	Version expertmap.Version
	Step    group.Step
	// Layers is the map of a RankPrepare.
	Layers []expertmap.Layer
}

// RankAnswer tells what became of an order.
type RankAnswer string

// The answers to an order.
const (
	// RankDone says that the order holds.
	RankDone RankAnswer = "done"
	// RankConflict says that the order does not fit the state of the rank: it had no effect.
	RankConflict RankAnswer = "conflict"
	// RankFenced says that a higher fence was seen: it had no effect.
	RankFenced RankAnswer = "fenced"
	// RankUnknown says that there was no answer: the order may hold, or be carried out seconds later.
	RankUnknown RankAnswer = "unknown"
)

// RankCounts tells how often the requests of a rank have chosen each expert since its start.
type RankCounts struct {
	// Born is that of the engine: one that has started again counts from 0.
	Born   upstream.Born
	Epoch  Epoch
	Counts []uint64
}

// RankMap is a map as one rank holds it: its experts, layer by layer.
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
