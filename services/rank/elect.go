// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package rank

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"fawnwinch.org/fawnwinch/models/group"
	"fawnwinch.org/fawnwinch/modules/sleep"
	"fawnwinch.org/fawnwinch/services"
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
	// claimerTime bounds the question to an agent that has just claimed whether it leads: it is busy asking all others then.
	claimerTime = 300 * time.Millisecond
	// maxClaims bounds the claims that are tried on end, each after another one that came first.
	maxClaims = 3
)

// LeadAsk asks an agent whether somebody leads its group.
type LeadAsk struct{ Group group.ID }

// LeadReply is the answer.
type LeadReply struct {
	// Led says that the agent hears a coordinator, or is one, and Lead which.
	Led  bool
	Lead election.Lead
	// Claiming says that the agent waits for the answer to its own claim.
	Claiming bool
}

// Leads tells whether somebody leads the group of the rank.
func (p *API) Leads(ask LeadAsk, r *LeadReply) error {
	if p.a.foreign(ask.Group) {
		return nil
	}
	p.a.mu.Lock()
	defer p.a.mu.Unlock()
	r.Lead, r.Led = p.a.candidate.Led(time.Now())
	r.Claiming = p.a.claiming
	return nil
}

// Run looks for a coordinator until ctx ends, and is one when there is none.
func (a *Agent) Run(ctx context.Context) {
	started := time.Now()
	registered, placed := false, false
	for ; ctx.Err() == nil; sleep.For(ctx, electTick) {
		now := time.Now()
		if !placed {
			placed = a.place()
		}
		if !registered && (a.opts.Bootstrap || now.Sub(started) > unknownAfter) {
			registered = a.wasAsked() || a.register(ctx)
		}
		if a.due(now) {
			a.stand(ctx)
		}
	}
}

// place learns from the engine which rank of which group it is.
func (a *Agent) place() bool {
	var r Reply
	err := a.status(Ask{}, &r)
	if err != nil {
		a.opts.Logger.Debug().Err(err).Msg("engine-unreachable")
	}
	return err == nil
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

// register registers this process, so that a coordinator finds it.
func (a *Agent) register(ctx context.Context) bool {
	cctx, cancel := context.WithTimeout(ctx, claimTime)
	defer cancel()
	if err := a.opts.Store.PutNodes(cctx, []peer.Info{a.opts.Self}); err != nil {
		a.opts.Logger.Warn().Err(err).Msg("registration-failed")
		sleep.For(ctx, claimPause)
		return false
	}
	a.around.listed = true
	return true
}

// stand claims the authority to coordinate, unless other agents hear somebody who does, and coordinates until it is lost.
func (a *Agent) stand(ctx context.Context) {
	var r Reply
	if err := a.status(Ask{}, &r); err != nil {
		a.failed("engine-unreachable", err)
		return
	}
	s, err := a.surroundings(ctx)
	if err != nil {
		a.failed("nodes-unread", err)
		return
	}
	led, reached := a.othersLed(ctx, s.agents, r.Status.Group)
	switch {
	case led:
		return
	case !reached && r.Status.Size > 1:
		// Who is cut off from the other agents cannot lead them, but its claim would depose whoever does.
		a.failed("agents-unreached", errNoAgent)
		return
	case !s.listed && !a.register(ctx):
		return
	}
	authority, err := a.claim(ctx, s.agents, r.Status.Group)
	if err != nil {
		a.failed("claim-failed", err)
		return
	}
	if authority == 0 {
		return
	}
	lead := election.Lead{Authority: authority, Rank: int(r.Status.Rank), Lease: election.Lease(0)}
	if a.hear(time.Now(), lead) != authority {
		return
	}
	c := newCoordinator(a, lead, r.Status)
	c.found.Store(&s)
	a.lead(c)
	a.opts.Logger.Info().Uint64("authority", uint64(authority)).Int("rank", lead.Rank).Int("others", len(s.agents)).Msg("coordinator-begins")
	why := c.run(ctx)
	a.lead(nil)
	a.opts.Logger.Info().Uint64("authority", uint64(authority)).Str("reason", why).Msg("coordinator-ends")
}

// lead notes what this agent coordinates, or nil when it has ended.
func (a *Agent) lead(c *coordinator) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.leading = c
	if c == nil {
		a.candidate.Ended(time.Now())
	}
}

