// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package rank is the agent beside a rank of a model group. One agent of a group coordinates: it asks
// the others for loads and counts, tells the routers, and changes the expert map.
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
	// countBits is the part of a fence, and of a version, that a coordinator counts up by itself.
	countBits = 32
	// claimBits and eraBits are the parts that tell its authority: the claims of an era of the store, and the eras. With them a fence is
	// below 2^63, so that an engine may keep it in a signed number.
	claimBits = 20
	eraBits   = 11
)

// fenceOf returns the first fence of an authority.
func fenceOf(a election.Authority) services.Fence {
	end := a.End()
	era, claim := services.Fence(end.Era)&(1<<eraBits-1), services.Fence(end.Offset)&(1<<claimBits-1)
	return (era<<claimBits | claim) << countBits
}

// Store is what an agent needs of the platform's store.
type Store interface {
	// Claim adds a record to a group's log of coordinators if that ends at a place. It returns where the log ends then, and
	// whether the record was added.
	Claim(ctx context.Context, group, name string, end services.Place) (services.Place, bool, error)
	// Claimer returns the name in the last record of a log that ends at a place; empty if it is no longer kept.
	Claimer(ctx context.Context, group string, end services.Place) (string, error)
	// PutNodes registers processes.
	PutNodes(ctx context.Context, nodes []peer.Info) error
	// Nodes lists the processes that have registered.
	Nodes() services.Feed[peer.Info]
	// Catalogs gives the figures of the engines.
	Catalogs() services.Feed[catalog.Catalog]
}

// Caller calls methods of other processes.
type Caller interface {
	// Call sets reply, a pointer, to the answer of a method at an address, unless it returns an error.
	Call(ctx context.Context, address, method string, args, reply any) error
}

// Options holds what an Agent needs.
type Options struct {
	Self   peer.Info
	Engine services.RankEngine
	Store  Store
	Pool   Caller
	// Bootstrap says that the whole deployment starts for the first time: nobody knows this process yet.
	Bootstrap bool
	// Dial returns a client of another rank's engine, for when its agent does not answer.
	Dial   func(address string) services.RankEngine
	Logger zerolog.Logger
}

// Agent serves the coordinator of its group, or is it itself. It is safe for use by several goroutines.
type Agent struct {
	opts  Options
	start Start
	// around is what was last read of the other processes, and leaderless what was logged of the group's leadership; only Run uses them.
	around     surroundings
	leaderless leaderlessNotes

	mu        sync.Mutex
	candidate *election.Candidate
	// placed is when the engine last told its group, and born when it started.
	placed time.Time
	born   upstream.Born
	// asked says that a coordinator has found this process.
	asked bool
	// claiming says that the agent waits for the answer to a claim, and leading is its part as coordinator; nil if it has none.
	claiming bool
	leading  *coordinator
	// tries counts the tries to stand up since a coordinator was heard, and lastTry tells how the latest ended.
	tries   int
	lastTry TryEnd
	tally   tally
	maps    preparedMaps
	notes   services.RankNotes
}

// New returns an agent.
func New(now time.Time, o Options) *Agent {
	return &Agent{opts: o, start: Start(now.UnixNano()), candidate: election.New(now), tally: newTally(now)}
}

// Start numbers the starts of an agent.
type Start uint64

// Ask is a coordinator's question for a rank's load. Its lead names the group that is coordinated: a service may have several.
type Ask struct {
	Lead election.Lead
	// Counts asks for the experts' counts too, and Since numbers those that the asker has, 0 for none.
	Counts bool
	Since  uint64
}

// Reply is a rank's answer.
type Reply struct {
	// Foreign says that the rank belongs to another group; the rest is empty.
	Foreign bool
	// Authority is the highest that the agent has heard of. If it is not the asker's, the rest is empty.
	Authority election.Authority
	// Ended says that the rank's engine has ended: nobody listens at its address. Status is empty then.
	Ended  bool
	Status services.RankStatus
	Counts CountsPart
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
	// placeEvery is the time after which an engine is asked again for its group when others take its rank for one of another.
	// Groups form anew within some hundred milliseconds.
	placeEvery = 200 * time.Millisecond
	// claimTime bounds a call of the store.
	claimTime = 1500 * time.Millisecond
	// claimPause is the pause after a failure to read the list of processes.
	claimPause = 500 * time.Millisecond
)

