// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package integration

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"fawnwinch.org/fawnwinch/models/request"
)

// TestEndToEnd serves model and plain requests end to end with real processes.
func TestEndToEnd(t *testing.T) {
	c := newCluster(t, options{routers: 2, groups: 1, ranks: 3, plains: 2})
	for r := range c.routers {
		for _, stream := range []bool{false, true} {
			prompt := fmt.Sprintf("memo %d %t", r, stream)
			text, end := c.chat(r, "large", prompt, 20, stream)
			if end.outcome != request.OutcomeAnswered || text != wantText(prompt, 20) {
				t.Errorf("router %d, stream %t: outcome %s (%s), text %q", r, stream, end.outcome, end.reason, text)
			}
		}
		key := fmt.Sprintf("key-%d", r)
		if got := c.hold(r, "small", key, 10*time.Second); got.outcome != request.OutcomeAnswered {
			t.Errorf("hold: %+v", got)
		}
	}
	first := c.hold(0, "small", "same", 10*time.Second)
	again := c.hold(1, "small", "same", 10*time.Second)
	if first.body != again.body || again.outcome != request.OutcomeAnswered {
		t.Errorf("retry at another router: got %q, want the stored answer %q", again.body, first.body)
	}
	other := c.hold(1, "large", "same", 10*time.Second)
	if other.body == first.body {
		t.Errorf("another account read a stored answer: %q", other.body)
	}
	for key, n := range c.effects() {
		if n != 1 {
			t.Errorf("key %s had %d effects", key, n)
		}
	}
	var a struct{ Routers []string }
	if err := getJSON(c.routers[0]+"/api/v1/endpoints", "small", &a); err != nil || len(a.Routers) != 2 {
		t.Errorf("endpoints: %v %v", a, err)
	}
}

// TestBadInput checks that the answer to bad input names its field and value, and that the request
// reaches no upstream.
func TestBadInput(t *testing.T) {
	c := newCluster(t, options{routers: 1, groups: 1, ranks: 2, plains: 1})
	cases := map[string]struct {
		method, path, token string
		header              map[string]string
		body                string
		status              int
		want                string
	}{
		"no token":       {"POST", "/v1/chat/completions", "nobody", nil, "{}", http.StatusUnauthorized, "Authorization"},
		"no operator":    {"GET", "/api/v1/status", "small", nil, "", http.StatusForbidden, "operator"},
		"not json":       {"POST", "/v1/chat/completions", "small", nil, "{", http.StatusBadRequest, "body"},
		"no model":       {"POST", "/v1/chat/completions", "small", nil, `{"model":"x"}`, http.StatusNotFound, `\"x\"`},
		"no key":         {"POST", "/svc/ledger/v1/holds", "small", nil, "", http.StatusBadRequest, request.HeaderKey},
		"bad time":       {"POST", "/svc/ledger/v1/holds", "small", map[string]string{"Fawnwinch-Timeout-Ms": "soon"}, "", http.StatusBadRequest, "soon"},
		"bad intent":     {"POST", "/api/v1/plans", "operator", nil, "version: 1\nshares: 3\n", http.StatusBadRequest, "shares"},
		"intent value":   {"POST", "/api/v1/plans", "operator", nil, "version: 7\n", http.StatusBadRequest, "Version"},
		"long key":       {"POST", "/svc/ledger/v1/holds", "small", map[string]string{request.HeaderKey: strings.Repeat("k", 300)}, "", http.StatusBadRequest, "longer"},
		"no plan":        {"POST", "/api/v1/plans/confirm", "operator", nil, "{}", http.StatusBadRequest, "plan.intent"},
		"since is wrong": {"GET", "/api/v1/timeline?since=today", "operator", nil, "", http.StatusBadRequest, "since"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			resp, raw, err := do(tc.method, c.routers[0]+tc.path, tc.token, tc.header, []byte(tc.body))
			if err != nil || resp.StatusCode != tc.status || !strings.Contains(string(raw), tc.want) {
				t.Errorf("got %v %v %s, want %d and %q", err, resp, raw, tc.status, tc.want)
			}
		})
	}
	if e := c.effects(); len(e) != 0 {
		t.Errorf("bad requests had effects: %v", e)
	}
}

// TestIncompleteBody guards against a router that waits forever for the rest of a body.
func TestIncompleteBody(t *testing.T) {
	c := newCluster(t, options{routers: 1, plains: 1})
	conn, err := net.Dial("tcp", c.routers[0])
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	if err := conn.SetDeadline(time.Now().Add(20 * time.Second)); err != nil {
		t.Fatal(err)
	}
	head := "POST /svc/ledger/v1/holds HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer small\r\nIdempotency-Key: k\r\nFawnwinch-Timeout-Ms: 500\r\nContent-Length: 10\r\n\r\n{"
	if _, err := io.WriteString(conn, head); err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if outcome := resp.Header.Get(request.HeaderOutcome); resp.StatusCode != http.StatusRequestTimeout || outcome != string(request.OutcomeNotRun) || !resp.Close {
		t.Errorf("status %d, outcome %q, connection closes: %t", resp.StatusCode, outcome, resp.Close)
	}
	if n := len(c.effects()); n > 0 {
		t.Errorf("%d effects", n)
	}
}
