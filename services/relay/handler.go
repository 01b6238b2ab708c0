// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package relay

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"

	"fawnwinch.org/fawnwinch/models/account"
	"fawnwinch.org/fawnwinch/models/catalog"
	"fawnwinch.org/fawnwinch/models/prompt"
	"fawnwinch.org/fawnwinch/models/request"
	"fawnwinch.org/fawnwinch/models/service"
	"fawnwinch.org/fawnwinch/models/upstream"
	"fawnwinch.org/fawnwinch/models/urgency"
	"fawnwinch.org/fawnwinch/modules/clock"
	"fawnwinch.org/fawnwinch/modules/memory"
	"fawnwinch.org/fawnwinch/services"
	"fawnwinch.org/fawnwinch/services/admission"
	"fawnwinch.org/fawnwinch/services/balance"
	"fawnwinch.org/fawnwinch/services/quarantine"
	"fawnwinch.org/fawnwinch/services/retry"
)

// Reason states why a router answers a request itself. Reasons appear in logs and metrics.
type Reason string

// The possible reasons.
const (
	ReasonStarting           Reason = "no-catalog"
	ReasonStale              Reason = "catalog-too-old"
	ReasonIncompleteCatalog  Reason = "catalog-incomplete"
	ReasonNoRoute            Reason = "no-route"
	ReasonUnknownKey         Reason = "key-unknown"
	ReasonBadRequest         Reason = "request-unreadable"
	ReasonTooLarge           Reason = "body-too-large"
	ReasonIncomplete         Reason = "body-incomplete"
	ReasonNoMemory           Reason = "no-memory-for-body"
	ReasonNoRoom             Reason = "no-upstream-with-room"
	ReasonEvacuated          Reason = "upstreams-evacuated"
	ReasonNotRun             Reason = "upstreams-did-not-run-it"
	ReasonUnknown            Reason = "may-have-run"
	ReasonDeadline           Reason = "deadline"
	ReasonLeaving            Reason = "process-leaving"
	ReasonCallerDisconnected Reason = "caller-left"
	ReasonStopped            Reason = "process-stopped"
	ReasonStreamBroken       Reason = "stream-broke-off"
	ReasonAnswered           Reason = "answered"
	ReasonCrashes            Reason = "crashes-upstreams"
	ReasonPartCrashes        Reason = "prompt-part-crashes-upstreams"
	ReasonWatched            Reason = "may-crash-upstreams"
)

const (
	// maxDenyFraction is the fraction of the time within which a change must be in force. A catalog
	// whose age is at most that may be used to deny that a route or key exists.
	maxDenyFraction = 0.9
	// freshnessMargin is subtracted from the time during which revoked keys may still be accepted.
	freshnessMargin = 300 * time.Millisecond
	// retryStarting is the retry advice of a process whose catalog or upstreams are not complete or
	// current yet.
	retryStarting = 300 * time.Millisecond
	// retryBusy is the minimum retry advice for a caller when all upstreams are busy. A random part
	// of up to retryBusySpread is added, so that callers do not retry at the same time.
	retryBusy       = 250 * time.Millisecond
	retryBusySpread = 250 * time.Millisecond
	// retryEvacuated is the retry advice while all upstreams of a service are in evacuated data
	// centres. Operators end an evacuation after seconds at least.
	retryEvacuated = time.Second
	// retryIncomplete is the retry advice for a request that a part of the catalog decides about which
	// could not be read. It takes another catalog or another version of this program.
	retryIncomplete = 5 * time.Second
	// defaultTimeout bounds requests for which neither route nor caller sets a timeout.
	defaultTimeout = 30 * time.Second
	// defaultMaxBytes bounds a body when the catalog sets no limit.
	defaultMaxBytes = 4 << 20
)

