// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package rank is the agent beside a rank of a model group. One agent of a group coordinates: it asks
// the others for loads and counts, tells the routers, and changes the expert map.
package rank

import (
	"context"
	"sync"
	"time"

	"fawnwinch.org/fawnwinch/models/catalog"
	"fawnwinch.org/fawnwinch/models/group"
	"fawnwinch.org/fawnwinch/modules/rpc"
	"fawnwinch.org/fawnwinch/modules/sleep"
	"fawnwinch.org/fawnwinch/services"
	"fawnwinch.org/fawnwinch/services/peer"

	"github.com/rs/zerolog"
)

// Authority numbers coordinators: each takes a higher one from the platform's log.
type Authority uint64

// fenceBits is the part of a fence, and of a version, that a coordinator counts up by itself.
const fenceBits = 32

// fence returns the first fence of an authority.
func (a Authority) fence() services.Fence { return services.Fence(a) << fenceBits }

// Store is what an agent needs of the platform's store.
type Store interface {
	// Claim adds a record to the log of coordinators and returns its place, which no other claim has.
	Claim(ctx context.Context, group, name string) (services.Offset, error)
	// PutNodes registers processes.
	PutNodes(ctx context.Context, nodes []peer.Info) error
	// Nodes lists the processes that have registered.
	Nodes() services.Feed[peer.Info]
	// Catalogs gives the figures of the engines.
	Catalogs() services.Feed[catalog.Catalog]
}

// Options holds what an Agent needs.
type Options struct {
	Self   peer.Info
	Engine services.RankEngine
	Store  Store
	Pool   *rpc.Pool
	// Dial returns a client of another rank's engine, for when its agent does not answer.
	Dial   func(address string) services.RankEngine
	Logger zerolog.Logger
}

// Agent serves the coordinator of its group, or is it itself. It is safe for use by several goroutines.
type Agent struct {
	opts  Options
	start Start

	mu sync.Mutex
	// highest is the highest authority heard of, asked the time it was last heard. Led says that one was heard.
	highest Authority
	asked   time.Time
	led     bool
	rank    int
	group   group.ID
	tally   tally
	maps    preparedMaps
	notes   services.RankNotes
}

// New returns an agent.
func New(now time.Time, o Options) *Agent {
	return &Agent{opts: o, start: Start(now.UnixNano()), asked: now, tally: newTally(now)}
}

// Start numbers the starts of an agent.
type Start uint64

// Ask is a coordinator's question for a rank's load.
type Ask struct {
	// Group is the group that is coordinated. A service may have several.
	Group     group.ID
	Authority Authority
	// Counts asks for the experts' counts too, and Since numbers those that the asker has, 0 for none.
	Counts bool
	Since  uint64
}

// Reply is a rank's answer.
type Reply struct {
	// Foreign says that the rank belongs to another group; the rest is empty.
	Foreign bool
	// Authority is the highest that the agent has heard of. If it is not the asker's, the rest is empty.
	Authority Authority
	Status    services.RankStatus
	Counts    CountsPart
	// Start is that of the agent.
	Start Start
}

const (
	// engineTime bounds a question to the engine on the same VM. It answers within a few milliseconds.
	engineTime = 25 * time.Millisecond
	// orderTime bounds the first try of an order to that engine; each further one gets a quarter more.
	// While the group is held every try that is lost adds to a pause that all streams have.
	orderTime = 12 * time.Millisecond
	// orderTries bounds how often an order without an answer is given. All tries end within peerTime.
	orderTries = 4
	// loadTime bounds the loading of experts, and loadTick is the time between two looks at it.
	loadTime = 3 * time.Second
	loadTick = 10 * time.Millisecond
	// peerTime bounds a call of another agent: two ways between data centres and the calls of its engine.
	peerTime = 90 * time.Millisecond
	// silence is how long no coordinator may be heard before an agent stands up, and rankStep what each
	// rank waits longer, so that one of them is first.
	silence  = 700 * time.Millisecond
	rankStep = 120 * time.Millisecond
	// firstSilence is the same for an agent that has just started: a coordinator that lives asks it within a look
	// or two, and after a loss of power nobody does.
	firstSilence = 300 * time.Millisecond
	// electTick is the time between two looks at whether there is a coordinator.
	electTick = 100 * time.Millisecond
	// claimTime bounds a call of the store.
	claimTime = 1500 * time.Millisecond
	// claimPause is the pause after a claim that failed.
	claimPause = 500 * time.Millisecond
)

