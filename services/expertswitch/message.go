// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package expertswitch changes the expert map of a group so that in every step all ranks use the
// same map.
//
// A group runs in lock-step: if one rank waits, all wait. Requiring the consent of every rank
// therefore costs no availability, and no process outside the group is needed for agreement. A
// coordinator with a ballot first has every rank promise to obey no lower ballot. It then has every
// rank load the new weights and hold before a step in the near future. Once all ranks hold, it
// orders them to switch at that step. If a coordinator fails, its successor uses a higher ballot
// and learns the decision from the ranks' answers: if any rank was ordered to switch, all are;
// otherwise all are released.
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

// Incarnation distinguishes the runs of a coordinator. A restarted coordinator must never reuse a
// ballot of an earlier run, and it cannot know all of them.
type Incarnation uint32

// The low bits of a ballot identify the rank and the incarnation of its coordinator.
const (
	rankBits        = 10
	incarnationBits = 30
	lowBits         = rankBits + incarnationBits
)

// NewBallot returns the ballot with the given counter, coordinator's rank and incarnation.
func NewBallot(counter uint64, r group.Rank, i Incarnation) Ballot {
	low := uint64(r)<<incarnationBits | uint64(i)&(1<<incarnationBits-1) //nolint:gosec // a rank is small and not negative
	return Ballot(counter<<lowBits | low)
}

// Counter returns the counter of a ballot.
func Counter(b Ballot) uint64 { return uint64(b) >> lowBits }

// Kind is the request that a message makes to a rank.
type Kind string

// The kinds of message.
const (
	// KindPromise asks the rank to obey no lower ballot and to report its state.
	KindPromise Kind = "promise"
	// KindStage asks the rank to load the weights of a map.
	KindStage Kind = "stage"
	// KindPrepare asks the rank to hold before a step.
	KindPrepare Kind = "prepare"
	// KindCommit orders the rank to use a map from a step on.
	KindCommit Kind = "commit"
	// KindAbort orders the rank to end a hold without a change.
	KindAbort Kind = "abort"
)

// Message is what a coordinator sends to a rank.
type Message struct {
	Group  group.ID
	Kind   Kind
	Ballot Ballot
	// Map is the proposed map: complete in a stage message, otherwise with its version only.
	Map  *expertmap.Map
	Step group.Step
}

// orderKinds maps each message to the engine order that executes it.
var orderKinds = map[Kind]services.OrderKind{
	KindPromise: services.OrderFence,
	KindStage:   services.OrderStage,
	KindPrepare: services.OrderHold,
	KindCommit:  services.OrderSwitch,
	KindAbort:   services.OrderRelease,
}

// Order returns the engine order that executes the message.
func (m Message) Order() services.Order {
	return services.Order{Kind: orderKinds[m.Kind], Fence: m.Ballot, Step: m.Step, Map: m.Map}
}

// Direct reports whether an engine that checks fences can receive the order without its agent: the
// fence acts as the promise. Only agents load weights and begin holds.
func (m Message) Direct() bool { return m.Kind != KindStage && m.Kind != KindPrepare }

// Reply is a rank's answer to a message.
type Reply struct {
	Kind   Kind
	Ballot Ballot
	OK     bool
	// Promised is the highest ballot the rank obeys.
	Promised Ballot
	// Reason is the cause if OK is false.
	Reason string
	State  services.EngineState
}

// ErrOldBallot reports a message from a coordinator that a later one has replaced.
type ErrOldBallot struct{ Have, Promised Ballot }

func (e ErrOldBallot) Error() string {
	return fmt.Sprintf("ballot %d is older than the promised %d", e.Have, e.Promised)
}
