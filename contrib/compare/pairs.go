// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package main

import (
	"cmp"
	"math"
	"slices"
)

const (
	// harmThreshold is the mean loss of worth at one site above which a variant does harm there.
	harmThreshold = 0.02
	// minStandardErrors is the number of standard errors that a mean difference must exceed to be
	// significant.
	minStandardErrors = 2
)

// summary summarises the pairs of a variant and the base, at one site or at all sites.
type summary struct {
	// Pairs is the number of pairs with two complete plays, and Better the number of those in which
	// the variant was worth more.
	Pairs, Better int
	// Mean is the mean difference in worth, and Spread its standard deviation over the pairs.
	Mean, Spread float64
	// Served is the mean difference in the served fraction.
	Served float64
	// Broken is the number of rules that the variant broke, and Failed the number of its plays that
	// gave no result.
	Broken, Failed int
}

// comparison is the comparison of one variant with the base.
type comparison struct {
	Variant variantName
	Sites   map[string]summary
	All     summary
}

// outcome is the conclusion of a comparison.
type outcome string

// The outcomes.
const (
	// outcomeBreaksRules marks an unacceptable variant: one of its plays broke a rule or gave no
	// result.
	outcomeBreaksRules  outcome = "breaks rules"
	outcomeHarm         outcome = "does harm"
	outcomeBetter       outcome = "better"
	outcomeNoDifference outcome = "no difference"
	outcomeNotPlayed    outcome = "not played"
)

// compare compares the plays of each variant in pairs with those of the base.
func (t *trial) compare(plays map[playKey]play) []comparison {
	var out []comparison
	for _, v := range t.candidates() {
		var all []difference
		c := comparison{Variant: v.Name, Sites: map[string]summary{}}
		for _, site := range t.siteNames() {
			found := differences(plays, t.Base, v.Name, site)
			all = append(all, found...)
			c.Sites[site] = summarise(found)
		}
		c.All = summarise(all)
		out = append(out, c)
	}
	return out
}

// difference is the pair of plays of the base and a variant on the same day.
type difference struct{ base, variant play }

// gain returns the difference in worth, positive if the variant was worth more.
func (d difference) gain() float64 { return d.variant.Worth - d.base.Worth }

func differences(plays map[playKey]play, base, v variantName, site string) []difference {
	var out []difference
	for c, p := range plays {
		if c.Variant != v || c.Pair.Site != site {
			continue
		}
		if b, ok := plays[playKey{base, c.Pair}]; ok && !b.Failed {
			out = append(out, difference{b, p})
		}
	}
	// Floating-point sums depend on the order of the terms, and map iteration has none.
	slices.SortFunc(out, func(a, b difference) int {
		return cmp.Compare(a.gain(), b.gain())
	})
	return out
}

func summarise(list []difference) summary {
	var s summary
	var squares float64
	for _, d := range list {
		s.Broken += d.variant.Broken
		if d.variant.Failed {
			s.Failed++
			continue
		}
		gain := d.gain()
		s.Pairs++
		if gain > 0 {
			s.Better++
		}
		s.Mean += gain
		s.Served += d.variant.Served - d.base.Served
		squares += gain * gain
	}
	if s.Pairs == 0 {
		return s
	}
	n := float64(s.Pairs)
	s.Mean, s.Served = s.Mean/n, s.Served/n
	if s.Pairs > 1 {
		s.Spread = math.Sqrt(max(squares-n*s.Mean*s.Mean, 0) / (n - 1))
	}
	return s
}

// significant reports whether the mean difference exceeds minStandardErrors standard errors.
func (s summary) significant() bool {
	return s.Pairs > 1 && math.Abs(s.Mean) > minStandardErrors*s.Spread/math.Sqrt(float64(s.Pairs))
}

// outcome returns the conclusion for a variant. A single compared play that broke a rule or gave no
// result makes the variant unacceptable. A variant that does harm at any site counts as harmful,
// even if its mean over all sites is better.
func (c *comparison) outcome() outcome {
	if c.All.Broken > 0 || c.All.Failed > 0 {
		return outcomeBreaksRules
	}
	if c.All.Pairs == 0 {
		return outcomeNotPlayed
	}
	for _, s := range c.Sites {
		if s.Pairs > 0 && s.Mean < -harmThreshold {
			return outcomeHarm
		}
	}
	switch {
	case !c.All.significant():
		return outcomeNoDifference
	case c.All.Mean < 0:
		return outcomeHarm
	default:
		return outcomeBetter
	}
}
