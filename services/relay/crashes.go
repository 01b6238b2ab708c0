// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package relay

import (
	"context"
	"errors"
	"net/http"
	"syscall"
	"time"

	"fawnwinch.org/fawnwinch/models/prompt"
	"fawnwinch.org/fawnwinch/models/upstream"
	"fawnwinch.org/fawnwinch/modules/clock"
	"fawnwinch.org/fawnwinch/services"
	"fawnwinch.org/fawnwinch/services/balance"
	"fawnwinch.org/fawnwinch/services/condition"
	"fawnwinch.org/fawnwinch/services/quarantine"
	"fawnwinch.org/fawnwinch/services/watch"
)

const (
	// probeTimeout bounds a probe of an upstream whose connection broke. A VM that is gone does not
	// answer, and then the state of the upstream is unknown.
	probeTimeout = 200 * time.Millisecond
	// probeValidity is how long an upstream that was found alive is not probed again: when one rank
	// ends, the connections to all other ranks of its group break at the same time.
	probeValidity = 100 * time.Millisecond
	// probeRetention is how long a probe is kept for its list of suspect requests.
	probeRetention = 10 * time.Second
	// maxSuspects bounds the suspect requests of one probe.
	maxSuspects = 64
)

// probe checks whether an upstream whose connection broke still accepts connections.
type probe struct {
	done chan struct{}
	// at is when the probe ended; err is nil if the upstream accepts connections.
	at  time.Time
	err error
	// suspects holds the requests that ran when connections broke, until the same run of the
	// upstream is confirmed to have survived: another process may have taken over its address at
	// once.
	suspects []suspect
}

// suspect is a request whose answer had been arriving for some time when its connection broke, at a
// time.
type suspect struct {
	subject quarantine.Subject
	lasted  time.Duration
	at      time.Time
}

// ended reports whether the upstream has ended: no process listens at its address.
func (p *probe) ended() bool { return errors.Is(p.err, syscall.ECONNREFUSED) }

func (p *probe) expired(now time.Time) bool { return !p.at.IsZero() && now.Sub(p.at) > probeRetention }

// quarantineRefusal returns the refusal for a request that must not be sent now, or nil.
func (r *Relay) quarantineRefusal(now time.Time, x *exchange) *refusal {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.judgeCrashes(now, x)
}

// judgeCrashes is quarantineRefusal for a caller that holds the lock.
func (r *Relay) judgeCrashes(now time.Time, x *exchange) *refusal {
	v := r.crashes.Judge(now, x.subject)
	switch v.Standing {
	case quarantine.StandingRefused:
		r.noteRefused(now, v.Key, x.account)
		return &refusal{status: http.StatusServiceUnavailable, reason: reasonOf(v.Key), retryAfter: v.Until.Sub(now)}
	case quarantine.StandingWatched:
		if x.crashes > 0 || r.running[v.Key] > 0 || v.Test && !r.tests(v.Key) {
			return x.watched()
		}
	case quarantine.StandingSuspect:
		if x.crashes > 0 {
			return x.watched()
		}
	case quarantine.StandingFree:
	}
	return nil
}

// reasonOf returns the reason for the refusal of a request because of a key.
func reasonOf(k quarantine.Key) Reason {
	if k.IsPart() {
		return ReasonPartCrashes
	}
	return ReasonCrashes
}

// watched returns the refusal for a request that may crash upstreams and is not sent now.
func (x *exchange) watched() *refusal {
	ref := x.busy()
	ref.reason = ReasonWatched
	return &ref
}

// tests reports whether this router tests whether a key that was refused is still at fault. One
// router does, so that a wrong test costs one crash at most. The caller holds the lock.
func (r *Relay) tests(k quarantine.Key) bool {
	return len(r.testers) == 0 || watch.ReaderOf("quarantine/"+k.String(), r.testers) == r.self
}

// SetTesters sets the name of this router, and the names of all routers that may test whether a key
// that was refused is still at fault.
func (r *Relay) SetTesters(self string, names []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.self, r.testers = self, names
}

// beginRun records that a request runs. The caller holds the lock.
func (r *Relay) beginRun(x *exchange) {
	for _, k := range x.subject.Keys() {
		r.running[k]++
	}
	x.running = true
}

// endRun records that a request no longer runs.
func (r *Relay) endRun(x *exchange) {
	if !x.running {
		return
	}
	x.running = false
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, k := range x.subject.Keys() {
		if r.running[k]--; r.running[k] <= 0 {
			delete(r.running, k)
		}
	}
}

// recordRun records for how long the answer to a request has been arriving from an upstream that
// survived.
func (r *Relay) recordRun(now time.Time, s quarantine.Subject, lasted time.Duration) {
	r.mu.Lock()
	cleared := r.crashes.RecordRun(now, s, lasted)
	r.mu.Unlock()
	if cleared {
		r.noteCleared(s, lasted)
	}
}

// recordPartRun records for how long the answer to a request has been arriving that goes on.
func (r *Relay) recordPartRun(now time.Time, s quarantine.Subject, lasted time.Duration) {
	if len(s.Parts) == 0 {
		return
	}
	r.mu.Lock()
	cleared := r.crashes.RecordPartRun(now, s, lasted)
	r.mu.Unlock()
	if cleared {
		r.noteCleared(s, lasted)
	}
}

