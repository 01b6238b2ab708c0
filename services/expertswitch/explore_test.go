// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package expertswitch

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"fawnwinch.org/fawnwinch/models/expertmap"
	"fawnwinch.org/fawnwinch/models/group"
	"fawnwinch.org/fawnwinch/services"
)

const exploreRanks = 3

// engine simulates one rank of a group that steps only when no rank holds.
type engine struct {
	state       services.EngineState
	checksFence bool
}

func (e *engine) order(o services.Order) bool {
	if e.checksFence && o.Fence < e.state.Fence {
		return false
	}
	e.state.Fence = max(e.state.Fence, o.Fence)
	switch o.Kind {
	case services.OrderStage:
		e.state.Staged = o.Map.Version
	case services.OrderHold:
		if o.Step <= e.state.Step || e.state.Staged != o.Map.Version {
			return false
		}
		e.state.Hold, e.state.HoldMap = o.Step, o.Map.Version
	case services.OrderSwitch:
		if e.state.Staged != o.Map.Version {
			return false
		}
		e.state.SwitchAt, e.state.SwitchMap, e.state.Hold, e.state.HoldMap = o.Step, o.Map.Version, 0, 0
	case services.OrderRelease:
		e.state.Hold, e.state.HoldMap = 0, 0
	case services.OrderFence, services.OrderReset:
	}
	return true
}

type envelope struct {
	to    group.Rank
	coord int
	msg   *Message
	from  group.Rank
	reply *Reply
}

// pendingOrder is an order that an agent has admitted and not yet given to the engine.
type pendingOrder struct {
	order services.Order
	env   envelope
}

type explorer struct {
	rnd          *rand.Rand
	now          time.Time
	engines      []*engine
	agents       []*Participant
	pending      []*pendingOrder
	coords       []*Coordinator
	inFlight     []envelope
	switched     int
	mixed        bool
	naive        bool
	incarnations Incarnation
}

func (x *explorer) newCoordinator(r group.Rank) *Coordinator {
	x.incarnations++
	return NewCoordinator(exploreConfig, "g", r, x.incarnations, exploreRanks)
}

var exploreConfig = Config{Retry: 50 * time.Millisecond, Margin: 4, StageLimit: 400 * time.Millisecond, HoldLimit: 400 * time.Millisecond}

func newExplorer(seed uint64, naive bool) *explorer {
	x := &explorer{rnd: rand.New(rand.NewPCG(seed, 9)), now: time.Unix(1000, 0), naive: naive}
	for i := range exploreRanks {
		x.engines = append(x.engines, &engine{checksFence: seed%2 == 0, state: services.EngineState{Rank: group.Rank(i), Map: 1, Staged: 1}})
		p := &Participant{}
		p.Recover(0)
		x.agents = append(x.agents, p)
		x.pending = append(x.pending, nil)
	}
	for i := range 2 {
		x.coords = append(x.coords, x.newCoordinator(group.Rank(i)))
	}
	return x
}

func (x *explorer) enqueue(coord int, list []Send) {
	for _, s := range list {
		m := s.Message
		x.inFlight = append(x.inFlight, envelope{to: s.To, coord: coord, msg: &m})
	}
}

func (x *explorer) step() {
	x.now = x.now.Add(time.Duration(x.rnd.IntN(8)) * time.Millisecond)
	k := x.rnd.IntN(len(x.coords))
	switch p := x.rnd.IntN(100); {
	case p < 1:
		x.enqueue(k, x.coords[k].Start(x.now, &expertmap.Map{}))
	case p < 14:
		x.enqueue(k, x.coords[k].Tick(x.now))
	case p < 15 && x.rnd.IntN(5) == 0:
		// A coordinator crashes; its successor starts without state.
		x.coords[k] = x.newCoordinator(group.Rank(k))
	case p < 16 && x.rnd.IntN(5) == 0:
		x.restart(x.rnd.IntN(exploreRanks))
	case p < 60:
		x.deliverRandom()
	case p < 85:
		x.executePending(x.rnd.IntN(exploreRanks))
	default:
		x.lockStep()
	}
	for _, c := range x.coords {
		if c.Result() == ResultSwitched {
			x.switched++
		}
	}
}

// restart clears an agent's memory, including an order not yet given to the engine.
func (x *explorer) restart(r int) {
	p := &Participant{}
	var others []Ballot
	for i, a := range x.agents {
		if i != r {
			others = append(others, a.Promised())
		}
	}
	p.Recover(x.engines[r].state.Fence, others...)
	x.agents[r], x.pending[r] = p, nil
}

// deliverRandom delivers a random message, sometimes duplicates it for later and sometimes loses
// it.
func (x *explorer) deliverRandom() {
	if len(x.inFlight) == 0 {
		return
	}
	i := x.rnd.IntN(len(x.inFlight))
	e := x.inFlight[i]
	if x.rnd.IntN(8) > 0 {
		x.inFlight = append(x.inFlight[:i], x.inFlight[i+1:]...)
	}
	if x.rnd.IntN(10) == 0 {
		return
	}
	if e.reply != nil {
		x.enqueue(e.coord, x.coords[e.coord].Receive(x.now, e.from, *e.reply))
		return
	}
	x.deliver(e)
}

