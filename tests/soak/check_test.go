// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package soak

import (
	"net/http"
	"slices"
	"time"
)

// obligation records that a router has passed on a notice of a replica, and must act on it until the
// router restarts.
type obligation struct {
	router *router
	start  int
	// at is when the notice was passed on, and until the end of a requested back-off.
	at, until time.Time
}

// recordRun records that a replica runs a request, and checks that it may.
func (w *world) recordRun(r *replica, id string, req *http.Request, body []byte) {
	w.mu.Lock()
	c, known := w.calls[id]
	if !known {
		w.mu.Unlock()
		w.fail("%s runs %q, which no caller has sent", r.id, id)
		return
	}
	c.ranAt = append(c.ranAt, r)
	runs, ended, status := len(c.ranAt), !c.endedAt.IsZero(), 0
	if ended {
		status = c.status // before that, the caller may still be writing it
	}
	w.mu.Unlock()
	if c.kind == kindUnsafe && runs > 1 {
		w.fail("call %s must not be repeated but runs again, at %s", id, r.id)
	}
	if ended && notRun[status] && !c.kind.streams() && c.kind != kindSafe {
		w.fail("call %s got status %d (not run) but runs at %s", id, status, r.id)
	}
	if string(body) != "body of "+id || req.URL.Path != c.path || req.Header.Get("X-Fawnwinch-Tenant-Id") != "seiryu" || req.Header.Get("Api-Key") != "" {
		w.fail("call %s reaches %s changed: %s, account %q, %d bytes", id, r.id, req.URL.Path, req.Header.Get("X-Fawnwinch-Tenant-Id"), len(body))
	}
	if want := map[bool]string{true: "pool", false: "ledger"}[c.kind.streams()]; r.service != want {
		w.fail("call %s is for %s and runs at %s of %s", id, want, r.id, r.service)
	}
	if at, removed := w.removedAt(c.keyVersion); c.keyVersion > 0 && removed && c.sent.Sub(at) > revokeTime {
		w.fail("call %s runs %s after its key was removed", id, c.sent.Sub(at))
	}
}

// recordAnswer records that a replica has sent the complete answer to a request.
func (w *world) recordAnswer(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if c, ok := w.calls[id]; ok {
		c.answered = true
	}
}

// undisturbed reports whether neither a router nor the store was disturbed from contactTime before
// from until to.
func (w *world) undisturbed(r *router, from, to time.Time) bool {
	return r.disturbances.none(from.Add(-contactTime), to) && w.storeDisturbances.none(from.Add(-contactTime), to)
}

// checkArrival checks that a request may still be sent to a replica.
func (w *world) checkArrival(r *replica, id string) {
	now := time.Now()
	w.mu.Lock()
	c, known := w.calls[id]
	w.mu.Unlock()
	if !known {
		return
	}
	r.mu.Lock()
	draining := r.draining
	r.mu.Unlock()
	if !draining.IsZero() && now.Sub(draining) > drainTime+tolerance && w.undisturbed(c.router, draining, now) && r.disturbances.none(draining, now) {
		w.fail("call %s reaches %s through %s %s after the store accepted that it leaves", id, r.id, c.router.name, now.Sub(draining))
	}
	w.checkEvacuation(now, r, c.router, id)
	if b, ok := w.obligation(r, c.router, obligationLeaving); ok && c.sent.Sub(b.at) > drainTime+tolerance {
		w.fail("call %s reaches %s through %s, which passed on %s earlier that it leaves", id, r.id, c.router.name, c.sent.Sub(b.at))
	}
	if n := w.countBackOffRequest(r, c.router, now); n > maxBackOffRequests {
		w.fail("call %s is request %d that reaches %s through %s during its requested back-off", id, n, r.id, c.router.name)
	}
}

// maxBackOffRequests is the number of requests that a replica may get during a back-off that it has
// requested.
const maxBackOffRequests = 2

// obligationKind is the kind of notice that obliges a router.
type obligationKind string

const (
	obligationLimit   obligationKind = "limit"
	obligationLeaving obligationKind = "leaving"
	obligationBackOff obligationKind = "rest"
)

type obligationKey struct {
	replica *replica
	router  *router
	kind    obligationKind
}

// recordObligation records that a notice of a replica obliges a router from now on.
func (w *world) recordObligation(r *replica, n *router, kind obligationKind, until time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	k := obligationKey{r, n, kind}
	if old, ok := w.obligations[k]; ok && old.start == n.starts && (kind != obligationBackOff || until.Before(old.until)) {
		return
	}
	w.obligations[k] = obligation{router: n, start: n.starts, at: time.Now(), until: until}
	delete(w.backOffRequests, k)
}

