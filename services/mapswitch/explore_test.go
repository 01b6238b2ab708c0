// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package mapswitch

import (
	"math/rand/v2"
	"testing"
	"time"

	"fawnwinch.org/fawnwinch/models/expertmap"
	"fawnwinch.org/fawnwinch/models/group"
	"fawnwinch.org/fawnwinch/models/upstream"
	"fawnwinch.org/fawnwinch/services"
)

// engine is one rank of the model of a group that the explorer plays.
type engine struct {
	services.RankStatus
	fence  services.Fence
	newest expertmap.Version
	// frozen is the turn up to which the engine answers nobody; passes go on.
	frozen int
	// agent is what the agent beside the engine remembers, and heard the highest authority that it has heard of.
	agent services.RankNotes
	heard services.Fence
	// start numbers the starts of the agent.
	start int
}

// lateOrder is an order that is carried out when nobody waits for its answer any more.
type lateOrder struct {
	rank  group.Rank
	order services.RankOrder
	at    int
	// start is that of the agent that it was sent to; another one does not take it.
	start int
}

// world is a group with its engines, coordinators and the orders on their way.
type world struct {
	t    *testing.T
	seed uint64
	// trace is set to log what happens.
	trace bool
	rand  *rand.Rand
	// abandon draws whether a coordinator gives its change up; nil if none ever does.
	abandon *rand.Rand
	given   int
	// freeze draws when a VM freezes with its engine; nil if none does. Without counts the settlements without one.
	freeze  *rand.Rand
	without int
	now     time.Time
	ranks   []*engine
	late    []lateOrder
	coords  []*player
	passes  int
	changes int
	turn    int
}

// player is one coordinator: its fence, its machine, and the orders that it has sent.
type player struct {
	self    group.Rank
	fence   services.Fence
	version expertmap.Version
	machine *Machine
	pending expertmap.Version
	wire    []Send
	dead    bool
	frozen  int
}

func (w *world) apply(r group.Rank, o services.RankOrder) services.RankAnswer {
	a := w.ranks[r].give(o)
	if w.trace {
		w.t.Logf("turn %d: rank %d: %s fence=%x version=%x step=%d: %s", w.turn, r, o.Kind, o.Fence, o.Version, o.Step, a)
	}
	return a
}

// give carries an order out by the agent.
func (e *engine) give(o services.RankOrder) services.RankAnswer {
	authority := o.Fence >> 32
	if o.Kind != services.RankAnnounce {
		a := e.apply(o)
		if o.Kind == services.RankPrepare && a == services.RankDone {
			e.agent.Prepared = max(e.agent.Prepared, o.Version)
		}
		return a
	}
	switch {
	case authority < e.heard:
		return services.RankFenced
	case e.agent.Prepared != o.Version:
		return services.RankConflict
	}
	e.agent.Announced = max(e.agent.Announced, o.Version)
	return services.RankDone
}

func (e *engine) apply(o services.RankOrder) services.RankAnswer {
	if o.Epoch != e.Epoch {
		return services.RankConflict
	}
	if o.Fence < e.fence {
		return services.RankFenced
	}
	e.fence = o.Fence
	switch o.Kind {
	case services.RankPrepare:
		if e.Prepared == o.Version {
			return services.RankDone
		}
		if o.Version <= e.newest || e.Armed != 0 {
			return services.RankConflict
		}
		e.Prepared, e.newest = o.Version, o.Version
	case services.RankArm:
		if e.Armed == o.Version && e.ArmedAt == o.Step {
			return services.RankDone
		}
		if e.Prepared != o.Version || o.Step <= e.Step {
			return services.RankConflict
		}
		e.Armed, e.ArmedAt = o.Version, o.Step
	case services.RankDisarm:
		if e.Map == o.Version {
			return services.RankConflict
		}
		if e.Armed == o.Version {
			e.Armed = 0
		}
	case services.RankHold:
		if e.Holds && e.Held == o.Step {
			return services.RankDone
		}
		if e.Holds || o.Step <= e.Step {
			return services.RankConflict
		}
		e.Holds, e.Held = true, o.Step
	case services.RankAnnounce:
		panic("an engine was told what is for its agent")
	case services.RankRelease:
		if !e.Holds || e.Held != o.Step {
			return services.RankConflict
		}
		e.Holds = false
	}
	return services.RankDone
}

// pass lets the group begin its next pass, unless a rank holds it, and checks the maps.
func (w *world) pass() {
	next := w.ranks[0].Step + 1
	for _, e := range w.ranks {
		if e.Holds && e.Held <= next {
			return
		}
	}
	for _, e := range w.ranks {
		e.Step = next
		if e.Armed != 0 && e.ArmedAt == next {
			e.Map, e.Armed, e.Prepared = e.Armed, 0, 0
			w.changes++
		}
	}
	w.passes++
	if w.trace {
		w.t.Logf("turn %d: pass %d", w.turn, next)
	}
	for r, e := range w.ranks {
		if e.Map != w.ranks[0].Map {
			w.t.Fatalf("seed %d: pass %d: rank 0 has map %d, rank %d map %d", w.seed, next, w.ranks[0].Map, r, e.Map)
		}
	}
}

