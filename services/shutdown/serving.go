// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package shutdown

import (
	"cmp"
	"slices"

	"fawnwinch.org/fawnwinch/services/peer"
)

// Serving returns the routers that callers are sent to: those that are ready. If there are fewer of
// them than of the leaving routers that leave last, it returns those too: while all routers leave,
// half of them serve until the others are back.
func Serving(ready, leaving []peer.Info) []peer.Info {
	last := lastToLeave(leaving)
	if len(ready) >= len(last) {
		return ready
	}
	return append(slices.Clone(ready), last...)
}

// lastToLeave returns the half of the leaving routers that leaves last, in an order that is the same
// on all routers.
func lastToLeave(leaving []peer.Info) []peer.Info {
	sorted := slices.Clone(leaving)
	slices.SortFunc(sorted, func(a, b peer.Info) int {
		return cmp.Or(cmp.Compare(a.LeavingSince, b.LeavingSince), cmp.Compare(a.Name, b.Name))
	})
	return sorted[len(sorted)/2:]
}