// obligation returns the notice of a replica that obliges a router, unless the router has restarted
// or was disturbed since.
func (w *world) obligation(r *replica, n *router, kind obligationKind) (obligation, bool) {
	w.mu.Lock()
	b, ok := w.obligations[obligationKey{r, n, kind}]
	same := b.start == n.starts
	w.mu.Unlock()
	return b, ok && same && n.disturbances.none(b.at, time.Now())
}

// recordBackOff records that a replica has requested a back-off from the router of a request.
func (w *world) recordBackOff(r *replica, id string, backOff time.Duration) {
	w.mu.Lock()
	c, known := w.calls[id]
	w.mu.Unlock()
	if known {
		w.recordObligation(r, c.router, obligationBackOff, time.Now().Add(backOff))
	}
}

// countBackOffRequest counts a request that reaches a replica during its requested back-off, and
// returns the count.
func (w *world) countBackOffRequest(r *replica, n *router, now time.Time) int {
	b, ok := w.obligation(r, n, obligationBackOff)
	if !ok || now.Sub(b.at) < tolerance || !now.Before(b.until) {
		return 0
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	k := obligationKey{r, n, obligationBackOff}
	w.backOffRequests[k]++
	return w.backOffRequests[k]
}

// checkCall checks the outcome of a call for its caller, and keeps the call.
func (w *world) checkCall(c *call) {
	now := time.Now()
	w.mu.Lock()
	c.endedAt = now
	w.ended = append(w.ended, c)
	runs, answered, starts := len(c.ranAt), c.answered, c.router.starts
	w.mu.Unlock()
	if notRun[c.status] && runs > 0 && c.kind == kindUnsafe {
		w.fail("call %s got status %d (not run) but has run", c.id, c.status)
	}
	w.checkCut(c, now, runs)
	undisturbed := w.undisturbed(c.router, c.sent, now) && c.start == starts
	switch {
	case c.err != nil && !c.leavesEarly && answered && undisturbed && w.replicasUndisturbed(c.sent, now):
		w.fail("call %s at %s was answered by its replica, but its caller got: %v", c.id, c.router.name, c.err)
	case c.kind == kindProbe && c.status != 0:
		w.checkProbe(c, undisturbed)
	case c.status == http.StatusNotFound || c.status == http.StatusUnauthorized && c.keyVersion == 0:
		w.fail("call %s at %s was denied with %d", c.id, c.router.name, c.status)
	}
	w.recordCallObligations(c)
}

// recordCallObligations records the notices in the answer of a call that oblige its router.
func (w *world) recordCallObligations(c *call) {
	if !c.limited && !c.leaving {
		return
	}
	all := w.allReplicas()
	i := slices.IndexFunc(all, func(r *replica) bool { return r.id == c.from })
	if i < 0 {
		return
	}
	if c.limited {
		w.recordObligation(all[i], c.router, obligationLimit, time.Time{})
	}
	if c.leaving {
		w.recordObligation(all[i], c.router, obligationLeaving, time.Time{})
	}
}

// checkProbe checks which configuration a router applied to a call: once a version is in force
// everywhere, its route must be served, and a route that a later version removed must not.
func (w *world) checkProbe(c *call, undisturbed bool) {
	w.mu.Lock()
	storedAt := w.configs[c.version-1].storedAt
	w.mu.Unlock()
	removedAt, removed := w.removedAt(c.version)
	switch routeKnown := c.status != http.StatusNotFound; {
	case !routeKnown && !removed && undisturbed && c.sent.Sub(storedAt) > applyTime+tolerance:
		w.fail("%s does not apply configuration %d %s after the store accepted it", c.router.name, c.version, c.sent.Sub(storedAt))
	case routeKnown && removed && undisturbed && c.sent.Sub(removedAt) > applyTime+tolerance && c.status == http.StatusOK:
		w.fail("%s serves a route %s after it was removed", c.router.name, c.sent.Sub(removedAt))
	}
}

// replicasUndisturbed reports whether no replica was disturbed between two times.
func (w *world) replicasUndisturbed(from, to time.Time) bool {
	for _, r := range w.allReplicas() {
		if !r.disturbances.none(from, to) {
			return false
		}
	}
	return true
}
