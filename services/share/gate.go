// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package share

import (
	"context"
	"sync"
	"time"

	"fawnwinch.org/fawnwinch/models/account"
	"fawnwinch.org/fawnwinch/modules/clock"
)

// Gate admits requests in the order that a Queue decides. It is safe for use by several goroutines.
type Gate struct {
	mu    sync.Mutex
	queue *Queue
	last  Ticket
	calls map[Ticket]chan *Refusal
}

// NewGate returns a gate with an empty queue.
func NewGate(l Limits) *Gate {
	return &Gate{queue: NewQueue(l), calls: map[Ticket]chan *Refusal{}}
}

// SetWeights changes the shares.
func (g *Gate) SetWeights(s []account.Share) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.queue.SetWeights(s)
}

// Counts returns the numbers of running and waiting requests.
func (g *Gate) Counts() (run, wait int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.queue.Counts()
}

// Accounts returns all accounts with a share.
func (g *Gate) Accounts() []Account {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.queue.Accounts()
}

// Acquire waits until the request may run, and returns the function to call when it has ended.
// A refusal is final: the request has not run. It returns ctx's error if that ends first.
func (g *Gate) Acquire(ctx context.Context, it Item) (func(), *Refusal, error) {
	ch := make(chan *Refusal, 1)
	g.mu.Lock()
	g.last++
	it.Ticket = g.last
	g.calls[it.Ticket] = ch
	g.refuse(g.queue.Enqueue(clock.Now(), it))
	g.advance(clock.Now())
	g.mu.Unlock()
	select {
	case r := <-ch:
		if r != nil {
			return nil, r, nil
		}
		return func() { g.leave(it.Ticket) }, nil, nil
	case <-ctx.Done():
		g.abandon(it.Ticket, ch)
		return nil, nil, ctx.Err() //nolint:wrapcheck // the caller's own context
	}
}

// abandon cancels a request that may have been admitted in the meantime.
func (g *Gate) abandon(t Ticket, ch chan *Refusal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.calls, t)
	if g.queue.Cancel(t) {
		return
	}
	select {
	case <-ch:
	default:
	}
	g.queue.Done(clock.Now(), t)
	g.advance(clock.Now())
}

func (g *Gate) leave(t Ticket) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.queue.Done(clock.Now(), t)
	g.advance(clock.Now())
}

// advance admits the next requests. The caller holds the lock.
func (g *Gate) advance(now time.Time) {
	start, refused := g.queue.Next(now)
	g.refuse(refused)
	for _, it := range start {
		g.notify(it.Ticket, nil)
	}
}

func (g *Gate) refuse(list []Refusal) {
	for _, r := range list {
		g.notify(r.Ticket, &r)
	}
}

func (g *Gate) notify(t Ticket, r *Refusal) {
	if ch, ok := g.calls[t]; ok {
		ch <- r
		delete(g.calls, t)
	}
}
