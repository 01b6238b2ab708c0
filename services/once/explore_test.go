// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package once

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"fawnwinch.org/fawnwinch/models/request"
	"fawnwinch.org/fawnwinch/models/upstream"
	"fawnwinch.org/fawnwinch/services"
)

// The explorer runs cores, registers and a log through random schedules with late and lost
// messages, pauses at every point, crashes, and processes that cannot reach the log.

const (
	exploreSeeds    = 6000
	exploreOutage   = 2 * time.Second
	exploreLifetime = time.Hour
	exploreSlice    = request.KeySlice(0)
	// With a journal that drops records, exploreRetention is the retention of records and the
	// lifetime of keys, and exploreCallerTimeout the time-out of callers. A key is used for
	// exploreKeyUse, so that retries arrive within the lifetime of the key.
	exploreRetention     = 16 * time.Second
	exploreCallerTimeout = 7 * time.Second
	exploreKeyUse        = 7 * time.Second
	// exploreOutageDelay is the time from the pause of an agent to the start of the journal outage.
	exploreOutageDelay = time.Second
)

// message is a request in flight from a router to an agent.
type message struct {
	attempt Attempt
	key     string
	sent    time.Time
}

// run is an attempt that Begin admitted and that has not taken effect yet.
type run struct {
	key     KeyID
	attempt Attempt
}

type simAgent struct {
	core         *Core
	owner        Owner
	number       int
	paused       bool
	resumeAt     time.Time
	disconnected bool
	inbox        []message
	admitted     []Attempt
	runs         []run
	waiting      map[Token]Attempt
	tokens       Token
}

type simRouter struct {
	reg          *SentKeys
	disconnected bool
	contact      time.Time
	// view is the owner that this router knows.
	view  *simAgent
	epoch Epoch
	// sent holds the requests that this router may ask about; no other process has a record of
	// them.
	sent []message
}

type explorer struct {
	rnd          *rand.Rand
	now          time.Time
	log          []services.LogRecord
	agents       []*simAgent
	dead         []*simAgent
	routers      []*simRouter
	incarnations int
	sent         int
	// lostRegister reports whether a router crashed that may have sent keys without the log.
	lostRegister bool
	effects      map[KeyID]int
	ranFor       map[request.ID]bool
	notRun       map[request.ID]string
	naive        bool
	// dropsRecords reports whether the journal drops old records. outFrom and outTo are the start
	// and end of an outage of the journal.
	dropsRecords   bool
	outFrom, outTo time.Time
	// lostTables counts the tables marked as lost.
	lostTables int
	// faultRate is the rate, from 0 to 4, at which processes crash, pause and lose the log.
	faultRate int
}

func newExplorer(seed uint64, naive, dropsRecords bool) *explorer {
	x := &explorer{
		dropsRecords: dropsRecords,
		rnd:          rand.New(rand.NewPCG(seed, 3)), now: time.Unix(1000, 0), effects: map[KeyID]int{},
		ranFor: map[request.ID]bool{}, notRun: map[request.ID]string{}, naive: naive, faultRate: int(seed % 5),
	}
	for i := range 3 {
		x.agents = append(x.agents, x.newAgent(i))
	}
	for range 2 {
		x.routers = append(x.routers, &simRouter{reg: NewRegister(x.lifetime()), contact: x.now})
	}
	return x
}

func (x *explorer) lifetime() time.Duration {
	if x.dropsRecords {
		return exploreRetention
	}
	return exploreLifetime
}

// newKey returns the key of a new request and the time-out of its caller.
func (x *explorer) newKey() (key string, wait time.Duration) {
	key = fmt.Sprint(x.rnd.IntN(12))
	if !x.dropsRecords {
		return key, time.Hour
	}
	return fmt.Sprint(key, " of ", x.now.Truncate(exploreKeyUse).Unix()), exploreCallerTimeout
}

func (x *explorer) newAgent(number int) *simAgent {
	x.incarnations++
	o := Owner{Upstream: upstream.ID(fmt.Sprint(number)), Incarnation: upstream.Incarnation(fmt.Sprint(x.incarnations))}
	c := NewCore(Config{Lifetime: x.lifetime(), Capacity: 1000, AnswerBytes: 1 << 20, OutageAfter: exploreOutage}, o)
	return &simAgent{core: c, owner: o, number: number, waiting: map[Token]Attempt{}}
}

