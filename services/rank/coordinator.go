// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package rank

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"fawnwinch.org/fawnwinch/models/expertmap"
	"fawnwinch.org/fawnwinch/models/group"
	"fawnwinch.org/fawnwinch/modules/clock"
	"fawnwinch.org/fawnwinch/modules/sleep"
	"fawnwinch.org/fawnwinch/services"
	"fawnwinch.org/fawnwinch/services/balance"
	"fawnwinch.org/fawnwinch/services/election"
	"fawnwinch.org/fawnwinch/services/mapswitch"
	"fawnwinch.org/fawnwinch/services/peer"

	"github.com/rs/zerolog"
)

const (
	// pollInterval is the time between two poll rounds of the ranks. Demand shifts every few
	// seconds; the duration of a round is part of the time in which steps are too long.
	pollInterval = 70 * time.Millisecond
	// nodesInterval is the time between two reads of the list of processes.
	nodesInterval = 4 * time.Second
	// isolationTimeout is how long a coordinator continues that reaches less than half of the
	// ranks.
	isolationTimeout = 1500 * time.Millisecond
	// directInterval is the time between two direct requests to an engine whose agent is silent, as
	// they are paid for. At most maxDirect run at once: where many agents are silent, it is the
	// coordinator that is slow.
	directInterval = time.Second
	maxDirect      = 4
	// relayTimeout bounds a request that an agent relays to others, and lateAfter is the response
	// time from which the next round does not wait for the same part.
	relayTimeout = 2 * peerTimeout
	lateAfter    = 60 * time.Millisecond
	// reportTimeout bounds a report to a router.
	reportTimeout = 300 * time.Millisecond
)

// member is the coordinator's record of one rank.
type member struct {
	info   peer.Info
	status services.RankStatus
	// start identifies the start of the rank's agent.
	start Start
	// lastContact is the time of the latest status, sent that of the request for it, and directAt
	// that of the latest direct request.
	lastContact, sent, directAt time.Time
	// direct reports whether the latest status is the engine's answer to a direct request.
	direct bool
	// silent reports whether the rank gets no new requests because it does not answer.
	silent bool
	// pass is the rank's pass when the group was last checked for progress.
	pass group.Step
	// ended is the time of the latest request after which the agent has reported that the engine
	// has ended.
	ended  time.Time
	counts heldCounts
	known  bool
}

// coordinator holds the state of one agent's term as coordinator.
type coordinator struct {
	a *Agent
	// logger adds the group to each line: a service may have several.
	logger  zerolog.Logger
	own     election.Lead
	service string
	fence   services.Fence
	first   services.RankStatus
	// clusterView is the view in use; found is the latest that followNodes has read.
	clusterView
	found atomic.Pointer[clusterView]
	// members holds the ranks, in their order.
	members []*member
	planner *planner
	// pending is the version that all ranks are armed with, until its pass has begun. pendingFrom
	// is when they were armed: answers to earlier requests do not show it.
	pending     expertmap.Version
	pendingFrom time.Time
	// version is the latest that this coordinator has assigned. Each authority has a range of its
	// own above those of all earlier ones: a rank accepts no version that is not above all it had.
	version expertmap.Version
	// loggedAt and loggedStep are when the load of the group was last logged, and its pass then.
	loggedAt   time.Time
	loggedStep group.Step
	// passAt is when a rank last reported a new pass. stalled reports whether the group waits for a
	// silent rank.
	passAt  time.Time
	stalled bool
	// openedAt is when the group opened; zero if it is closed or was already running when this
	// coordinator first saw all ranks. opened reports whether it was open then, and wasClosed
	// whether this coordinator has seen it closed.
	openedAt          time.Time
	opened, wasClosed bool
	reached           time.Time
	lost              bool
	// moved reports whether the coordinator's own rank has changed since its group has formed
	// again.
	moved bool
	// foreign holds the agents that belong to another group, and when they reported it.
	foreign  map[string]time.Time
	sending  sync.WaitGroup
	registry *balance.RouterRegistry
	// latest is the load that was last reported to routers.
	latest atomic.Pointer[balance.Group]
	// parts are the parts of the agents, and partOf maps an agent's name to the index of its part.
	// inbox holds their answers. outstanding holds the parts with a request under way, late those
	// whose answers took long; both are keyed by the name of the first agent.
	parts             []part
	partOf            map[string]int
	inbox             chan answers
	outstanding, late map[string]bool
	// failedRelays holds when an agent failed to relay, and asking counts the direct requests to
	// engines under way.
	failedRelays map[string]time.Time
	asking       atomic.Int32
	// roundTime is the mean time from one round to the next; a longer one is used at once.
	// roundBeganAt is the start of the latest round.
	roundTime    time.Duration
	roundBeganAt time.Time
}