// silent returns the ranks that answer nobody.
func (w *world) silent() []group.Rank {
	var out []group.Rank
	for r, e := range w.ranks {
		if e.frozen > w.turn {
			out = append(out, group.Rank(r))
		}
	}
	return out
}

// ask returns the status of a rank as its agent tells a coordinator.
func (w *world) ask(p *player, r int) services.RankStatus {
	e := w.ranks[r]
	e.heard = max(e.heard, p.fence>>32)
	s := e.RankStatus
	s.Noted = e.agent
	return s
}

func (w *world) statuses(p *player) []services.RankStatus {
	out := make([]services.RankStatus, len(w.ranks))
	for r, e := range w.ranks {
		if e.frozen <= w.turn {
			out[r] = w.ask(p, r)
		}
	}
	return out
}

// deliver carries an order out: at once, at once without an answer, later, or never.
func (w *world) deliver(s Send) services.RankAnswer {
	if until := w.ranks[s.Rank].frozen; until > w.turn {
		if w.freeze.IntN(2) == 0 {
			w.late = append(w.late, lateOrder{s.Rank, s.Order, until + w.freeze.IntN(40), w.ranks[s.Rank].start})
		}
		return services.RankUnknown
	}
	switch n := w.rand.IntN(20); {
	case n == 0:
		return services.RankUnknown
	case n == 1:
		w.apply(s.Rank, s.Order)
		return services.RankUnknown
	case n <= 4:
		w.late = append(w.late, lateOrder{s.Rank, s.Order, w.turn + 1 + w.rand.IntN(120), w.ranks[s.Rank].start})
		return services.RankUnknown
	default:
		return w.apply(s.Rank, s.Order)
	}
}

// act lets a coordinator do one thing.
func (w *world) act(p *player) {
	if p.dead || p.frozen > w.turn {
		return
	}
	if w.rand.IntN(60) == 0 {
		p.frozen = w.turn + w.rand.IntN(80)
	}
	if w.freeze != nil && w.freeze.IntN(60) == 0 {
		p.frozen = max(p.frozen, w.turn+w.freeze.IntN(200))
		w.ranks[p.self].frozen = p.frozen
		return
	}
	m := p.machine
	if m == nil || m.Ended() {
		w.next(p)
		return
	}
	p.wire = append(p.wire, m.Sends()...)
	if len(p.wire) > 0 {
		i := w.rand.IntN(len(p.wire))
		s := p.wire[i]
		p.wire = append(p.wire[:i], p.wire[i+1:]...)
		m.Answer(w.now, s, w.deliver(s))
	}
	if w.rand.IntN(4) == 0 {
		if r := w.rand.IntN(len(w.ranks)); w.ranks[r].frozen <= w.turn {
			m.Observe(w.now, w.now, group.Rank(r), w.ask(p, r))
		}
	}
	if w.abandon != nil && w.abandon.IntN(25) == 0 {
		m.Abandon()
		if m.Stage() == StageAbandoned {
			w.given++
		}
	}
	m.Tick(w.now)
}

// next begins what a coordinator does after its last machine: it settles what others left, or changes the map.
func (w *world) next(p *player) {
	if m := p.machine; m != nil {
		p.fence = max(p.fence, m.Fence)
		if m.Stage() == StageLost {
			p.dead = true
			return
		}
		if m.Stage() == StageDone {
			p.pending = m.Version()
		}
	}
	p.wire = nil
	p.fence++
	status := w.statuses(p)
	if p.pending != 0 {
		for _, s := range status {
			if s.Armed == p.pending {
				return
			}
		}
		p.pending = 0
	}
	if silent := w.silent(); len(silent) > 0 {
		p.machine = nil
		if len(silent) == 1 {
			if p.machine = SettleWithout(w.now, p.fence, p.self, silent[0], status); p.machine != nil {
				w.without++
			}
		}
		return
	}
	if p.machine = Settle(w.now, p.fence, p.self, status); p.machine != nil {
		return
	}
	p.version = NextVersion(p.version, p.self)
	p.machine = Start(w.now, p.fence, p.self, status, p.version, nil)
}