// noteCleared logs that a request was cleared, and notifies the other routers.
func (r *Relay) noteCleared(s quarantine.Subject, lasted time.Duration) {
	event := r.opts.Logger.Info().Str("account", string(s.Content.Account)).Stringer("digest", s.Content.Digest)
	event.Str("parts", s.JoinParts()).Int64("lasted_ms", lasted.Milliseconds()).Msg("request-cleared")
	r.onCrash()
}

// recordAnswer records that a run of an upstream answers: the requests that it ran when its
// connections broke did not end it.
func (r *Relay) recordAnswer(now time.Time, a *answer) {
	if a.head.Execution == services.ExecutionMisdirected {
		return
	}
	r.WithCrashes(func(g *quarantine.Register) { g.RecordAnswer(now, a.upstream.Run()) })
	for _, d := range r.takeSuspects(a.upstream.Run()) {
		r.recordRun(d.at, d.subject, d.lasted)
	}
}

// takeSuspects returns and removes the requests that ran at an upstream when connections broke.
func (r *Relay) takeSuspects(u upstream.Run) []suspect {
	r.mu.Lock()
	defer r.mu.Unlock()
	p, ok := r.probes[u]
	if !ok {
		return nil
	}
	taken := p.suspects
	p.suspects = nil
	return taken
}

// probeAfterBreak finds out whether an upstream ended while it ran a request, and records what
// follows for the request. Sent is when the request was sent, and lasted how long its answer had
// been arriving. A reset alone proves nothing: links and proxies reset connections, and so do
// upstreams that keep running.
func (r *Relay) probeAfterBreak(ctx context.Context, x *exchange, u upstream.Instance, sent time.Time, lasted time.Duration) {
	brokenAt := clock.Now()
	p := r.probeUpstream(ctx, u)
	if p.ended() {
		r.recordCrash(brokenAt, x, u, quarantine.Crash{Run: u.Run(), Ran: brokenAt.Sub(sent), Lasted: lasted})
		return
	}
	if p.err != nil || lasted <= 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	// Another probe may have replaced the one that was waited for.
	if kept, ok := r.probes[u.Run()]; ok && len(kept.suspects) < maxSuspects {
		kept.suspects = append(kept.suspects, suspect{subject: x.subject, lasted: lasted, at: brokenAt})
	}
}

// recordCrash records that an upstream ended while it ran a request.
func (r *Relay) recordCrash(now time.Time, x *exchange, u upstream.Instance, c quarantine.Crash) {
	r.mu.Lock()
	kind, _ := r.serviceState(now, x.service).pool.Conditions().Judge(now, u.Run())
	if kind == condition.KindLeaving || !r.state.Listed(u.ID) {
		r.mu.Unlock()
		return // it is leaving, and ends as ordered
	}
	x.crashes++
	added := r.crashes.AddCrash(now, x.subject, c)
	v := r.crashes.Judge(now, x.subject)
	r.noteQuarantined(now)
	r.mu.Unlock()
	r.opts.Logger.Warn().Str("account", string(x.account)).Stringer("digest", x.digest).Str("parts", prompt.Join(x.meta.Parts)).Str("route", x.route.Name).Str("request", string(x.meta.ID)).Str("upstream", string(u.ID)).
		Str("address", u.Address).Int64("ran_ms", c.Ran.Milliseconds()).Int64("lasted_ms", c.Lasted.Milliseconds()).Str("standing", string(v.Standing)).Stringer("blamed", v.Key).Msg("upstream-ended")
	if added {
		r.onCrash()
	}
}

// probeUpstream checks whether an upstream accepts connections. Requests whose connections broke
// together share a probe.
func (r *Relay) probeUpstream(ctx context.Context, u upstream.Instance) *probe {
	now := clock.Now()
	r.mu.Lock()
	p, ok := r.probes[u.Run()]
	if ok && (p.at.IsZero() || p.ended() || now.Sub(p.at) < probeValidity) {
		r.mu.Unlock()
		<-p.done
		return p
	}
	next := &probe{done: make(chan struct{})}
	if ok {
		// The requests that ran at the last break may still be cleared.
		next.suspects = p.suspects
	}
	p = next
	r.probes[u.Run()] = p
	r.mu.Unlock()
	cctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), probeTimeout)
	defer cancel()
	err := r.conns.Preconnect(cctx, now, u.Address)
	r.mu.Lock()
	defer r.mu.Unlock()
	p.err, p.at = err, clock.Now()
	close(p.done)
	return p
}

// recordBreak records that an answer was truncated.
func (x *exchange) recordBreak(ctx context.Context, a *answer, err error) {
	res := x.brokenResult(ctx)
	x.release(a.upstream, res, clock.Since(a.began), a.started)
	x.logFailedAttempt(a.upstream, res, err)
	if res == balance.ResultBroken {
		x.r.probeAfterBreak(ctx, x, a.upstream, a.began, a.lasted(clock.Now()))
	}
}

// lasted returns how long the events of an answer had been arriving at now; 0 before the first.
func (a *answer) lasted(now time.Time) time.Duration {
	if !a.started {
		return 0
	}
	return now.Sub(a.startedAt)
}

// OnCrash sets the function that is called when the crash register has changed.
func (r *Relay) OnCrash(f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.onCrash = f
}

// WithCrashes calls f with the register of crashes under the relay's lock.
func (r *Relay) WithCrashes(f func(*quarantine.Register)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f(r.crashes)
}

// RefusedCount returns the number of contents and parts of prompts that are refused because they
// crash upstreams.
func (r *Relay) RefusedCount(now time.Time) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.crashes.Refused(now))
}
