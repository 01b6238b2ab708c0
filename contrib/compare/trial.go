// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package main

import (
	"fmt"
	"path/filepath"
	"slices"
	"strings"

	"fawnwinch.org/fawnwinch/modules/setting"
)

// variantName names a variant of a trial.
type variantName string

// variant is a version of the product to be played.
type variant struct {
	Name variantName `yaml:"name" validate:"required"`
	// Checkout is the directory with the variant's sources and the journal of its plays.
	Checkout string `yaml:"checkout" validate:"required"`
}

// trial defines which plays are run and compared.
type trial struct {
	// Why is the reason in the journal entry of each play. The name of the variant is appended to
	// it.
	Why string `yaml:"why" validate:"required"`
	// Play is the command that plays a day, without its arguments: the site's file, the day and
	// Flags.
	Play  string   `yaml:"play" validate:"required"`
	Flags []string `yaml:"flags"`
	// Sites are the files of the deployments, and Days the days that are played at each.
	Sites []string `yaml:"sites" validate:"min=1,dive,required"`
	Days  []string `yaml:"days" validate:"min=1,dive,required"`
	// Seeds are the random seeds with which each day is played. If empty, the seed in the day's
	// file is used.
	Seeds []uint64 `yaml:"seeds"`
	// Base is the variant that the others are compared with.
	Base     variantName `yaml:"base" validate:"required"`
	Variants []variant   `yaml:"variants" validate:"min=2,dive"`
}

func loadTrial(path string) (*trial, error) {
	t := &trial{}
	if err := setting.Load(path, t); err != nil {
		return nil, fmt.Errorf("load trial: %w", err)
	}
	seen := map[variantName]bool{}
	for _, v := range t.Variants {
		if seen[v.Name] {
			return nil, setting.ErrInvalid{File: path, Field: "variants.name", Value: string(v.Name), Reason: "is not unique"}
		}
		seen[v.Name] = true
	}
	if !seen[t.Base] {
		return nil, setting.ErrInvalid{File: path, Field: "base", Value: string(t.Base), Reason: "is not one of the variants"}
	}
	return t, nil
}

// journalReason returns the reason in the journal entries of a variant's plays.
func (t *trial) journalReason(v variantName) string { return t.Why + ", variant=" + string(v) }

// siteName returns the name of the deployment of a site's file.
func siteName(file string) string { return strings.TrimSuffix(filepath.Base(file), filepath.Ext(file)) }

// siteNames returns the names of the deployments in the order of the trial.
func (t *trial) siteNames() []string {
	out := make([]string, len(t.Sites))
	for i, s := range t.Sites {
		out[i] = siteName(s)
	}
	return out
}

// dayName returns the name of a day in journals: the day's own name, or that of its file.
func dayName(day string) string { return strings.TrimSuffix(filepath.Base(day), ".toml") }

// missing returns the shell commands for the plays that are not in the journals yet, and the number
// of all plays. The variants of a day follow each other, so that an interrupted series leaves
// complete pairs.
func (t *trial) missing(done map[playKey]play) (lines []string, all int) {
	seeds := t.Seeds
	if len(seeds) == 0 {
		seeds = []uint64{0}
	}
	for _, site := range t.Sites {
		for _, day := range t.Days {
			for _, seed := range seeds {
				for _, v := range t.Variants {
					all++
					if _, ok := done[playKey{v.Name, pair{siteName(site), dayName(day), seed}}]; !ok {
						lines = append(lines, t.shellLine(v, site, day, seed))
					}
				}
			}
		}
	}
	return lines, all
}

// shellLine returns the shell command that plays a day.
func (t *trial) shellLine(v variant, site, day string, seed uint64) string {
	words := []string{"cd", shellQuote(v.Checkout), "&&", t.Play, shellQuote(site), shellQuote(day)}
	if seed != 0 {
		words = append(words, "--seed", fmt.Sprint(seed))
	}
	words = append(words, t.Flags...)
	return strings.Join(append(words, "--why", shellQuote(t.journalReason(v.Name))), " ")
}

// shellQuote quotes a word for the shell.
func shellQuote(word string) string { return "'" + strings.ReplaceAll(word, "'", `'\''`) + "'" }

// candidates returns the variants that are compared with the base.
func (t *trial) candidates() []variant {
	return slices.DeleteFunc(slices.Clone(t.Variants), func(v variant) bool { return v.Name == t.Base })
}
