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

// variant is a checkout of the sources that is played.
type variant struct {
	Name variantName `yaml:"name" validate:"required"`
	// Checkout is a directory with the sources, and the journal of its plays.
	Checkout string `yaml:"checkout" validate:"required"`
}

// trial is what is played and compared.
type trial struct {
	// Why stands in the journal entry of each play, before the name of the variant.
	Why string `yaml:"why" validate:"required"`
	// Play is the command that plays a day, as far as the name of the site's file; Flags follow the day.
	Play  string   `yaml:"play" validate:"required"`
	Flags []string `yaml:"flags"`
	// Sites are the files of the deployments, and Days the days of each.
	Sites []string `yaml:"sites" validate:"min=1,dive,required"`
	Days  []string `yaml:"days" validate:"min=1,dive,required"`
	// Seeds are other ways in which each day may go; without any, a day goes as its file says.
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
			return nil, setting.ErrInvalid{File: path, Field: "variants.name", Value: string(v.Name), Reason: "stands twice"}
		}
		seen[v.Name] = true
	}
	if !seen[t.Base] {
		return nil, setting.ErrInvalid{File: path, Field: "base", Value: string(t.Base), Reason: "is none of the variants"}
	}
	return t, nil
}

// reason is what stands in the journal entries of a variant's plays.
func (t *trial) reason(v variantName) string { return t.Why + ", variant=" + string(v) }

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

// dayName returns the name of a day as journals tell it: the day's own, or that of its file.
func dayName(day string) string { return strings.TrimSuffix(filepath.Base(day), ".toml") }

// missing returns the lines that play what is not in the journals yet, and the number of all plays. The variants of a day follow each
// other, so that a series that is broken off leaves whole pairs.
func (t *trial) missing(done map[cell]play) (lines []string, all int) {
	seeds := t.Seeds
	if len(seeds) == 0 {
		seeds = []uint64{0}
	}
	for _, site := range t.Sites {
		for _, day := range t.Days {
			for _, seed := range seeds {
				for _, v := range t.Variants {
					all++
					if _, ok := done[cell{v.Name, pair{siteName(site), dayName(day), seed}}]; !ok {
						lines = append(lines, t.line(v, site, day, seed))
					}
				}
			}
		}
	}
	return lines, all
}

// line returns the line of shell that plays a day.
func (t *trial) line(v variant, site, day string, seed uint64) string {
	words := []string{"cd", quote(v.Checkout), "&&", t.Play, quote(site), quote(day)}
	if seed != 0 {
		words = append(words, "--seed", fmt.Sprint(seed))
	}
	words = append(words, t.Flags...)
	return strings.Join(append(words, "--why", quote(t.reason(v.Name))), " ")
}

// quote returns a word as shells read it.
func quote(word string) string { return "'" + strings.ReplaceAll(word, "'", `'\''`) + "'" }

// others returns the variants that are compared with the base.
func (t *trial) others() []variant {
	return slices.DeleteFunc(slices.Clone(t.Variants), func(v variant) bool { return v.Name == t.Base })
}