// API is what an agent offers to other processes over rpc.
type API struct{ a *Agent }

// NewAPI returns the rpc interface of an agent.
func NewAPI(a *Agent) *API { return &API{a: a} }

// Status tells a coordinator the load of the rank.
func (p *API) Status(ask Ask, r *Reply) error {
	if r.Foreign = p.a.foreign(ask.Group); r.Foreign {
		return nil
	}
	r.Authority = p.a.hear(time.Now(), ask.Authority)
	if r.Authority != ask.Authority {
		return nil
	}
	r.Start = p.a.start
	return p.a.status(ask, r)
}

// Map tells a coordinator which experts the rank holds.
func (p *API) Map(_ Ask, r *services.RankMap) error {
	ctx, cancel := context.WithTimeout(context.Background(), engineTime)
	defer cancel()
	m, err := p.a.opts.Engine.Map(ctx)
	*r = m
	return err
}

// foreign reports whether the rank is known to belong to another group.
func (a *Agent) foreign(g group.ID) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.group != "" && g != "" && a.group != g
}

// hear notes that a coordinator is alive and returns the highest authority.
func (a *Agent) hear(now time.Time, au Authority) Authority {
	a.mu.Lock()
	defer a.mu.Unlock()
	if au >= a.highest {
		a.highest, a.asked, a.led = au, now, true
	}
	return a.highest
}

// status reads the status of the engine, and its counts if they are asked for.
func (a *Agent) status(ask Ask, r *Reply) error {
	ctx, cancel := context.WithTimeout(context.Background(), engineTime)
	defer cancel()
	var err error
	if r.Status, err = a.opts.Engine.Status(ctx); err != nil {
		return err
	}
	a.mu.Lock()
	a.rank, a.group = int(r.Status.Rank), r.Status.Group
	r.Status.Noted = a.notes
	a.mu.Unlock()
	if !ask.Counts {
		return nil
	}
	counts, err := a.opts.Engine.Counts(ctx)
	if err != nil {
		return err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	r.Counts = a.tally.tell(ask.Since, counts)
	return nil
}

// Run looks for a coordinator until ctx ends, and is one when there is none.
func (a *Agent) Run(ctx context.Context) {
	var first Reply
	if err := a.status(Ask{}, &first); err != nil {
		a.opts.Logger.Warn().Err(err).Msg("engine-unreachable")
	}
	registered := false
	for ctx.Err() == nil {
		registered = registered || a.register(ctx)
		sleep.For(ctx, electTick)
		if a.stands(time.Now()) {
			a.stand(ctx)
		}
	}
}

// stands reports whether no coordinator was heard for so long that this agent should stand up.
func (a *Agent) stands(now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	wait := silence
	if !a.led {
		wait = firstSilence
	}
	return now.Sub(a.asked) > wait+time.Duration(a.rank)*rankStep
}

// register registers this process, so that a coordinator finds it.
func (a *Agent) register(ctx context.Context) bool {
	cctx, cancel := context.WithTimeout(ctx, claimTime)
	defer cancel()
	if err := a.opts.Store.PutNodes(cctx, []peer.Info{a.opts.Self}); err != nil {
		a.opts.Logger.Warn().Err(err).Msg("registration-failed")
		return false
	}
	return true
}

// stand claims the authority to coordinate and coordinates until it is lost.
func (a *Agent) stand(ctx context.Context) {
	var r Reply
	if err := a.status(Ask{}, &r); err != nil {
		sleep.For(ctx, claimPause)
		return
	}
	cctx, cancel := context.WithTimeout(ctx, claimTime)
	offset, err := a.opts.Store.Claim(cctx, string(r.Status.Group), a.opts.Self.Name)
	cancel()
	if err != nil {
		a.opts.Logger.Warn().Err(err).Msg("claim-failed")
		sleep.For(ctx, claimPause)
		return
	}
	au := Authority(offset) + 1
	if a.hear(time.Now(), au) != au {
		return
	}
	a.opts.Logger.Info().Uint64("authority", uint64(au)).Int("rank", int(r.Status.Rank)).Msg("coordinator-begins")
	why := newCoordinator(a, au, r.Status).run(ctx)
	a.opts.Logger.Info().Uint64("authority", uint64(au)).Str("reason", why).Msg("coordinator-ends")
	a.mu.Lock()
	a.asked = time.Now()
	a.mu.Unlock()
}
