// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package intent_test

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"fawnwinch.org/fawnwinch/models/intent"
)

const valid = `
version: 1
deployment: seiryu
rebalance: {prefer: cost, quiet_from_hour: 11, quiet_to_hour: 22}
services:
  - id: ledger-api
    kind: plain
    upstreams: [ledger-1, ledger-2]
    non_repeatable: [{method: POST, path: /v1/holds}]
    shares: [{account: itoshima-cu, weight: 4}, {account: dazaifu-cu, weight: 1}]
`

// A plan describes what an intent would change and has no side effects.
func ExampleNewPlan() {
	in, err := intent.Parse([]byte(valid))
	if err != nil {
		fmt.Println(err)
		return
	}
	base := intent.State{Revision: 3, Digest: in.Digest(), Intent: in}
	next, _ := intent.Parse([]byte(strings.Replace(valid, "weight: 4", "weight: 2", 1)))
	for _, c := range intent.NewPlan(base, next).Changes {
		fmt.Println(c.Action, c.Field, c.Before, c.After)
	}
	// Output: set services.ledger-api.shares.itoshima-cu 4 2
}

// TestParse checks that the error for an invalid intent names the field and its value.
func TestParse(t *testing.T) {
	cases := map[string]struct{ from, to, want string }{
		"unknown key":             {"deployment:", "deploymnet:", "deploymnet"},
		"wrong version":           {"version: 1", "version: 2", "Version"},
		"unknown preference":      {"prefer: cost", "prefer: luck", `"luck"`},
		"hour out of range":       {"quiet_to_hour: 22", "quiet_to_hour: 25", `"25"`},
		"upstream twice":          {"ledger-1, ledger-2", "ledger-1, ledger-1", "unique"},
		"negative share":          {"weight: 4", "weight: -4", `"-4"`},
		"account twice":           {"dazaifu-cu", "itoshima-cu", "unique"},
		"path without slash":      {"/v1/holds", "v1/holds", `"v1/holds"`},
		"groups in a plain one":   {"upstreams: [ledger-1, ledger-2]", "groups: [{id: g, ranks: [r]}]", "groups"},
		"no upstreams":            {"upstreams: [ledger-1, ledger-2]", "upstreams: []", "no upstreams"},
		"unknown closed upstream": {"kind: plain", "kind: plain\n    closed: [other]", `"other"`},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := intent.Parse([]byte(strings.Replace(valid, tc.from, tc.to, 1)))
			var bad intent.ErrInvalid
			if !errors.As(err, &bad) || !strings.Contains(err.Error(), tc.want) {
				t.Errorf("error %v, want one that contains %q", err, tc.want)
			}
		})
	}
}

// TestExamples checks the intents in custom/conf.
func TestExamples(t *testing.T) {
	files, _ := filepath.Glob("../../custom/conf/*/intent.yaml")
	if len(files) != 3 {
		t.Fatalf("found %v", files)
	}
	for _, f := range files {
		raw, err := os.ReadFile(f)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := intent.Parse(raw); err != nil {
			t.Errorf("%s: %v", f, err)
		}
	}
}

// FuzzParse checks that every accepted intent can be planned, encoded and decoded.
func FuzzParse(f *testing.F) {
	f.Add([]byte(valid))
	f.Add([]byte("version: 1\nservices: [{}]"))
	f.Fuzz(func(t *testing.T, raw []byte) {
		in, err := intent.Parse(raw)
		if err != nil {
			return
		}
		rec := intent.Record{Version: intent.RecordVersion, Kind: intent.RecordConfirm, Revision: 1, Intent: in}
		data, err := rec.Encode()
		if err != nil {
			t.Fatal(err)
		}
		back, err := intent.DecodeRecord(data)
		if err != nil || back.Intent.Digest() != in.Digest() {
			t.Fatalf("decode: %v", err)
		}
		if p := intent.NewPlan(intent.State{Digest: in.Digest(), Intent: in}, back.Intent); len(p.Changes) != 0 {
			t.Fatalf("changes against itself: %v", p.Changes)
		}
	})
}
