// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package httpx

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"
)

// Server is an HTTP server on a listener that is already open.
type Server struct {
	http     *http.Server
	listener net.Listener
	done     chan struct{}
}

const (
	// headerTimeout bounds how long a caller may take to send a request's header. Callers on the
	// users' platform take at most three seconds.
	headerTimeout = 10 * time.Second
	// idleTimeout is how long a caller's connection may stay idle. It is longer than any catalog
	// requires.
	idleTimeout = 5 * time.Minute
	// maxHeader bounds the header of a request, in bytes.
	maxHeader = 64 << 10
)

// NewServer returns a server for h on l.
func NewServer(l net.Listener, h http.Handler) *Server {
	s := &Server{listener: l, done: make(chan struct{})}
	s.http = &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeader}
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