// exchange is the state of one request of a caller.
type exchange struct {
	r        *Relay
	w        http.ResponseWriter
	req      *http.Request
	meta     services.CallerMeta
	arrived  time.Time
	deadline time.Time
	route    *catalog.Route
	service  service.ID
	account  account.ID
	// urgency is the priority that upstreams are told.
	urgency int
	// order and level are the urgency among the requests that wait for the same service, which has
	// a number of levels.
	order  urgency.Urgency
	level  urgency.Level
	levels int
	// size is the size of the request. It does not change when the catalog does, as the pool counts
	// the request with it until its answer begins.
	size balance.Size
	// homes restricts the regions whose upstreams may get the request.
	homes homes
	// maxBytes bounds the body.
	maxBytes int64
	body     []byte
	// holds is the memory of the bodies of the request and of its answers.
	holds []*memory.Hold
	// digest identifies the content of the request, whatever its id: a caller that retries sends
	// another id.
	digest request.Digest
	// subject is the request as the quarantine knows it.
	subject quarantine.Subject
	// version and age are those of the catalog by which the request was admitted.
	version catalog.Version
	age     time.Duration

	tried    map[upstream.ID]bool
	attempts int
	// firstSent is when the request was first sent to an upstream; zero if it was not.
	firstSent time.Time
	// mayRun reports whether an attempt may have run or may still run.
	mayRun bool
	// held is the retry for the next attempt that was taken out of the budget at heldSince; nil if
	// there is none. They are guarded by the relay's lock.
	held      *retry.Retry
	heldSince time.Time
	// awaits reports whether the request waits for a retry as well as for room.
	awaits bool
	last   upstream.ID
	// next is the upstream to which the request was rerouted while an attempt ran; nil if it was
	// not. It is guarded by the relay's lock.
	next *upstream.Instance
	// retried reports whether the caller was rejected before, and so will not come back.
	retried bool
	// failure is the answer of an upstream that failed, while other upstreams are tried.
	failure *completeAnswer
	// waited is how long the request has waited for room; waitedUnsent is the part of it since the
	// request was last sent.
	waited, waitedUnsent time.Duration
	// running reports whether the request is counted as running; crashes is the number of upstreams
	// that ended while they ran it.
	running bool
	crashes int
	// retryAfter is the forecast time until there is room for a request that found none; advised is
	// the retry advice sent to the caller.
	retryAfter, advised time.Duration
	// spread reports whether retryAfter includes a random part, and forecast is the forecast wait.
	spread   bool
	forecast admission.Forecast
	// evacuated reports whether all upstreams were in evacuated data centres when the request was
	// last to be sent.
	evacuated bool
	stream    streamState
}

// refusal is an answer that the router gives itself.
type refusal struct {
	status     int
	reason     Reason
	retryAfter time.Duration
}

// ServeHTTP serves one request of a caller.
func (r *Relay) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	x := &exchange{r: r, w: w, req: req, arrived: clock.Now(), meta: r.opts.Protocol.ParseRequest(req.Header), tried: map[upstream.ID]bool{}}
	r.mu.Lock()
	r.active++
	r.accepted++
	r.lastRequest = x.arrived
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		r.active--
		r.mu.Unlock()
	}()
	defer x.releaseHolds()
	x.allowWrite()
	if ref := x.admit(); ref != nil {
		x.refuse(*ref)
		return
	}
	ctx, cancel := clock.WithDeadline(req.Context(), x.deadline)
	defer cancel()
	defer context.AfterFunc(r.ending, cancel)()
	x.run(ctx)
}

// admit checks a request against the catalog and reads its body.
func (x *exchange) admit() *refusal {
	if x.meta.ID == "" {
		return &refusal{status: http.StatusBadRequest, reason: ReasonBadRequest}
	}
	if ref := x.judge(); ref != nil {
		return ref
	}
	if ref := x.leavingRefusal(x.arrived); ref != nil {
		return ref
	}
	body, ref := x.readBody()
	if ref != nil {
		return ref
	}
	x.body = body
	x.digest = contentDigest(x.req, body)
	x.subject = quarantine.NewSubject(x.account, x.digest, x.service, x.meta.Parts)
	x.r.countRequest(x)
	return nil
}

// contentDigest returns the digest of the content of a request.
func contentDigest(req *http.Request, body []byte) request.Digest {
	path, query, _ := strings.Cut(req.RequestURI, "?")
	return request.NewDigest(body, req.Method, hostName(req.Host), path, query)
}

// judge resolves the route and the account of a request.
func (x *exchange) judge() *refusal {
	x.r.mu.Lock()
	defer x.r.mu.Unlock()
	state := x.r.state
	if !state.Complete() {
		return &refusal{status: http.StatusServiceUnavailable, reason: ReasonStarting, retryAfter: retryStarting}
	}
	index := state.Index()
	x.version, x.age = index.Version, state.CatalogAge(x.arrived)
	if x.maxBytes = int64(index.MaxBytes); x.maxBytes <= 0 {
		x.maxBytes = defaultMaxBytes
	}
	x.route = index.Route(hostName(x.req.Host), pathOf(x.req.RequestURI))
	if x.route == nil {
		return x.deny(http.StatusNotFound, ReasonNoRoute)
	}
	var a *catalog.Account
	if index.RequiresKeys() && (!x.route.Anonymous || x.meta.Key != "") {
		a = index.Account(x.meta.Key)
		if a == nil {
			return x.deny(http.StatusUnauthorized, ReasonUnknownKey)
		}
		if x.r.keyMayBeRevoked(x.age) {
			return &refusal{status: http.StatusServiceUnavailable, reason: ReasonStale, retryAfter: retryStarting}
		}
		x.account = a.ID
		x.homes.restrict(a.Homes)
		x.urgency = x.route.Priority
		if a.Ranked {
			x.urgency = a.Priority
		}
	}
	if x.route.Unusable {
		return &refusal{status: http.StatusServiceUnavailable, reason: ReasonIncompleteCatalog, retryAfter: retryIncomplete}
	}
	x.homes.restrict(x.route.Homes)
	x.service = pickService(x.route)
	levels := index.Levels(x.service)
	x.order, x.level, x.levels = index.Urgency(x.route, a), levels.Level(x.route.Priority), len(levels)
	x.size = sizeOf(index, x.service, &x.meta)
	x.r.serviceState(x.arrived, x.service).budget.Request(x.arrived)
	left := defaultTimeout
	if x.route.Timeout > 0 {
		left = x.route.Timeout
	}
	if x.meta.Patience > 0 {
		left = min(left, x.meta.Patience)
	}
	x.deadline = x.arrived.Add(left)
	return nil
}

