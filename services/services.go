// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package services defines the interfaces to all systems outside fawnwinch.
// The packages below it make the decisions and do not depend on any adapter.
package services

import (
	"cmp"
	"context"
	"fmt"
	"time"

	"fawnwinch.org/fawnwinch/models/expertmap"
	"fawnwinch.org/fawnwinch/models/group"
	"fawnwinch.org/fawnwinch/models/upstream"
	"fawnwinch.org/fawnwinch/models/vm"
)

// Offset is the position of a record in a stream of the platform's log, from 0.
type Offset uint64

// Stream is the name of a stream of the platform's log.
type Stream string

// LogRecord is one record of a stream.
type LogRecord struct {
	Offset Offset `json:"offset"`
	// At is the log service's time of the append.
	At   time.Time `json:"at"`
	Data []byte    `json:"data"`
}

// Page is the result of a read.
type Page struct {
	// First is the oldest offset that the log still keeps, or Tail if it keeps none.
	First Offset `json:"first"`
	// Tail is the offset that the next append gets.
	Tail Offset `json:"tail"`
	// Now is the log service's current time.
	Now     time.Time   `json:"now"`
	Records []LogRecord `json:"records"`
}

// Log is the platform's append-only log.
type Log interface {
	// Append adds a record. After an error the record may or may not have been added.
	Append(ctx context.Context, s Stream, data []byte) (Offset, error)
	// Read returns the records from an offset on. If there are none yet, it waits up to wait.
	Read(ctx context.Context, s Stream, from Offset, wait time.Duration) (Page, error)
}

// Change is one change of a feed: the newest value of a key, or nil if the key was removed.
type Change[T any] struct {
	Key   string
	Value *T
	// At is the position of the change in its stream.
	At Position
}

// Era counts how often the platform's store has been restored from a backup. A restore loses the
// records written after the backup, and their offsets are assigned again.
type Era uint64

// Position is a position in a stream of the platform's store. Offsets of different eras are
// unrelated.
type Position struct {
	Era    Era
	Offset Offset
}

// Compare returns -1, 0 or 1 if p is before o, equal to it or after it. All positions of an era are
// before those of the next.
func (p Position) Compare(o Position) int {
	return cmp.Or(cmp.Compare(p.Era, o.Era), cmp.Compare(p.Offset, o.Offset))
}

// Before reports whether p is before o.
func (p Position) Before(o Position) bool { return p.Compare(o) < 0 }

// After returns the position the given number of records after p.
func (p Position) After(records int) Position {
	return Position{Era: p.Era, Offset: p.Offset + Offset(records)} //nolint:gosec // a number of records is not negative
}

// Previous returns the position one record before p, or p if it is the first of its era.
func (p Position) Previous() Position {
	return Position{Era: p.Era, Offset: p.Offset - min(p.Offset, 1)}
}

func (p Position) String() string { return fmt.Sprintf("%d/%d", p.Era, p.Offset) }

// FeedPage is the result of a read of a feed. It may hold a part of the changes only.
type FeedPage[T any] struct {
	Changes []Change[T]
	// Next is the position after the changes, from which the next read continues, and End the end of
	// the feed when it was read.
	Next, End Position
}

// Partial reports whether the feed held more changes when it was read.
func (p FeedPage[T]) Partial() bool { return p.Next.Before(p.End) }

// Feed is a stream of the platform's store that keeps the newest value of each key.
type Feed[T any] interface {
	// Snapshot returns the newest values and the position from which Changes continues.
	Snapshot(ctx context.Context) ([]Change[T], Position, error)
	// Changes returns a page of the changes from a position on. If there are none yet, it waits up to
	// wait. It returns an ErrTrimmed if some of the changes are no longer kept, and an ErrEraChanged
	// if the position is not from the store's current era.
	Changes(ctx context.Context, from Position, wait time.Duration) (FeedPage[T], error)
}

// ErrTrimmed reports that the log no longer keeps the requested records.
type ErrTrimmed struct{ From Position }

func (e ErrTrimmed) Error() string { return fmt.Sprintf("position %s has been trimmed", e.From) }

