// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package rank

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"fawnwinch.org/fawnwinch/models/group"
	"fawnwinch.org/fawnwinch/modules/clock"
	"fawnwinch.org/fawnwinch/modules/sleep"
	"fawnwinch.org/fawnwinch/services/election"
	"fawnwinch.org/fawnwinch/services/peer"

	"github.com/rotisserie/eris"
)

const (
	// electTick is the time between two looks at whether there is a coordinator.
	electTick = 50 * time.Millisecond
	// unknownAfter is how long an agent that has started waits to be asked before it registers: one that was registered
	// before is known, and each registration is paid for.
	unknownAfter = 1500 * time.Millisecond
	// askedFirst is the number of other agents that are asked whether somebody leads, before a claim.
	askedFirst = 3
)

// LeadAsk asks an agent whether somebody leads its group.
type LeadAsk struct{ Group group.ID }

// LeadReply is the answer.
type LeadReply struct {
	// Foreign says that the rank belongs to another group; the rest is empty.
	Foreign bool
	// Led says that the agent hears a coordinator, or is one, Lead which, and Age how long ago it was heard.
	Led  bool
	Lead election.Lead
	Age  time.Duration
	// Claiming says that the agent waits for the answer to its own claim.
	Claiming bool
}

// Leads tells whether somebody leads the group of the rank.
func (p *API) Leads(ask LeadAsk, r *LeadReply) error {
	own := p.a.groupFor(clock.Now(), ask.Group)
	p.a.mu.Lock()
	defer p.a.mu.Unlock()
	if r.Foreign = own != "" && own != ask.Group; r.Foreign {
		return nil
	}
	r.Lead, r.Age, r.Led = p.a.candidate.CurrentLead(clock.Now())
	r.Claiming = p.a.claiming
	return nil
}

// Run looks for a coordinator until ctx ends, and is one when there is none.
func (a *Agent) Run(ctx context.Context) {
	started := clock.Now()
	registered := false
	for ; ctx.Err() == nil; sleep.For(ctx, electTick) {
		now := clock.Now()
		a.noteLeadership(now)
		if a.groupOf() == "" {
			// Also after the engine has started anew and told no group for a moment: nobody would stand up for the group any more.
			a.place()
		}
		if !registered && (a.opts.Bootstrap || now.Sub(started) > unknownAfter) {
			registered = a.wasAsked() || a.registers(ctx)
		}
		if a.due(now) {
			a.stand(ctx)
		}
	}
}

// place learns from the engine which rank of which group it is.
func (a *Agent) place() {
	var r Reply
	if err := a.status(Ask{}, &r); err != nil {
		a.opts.Logger.Debug().Err(err).Msg("engine-unreachable")
	}
}

// wasAsked reports whether a coordinator has found this process.
func (a *Agent) wasAsked() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.asked
}

func (a *Agent) due(now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.candidate.Due(now)
}

// registers is register for a process that tries until it is registered.
func (a *Agent) registers(ctx context.Context) bool {
	err := a.register(ctx)
	if err != nil {
		a.opts.Logger.Warn().Err(err).Msg("registration-failed")
		sleep.For(ctx, claimPause)
	}
	return err == nil
}

// register registers this process, so that a coordinator finds it.
func (a *Agent) register(ctx context.Context) error {
	cctx, cancel := context.WithTimeout(ctx, claimTime)
	defer cancel()
	if err := a.opts.Store.PutNodes(cctx, []peer.Info{a.opts.Self}); err != nil {
		return fmt.Errorf("register: %w", err)
	}
	// Others that were missing too are about to register.
	a.around.listed, a.around.at = true, time.Time{}
	return nil
}

