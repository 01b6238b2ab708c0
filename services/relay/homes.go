// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package relay

import (
	"slices"

	"fawnwinch.org/fawnwinch/models/upstream"
	"fawnwinch.org/fawnwinch/models/vm"
)

// homes restricts a request to the upstreams of some regions. A route and a client account may each
// have a list of regions; an upstream must be in a region of every list.
type homes [][]vm.Region

// restrict adds a list of regions. An empty list restricts nothing.
func (h *homes) restrict(regions []vm.Region) {
	if len(regions) > 0 {
		*h = append(*h, regions)
	}
}

func (h homes) restricted() bool { return len(h) > 0 }

// allow reports whether upstreams of a region may get the request.
func (h homes) allow(region vm.Region) bool {
	for _, regions := range h {
		if !slices.Contains(regions, region) {
			return false
		}
	}
	return true
}

// allows returns the function that reports whether upstreams in a data centre may get the request,
// or nil if all may. A data centre whose region is not known is in no list.
func (x *exchange) allows() func(vm.DataCentre) bool {
	if !x.homes.restricted() {
		return nil
	}
	return func(dc vm.DataCentre) bool { return x.homes.allow(x.r.opts.Regions[dc]) }
}

// allowed returns those of the given upstreams that may get the request.
func (x *exchange) allowed(all []upstream.Instance) []upstream.Instance {
	allows := x.allows()
	if allows == nil {
		return all
	}
	return slices.DeleteFunc(slices.Clone(all), func(u upstream.Instance) bool { return !allows(u.DataCentre) })
}
