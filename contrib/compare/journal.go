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

// pair names what is played by each variant: a day of a site, and how it goes. Seed is 0 where the day's own was taken.
type pair struct {
	Site, Day string
	Seed      uint64
}

// cell is a play of a variant.
type cell struct {
	Variant variantName
	Pair    pair
}

// play is the outcome of a play.
type play struct {
	// Worth and Served are parts of what was owed; Worth is less what was paid.
	Worth, Served float64
	// Broken counts the rules that were broken, and Failed says that the play came to no figure.
	Broken int
	Failed bool
}

// entry is a journal entry, as far as it matters here.
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

// plays reads what the journals of all variants hold of a trial. Of two plays of the same the later counts.
func (t *trial) plays() (map[cell]play, error) {
	out := map[cell]play{}
	for _, v := range t.Variants {
		files, err := filepath.Glob(filepath.Join(v.Checkout, "journal", "*.json"))
		if err != nil {
			return nil, fmt.Errorf("list journal of %s: %w", v.Name, err)
		}
		slices.Sort(files) // names begin with the time
		for _, f := range files {
			e, err := readEntry(f)
			if err != nil {
				return nil, err
			}
			if e.Why == t.reason(v.Name) {
				e.add(v.Name, out)
			}
		}
	}
	return out, nil
}

func readEntry(file string) (*entry, error) {
	raw, err := os.ReadFile(file) //nolint:gosec // whoever compares names the directory
	if err != nil {
		return nil, fmt.Errorf("read journal: %w", err)
	}
	e := &entry{}
	if err := json.Unmarshal(raw, e); err != nil {
		return nil, fmt.Errorf("decode journal entry %s: %w", file, err)
	}
	return e, nil
}

func (e *entry) add(v variantName, into map[cell]play) {
	for _, d := range e.Days {
		p := pair{Site: e.Site, Day: d.Name}
		if slices.Contains(e.Arguments, "--seed") {
			p.Seed = d.Seed
		}
		into[cell{v, p}] = play{Worth: d.Worth, Served: d.Served, Broken: len(d.Rules), Failed: !e.OK || d.Fault != nil}
	}
}
