// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package routing

import (
	"cmp"
	"slices"

	"fawnwinch.org/fawnwinch/models/account"
	"fawnwinch.org/fawnwinch/models/vm"

	"github.com/cespare/xxhash/v2"
)

// Entry is a router that callers may use.
type Entry struct {
	ID         string        `json:"id"`
	Address    string        `json:"address"`
	DataCentre vm.DataCentre `json:"data_centre"`
}

// Rank orders the routers for an account: those of the preferred data centre first, then by
// rendezvous score, so that accounts spread evenly and few move when a router is added or removed.
func Rank(id account.ID, near vm.DataCentre, routers []Entry) []Entry {
	out := slices.Clone(routers)
	slices.SortFunc(out, func(a, b Entry) int {
		if near != "" && (a.DataCentre == near) != (b.DataCentre == near) {
			if a.DataCentre == near {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(score(id, b), score(id, a)), cmp.Compare(a.ID, b.ID))
	})
	return out
}

func score(id account.ID, e Entry) uint64 {
	return xxhash.Sum64String(string(id) + "\x00" + e.ID)
}
