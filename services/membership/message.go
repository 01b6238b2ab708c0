// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package membership tracks which routers and agents are alive, leaving or suspect. It combines
// three sources: the platform's VM list, which lags, direct heartbeats, and gossip of other
// routers.
package membership

import (
	"fmt"
	"time"

	"fawnwinch.org/fawnwinch/models/intent"
	"fawnwinch.org/fawnwinch/models/request"
	"fawnwinch.org/fawnwinch/models/service"
	"fawnwinch.org/fawnwinch/models/upstream"
	"fawnwinch.org/fawnwinch/models/vm"
	"fawnwinch.org/fawnwinch/modules/timeline"
	"fawnwinch.org/fawnwinch/services/once"

	"github.com/cespare/xxhash/v2"
)

// Interval is the time between two heartbeats of a process to one router. It is a setting with the
// same value at all processes; the other time limits of membership are multiples of it.
type Interval time.Duration

// Heartbeat returns the time between two heartbeats.
func (i Interval) Heartbeat() time.Duration { return time.Duration(i) }

// SuspectAfter returns the time without a heartbeat after which a process is suspect and gets no
// new work.
func (i Interval) SuspectAfter() time.Duration { return 5 * time.Duration(i) }

// ProofMaxAge returns the maximum age of an agent's last proof of liveness at which a router
// reports it to other routers as alive.
func (i Interval) ProofMaxAge() time.Duration { return 2 * time.Duration(i) }

// ForgetAfter is how long a process without heartbeats is kept in the tables.
const ForgetAfter = 10 * time.Minute

// Load is what an agent reports about its upstream.
type Load struct {
	// InFlight and Queued count requests at the agent.
	InFlight, Queued int
	// Running and Waiting count requests at the engine.
	Running, Waiting int
	// StepMicros is the mean duration of the group's latest steps, in microseconds.
	StepMicros int64
	// Step is the group's step count.
	Step uint64
	// Map is the version of the expert map of the rank.
	Map uint64
	// Skew is the ratio of the largest rank load of the group to the mean.
	Skew float64
	// Concurrency is the number of requests that the upstream processes at a time.
	Concurrency int
}

// Beat is the heartbeat of an agent to a router.
type Beat struct {
	Upstream    upstream.ID
	Incarnation upstream.Incarnation
	// Brief reports whether the fields that seldom change are left out because the router has them
	// already (Reply.Have).
	Brief bool
	// Seq numbers the heartbeats of an incarnation.
	Seq        uint64
	Service    service.ID
	DataCentre vm.DataCentre
	RPC, HTTP  string
	// Engine is the address of the upstream itself; ChecksFence reports whether it refuses orders with
	// an old fence.
	Engine      string
	ChecksFence bool
	State       upstream.State
	Revision    intent.Revision
	Load        Load
	Owned       map[request.KeySlice]once.Epoch
	// Known is the fingerprint of the lists in the router's latest full reply. Unchanged lists are not
	// sent again, since the traffic would grow with the square of the number of agents.
	Known uint64
	// Echo is the nonce of the router's latest reply; it proves that the agent is alive now.
	Echo  uint64
	Stamp timeline.Stamp
}

// RouterState is the state of a router.
type RouterState string

// The states of a router.
const (
	RouterReady    RouterState = "ready"
	RouterStarting RouterState = "starting"
	RouterLeaving  RouterState = "leaving"
)

// RouterInfo describes a router to other processes and to callers.
type RouterInfo struct {
	ID          string        `json:"id"`
	Incarnation string        `json:"incarnation"`
	DataCentre  vm.DataCentre `json:"data_centre"`
	RPC         string        `json:"rpc"`
	HTTP        string        `json:"http"`
	State       RouterState   `json:"state"`
}

// RouterBeat is the heartbeat of one router to another.
type RouterBeat struct {
	Info     RouterInfo
	Revision intent.Revision
	Anchored bool
	// LogAge is how long the log has been unreachable for the sender.
	LogAge time.Duration
	// Retired reports whether the sender is stopping and has sent no key without the log.
	Retired bool
	// Leaving lists upstreams that the sender has learned to be leaving.
	Leaving []upstream.ID
	// Lost lists routers that may have sent keys without the log before they stopped, as far as the
	// sender can tell.
	Lost []Lost
	// Agents holds the state of the agents that send heartbeats to the sender.
	Agents Relay
	// Known is the fingerprint of the list in the receiver's latest full reply.
	Known uint64
	Stamp timeline.Stamp
}

// Lost is a router whose register of sent keys is lost or unreachable.
type Lost struct {
	Incarnation string
	// Fresh is the time since the router last had contact with the log, as far as known.
	Fresh time.Duration
	// Gone is the time since the router was known to be dead, or 0 if it is not known to be dead.
	Gone time.Duration
}

// RouterReply answers a RouterBeat.
type RouterReply struct {
	Info     RouterInfo
	Revision intent.Revision
	Anchored bool
	LogAge   time.Duration
	// Lists is the fingerprint of Routers. Routers is empty if the receiver of the reply has that list
	// already.
	Lists   uint64
	Routers []RouterInfo
	Stamp   timeline.Stamp
}

// MemberInfo describes an agent to another agent of its service.
type MemberInfo struct {
	Owner       once.Owner
	HTTP        string
	Engine      string
	ChecksFence bool
	DataCentre  vm.DataCentre
	State       upstream.State
	Suspect     bool
}

// Reply answers a Beat.
type Reply struct {
	Nonce    uint64
	Revision intent.Revision
	// Have is the fingerprint of the agent's latest full heartbeat, or 0 if the router has none.
	Have uint64
	// Lists is the fingerprint of Routers and Members, which are empty if the agent has them already.
	Lists   uint64
	Routers []RouterInfo
	Members []MemberInfo
	// Leave reports whether the platform or the configuration removes the upstream.
	Leave bool
	Stamp timeline.Stamp
}

// Fingerprint returns a fingerprint of the lists of a reply. It is never 0.
func Fingerprint(routers []RouterInfo, members []MemberInfo) uint64 {
	h := xxhash.New()
	for _, r := range routers {
		_, _ = fmt.Fprintf(h, "%s %s %s %s\n", r.Incarnation, r.RPC, r.HTTP, r.State)
	}
	for _, m := range members {
		_, _ = fmt.Fprintf(h, "%s %s %s %s %s %t\n", m.Owner.Upstream, m.Owner.Incarnation, m.Owner.RPC, m.HTTP, m.State, m.Suspect)
	}
	return max(h.Sum64(), 1)
}
