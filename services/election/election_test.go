// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package election

import (
	"testing"
	"time"
)

var begin = time.Unix(1000, 0)

// TestDue checks when an agent without contact to a coordinator starts a candidacy.
func TestDue(t *testing.T) {
	const size = 12
	slow := Lead{Group: "g", Authority: 4, Rank: 5, Lease: 2 * time.Second}
	cases := map[string]struct {
		rank  int
		lead  *Lead
		then  func(c *Candidate)
		after time.Duration
		want  bool
	}{
		"just started":                          {rank: 0, after: startupTimeout, want: false},
		"nobody asked since the start":          {rank: 0, after: startupTimeout + 1, want: true},
		"a later rank waits longer":             {rank: 2, after: startupTimeout + 2*rankStagger, want: false},
		"but not for ever":                      {rank: 2, after: startupTimeout + 2*rankStagger + 1, want: true},
		"the last waits the longest":            {rank: 11, after: startupTimeout + 3*rankStagger + 8*lateStagger, want: false},
		"but not much longer":                   {rank: 11, after: startupTimeout + 3*rankStagger + 8*lateStagger + 1, want: true},
		"a coordinator was heard":               {rank: 6, lead: &slow, after: slow.Lease, want: false},
		"it was silent for more than its lease": {rank: 6, lead: &slow, after: slow.Lease + 1, want: true},
		"the rank before it waits longer":       {rank: 4, lead: &slow, after: slow.Lease + rankStagger, want: false},
		"an older one is not heard": {rank: 6, lead: &slow, then: func(c *Candidate) {
			c.Receive(begin.Add(time.Second), Lead{Group: "g", Authority: 3, Lease: time.Hour})
		}, after: slow.Lease + 1, want: true},
		"a try has failed":                 {rank: 0, then: func(c *Candidate) { c.Failed(begin) }, after: minBackoff, want: false},
		"another agent is claiming":        {rank: 0, then: func(c *Candidate) { c.Defer(begin.Add(startupTimeout)) }, after: startupTimeout + 1, want: false},
		"it has coordinated until now":     {rank: 6, lead: &slow, then: func(c *Candidate) { c.Ended(begin.Add(time.Second), slow.Authority) }, after: slow.Lease + 1, want: false},
		"the group has formed later":       {rank: 0, then: func(c *Candidate) { c.SetRank(begin, "g", 0, 0); c.SetRank(begin.Add(time.Second), "g", 0, size) }, after: time.Second + startupTimeout, want: false},
		"its engine has not told the rank": {rank: 0, then: func(c *Candidate) { c.SetRank(begin, "g", 0, 0) }, after: time.Hour, want: false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			candidate := New(begin)
			candidate.SetRank(begin, "g", c.rank, size)
			if c.lead != nil {
				candidate.Receive(begin, *c.lead)
			}
			if c.then != nil {
				c.then(candidate)
			}
			if got := candidate.Due(begin.Add(c.after)); got != c.want {
				t.Errorf("stands up: %t, want %t", got, c.want)
			}
		})
	}
}

// TestClaimed checks which authority the next claim follows.
func TestClaimed(t *testing.T) {
	c := New(begin)
	c.SetRank(begin, "g", 0, 12)
	c.Receive(begin, Lead{Group: "g", Authority: 3, Lease: time.Second})
	c.SetClaimed(7)
	if c.Claimed() != 7 || c.Highest() != 3 {
		t.Errorf("claimed %d, received %d, want 7 and 3", c.Claimed(), c.Highest())
	}
	if lead, age, led := c.CurrentLead(begin.Add(time.Second)); !led || lead.Authority != 3 || age != time.Second {
		t.Errorf("led by %d: %t", lead.Authority, led)
	}
	if _, _, led := c.CurrentLead(begin.Add(time.Second + 1)); led {
		t.Error("led after the lease has run out")
	}
	if c.Receive(begin, Lead{Group: "g", Authority: 2}) || c.Highest() != 3 {
		t.Errorf("an older coordinator was followed, highest %d, want 3", c.Highest())
	}
	c.SetClaimed(5)
	if c.Claimed() != 5 {
		t.Errorf("claimed %d after the store has reported 5", c.Claimed())
	}
}

// TestRelayedLead checks that a lead relayed by other agents has the age that it had there, and
// that no agent follows a coordinator that has ended.
func TestRelayedLead(t *testing.T) {
	l := Lead{Group: "g", Authority: 3, Lease: time.Second}
	c := New(begin)
	c.SetRank(begin, "g", 0, 12)
	now := begin.Add(2 * time.Second)
	if !c.Receive(now.Add(-900*time.Millisecond), l) {
		t.Error("a lead relayed by another agent was ignored")
	}
	if _, age, led := c.CurrentLead(now); !led || age != 900*time.Millisecond {
		t.Errorf("led %t, last contact %s ago", led, age)
	}
	if _, _, led := c.CurrentLead(now.Add(101 * time.Millisecond)); led {
		t.Error("a relayed lead extended the lease")
	}
	c.Receive(now, l)
	c.Receive(now.Add(-time.Millisecond), l)
	if _, age, _ := c.CurrentLead(now); age != 0 {
		t.Errorf("an older lead replaced a newer one: last contact %s ago", age)
	}
	c.Ended(now, 3)
	if c.Receive(now.Add(time.Millisecond), l) {
		t.Error("the lead of a coordinator that has ended was accepted")
	}
	if _, _, led := c.CurrentLead(now); led {
		t.Error("led by a coordinator that has ended")
	}
	l.Authority = 4
	if !c.Receive(now, l) {
		t.Error("the lead of the next coordinator was ignored")
	}
	c.Ended(now, 3)
	if _, _, led := c.CurrentLead(now); !led {
		t.Error("the end of an earlier coordinator ended the next one")
	}
}

// TestForeignGroups checks that leads of another group are ignored, as are all leads before the
// agent's own group is known.
func TestForeignGroups(t *testing.T) {
	c := New(begin)
	if c.Receive(begin, Lead{Group: "a", Authority: 9}) || c.Highest() != 0 {
		t.Error("a lead was accepted before the group was known")
	}
	c.SetRank(begin, "b", 3, 12)
	if c.Receive(begin, Lead{Group: "a", Authority: 9}) || c.Highest() != 0 || c.Claimed() != 0 {
		t.Error("the lead of another group's coordinator was accepted")
	}
	if !c.Receive(begin, Lead{Group: "b", Authority: 4, Lease: time.Second}) {
		t.Error("the lead of the own coordinator was ignored")
	}
	c.Failed(begin)
	c.SetRank(begin.Add(time.Millisecond), "a", 0, 12)
	if c.Highest() != 0 || c.Claimed() != 0 {
		t.Errorf("authorities %d and %d of the former group are kept", c.Highest(), c.Claimed())
	}
	if c.Due(begin.Add(minBackoff)) || !c.Due(begin.Add(startupTimeout+2*time.Millisecond)) {
		t.Error("an agent of another group does not wait for its coordinator, or for the end of its back-off")
	}
}

// TestLease checks that a lease follows from the duration of poll rounds.
func TestLease(t *testing.T) {
	cases := map[string]struct{ round, want time.Duration }{
		"no look yet":              {0, initialLease},
		"a small group":            {70 * time.Millisecond, minLease},
		"a large group":            {200 * time.Millisecond, 1200 * time.Millisecond},
		"a coordinator that drags": {5 * time.Second, maxLease},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			if got := Lease(c.round); got != c.want {
				t.Errorf("lease %s, want %s", got, c.want)
			}
		})
	}
}
