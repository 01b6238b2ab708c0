// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package knowledge

import (
	"time"

	"fawnwinch.org/fawnwinch/models/catalog"
	"fawnwinch.org/fawnwinch/services"
)

// rewriteWindow is the time within which the operator has rewritten the lost records after a
// restore of the store from a backup. Until then, a log without a newer version does not prove that
// no newer version was accepted.
const rewriteWindow = 2 * time.Second

// proof records the latest time at which the catalog in force was confirmed as the newest accepted
// one.
type proof struct {
	// asOf is that time, or zero if there is none.
	asOf time.Time
	// eraSince is when the store's era became known, and validFrom the time from which reads of its
	// log are accepted as proof.
	eraSince, validFrom time.Time
}

// beginEra records that an era of the store became known. A store in its first era has lost
// nothing.
func (p *proof) beginEra(now time.Time, era services.Era) {
	p.eraSince, p.validFrom = now, time.Time{}
	if era > 0 {
		p.validFrom = now.Add(rewriteWindow)
	}
}

// recordRead records that the log contained nothing newer at asOf.
func (p *proof) recordRead(asOf time.Time) {
	if !asOf.Before(p.validFrom) {
		p.add(asOf)
	}
}

func (p *proof) add(asOf time.Time) {
	if asOf.After(p.asOf) {
		p.asOf = asOf
	}
}

// Confirmation states that another router knew at AsOf that no version later than Version had been
// accepted. The zero value states nothing.
type Confirmation struct {
	Version catalog.Version
	AsOf    time.Time
}

// CatalogProof returns the latest time at which the catalog in force was confirmed as the newest;
// zero if there is none.
func (s *State) CatalogProof() time.Time { return s.proof.asOf }

// CatalogAge returns the time since the catalog was last confirmed as the newest. It is the maximum
// duration if it never was.
func (s *State) CatalogAge(now time.Time) time.Duration { return now.Sub(s.proof.asOf) }

// EndRewrite records at now that another process found the rewrite window of the current era to be
// over.
func (s *State) EndRewrite(now time.Time, era services.Era) {
	if s.catalogs.Known() && s.catalogs.Next.Era == era && now.Before(s.proof.validFrom) {
		s.proof.validFrom = now
	}
}

// ProofFrom returns the time from which reads confirm again that the catalog in force is the
// newest, and whether that confirmation is still missing.
func (s *State) ProofFrom() (from time.Time, ok bool) {
	return s.proof.validFrom, s.proof.asOf.Before(s.proof.validFrom)
}

// RewritePending returns when the store's era became known, and whether the store may still lack
// records that the operator wrote earlier.
func (s *State) RewritePending() (since time.Time, ok bool) {
	_, ok = s.ProofFrom()
	return s.proof.eraSince, ok
}