func (x *explorer) deliver(e envelope) {
	if x.engines[e.to].checksFence && x.rnd.IntN(8) == 0 && x.direct(e) {
		return
	}
	if x.pending[e.to] != nil {
		return
	}
	if x.naive {
		x.agents[e.to].promised = e.msg.Ballot
	}
	o, err := x.agents[e.to].Admit(*e.msg)
	if err != nil {
		x.answer(e, false)
		return
	}
	x.pending[e.to] = &pendingOrder{order: o, env: e}
}

// direct sends an order to an engine that checks fences, bypassing its agent.
func (x *explorer) direct(e envelope) bool {
	if !e.msg.Direct() {
		return false
	}
	ok := x.engines[e.to].order(e.msg.Order())
	r := Reply{Kind: e.msg.Kind, Ballot: e.msg.Ballot, OK: ok, Promised: e.msg.Ballot, State: x.engines[e.to].state}
	if !ok {
		r.Promised = x.engines[e.to].state.Fence
	}
	x.inFlight = append(x.inFlight, envelope{coord: e.coord, from: e.to, reply: &r})
	return true
}

// executePending executes the order that an agent has admitted.
func (x *explorer) executePending(r int) {
	p := x.pending[r]
	if p == nil {
		return
	}
	x.pending[r] = nil
	x.answer(p.env, x.engines[r].order(p.order))
}

func (x *explorer) answer(e envelope, ok bool) {
	r := Reply{Kind: e.msg.Kind, Ballot: e.msg.Ballot, OK: ok, Promised: x.agents[e.to].Promised(), State: x.engines[e.to].state}
	x.inFlight = append(x.inFlight, envelope{coord: e.coord, from: e.to, reply: &r})
}

// lockStep lets all ranks enter the next step if none holds.
func (x *explorer) lockStep() {
	next := x.engines[0].state.Step + 1
	for _, e := range x.engines {
		if e.state.Hold != 0 && next >= e.state.Hold {
			return
		}
	}
	for _, e := range x.engines {
		e.state.Step = next
		if e.state.SwitchMap != 0 && next >= e.state.SwitchAt {
			e.state.Map, e.state.SwitchMap, e.state.SwitchAt = e.state.SwitchMap, 0, 0
		}
		x.mixed = x.mixed || e.state.Map != x.engines[0].state.Map
	}
}

// recoverGroup has a last coordinator end any unfinished round, and checks that the group continues
// to step.
func (x *explorer) recoverGroup() error {
	c := x.newCoordinator(0)
	for _, a := range x.agents {
		c.ObserveBallot(a.Promised())
	}
	x.coords = []*Coordinator{c}
	x.inFlight, x.pending = nil, make([]*pendingOrder, exploreRanks)
	from := x.engines[0].state.Step
	for range 3000 {
		x.now = x.now.Add(10 * time.Millisecond)
		x.enqueue(0, c.Start(x.now, nil))
		x.enqueue(0, c.Tick(x.now))
		for len(x.inFlight) > 0 {
			x.deliverRandom()
		}
		for r := range exploreRanks {
			x.executePending(r)
		}
		x.lockStep()
		if c.Result() == ResultRecovered && x.engines[0].state.Step > from {
			return nil
		}
	}
	return fmt.Errorf("the group does not continue to step: %+v", x.engines[0].state)
}

func explore(seed uint64, naive bool) (*explorer, error) {
	x := newExplorer(seed, naive)
	for range 1500 {
		x.step()
		if x.mixed {
			return x, fmt.Errorf("ranks used different maps in step %d", x.engines[0].state.Step)
		}
	}
	return x, x.recoverGroup()
}

// TestExplore runs many random schedules with two coordinators; late, lost and duplicated messages;
// crashes of agents and coordinators; and engines that check fences or do not.
func TestExplore(t *testing.T) {
	switched := 0
	for seed := range uint64(3000) {
		x, err := explore(seed, false)
		if err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		switched += x.switched
	}
	if switched < 3000 {
		t.Errorf("only %d switches: the schedules cover too little", switched)
	}
	t.Logf("%d switches", switched)
}

// TestExploreRegressions repeats schedules that exposed faults.
func TestExploreRegressions(t *testing.T) {
	seeds := map[string]uint64{
		"a coordinator that restarted used its ballot again": 296885,
	}
	for name, seed := range seeds {
		t.Run(name, func(t *testing.T) {
			if _, err := explore(seed, false); err != nil {
				t.Error(err)
			}
		})
	}
}

// TestExploreNaive checks that the schedules detect ranks that obey every coordinator.
func TestExploreNaive(t *testing.T) {
	for seed := range uint64(400) {
		if x, err := explore(seed*2+1, true); err != nil && x.mixed {
			return
		}
	}
	t.Error("no schedule detected ranks that obey every coordinator")
}