func (a *Agent) failed(what string, err error) {
	a.opts.Logger.Warn().Err(err).Msg(what)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.candidate.Failed(time.Now())
}

// wait gives an agent that is claiming the time to begin.
func (a *Agent) wait() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.candidate.Wait(time.Now())
}

// surroundings returns which processes there are, as it was read lately.
func (a *Agent) surroundings(ctx context.Context) (surroundings, error) {
	if time.Since(a.around.at) < claimPause {
		return a.around, nil
	}
	cctx, cancel := context.WithTimeout(ctx, claimTime)
	defer cancel()
	err := a.around.readNodes(cctx, time.Now(), a.opts)
	return a.around, err
}

// errNoAgent reports that no other agent of the group has answered.
var errNoAgent = eris.New("no other agent answers")

// othersLed asks some other agents, chosen by chance, whether they hear a coordinator, and takes in what they say. It
// reports also whether any has answered.
func (a *Agent) othersLed(ctx context.Context, agents []peer.Info, g group.ID) (led, reached bool) {
	var w sync.WaitGroup
	replies := make([]LeadReply, min(askedFirst, len(agents)))
	errs := make([]error, len(replies))
	for i, at := range rand.Perm(len(agents))[:len(replies)] { //nolint:gosec // no secret
		w.Go(func() { replies[i], errs[i] = a.askLead(ctx, agents[at].Address, g, peerTime) })
	}
	w.Wait()
	for i, r := range replies {
		reached = reached || errs[i] == nil
		led = a.follows(r) || led
	}
	return led, reached
}

// askLead asks an agent whether somebody leads.
func (a *Agent) askLead(ctx context.Context, address string, g group.ID, within time.Duration) (LeadReply, error) {
	cctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	var r LeadReply
	err := a.opts.Pool.Call(cctx, address, "Rank.Leads", LeadAsk{Group: g}, &r)
	return r, err
}

// follows takes in what another agent says, and reports whether somebody leads. A coordinator that is heard by others only
// has as long again to be heard here.
func (a *Agent) follows(r LeadReply) bool {
	if !r.Led {
		return false
	}
	return a.hear(time.Now(), r.Lead) == r.Lead.Authority
}

// claim claims the next authority. It returns 0 if another agent has claimed one that it makes use of.
func (a *Agent) claim(ctx context.Context, agents []peer.Info, g group.ID) (election.Authority, error) {
	for range maxClaims {
		won, end, err := a.claimOnce(ctx, g)
		if err != nil || won {
			return end, err
		}
		if a.claimerLeads(ctx, agents, g, end) {
			return 0, nil
		}
	}
	return 0, nil
}

// claimOnce adds a claim if no other has come since the latest that is known. It returns the newest authority.
func (a *Agent) claimOnce(ctx context.Context, g group.ID) (won bool, newest election.Authority, err error) {
	cctx, cancel := context.WithTimeout(ctx, claimTime)
	defer cancel()
	a.mu.Lock()
	a.claiming = true
	after := a.candidate.Claimed()
	a.mu.Unlock()
	end, won, err := a.opts.Store.Claim(cctx, string(g), a.opts.Self.Name, services.Offset(after))
	a.mu.Lock()
	defer a.mu.Unlock()
	a.claiming = false
	if err == nil && !won {
		a.candidate.Beaten(election.Authority(end))
	}
	return won, election.Authority(end), err
}

// claimerLeads reports whether the agent that has claimed an authority makes use of it, or may.
func (a *Agent) claimerLeads(ctx context.Context, agents []peer.Info, g group.ID, claimed election.Authority) bool {
	cctx, cancel := context.WithTimeout(ctx, claimTime)
	defer cancel()
	name, err := a.opts.Store.Claimer(cctx, string(g), services.Offset(claimed))
	if err != nil {
		a.failed("claimer-unread", err)
		return true
	}
	leads := false
	for _, other := range agents {
		if other.Name != name {
			continue
		}
		r, err := a.askLead(ctx, other.Address, g, claimerTime)
		leads = a.follows(r) || r.Claiming
		if r.Claiming {
			a.wait()
		}
		a.opts.Logger.Info().Uint64("authority", uint64(claimed)).Str("claimer", name).Bool("leads", leads).Err(err).Msg("claim-beaten")
	}
	return leads
}
