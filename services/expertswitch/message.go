// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package expertswitch changes the expert map of a group so that in every step all ranks use the
// same map.
//
// A group steps in lock-step: if one rank waits, all do. So asking every rank for its consent costs
// no availability, and the ranks need nobody else to agree. A coordinator with a ballot has every
// rank promise to obey no lower ballot, has every rank load the new weights, then has every rank
// hold before a step in the near future, and only when all hold does it tell all to switch at that
// step. A coordinator that dies is followed by one with a higher ballot, which learns from the
// ranks' promises what was decided: if any rank was told to switch, all are; otherwise all are let go.
package expertswitch

import (
	"fmt"

	"fawnwinch.org/fawnwinch/models/expertmap"
	"fawnwinch.org/fawnwinch/models/group"
	"fawnwinch.org/fawnwinch/services"
)

// Ballot orders coordinators. It is also the fence of their orders and the version of the map they
// propose, so that no two proposals share a version.
type Ballot = services.Fence

// Incarnation tells the runs of a coordinator apart: one that has restarted must never use a ballot
// that an earlier run has used, and cannot know them all.
type Incarnation uint32

// The low bits of a ballot name the rank and the incarnation of its coordinator.
const (
	rankBits        = 10
	incarnationBits = 30
	lowBits         = rankBits + incarnationBits
)

// NewBallot returns the ballot with a counter of a coordinator.
func NewBallot(counter uint64, r group.Rank, i Incarnation) Ballot {
	low := uint64(r)<<incarnationBits | uint64(i)&(1<<incarnationBits-1) //nolint:gosec // a rank is small and not negative
	return Ballot(counter<<lowBits | low)
}

// Counter returns the counter of a ballot.
func Counter(b Ballot) uint64 { return uint64(b) >> lowBits }

// Kind tells what a message asks of a rank.
type Kind string

// The kinds of message.
const (
	// KindPromise asks to obey no lower ballot and to tell the rank's state.
	KindPromise Kind = "promise"
	// KindStage asks to load the weights of a map.
	KindStage Kind = "stage"
	// KindPrepare asks to hold before a step.
	KindPrepare Kind = "prepare"
	// KindCommit tells to use a map from a step on.
	KindCommit Kind = "commit"
	// KindAbort tells to end a hold without a change.
	KindAbort Kind = "abort"
)

// Message is what a coordinator sends to a rank.
type Message struct {
	Group  group.ID
	Kind   Kind
	Ballot Ballot
	// Map is the proposed map, in full when it is staged, with its version alone otherwise.
	Map  *expertmap.Map
	Step group.Step
}

// orderKinds tells which order to the engine carries a message out.
var orderKinds = map[Kind]services.OrderKind{
	KindPromise: services.OrderFence,
	KindStage:   services.OrderStage,
	KindPrepare: services.OrderHold,
	KindCommit:  services.OrderSwitch,
	KindAbort:   services.OrderRelease,
}

// Order returns the order to the engine that carries the message out.
func (m Message) Order() services.Order {
	return services.Order{Kind: orderKinds[m.Kind], Fence: m.Ballot, Step: m.Step, Map: m.Map}
}

// Direct reports whether an engine which checks fences can take the order in the place of its agent:
// the fence is the promise. Weights are loaded and holds are begun by agents alone.
func (m Message) Direct() bool { return m.Kind != KindStage && m.Kind != KindPrepare }

// Reply is what a rank answers.
type Reply struct {
	Kind   Kind
	Ballot Ballot
	OK     bool
	// Promised is the highest ballot the rank obeys.
	Promised Ballot
	// Reason says why OK is false.
	Reason string
	State  services.EngineState
}

// ErrOldBallot reports a message of a coordinator that a later one has replaced.
type ErrOldBallot struct{ Have, Promised Ballot }

func (e ErrOldBallot) Error() string {
	return fmt.Sprintf("ballot %d is older than the promised %d", e.Have, e.Promised)
}
