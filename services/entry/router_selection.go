// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package entry

import (
	"cmp"
	"slices"
	"time"

	"fawnwinch.org/fawnwinch/models/vm"
	"fawnwinch.org/fawnwinch/services/peer"

	"github.com/cespare/xxhash/v2"
)

const (
	// listAllMax is the number of routers up to which callers get the addresses of all of them.
	listAllMax = 12
	// idleRoutersListed is the number of idle routers of a data centre that callers get; busy ones
	// are listed in addition. Three still serve when two are lost. With more, each router would be
	// less informed: a router that gets one request per second has one load report per request,
	// keeps no connection long enough to reuse it, and leaves its quota at each rank unused.
	idleRoutersListed = 3
	// busyAbove is the fraction of its processor time above which a router is busy, so that another
	// is listed beside it. It is idle again below idleBelow. Half of a router's requests may move
	// to each of the others at once.
	busyAbove = 0.25
	idleBelow = 0.1
	// busyWithin is the time since its latest request within which a router may be busy.
	busyWithin = 2 * time.Second
)

// selectRouters returns the routers that the callers of a data centre get: those with the most
// processor cores first, in an order that is the same on all routers, and more of them while some
// are busy.
func selectRouters(routers []peer.Info, dc vm.DataCentre) []peer.Info {
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
		if calm == idleRoutersListed {
			return near[:i+1]
		}
	}
	return near
}

// Caller describes a caller that asks which routers to use.
type Caller struct {
	DataCentre vm.DataCentre
	Region     vm.Region
	// Host is the host name of its requests.
	Host string
}

// routersInRegion returns the routers in a caller's region: another one is farther away, and the
// bodies of requests that are restricted to some regions must not leave them. If the caller's region
// has no router, it returns those in a region that all the given lists of regions allow, and all
// routers if there is none either.
func routersInRegion(routers []peer.Info, regions vm.Regions, caller vm.Region, homes [][]vm.Region) []peer.Info {
	within := func(in func(vm.Region) bool) []peer.Info {
		return slices.DeleteFunc(slices.Clone(routers), func(r peer.Info) bool { return !in(regions[r.DataCentre]) })
	}
	if caller == "" {
		return routers
	}
	if near := within(func(region vm.Region) bool { return region == caller }); len(near) > 0 {
		return near
	}
	allowed := within(func(region vm.Region) bool {
		return !slices.ContainsFunc(homes, func(list []vm.Region) bool { return !slices.Contains(list, region) })
	})
	if len(allowed) > 0 {
		return allowed
	}
	return routers
}

// routersFor returns the routers that the callers of a data centre get: routers there, or of all
// data centres if it has none.
func routersFor(routers []peer.Info, dc vm.DataCentre) []peer.Info {
	if len(routers) <= listAllMax {
		return routers
	}
	if near := selectRouters(routers, dc); len(near) > 0 {
		return near
	}
	return routersForAll(routers)
}

// routersForAll returns the routers that callers of any data centre get.
func routersForAll(routers []peer.Info) []peer.Info {
	if len(routers) <= listAllMax {
		return routers
	}
	var out []peer.Info
	seen := map[vm.DataCentre]bool{}
	for _, r := range routers {
		if !seen[r.DataCentre] {
			seen[r.DataCentre] = true
			out = append(out, selectRouters(routers, r.DataCentre)...)
		}
	}
	return out
}