// step performs one random action.
func (x *explorer) step() {
	x.now = x.now.Add(time.Duration(x.rnd.IntN(80)) * time.Millisecond)
	a := x.agents[x.rnd.IntN(len(x.agents))]
	r := x.routers[x.rnd.IntN(len(x.routers))]
	p := x.rnd.IntN(100)
	if p >= 32 && p < 40 && x.rnd.IntN(4) >= x.faultRate {
		return
	}
	switch {
	case p < 14:
		x.send(r)
	case p < 32:
		x.updateRouter(r)
	case p < 34:
		r.disconnected = x.rnd.IntN(3) == 0
	case p < 36:
		a.disconnected = x.rnd.IntN(3) == 0
	case p < 38:
		x.pause(a)
	case p < 39:
		x.crashAgent(a)
	case p < 40:
		x.crashRouter(r)
	case a.paused:
	case p >= 88 && x.outageJustEnded():
		x.take(a)
	case p < 52:
		x.read(a)
	case p < 60:
		x.flush(a)
	case p < 74:
		x.deliver(a)
	case p < 82:
		x.begin(a)
	case p < 88:
		x.effect(a)
	case p < 89:
		if x.dropsRecords || x.rnd.IntN(3) == 0 || x.now.Sub(time.Unix(1000, 0)) < 5*time.Second {
			x.take(a)
		}
	case p < 93:
		x.settle(a)
	case p < 95:
		x.withdraw(a)
	default:
		x.read(a)
	}
}

// inOutage reports whether the journal is unreachable for all processes.
func (x *explorer) inOutage() bool { return !x.now.Before(x.outFrom) && x.now.Before(x.outTo) }

// outageJustEnded reports whether an outage of the journal has ended recently: owners change then.
func (x *explorer) outageJustEnded() bool {
	return !x.now.Before(x.outTo) && x.now.Sub(x.outTo) < exploreOutageDelay
}

// pause pauses or resumes an agent. With a journal that drops records, a pause may be longer than
// the retention.
func (x *explorer) pause(a *simAgent) {
	if x.now.Before(a.resumeAt) {
		return
	}
	a.paused = x.rnd.IntN(2) == 0
	if _, owns := a.core.Owned()[exploreSlice]; !x.dropsRecords || !a.paused || !owns {
		return
	}
	x.outFrom = x.now.Add(exploreOutageDelay)
	x.outTo = x.outFrom.Add(exploreRetention)
	a.resumeAt = x.outTo
	if x.rnd.IntN(2) == 0 {
		a.resumeAt = x.outFrom // the agent resumes during the outage
	}
	for _, o := range x.agents {
		if o != a {
			x.append(o, &Record{Version: recordVersion, Kind: RecordClaims, Owner: o.owner}) // other slices remain active
		}
	}
}

func (x *explorer) send(r *simRouter) {
	if r.view == nil {
		return
	}
	n, wait := x.newKey()
	id, ask, deadline := request.ID(""), false, x.now.Add(wait)
	if len(r.sent) > 0 && x.rnd.IntN(4) == 0 {
		asked := r.sent[x.rnd.IntN(len(r.sent))]
		if x.dropsRecords && x.now.Sub(asked.sent) > exploreCallerTimeout {
			return // its caller has timed out
		}
		n, id, ask, deadline = asked.key, asked.attempt.Request, true, asked.attempt.Deadline
	} else {
		id = request.ID(fmt.Sprint("r", x.sent))
		x.sent++
	}
	key := NewKeyID("account", request.Key(n))
	age := x.now.Sub(r.contact)
	if r.reg.AdmitSend(x.now, SliceKey{Slice: exploreSlice}, r.epoch, key, age > exploreOutage/2) != nil {
		return
	}
	if age <= exploreOutage/2 {
		age = 0
	}
	m := message{key: n, sent: x.now, attempt: Attempt{
		Request: id, Key: key, Slice: exploreSlice, Epoch: r.epoch, Digest: 1, Deadline: deadline, AskOnly: ask, RouterLogAge: age,
	}}
	r.view.inbox = append(r.view.inbox, m)
	if !ask {
		r.sent = append(r.sent, m)
	}
}

// updateRouter updates a router's last contact with the log and, from a random agent, its view of
// the newest owner.
func (x *explorer) updateRouter(r *simRouter) {
	if !r.disconnected && !x.inOutage() {
		r.contact = x.now
	}
	a := x.agents[x.rnd.IntN(len(x.agents))]
	if e, ok := a.core.Owned()[exploreSlice]; ok && !a.paused && e >= r.epoch {
		r.view, r.epoch = a, e
		r.reg.RaiseFloor(SliceKey{Slice: exploreSlice}, e)
	}
}

