// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package httpx

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"fawnwinch.org/fawnwinch/modules/clock"
)

// connServer is a server whose answers to /wait are delayed until the gate is closed.
type connServer struct {
	*Server
	t       *testing.T
	conns   *Connections
	gate    chan struct{}
	arrived chan struct{}
}

func newConnServer(t *testing.T, limit int) *connServer {
	t.Helper()
	l, err := Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &connServer{t: t, conns: NewConnections(0), gate: make(chan struct{}), arrived: make(chan struct{}, 16)}
	s.conns.limit = limit
	s.Server = NewServer(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/wait" {
			s.arrived <- struct{}{}
			<-s.gate
		}
		_, _ = io.WriteString(w, "an answer")
	}), s.conns)
	s.Start()
	t.Cleanup(func() { _ = s.Close() })
	return s
}

// connClient is a connection of a caller.
type connClient struct {
	t    *testing.T
	conn net.Conn
	in   *bufio.Reader
}

func (s *connServer) dial() *connClient {
	s.t.Helper()
	c, in := dial(s.t, s.Server)
	return &connClient{s.t, c, in}
}

// request makes a request and checks that it is answered.
func (c *connClient) request() {
	c.t.Helper()
	c.send("/")
	c.answered()
}

func (c *connClient) send(path string) {
	c.t.Helper()
	if _, err := io.WriteString(c.conn, "GET "+path+" HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		c.t.Fatal(err)
	}
}

func (c *connClient) answered() {
	c.t.Helper()
	if _, body, err := readAnswer(c.in); err != nil || body != "an answer" {
		c.t.Fatalf("body %q, %v", body, err)
	}
}

// closed checks that the server closes the connection without an answer.
func (c *connClient) closed() {
	c.t.Helper()
	if b, err := c.in.ReadByte(); err == nil {
		c.t.Fatalf("got %q, want the end of the connection", b)
	} else if ne, ok := errors.AsType[net.Error](err); ok && ne.Timeout() {
		c.t.Fatal("the connection is not closed")
	}
}

// await waits until the counts satisfy a condition.
func (s *connServer) await(what string, ok func(ConnCounts) bool) {
	s.t.Helper()
	for end := time.Now().Add(10 * time.Second); !ok(s.conns.Counts()); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			s.t.Fatalf("%s: %+v", what, s.conns.Counts())
		}
	}
}

// TestRestingConnections guards against descriptors that are used up by connections which callers
// have left to the server to close.
func TestRestingConnections(t *testing.T) {
	cases := map[string]struct {
		limit int
		play  func(s *connServer)
	}{
		"rested for too long": {5, func(s *connServer) {
			old := s.dial()
			old.request()
			fresh := s.dial()
			fresh.request()
			s.await("both rest", func(c ConnCounts) bool { return c.Resting == 2 && c.Active == 0 })
			s.conns.Sweep(clock.Now(), time.Hour)
			old.request()
			fresh.request()
			s.await("both rest", func(c ConnCounts) bool { return c.Active == 0 })
			s.conns.Sweep(clock.Now().Add(time.Hour), time.Hour)
			old.closed()
			fresh.closed()
			s.await("none is open", func(c ConnCounts) bool { return c.Resting == 0 && c.Idle == 2 })
		}},
		"a request is never too long at rest": {5, func(s *connServer) {
			busy := s.dial()
			busy.send("/wait")
			<-s.arrived
			s.conns.Sweep(clock.Now().Add(time.Hour), time.Minute)
			close(s.gate)
			busy.answered()
			busy.request()
		}},
		"displaced by another, the oldest first": {5, func(s *connServer) {
			var all []*connClient
			for range 4 {
				c := s.dial()
				c.request()
				s.await("it rests", func(c ConnCounts) bool { return c.Active == 0 })
				all = append(all, c)
			}
			all[0].request() // the second one has rested longest now
			s.await("it rests", func(c ConnCounts) bool { return c.Active == 0 })
			fifth := s.dial()
			fifth.request()
			all[1].closed()
			for _, c := range []*connClient{all[0], all[3], fifth} {
				c.request()
				s.await("it rests", func(c ConnCounts) bool { return c.Active == 0 })
			}
		}},
		"displaced by a request, which needs a descriptor too": {4, func(s *connServer) {
			var all []*connClient
			for range 4 {
				c := s.dial()
				c.request()
				s.await("it rests", func(c ConnCounts) bool { return c.Active == 0 })
				all = append(all, c)
			}
			all[3].send("/wait")
			<-s.arrived
			all[0].closed()
			close(s.gate)
			all[3].answered()
			all[2].request()
		}},
		"refused while all have requests": {4, func(s *connServer) {
			var busy []*connClient
			for range 2 {
				c := s.dial()
				c.send("/wait")
				<-s.arrived
				busy = append(busy, c)
			}
			s.dial().closed()
			s.await("one is refused", func(c ConnCounts) bool { return c.Refused == 1 })
			close(s.gate)
			for _, c := range busy {
				c.answered()
			}
			s.await("they rest", func(c ConnCounts) bool { return c.Active == 0 })
			s.dial().request()
		}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c.play(newConnServer(t, c.limit))
		})
	}
}

// TestRequestOnClosingConnection guards against a request that is lost because it arrives when its
// connection is to be closed.
func TestRequestOnClosingConnection(t *testing.T) {
	s := newConnServer(t, 100)
	lost, answered := 0, 0
	for range 300 {
		c := s.dial()
		c.request()
		swept := make(chan struct{})
		go func() {
			s.conns.Sweep(clock.Now(), 0)
			close(swept)
		}()
		_, _ = io.WriteString(c.conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		_, body, err := readAnswer(c.in)
		switch {
		case err == nil && body == "an answer":
			answered++
		case body != "":
			t.Fatalf("a part of an answer: %q, %v", body, err)
		default:
			lost++ // the connection was closed before the request was read
		}
		<-swept
		_ = c.conn.Close()
	}
	s.await("none is open", func(c ConnCounts) bool { return c.Resting == 0 && c.Active == 0 })
	s.conns.mu.Lock()
	defer s.conns.mu.Unlock()
	if s.conns.closing != 0 || s.conns.resting.Len() != 0 {
		t.Errorf("%d closing, %d listed without a connection", s.conns.closing, s.conns.resting.Len())
	}
	t.Logf("%d answered, %d closed before they were read", answered, lost)
}

// TestRequestBeforeClose guards against a request that is taken for one of a caller who has left,
// because its connection was ordered to close right after it was read.
func TestRequestBeforeClose(t *testing.T) {
	c := NewConnections(0)
	s := &Server{conns: c}
	client, server := net.Pipe()
	defer func() { _, _ = client.Close(), server.Close() }()
	c.track(s, server, http.StateNew)
	c.Sweep(clock.Now(), 0)
	c.track(s, server, http.StateActive)
	read := make(chan error, 1)
	go func() {
		_, err := server.Read(make([]byte, 1))
		read <- err
	}()
	if _, err := client.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	if err := <-read; err != nil {
		t.Errorf("a read after the request has arrived: %v", err)
	}
	if got := c.Counts(); got.Active != 1 || got.Resting != 0 || c.closing != 0 {
		t.Errorf("%+v, %d closing", got, c.closing)
	}
}
