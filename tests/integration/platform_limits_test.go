// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package integration

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	// limitGrace is the time after a limit is first announced in which routers may still send more
	// than it allows.
	limitGrace = 3 * time.Second
	// limitWindow, limitFactor and limitSlack bound the requests to a limited replica: in any
	// window, the factor times what its limit allows, plus the slack.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
)

// noticeReplica is a plain replica that adds notices about itself to the headers of its answers.
type noticeReplica struct {
	id, address string
	// work is how long it works on each request.
	work time.Duration

	mu sync.Mutex
	// setNotice sets the headers of its notice, and status is the status of its answers.
	setNotice func(h http.Header)
	status    int
	// arrivals holds the times of requests since its notice was last changed, and since is the time
	// of that change.
	arrivals []time.Time
	since    time.Time
}

func newNoticeReplica(t *testing.T, s *site, id string) *noticeReplica {
	t.Helper()
	k := &noticeReplica{id: id, setNotice: func(http.Header) {}, status: http.StatusOK}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("X-Fawnwinch-Expected-Instance") != id {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		arrived := time.Now()
		time.Sleep(k.work)
		k.mu.Lock()
		defer k.mu.Unlock()
		k.arrivals = append(k.arrivals, arrived)
		w.Header().Set("X-Fawnwinch-Request-Id", r.Header.Get("X-Fawnwinch-Request-Id"))
		k.setNotice(w.Header())
		if k.status != http.StatusOK {
			w.Header().Set("X-Fawnwinch-Not-Executed", "1")
			w.WriteHeader(k.status)
			return
		}
		w.Header().Set("X-Fawnwinch-Response-Seal", "seal")
		_, _ = fmt.Fprint(w, id)
	}))
	t.Cleanup(server.Close)
	k.address = strings.TrimPrefix(server.URL, "http://")
	s.store.Put(replicaStream, id, fmt.Sprintf(`{"service":"ledger","address":%q,"zone":"a","slots":6,"state":"ready"}`, k.address))
	return k
}

// respondWith sets the status and the notice of further answers, and resets the arrivals.
func (k *noticeReplica) respondWith(status int, notice func(http.Header)) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.setNotice, k.status, k.arrivals, k.since = notice, status, nil, time.Now()
}

// announceLimit makes the replica announce a limit of requests a second.
func (k *noticeReplica) announceLimit(rate float64) {
	k.respondWith(http.StatusOK, func(h http.Header) { h.Set("Server-Limit", fmt.Sprint(rate)) })
}

// arrivalsAfter returns the times of requests since the last change of the notice, without those in
// the grace period that followed.
func (k *noticeReplica) arrivalsAfter(without time.Duration) []time.Time {
	k.mu.Lock()
	defer k.mu.Unlock()
	slices.SortFunc(k.arrivals, time.Time.Compare) // they are recorded when the work is done
	i := slices.IndexFunc(k.arrivals, func(at time.Time) bool { return at.Sub(k.since) >= without })
	if i < 0 {
		return nil
	}
	return slices.Clone(k.arrivals[i:])
}

// maxInWindow returns the maximum number of times that lie within a window. The times are in
// ascending order.
func maxInWindow(window time.Duration, times []time.Time) int {
	peak, from := 0, 0
	for i, at := range times {
		for at.Sub(times[from]) > window {
			from++
		}
		peak = max(peak, i-from+1)
	}
	return peak
}

// outcome is the result of one request of a load.
type outcome struct {
	status int
	took   time.Duration
	header http.Header
}

// load sends requests to each router at a rate a second, for a time, and returns their outcomes.
func load(t *testing.T, routers map[string]*node, rate int, duration time.Duration) []outcome {
	t.Helper()
	var mu sync.Mutex
	var out []outcome
	var w sync.WaitGroup
	ticker := time.NewTicker(time.Second / time.Duration(rate))
	defer ticker.Stop()
	for end := time.Now().Add(duration); time.Now().Before(end); <-ticker.C {
		for _, n := range routers {
			w.Go(func() {
				began := time.Now()
				status, _, header := post(t.Context(), t, n.front, "/view/x", "k")
				mu.Lock()
				defer mu.Unlock()
				out = append(out, outcome{status: status, took: time.Since(began), header: header})
			})
		}
	}
	w.Wait()
	return out
}

// checkLimit checks that a replica gets no more than its limit allows, and not much less.
func checkLimit(t *testing.T, k *noticeReplica, rate float64, duration time.Duration) {
	t.Helper()
	arrivals := k.arrivalsAfter(limitGrace)
	allowed := int(limitFactor*limitWindow.Seconds()*rate) + limitSlack
	peak := maxInWindow(limitWindow, arrivals)
	t.Logf("%s: %d requests in %s at most, %d allowed; %d in %s", k.id, peak, limitWindow, allowed, len(arrivals), duration-limitGrace)
	if peak > allowed {
		t.Errorf("%s limits its requests to %v a second and got %d in %s, want %d at most", k.id, rate, peak, limitWindow, allowed)
	}
	if want := int(rate * (duration - limitGrace).Seconds() / 2); len(arrivals) < want {
		t.Errorf("%s limits its requests to %v a second and got %d in %s, want %d at least", k.id, rate, len(arrivals), duration-limitGrace, want)
	}
}

