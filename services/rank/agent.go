// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package rank implements the agent beside a rank of a model group. One agent of a group is its
// coordinator: it polls the others for loads and counts, reports to the routers, and changes the
// expert map.
package rank

import (
	"context"
	"errors"
	"sync"
	"syscall"
	"time"

	"fawnwinch.org/fawnwinch/models/catalog"
	"fawnwinch.org/fawnwinch/models/group"
	"fawnwinch.org/fawnwinch/models/upstream"
	"fawnwinch.org/fawnwinch/modules/clock"
	"fawnwinch.org/fawnwinch/services"
	"fawnwinch.org/fawnwinch/services/election"
	"fawnwinch.org/fawnwinch/services/peer"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
)

const (
	// countBits is the number of low bits of a fence, and of a version, that a coordinator
	// increments by itself.
	countBits = 32
	// claimBits and eraBits are the numbers of bits that encode its authority: the claims of an era
	// of the store, and the eras. With them a fence is below 2^63, so that an engine may store it
	// in a signed number.
	claimBits = 20
	eraBits   = 11
)

// fenceOf returns the first fence of an authority.
func fenceOf(a election.Authority) services.Fence {
	end := a.End()
	era, claim := services.Fence(end.Era)&(1<<eraBits-1), services.Fence(end.Offset)&(1<<claimBits-1)
	return (era<<claimBits | claim) << countBits
}

// Store is the part of the platform's store that an agent uses.
type Store interface {
	// Claim adds a record to a group's log of coordinators if the log ends at the given position.
	// It returns where the log ends afterwards, and whether the record was added.
	Claim(ctx context.Context, group, name string, end services.Position) (services.Position, bool, error)
	// LastClaimant returns the name in the last record of a log that ends at a position; empty if the
	// record is no longer kept.
	LastClaimant(ctx context.Context, group string, end services.Position) (string, error)
	// PutNodes registers processes.
	PutNodes(ctx context.Context, nodes []peer.Info) error
	// Nodes lists the registered processes.
	Nodes() services.Feed[peer.Info]
	// Catalogs returns the feed of catalogs, which hold the parameters of the engines.
	Catalogs() services.Feed[catalog.Update]
}

// Caller calls methods of other processes.
type Caller interface {
	// Call sets reply, a pointer, to the answer of a method at an address, unless it returns an
	// error.
	Call(ctx context.Context, address, method string, args, reply any) error
}

// Options holds what an Agent needs.
type Options struct {
	Self   peer.Info
	Engine services.RankEngine
	Store  Store
	Pool   Caller
	// Seeds are the addresses of a few routers, through which the agent registers. They may be
	// stale.
	Seeds []string
	// Bootstrap reports whether the whole deployment starts for the first time: no process has a
	// record of this one yet.
	Bootstrap bool
	// Dial returns a client of another rank's engine, for when its agent does not answer.
	Dial   func(address string) services.RankEngine
	Logger zerolog.Logger
}

// Agent answers the coordinator of its group, or is the coordinator itself. It is safe for
// concurrent use.
type Agent struct {
	opts  Options
	start Start
	// lastView is the cluster view that was last read, and leaderless decides what is logged about
	// the group's leadership; only Run uses them.
	lastView   clusterView
	leaderless leaderlessLog
	// registerDirectly reports whether the next registration is to call the store itself; only Run
	// uses it.
	registerDirectly bool

	mu        sync.Mutex
	candidate *election.Candidate
	// groupReadAt is when the engine last reported its group, and born when the engine started.
	groupReadAt time.Time
	born        upstream.Born
	// contacted reports whether a coordinator has polled this process.
	contacted bool
	// claiming reports whether the agent waits for the answer to a claim. leading is its state as
	// coordinator; nil if it is none.
	claiming bool
	leading  *coordinator
	// tries counts the candidacies since the last contact with a coordinator, and lastTry is how
	// the latest ended.
	tries      int
	lastTry    TryEnd
	sentCounts countSender
	maps       preparedMaps
	notes      services.AgentRecords
	// stopping reports whether the agent was ordered to stop, and changing whether it carries out a
	// change of map.
	stopping, changing bool
}

// New returns an agent.
func New(now time.Time, o Options) *Agent {
	return &Agent{opts: o, start: Start(now.UnixNano()), candidate: election.New(now), sentCounts: newCountSender(now)}
}

// Start identifies one start of an agent.
type Start uint64

// Ask is a coordinator's request for a rank's load. Its lead names the coordinated group: a service
// may have several.
type Ask struct {
	Lead election.Lead
	// Counts reports whether the experts' counts are requested too. Since is the number of the
	// counts that the requester has, 0 for none.
	Counts bool
	Since  uint64
}

// Reply is a rank's answer.
type Reply struct {
	// Foreign reports whether the rank belongs to another group; the other fields are empty then.
	Foreign bool
	// Authority is the highest that the agent has received. If it is not the requester's, the other
	// fields are empty.
	Authority election.Authority
	// Ended reports whether the rank's engine has ended: nothing listens at its address. Status is
	// empty then.
	Ended  bool
	Status services.RankStatus
	Counts CountsPart
	// Start identifies the start of the agent.
	Start Start
}

