// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package httpconn

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

// maxIdle bounds the idle connections per address.
const maxIdle = 32

// Pool keeps idle connections. It is safe for concurrent use.
type Pool struct {
	// Opened counts the connections opened.
	Opened atomic.Uint64

	// maxIdleTime bounds how long a connection stays idle, whatever the peer allows.
	maxIdleTime time.Duration

	mu     sync.Mutex
	idle   map[string][]*Conn
	closed bool
}

// NewPool returns an empty pool. A connection is not used again once it has been idle for
// maxIdleTime.
func NewPool(maxIdleTime time.Duration) *Pool {
	return &Pool{maxIdleTime: maxIdleTime, idle: map[string][]*Conn{}}
}

// Take returns a connection to an address: an idle one if possible, otherwise a new one.
func (p *Pool) Take(ctx context.Context, now time.Time, address string) (c *Conn, reused bool, err error) {
	for {
		c := p.pop(address)
		if c == nil {
			break
		}
		if now.Before(c.idleUntil) && c.isIdle() {
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

// Put returns a connection that may stay idle for a time to the pool. A connection that is still
// sending is closed.
func (p *Pool) Put(now time.Time, c *Conn, idleTime time.Duration) {
	if !c.sentCompletely() || c.reader.Buffered() > 0 {
		c.Close()
		return
	}
	p.putIdle(now, c, idleTime)
}

// putIdle keeps an idle connection, or closes it if there is no room.
func (p *Pool) putIdle(now time.Time, c *Conn, idleTime time.Duration) {
	c.idleUntil = now.Add(min(idleTime, p.maxIdleTime))
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || len(p.idle[c.Address]) >= maxIdle {
		c.Close()
		return
	}
	p.idle[c.Address] = append(p.idle[c.Address], c)
}

// Preconnect opens a connection to an address and keeps it for the next request. An error that is
// ECONNREFUSED means that no process listens there.
func (p *Pool) Preconnect(ctx context.Context, now time.Time, address string) error {
	c, err := Dial(ctx, address)
	if err != nil {
		return err
	}
	p.Opened.Add(1)
	p.putIdle(now, c, defaultIdleTime)
	return nil
}

// CloseIdle closes the idle connections to an address.
func (p *Pool) CloseIdle(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle[address] {
		c.Close()
	}
	delete(p.idle, address)
}

// Sweep closes connections that have been idle for too long.
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

// Close closes all idle connections; connections returned later are closed at once.
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