// explore plays one world and returns it. Abandons says that coordinators give changes up, and freezes that VMs freeze
// with their engines.
func explore(t *testing.T, seed uint64, turns int, abandons, freezes, trace bool) *world {
	w := &world{t: t, seed: seed, trace: trace, rand: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(0, 0)}
	if abandons {
		w.abandon = rand.New(rand.NewPCG(seed, 4))
	}
	if freezes {
		w.freeze = rand.New(rand.NewPCG(seed, 5))
	}
	for r := range 2 + w.rand.IntN(4) {
		w.ranks = append(w.ranks, &engine{RankStatus: services.RankStatus{Epoch: 1, Rank: group.Rank(r), Open: true}})
	}
	authority := 0
	for w.turn = range turns {
		w.now = w.now.Add(5 * time.Millisecond)
		if len(w.coords) == 0 || w.rand.IntN(150) == 0 {
			authority++
			f := services.Fence(authority) << 32
			w.coords = append(w.coords, &player{self: group.Rank(w.rand.IntN(len(w.ranks))), fence: f, version: expertmap.Version(f)})
		}
		for _, p := range w.coords {
			w.act(p)
		}
		kept := w.late[:0]
		for _, l := range w.late {
			if l.at > w.turn || w.ranks[l.rank].frozen > w.turn {
				kept = append(kept, l)
				continue
			}
			if l.start == w.ranks[l.rank].start {
				w.apply(l.rank, l.order)
			}
		}
		w.late = kept
		if w.rand.IntN(400) == 0 {
			w.reform()
		}
		if w.freeze != nil && w.freeze.IntN(80) == 0 {
			// An agent starts anew and remembers nothing.
			e := w.ranks[w.freeze.IntN(len(w.ranks))]
			e.agent, e.heard, e.start = services.RankNotes{}, 0, e.start+1
		}
		if w.rand.IntN(6) == 0 {
			w.pass()
		}
	}
	return w
}

// reform breaks the group and forms it anew on the first map.
func (w *world) reform() {
	epoch := w.ranks[0].Epoch + 1
	for r, e := range w.ranks {
		*e = engine{RankStatus: services.RankStatus{Epoch: epoch, Rank: group.Rank(r), Open: true}, agent: e.agent, heard: e.heard, start: e.start, frozen: e.frozen}
	}
}

// exploreSeeds is the number of worlds that each run of the tests plays.
const exploreSeeds = 1500

// TestExplore plays groups whose orders are lost, carried out late and given by several coordinators
// that freeze and wake: no pass may begin with two maps, maps must change, and the group must go on.
func TestExplore(t *testing.T) {
	var passes, changes, abandoned, without int
	for seed := range uint64(3 * exploreSeeds) {
		w := explore(t, seed, 1500, seed >= exploreSeeds, seed >= 2*exploreSeeds, false)
		if t.Failed() {
			t.Fatalf("seed %d", seed)
		}
		if w.passes == 0 {
			t.Errorf("seed %d: the group stood still", seed)
		}
		passes, changes, abandoned = passes+w.passes, changes+w.changes/len(w.ranks), abandoned+w.given
		without += w.without
	}
	t.Logf("%d settlements without a frozen rank", without)
	if without < exploreSeeds/10 {
		t.Errorf("only %d settlements without a frozen rank", without)
	}
	t.Logf("%d passes, %d changes of map, %d given up", passes, changes, abandoned)
	if abandoned < exploreSeeds {
		t.Errorf("only %d changes given up in %d worlds", abandoned, exploreSeeds)
	}
	if changes < exploreSeeds {
		t.Errorf("only %d changes of map in %d worlds", changes, exploreSeeds)
	}
}

// TestExploreNaive shows what the hold is for: arming all ranks alone lets a pass begin with two maps.
func TestExploreNaive(t *testing.T) {
	broken := 0
	for seed := range uint64(200) {
		r := rand.New(rand.NewPCG(seed, 2))
		ranks := []*engine{{RankStatus: services.RankStatus{Epoch: 1}}, {RankStatus: services.RankStatus{Epoch: 1}}}
		for _, e := range ranks {
			e.Prepared = 1
			if r.IntN(10) > 0 { // one order in ten is lost
				e.apply(services.RankOrder{Kind: services.RankArm, Epoch: 1, Version: 1, Step: 3})
			}
		}
		if (ranks[0].Armed == 0) != (ranks[1].Armed == 0) {
			broken++
		}
	}
	if broken == 0 {
		t.Error("the naive way never broke")
	}
}

// TestExploreFound plays the worlds again in which a fault was found.
func TestExploreFound(t *testing.T) {
	for name, seed := range map[string]uint64{"a takeover disarmed a version that no rank was armed with": 0, "a takeover looked before it had raised the fence": 17, "a late release of an earlier change ended the hold of the next": 2969} {
		t.Run(name, func(t *testing.T) { explore(t, seed, 1500, false, false, false) })
	}
}

// TestBornAgain checks that a change fails when a rank starts again in the middle of it, although its epoch is still told as the same,
// and that what the rank told before that changes nothing.
func TestBornAgain(t *testing.T) {
	now := time.Unix(1000, 0)
	status := func() []services.RankStatus {
		return []services.RankStatus{{Born: 100, Epoch: 1, Size: 2, Rank: 0}, {Born: 100, Epoch: 1, Size: 2, Rank: 1}}
	}
	cases := map[string]struct {
		born upstream.Born
		want Stage
	}{
		"the same run":    {100, StagePrepareOwner},
		"it starts again": {101, StageFailed},
		"an earlier run":  {99, StagePrepareOwner},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			m := Start(now, 5, 0, status(), 1<<10, nil)
			s := status()[1]
			s.Born, s.Prepared = c.born, 1<<10
			m.Observe(now, now, 1, s)
			if m.Stage() != c.want {
				t.Errorf("stage %s, want %s", m.Stage(), c.want)
			}
		})
	}
}
