// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package httpx

import (
	"container/list"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"fawnwinch.org/fawnwinch/modules/clock"
)

const (
	// fileDescriptors is the number of descriptors that are kept for files.
	fileDescriptors = 200
	// callerFraction is the fraction of the others that connections of callers, and those to
	// upstreams for their requests, may use. The rest is for other processes and the store: in the
	// largest deployment a router has some 560 in all.
	callerFraction = 0.75
	// minConnections is the number of connections that are accepted however few descriptors there
	// are.
	minConnections = 32
)

// ConnCounts counts the connections of a process.
type ConnCounts struct {
	// Resting connections have no request, Active ones have one.
	Resting, Active int
	// Idle, Displaced and Refused count the connections that were closed because they had rested for
	// too long, because others needed their descriptors, and because no connection could be
	// displaced.
	Idle, Displaced, Refused uint64
}

// Connections tracks the connections that the servers of a process have accepted. It bounds the
// time for which they rest and the number of descriptors that they need. It is safe for concurrent
// use.
type Connections struct {
	limit int

	mu     sync.Mutex
	all    map[net.Conn]*trackedConn
	active int
	// resting holds the *trackedConn without a request that are not closing, those that have rested
	// longest first.
	resting list.List
	// closing counts those whose end was ordered.
	closing int
	counts  ConnCounts
}

// trackedConn is a connection of a server. While it rests, place is its element of the list.
type trackedConn struct {
	server          *Server
	conn            net.Conn
	since           time.Time
	place           *list.Element
	active, closing bool
}

// NewConnections returns an empty table for a process that may have a number of descriptors open. 0
// stands for the limit that the system has set.
func NewConnections(descriptors int) *Connections {
	if descriptors <= 0 {
		descriptors = descriptorLimit()
	}
	return &Connections{limit: max(int(callerFraction*float64(descriptors-fileDescriptors)), minConnections), all: map[net.Conn]*trackedConn{}}
}

// unknownDescriptors is assumed if the limit cannot be read: the usual one.
const unknownDescriptors = 1024

// descriptorLimit returns the number of descriptors that this process may have open.
func descriptorLimit() int {
	var l syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &l); err != nil {
		return unknownDescriptors
	}
	return int(min(l.Cur, 1<<30))
}

// Counts returns the present counts.
func (c *Connections) Counts() ConnCounts {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := c.counts
	out.Resting, out.Active = len(c.all)-c.active, c.active
	return out
}

// activeOf returns the number of connections of a server that have a request.
func (c *Connections) activeOf(s *Server) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return s.active
}

// track records the state of a connection of a server.
func (c *Connections) track(s *Server, conn net.Conn, state http.ConnState) {
	now := clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	t, known := c.all[conn]
	switch state {
	case http.StateNew:
		t = &trackedConn{server: s, conn: conn}
		c.all[conn] = t
		c.rest(now, t)
	case http.StateIdle:
		if known {
			c.rest(now, t)
		}
		return
	case http.StateActive:
		if known {
			c.activate(t)
		}
	case http.StateClosed, http.StateHijacked:
		if known {
			c.forget(t)
		}
		return
	}
	c.makeRoom(t)
}

// rest records that a connection has no request. The caller holds the lock.
func (c *Connections) rest(now time.Time, t *trackedConn) {
	c.deactivate(t)
	if !t.closing {
		t.since, t.place = now, c.resting.PushBack(t)
	}
}

// activate records that a connection has a request. The caller holds the lock.
func (c *Connections) activate(t *trackedConn) {
	if t.active {
		return
	}
	t.active = true
	c.active++
	t.server.active++
	if t.closing { // the request arrived before the order to close
		t.closing = false
		c.closing--
		// Otherwise the server's next read fails, which it takes for the end of the caller.
		_ = t.conn.SetReadDeadline(time.Time{})
	}
	c.unlist(t)
}

func (c *Connections) deactivate(t *trackedConn) {
	if t.active {
		t.active = false
		c.active--
		t.server.active--
	}
}

func (c *Connections) unlist(t *trackedConn) {
	if t.place != nil {
		c.resting.Remove(t.place)
		t.place = nil
	}
}

// forget removes a connection that has ended. The caller holds the lock.
func (c *Connections) forget(t *trackedConn) {
	c.unlist(t)
	delete(c.all, t.conn)
	c.deactivate(t)
	if t.closing {
		c.closing--
	}
}

// needed returns the number of descriptors that the connections need: one each, and one to an
// upstream for each request. The caller holds the lock.
func (c *Connections) needed() int { return len(c.all) - c.closing + c.active }

// makeRoom closes the connections that have rested longest while there are too many. The newest one
// is the last of them: it is refused if all others have requests. The caller holds the lock.
func (c *Connections) makeRoom(newest *trackedConn) {
	for c.needed() > c.limit {
		first := c.resting.Front()
		if first == nil {
			return // all connections have requests
		}
		t, _ := first.Value.(*trackedConn)
		if t == newest {
			c.counts.Refused++
			c.close(t)
			_ = t.conn.Close() // nothing was read from it
			return
		}
		c.counts.Displaced++
		c.close(t)
	}
}

// close orders the end of a resting connection. It is not closed at once: if a request has arrived
// on it, that is read and answered. The caller holds the lock.
func (c *Connections) close(t *trackedConn) {
	c.unlist(t)
	t.closing = true
	c.closing++
	interrupt(t.conn)
}

// interrupt ends the read that waits for the next request of a connection.
func interrupt(conn net.Conn) { _ = conn.SetReadDeadline(time.Unix(1, 0)) }

// Sweep closes the connections that have rested for idleTimeout.
func (c *Connections) Sweep(now time.Time, idleTimeout time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing > 0 {
		for _, t := range c.all {
			if t.closing {
				interrupt(t.conn) // the server may have set another deadline meanwhile
			}
		}
	}
	for first := c.resting.Front(); first != nil; first = c.resting.Front() {
		t, _ := first.Value.(*trackedConn)
		if now.Sub(t.since) < idleTimeout {
			return
		}
		c.counts.Idle++
		c.close(t)
	}
}
