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
	// electInterval is the time between two checks whether there is a coordinator.
	electInterval = 50 * time.Millisecond
	// registerAfter is how long an agent that has started waits for contact before it registers:
	// one that was registered before is known already, and each registration is paid for.
	registerAfter = 1500 * time.Millisecond
	// probedAgents is the number of other agents that are asked for a coordinator before a claim. More
	// are asked until one of the group answers.
	probedAgents = 3
)

// LeadAsk asks an agent whether its group has a coordinator.
type LeadAsk struct{ Group group.ID }

// LeadReply is the answer.
type LeadReply struct {
	// Foreign reports whether the rank belongs to another group; the other fields are empty then.
	Foreign bool
	// Led reports whether the agent has contact with a coordinator, or is one. Lead is its
	// announcement, and Age how long ago that was received.
	Led  bool
	Lead election.Lead
	Age  time.Duration
	// Claiming reports whether the agent waits for the answer to its own claim.
	Claiming bool
}

// Leads returns the coordinator of this agent's group, if the agent has contact with one.
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

// Run checks for a coordinator until ctx ends or the agent stops, and coordinates when there is none.
func (a *Agent) Run(ctx context.Context) {
	started := clock.Now()
	registered := false
	for ; ctx.Err() == nil && !a.isStopping(); sleep.For(ctx, electInterval) {
		now := clock.Now()
		a.logLeadership(now)
		if a.groupOf() == "" {
			// Also after the engine has restarted and reported no group for a moment: otherwise no
			// agent would start a candidacy for the group any more.
			a.readGroup()
		}
		if !registered && (a.opts.Bootstrap || now.Sub(started) > registerAfter) {
			registered = a.wasContacted() || a.tryRegister(ctx)
		}
		if a.due(now) {
			a.campaign(ctx)
		}
	}
}

// readGroup reads from the engine which rank of which group it is.
func (a *Agent) readGroup() {
	var r Reply
	if err := a.status(Ask{}, &r); err != nil {
		a.opts.Logger.Debug().Err(err).Msg("engine-unreachable")
	}
}

// wasContacted reports whether a coordinator has polled this process.
func (a *Agent) wasContacted() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.contacted
}

func (a *Agent) due(now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.candidate.Due(now)
}

// campaign claims the authority to coordinate, unless other agents have contact with a coordinator,
// and coordinates until the authority is lost.
func (a *Agent) campaign(ctx context.Context) {
	var r Reply
	before := a.groupOf()
	if err := a.status(Ask{}, &r); err != nil {
		a.failed(TryNoEngine, err)
		return
	}
	if r.Status.Group != before {
		a.recordTry(TryOtherGroup) // the coordinator of the new group may be about to poll it
		return
	}
	s, err := a.clusterView(ctx)
	if err != nil {
		a.failed(TryNodesUnread, err)
		return
	}
	if !s.listed {
		// A coordinator without a record of this process never polls it, however long others have
		// contact with that coordinator.
		if err := a.register(ctx); err != nil {
			a.failed(TryUnregistered, err)
			return
		}
	}
	p := a.probe(ctx, s.agents, r.Status.Group)
	switch {
	case p.led:
		a.recordTry(TryOthersLed)
		return
	case p.answered == 0 && r.Status.Size > 1:
		// An agent that is cut off from the others cannot lead them, but its claim would depose the
		// coordinator that does.
		a.failed(TryNoAgent, fmt.Errorf("%w: %d silent, %d of other groups", errNoAgent, p.silent, p.foreign))
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
		a.recordTry(TryClaimerLeads)
		return
	case !a.receive(clock.Now(), lead):
		a.recordTry(TryOutranked)
		return
	}
	c := newCoordinator(a, lead, r.Status)
	c.found.Store(&s)
	a.setCoordinator(c)
	defer a.ended(authority)
	a.logLeadership(clock.Now())
	a.opts.Logger.Info().Uint64("authority", uint64(authority)).Str("group", string(lead.Group)).Int("rank", lead.Rank).Int("others", len(s.agents)).Msg("coordinator-begins")
	why := c.run(ctx)
	a.opts.Logger.Info().Uint64("authority", uint64(authority)).Str("group", string(lead.Group)).Str("reason", why).Msg("coordinator-ends")
}