func newCoordinator(a *Agent, lead election.Lead, s services.RankStatus) *coordinator {
	fence := fenceOf(lead.Authority)
	c := &coordinator{
		a: a, logger: a.opts.Logger.With().Str("group", string(lead.Group)).Logger(), own: lead, fence: fence, version: expertmap.Version(fence), service: a.opts.Self.Service, first: s, reached: clock.Now(),
		registry: balance.NewRouterRegistry(uint64(fence)), foreign: map[string]time.Time{}, inbox: make(chan answers, inboxSize),
		outstanding: map[string]bool{}, late: map[string]bool{}, failedRelays: map[string]time.Time{},
	}
	c.members = make([]*member, s.Size)
	for i := range c.members {
		c.members[i] = &member{}
	}
	return c
}

// inboxSize is the number of answers that can queue for a coordinator without blocking the senders.
const inboxSize = 64

// lead returns the announcement of the coordinator.
func (c *coordinator) lead() election.Lead {
	l := c.own
	l.Lease = election.Lease(c.roundTime)
	return l
}

// roundDecay is the weight of the past in the mean time from one round to the next.
const roundDecay = 0.7

// noteRound records the start of a round.
func (c *coordinator) noteRound(now time.Time) {
	if !c.roundBeganAt.IsZero() {
		took := now.Sub(c.roundBeganAt)
		c.roundTime = max(took, time.Duration(roundDecay*float64(c.roundTime)+(1-roundDecay)*float64(took)))
	}
	c.roundBeganAt = now
}

// run coordinates until the authority is lost, and returns the reason.
func (c *coordinator) run(ctx context.Context) string {
	defer c.sending.Wait()
	cctx, cancel := context.WithCancel(ctx)
	defer cancel()
	c.sending.Go(func() { c.followNodes(cctx, nodesInterval, storeRetryInterval) })
	for ctx.Err() == nil && !c.a.isStopping() {
		begun := clock.Now()
		c.updateView()
		c.poll(ctx, true)
		now := clock.Now()
		switch {
		case c.moved:
			return "the rank beside it is another one"
		case c.lost:
			return "another coordinator has a higher authority"
		case now.Sub(c.reached) > isolationTimeout:
			return "most ranks are out of reach"
		}
		c.logLoad(now)
		c.reportToRouters(ctx, now)
		c.improve(ctx, now)
		sleep.For(ctx, pollInterval-clock.Since(begun))
	}
	return "process stops"
}

// updateView adopts the latest cluster view.
func (c *coordinator) updateView() {
	found := c.found.Load()
	if found == nil || found.at.Equal(c.at) && found.engine == c.engine {
		return
	}
	c.clusterView = *found
	c.parts, c.partOf = split(c.agents), map[string]int{}
	for i, p := range c.parts {
		for _, n := range p {
			c.partOf[n.Name] = i
		}
	}
}

// improve changes the expert map if that pays, after it has undone what an earlier coordinator left
// unfinished.
func (c *coordinator) improve(ctx context.Context, now time.Time) {
	d := &driver{c: c}
	status, ok := c.statuses(now)
	if !ok {
		c.planner = nil
		if silent, others, ok := c.statusesExceptOne(now); ok {
			d.reconcileWithout(ctx, silent, others)
		}
		return
	}
	if c.awaitsPass(status) {
		return
	}
	if d.reconcile(ctx, status) || c.engine == nil || c.engine.Layers == 0 {
		return
	}
	if c.planner == nil || c.planner.epoch != status[0].Epoch || c.planner.current.Version != status[0].Map {
		current, ok := c.readMap(ctx, status)
		if !ok {
			return
		}
		c.planner = newPlanner(c.engine, c.goal, status[0].Epoch, current)
	}
	c.planner.watch(now, c.counts())
	speed := make([]float64, len(c.members))
	streams := 0.0
	for i, m := range c.members {
		speed[i] = 1 / max(m.status.Pace, 1)
		streams += float64(m.status.Running) / float64(len(c.members))
	}
	next, err := c.planner.plan(now, speed, streams)
	if err != nil {
		c.logger.Error().Err(err).Int("ranks", len(speed)).Msg("plan-failed")
	}
	if next != nil {
		c.version = mapswitch.NextVersion(c.version, d.self())
		next.Version = c.version
		d.change(ctx, status, next)
	}
}

// counts returns the latest counts of every rank.
func (c *coordinator) counts() []services.RankCounts {
	counts := make([]services.RankCounts, len(c.members))
	for i, m := range c.members {
		counts[i] = m.counts.RankCounts
	}
	return counts
}

// awaitsPass reports whether the ranks have yet to begin the pass that uses the latest map. It does not
// wait for one that a rank holds: the change that held it has ended, so that the hold was carried out
// late and nobody else releases it.
func (c *coordinator) awaitsPass(status []services.RankStatus) bool {
	if c.pending == 0 {
		return false
	}
	// The pass may begin between the answers of two ranks.
	begun := true
	for r, s := range status {
		if c.members[r].sent.Before(c.pendingFrom) {
			begun = false
			continue
		}
		if s.Holds {
			return false
		}
		if s.Armed != c.pending && s.Map != c.pending {
			c.pending = 0
			return false
		}
		begun = begun && s.Map == c.pending
	}
	if begun {
		c.pending = 0
	}
	return !begun
}
