// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package membership

import (
	"fmt"
	"slices"
	"time"

	"fawnwinch.org/fawnwinch/models/request"
	"fawnwinch.org/fawnwinch/models/upstream"

	"github.com/cespare/xxhash/v2"
)

// An agent beats to a few routers, its homes. Routers tell each other about the agents they are home
// to: all that is known when it changes, and the load alone otherwise.

// Digest tells a router about an agent that beats elsewhere.
type Digest struct {
	Beat Beat
	// Age is the time since the agent last proved that it is awake.
	Age time.Duration
}

// LoadDigest is the part of a Digest that changes all the time.
type LoadDigest struct {
	Upstream upstream.ID
	Seq      uint64
	Age      time.Duration
	Load     Load
}

// Relay holds the digests of one message between routers.
type Relay struct {
	Full  []Digest
	Loads []LoadDigest
}

// refreshEvery is the time after which all is told again even if nothing has changed.
const refreshEvery = 10 * time.Second

// told is what a peer was last told in full about one agent.
type toldOf struct {
	fingerprint uint64
	at          time.Time
}

// Outbox remembers what each peer was told, for one router. It does no I/O and reads no clock.
type Outbox struct {
	peers map[string]map[upstream.ID]toldOf
}

// NewOutbox returns an outbox that has told nobody anything.
func NewOutbox() *Outbox { return &Outbox{peers: map[string]map[upstream.ID]toldOf{}} }

// Forget drops what a peer was told: it did not answer, or it has restarted.
func (o *Outbox) Forget(peer string) { delete(o.peers, peer) }

// For makes the message for a peer about the agents that beat to this router.
func (o *Outbox) For(now time.Time, peer string, t *Table) Relay {
	known, ok := o.peers[peer]
	if !ok {
		known = map[upstream.ID]toldOf{}
		o.peers[peer] = known
	}
	var out Relay
	for id, r := range t.agents {
		age := now.Sub(r.proved)
		if r.proved.IsZero() || age > SuspectAfter {
			continue
		}
		f := fingerprint(r.beat)
		if k, ok := known[id]; ok && k.fingerprint == f && now.Sub(k.at) < refreshEvery {
			out.Loads = append(out.Loads, LoadDigest{Upstream: id, Seq: r.beat.Seq, Age: age, Load: r.beat.Load})
			continue
		}
		known[id] = toldOf{fingerprint: f, at: now}
		out.Full = append(out.Full, Digest{Beat: r.beat, Age: age})
	}
	return out
}

// fingerprint covers all of a heartbeat but its load and its marks.
func fingerprint(b Beat) uint64 {
	h := xxhash.New()
	_, _ = fmt.Fprintf(h, "%s %s %s %s %s %t %s %d", b.Incarnation, b.RPC, b.HTTP, b.Engine, b.DataCentre, b.ChecksFence, b.State, b.Revision)
	slicesOwned := make([]int, 0, len(b.Owned))
	for s := range b.Owned {
		slicesOwned = append(slicesOwned, int(s))
	}
	slices.Sort(slicesOwned)
	for _, s := range slicesOwned {
		_, _ = fmt.Fprintf(h, " %d:%d", s, b.Owned[request.Slice(s)])
	}
	return h.Sum64()
}

// Relay takes in what another router tells, and returns the upstreams whose load is news.
func (t *Table) Relay(now time.Time, m Relay) []upstream.ID {
	var news []upstream.ID
	for _, d := range m.Full {
		if t.relayFull(now, d) {
			news = append(news, d.Beat.Upstream)
		}
	}
	for _, d := range m.Loads {
		r, ok := t.agents[d.Upstream]
		if !ok || d.Seq <= r.beat.Seq {
			continue
		}
		r.beat.Load, r.beat.Seq = d.Load, d.Seq
		r.seen(now.Add(-d.Age))
		news = append(news, d.Upstream)
	}
	return news
}

func (t *Table) relayFull(now time.Time, d Digest) bool {
	r, ok := t.agents[d.Beat.Upstream]
	if ok && d.Beat.Incarnation < r.beat.Incarnation && now.Sub(r.lastBeat) < SuspectAfter {
		return false
	}
	if !ok || r.beat.Incarnation != d.Beat.Incarnation {
		r = &record{first: now}
		t.agents[d.Beat.Upstream] = r
	} else if d.Beat.Seq <= r.beat.Seq {
		return false
	}
	r.take(now, d.Beat)
	r.seen(now.Add(-d.Age))
	return true
}

// seen notes that the agent was awake at a time.
func (r *record) seen(at time.Time) {
	if at.After(r.lastBeat) {
		r.lastBeat = at
	}
}
