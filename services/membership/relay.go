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
// to: all that is known when it changes; the loads, as often as a budget of bytes allows; and in every
// heartbeat the few that have fallen silent. Who was told and is not named silent is alive.

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

// Relay holds what one message between routers tells about agents.
type Relay struct {
	// Reset says that what was told before no longer holds: a message may have been lost.
	Reset bool
	Full  []Digest
	Loads []LoadDigest
	// Silent lists agents that were told and have not proved lately that they are awake.
	Silent []upstream.ID
}

const (
	// loadBytes is about what one LoadDigest takes on the wire.
	loadBytes = 45
	// loadBudget is what a router spends on load digests, in bytes a second.
	loadBudget = 12000
)

// loadInterval is the time between two tellings of all loads to all peers, within the budget.
func loadInterval(i Interval, agents, peers int) time.Duration {
	need := time.Duration(agents*peers*loadBytes) * time.Second / loadBudget
	return max(i.Beat(), need)
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
	peers map[string]*toldPeer
}

// toldPeer is what one peer was told.
type toldPeer struct {
	agents map[upstream.ID]toldOf
	// loadsAt is the time the peer was last told the loads.
	loadsAt time.Time
}

// NewOutbox returns an outbox that has told nobody anything.
func NewOutbox() *Outbox { return &Outbox{peers: map[string]*toldPeer{}} }

// Forget drops what a peer was told: it did not answer, or it has restarted.
func (o *Outbox) Forget(peer string) { delete(o.peers, peer) }

// For makes the message for a peer about the agents that beat to this router.
func (o *Outbox) For(now time.Time, peer string, t *Table) Relay {
	p, ok := o.peers[peer]
	if !ok {
		p = &toldPeer{agents: map[upstream.ID]toldOf{}}
		o.peers[peer] = p
	}
	out := Relay{Reset: !ok}
	var loads []LoadDigest
	for id, r := range t.agents {
		age := now.Sub(r.proved)
		k, told := p.agents[id]
		if r.proved.IsZero() || age > t.interval.Proved() {
			if told {
				out.Silent = append(out.Silent, id)
				delete(p.agents, id)
			}
			continue
		}
		f := r.print
		if told && k.fingerprint == f && now.Sub(k.at) < refreshEvery {
			loads = append(loads, LoadDigest{Upstream: id, Seq: r.beat.Seq, Age: age, Load: r.beat.Load})
			continue
		}
		p.agents[id] = toldOf{fingerprint: f, at: now}
		out.Full = append(out.Full, Digest{Beat: r.beat, Age: age})
	}
	if now.Sub(p.loadsAt) >= loadInterval(t.interval, len(loads), len(o.peers)) {
		out.Loads, p.loadsAt = loads, now
	}
	return out
}

// Fingerprint covers all of a heartbeat but its load and its marks. It is never 0.
func (b *Beat) Fingerprint() uint64 {
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
	return max(h.Sum64(), 1)
}

// Shorten returns the heartbeat without the fields that a router has already.
func (b *Beat) Shorten() Beat {
	return Beat{
		Upstream: b.Upstream, Incarnation: b.Incarnation, Service: b.Service, Seq: b.Seq, Brief: true,
		Load: b.Load, Known: b.Known, Echo: b.Echo, Stamp: b.Stamp,
	}
}

// Relay takes in what another router tells, and returns the upstreams whose load is news.
func (t *Table) Relay(now time.Time, from string, m Relay) []upstream.ID {
	heard, ok := t.heard[from]
	if !ok || m.Reset {
		heard = map[upstream.ID]upstream.Incarnation{}
		t.heard[from] = heard
	}
	var news []upstream.ID
	for _, d := range m.Full {
		heard[d.Beat.Upstream] = d.Beat.Incarnation
		if t.relayFull(now, d) {
			news = append(news, d.Beat.Upstream)
		}
	}
	for _, id := range m.Silent {
		delete(heard, id)
	}
	for _, d := range m.Loads {
		r, ok := t.agents[d.Upstream]
		if ok && d.Seq > r.beat.Seq {
			r.beat.Load, r.beat.Seq = d.Load, d.Seq
			r.loadAt = now.Add(-d.Age)
			news = append(news, d.Upstream)
		}
	}
	for id, incarnation := range heard {
		if r, ok := t.agents[id]; ok && r.beat.Incarnation == incarnation {
			r.seen(now.Add(-t.interval.Proved()))
		}
	}
	return news
}

func (t *Table) relayFull(now time.Time, d Digest) bool {
	r, ok := t.agents[d.Beat.Upstream]
	if ok && d.Beat.Incarnation < r.beat.Incarnation && now.Sub(r.lastBeat) < t.interval.Suspect() {
		return false
	}
	if !ok || r.beat.Incarnation != d.Beat.Incarnation {
		r = &record{first: now}
		t.agents[d.Beat.Upstream] = r
	} else if d.Beat.Seq <= r.beat.Seq {
		return false
	}
	r.take(now, d.Beat)
	r.loadAt = now.Add(-d.Age)
	r.seen(r.loadAt)
	return true
}

// seen notes that the agent was awake at a time.
func (r *record) seen(at time.Time) {
	if at.After(r.lastBeat) {
		r.lastBeat = at
	}
}
