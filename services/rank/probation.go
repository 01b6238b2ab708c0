// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package rank

import (
	"time"

	"fawnwinch.org/fawnwinch/services"
	"fawnwinch.org/fawnwinch/services/peer"
)

const (
	// slowFrom is the pace from which a rank's reports of a lower pace are not believed at once. With
	// the usual 35 ms for the steps of a pass it makes a pass longer by the 0.08 of a pause goal of
	// 120 ms that limits leave unused.
	slowFrom = 1.25
	// minProbationStep is the time in which the assumed pace falls by half of its difference to the
	// reported one. It doubles up to maxProbationStep with each time within relapseWithin that the
	// rank is slow again.
	minProbationStep = 500 * time.Millisecond
	maxProbationStep = 4 * time.Second
	relapseWithin    = 30 * time.Second
	// paceBelieved is the difference from which a reported pace is believed: at 1.02 a rank gets as
	// many streams as at 1, or one less.
	paceBelieved = 0.02
)

// paceProbation determines the pace that is assumed for a rank: at once the reported one if the
// rank turns slow, and step by step if it recovers. A rank that flaps would otherwise get its full
// share of streams in each of its good moments, and all streams of the group would wait for it in
// the next bad one. It does no I/O and reads no clock.
type paceProbation struct {
	// assumed is the assumed pace; 0 before the first report.
	assumed float64
	// slow reports whether the latest report was of a slow pace, and slowAt the time of the latest
	// such report; zero for none.
	slow   bool
	slowAt time.Time
	// recovering reports whether a slow pace is still assumed in part.
	recovering bool
	// step is the time between two steps, and steppedAt the time of the latest one or of the end of
	// the slow pace.
	step      time.Duration
	steppedAt time.Time
}

// pace returns the assumed pace; 0 before the first report.
func (p *paceProbation) pace() float64 { return p.assumed }

// report records a reported pace; 0 and 1 are normal. It reports whether the rank has turned slow
// or is no longer slow.
func (p *paceProbation) report(now time.Time, pace float64) (changed bool) {
	pace = max(pace, 1)
	was := p.slow
	if p.slow = pace >= slowFrom; p.slow {
		if !was {
			p.turnSlow(now)
		}
		p.slowAt, p.recovering = now, true
	}
	switch {
	case pace >= p.assumed || !p.recovering:
		p.assumed, p.steppedAt = pace, now
	case now.Sub(p.steppedAt) >= p.step:
		// One step for each report, however long the rank was not heard before.
		p.assumed, p.steppedAt = p.assumed-(p.assumed-pace)/2, now
		if p.assumed-pace < paceBelieved {
			p.assumed, p.recovering = pace, false
		}
	}
	return p.slow != was
}

// turnSlow chooses the time between steps when the rank turns slow.
func (p *paceProbation) turnSlow(now time.Time) {
	if p.slowAt.IsZero() || now.Sub(p.slowAt) >= relapseWithin {
		p.step = minProbationStep
		return
	}
	p.step = min(2*p.step, maxProbationStep)
}

// notePace records the pace in a rank's status, which was requested at a time. Another engine at the rank begins without a record.
func (c *coordinator) notePace(sent time.Time, m *member, n peer.Info, s services.RankStatus) {
	if m.known && (m.info.Engine != n.Engine || m.status.Born != s.Born) {
		m.probation = paceProbation{}
	}
	if m.probation.report(sent, s.Pace) {
		c.logger.Info().Str("agent", n.Name).Int("rank", int(s.Rank)).Float64("pace", s.Pace).Float64("assumed", m.probation.pace()).
			Bool("slow", m.probation.slow).Int64("step_ms", m.probation.step.Milliseconds()).Msg("rank-pace")
	}
}
