// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package main

import (
	"fmt"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// drawPlot draws the mean difference in worth from the base, with a row for each variant and a
// point for each site.
func drawPlot(file string, t *trial, list []comparison) error {
	p := plot.New()
	p.X.Label.Text = "difference in worth against " + string(t.Base)
	p.Legend.Top = true
	names := make([]string, len(list))
	for i, c := range list {
		names[i] = string(c.Variant)
	}
	p.NominalY(names...)
	for i, site := range t.siteNames() {
		points := sitePoints(list, site)
		if len(points) == 0 {
			continue
		}
		scatter, err := plotter.NewScatter(points)
		if err != nil {
			return fmt.Errorf("plot %s: %w", site, err)
		}
		scatter.Color, scatter.Shape = plotutil.Color(i), plotutil.Shape(i)
		p.Add(scatter)
		p.Legend.Add(site, scatter)
	}
	p.Add(plotter.NewGrid())
	// Five more rows leave room for the axis, its label and the legend.
	const rowHeight = 0.8 * vg.Centimeter
	if err := p.Save(20*vg.Centimeter, vg.Length(len(list)+5)*rowHeight, file); err != nil {
		return fmt.Errorf("save plot: %w", err)
	}
	return nil
}

// sitePoints returns the mean differences at a site, with a row for each variant.
func sitePoints(list []comparison, site string) plotter.XYs {
	var out plotter.XYs
	for i, c := range list {
		if s := c.Sites[site]; s.Pairs > 0 {
			out = append(out, plotter.XY{X: s.Mean, Y: float64(i)})
		}
	}
	return out
}
