// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package balance decides at a router which upstream takes a request, when, and which requests are
// refused because no upstream could answer in time.
package balance

import (
	"time"

	"fawnwinch.org/fawnwinch/models/catalog"
)

// PassLoad is the load of a group's next pass.
type PassLoad struct {
	// Mean and Max are the streams written by a rank: on average, and at the fullest rank.
	Mean, Max float64
	// Context is the number of tokens of context of a stream.
	Context float64
	// Reading is the number of prompt tokens that the busiest rank reads in the pass.
	Reading float64
	// Copying says that ranks load experts meanwhile.
	Copying bool
	// Skew is the load of the heaviest rank of a layer against the mean; 1 is even.
	Skew float64
	// Pace is how many times longer than usual the slowest rank takes; 0 and 1 are usual.
	Pace float64
}

// CopySlowdown is how much longer a pass takes while experts are loaded; the operators' figure.
const CopySlowdown = 1.15

// Pass returns the time of a pass. All ranks step together: each waits in every layer for the rank
// whose experts have most to do. Checked against reports in docs/design/pace.md.
func Pass(e *catalog.Engine, l PassLoad) time.Duration {
	writer := e.WriterMillis + e.ContextMillis*l.Context/1000
	pace := max(l.Pace, 1)
	token := writer * ((1-e.ExpertShare)*l.Max*pace + e.ExpertShare*l.Mean*l.Skew)
	read := 0.0
	if e.ReadPerSecond > 0 {
		most := float64(e.Chunk * e.Stride)
		read = min(l.Reading, most) / e.ReadPerSecond * 1000 * ((1 - e.ExpertShare) + e.ExpertShare*l.Skew/2)
	}
	ms := float64(e.Stride)*(e.StepMillis*pace+token) + read
	if l.Copying {
		ms *= CopySlowdown
	}
	return time.Duration(ms * float64(time.Millisecond))
}

// Limit returns the number of streams that a rank may have so that a pass stays within a time.
func Limit(e *catalog.Engine, skew, pace float64, within time.Duration) int {
	n := 0
	for n < e.Slots {
		w := float64(n + 1)
		if Pass(e, PassLoad{Mean: w, Max: w, Context: e.UsualPrompt, Reading: e.UsualPrompt, Skew: skew, Pace: pace, Copying: true}) > within {
			break
		}
		n++
	}
	return n
}

const (
	// passPart is the part of the pause goal that a pass may take by forecast.
	passPart = 0.92
	// readPart is the part of the pause goal in which a rank may have prompts to read, if the streams that are written
	// leave so much of it. With more of them a group that has just formed, on its first map, begins with passes of twice
	// the goal, and one whose demand has shifted has a pass beyond the goal when all that have waited are let in at once.
	readPart = 0.4
	// guardSkew is the skew that is reckoned with at least: demand may shift in any second, and the map
	// follows some passes later.
	guardSkew = 1.6
	// unevenness is how many more requests than the mean a rank may have.
	unevenness = 2
)

// GroupLoad is the load of a group by which its bounds are set.
type GroupLoad struct {
	// Skew and Pace are those of the group and of its slowest rank.
	Skew, Pace float64
	// Writers is the number of streams that a rank writes on average; 0 if that is not known.
	Writers float64
}

// pass returns the time of a pass in which the busiest rank reads prompts of a number of tokens.
func (l GroupLoad) pass(e *catalog.Engine, reading float64) time.Duration {
	return Pass(e, PassLoad{Mean: l.Writers, Max: l.Writers, Context: e.UsualPrompt, Reading: reading, Skew: max(l.Skew, 1), Pace: l.Pace})
}

// FirstEvent forecasts how long a request that is sent now takes to its first event: it waits for the pass under way, and the next
// one reads its prompt. It is 0 if the engine's figures do not tell.
func FirstEvent(e *catalog.Engine, l GroupLoad) time.Duration {
	return l.pass(e, 0) + l.pass(e, e.UsualPrompt)
}

// FirstSkew is the skew that is reckoned with while none is known: a group that has just formed is on its first map, on which 2.2 to
// 3.6 were seen, and a shift of demand makes about as much.
const FirstSkew = 3.0

// GroupBounds returns how many requests the ranks of a group may have so that a pass keeps the pause goal,
// which is 0 if there is none. Where it is not kept even with a few streams, ranks may fill all their slots.
func GroupBounds(e *catalog.Engine, l GroupLoad, goal time.Duration) Bounds {
	// One request more than there are slots may wait at a rank for the next that is free.
	all := Bounds{Rank: e.Slots + 1, Mean: e.Slots + 1}
	if goal <= 0 {
		return all
	}
	within := time.Duration(passPart * float64(goal))
	mean := Limit(e, max(l.Skew, guardSkew), l.Pace, within)
	if mean < fewStreams {
		return all
	}
	all.Unstarted = promptsAtOnce(e, l, min(time.Duration(readPart*float64(goal)), within-l.pass(e, 0)))
	if mean >= e.Slots-1 {
		return all
	}
	return Bounds{Rank: min(mean+unevenness, e.Slots), Mean: mean, Unstarted: all.Unstarted}
}

// Drain returns the streams a second that a rank ends when it has as many as its bounds allow: what a queue before it may
// expect. It is 0 if the engine's figures do not tell.
func Drain(e *catalog.Engine, l GroupLoad, b Bounds) float64 {
	if e.UsualAnswer <= 0 || e.Stride <= 0 {
		return 0
	}
	n := float64(min(b.Mean, e.Slots))
	pass := Pass(e, PassLoad{Mean: n, Max: n, Context: e.UsualPrompt, Skew: max(l.Skew, 1), Pace: l.Pace})
	return n / (e.UsualAnswer / float64(e.Stride) * pass.Seconds())
}

// promptsAtOnce returns how many usual prompts a rank reads within a time, one at least.
func promptsAtOnce(e *catalog.Engine, l GroupLoad, within time.Duration) int {
	none := PassLoad{Skew: max(l.Skew, 1)}
	one := none
	one.Reading = e.UsualPrompt
	each := Pass(e, one) - Pass(e, none)
	if each <= 0 {
		return 0
	}
	return max(1, int(within/each))
}

// fewStreams is the least number of streams of a rank for which the goal is kept.
const fewStreams = 3
