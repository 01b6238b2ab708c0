// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package catalog

import "fawnwinch.org/fawnwinch/models/vm"

// Update is one change that the operator of a deployment makes. Exactly one of its fields is set.
type Update struct {
	// Catalog is a new catalog.
	Catalog *Catalog
	// Unreadable reports that there is a new catalog which cannot be read.
	Unreadable bool
	// Evacuation is the start or the end of an evacuation.
	Evacuation *Evacuation
}

// Evacuation is the operator's order to send no requests to the upstreams of a data centre, or its
// end.
type Evacuation struct {
	DataCentre vm.DataCentre
	Ended      bool
}
