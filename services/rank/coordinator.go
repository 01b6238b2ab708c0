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
	// lookEvery is the time between two looks at the ranks. Demand shifts every few seconds; the time of
	// a look is part of the time in which steps are too long.
	lookEvery = 70 * time.Millisecond
	// nodesEvery is the time between two reads of the list of processes.
	nodesEvery = 4 * time.Second
	// alone is how long a coordinator goes on that reaches less than half of the ranks.
	alone = 1500 * time.Millisecond
	// directEvery is the time between two direct questions to an engine whose agent is silent: they are paid for. No more
	// than directAtOnce are under way: where many agents are silent it is the coordinator that is slow.
	directEvery  = time.Second
	directAtOnce = 4
	// relayTime bounds a question that an agent relays to others, and lateAfter is the time from which the next look
	// does not wait for who takes so long.
	relayTime = 2 * peerTime
	lateAfter = 60 * time.Millisecond
	// reportTime bounds telling a router.
	reportTime = 300 * time.Millisecond
)

// member is one rank as the coordinator sees it.
type member struct {
	info   peer.Info
	status services.RankStatus
	// start is that of the rank's agent.
	start Start
	// heard is the time of the latest status, and sent that of the question for it; asked that of the latest direct question.
	heard, sent, asked time.Time
	// ended is the time of the latest question after which the agent has said that the engine has ended.
	ended  time.Time
	counts heldCounts
	known  bool
}

// coordinator is one agent's time as coordinator.
type coordinator struct {
	a *Agent
	// logger names the group in each line: a service may have several.
	logger  zerolog.Logger
	own     election.Lead
	service string
	fence   services.Fence
	first   services.RankStatus
	// surroundings is what was last found; found holds what followNodes has found since.
	surroundings
	found atomic.Pointer[surroundings]
	// members holds the ranks, in their order.
	members []*member
	planner *planner
	// pending is the version that all ranks are armed with, until its pass has begun, and pendingFrom when they were: what
	// was asked before tells nothing of it.
	pending     expertmap.Version
	pendingFrom time.Time
	// version is the latest that this coordinator has given out. Each authority has a range of its own,
	// above those of all earlier ones: a rank takes no version that is not above all it had.
	version expertmap.Version
	// notedAt and notedStep are when the load of the group was last logged, and its pass then.
	notedAt   time.Time
	notedStep group.Step
	reached   time.Time
	lost      bool
	// moved says that the own rank is another one since its group has formed anew.
	moved bool
	// foreign holds the agents that belong to another group, and when they said so.
	foreign map[string]time.Time
	sending sync.WaitGroup
	book    *balance.Book
	// latest is the load that routers were told last.
	latest atomic.Pointer[balance.Group]
	// parts are those of the agents, and partOf tells the part of each agent by its name. Inbox holds what they have answered. Outstanding holds the parts that are being asked, late those
	// whose answers took long; both by the name of the first agent.
	parts             []part
	partOf            map[string]int
	inbox             chan answers
	outstanding, late map[string]bool
	// failedRelays holds when an agent has failed to relay, and asking counts the engines that are being asked directly.
	failedRelays map[string]time.Time
	asking       atomic.Int32
	// looked is the mean time from one look to the next, longer ones counted at once; lookedAt is the begin of the latest.
	looked   time.Duration
	lookedAt time.Time
}

func newCoordinator(a *Agent, lead election.Lead, s services.RankStatus) *coordinator {
	fence := fenceOf(lead.Authority)
	c := &coordinator{
		a: a, logger: a.opts.Logger.With().Str("group", string(lead.Group)).Logger(), own: lead, fence: fence, version: expertmap.Version(fence), service: a.opts.Self.Service, first: s, reached: clock.Now(),
		book: balance.NewBook(uint64(fence)), foreign: map[string]time.Time{}, inbox: make(chan answers, inboxSize),
		outstanding: map[string]bool{}, late: map[string]bool{}, failedRelays: map[string]time.Time{},
	}
	c.members = make([]*member, s.Size)
	for i := range c.members {
		c.members[i] = &member{}
	}
	return c
}

// inboxSize is the number of answers that wait for a coordinator without holding up who brings them.
const inboxSize = 64

// lead returns what the coordinator tells of itself.
func (c *coordinator) lead() election.Lead {
	l := c.own
	l.Lease = election.Lease(c.looked)
	return l
}

// lookKeep is the weight of the past in the mean time from one look to the next.
const lookKeep = 0.7

// noteLook notes the begin of a look.
func (c *coordinator) noteLook(now time.Time) {
	if !c.lookedAt.IsZero() {
		took := now.Sub(c.lookedAt)
		c.looked = max(took, time.Duration(lookKeep*float64(c.looked)+(1-lookKeep)*float64(took)))
	}
	c.lookedAt = now
}

// run coordinates until the authority is lost, and says why.
func (c *coordinator) run(ctx context.Context) string {
	defer c.sending.Wait()
	cctx, cancel := context.WithCancel(ctx)
	defer cancel()
	c.sending.Go(func() { c.followNodes(cctx, nodesEvery, claimPause) })
	for ctx.Err() == nil {
		begun := clock.Now()
		c.lookAround()
		c.look(ctx, true)
		now := clock.Now()
		switch {
		case c.moved:
			return "the rank beside it is another one"
		case c.lost:
			return "another coordinator has a higher authority"
		case now.Sub(c.reached) > alone:
			return "most ranks are out of reach"
		}
		c.note(now)
		c.tellRouters(ctx, now)
		c.improve(ctx, now)
		sleep.For(ctx, lookEvery-clock.Since(begun))
	}
	return "process stops"
}

// lookAround takes over what was found of the other processes.
func (c *coordinator) lookAround() {
	found := c.found.Load()
	if found == nil || found.at.Equal(c.at) && found.engine == c.engine {
		return
	}
	c.surroundings = *found
	c.parts, c.partOf = split(c.agents), map[string]int{}
	for i, p := range c.parts {
		for _, n := range p {
			c.partOf[n.Name] = i
		}
	}
}

// improve changes the expert map if that pays, after it has settled what an earlier coordinator left.
func (c *coordinator) improve(ctx context.Context, now time.Time) {
	d := &driver{c: c}
	status, ok := c.statuses(now)
	if !ok {
		c.planner = nil
		if silent, others, ok := c.statusesBut(now); ok {
			d.settleWithout(ctx, silent, others)
		}
		return
	}
	if c.waits(status) {
		return
	}
	if d.settle(ctx, status) || c.engine == nil || c.engine.Layers == 0 {
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
	writers := 0.0
	for i, m := range c.members {
		speed[i] = 1 / max(m.status.Pace, 1)
		writers += float64(m.status.Running) / float64(len(c.members))
	}
	next, err := c.planner.plan(now, speed, writers)
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

// waits reports whether the ranks are still to begin the pass that takes the latest map.
func (c *coordinator) waits(status []services.RankStatus) bool {
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
