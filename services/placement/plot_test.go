// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package placement

import (
	"fmt"
	"image/color"
	"math"
	"os"
	"testing"

	"fawnwinch.org/fawnwinch/models/expertmap"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
)

// plotFile is the environment variable with the file name for the plot.
const plotFile = "FAWNWINCH_PLOT"

// BenchmarkPlot plots skew against loaded experts for a series of prices and for the full
// recompute, if FAWNWINCH_PLOT is set to a file name.
func BenchmarkPlot(b *testing.B) {
	path := os.Getenv(plotFile)
	if path == "" {
		b.Skip(plotFile + " is not set")
	}
	p := plot.New()
	p.Title.Text = "12 ranks, 64 experts, 8 layers: 30 intervals, medians of 20 seeds"
	p.X.Label.Text = "experts loaded"
	p.Y.Label.Text = "mean of largest rank load / mean"
	p.X.Scale, p.X.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	p.Y.Tick.Marker = plot.TickerFunc(skewTicks)
	p.Legend.Top = true
	colours := []color.Color{color.RGBA{R: 200, A: 255}, color.RGBA{B: 200, A: 255}, color.RGBA{G: 140, A: 255}}
	for i, name := range []string{"season", "swap", "language"} {
		line, points, err := plotter.NewLinePoints(frontier(traces[name]))
		if err != nil {
			b.Fatal(err)
		}
		full, err := plotter.NewScatter(plotter.XYs{medians(traces[name], "full")})
		if err != nil {
			b.Fatal(err)
		}
		line.Color, points.Color, full.Color = colours[i], colours[i], colours[i]
		full.Shape, full.Radius = draw.CrossGlyph{}, vg.Points(5)
		p.Add(line, points, full)
		p.Legend.Add(name+", price from 0.0005 to 0.08", line)
		p.Legend.Add(name+", full recompute", full)
	}
	if err := p.Save(18*vg.Centimeter, 12*vg.Centimeter, path); err != nil {
		b.Fatal(err)
	}
}

// skewTicks places ticks at steps of 0.05 and labels every other one.
func skewTicks(low, high float64) []plot.Tick {
	var out []plot.Tick
	for i := int(math.Ceil(low * 20)); float64(i) <= high*20; i++ {
		t := plot.Tick{Value: float64(i) / 20}
		if i%2 == 0 {
			t.Label = fmt.Sprintf("%.1f", t.Value)
		}
		out = append(out, t)
	}
	return out
}

// frontier returns loaded experts and skew for a series of prices.
func frontier(sudden func(*trace, int)) plotter.XYs {
	var out plotter.XYs
	for _, price := range []float64{0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.04, 0.08} {
		out = append(out, measured(sudden, func(speed []float64) func(*expertmap.Map, Popularity) *expertmap.Map {
			var floors []float64
			return func(m *expertmap.Map, p Popularity) *expertmap.Map {
				r, err := Decide(m, p, speed, Policy{Price: price, MaxMoves: small.budget(), Enough: 1.01, Slack: 0.01}, floors)
				if err != nil {
					panic(err)
				}
				floors = r.Floors
				return r.Map
			}
		}))
	}
	return out
}

func medians(sudden func(*trace, int), name string) plotter.XY {
	return measured(sudden, func(speed []float64) func(*expertmap.Map, Popularity) *expertmap.Map {
		return policies(speed, small.budget())[name]
	})
}

func measured(sudden func(*trace, int), policy func([]float64) func(*expertmap.Map, Popularity) *expertmap.Map) plotter.XY {
	var skews, moves []float64
	for seed := range uint64(benchSeeds) {
		speed := uniform(small.ranks)
		if seed%2 == 1 {
			speed[3] = 0.5
		}
		s, n := run(newTrace(seed, small, 0.03, sudden), small.first(), speed, 30, policy(speed))
		skews, moves = append(skews, s), append(moves, float64(n))
	}
	return plotter.XY{X: max(1, median(moves)), Y: median(skews)}
}
