// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package rank

import (
	"time"

	"fawnwinch.org/fawnwinch/models/group"
	"fawnwinch.org/fawnwinch/services/election"

	"github.com/rs/zerolog"
)

const (
	// leaderlessAfter is how long an agent has no contact with a coordinator before it logs that: a
	// coordinator that has died is replaced within a second and a half (TestOneLeader).
	leaderlessAfter = 2 * time.Second
	// leaderlessInterval is the time between two such lines while that lasts.
	leaderlessInterval = 10 * time.Second
)

// Leadership is an agent's record of the coordinator of its rank's group.
type Leadership struct {
	// Group is empty until the engine has reported it.
	Group group.ID
	Rank  group.Rank
	// Led reports whether contact with a coordinator was within its lease.
	Led bool
	// Authority is the highest that was received, and Claimed the highest that is known to be
	// claimed; 0 for none.
	Authority, Claimed election.Authority
	// Silence is the time since the last contact with the coordinator, or since the group became
	// known if there was none.
	Silence time.Duration
	// Tries counts the candidacies since the last contact with a coordinator, and LastTry is how
	// the latest ended.
	Tries   int
	LastTry TryEnd
}

// TryEnd is how a candidacy has ended.
type TryEnd string

// The ends of a candidacy that do not make the agent coordinator.
const (
	// TryNoEngine means that the engine did not answer.
	TryNoEngine TryEnd = "engine-unreachable"
	// TryOtherGroup means that the engine reported another group than before.
	TryOtherGroup TryEnd = "group-formed-anew"
	// TryNodesUnread means that the list of processes could not be read.
	TryNodesUnread TryEnd = "nodes-unread"
	// TryOthersLed means that another agent has contact with a coordinator.
	TryOthersLed TryEnd = "others-led"
	// TryNoAgent means that no other agent of the group answered.
	TryNoAgent TryEnd = "agents-unreached"
	// TryUnregistered means that the process could not be registered.
	TryUnregistered TryEnd = "registration-failed"
	// TryClaimFailed means that the store did not accept the claim.
	TryClaimFailed TryEnd = "claim-failed"
	// TryClaimerLeads means that an agent that has claimed before leads, or is about to.
	TryClaimerLeads TryEnd = "claimer-leads"
	// TryOutranked means that a higher authority than the one claimed was received.
	TryOutranked TryEnd = "claim-outranked"
)

// Leadership returns the agent's record of the coordinator of its group.
func (a *Agent) Leadership(now time.Time) Leadership {
	a.mu.Lock()
	defer a.mu.Unlock()
	lead, silence, led := a.candidate.CurrentLead(now)
	return Leadership{
		Group: a.candidate.Group(), Rank: group.Rank(a.candidate.Rank()), Led: led, Authority: lead.Authority, Claimed: a.candidate.Claimed(),
		Silence: silence, Tries: a.tries, LastTry: a.lastTry,
	}
}

// recordTry records how a candidacy has ended.
func (a *Agent) recordTry(end TryEnd) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.tries++
	a.lastTry = end
}

// leaderlessLog decides when an agent logs that its group has no coordinator. Such a group keeps
// its map, and routers estimate its load: without a log line of its own, only late answers would
// show it. It does no I/O and reads no clock.
type leaderlessLog struct {
	// since is when the group last had a coordinator, while its absence is logged, and logged when
	// that was last logged.
	since, logged time.Time
}

// leaderlessEvent is the event that is to be logged.
type leaderlessEvent string

// The events about the coordinator of a group.
const (
	logNothing    leaderlessEvent = ""
	logLeaderless leaderlessEvent = "group-leaderless"
	logLedAgain   leaderlessEvent = "group-led-again"
)

// next returns the event that is to be logged now, and since when the group has had no coordinator.
func (u *leaderlessLog) next(now time.Time, l Leadership) (leaderlessEvent, time.Time) {
	switch since := u.since; {
	case l.Led && since.IsZero():
		return logNothing, since
	case l.Led:
		*u = leaderlessLog{}
		return logLedAgain, since
	case l.Silence < leaderlessAfter || !since.IsZero() && now.Sub(u.logged) < leaderlessInterval:
		return logNothing, since
	case since.IsZero():
		u.since = now.Add(-l.Silence)
	}
	u.logged = now
	return logLeaderless, u.since
}

// logLeadership logs at intervals that the group has no coordinator, and once that it has one
// again.
func (a *Agent) logLeadership(now time.Time) {
	l := a.Leadership(now)
	note, since := a.leaderless.next(now, l)
	var line *zerolog.Event
	switch note {
	case logLeaderless:
		line = a.opts.Logger.Warn().Int("tries", l.Tries).Str("last_try", string(l.LastTry)).Uint64("claimed", uint64(l.Claimed))
	case logLedAgain:
		line = a.opts.Logger.Info()
	case logNothing:
		return
	}
	line.Str("group", string(l.Group)).Int("rank", int(l.Rank)).Uint64("authority", uint64(l.Authority)).
		Int64("leaderless_ms", now.Sub(since).Milliseconds()).Msg(string(note))
}
