// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package httpx

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

func serve(t *testing.T, h http.HandlerFunc) *Server {
	t.Helper()
	l, err := Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := NewServer(l, h)
	s.Start()
	t.Cleanup(func() { _ = s.Close() })
	return s
}

func dial(t *testing.T, s *Server) (net.Conn, *bufio.Reader) {
	t.Helper()
	c, err := net.Dial("tcp", s.Addr())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	if err := c.SetDeadline(time.Now().Add(10 * time.Second)); err != nil {
		t.Fatal(err)
	}
	return c, bufio.NewReader(c)
}

const request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"

func readAnswer(in *bufio.Reader) (*http.Response, string, error) {
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		return nil, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return resp, string(body), err
}

// TestStopAccepting checks what callers see when a server accepts no more connections: a request in
// flight is answered, a connection at rest is closed, and a new one is refused.
func TestStopAccepting(t *testing.T) {
	arrived, proceed := make(chan struct{}, 2), make(chan struct{})
	s := serve(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			arrived <- struct{}{}
			<-proceed
		}
		_, _ = io.WriteString(w, "an answer")
	})
	busy, busyIn := dial(t, s)
	if _, err := io.WriteString(busy, "GET /slow HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	<-arrived
	rests, restsIn := dial(t, s)
	if _, err := io.WriteString(rests, request); err != nil {
		t.Fatal(err)
	}
	if _, _, err := readAnswer(restsIn); err != nil {
		t.Fatal(err)
	}
	s.StopAccepting()
	if c, err := net.Dial("tcp", s.Addr()); err == nil {
		_ = c.Close()
		t.Error("a new connection is accepted")
	}
	if _, err := restsIn.ReadByte(); err != io.EOF {
		t.Errorf("the connection at rest: %v", err)
	}
	close(proceed)
	if resp, body, err := readAnswer(busyIn); err != nil || body != "an answer" || !resp.Close {
		t.Errorf("the request in flight: %q, %v", body, err)
	}
}
