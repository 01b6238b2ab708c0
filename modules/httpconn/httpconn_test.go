// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package httpconn_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"fawnwinch.org/fawnwinch/modules/httpconn"
	"fawnwinch.org/fawnwinch/modules/httpx/httpxtest"
)

const answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nKeep-Alive: timeout=5\r\n\r\nok"

func exchange(t *testing.T, p *httpconn.Pool, address string) bool {
	t.Helper()
	c, reused, err := p.Take(t.Context(), time.Now(), address)
	if err != nil {
		t.Fatal(err)
	}
	if err := c.Send(&httpconn.Request{Method: "POST", Target: "/x%2Fy?z", Host: "h", Header: http.Header{"A": {"b"}}, Body: []byte("hello")}); err != nil {
		t.Fatal(err)
	}
	resp, err := c.Receive("POST")
	if err != nil {
		t.Fatal(err)
	}
	if body, err := io.ReadAll(resp.Body); err != nil || string(body) != "ok" {
		t.Fatalf("body %q, %v", body, err)
	}
	if idleTime, ok := httpconn.Reusable(resp); ok {
		p.Put(time.Now(), c, idleTime)
	}
	return reused
}

// TestReuse checks which connections carry a second request.
func TestReuse(t *testing.T) {
	ready := make(chan struct{}, 4)
	serve := func(after func(c net.Conn)) func(net.Conn) {
		return func(c net.Conn) {
			in := bufio.NewReader(c)
			for {
				req, err := http.ReadRequest(in)
				if err != nil {
					return
				}
				if body, _ := io.ReadAll(req.Body); string(body) != "hello" || req.RequestURI != "/x%2Fy?z" || req.Header.Get("A") != "b" {
					t.Errorf("got %s, body %q", req.RequestURI, body)
				}
				_, _ = io.WriteString(c, answer)
				after(c)
				ready <- struct{}{}
			}
		}
	}
	cases := map[string]struct {
		after  func(c net.Conn)
		reused bool
	}{
		"an open one":                   {func(net.Conn) {}, true},
		"one that the peer has closed":  {func(c net.Conn) { _ = c.Close() }, false},
		"one on which more has arrived": {func(c net.Conn) { _, _ = io.WriteString(c, answer) }, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			p := httpconn.NewPool(time.Minute)
			defer p.Close()
			address := httpxtest.Serve(t, serve(c.after))
			exchange(t, p, address)
			<-ready
			if c.reused {
				if !exchange(t, p, address) {
					t.Error("a new connection was opened")
				}
				return
			}
			// The peer's action after its answer takes some time to arrive.
			for end := time.Now().Add(10 * time.Second); time.Now().Before(end); {
				conn, reused, err := p.Take(t.Context(), time.Now(), address)
				if err != nil {
					t.Fatal(err)
				}
				if !reused {
					conn.Close()
					return
				}
				p.Put(time.Now(), conn, time.Minute)
			}
			t.Error("the connection was used again")
		})
	}
}

// TestEarlyAnswer checks that an answer sent before a long request was read is received, and that
// the connection is not reused.
func TestEarlyAnswer(t *testing.T) {
	address := httpxtest.Serve(t, func(c net.Conn) { _, _ = io.WriteString(c, answer) })
	p := httpconn.NewPool(time.Minute)
	defer p.Close()
	c, _, err := p.Take(t.Context(), time.Now(), address)
	if err != nil {
		t.Fatal(err)
	}
	if err := c.Send(&httpconn.Request{Method: "POST", Target: "/", Host: "h", Body: []byte(strings.Repeat("x", 64<<20))}); err != nil {
		t.Fatal(err)
	}
	resp, err := c.Receive("POST")
	if err != nil || resp.StatusCode != http.StatusOK {
		t.Fatalf("answer: %v", err)
	}
	if err := httpconn.Drain(resp, 10); err != nil {
		t.Fatal(err)
	}
	p.Put(time.Now(), c, time.Minute)
	if other, reused, err := p.Take(t.Context(), time.Now(), address); err != nil || reused {
		t.Errorf("reused %t, %v", reused, err)
	} else {
		other.Close()
	}
}

// TestTakeWithoutListener checks that connecting to an address without a listener fails at once.
func TestTakeWithoutListener(t *testing.T) {
	p := httpconn.NewPool(time.Minute)
	if c, _, err := p.Take(t.Context(), time.Now(), "127.0.0.1:1"); err == nil || c != nil || p.Opened.Load() != 0 {
		t.Errorf("connection %v, %v", c, err)
	}
}

// TestIdleTime checks that a connection is reused only for as long as the peer and the pool allow:
// the peer may have closed it, or its VM may have frozen, so that nothing answers on it any more.
func TestIdleTime(t *testing.T) {
	cases := map[string]struct {
		peer, pool, idle time.Duration
		reused           bool
	}{
		"both allow it":         {time.Second, time.Second, time.Second - 1, true},
		"the peer does not":     {time.Second, 2 * time.Second, time.Second, false},
		"the pool does not":     {time.Second, 100 * time.Millisecond, 100 * time.Millisecond, false},
		"the pool only just":    {time.Second, 100 * time.Millisecond, 100*time.Millisecond - 1, true},
		"a peer without a time": {0, time.Second, 0, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			p := httpconn.NewPool(c.pool)
			defer p.Close()
			now := time.Now()
			address := httpxtest.Serve(t, func(net.Conn) {})
			conn, _, err := p.Take(t.Context(), now, address)
			if err != nil {
				t.Fatal(err)
			}
			p.Put(now, conn, c.peer)
			again, reused, err := p.Take(t.Context(), now.Add(c.idle), address)
			if err != nil || reused != c.reused {
				t.Errorf("reused: %t, %v, want %t", reused, err, c.reused)
			}
			if err == nil {
				again.Close()
			}
		})
	}
}
