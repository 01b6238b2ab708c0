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

// An agent sends heartbeats to a few routers, its home routers. Routers gossip about the agents
// that they are home to: the full state when it changes; the loads as often as a byte budget
// allows; and in every heartbeat the agents that became silent. An agent that was reported and is
// not listed as silent is alive.

// Digest is the full state of an agent, sent to a router that does not receive its heartbeats.
type Digest struct {
	Beat Beat
	// Age is the time since the agent's last proof of liveness.
	Age time.Duration
}

// LoadDigest is the frequently changing part of a Digest.
type LoadDigest struct {
	Upstream upstream.ID
	Seq      uint64
	Age      time.Duration
	Load     Load
}

// Relay is the gossip about agents in one message between routers.
type Relay struct {
	// Reset reports whether earlier messages are void because one may have been lost.
	Reset bool
	Full  []Digest
	Loads []LoadDigest
	// Silent lists agents that were reported before and have sent no proof of liveness within
	// Interval.ProofMaxAge.
	Silent []upstream.ID
}

const (
	// loadBytes is the approximate size of one LoadDigest on the wire.
	loadBytes = 45
	// loadBytesPerSecond is the traffic limit of a router's load digests, in bytes per second.
	loadBytesPerSecond = 12000
)

// loadInterval returns the time between two reports of all loads to all peers, within the budget.
func loadInterval(i Interval, agents, peers int) time.Duration {
	need := time.Duration(agents*peers*loadBytes) * time.Second / loadBytesPerSecond
	return max(i.Heartbeat(), need)
}

// refreshInterval is the time after which the full state is sent again even if it has not changed.
const refreshInterval = 10 * time.Second

// sentDigest records the last full digest of one agent that a peer was sent.
type sentDigest struct {
	fingerprint uint64
	at          time.Time
}

// Outbox records what one router has sent to each peer. It does no I/O and reads no clock.
type Outbox struct {
	peers map[string]*peerRecord
}

// peerRecord records what one peer was sent.
type peerRecord struct {
	agents map[upstream.ID]sentDigest
	// loadsAt is the time at which the loads were last sent to the peer.
	loadsAt time.Time
}

// NewOutbox returns an outbox without any peer.
func NewOutbox() *Outbox { return &Outbox{peers: map[string]*peerRecord{}} }

// Forget drops the record of a peer that did not answer or has restarted.
func (o *Outbox) Forget(peer string) { delete(o.peers, peer) }

// Message builds the message for a peer about the agents that send heartbeats to this router.
func (o *Outbox) Message(now time.Time, peer string, t *Table) Relay {
	p, ok := o.peers[peer]
	if !ok {
		p = &peerRecord{agents: map[upstream.ID]sentDigest{}}
		o.peers[peer] = p
	}
	out := Relay{Reset: !ok}
	var loads []LoadDigest
	for id, r := range t.agents {
		age := now.Sub(r.provedAt)
		last, reported := p.agents[id]
		if r.provedAt.IsZero() || age > t.interval.ProofMaxAge() {
			if reported {
				out.Silent = append(out.Silent, id)
				delete(p.agents, id)
			}
			continue
		}
		fingerprint := r.fingerprint
		if reported && last.fingerprint == fingerprint && now.Sub(last.at) < refreshInterval {
			loads = append(loads, LoadDigest{Upstream: id, Seq: r.beat.Seq, Age: age, Load: r.beat.Load})
			continue
		}
		p.agents[id] = sentDigest{fingerprint: fingerprint, at: now}
		out.Full = append(out.Full, Digest{Beat: r.beat, Age: age})
	}
	if now.Sub(p.loadsAt) >= loadInterval(t.interval, len(loads), len(o.peers)) {
		out.Loads, p.loadsAt = loads, now
	}
	return out
}

// Fingerprint covers the fields of a heartbeat that seldom change, which excludes the load, Seq,
// Known, Echo and Stamp. It is never 0.
func (b *Beat) Fingerprint() uint64 {
	h := xxhash.New()
	_, _ = fmt.Fprintf(h, "%s %s %s %s %s %t %s %d", b.Incarnation, b.RPC, b.HTTP, b.Engine, b.DataCentre, b.ChecksFence, b.State, b.Revision)
	slicesOwned := make([]int, 0, len(b.Owned))
	for s := range b.Owned {
		slicesOwned = append(slicesOwned, int(s))
	}
	slices.Sort(slicesOwned)
	for _, s := range slicesOwned {
		_, _ = fmt.Fprintf(h, " %d:%d", s, b.Owned[request.KeySlice(s)])
	}
	return max(h.Sum64(), 1)
}

// Shorten returns the brief form of the heartbeat, without the fields that the router has already.
func (b *Beat) Shorten() Beat {
	return Beat{
		Upstream: b.Upstream, Incarnation: b.Incarnation, Service: b.Service, Seq: b.Seq, Brief: true,
		Load: b.Load, Known: b.Known, Echo: b.Echo, Stamp: b.Stamp,
	}
}

// ApplyRelay merges the gossip of another router and returns the upstreams whose load was updated.
func (t *Table) ApplyRelay(now time.Time, from string, m Relay) []upstream.ID {
	reported, ok := t.reportedBy[from]
	if !ok || m.Reset {
		reported = map[upstream.ID]upstream.Incarnation{}
		t.reportedBy[from] = reported
	}
	var updated []upstream.ID
	for _, d := range m.Full {
		reported[d.Beat.Upstream] = d.Beat.Incarnation
		if t.relayFull(now, d) {
			updated = append(updated, d.Beat.Upstream)
		}
	}
	for _, id := range m.Silent {
		delete(reported, id)
	}
	for _, d := range m.Loads {
		r, ok := t.agents[d.Upstream]
		if ok && d.Seq > r.beat.Seq {
			r.beat.Load, r.beat.Seq = d.Load, d.Seq
			r.loadAt = now.Add(-d.Age)
			updated = append(updated, d.Upstream)
		}
	}
	for id, incarnation := range reported {
		if r, ok := t.agents[id]; ok && r.beat.Incarnation == incarnation {
			r.recordAlive(now.Add(-t.interval.ProofMaxAge()))
		}
	}
	return updated
}

func (t *Table) relayFull(now time.Time, d Digest) bool {
	r, ok := t.agents[d.Beat.Upstream]
	if ok && d.Beat.Incarnation < r.beat.Incarnation && now.Sub(r.lastBeat) < t.interval.SuspectAfter() {
		return false
	}
	if !ok || r.beat.Incarnation != d.Beat.Incarnation {
		r = &record{firstSeen: now}
		t.agents[d.Beat.Upstream] = r
	} else if d.Beat.Seq <= r.beat.Seq {
		return false
	}
	r.store(now, d.Beat)
	r.loadAt = now.Add(-d.Age)
	r.recordAlive(r.loadAt)
	return true
}

// recordAlive records that the agent was alive at a time.
func (r *record) recordAlive(at time.Time) {
	if at.After(r.lastBeat) {
		r.lastBeat = at
	}
}
