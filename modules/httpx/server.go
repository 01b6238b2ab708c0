// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package httpx

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"fawnwinch.org/fawnwinch/modules/clock"
)

// Server is an HTTP server on a listener that is already open.
type Server struct {
	http     *http.Server
	listener net.Listener
	done     chan struct{}
	conns    *Connections
	// active is the number of connections with a request that is being answered. It is guarded by the
	// lock of conns.
	active int
}

const (
	// headerTimeout bounds how long a caller may take to send a request's header. Callers on the
	// users' platform take at most three seconds.
	headerTimeout = 10 * time.Second
	// MaxIdleTimeout is how long a connection may rest where no shorter time is set.
	MaxIdleTimeout = 5 * time.Minute
	// maxHeader bounds the header of a request, in bytes.
	maxHeader = 64 << 10
)

// NewServer returns a server for h on l, whose connections share the given table with those of other
// servers of the process.
func NewServer(l net.Listener, h http.Handler, conns *Connections) *Server {
	s := &Server{listener: l, done: make(chan struct{}), conns: conns}
	s.http = &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: MaxIdleTimeout, MaxHeaderBytes: maxHeader, ConnState: func(c net.Conn, state http.ConnState) { conns.track(s, c, state) }}
	return s
}

// Start serves until Stop.
func (s *Server) Start() {
	go func() {
		defer close(s.done)
		_ = s.http.Serve(s.listener)
	}()
}

// Stop waits for requests in flight until ctx ends, then closes the remaining connections.
func (s *Server) Stop(ctx context.Context) error {
	err := s.http.Shutdown(ctx)
	if err != nil {
		_ = s.http.Close()
	}
	<-s.done
	if err != nil {
		return fmt.Errorf("stop http server: %w", err)
	}
	return nil
}

// StopAccepting closes the listener and the connections without a request, so that callers connect
// elsewhere. The other connections are closed after their answers.
func (s *Server) StopAccepting() {
	_ = s.listener.Close()
	<-s.done
	s.http.SetKeepAlivesEnabled(false)
}

// flushPollInterval is the interval at which Finish checks the connections.
const flushPollInterval = 5 * time.Millisecond

// Finish stops accepting, waits until no connection has a request, but no longer than the given
// time, and closes all connections. A handler that has returned may still have its answer in a
// buffer, which Close would drop.
func (s *Server) Finish(limit time.Duration) error {
	s.StopAccepting()
	for end := clock.Now().Add(limit); s.conns.activeOf(s) > 0 && clock.Now().Before(end); {
		time.Sleep(flushPollInterval)
	}
	return s.Close()
}

// Close closes all connections at once, including those with requests in flight.
func (s *Server) Close() error {
	err := s.http.Close()
	<-s.done
	if err != nil {
		return fmt.Errorf("close http server: %w", err)
	}
	return nil
}

// Addr returns the address the server listens on.
func (s *Server) Addr() string { return s.listener.Addr().String() }