// TestLimitedReplica lets replicas announce a limit of requests a second for all routers together.
// It guards against routers that do not read the announcement: a rank that had announced one a
// second got 12 requests in 4 s, as many as before.
func TestLimitedReplica(t *testing.T) {
	const duration = limitGrace + 7*time.Second
	cases := map[string]struct {
		limited int
		rate    float64
	}{
		"one of three":                {1, 1},
		"one of three, a higher rate": {1, 2},
		"all":                         {3, 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newSite(t)
			s.store.Put(operatorStream, "config", operatorConfig(3, "k"))
			var replicas []*noticeReplica
			for i := range 3 {
				replicas = append(replicas, newNoticeReplica(t, s, fmt.Sprint("i-", i)))
			}
			routers := s.startThree()
			for _, n := range routers {
				eventually(t, "a served request", func() bool {
					status, _, _ := post(t.Context(), t, n.front, "/view/x", "k")
					return status == http.StatusOK
				})
			}
			for _, k := range replicas[:c.limited] {
				k.announceLimit(c.rate)
			}
			outcomes := load(t, routers, 10, duration)
			for _, k := range replicas[:c.limited] {
				checkLimit(t, k, c.rate, duration)
			}
			checkOutcomes(t, outcomes, c.limited < len(replicas))
		})
	}
}

// checkOutcomes checks that callers were served, or rejected early with a Retry-After. If served is
// set, one in a hundred may be rejected at most.
func checkOutcomes(t *testing.T, outcomes []outcome, served bool) {
	t.Helper()
	rejected := 0
	for _, o := range outcomes {
		switch {
		case o.status == http.StatusOK:
		case o.status != http.StatusServiceUnavailable || o.header.Get("Retry-After") == "" || o.took > 2*time.Second:
			t.Errorf("a caller got status %d after %s, Retry-After %q", o.status, o.took, o.header.Get("Retry-After"))
		default:
			rejected++
		}
	}
	t.Logf("%d of %d callers were rejected", rejected, len(outcomes))
	if served && rejected > len(outcomes)/100 {
		t.Errorf("%d of %d callers were rejected although replicas without a limit had room", rejected, len(outcomes))
	}
}

// TestLimitEnds restarts each router, permit grantors included, while replicas limit their
// requests. Then the replicas lift their limits: every router must learn that, although most
// requests are rejected meanwhile.
func TestLimitEnds(t *testing.T) {
	s := newSite(t)
	s.store.Put(operatorStream, "config", operatorConfig(3, "k"))
	replicas := []*noticeReplica{newNoticeReplica(t, s, "i-0"), newNoticeReplica(t, s, "i-1")}
	routers := s.startThree()
	for _, k := range replicas {
		k.announceLimit(1)
	}
	load(t, routers, 10, limitGrace)
	for _, n := range routers {
		n.kill()
		n.start()
		eventually(t, "a ready router", n.isReady)
	}
	const duration = limitGrace + 4*time.Second
	for _, k := range replicas {
		k.announceLimit(1)
	}
	load(t, routers, 10, duration)
	for _, k := range replicas {
		checkLimit(t, k, 1, duration)
		k.respondWith(http.StatusOK, func(http.Header) {})
	}
	const learn = 6 * time.Second
	load(t, routers, 10, learn)
	if outcomes := load(t, routers, 10, time.Second); slices.ContainsFunc(outcomes, func(o outcome) bool { return o.status != http.StatusOK }) {
		t.Errorf("callers are rejected %s after the limits have ended: %+v", learn, outcomes)
	}
}

const (
	// backOffGrace is the time after a replica has asked for back-off in which its notice may still
	// be on its way, and backOffSlack the number of requests that it may get from there to the end
	// of the back-off.
	backOffGrace = 500 * time.Millisecond
	backOffSlack = 2
)

// maxInBackOff returns the maximum number of requests that a replica got within one back-off, if it
// asked for one with each answer.
func maxInBackOff(times []time.Time, backOff time.Duration) int {
	peak := 0
	for _, asked := range times {
		n := 0
		for _, at := range times {
			if since := at.Sub(asked); since > backOffGrace && since < backOff {
				n++
			}
		}
		peak = max(peak, n)
	}
	return peak
}

