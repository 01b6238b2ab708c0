// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package placement decides which ranks of a group hold which experts.
//
// The ranks synchronise after every layer, so the time of a step is the sum over the layers of the
// largest rank load. Popularity drifts, and moving an expert costs bytes of the rate-limited weight
// store. A decision therefore starts from the map in use and applies, one by one, the moves that
// shorten the step most per loaded expert, as long as each pays for itself.
package placement

import "fawnwinch.org/fawnwinch/models/expertmap"

// Popularity holds, for each layer, the share of tokens that each expert gets. The unit does not
// matter.
type Popularity [][]float64

// Skew returns the mean over the layers of the ratio of the largest rank load to the mean load; 1
// is balanced. speed holds the relative speed of each rank.
func Skew(m *expertmap.Map, p Popularity, speed []float64) (float64, error) {
	layers, err := newLayers(m, p, speed)
	if err != nil {
		return 0, err
	}
	return meanSkew(layers), nil
}

// Moves returns the number of experts that ranks must load to change from one map to another.
func Moves(from, to *expertmap.Map) int {
	n := 0
	for r := range to.Layers[0].Slots {
		n += to.Loads(from, r)
	}
	return n
}
