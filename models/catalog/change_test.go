// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package catalog

import (
	"fmt"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"fawnwinch.org/fawnwinch/models/account"
	"fawnwinch.org/fawnwinch/models/service"

	"pgregory.net/rapid"
)

// catalogs draws catalogs whose routes and accounts have few names, so that two of them share some.
func catalogs(version Version) *rapid.Generator[*Catalog] {
	return rapid.Custom(func(t *rapid.T) *Catalog {
		c := &Catalog{Version: version, MaxBytes: rapid.IntRange(0, 2).Draw(t, "bytes"), Services: []Service{{ID: "s"}}}
		for i := range 8 {
			if rapid.Bool().Draw(t, "route") {
				c.Routes = append(c.Routes, Route{
					Name: fmt.Sprint("r", i), Host: "h", Timeout: time.Duration(rapid.IntRange(0, 1).Draw(t, "timeout")),
					Targets: []Target{{Service: service.ID(fmt.Sprint(rapid.IntRange(0, 1).Draw(t, "target")))}},
				})
			}
			if rapid.Bool().Draw(t, "account") {
				c.Accounts = append(c.Accounts, Account{ID: account.ID(fmt.Sprint("a", i)), Keys: []Key{Key(fmt.Sprint(rapid.IntRange(0, 2).Draw(t, "key")))}})
			}
		}
		return c
	})
}

// TestChange checks that a change brings a catalog to what it was made from, whatever the two catalogs are.
func TestChange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		before, after := catalogs(3).Draw(t, "before"), catalogs(4).Draw(t, "after")
		change, ok := after.ChangeFrom(before)
		if !ok {
			t.Fatal("no change between catalogs without doubled names")
		}
		got, ok := before.Changed(&change)
		if !ok || !sameCatalog(got, after) {
			t.Errorf("%+v with %+v is %+v, want %+v", before, change, got, after)
		}
		if _, ok := after.Changed(&change); ok {
			t.Error("a change was taken by a catalog that it does not go on from")
		}
	})
}

// sameCatalog reports whether two catalogs are the same but for the order of routes and accounts.
func sameCatalog(a, b *Catalog) bool {
	sorted := func(c *Catalog) Catalog {
		s := *c
		s.Routes = slices.SortedFunc(slices.Values(c.Routes), func(a, b Route) int { return strings.Compare(a.Name, b.Name) })
		s.Accounts = slices.SortedFunc(slices.Values(c.Accounts), func(a, b Account) int { return strings.Compare(string(a.ID), string(b.ID)) })
		return s
	}
	return reflect.DeepEqual(sorted(a), sorted(b))
}

// TestChangeDoubled checks that catalogs in which a name stands twice have no change.
func TestChangeDoubled(t *testing.T) {
	doubled := &Catalog{Version: 2, Routes: []Route{{Name: "r", Host: "a"}, {Name: "r", Host: "b"}}}
	if _, ok := doubled.ChangeFrom(&Catalog{Version: 1}); ok {
		t.Error("a change to a catalog with a doubled name")
	}
	if _, ok := (&Catalog{Version: 3}).ChangeFrom(doubled); ok {
		t.Error("a change from a catalog with a doubled name")
	}
}

// TestEqual checks that a difference in any field of a route or an account is seen.
func TestEqual(t *testing.T) {
	for i := range reflect.TypeFor[Route]().NumField() {
		var a, b Route
		differ(reflect.ValueOf(&b).Elem().Field(i))
		if a.equal(b) || !b.equal(b) {
			t.Errorf("a difference in Route.%s is not seen", reflect.TypeFor[Route]().Field(i).Name)
		}
	}
	for i := range reflect.TypeFor[Account]().NumField() {
		var a, b Account
		differ(reflect.ValueOf(&b).Elem().Field(i))
		if a.equal(b) || !b.equal(b) {
			t.Errorf("a difference in Account.%s is not seen", reflect.TypeFor[Account]().Field(i).Name)
		}
	}
}

// differ sets a field to something that is not its zero value.
func differ(v reflect.Value) {
	switch v.Kind() {
	case reflect.String:
		v.SetString("x")
	case reflect.Int, reflect.Int64:
		v.SetInt(1)
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 1, 1))
	default:
		panic(v.Kind())
	}
}