// setCoordinator records this agent's state as coordinator.
func (a *Agent) setCoordinator(c *coordinator) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.leading = c
}

// ended records that this agent no longer coordinates.
func (a *Agent) ended(au election.Authority) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.leading = nil
	a.candidate.Ended(clock.Now(), au)
}

func (a *Agent) failed(end TryEnd, err error) {
	a.opts.Logger.Warn().Err(err).Msg(string(end))
	a.recordTry(end)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.candidate.Failed(clock.Now())
}

// deferCampaign delays the next candidacy while another agent completes its claim.
func (a *Agent) deferCampaign() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.candidate.Defer(clock.Now())
}

// clusterView returns the recently read list of processes, or reads it again.
func (a *Agent) clusterView(ctx context.Context) (clusterView, error) {
	if clock.Since(a.lastView.at) < storeRetryInterval {
		return a.lastView, nil
	}
	cctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	err := a.lastView.readNodes(cctx, clock.Now(), a.opts)
	return a.lastView, err
}

// errNoAgent reports that no other agent of the group has answered.
var errNoAgent = eris.New("no other agent of the group answered")

// probeResult is what the agents that were asked before a claim have answered.
type probeResult struct {
	// led reports whether the group has a coordinator.
	led bool
	// answered counts the agents of the group that have answered, silent those without an answer,
	// whose group is not known, and foreign those of other groups.
	answered, silent, foreign int
}

// enough reports whether no further agents need to be asked. Silent agents alone are not enough:
// they may all be of other groups, whose agents have died.
func (p *probeResult) enough() bool { return p.answered > 0 && p.answered+p.silent >= probedAgents }

// probe asks randomly chosen other agents whether they have contact with a coordinator of the
// group, and processes their answers. Which agents are of the group is known only when they answer.
func (a *Agent) probe(ctx context.Context, agents []peer.Info, g group.ID) (p probeResult) {
	order := rand.Perm(len(agents)) //nolint:gosec // no secret
	for n := probedAgents; !p.enough() && len(order) > 0; {
		n = min(n, len(order))
		for _, r := range a.askLeads(ctx, agents, order[:n], g) {
			switch {
			case r == nil:
				p.silent++
			case r.Foreign:
				p.foreign++
			default:
				p.answered++
				p.led = a.accept(*r) || p.led
			}
		}
		order = order[n:]
		if p.silent >= probedAgents {
			n *= 2 // each round takes peerTimeout
		}
	}
	return p
}

// askLeads asks agents, given by their indexes, for their coordinator. The answer of a silent agent
// is nil.
func (a *Agent) askLeads(ctx context.Context, agents []peer.Info, indexes []int, g group.ID) []*LeadReply {
	var w sync.WaitGroup
	replies := make([]*LeadReply, len(indexes))
	for i, at := range indexes {
		w.Go(func() {
			if r, err := a.askLead(ctx, agents[at].Address, g, peerTimeout); err == nil {
				replies[i] = &r
			}
		})
	}
	w.Wait()
	return replies
}

// askLead asks an agent for its coordinator.
func (a *Agent) askLead(ctx context.Context, address string, g group.ID, limit time.Duration) (LeadReply, error) {
	cctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	var r LeadReply
	err := a.opts.Pool.Call(cctx, address, "Rank.Leads", LeadAsk{Group: g}, &r)
	return r, err
}

// accept processes another agent's answer, and reports whether the group has a coordinator.
func (a *Agent) accept(r LeadReply) bool {
	if !r.Led {
		return false
	}
	return a.receive(clock.Now().Add(-r.Age), r.Lead) && a.led()
}
