// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package rpc carries net/rpc calls between fawnwinch processes, with deadlines and bounded connections.
package rpc

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/rpc"
	"reflect"
	"sync"
	"sync/atomic"
	"time"
)

// DialTimeout bounds how long a connection attempt may take.
const DialTimeout = 500 * time.Millisecond

// Stats counts what control calls have sent and received, in bytes and calls.
type Stats struct {
	Sent, Received, Calls atomic.Uint64
}

// Pool keeps one connection to each peer. It is safe for use by several goroutines.
type Pool struct {
	Stats Stats

	mu      sync.Mutex
	clients map[string]*rpc.Client
	closed  bool
}

// NewPool returns an empty pool.
func NewPool() *Pool { return &Pool{clients: map[string]*rpc.Client{}} }

// ErrNotSent wraps a failure before any byte of the call was sent.
type ErrNotSent struct{ Err error }

func (e ErrNotSent) Error() string { return "not sent: " + e.Err.Error() }

// Unwrap returns the cause.
func (e ErrNotSent) Unwrap() error { return e.Err }

// Call calls method at address and waits until the answer or the end of ctx.
// Reply is a pointer; it is set only if the call returns nil. A call that ends with ctx closes the connection.
func (p *Pool) Call(ctx context.Context, address, method string, args, reply any) error {
	client, err := p.client(ctx, address)
	if err != nil {
		return ErrNotSent{Err: err}
	}
	p.Stats.Calls.Add(1)
	// The answer is decoded into a value of its own: one that comes after the end of ctx, while the
	// connection is being closed, must not change what the caller holds by then.
	own := reflect.New(reflect.TypeOf(reply).Elem())
	call := client.Go(method, args, own.Interface(), make(chan *rpc.Call, 1))
	select {
	case done := <-call.Done:
		if done.Error == nil {
			reflect.ValueOf(reply).Elem().Set(own.Elem())
		}
		return p.finish(address, client, method, done.Error)
	case <-ctx.Done():
		p.drop(address, client)
		return fmt.Errorf("call %s at %s: %w", method, address, ctx.Err())
	}
}

func (p *Pool) finish(address string, client *rpc.Client, method string, err error) error {
	if err == nil {
		return nil
	}
	var remote rpc.ServerError
	if !errors.As(err, &remote) {
		p.drop(address, client)
	}
	return fmt.Errorf("call %s at %s: %w", method, address, err)
}

func (p *Pool) client(ctx context.Context, address string) (*rpc.Client, error) {
	p.mu.Lock()
	c, ok := p.clients[address]
	closed := p.closed
	p.mu.Unlock()
	if closed {
		return nil, net.ErrClosed
	}
	if ok {
		return c, nil
	}
	d := net.Dialer{Timeout: DialTimeout}
	conn, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("dial %s: %w", address, err)
	}
	return p.keep(address, rpc.NewClient(&countingConn{Conn: conn, stats: &p.Stats})), nil
}

// keep stores a new client unless another goroutine was faster.
func (p *Pool) keep(address string, c *rpc.Client) *rpc.Client {
	p.mu.Lock()
	defer p.mu.Unlock()
	if other, ok := p.clients[address]; ok || p.closed {
		_ = c.Close()
		if ok {
			return other
		}
		return c
	}
	p.clients[address] = c
	return c
}

func (p *Pool) drop(address string, c *rpc.Client) {
	p.mu.Lock()
	if p.clients[address] == c {
		delete(p.clients, address)
	}
	p.mu.Unlock()
	_ = c.Close()
}

// Close closes all connections; later calls fail.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for a, c := range p.clients {
		_ = c.Close()
		delete(p.clients, a)
	}
}

// Server serves net/rpc on one listener.
type Server struct {
	Stats Stats

	rpc      *rpc.Server
	listener net.Listener

	mu    sync.Mutex
	conns map[net.Conn]bool
	done  sync.WaitGroup
}

// NewServer returns a server on l. Register receivers before Start.
func NewServer(l net.Listener) *Server {
	return &Server{rpc: rpc.NewServer(), listener: l, conns: map[net.Conn]bool{}}
}

// Register offers the exported methods of v under a name.
func (s *Server) Register(name string, v any) error {
	if err := s.rpc.RegisterName(name, v); err != nil {
		return fmt.Errorf("register rpc %s: %w", name, err)
	}
	return nil
}

// Start accepts connections until Close.
func (s *Server) Start() {
	s.done.Go(func() {
		for {
			conn, err := s.listener.Accept()
			if err != nil {
				return
			}
			s.serve(&countingConn{Conn: conn, stats: &s.Stats})
		}
	})
}

func (s *Server) serve(conn net.Conn) {
	s.mu.Lock()
	s.conns[conn] = true
	s.mu.Unlock()
	s.done.Go(func() {
		s.rpc.ServeConn(conn)
		s.mu.Lock()
		delete(s.conns, conn)
		s.mu.Unlock()
	})
}

// Close stops accepting and closes all connections.
func (s *Server) Close() {
	_ = s.listener.Close()
	s.mu.Lock()
	for c := range s.conns {
		_ = c.Close()
	}
	s.mu.Unlock()
	s.done.Wait()
}

type countingConn struct {
	net.Conn
	stats *Stats
}

func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.stats.Received.Add(uint64(max(n, 0)))
	return n, err //nolint:wrapcheck // io.EOF must stay itself
}

func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.stats.Sent.Add(uint64(max(n, 0)))
	return n, err //nolint:wrapcheck // the rpc codec reads the error itself
}
