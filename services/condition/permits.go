// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package condition

import (
	"time"

	"fawnwinch.org/fawnwinch/models/upstream"
)

const (
	// permitValid is how long an unused permit is valid. Unused permits add to the burst that an
	// upstream may get.
	permitValid = 500 * time.Millisecond
	// maxPermits bounds the permits in one request.
	maxPermits = 64
	// PermitTimeout is the timeout of a request for permits. Meanwhile no other request of the router
	// waits for the same upstream.
	PermitTimeout = 200 * time.Millisecond
)

// permits holds a router's permits for an upstream with a rate limit. All routers share the limit,
// so one of them grants the permits for all; without a grantor nothing is sent.
type permits struct {
	// held counts the unused permits, which are valid until a time. taken counts the permits of
	// requests that were chosen for the upstream and have not been sent yet.
	held  int
	until time.Time
	taken int
	// askAt is when more permits may be requested, and wanted how many. asking reports whether a
	// chosen request is going to ask for permits.
	askAt  time.Time
	wanted int
	asking bool
}

// availableAt returns when a request may be chosen for the upstream.
func (p *permits) availableAt(now time.Time) time.Time {
	if p.held > 0 && now.Before(p.until) {
		return now
	}
	return p.askAt
}

// take records that a request is chosen for the upstream. Without a permit that request will ask
// for permits, and no other request asks meanwhile.
func (p *permits) take(now time.Time) {
	if p.held > 0 && now.Before(p.until) {
		p.held--
		p.taken++
		return
	}
	p.askAt, p.asking = now.Add(PermitTimeout), true
}

// release records that a chosen request is not sent.
func (p *permits) release(now time.Time) {
	switch {
	case p.taken > 0:
		p.taken--
		p.held++
	case p.asking:
		p.askAt, p.asking = now, false
	}
}

// use reports whether a chosen request has a permit, and consumes it.
func (p *permits) use() bool {
	if p.taken == 0 {
		return false
	}
	p.taken--
	return true
}

// ask returns how many permits to request: twice as many as the last time if those were used before
// they expired, otherwise one.
func (p *permits) ask(now time.Time) int {
	if p.held == 0 && now.Before(p.until) {
		p.wanted = min(2*p.wanted, maxPermits)
	} else {
		p.wanted = 1
	}
	return p.wanted
}

// Held returns how many requests a router may choose a rate-limited upstream for: one for each
// permit, and one that asks for permits.
func (g *Register) Held(now time.Time, run upstream.Run) int {
	r, ok := g.records[run]
	if !ok || !now.Before(r.permits.until) {
		return 1
	}
	return r.permits.held + 1
}

// Permission is the decision whether a request may be sent to an upstream.
type Permission string

// The permissions.
const (
	// PermissionGiven means that the request may be sent now.
	PermissionGiven Permission = "given"
	// PermissionAsk means that the router has to request permits first.
	PermissionAsk Permission = "ask"
	// PermissionDenied means that the request has to go to another upstream.
	PermissionDenied Permission = "denied"
)

// PermitRequest is a router's request for permits to send requests to a run of an upstream.
type PermitRequest struct {
	Run upstream.Run
	// Limit is the limit known to the router.
	Limit WireLimit
	// Cold is the coldness of the upstream known to the router.
	Cold WireColdness
	// Wanted is the number of permits; with 0 the request only reports the limit.
	Wanted int
}

// PermitReply is the reply to a PermitRequest.
type PermitReply struct {
	Given int
	// Again is when the router may ask again if no permit was granted.
	Again time.Duration
	// Limit is the limit known to the permit grantor.
	Limit WireLimit
}

// Choose records that a request is chosen for an upstream.
func (g *Register) Choose(now time.Time, run upstream.Run) {
	if r, ok := g.records[run]; ok && r.limited(now) {
		r.permits.take(now)
	}
}

// Withdraw records that a request that was chosen for an upstream is not sent.
func (g *Register) Withdraw(now time.Time, run upstream.Run) {
	if r, ok := g.records[run]; ok && r.limited(now) {
		r.permits.release(now)
	}
}

// Permit decides whether a request that was chosen for an upstream may be sent. It is called right
// before the send, so that it uses the upstream's reports since the choice.
func (g *Register) Permit(now time.Time, run upstream.Run) Permission {
	r, ok := g.records[run]
	switch {
	case ok && (r.leaving || now.Before(r.backoffUntil)):
		return PermissionDenied
	case !ok || !r.limited(now) || r.permits.use():
		return PermissionGiven
	}
	return PermissionAsk
}

// Ask returns the request for permits for an upstream.
func (g *Register) Ask(now time.Time, run upstream.Run) PermitRequest {
	a := PermitRequest{Run: run}
	if r, ok := g.records[run]; ok {
		a.Limit, a.Cold, a.Wanted = r.limit.Wire(now), r.cold.Wire(now), r.permits.ask(now)
	}
	return a
}

// Answered records the reply to a request for permits that was sent at asked. One of the permits is
// for the request on whose behalf the router asked.
func (g *Register) Answered(asked, now time.Time, run upstream.Run, reply PermitReply) (Permission, []Change) {
	r, ok := g.records[run]
	if !ok {
		return PermissionGiven, nil
	}
	changes := g.learn(r, reply.Limit.ToLimit(asked, now))
	r.permits.asking = false
	switch p := &r.permits; {
	case !r.limited(now):
		return PermissionGiven, changes
	case reply.Given > 0:
		p.held += reply.Given - 1
		p.until, p.askAt = now.Add(permitValid), now
		return PermissionGiven, changes
	default:
		p.askAt = now.Add(reply.Again)
		return PermissionDenied, changes
	}
}
