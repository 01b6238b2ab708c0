// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package rank

import (
	"context"
	"slices"
	"time"

	"fawnwinch.org/fawnwinch/models/group"
	"fawnwinch.org/fawnwinch/modules/clock"
	"fawnwinch.org/fawnwinch/services"
	"fawnwinch.org/fawnwinch/services/election"
	"fawnwinch.org/fawnwinch/services/peer"

	"github.com/rotisserie/eris"
)

const (
	// claimerTimeout bounds the question to an agent that has just claimed whether it leads: it is
	// busy polling all others then.
	claimerTimeout = 300 * time.Millisecond
	// maxClaims is the maximum number of consecutive claims, each after another agent's claim came
	// first.
	maxClaims = 3
)

// errClaimsLost reports that other agents' claims came first each time.
var errClaimsLost = eris.New("lost to other claims on each attempt")

// claim claims the next authority. It returns 0 if another agent has claimed an authority and uses
// it.
func (a *Agent) claim(ctx context.Context, agents []peer.Info, g group.ID) (election.Authority, error) {
	for range maxClaims {
		if a.led() {
			return 0, nil // another agent has taken over while others were asked
		}
		won, end, err := a.claimOnce(ctx, g)
		if err != nil || won {
			return election.AuthorityAt(end), err
		}
		leads, err := a.claimerLeads(ctx, agents, g, end)
		if err != nil || leads {
			return 0, err
		}
	}
	return 0, errClaimsLost
}

// led reports whether the agent has contact with a coordinator.
func (a *Agent) led() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	_, _, led := a.candidate.CurrentLead(clock.Now())
	return led
}

// claimOnce adds a claim if no other was added since the latest known one. It returns where the log
// of claims ends afterwards.
func (a *Agent) claimOnce(ctx context.Context, g group.ID) (won bool, end services.Position, err error) {
	cctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	a.mu.Lock()
	a.claiming = true
	after := a.candidate.Claimed()
	a.mu.Unlock()
	end, won, err = a.opts.Store.Claim(cctx, string(g), a.opts.Self.Name, after.End())
	a.mu.Lock()
	defer a.mu.Unlock()
	a.claiming = false
	if err == nil && !won {
		a.candidate.SetClaimed(election.AuthorityAt(end))
	}
	return won, end, err
}

// claimerLeads reports whether the agent whose claim is the last before a position uses it, or may.
func (a *Agent) claimerLeads(ctx context.Context, agents []peer.Info, g group.ID, end services.Position) (bool, error) {
	cctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	name, err := a.opts.Store.LastClaimant(cctx, string(g), end)
	if err != nil {
		return false, err
	}
	at := slices.IndexFunc(agents, func(p peer.Info) bool { return p.Name == name })
	event := a.opts.Logger.Info().Str("group", string(g)).Stringer("end", end).Str("claimer", name).Bool("listed", at >= 0)
	if at < 0 {
		event.Msg("claim-beaten")
		return false, nil
	}
	r, err := a.askLead(ctx, agents[at].Address, g, claimerTimeout)
	leads := a.accept(r)
	event.Bool("leads", leads).Bool("claiming", r.Claiming).Err(err).Msg("claim-beaten")
	if r.Claiming && !leads {
		a.deferCampaign()
		leads = true
	}
	return leads, nil
}
