// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package httpconn

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

// maxIdle bounds the connections that rest for one address.
const maxIdle = 32

// Pool keeps connections that rest. It is safe for use by several goroutines.
type Pool struct {
	// Opened counts the connections opened.
	Opened atomic.Uint64

	mu     sync.Mutex
	idle   map[string][]*Conn
	closed bool
}

// NewPool returns an empty pool.
func NewPool() *Pool { return &Pool{idle: map[string][]*Conn{}} }

// Take returns a connection to an address: one that rested, or a new one.
func (p *Pool) Take(ctx context.Context, now time.Time, address string) (c *Conn, reused bool, err error) {
	for {
		c := p.pop(address)
		if c == nil {
			break
		}
		if now.Before(c.idleUntil) && c.quiet() {
			return c, true, nil
		}
		c.Close()
	}
	c, err = Dial(ctx, address)
	if err == nil {
		p.Opened.Add(1)
	}
	return c, false, err
}

func (p *Pool) pop(address string) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[address] = list[:len(list)-1]
	return c
}

// Give puts a connection back that may rest for a time. One that still sends is closed.
func (p *Pool) Give(now time.Time, c *Conn, rest time.Duration) {
	if !c.sentWhole() || c.reader.Buffered() > 0 {
		c.Close()
		return
	}
	c.idleUntil = now.Add(rest)
	p.rest(c)
}

// rest keeps a connection, if there is room.
func (p *Pool) rest(c *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || len(p.idle[c.Address]) >= maxIdle {
		c.Close()
		return
	}
	p.idle[c.Address] = append(p.idle[c.Address], c)
}

// Reach tries to open a connection to an address, and keeps it for the next request. An error that is ECONNREFUSED says that
// nobody listens there.
func (p *Pool) Reach(ctx context.Context, now time.Time, address string) error {
	c, err := Dial(ctx, address)
	if err != nil {
		return err
	}
	p.Opened.Add(1)
	c.idleUntil = now.Add(defaultRest)
	p.rest(c)
	return nil
}

// Drop closes what rests for an address.
func (p *Pool) Drop(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle[address] {
		c.Close()
	}
	delete(p.idle, address)
}

// Sweep closes what has rested for too long.
func (p *Pool) Sweep(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for a, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Before(c.idleUntil) {
				kept = append(kept, c)
				continue
			}
			c.Close()
		}
		p.idle[a] = kept
	}
}

// Close closes all resting connections; later ones are closed when they are given back.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for a, list := range p.idle {
		for _, c := range list {
			c.Close()
		}
		delete(p.idle, a)
	}
}