func (x *explorer) crashAgent(a *simAgent) {
	x.dead = append(x.dead, a)
	x.agents[a.number] = x.newAgent(a.number)
	for _, r := range x.routers {
		if r.view == a {
			r.view = nil
		}
	}
}

func (x *explorer) crashRouter(r *simRouter) {
	x.lostRegister = x.lostRegister || x.now.Sub(r.contact) > exploreOutage/2 || !r.reg.Empty(x.now)
	fresh := &simRouter{reg: NewRegister(x.lifetime()), contact: x.now}
	for i, o := range x.routers {
		if o == r {
			x.routers[i] = fresh
			continue
		}
		for k, e := range o.reg.Floors() {
			fresh.reg.RaiseFloor(k, e)
			fresh.epoch = e
		}
	}
}

func (x *explorer) read(a *simAgent) {
	if a.disconnected || x.inOutage() {
		return
	}
	first := 0
	for x.dropsRecords && first < len(x.log) && x.now.Sub(x.log[first].At) > exploreRetention {
		first++
	}
	from := max(int(a.core.Next()), first)
	to := min(len(x.log), from+x.rnd.IntN(8))
	a.core.Apply(x.now, services.Page{First: services.Offset(first), Tail: services.Offset(len(x.log)), Now: x.now, Records: x.log[from:to]})
	a.core.Expire(x.now)
	x.collect(a)
}

// append adds a record and reports whether the writer receives the confirmation.
func (x *explorer) append(a *simAgent, rec *Record) bool {
	if a.disconnected || x.inOutage() {
		return false
	}
	raw, err := rec.Encode()
	if err != nil {
		panic(err)
	}
	if x.rnd.IntN(8) == 0 {
		return false
	}
	x.log = append(x.log, services.LogRecord{Offset: services.Offset(len(x.log)), At: x.now, Data: raw})
	return x.rnd.IntN(6) != 0
}

func (x *explorer) flush(a *simAgent) {
	rec := a.core.Batch()
	if rec == nil {
		return
	}
	if !x.append(a, rec) {
		a.core.Requeue(rec)
		return
	}
	a.core.Contact(x.now)
}

func (x *explorer) deliver(a *simAgent) {
	if len(a.inbox) == 0 {
		return
	}
	i := x.rnd.IntN(len(a.inbox))
	m := a.inbox[i]
	a.inbox = append(a.inbox[:i], a.inbox[i+1:]...)
	if x.rnd.IntN(10) == 0 {
		return
	}
	a.tokens++
	m.attempt.Token = a.tokens
	d := a.core.Submit(x.now, m.attempt)
	if x.naive && d.Kind != DecisionAnswer {
		d.Kind = DecisionRun
	}
	switch d.Kind {
	case DecisionAnswer:
		x.recordAnswer(m.attempt, d.Answer)
	case DecisionRun:
		a.admitted = append(a.admitted, m.attempt)
	case DecisionWait:
		a.waiting[m.attempt.Token] = m.attempt
	}
	x.collect(a)
}

// recordAnswer records a not-run answer if its caller is still waiting.
func (x *explorer) recordAnswer(a Attempt, answer Answer) {
	if answer.Outcome == request.OutcomeNotRun && x.now.Before(a.Deadline) {
		x.notRun[a.Request] = answer.Reason
	}
}

func (x *explorer) collect(a *simAgent) {
	for _, act := range a.core.Actions() {
		at, ok := a.waiting[act.Token]
		if !ok {
			continue
		}
		delete(a.waiting, act.Token)
		if act.Kind == ActionStart {
			a.admitted = append(a.admitted, at)
			continue
		}
		x.recordAnswer(at, act.Answer)
	}
}

func (x *explorer) begin(a *simAgent) {
	if len(a.admitted) == 0 {
		return
	}
	at := a.admitted[0]
	a.admitted = a.admitted[1:]
	if x.naive || a.core.Begin(x.now, at) {
		a.runs = append(a.runs, run{key: at.Key, attempt: at})
	} else {
		x.recordAnswer(at, Answer{Outcome: request.OutcomeNotRun, Reason: "begin"})
	}
	x.collect(a)
}

func (x *explorer) effect(a *simAgent) {
	if len(a.runs) == 0 {
		return
	}
	r := a.runs[0]
	a.runs = a.runs[1:]
	answer := Answer{Outcome: request.OutcomeAnswered}
	switch x.rnd.IntN(4) {
	case 0:
		answer = Answer{Outcome: request.OutcomeNotRun}
		x.recordAnswer(r.attempt, answer)
	case 1:
		answer = Answer{Outcome: request.OutcomeUnknown}
		fallthrough
	default:
		x.effects[r.key]++
		x.ranFor[r.attempt.Request] = true
	}
	a.core.Finish(x.now, r.key, answer)
	x.collect(a)
}

