// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package catalog

import "slices"

// Change tells how a catalog differs from an earlier one. Catalogs are large and mostly stay as they are: one of 1,400
// routes takes some 200 KB, and a change of one route some 200 bytes.
type Change struct {
	// Base is the version that the change goes on from.
	Base Version
	// Version, MaxBytes and Services are those of the later catalog.
	Version  Version
	MaxBytes int
	Services []Service
	// Routes and Accounts are those that are new or differ; GoneRoutes and GoneAccounts name those that are no longer there.
	Routes       []Route
	GoneRoutes   []string
	Accounts     []Account
	GoneAccounts []string
}

// ChangeFrom returns how a catalog differs from an earlier one; false if that cannot be told, because a name stands for
// two routes or two accounts.
func (c *Catalog) ChangeFrom(base *Catalog) (Change, bool) {
	out := Change{Base: base.Version, Version: c.Version, MaxBytes: c.MaxBytes, Services: c.Services}
	var ok, okAccounts bool
	out.Routes, out.GoneRoutes, ok = differing(base.Routes, c.Routes, routeName, Route.equal)
	out.Accounts, out.GoneAccounts, okAccounts = differing(base.Accounts, c.Accounts, accountName, Account.equal)
	return out, ok && okAccounts
}

// Changed returns the later catalog of a change that goes on from this one; false if it goes on from another.
func (c *Catalog) Changed(ch *Change) (*Catalog, bool) {
	if ch.Base != c.Version {
		return nil, false
	}
	return &Catalog{
		Version: ch.Version, MaxBytes: ch.MaxBytes, Services: ch.Services,
		Routes:   replaced(c.Routes, ch.Routes, ch.GoneRoutes, routeName),
		Accounts: replaced(c.Accounts, ch.Accounts, ch.GoneAccounts, accountName),
	}, true
}

func routeName(r *Route) string     { return r.Name }
func accountName(a *Account) string { return string(a.ID) }

// equal reports whether two routes are the same.
func (r Route) equal(o Route) bool {
	return r.Name == o.Name && r.Host == o.Host && r.Prefix == o.Prefix && r.Kind == o.Kind && slices.Equal(r.Targets, o.Targets) &&
		r.Timeout == o.Timeout && r.Goal == o.Goal && r.PauseGoal == o.PauseGoal && r.MaxAttempts == o.MaxAttempts &&
		r.Priority == o.Priority && r.Anonymous == o.Anonymous && r.Resumable == o.Resumable
}

// equal reports whether two accounts are the same.
func (a Account) equal(o Account) bool {
	return a.ID == o.ID && a.Priority == o.Priority && a.Ranked == o.Ranked && slices.Equal(a.Keys, o.Keys)
}

// differing returns what is new or differs in a later list, and the names that are no longer there; false if a name
// stands twice in one of them.
func differing[T any](before, after []T, name func(*T) string, equal func(T, T) bool) (changed []T, gone []string, ok bool) {
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

// replaced returns a list with what has changed in it, in the place of what it replaces or at the end.
func replaced[T any](before, changed []T, gone []string, name func(*T) string) []T {
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