// keyMayBeRevoked reports whether a key in a catalog of the given age may have been revoked so long
// ago that it must not be accepted. The caller holds the lock.
func (r *Relay) keyMayBeRevoked(age time.Duration) bool {
	return !r.opts.Bounds.KeepKeys && age > r.opts.Bounds.KeyFreshness-freshnessMargin
}

// deny refuses a request for good if the catalog is complete and fresh enough to be relied on, or
// else temporarily. The caller holds the lock.
func (x *exchange) deny(status int, reason Reason) *refusal {
	if x.r.state.Index().Incomplete {
		return &refusal{status: http.StatusServiceUnavailable, reason: ReasonIncompleteCatalog, retryAfter: retryIncomplete}
	}
	if x.age > time.Duration(maxDenyFraction*float64(x.r.opts.Bounds.ApplyTime)) {
		return &refusal{status: http.StatusServiceUnavailable, reason: ReasonStale, retryAfter: retryStarting}
	}
	return &refusal{status: status, reason: reason}
}

// hostName returns a host without its port.
func hostName(host string) string {
	if h, _, err := net.SplitHostPort(host); err == nil {
		return h
	}
	return host
}

// pathOf returns the path of a request's target as the caller wrote it.
func pathOf(target string) string {
	if i := strings.Index(target, "://"); i >= 0 && !strings.HasPrefix(target, "/") {
		_, rest, _ := strings.Cut(target[i+3:], "/")
		target = "/" + rest
	}
	path, _, _ := strings.Cut(target, "?")
	return path
}

// refuse answers a request without an upstream's answer.
func (x *exchange) refuse(ref refusal) {
	x.advised = ref.retryAfter
	h := x.w.Header()
	for name, values := range x.r.opts.Protocol.RefusalHeader(x.meta.ID, ref.retryAfter) {
		h[name] = values
	}
	h.Set("Content-Length", "0")
	x.closeAfterAnswer()
	x.allowWrite()
	x.w.WriteHeader(ref.status)
	x.finish(ref.status, ref.reason)
}

// finish logs and counts the end of a request.
func (x *exchange) finish(status int, reason Reason) {
	now := clock.Now()
	took := now.Sub(x.arrived)
	outcome := "refused"
	event := x.r.opts.Logger.Info()
	switch {
	case reason == ReasonAnswered:
		outcome = "answered"
		x.recordAnswerTime(now)
	case x.mayRun:
		outcome = "failed"
	}
	x.r.opts.Metrics.ObserveRequest(string(x.service), outcome, string(reason), took, x.attempts)
	x.stream.log(event, x.arrived)
	x.logUrgency(event, reason)
	x.countLate()
	event.Str("request", string(x.meta.ID)).Stringer("digest", x.digest).Str("account", string(x.account)).Str("parts", prompt.Join(x.meta.Parts)).Int("status", status).Str("reason", string(reason)).
		Str("service", string(x.service)).Str("upstream", string(x.last)).Int("attempts", x.attempts).
		Uint64("catalog", uint64(x.version)).Int64("catalog_age_ms", x.age.Milliseconds()).Int64("patience_ms", x.meta.Patience.Milliseconds()).
		Int64("retry_after_ms", x.advised.Milliseconds()).Int64("waited_ms", x.waited.Milliseconds()).Int64("took_ms", took.Milliseconds()).Int("events", x.stream.events).Msg(outcome)
}

// retrySpread returns a random part of a retry advice.
func retrySpread() time.Duration {
	return time.Duration(rand.Int64N(int64(retryBusySpread))) //nolint:gosec // no secret
}

// busy returns the refusal for a request that has not run because there is no room.
func (x *exchange) busy() refusal {
	spread := retrySpread()
	if x.evacuated {
		return refusal{status: http.StatusServiceUnavailable, reason: ReasonEvacuated, retryAfter: retryEvacuated + spread}
	}
	after := max(x.retryAfter, retryBusy) + spread
	if x.spread {
		asked := admission.Request{Deadline: x.deadline}
		after = min(x.retryAfter, asked.LongestRetryAfter(clock.Now()))
	}
	return refusal{status: http.StatusServiceUnavailable, reason: ReasonNoRoom, retryAfter: after}
}
