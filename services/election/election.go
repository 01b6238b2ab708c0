// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package election decides when an agent of a model group starts a candidacy to coordinate it.
//
// A candidate claims the role in the platform's log, with a record that is added only if no other
// record was added since the latest claim that the agent knows of: of several concurrent candidates
// one succeeds. The coordinator announces its lead to all agents together with a lease, the time
// for which it may be silent, which follows from how long a poll of all agents takes. An agent
// without contact for longer asks others first; it claims only if they have no contact either.
package election

import (
	"time"

	"fawnwinch.org/fawnwinch/models/group"
	"fawnwinch.org/fawnwinch/services"
)

// Authority numbers the claims to coordinate a group. It is the position at which the stream of
// claims ends after the claim, as one number. Each claim of a later era of the store has a higher
// authority than all earlier ones, also where the store has lost some and assigns their offsets
// again.
type Authority uint64

// offsetBits is the number of low bits of an authority that hold the offset.
const offsetBits = 32

// AuthorityAt returns the authority of the last claim before a position.
func AuthorityAt(end services.Position) Authority {
	return Authority(end.Era)<<offsetBits | Authority(end.Offset)&(1<<offsetBits-1)
}

// End returns the position at which the stream of claims ends after the claim.
func (a Authority) End() services.Position {
	return services.Position{Era: services.Era(a >> offsetBits), Offset: services.Offset(a & (1<<offsetBits - 1))}
}

// Lead is the announcement that a coordinator sends to the agents of its group.
type Lead struct {
	// Group is the group that is coordinated. Authorities of different groups are not comparable.
	Group     group.ID
	Authority Authority
	// Rank is the rank beside the coordinator.
	Rank int
	// Lease is how long the coordinator may be silent before another agent starts a candidacy.
	Lease time.Duration
}

const (
	// startupTimeout is how long an agent that has just started waits for contact from a
	// coordinator. An active coordinator polls it within a few rounds; after a power loss there is
	// none, and the group must have one within a second.
	startupTimeout = 300 * time.Millisecond
	// rankStagger is the additional delay of each of the first ranks over the one before. It is
	// about the time in which a successful claim becomes known to others, so that they need not
	// ask.
	rankStagger = 150 * time.Millisecond
	// staggeredRanks is the number of ranks that are delayed by rankStagger each. Each further rank
	// is delayed by lateStagger only: when it comes to them, more ranks than the first are missing
	// or cut off from the store, and many that ask at once would cost store calls.
	staggeredRanks = 3
	lateStagger    = 30 * time.Millisecond
	// minBackoff is the back-off after a failed attempt; it doubles up to maxBackoff. Calls of an
	// unavailable store are paid for too.
	minBackoff = 250 * time.Millisecond
	maxBackoff = 2 * time.Second
)

// Candidate holds an agent's state in the election of its group's coordinator. It does no I/O and
// reads no clock.
type Candidate struct {
	// group is the group of the rank beside the agent. It is empty until the engine has reported
	// it, and no lead is accepted until then.
	group      group.ID
	rank, size int
	// lead is the received lead with the highest authority, and claimed the highest authority that
	// is known to be claimed.
	lead    Lead
	claimed Authority
	// lastContact is when lead was last received; at first the start of the agent. ended reports
	// whether lead was the agent itself and has ended.
	lastContact time.Time
	ended       bool
	// backoff is the back-off after the latest failed attempt, and backoffUntil its end.
	backoff      time.Duration
	backoffUntil time.Time
}

// New returns the candidate of an agent that has just started.
func New(now time.Time) *Candidate { return &Candidate{lastContact: now} }

// SetRank records which rank of which group is beside the agent, and the size of that group. An
// agent without contact waits from the time at which its group has formed: otherwise all of its
// ranks would start a candidacy at once. State of another group is discarded, except for the
// back-off after failures, since the store calls are paid for all the same.
func (c *Candidate) SetRank(now time.Time, g group.ID, rank, size int) {
	switch {
	case g != c.group:
		*c = Candidate{group: g, lastContact: now, backoff: c.backoff, backoffUntil: c.backoffUntil}
	case c.size == 0 && c.lead.Authority == 0:
		c.lastContact = now
	}
	c.rank, c.size = rank, size
}

