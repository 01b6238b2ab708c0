// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package entry

import (
	"time"

	"fawnwinch.org/fawnwinch/models/catalog"
	"fawnwinch.org/fawnwinch/services"
	"fawnwinch.org/fawnwinch/services/knowledge"
)

// StoreStatus is a router's view of the platform's store.
type StoreStatus struct {
	// Era is the newest known era, and Since how long it has been known. Unsettled reports whether
	// the operator may still be rewriting what the store lost in its latest restore.
	Era       services.Era
	Since     time.Duration
	Unsettled bool
	// Catalogs and Upstreams are the read positions of the feeds, and Version is that of the
	// catalog in force.
	Catalogs, Upstreams services.Position
	Version             catalog.Version
	// Proven reports whether the catalog was ever confirmed as the newest, and ProvenAge how long
	// ago.
	Proven    bool
	ProvenAge time.Duration
	// Unreadable reports whether there is a later catalog that cannot be read, and Incomplete whether
	// parts of the one in force could not be.
	Unreadable, Incomplete bool
}

func (r *Router) storeStatus(now time.Time) StoreStatus {
	s := StoreStatus{Era: r.era()}
	r.opts.Relay.WithState(func(k *knowledge.State) {
		since, unsettled := k.RewritePending()
		s.Since, s.Unsettled = now.Sub(since), unsettled
		s.Catalogs, s.Upstreams, s.Version = k.Catalogs().Next, k.Upstreams().Next, k.Version()
		s.Proven, s.ProvenAge = !k.CatalogProof().IsZero(), k.CatalogAge(now)
		s.Unreadable, s.Incomplete = k.Unreadable(), k.Index() != nil && k.Index().Incomplete
	})
	return s
}
