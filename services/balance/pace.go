// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package balance decides in a router which upstream gets a request, when it is sent, and which
// requests are rejected because no upstream could answer in time.
package balance

import (
	"math"
	"time"

	"fawnwinch.org/fawnwinch/models/catalog"
	"fawnwinch.org/fawnwinch/models/urgency"
)

// PassLoad is the load of a group's next pass.
type PassLoad struct {
	// Mean and Max are the streams that a rank writes: on average, and at the fullest rank.
	Mean, Max float64
	// Context is the context length of a stream in tokens.
	Context float64
	// Reading is the number of prompt tokens that the busiest rank reads in the pass.
	Reading float64
	// Copying reports whether ranks load experts during the pass.
	Copying bool
	// Skew is the ratio of the heaviest rank's load to the mean in a layer; 1 is even.
	Skew float64
	// Pace is the slowest rank's step time relative to the normal one; 0 and 1 are normal.
	Pace float64
}

// CopySlowdown is the factor by which a pass takes longer while experts are loaded. The figure
// comes from the operators.
const CopySlowdown = 1.15

// Pass returns the duration of a pass. All ranks step together: in every layer each waits for the
// rank with the most expert work. Checked against reports in docs/design/pace.md.
func Pass(e *catalog.Engine, l PassLoad) time.Duration {
	writer := e.WriterMillis + e.ContextMillis*l.Context/1000
	pace := max(l.Pace, 1)
	token := writer * ((1-e.ExpertShare)*l.Max*pace + e.ExpertShare*l.Mean*l.Skew)
	read := 0.0
	if e.ReadPerSecond > 0 {
		maxReading := float64(e.Chunk * e.Stride)
		read = min(l.Reading, maxReading) / e.ReadPerSecond * 1000 * ((1 - e.ExpertShare) + e.ExpertShare*l.Skew/2)
	}
	ms := float64(e.Stride)*(e.StepMillis*pace+token) + read
	if l.Copying {
		ms *= CopySlowdown
	}
	return time.Duration(ms * float64(time.Millisecond))
}

// LevelMean returns the mean number of requests per rank up to which a group accepts requests of a
// level; 0 means that only the bounds of the group apply. The least urgent level leaves enough
// capacity that passes stay within the pause goal when demand shifts, which would make the streams
// of all levels late. The skews that the levels between leave capacity for are evenly spaced.
func LevelMean(e *catalog.Engine, pace float64, pauseGoal time.Duration, level urgency.Level, levels int) float64 {
	if level <= 0 || levels < 2 || pauseGoal <= 0 {
		return 0
	}
	part := float64(level) / float64(levels-1)
	skew := minAssumedSkew + min(part, 1)*(shiftSkew-minAssumedSkew)
	at := func(n float64) time.Duration {
		return Pass(e, PassLoad{Mean: n, Max: n, Context: e.UsualPrompt, Reading: e.UsualPrompt, Skew: skew, Pace: pace, Copying: true})
	}
	perStream := at(1) - at(0)
	if perStream <= 0 {
		return 0
	}
	mean := (passFraction*float64(pauseGoal) - float64(at(0))) / float64(perStream)
	if mean < minStreams {
		return 0
	}
	return mean
}

// Limit returns the number of streams per rank with which a pass stays within a duration.
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
	// passFraction is the fraction of the pause goal that the forecast duration of a pass may use.
	passFraction = 0.92
	// readFraction is the fraction of the pause goal that a rank may spend on reading prompts, if
	// the active streams leave that much. With a larger value a newly formed group on its first map
	// starts with passes of twice the goal, and a group whose demand has shifted has a pass above
	// the goal when all waiting requests are admitted at once.
	readFraction = 0.4
	// minAssumedSkew is the smallest skew used for limits: demand may shift at any time, and the
	// map follows some passes later.
	minAssumedSkew = 1.6
	// shiftSkew is the typical skew of a map after a shift of demand, until the map follows: 2.2 to 3.1
	// were observed. Limits for a skew of 3 served the least urgent requests of a burst worse, and the
	// most urgent ones hardly better.
	shiftSkew = 2.7
	// maxOverMean is how many requests above the mean a rank may have.
	maxOverMean = 2
)