// ErrEraChanged reports that a position is from another era: the store has been restored from a
// backup in between.
type ErrEraChanged struct {
	From Position
	Era  Era
}

func (e ErrEraChanged) Error() string {
	return fmt.Sprintf("position %s is not from the store's era %d", e.From, e.Era)
}

// VMList is the platform's lagging list of VMs.
type VMList interface {
	VMs(ctx context.Context) ([]vm.VM, error)
}

// WeightStore is the platform's rate-limited store of model weights.
type WeightStore interface {
	// Fetch transfers bytes of weights to an upstream and returns when the transfer is complete.
	Fetch(ctx context.Context, u upstream.ID, bytes int64) error
}

// Fence is the number of the authority behind an order. An engine that checks fences refuses orders
// with a lower one.
type Fence uint64

// EngineState is the state that a model engine reports about its rank.
type EngineState struct {
	Rank group.Rank        `json:"rank"`
	Step group.Step        `json:"step"`
	Map  expertmap.Version `json:"map"`
	// Staged is the version of the map whose weights are loaded in addition to those in use, or 0.
	Staged expertmap.Version `json:"staged"`
	// Hold is the step that the rank does not enter before a decision about HoldMap, or 0.
	Hold    group.Step        `json:"hold"`
	HoldMap expertmap.Version `json:"hold_map"`
	// SwitchAt is the step from which the rank uses SwitchMap, or 0.
	SwitchAt  group.Step        `json:"switch_at"`
	SwitchMap expertmap.Version `json:"switch_map"`
	// Fence is the highest fence the engine has seen.
	Fence   Fence `json:"fence"`
	Running int   `json:"running"`
	Waiting int   `json:"waiting"`
	// StepMicros is the mean duration of recent steps, in microseconds.
	StepMicros int64 `json:"step_micros"`
	// BusyMicros is the mean busy time of the rank itself per step, in microseconds.
	BusyMicros int64 `json:"busy_micros"`
	// Load is the ratio of the rank's expert load to the mean of its group; 1 is balanced.
	Load float64 `json:"load"`
}

// OrderKind is the kind of an order to an engine.
type OrderKind string

// The kinds of order.
const (
	// OrderFence only raises the fence.
	OrderFence OrderKind = "fence"
	// OrderStage loads the weights that a map needs in addition to those in use.
	OrderStage OrderKind = "stage"
	// OrderHold prevents the rank from entering a step before a decision.
	OrderHold OrderKind = "hold"
	// OrderSwitch uses a map from a step on and ends the hold.
	OrderSwitch OrderKind = "switch"
	// OrderRelease ends the hold without a change of map.
	OrderRelease OrderKind = "release"
	// OrderReset restarts the group on a map; its requests are dropped.
	OrderReset OrderKind = "reset"
)

// Order is a fenced order to a model engine.
type Order struct {
	Kind  OrderKind      `json:"kind"`
	Fence Fence          `json:"fence"`
	Step  group.Step     `json:"step,omitempty"`
	Map   *expertmap.Map `json:"map,omitempty"`
}

// Engine is one rank of a model engine.
type Engine interface {
	// State returns the state that the rank reports.
	State(ctx context.Context) (EngineState, error)
	// Map returns the expert map in use.
	Map(ctx context.Context) (*expertmap.Map, error)
	// Popularity returns the number of tokens that each expert of each layer has received since the
	// engine started.
	Popularity(ctx context.Context) ([][]float64, error)
	// Order sends a fenced order. An ErrRefused means that it was not executed.
	Order(ctx context.Context, o Order) error
}

// ErrRefused reports an order that an engine refused.
type ErrRefused struct{ Reason string }

func (e ErrRefused) Error() string { return fmt.Sprintf("order refused: %s", e.Reason) }

// ErrNotSent wraps a failure that occurred before anything was sent: the action has had no effect.
type ErrNotSent struct{ Err error }

func (e ErrNotSent) Error() string { return "not sent: " + e.Err.Error() }

// Unwrap returns the cause.
func (e ErrNotSent) Unwrap() error { return e.Err }