// Group returns the group of the rank beside the agent; empty if it is not known yet.
func (c *Candidate) Group() group.ID { return c.group }

// Rank returns the rank beside the agent; 0 if it is not known yet.
func (c *Candidate) Rank() int { return c.rank }

// Receive processes a lead that a coordinator sent at a time, and reports whether that coordinator
// leads the agent's group: it is of that group, and no higher authority was received. A lead
// relayed by another agent has the time at which that agent received it: agents that kept relaying
// the lead of a stopped coordinator to each other would never start a candidacy.
func (c *Candidate) Receive(at time.Time, l Lead) bool {
	switch {
	case c.group == "" || l.Group != c.group || l.Authority < c.lead.Authority:
		return false
	case l.Authority > c.lead.Authority:
		c.lead, c.lastContact, c.ended = l, at, false
		c.claimed = max(c.claimed, l.Authority)
	case c.ended:
		return false
	case at.After(c.lastContact):
		c.lead, c.lastContact = l, at
	}
	c.backoff = 0
	return true
}

// CurrentLead returns the lead of the coordinator if it was received within its lease, and its age.
func (c *Candidate) CurrentLead(now time.Time) (l Lead, age time.Duration, ok bool) {
	age = now.Sub(c.lastContact)
	return c.lead, age, c.lead.Authority > 0 && !c.ended && age <= c.lead.Lease
}

// Highest returns the highest authority that was received.
func (c *Candidate) Highest() Authority { return c.lead.Authority }

// Claimed returns the highest authority that is known to be claimed: the next claim must follow it.
func (c *Candidate) Claimed() Authority { return c.claimed }

// SetClaimed records the authority that was claimed last, as reported by the store when it rejects
// a claim.
func (c *Candidate) SetClaimed(a Authority) { c.claimed = a }

// Due reports whether the agent should start a candidacy: the coordinator was silent for long
// enough, and the agent's stagger delay has passed.
func (c *Candidate) Due(now time.Time) bool {
	if c.size == 0 || now.Before(c.backoffUntil) {
		return false
	}
	silence := startupTimeout
	if c.lead.Authority > 0 {
		silence = c.lead.Lease
	}
	return now.Sub(c.lastContact) > silence+c.staggerDelay()
}

// staggerDelay returns how much longer the agent waits than the first rank. The ranks that follow
// that of the latest coordinator are first.
func (c *Candidate) staggerDelay() time.Duration {
	position := c.rank
	if c.lead.Authority > 0 {
		position = (c.rank - c.lead.Rank - 1 + c.size) % c.size
	}
	if position < staggeredRanks {
		return time.Duration(position) * rankStagger
	}
	return staggeredRanks*rankStagger + time.Duration(position-staggeredRanks)*lateStagger
}

// Failed records a candidacy that has not led to a coordinator. Each costs calls of the store.
func (c *Candidate) Failed(now time.Time) {
	c.backoff = min(max(2*c.backoff, minBackoff), maxBackoff)
	c.backoffUntil = now.Add(c.backoff)
}

// Defer delays the candidacy because another agent is about to take over as coordinator.
func (c *Candidate) Defer(now time.Time) { c.backoffUntil = now.Add(rankStagger) }

// Ended records that the agent no longer coordinates with an authority: if there is no other
// coordinator yet, other agents start a candidacy first.
func (c *Candidate) Ended(now time.Time, a Authority) {
	if c.lead.Authority == a {
		c.lastContact, c.ended = now, true
	}
}

const (
	// leaseRounds is the number of poll rounds of all ranks that a coordinator may miss, and
	// minLease and maxLease bound its lease: a small group has a new coordinator within a second
	// after the old one dies, and a slow coordinator serves the group better than several that
	// depose each other.
	leaseRounds = 6
	minLease    = 700 * time.Millisecond
	maxLease    = 3 * time.Second
	// initialLease is the lease of a coordinator that has not completed a poll round yet.
	initialLease = time.Second
)

// Lease returns how long a coordinator may be silent whose poll rounds of all ranks take the given
// time; 0 stands for no round yet.
func Lease(round time.Duration) time.Duration {
	if round == 0 {
		return initialLease
	}
	return min(max(leaseRounds*round, minLease), maxLease)
}
