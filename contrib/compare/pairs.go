// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package main

import (
	"cmp"
	"math"
	"slices"
)

const (
	// loss is the mean difference in worth at one site from which on a variant does harm there.
	loss = 0.02
	// sureErrors is how many standard errors a mean difference must exceed 0 by to count as one.
	sureErrors = 2
)

// summary is what the pairs of a variant and the base show, at one site or at all.
type summary struct {
	// Pairs counts the pairs of which both were played to an end, and Better those in which the variant was worth more.
	Pairs, Better int
	// Mean is the mean difference in worth, and Spread its standard deviation over the pairs.
	Mean, Spread float64
	// Served is the mean difference in what was served.
	Served float64
	// Broken counts rules that the variant broke, and Failed the plays of it that came to no figure.
	Broken, Failed int
}

// comparison is one variant against the base.
type comparison struct {
	Variant variantName
	Sites   map[string]summary
	All     summary
}

// outcome tells what a comparison amounts to.
type outcome string

// The outcomes.
const (
	outcomeBroken  outcome = "breaks rules"
	outcomeHarm    outcome = "does harm"
	outcomeBetter  outcome = "better"
	outcomeNothing outcome = "no difference"
	outcomeUnknown outcome = "not played"
)

// compare pairs the plays of each variant with those of the base.
func (t *trial) compare(plays map[cell]play) []comparison {
	var out []comparison
	for _, v := range t.others() {
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

// difference is a pair of plays.
type difference struct{ base, variant play }

// gain returns how much more the variant was worth.
func (d difference) gain() float64 { return d.variant.Worth - d.base.Worth }

func differences(plays map[cell]play, base, v variantName, site string) []difference {
	var out []difference
	for c, p := range plays {
		if c.Variant != v || c.Pair.Site != site {
			continue
		}
		if b, ok := plays[cell{base, c.Pair}]; ok && !b.Failed {
			out = append(out, difference{b, p})
		}
	}
	// Sums of floats depend on their order, and maps have none.
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

// sure reports whether a mean difference is more than the spread of the pairs explains.
func (s summary) sure() bool {
	return s.Pairs > 1 && math.Abs(s.Mean) > sureErrors*s.Spread/math.Sqrt(float64(s.Pairs))
}

// outcome judges a variant: one that gains in the mean but does harm at a site is no gain.
func (c *comparison) outcome() outcome {
	if c.All.Broken > 0 || c.All.Failed > 0 {
		return outcomeBroken
	}
	if c.All.Pairs == 0 {
		return outcomeUnknown
	}
	for _, s := range c.Sites {
		if s.Pairs > 0 && s.Mean < -loss {
			return outcomeHarm
		}
	}
	switch {
	case !c.All.sure():
		return outcomeNothing
	case c.All.Mean < 0:
		return outcomeHarm
	default:
		return outcomeBetter
	}
}
