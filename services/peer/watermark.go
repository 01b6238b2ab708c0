// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package peer

// Position numbers the changes of a state that a process publishes.
type Position uint64

// Watermark is a watermark in the changes of a state that a process publishes. Start identifies
// that state: a process that restarts has another one.
type Watermark struct {
	Start    uint64
	Position Position
}
