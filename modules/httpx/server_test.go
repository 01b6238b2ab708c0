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

// slowConn delays what is written to a connection until its gate is closed.
type slowConn struct {
	net.Conn
	gate <-chan struct{}
}

func (c slowConn) Write(p []byte) (int, error) {
	<-c.gate
	return c.Conn.Write(p)
}

type slowListener struct {
	net.Listener
	gate <-chan struct{}
}

func (l slowListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return slowConn{c, l.gate}, nil
}

func serve(t *testing.T, gate <-chan struct{}, h http.HandlerFunc) *Server {
	t.Helper()
	l, err := Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := NewServer(slowListener{l, gate}, h, NewConnections(0))
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

// TestFinish guards against an answer that is dropped because its handler has returned while the
// answer was still in a buffer.
func TestFinish(t *testing.T) {
	gate, handled := make(chan struct{}), make(chan struct{})
	s := serve(t, gate, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "an answer")
		close(handled)
	})
	c, in := dial(t, s)
	if _, err := io.WriteString(c, request); err != nil {
		t.Fatal(err)
	}
	<-handled
	finished := make(chan error, 1)
	go func() { finished <- s.Finish(10 * time.Second) }()
	select {
	case <-finished:
		t.Error("Finish returns before the answer is sent")
	case <-time.After(50 * time.Millisecond):
	}
	close(gate)
	if _, body, err := readAnswer(in); err != nil || body != "an answer" {
		t.Errorf("body %q, %v", body, err)
	}
	if err := <-finished; err != nil {
		t.Error(err)
	}
}

// TestFinishLimit checks that an answer which cannot be sent delays the end no longer than allowed.
func TestFinishLimit(t *testing.T) {
	gate, handled := make(chan struct{}), make(chan struct{})
	defer close(gate)
	s := serve(t, gate, func(http.ResponseWriter, *http.Request) { close(handled) })
	c, _ := dial(t, s)
	if _, err := io.WriteString(c, request); err != nil {
		t.Fatal(err)
	}
	<-handled
	begun := time.Now()
	if err := s.Finish(50 * time.Millisecond); err != nil {
		t.Error(err)
	}
	if took := time.Since(begun); took < 50*time.Millisecond || took > 5*time.Second {
		t.Errorf("Finish took %s", took)
	}
}

// TestStopAccepting checks what callers see when a server accepts no more connections: a request in
// flight is answered, a connection at rest is closed, and a new one is refused.
func TestStopAccepting(t *testing.T) {
	open := make(chan struct{})
	close(open)
	arrived, proceed := make(chan struct{}, 2), make(chan struct{})
	s := serve(t, open, func(w http.ResponseWriter, r *http.Request) {
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
	for end := time.Now().Add(10 * time.Second); s.conns.activeOf(s) > 1; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the server does not record that the connection rests")
		}
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