// GroupLoad is the load of a group from which its bounds are computed.
type GroupLoad struct {
	// Skew is the skew of the group, and Pace the pace of its slowest rank.
	Skew, Pace float64
	// Writers is the mean number of streams that a rank writes; 0 if unknown.
	Writers float64
}

// pass returns the duration of a pass in which the busiest rank reads the given number of prompt
// tokens.
func (l GroupLoad) pass(e *catalog.Engine, reading float64) time.Duration {
	return Pass(e, PassLoad{Mean: l.Writers, Max: l.Writers, Context: e.UsualPrompt, Reading: reading, Skew: max(l.Skew, 1), Pace: l.Pace})
}

// FirstEvent forecasts the time to the first event of a request that is sent now: it waits for the
// current pass, and the next pass reads its prompt. It is 0 if the engine's figures are missing.
func FirstEvent(e *catalog.Engine, l GroupLoad) time.Duration {
	return l.pass(e, 0) + l.pass(e, e.UsualPrompt)
}

// FirstEventOf is FirstEvent for a request with a prompt of the given size; 0 is the usual size. A
// prompt of more than a pass can read takes several passes.
func FirstEventOf(e *catalog.Engine, l GroupLoad, prompt int) time.Duration {
	if prompt <= 0 {
		return FirstEvent(e, l)
	}
	total, left, perPass := l.pass(e, 0), float64(prompt), float64(e.Chunk*e.Stride)
	if whole := math.Ceil(left/max(perPass, 1)) - 1; perPass > 0 && whole > 0 {
		total += time.Duration(whole * float64(l.pass(e, perPass)))
		left -= whole * perPass
	}
	return total + l.pass(e, left)
}

// InitialMapSkew is the skew assumed while none is known. A newly formed group is on its first map,
// on which skews of 2.2 to 3.6 were observed; a shift of demand causes about the same.
const InitialMapSkew = 3.0

// GroupBounds returns how many requests the ranks of a group may have so that passes meet the pause
// goal; a goal of 0 means none. If fewer than minStreams streams per rank meet the goal, the bounds
// are those without a goal. If Slots-1 or more meet it, only Unstarted differs from them.
func GroupBounds(e *catalog.Engine, l GroupLoad, pauseGoal time.Duration) Bounds {
	// One request more than there are slots may wait at a rank for the next free slot.
	all := Bounds{Rank: e.Slots + 1, Mean: e.Slots + 1}
	if pauseGoal <= 0 {
		return all
	}
	within := time.Duration(passFraction * float64(pauseGoal))
	mean := Limit(e, max(l.Skew, minAssumedSkew), l.Pace, within)
	if mean < minStreams {
		return all
	}
	all.Unstarted = promptsAtOnce(e, l, readTime(e, l, pauseGoal))
	if mean >= e.Slots-1 {
		return all
	}
	return Bounds{Rank: min(mean+maxOverMean, e.Slots), Mean: mean, Unstarted: all.Unstarted}
}

// DrainRate returns the streams per second that a rank completes with as many streams as its bounds
// allow, which is the drain rate of a queue. It is 0 if the engine's figures are missing.
func DrainRate(e *catalog.Engine, l GroupLoad, b Bounds) float64 {
	return DrainRateOf(e, l, b, e.UsualAnswer)
}

// DrainRateOf is DrainRate for answers of the given mean length.
func DrainRateOf(e *catalog.Engine, l GroupLoad, b Bounds, meanAnswer float64) float64 {
	if meanAnswer <= 0 || e.Stride <= 0 {
		return 0
	}
	n := float64(min(b.Mean, e.Slots))
	pass := Pass(e, PassLoad{Mean: n, Max: n, Context: e.UsualPrompt, Skew: max(l.Skew, 1), Pace: l.Pace})
	return n / (meanAnswer / float64(e.Stride) * pass.Seconds())
}

// promptsAtOnce returns how many prompts of usual length a rank reads within a duration, at least
// one.
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

// minStreams is the smallest number of streams per rank for which the pause goal is enforced. If
// only fewer streams meet the goal, ranks may fill all their slots.
const minStreams = 3
