// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package rpc carries net/rpc calls between fawnwinch processes, with deadlines and bounded
// connections.
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

	"fawnwinch.org/fawnwinch/modules/clock"
)

// DialTimeout bounds how long a connection attempt may take.
const DialTimeout = 500 * time.Millisecond

// Stats counts the control calls, and the bytes that they sent and received.
type Stats struct {
	Sent, Received, Calls atomic.Uint64
}

// maxSilence is how long a connection may receive nothing while calls on it time out, before it is
// considered dead and closed. A connection whose only call times out is closed at once.
const maxSilence = time.Second

// Pool keeps one connection to each peer. It is safe for concurrent use.
type Pool struct {
	Stats Stats

	methods methodCounter

	mu     sync.Mutex
	conns  map[string]*conn
	closed bool
}

// Methods returns the statistics of each method that was called.
func (p *Pool) Methods() map[string]MethodStats { return p.methods.snapshot() }

// conn is a connection to a peer, with its calls in flight.
type conn struct {
	client *rpc.Client
	// lastReceived is when bytes last arrived, in Unix nanoseconds.
	lastReceived atomic.Int64
	// pending counts the calls in flight, and lastUsed is when the latest one started. The pool's
	// lock guards both.
	pending  int
	lastUsed time.Time
}

// NewPool returns an empty pool.
func NewPool() *Pool { return &Pool{conns: map[string]*conn{}} }

// ErrNotSent wraps a failure before any byte of the call was sent.
type ErrNotSent struct{ Err error }

func (e ErrNotSent) Error() string { return "not sent: " + e.Err.Error() }

// Unwrap returns the cause.
func (e ErrNotSent) Unwrap() error { return e.Err }

// Call calls method at address and waits for the answer or the end of ctx. Reply is a pointer; it
// is set only if the call returns nil. A call that ends with ctx closes the connection, unless
// other calls are in flight on it and it has received bytes recently: a peer that is slow for one
// of them must not lose the others.
func (p *Pool) Call(ctx context.Context, address, method string, args, reply any) error {
	c, err := p.take(ctx, address)
	if err != nil {
		return ErrNotSent{Err: err}
	}
	p.Stats.Calls.Add(1)
	// The answer is decoded into a separate value: one that arrives after the end of ctx must not
	// change the caller's value.
	result := reflect.New(reflect.TypeOf(reply).Elem())
	call := c.client.Go(method, args, result.Interface(), make(chan *rpc.Call, 1))
	select {
	case done := <-call.Done:
		if done.Error == nil {
			reflect.ValueOf(reply).Elem().Set(result.Elem())
		}
		return p.finish(address, c, method, done.Error)
	case <-ctx.Done():
		if p.release(c) == 0 || clock.Since(time.Unix(0, c.lastReceived.Load())) > maxSilence {
			p.drop(address, c)
		}
		return fmt.Errorf("call %s at %s: %w", method, address, ctx.Err())
	}
}

// finish completes a call that was answered or whose connection has failed.
func (p *Pool) finish(address string, c *conn, method string, err error) error {
	p.release(c)
	if err == nil {
		return nil
	}
	var remote rpc.ServerError
	if !errors.As(err, &remote) {
		p.drop(address, c)
	}
	return fmt.Errorf("call %s at %s: %w", method, address, err)
}

// take returns the connection to a peer and counts one more call on it.
func (p *Pool) take(ctx context.Context, address string) (*conn, error) {
	if c, err := p.lookup(address); c != nil || err != nil {
		return c, err
	}
	d := net.Dialer{Timeout: DialTimeout}
	dialled, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("dial %s: %w", address, err)
	}
	c := &conn{}
	c.lastReceived.Store(clock.Now().UnixNano())
	c.client = rpc.NewClientWithCodec(newClientCodec(&countingConn{Conn: dialled, stats: &p.Stats, lastReceived: &c.lastReceived}, &p.methods))
	return p.store(address, c)
}

// lookup returns the existing connection to a peer, or nil.
func (p *Pool) lookup(address string) (*conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, net.ErrClosed
	}
	c, ok := p.conns[address]
	if !ok {
		return nil, nil
	}
	c.pending++
	c.lastUsed = clock.Now()
	return c, nil
}

// store adds a new connection to the pool, unless another goroutine was first, and returns the one
// in the pool.
func (p *Pool) store(address string, c *conn) (*conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		_ = c.client.Close()
		return nil, net.ErrClosed
	}
	if other, ok := p.conns[address]; ok {
		_ = c.client.Close()
		c = other
	}
	p.conns[address] = c
	c.pending++
	c.lastUsed = clock.Now()
	return c, nil
}

// release records the end of a call and returns how many others are in flight.
func (p *Pool) release(c *conn) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.pending--
	return c.pending
}

func (p *Pool) drop(address string, c *conn) {
	p.mu.Lock()
	if p.conns[address] == c {
		delete(p.conns, address)
	}
	p.mu.Unlock()
	_ = c.client.Close()
}

// Sweep closes connections that no call has used for longer than idle. The peers of a process
// change over time, and each connection takes about 50 KB at both ends.
func (p *Pool) Sweep(now time.Time, idle time.Duration) {
	p.mu.Lock()
	var idleConns []*conn
	for a, c := range p.conns {
		if c.pending == 0 && now.Sub(c.lastUsed) > idle {
			idleConns = append(idleConns, c)
			delete(p.conns, a)
		}
	}
	p.mu.Unlock()
	for _, c := range idleConns {
		_ = c.client.Close()
	}
}

// Len returns the number of connections in the pool.
func (p *Pool) Len() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.conns)
}

// Close closes all connections; later calls fail.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for a, c := range p.conns {
		_ = c.client.Close()
		delete(p.conns, a)
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

// Register publishes the exported methods of v under a name.
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

// countingConn counts the bytes of a connection in stats.
type countingConn struct {
	net.Conn
	stats *Stats
	// lastReceived is set to the time at which bytes last arrived, in Unix nanoseconds. It is nil
	// at a server, which does not check whether its peers are silent.
	lastReceived *atomic.Int64
}

func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.stats.Received.Add(uint64(max(n, 0)))
	if c.lastReceived != nil && n > 0 {
		c.lastReceived.Store(clock.Now().UnixNano())
	}
	return n, err //nolint:wrapcheck // callers compare with io.EOF
}

func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.stats.Sent.Add(uint64(max(n, 0)))
	return n, err //nolint:wrapcheck // the rpc codec inspects the error
}