// take takes the slice, sometimes after a handover by its live owner.
func (x *explorer) take(a *simAgent) {
	if !a.core.CaughtUp() {
		return
	}
	v := a.core.View()[exploreSlice]
	for _, o := range x.agents {
		if o.owner == v.Owner && o != a && !o.paused && x.rnd.IntN(2) == 0 {
			t, err := o.core.Handover(x.now, exploreSlice)
			if err != nil {
				return
			}
			if t.Lost {
				x.lostTables++
			}
			a.core.Receive(t)
		}
	}
	x.append(a, a.core.TakeRecord([]request.KeySlice{exploreSlice}))
}

func (x *explorer) settle(a *simAgent) {
	v := a.core.View()[exploreSlice]
	if !v.Mine || v.Settled || x.lostRegister {
		return
	}
	var keys []KeyID
	for _, r := range x.routers {
		keys = append(keys, r.reg.FenceAndListKeys(x.now, SliceKey{Slice: exploreSlice}, v.Epoch)...)
		r.epoch = max(r.epoch, v.Epoch)
		r.view = a
	}
	a.core.Settle(x.now, exploreSlice, v.Epoch, keys)
}

func (x *explorer) withdraw(a *simAgent) {
	for t, at := range a.waiting {
		delete(a.waiting, t)
		if !a.core.Withdraw(at.Key, t) {
			x.recordAnswer(at, Answer{Outcome: request.OutcomeNotRun, Reason: "withdrawn"})
		}
		x.collect(a)
		return
	}
}

// finish resumes all paused or seemingly dead agents and runs their remaining work.
func (x *explorer) finish() {
	for _, a := range append(x.agents, x.dead...) {
		a.paused = false
		for len(a.inbox)+len(a.admitted)+len(a.runs) > 0 {
			x.deliver(a)
			x.begin(a)
			x.effect(a)
		}
	}
}

func (x *explorer) verdict() error {
	for k, n := range x.effects {
		if n > 1 {
			return fmt.Errorf("key %s had %d effects", k, n)
		}
	}
	for id, reason := range x.notRun {
		if x.ranFor[id] {
			return fmt.Errorf("request %s was answered not run (%s) but had an effect", id, reason)
		}
	}
	return nil
}

func explore(seed uint64, steps int, naive, dropsRecords bool) (*explorer, error) {
	x := newExplorer(seed, naive, dropsRecords)
	for range steps {
		x.step()
	}
	x.finish()
	return x, x.verdict()
}

// TestExplore runs many random schedules. A failure reports its seed.
func TestExplore(t *testing.T) {
	ran := 0
	for seed := range uint64(exploreSeeds) {
		x, err := explore(seed, 600, false, false)
		if err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		ran += len(x.effects)
	}
	t.Logf("%d keys ran", ran)
	if ran < exploreSeeds {
		t.Errorf("only %d keys ran: the schedules cover too little", ran)
	}
}

// TestExploreDroppedRecords runs schedules with a journal that drops records before owners have
// read them.
func TestExploreDroppedRecords(t *testing.T) {
	const seeds, minLostTables = exploreSeeds / 3, 10
	ran, lost := 0, 0
	for seed := range uint64(seeds) {
		x, err := explore(seed, 2500, false, true)
		if err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		ran += len(x.effects)
		lost += x.lostTables
	}
	t.Logf("%d keys ran, %d lost tables", ran, lost)
	if ran < seeds || lost < minLostTables {
		t.Errorf("%d keys ran, %d lost tables: the schedules cover too little", ran, lost)
	}
}

// TestExploreRegressions repeats schedules that exposed faults.
func TestExploreRegressions(t *testing.T) {
	seeds := map[string]uint64{
		"a handed-over key ran without its journal": 289067,
	}
	for name, seed := range seeds {
		t.Run(name, func(t *testing.T) {
			if _, err := explore(seed, 600, false, false); err != nil {
				t.Error(err)
			}
		})
	}
}

// TestExploreNaive checks that the schedules detect an owner that runs without its journal.
func TestExploreNaive(t *testing.T) {
	for seed := range uint64(200) {
		if _, err := explore(seed, 600, true, false); err != nil {
			return
		}
	}
	t.Error("no schedule detected the naive owner")
}