// stand claims the authority to coordinate, unless other agents hear somebody who does, and coordinates until it is lost.
func (a *Agent) stand(ctx context.Context) {
	var r Reply
	before := a.groupOf()
	if err := a.status(Ask{}, &r); err != nil {
		a.failed(TryNoEngine, err)
		return
	}
	if r.Status.Group != before {
		a.tried(TryOtherGroup) // its coordinator may be about to ask
		return
	}
	s, err := a.surroundings(ctx)
	if err != nil {
		a.failed(TryNodesUnread, err)
		return
	}
	if !s.listed {
		// A coordinator that does not know this process never asks it, however long others hear that coordinator.
		if err := a.register(ctx); err != nil {
			a.failed(TryUnregistered, err)
			return
		}
	}
	led, reached := a.othersLed(ctx, s.agents, r.Status.Group)
	switch {
	case led:
		a.tried(TryOthersLed)
		return
	case !reached && r.Status.Size > 1:
		// Who is cut off from the other agents cannot lead them, but its claim would depose whoever does.
		a.failed(TryNoAgent, errNoAgent)
		return
	}
	authority, err := a.claim(ctx, s.agents, r.Status.Group)
	if err != nil {
		a.failed(TryClaimFailed, err)
		return
	}
	lead := election.Lead{Group: r.Status.Group, Authority: authority, Rank: int(r.Status.Rank), Lease: election.Lease(0)}
	switch {
	case authority == 0:
		a.tried(TryClaimerLeads)
		return
	case !a.hear(clock.Now(), lead):
		a.tried(TryOutranked)
		return
	}
	c := newCoordinator(a, lead, r.Status)
	c.found.Store(&s)
	a.lead(c)
	defer a.ended(authority)
	a.noteLeadership(clock.Now())
	a.opts.Logger.Info().Uint64("authority", uint64(authority)).Str("group", string(lead.Group)).Int("rank", lead.Rank).Int("others", len(s.agents)).Msg("coordinator-begins")
	why := c.run(ctx)
	a.opts.Logger.Info().Uint64("authority", uint64(authority)).Str("group", string(lead.Group)).Str("reason", why).Msg("coordinator-ends")
}

// lead notes what this agent coordinates.
func (a *Agent) lead(c *coordinator) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.leading = c
}

// ended notes that this agent coordinates no longer.
func (a *Agent) ended(au election.Authority) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.leading = nil
	a.candidate.Ended(clock.Now(), au)
}

func (a *Agent) failed(end TryEnd, err error) {
	a.opts.Logger.Warn().Err(err).Msg(string(end))
	a.tried(end)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.candidate.Failed(clock.Now())
}

// wait gives an agent that is claiming the time to begin.
func (a *Agent) wait() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.candidate.Defer(clock.Now())
}

// surroundings returns which processes there are, as it was read lately.
func (a *Agent) surroundings(ctx context.Context) (surroundings, error) {
	if clock.Since(a.around.at) < claimPause {
		return a.around, nil
	}
	cctx, cancel := context.WithTimeout(ctx, claimTime)
	defer cancel()
	err := a.around.readNodes(cctx, clock.Now(), a.opts)
	return a.around, err
}

// errNoAgent reports that no other agent of the group has answered.
var errNoAgent = eris.New("no other agent answers")

// othersLed asks other agents of the group, chosen by chance, whether they hear a coordinator, and takes in what they say. It
// reports also whether any has answered. Agents of other groups do not count; which these are shows only when they answer.
func (a *Agent) othersLed(ctx context.Context, agents []peer.Info, g group.ID) (led, reached bool) {
	order := rand.Perm(len(agents)) //nolint:gosec // no secret
	for own := 0; own < askedFirst && len(order) > 0; {
		n := min(askedFirst, len(order))
		for _, r := range a.askLeads(ctx, agents, order[:n], g) {
			if r != nil && r.Foreign {
				continue
			}
			own++
			reached = reached || r != nil
			led = r != nil && a.follows(*r) || led
		}
		order = order[n:]
	}
	return led, reached
}

// askLeads asks agents, given by their places, whether somebody leads. The answer of one that is silent is nil.
func (a *Agent) askLeads(ctx context.Context, agents []peer.Info, places []int, g group.ID) []*LeadReply {
	var w sync.WaitGroup
	replies := make([]*LeadReply, len(places))
	for i, at := range places {
		w.Go(func() {
			if r, err := a.askLead(ctx, agents[at].Address, g, peerTime); err == nil {
				replies[i] = &r
			}
		})
	}
	w.Wait()
	return replies
}

// askLead asks an agent whether somebody leads.
func (a *Agent) askLead(ctx context.Context, address string, g group.ID, within time.Duration) (LeadReply, error) {
	cctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	var r LeadReply
	err := a.opts.Pool.Call(cctx, address, "Rank.Leads", LeadAsk{Group: g}, &r)
	return r, err
}

// follows takes in what another agent says, and reports whether somebody leads.
func (a *Agent) follows(r LeadReply) bool {
	if !r.Led {
		return false
	}
	return a.hear(clock.Now().Add(-r.Age), r.Lead) && a.led()
}