// TestReplicaBackOff lets replicas refuse requests and ask for back-off. It guards against routers
// that do not read how long: four ranks of twelve that backed off for nine seconds at a time looked
// idle and got three times as many requests as the others, up to 11 from one router in 3 s of
// back-off.
func TestReplicaBackOff(t *testing.T) {
	const duration = 8 * time.Second
	cases := map[string]struct {
		backingOff int
		status     int
		backOff    float64
	}{
		"one of three":                  {1, http.StatusServiceUnavailable, 3},
		"one of three, a fraction":      {1, http.StatusServiceUnavailable, 1.7},
		"one of three, by status 429":   {1, http.StatusTooManyRequests, 2},
		"all":                           {3, http.StatusServiceUnavailable, 3},
		"all, longer than callers wait": {3, http.StatusServiceUnavailable, 60},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newSite(t)
			s.store.Put(operatorStream, "config", operatorConfig(3, "k"))
			var replicas []*noticeReplica
			for i := range 3 {
				replicas = append(replicas, newNoticeReplica(t, s, fmt.Sprint("i-", i)))
			}
			a := s.router("a")
			eventually(t, "a served request", func() bool {
				status, _, _ := post(t.Context(), t, a.front, "/view/x", "k")
				return status == http.StatusOK
			})
			for _, k := range replicas[:c.backingOff] {
				k.respondWith(c.status, func(h http.Header) { h.Set("Retry-After", fmt.Sprint(c.backOff)) })
			}
			outcomes := load(t, map[string]*node{"a": a}, 20, duration)
			backOff := time.Duration(c.backOff * float64(time.Second))
			for _, k := range replicas[:c.backingOff] {
				peak := maxInBackOff(k.arrivalsAfter(0), backOff)
				t.Logf("%s: %d requests in a back-off of %s", k.id, peak, backOff)
				if peak > backOffSlack {
					t.Errorf("%s asked for %s of back-off and got %d requests in that time, want %d at most", k.id, backOff, peak, backOffSlack)
				}
			}
			checkOutcomes(t, outcomes, c.backingOff < len(replicas))
			if c.backingOff == len(replicas) {
				checkRetryAfter(t, outcomes, backOff)
			}
		})
	}
}

// checkRetryAfter checks that callers that were rejected while all replicas back off got a
// Retry-After after which a replica accepts requests, and most of them without delay. The first
// callers get the remainder of the back-offs that have just been requested.
func checkRetryAfter(t *testing.T, outcomes []outcome, backOff time.Duration) {
	t.Helper()
	early, slow := 0, 0
	for _, o := range outcomes {
		after, err := time.ParseDuration(o.header.Get("Retry-After") + "s")
		if err != nil || after < min(backOff, 30*time.Second)-3*time.Second {
			early++
		}
		if o.took > time.Second {
			slow++
		}
	}
	if early > len(outcomes)/10 || slow > len(outcomes)/2 {
		t.Errorf("of %d callers %d were told to retry while all replicas back off, and %d waited longer than 1s", len(outcomes), early, slow)
	}
}

// TestLeavingReplica lets a replica report in its answers that it is leaving, while the store lists
// it as ready. The router that got the report must send nothing more to it, whatever the store
// lists later, until its next run.
func TestLeavingReplica(t *testing.T) {
	s := newSite(t)
	s.store.Put(operatorStream, "config", operatorConfig(3, "k"))
	leaving, other := newNoticeReplica(t, s, "i-0"), newNoticeReplica(t, s, "i-1")
	a := s.router("a")
	routers := map[string]*node{"a": a}
	eventually(t, "requests at both", func() bool {
		post(t.Context(), t, a.front, "/view/x", "k")
		return len(leaving.arrivalsAfter(0)) > 0 && len(other.arrivalsAfter(0)) > 0
	})
	leaving.respondWith(http.StatusOK, func(h http.Header) { h.Set("Server-Leaving", "1") })
	eventually(t, "the notice of leaving", func() bool { post(t.Context(), t, a.front, "/view/x", "k"); return len(leaving.arrivalsAfter(0)) > 0 })
	checkLeft := func(when string) {
		leaving.respondWith(http.StatusOK, func(h http.Header) { h.Set("Server-Leaving", "1") })
		checkOutcomes(t, load(t, routers, 20, 2*time.Second), true)
		if n := len(leaving.arrivalsAfter(0)); n > 0 {
			t.Errorf("%s: %d requests at a replica that has reported that it is leaving", when, n)
		}
	}
	checkLeft("after its notice")
	s.store.Put(replicaStream, "i-0", "")
	s.store.Put(replicaStream, "i-0", fmt.Sprintf(`{"service":"ledger","address":%q,"zone":"a","slots":6,"state":"ready"}`, leaving.address))
	checkLeft("after its entry was removed and written again")
	startedAt := time.Now().UnixMilli()
	s.store.Put(replicaStream, "i-0", fmt.Sprintf(`{"service":"ledger","address":%q,"zone":"a","slots":6,"state":"ready","born":%d}`, leaving.address, startedAt))
	leaving.respondWith(http.StatusOK, func(http.Header) {})
	eventually(t, "a request at its next run", func() bool { post(t.Context(), t, a.front, "/view/x", "k"); return len(leaving.arrivalsAfter(0)) > 0 })
}