// API is what an agent offers to other processes over rpc.
type API struct{ a *Agent }

// NewAPI returns the rpc interface of an agent.
func NewAPI(a *Agent) *API { return &API{a: a} }

// Status tells a coordinator the load of the rank.
func (p *API) Status(ask Ask, r *Reply) error {
	heard := p.a.listen(clock.Now(), ask.Lead)
	if heard == unplaced {
		return errNoGroup
	}
	r.Foreign, r.Authority = heard == foreign, p.a.highest()
	if heard != leads {
		return nil
	}
	r.Start = p.a.start
	p.a.mu.Lock()
	p.a.asked = true
	p.a.mu.Unlock()
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

// standing is what an agent makes of a coordinator.
type standing string

// The standings of a coordinator.
const (
	// leads is that of the one that leads the agent's group.
	leads standing = "leads"
	// deposed is that of one of the agent's group, of which a later one is known.
	deposed standing = "deposed"
	// foreign is that of a coordinator of another group.
	foreign standing = "foreign"
	// unplaced is that of any coordinator while the agent does not know its group.
	unplaced standing = "unplaced"
)

// errNoGroup reports that an engine has not told its group.
var errNoGroup = eris.New("the engine has not told its group")

// listen notes that a coordinator is alive, and returns its standing.
func (a *Agent) listen(now time.Time, l election.Lead) standing {
	own := a.groupFor(now, l.Group)
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case own == "":
		return unplaced
	case own != l.Group:
		return foreign
	case !a.lockedHear(now, l):
		return deposed
	}
	return leads
}

// groupFor returns the group of the rank for a caller that takes it for one of some group; empty if the engine does not tell.
// The engine is asked first where that is not known: an agent that took a coordinator of another group for its own would
// follow that and could never claim its own. It is asked again where the caller knows another: groups form anew.
func (a *Agent) groupFor(now time.Time, g group.ID) group.ID {
	a.mu.Lock()
	own, placed := a.candidate.Group(), a.placed
	a.mu.Unlock()
	if own == "" || own != g && now.Sub(placed) > placeEvery {
		a.place()
		own = a.groupOf()
	}
	return own
}

// groupOf returns the group of the rank; empty if its engine has not told.
func (a *Agent) groupOf() group.ID {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.candidate.Group()
}

// highest returns the highest authority that was heard of the own group.
func (a *Agent) highest() election.Authority {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.candidate.Highest()
}

// hear notes that a coordinator is alive, and reports whether it leads the group of the rank.
func (a *Agent) hear(now time.Time, l election.Lead) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.lockedHear(now, l)
}

// lockedHear is hear for a caller that holds the lock.
func (a *Agent) lockedHear(now time.Time, l election.Lead) bool {
	leads := a.candidate.Receive(now, l)
	if leads {
		a.tries = 0
	}
	return leads
}

// status reads the status of the engine, and its counts if they are asked for.
func (a *Agent) status(ask Ask, r *Reply) error {
	ctx, cancel := context.WithTimeout(context.Background(), engineTime)
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
	r.Counts = a.tally.tell(ask.Since, counts)
	return nil
}

// errEarlierRun reports an answer that an engine gave before it started again.
var errEarlierRun = eris.New("the answer is of an earlier run of the engine")

// noteStatus takes in what the engine tells, and adds what the agent has noted. An engine that has started again knows nothing of
// the orders that it was given before.
func (a *Agent) noteStatus(now time.Time, s *services.RankStatus) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case s.Born < a.born:
		return errEarlierRun
	case s.Born > a.born:
		a.born, a.notes, a.maps = s.Born, services.RankNotes{}, nil
	}
	a.placed = now
	a.candidate.SetRank(now, s.Group, int(s.Rank), s.Size)
	s.Noted = a.notes
	return nil
}
