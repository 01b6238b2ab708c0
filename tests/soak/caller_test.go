// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package soak

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"
)

// callerCount is the number of callers, each with one request at a time.
const callerCount = 12

// kind is the kind of a call; except for kindProbe it is also the name of the route.
type kind string

const (
	kindUnsafe kind = "peek"
	kindSafe   kind = "view"
	kindStream kind = "draft"
	kindProbe  kind = "probe"
	// kindUrgent and kindBatch are streams of the ranked model service, more and less urgent than
	// kindStream.
	kindUrgent kind = "rush"
	kindBatch  kind = "bulk"
)

// call is one request of a caller.
type call struct {
	id, key, path string
	kind          kind
	// version is the configuration version that a call of kindProbe tests. keyVersion is the
	// version whose key the call uses; 0 for the permanent key.
	version, keyVersion int
	// bad is the part of its prompt that crashes replicas; empty for none.
	bad    string
	router *router
	// start is the number of restarts of the router when the call was sent.
	start         int
	sent, endedAt time.Time
	// leavesEarly reports whether the caller disconnects early.
	leavesEarly bool
	status      int
	err         error
	// ranAt holds the replicas that ran the call, and answered reports whether one of them sent its
	// complete answer.
	ranAt    []*replica
	answered bool
	// from is the replica whose answer was passed on; limited and leaving are what that replica
	// reported about itself.
	from             string
	limited, leaving bool
}

// notRun holds the statuses that mean that a request has not run and will not run.
var notRun = map[int]bool{http.StatusServiceUnavailable: true, http.StatusTooManyRequests: true, http.StatusRequestTimeout: true, http.StatusMisdirectedRequest: true}

// caller sends calls to routers until ctx ends.
func (w *world) caller(ctx context.Context, n int) {
	rng := w.newRand(1000 + uint64(n))
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2}}
	var known []*router
	var until time.Time
	for i := 0; ctx.Err() == nil; i++ {
		if time.Now().After(until) || len(known) == 0 {
			if found := w.resolve(ctx, rng); len(found) > 0 || !hasStopFaults(w.seed) {
				known = found
			}
			until = time.Now().Add(time.Second)
		}
		if len(known) == 0 {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		c := w.newCall(rng, fmt.Sprintf("c%d-%d", n, i), known[rng.IntN(len(known))])
		w.send(ctx, client, rng, c)
		w.checkCall(c)
		time.Sleep(time.Duration(5+rng.IntN(30)) * time.Millisecond)
	}
	client.CloseIdleConnections()
}

// resolve asks a router which routers to use.
func (w *world) resolve(ctx context.Context, rng *rand.Rand) []*router {
	cctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	at := w.routers[rng.IntN(len(w.routers))]
	req, err := http.NewRequestWithContext(cctx, http.MethodGet, "http://"+at.directory+"/fawnwinch/resolve?name=h&region=r&zone=a", nil)
	if err != nil {
		return nil
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil
	}
	defer func() { _ = resp.Body.Close() }()
	var answer struct {
		Addresses []string `json:"addresses"`
	}
	if json.NewDecoder(resp.Body).Decode(&answer) != nil {
		return nil
	}
	var out []*router
	for _, r := range w.routers {
		for _, a := range answer.Addresses {
			if a == r.front {
				out = append(out, r)
			}
		}
	}
	return out
}

// newCall draws the parameters of a call.
func (w *world) newCall(rng *rand.Rand, id string, r *router) *call {
	w.mu.Lock()
	defer w.mu.Unlock()
	c := &call{id: id, key: "k", kind: kindSafe, router: r, start: r.starts}
	switch n := rng.IntN(20); {
	case n < 6:
		c.kind = kindUnsafe
	case n < 12:
		c.kind = kindStream
	case n == 19:
		c.kind = kindProbe
		c.version = w.configs[rng.IntN(len(w.configs))].version
	}
	if c.kind == kindStream && isRanked(w.seed) {
		c.kind = modelKinds[rng.IntN(len(modelKinds))]
	}
	if rng.IntN(8) == 0 {
		old := w.configs[max(0, len(w.configs)-1-rng.IntN(2*keptVersions))]
		c.key, c.keyVersion = old.key, old.version
	}
	c.path = "/" + string(c.kind) + "/x"
	if c.kind == kindProbe {
		c.path = "/" + probeOf(c.version) + "/x"
	}
	w.calls[id] = c
	return c
}

// callerTimeout is the deadline that callers set for their calls.
const callerTimeout = 4 * time.Second

// send sends a call and reads the answer. Some callers disconnect early.
func (w *world) send(ctx context.Context, client *http.Client, rng *rand.Rand, c *call) {
	wait := callerTimeout + time.Second
	if c.leavesEarly = rng.IntN(25) == 0; c.leavesEarly {
		wait = time.Duration(1+rng.IntN(100)) * time.Millisecond
	}
	cctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), wait)
	defer cancel()
	req, err := http.NewRequestWithContext(cctx, http.MethodPost, "http://"+c.router.front+c.path, strings.NewReader("body of "+c.id))
	if err != nil {
		w.fail("make request: %v", err)
		return
	}
	req.GetBody = nil // the HTTP client must not resend anything on its own
	req.Host = "h"
	req.Header.Set("X-Fawnwinch-Request-Id", c.id)
	req.Header.Set("X-Fawnwinch-Deadline-Ms", fmt.Sprint(callerTimeout.Milliseconds()))
	req.Header.Set("Api-Key", c.key)
	w.setSize(rng, c, req.Header)
	w.setParts(rng, c, req.Header)
	w.mu.Lock()
	c.sent = time.Now()
	w.mu.Unlock()
	resp, err := client.Do(req)
	if err != nil {
		c.err = err
		return
	}
	defer func() { _ = resp.Body.Close() }()
	c.status, c.from = resp.StatusCode, resp.Header.Get("X-Replica")
	c.limited, c.leaving = resp.Header.Get("Server-Limit") != "", resp.Header.Get("Server-Leaving") != ""
	if c.status == http.StatusOK && resp.Header.Get("X-Fawnwinch-Request-Id") != c.id {
		w.fail("call %s got the answer to %q", c.id, resp.Header.Get("X-Fawnwinch-Request-Id"))
	}
	if c.kind.streams() && c.status == http.StatusOK {
		c.err = w.readStream(c, resp.Body)
		return
	}
	body, err := io.ReadAll(resp.Body)
	c.err = err
	if c.status == http.StatusOK && err == nil && resp.Header.Get("X-Fawnwinch-Response-Seal") != sealOf(c.id, body) {
		w.fail("call %s at %s got an answer of %d bytes that is not its replica's", c.id, c.router.name, len(body))
	}
}

// errIncompleteStream reports a stream that ended without its last event.
var errIncompleteStream = errors.New("stream ended without its last event")

// readStream reads a stream and checks that its events arrive in order, each once, all of this
// call, up to the last one.
func (w *world) readStream(c *call, body io.Reader) error {
	next := 1
	for in := bufio.NewScanner(body); ; {
		if !in.Scan() {
			switch {
			case in.Err() != nil:
				return fmt.Errorf("after event %d: %w", next-1, in.Err())
			case next != eventsOf(c.id)+1:
				w.fail("the stream of call %s looks complete after event %d of %d", c.id, next-1, eventsOf(c.id))
				return errIncompleteStream
			}
			return nil
		}
		line := in.Text()
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		if want := fmt.Sprintf("%s/%d", c.id, next); data != want {
			w.fail("the stream of call %s has event %q, want %q", c.id, data, want)
		}
		next++
	}
}
