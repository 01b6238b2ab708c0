// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package upstream

import "time"

// Rate is a number of requests per second.
type Rate float64

// Notice is what an upstream reports about itself in the headers of an answer.
type Notice struct {
	// Leaving reports whether the upstream accepts no more new work.
	Leaving bool
	// Rest is how long the upstream wants no requests from the router whose request it rejected; 0
	// if not given.
	Rest time.Duration
	// Limited reports whether the upstream names a limit: it accepts Limit from all routers
	// together for as long as its answers say so.
	Limited bool
	Limit   Rate
	// Unread is the error of a field that could not be parsed, or nil. If it is set, the absence of
	// that field has no meaning.
	Unread error
}
