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
	// leaderlessAfter is how long nobody is heard before an agent logs it: a coordinator that has died is replaced within a second
	// and a half (TestOneLeader).
	leaderlessAfter = 2 * time.Second
	// leaderlessEvery is the time between two such lines while that lasts.
	leaderlessEvery = 10 * time.Second
)

// Leadership is what an agent knows of who coordinates the group of the rank beside it.
type Leadership struct {
	// Group is empty until the engine has told it.
	Group group.ID
	Rank  group.Rank
	// Led says that a coordinator was heard within its lease.
	Led bool
	// Authority is the highest that was heard, and Claimed the highest that is known to be claimed; 0 for none.
	Authority, Claimed election.Authority
	// Silence is how long ago the coordinator was heard, or the group was learned if none was.
	Silence time.Duration
	// Tries counts the tries to stand up since a coordinator was heard, and LastTry tells how the latest ended.
	Tries   int
	LastTry TryEnd
}

// TryEnd tells how a try to stand up has ended.
type TryEnd string

// The ends of a try to stand up that do not lead to a coordinator beside this rank.
const (
	// TryNoEngine ends a try because the engine does not answer.
	TryNoEngine TryEnd = "engine-unreachable"
	// TryOtherGroup ends a try because the engine has told another group than before.
	TryOtherGroup TryEnd = "group-formed-anew"
	// TryNodesUnread ends a try because the list of processes could not be read.
	TryNodesUnread TryEnd = "nodes-unread"
	// TryOthersLed ends a try because another agent hears a coordinator.
	TryOthersLed TryEnd = "others-led"
	// TryNoAgent ends a try because no other agent of the group has answered.
	TryNoAgent TryEnd = "agents-unreached"
	// TryUnregistered ends a try because the process could not be registered.
	TryUnregistered TryEnd = "registration-failed"
	// TryClaimFailed ends a try because the store did not take the claim.
	TryClaimFailed TryEnd = "claim-failed"
	// TryClaimerLeads ends a try because an agent that has claimed before leads, or is about to.
	TryClaimerLeads TryEnd = "claimer-leads"
	// TryOutranked ends a try because a higher authority than the one claimed was heard.
	TryOutranked TryEnd = "claim-outranked"
)

// Leadership returns what the agent knows of who coordinates its group.
func (a *Agent) Leadership(now time.Time) Leadership {
	a.mu.Lock()
	defer a.mu.Unlock()
	lead, silence, led := a.candidate.CurrentLead(now)
	return Leadership{
		Group: a.candidate.Group(), Rank: group.Rank(a.candidate.Rank()), Led: led, Authority: lead.Authority, Claimed: a.candidate.Claimed(),
		Silence: silence, Tries: a.tries, LastTry: a.lastTry,
	}
}

// tried notes how a try to stand up has ended.
func (a *Agent) tried(end TryEnd) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.tries++
	a.lastTry = end
}

// leaderlessNotes decides when an agent logs that nobody leads its group. Such a group keeps its map, and routers guess its load: without
// a line of its own that shows as late answers only. It does no I/O and reads no clock.
type leaderlessNotes struct {
	// since is when the group was last led, while it is noted that it is not, and noted when that was last logged.
	since, noted time.Time
}

// leaderlessNote is what is to be logged.
type leaderlessNote string

// The notes on who leads a group.
const (
	noteNothing    leaderlessNote = ""
	noteLeaderless leaderlessNote = "group-leaderless"
	noteLedAgain   leaderlessNote = "group-led-again"
)

// next returns what is to be logged now, and since when the group has not been led.
func (u *leaderlessNotes) next(now time.Time, l Leadership) (leaderlessNote, time.Time) {
	switch since := u.since; {
	case l.Led && since.IsZero():
		return noteNothing, since
	case l.Led:
		*u = leaderlessNotes{}
		return noteLedAgain, since
	case l.Silence < leaderlessAfter || !since.IsZero() && now.Sub(u.noted) < leaderlessEvery:
		return noteNothing, since
	case since.IsZero():
		u.since = now.Add(-l.Silence)
	}
	u.noted = now
	return noteLeaderless, u.since
}

// noteLeadership logs that nobody leads the group, from time to time, and that somebody does again.
func (a *Agent) noteLeadership(now time.Time) {
	l := a.Leadership(now)
	note, since := a.leaderless.next(now, l)
	var line *zerolog.Event
	switch note {
	case noteLeaderless:
		line = a.opts.Logger.Warn().Int("tries", l.Tries).Str("last_try", string(l.LastTry)).Uint64("claimed", uint64(l.Claimed))
	case noteLedAgain:
		line = a.opts.Logger.Info()
	case noteNothing:
		return
	}
	line.Str("group", string(l.Group)).Int("rank", int(l.Rank)).Uint64("authority", uint64(l.Authority)).
		Int64("leaderless_ms", now.Sub(since).Milliseconds()).Msg(string(note))
}
