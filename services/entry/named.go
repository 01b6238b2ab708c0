// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package entry

import (
	"cmp"
	"slices"

	"fawnwinch.org/fawnwinch/models/vm"
	"fawnwinch.org/fawnwinch/services/peer"

	"github.com/cespare/xxhash/v2"
)

const (
	// fewRouters is the number of routers up to which callers are named all of them.
	fewRouters = 12
	// namedRouters is the number of routers of a data centre that callers are named, beside those that are busy. Three
	// serve on when two are lost. More would know less: a router that gets a request a second goes by a report for each,
	// keeps no connection long enough to use it again, and has its part of each rank's places unused.
	namedRouters = 3
	// busyAbove is the part of its processor time from which a router is busy, so that another is named beside it, and
	// calmBelow that below which it no longer is. Half of a router's requests may come to each of the others at once.
	busyAbove = 0.25
	calmBelow = 0.1
)

// named returns the routers of a data centre that its callers are named: the ones with the largest share of processor
// cores, in an order that all routers agree on, and more as those are busy.
func named(routers []peer.Info, dc vm.DataCentre) []peer.Info {
	var near []peer.Info
	for _, r := range routers {
		if r.DataCentre == dc {
			near = append(near, r)
		}
	}
	slices.SortFunc(near, func(a, b peer.Info) int {
		return cmp.Or(cmp.Compare(b.Cores, a.Cores), cmp.Compare(xxhash.Sum64String(a.Name), xxhash.Sum64String(b.Name)))
	})
	calm := 0
	for i, r := range near {
		if !r.Busy {
			calm++
		}
		if calm == namedRouters {
			return near[:i+1]
		}
	}
	return near
}

// namedTo returns the routers that the callers of a data centre are named: those of it, or of all if it has none.
func namedTo(routers []peer.Info, dc vm.DataCentre) []peer.Info {
	if len(routers) <= fewRouters {
		return routers
	}
	if near := named(routers, dc); len(near) > 0 {
		return near
	}
	return namedAnywhere(routers)
}

// namedAnywhere returns the routers that are named to callers of any data centre.
func namedAnywhere(routers []peer.Info) []peer.Info {
	if len(routers) <= fewRouters {
		return routers
	}
	var out []peer.Info
	seen := map[vm.DataCentre]bool{}
	for _, r := range routers {
		if !seen[r.DataCentre] {
			seen[r.DataCentre] = true
			out = append(out, named(routers, r.DataCentre)...)
		}
	}
	return out
}
