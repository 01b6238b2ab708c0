// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package main

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
)

// pair identifies what each variant plays: a day at a site with a seed. Seed is 0 if the day's own
// seed is used.
type pair struct {
	Site, Day string
	Seed      uint64
}

// playKey identifies the play of a pair by a variant.
type playKey struct {
	Variant variantName
	Pair    pair
}

// play is the result of one run of a variant on a day.
type play struct {
	// Worth and Served are fractions of what was owed; Worth is net of what was paid.
	Worth, Served float64
	// Broken is the number of rules that were broken. Failed reports whether the play gave no
	// result.
	Broken int
	Failed bool
}

// entry holds the fields of a journal entry that the comparison uses.
type entry struct {
	Arguments []string `json:"argv"`
	Why       string   `json:"why"`
	Site      string   `json:"site"`
	OK        bool     `json:"ok"`
	Days      []struct {
		Worth  float64                    `json:"G"`
		Name   string                     `json:"name"`
		Seed   uint64                     `json:"seed"`
		Served float64                    `json:"served"`
		Rules  map[string]json.RawMessage `json:"rules"`
		Fault  *string                    `json:"fault"`
	} `json:"days"`
}

// plays reads the plays of a trial from the journals of all variants. If a pair was played more
// than once, the last play is used.
func (t *trial) plays() (map[playKey]play, error) {
	out := map[playKey]play{}
	for _, v := range t.Variants {
		files, err := filepath.Glob(filepath.Join(v.Checkout, "journal", "*.json"))
		if err != nil {
			return nil, fmt.Errorf("list journal of %s: %w", v.Name, err)
		}
		slices.Sort(files) // names begin with the time, so the last play comes last
		for _, f := range files {
			e, err := readEntry(f)
			if err != nil {
				return nil, err
			}
			if e.Why == t.journalReason(v.Name) {
				e.add(v.Name, out)
			}
		}
	}
	return out, nil
}

func readEntry(file string) (*entry, error) {
	raw, err := os.ReadFile(file) //nolint:gosec // the user names the directory
	if err != nil {
		return nil, fmt.Errorf("read journal: %w", err)
	}
	e := &entry{}
	if err := json.Unmarshal(raw, e); err != nil {
		return nil, fmt.Errorf("decode journal entry %s: %w", file, err)
	}
	return e, nil
}

func (e *entry) add(v variantName, plays map[playKey]play) {
	for _, d := range e.Days {
		p := pair{Site: e.Site, Day: d.Name}
		if slices.Contains(e.Arguments, "--seed") {
			p.Seed = d.Seed
		}
		plays[playKey{v, p}] = play{Worth: d.Worth, Served: d.Served, Broken: len(d.Rules), Failed: !e.OK || d.Fault != nil}
	}
}
