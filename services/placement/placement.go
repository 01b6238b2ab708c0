// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package placement decides which ranks of a group hold which experts.
//
// The ranks meet after every layer, so the time of a step is the sum over the layers of the largest
// rank load. Popularity drifts; moving an expert costs bytes of the rate-limited weight store. So a
// decision starts from the map in use and makes, one by one, the moves that shorten the step most
// for their weight, as long as each pays for itself.
package placement

import "fawnwinch.org/fawnwinch/models/expertmap"

// Popularity holds, for each layer, the share of tokens that each expert gets. The unit does not matter.
type Popularity [][]float64

// Skew returns the mean over the layers of the largest rank load against the mean; 1 is even.
// Speed holds the relative speed of each rank.
func Skew(m *expertmap.Map, p Popularity, speed []float64) (float64, error) {
	layers, err := load(m, p, speed)
	if err != nil {
		return 0, err
	}
	return meanSkew(layers), nil
}

// Moves counts the experts that ranks must load to go from one map to another.
func Moves(from, to *expertmap.Map) int {
	n := 0
	for r := range to.Layers[0].Slots {
		n += to.Loads(from, r)
	}
	return n
}