const (
	// engineTimeout bounds a call of the engine on the same VM. It answers within a few
	// milliseconds.
	engineTimeout = 25 * time.Millisecond
	// orderTimeout bounds the first attempt of an order to that engine; each retry gets a quarter
	// more. While the group is held, every lost attempt adds to a pause that all streams have.
	orderTimeout = 12 * time.Millisecond
	// orderTries is the maximum number of attempts of an order. All of them end within peerTimeout.
	orderTries = 4
	// loadTimeout bounds the loading of experts, and loadPollInterval is the time between two polls
	// of its progress.
	loadTimeout      = 3 * time.Second
	loadPollInterval = 10 * time.Millisecond
	// peerTimeout bounds a call of another agent: a round trip between data centres and the calls
	// of its engine.
	peerTimeout = 90 * time.Millisecond
	// groupReadInterval is the time after which an engine is asked again for its group when other
	// processes take its rank for one of another group. Groups form again within some hundred
	// milliseconds.
	groupReadInterval = 200 * time.Millisecond
	// storeTimeout bounds a call of the store.
	storeTimeout = 1500 * time.Millisecond
	// storeRetryInterval is the pause after a failure to read the list of processes.
	storeRetryInterval = 500 * time.Millisecond
)

// API is the net/rpc interface that an agent offers to other processes.
type API struct{ a *Agent }

// NewAPI returns the net/rpc interface of an agent.
func NewAPI(a *Agent) *API { return &API{a: a} }

// Status returns the load of the rank to a coordinator.
func (p *API) Status(ask Ask, r *Reply) error {
	got := p.a.classify(clock.Now(), ask.Lead)
	if got == unplaced {
		return errNoGroup
	}
	r.Foreign, r.Authority = got == foreign, p.a.highest()
	if got != leads {
		return nil
	}
	r.Start = p.a.start
	p.a.mu.Lock()
	p.a.contacted = true
	p.a.mu.Unlock()
	return p.a.status(ask, r)
}

// Map returns to a coordinator the experts that the rank holds.
func (p *API) Map(_ Ask, r *services.RankMap) error {
	ctx, cancel := context.WithTimeout(context.Background(), engineTimeout)
	defer cancel()
	m, err := p.a.opts.Engine.Map(ctx)
	*r = m
	return err
}

// standing classifies a coordinator from the agent's point of view.
type standing string

// The standings of a coordinator.
const (
	// leads means that it leads the agent's group.
	leads standing = "leads"
	// deposed means that it is of the agent's group, but a later coordinator is known.
	deposed standing = "deposed"
	// foreign means that it leads another group.
	foreign standing = "foreign"
	// unplaced means that the agent does not know its own group yet.
	unplaced standing = "unplaced"
)

// errNoGroup reports that an engine has not reported its group.
var errNoGroup = eris.New("engine has not reported its group")

// classify records contact with a coordinator, and returns its standing.
func (a *Agent) classify(now time.Time, l election.Lead) standing {
	own := a.groupFor(now, l.Group)
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case own == "":
		return unplaced
	case own != l.Group:
		return foreign
	case !a.lockedReceive(now, l):
		return deposed
	}
	return leads
}

// groupFor returns the group of the rank for a caller that takes it for a member of group g; empty
// if the engine does not report one. If the group is unknown, the engine is asked first: an agent
// that took a coordinator of another group for its own would follow it and could never claim its
// own group. If the caller names another group, the engine is asked again: groups may form again.
func (a *Agent) groupFor(now time.Time, g group.ID) group.ID {
	a.mu.Lock()
	own, readAt := a.candidate.Group(), a.groupReadAt
	a.mu.Unlock()
	if own == "" || own != g && now.Sub(readAt) > groupReadInterval {
		a.readGroup()
		own = a.groupOf()
	}
	return own
}

// groupOf returns the group of the rank; empty if its engine has not reported it.
func (a *Agent) groupOf() group.ID {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.candidate.Group()
}

// highest returns the highest authority that was received for the agent's own group.
func (a *Agent) highest() election.Authority {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.candidate.Highest()
}

// receive records contact with a coordinator, and reports whether it leads the group of the rank.
func (a *Agent) receive(now time.Time, l election.Lead) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.lockedReceive(now, l)
}

// lockedReceive is receive for a caller that holds the lock.
func (a *Agent) lockedReceive(now time.Time, l election.Lead) bool {
	leads := a.candidate.Receive(now, l)
	if leads {
		a.tries = 0
	}
	return leads
}

// status reads the status of the engine, and its counts if they are requested.
func (a *Agent) status(ask Ask, r *Reply) error {
	ctx, cancel := context.WithTimeout(context.Background(), engineTimeout)
	defer cancel()
	var err error
	r.Status, err = a.opts.Engine.Status(ctx)
	if r.Ended = errors.Is(err, syscall.ECONNREFUSED); r.Ended {
		return nil
	}
	if err != nil {
		return err
	}
	if err = a.noteStatus(clock.Now(), &r.Status); err != nil {
		return err
	}
	if !ask.Counts {
		return nil
	}
	counts, err := a.opts.Engine.Counts(ctx)
	if err != nil {
		return err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	r.Counts = a.sentCounts.delta(ask.Since, counts)
	return nil
}

// errEarlierRun reports an answer that an engine gave before it restarted.
var errEarlierRun = eris.New("answer belongs to an earlier run of the engine")

// noteStatus records the status that the engine reported, and adds the agent's own notes to it. An
// engine that has restarted has no record of earlier orders.
func (a *Agent) noteStatus(now time.Time, s *services.RankStatus) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case s.Born < a.born:
		return errEarlierRun
	case s.Born > a.born:
		a.born, a.notes, a.maps = s.Born, services.AgentRecords{}, nil
	}
	a.groupReadAt = now
	a.candidate.SetRank(now, s.Group, int(s.Rank), s.Size)
	s.Noted = a.notes
	return nil
}
