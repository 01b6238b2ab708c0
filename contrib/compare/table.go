// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package main

import (
	"fmt"
	"io"
	"strings"
)

// writeTable writes the comparison as a Markdown table with a row for each variant and a column for
// each site.
func writeTable(w io.Writer, t *trial, list []comparison) error {
	sites := t.siteNames()
	var b strings.Builder
	fmt.Fprintf(&b, "Difference in worth against `%s`, the same day and seed in pairs: mean ± standard deviation (better of pairs).\n\n", t.Base)
	fmt.Fprintf(&b, "| variant | %s | all | served | outcome |\n|%s\n", strings.Join(sites, " | "), strings.Repeat("---|", len(sites)+4))
	for _, c := range list {
		fmt.Fprintf(&b, "| %s |", c.Variant)
		for _, site := range sites {
			fmt.Fprintf(&b, " %s |", c.Sites[site])
		}
		fmt.Fprintf(&b, " %s | %+.3f | %s |\n", c.All, c.All.Served, c.outcome())
	}
	if _, err := io.WriteString(w, b.String()); err != nil {
		return fmt.Errorf("write table: %w", err)
	}
	return nil
}

// String returns the text of a summary in a table.
func (s summary) String() string {
	if s.Pairs == 0 && s.Failed == 0 {
		return "not played"
	}
	text := fmt.Sprintf("%+.3f ± %.3f (%d/%d)", s.Mean, s.Spread, s.Better, s.Pairs)
	if s.Failed > 0 {
		text += fmt.Sprintf(", %d without a figure", s.Failed)
	}
	if s.Broken > 0 {
		text += fmt.Sprintf(", %d rules broken", s.Broken)
	}
	return text
}
