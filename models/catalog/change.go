// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package catalog

import (
	"slices"
	"time"
)

// Change is the difference between a catalog and an earlier one. Catalogs are large and change
// little: one with 1,400 routes takes about 200 KB, and a change of one route about 200 bytes.
type Change struct {
	// Base is the version that the change applies to.
	Base Version
	// Version, MaxBytes, IdleTimeout, Services, Keyed and Incomplete are those of the later catalog.
	Version     Version
	MaxBytes    int
	IdleTimeout time.Duration
	Services    []Service
	Keyed       bool
	Incomplete  bool
	// Routes and Accounts are the entries that are new or differ; GoneRoutes and GoneAccounts name
	// those that were removed.
	Routes       []Route
	GoneRoutes   []string
	Accounts     []Account
	GoneAccounts []string
}

// ChangeFrom returns the change from base to c, or false if a name occurs twice among the routes or
// the accounts of either catalog.
func (c *Catalog) ChangeFrom(base *Catalog) (Change, bool) {
	out := Change{Base: base.Version, Version: c.Version, MaxBytes: c.MaxBytes, IdleTimeout: c.IdleTimeout, Services: c.Services, Keyed: c.Keyed, Incomplete: c.Incomplete}
	var ok, okAccounts bool
	out.Routes, out.GoneRoutes, ok = diffEntries(base.Routes, c.Routes, routeName, Route.equal)
	out.Accounts, out.GoneAccounts, okAccounts = diffEntries(base.Accounts, c.Accounts, accountName, Account.equal)
	return out, ok && okAccounts
}

// Apply returns the catalog that results from applying ch to c, or false if ch has another base
// version.
func (c *Catalog) Apply(ch *Change) (*Catalog, bool) {
	if ch.Base != c.Version {
		return nil, false
	}
	return &Catalog{
		Version: ch.Version, MaxBytes: ch.MaxBytes, IdleTimeout: ch.IdleTimeout, Services: ch.Services, Keyed: ch.Keyed, Incomplete: ch.Incomplete,
		Routes:   applyEntries(c.Routes, ch.Routes, ch.GoneRoutes, routeName),
		Accounts: applyEntries(c.Accounts, ch.Accounts, ch.GoneAccounts, accountName),
	}, true
}

func routeName(r *Route) string     { return r.Name }
func accountName(a *Account) string { return string(a.ID) }

func (r Route) equal(o Route) bool {
	return r.Name == o.Name && r.Host == o.Host && r.Prefix == o.Prefix && r.Kind == o.Kind && slices.Equal(r.Targets, o.Targets) &&
		r.Timeout == o.Timeout && r.Goal == o.Goal && r.PauseGoal == o.PauseGoal && r.MaxAttempts == o.MaxAttempts &&
		r.Priority == o.Priority && r.Anonymous == o.Anonymous && r.Resumable == o.Resumable && slices.Equal(r.Homes, o.Homes) && r.Unusable == o.Unusable
}

func (a Account) equal(o Account) bool {
	return a.ID == o.ID && a.Priority == o.Priority && a.Ranked == o.Ranked && slices.Equal(a.Keys, o.Keys) && slices.Equal(a.Homes, o.Homes)
}

// diffEntries returns the entries of after that are new or differ, and the names that are only in
// before. It returns false if a name occurs twice in either list.
func diffEntries[T any](before, after []T, name func(*T) string, equal func(T, T) bool) (changed []T, gone []string, ok bool) {
	old := make(map[string]*T, len(before))
	for i := range before {
		old[name(&before[i])] = &before[i]
	}
	seen := make(map[string]bool, len(after))
	for i := range after {
		n := name(&after[i])
		seen[n] = true
		if b, known := old[n]; !known || !equal(*b, after[i]) {
			changed = append(changed, after[i])
		}
	}
	for i := range before {
		if n := name(&before[i]); !seen[n] {
			gone = append(gone, n)
		}
	}
	return changed, gone, len(old) == len(before) && len(seen) == len(after)
}

// applyEntries returns before without the gone entries, with changed entries in place of those they
// replace, and with new ones at the end.
func applyEntries[T any](before, changed []T, gone []string, name func(*T) string) []T {
	next := make(map[string]*T, len(changed))
	for i := range changed {
		next[name(&changed[i])] = &changed[i]
	}
	dropped := make(map[string]bool, len(gone))
	for _, n := range gone {
		dropped[n] = true
	}
	out := make([]T, 0, len(before)+len(changed))
	for i := range before {
		n := name(&before[i])
		switch c, ok := next[n]; {
		case ok:
			out = append(out, *c)
			delete(next, n)
		case !dropped[n]:
			out = append(out, before[i])
		}
	}
	for i := range changed {
		if _, ok := next[name(&changed[i])]; ok {
			out = append(out, changed[i])
		}
	}
	return out
}
