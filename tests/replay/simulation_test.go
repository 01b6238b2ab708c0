// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package replay

import (
	"cmp"
	"container/heap"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"fawnwinch.org/fawnwinch/models/catalog"
	"fawnwinch.org/fawnwinch/models/group"
	"fawnwinch.org/fawnwinch/models/upstream"
	"fawnwinch.org/fawnwinch/services/admission"
	"fawnwinch.org/fawnwinch/services/balance"
	"fawnwinch.org/fawnwinch/services/condition"
	"fawnwinch.org/fawnwinch/services/peer"
	"fawnwinch.org/fawnwinch/services/quota"
	"fawnwinch.org/fawnwinch/services/retry"
)

// pattern is a load with the conditions that it runs under.
type pattern struct {
	routers, ranks int
	// groups is the number of groups that the ranks are divided into, 0 for one. The last
	// leaderless groups have no coordinator: no load is reported for them, and their skew is
	// firstSkew.
	groups, leaderless int
	// lastReportAge is the age of the reports of the last group that has a coordinator, if it
	// differs from reportAge.
	lastReportAge time.Duration
	params        *catalog.Engine
	// queue is the number of requests that may wait at a rank.
	queue int
	// rate returns the streams per second that arrive at a time, as a fraction of what the group
	// can write at a skew of 1.5.
	rate func(at time.Duration) float64
	skew func(at time.Duration) float64
	pace func(rank int, at time.Duration) float64
	// assumedSkew returns the skew that coordinators report at a time; nil if it is the actual one.
	assumedSkew func(at time.Duration) float64
	// closed reports whether the group is broken: ranks refuse everything.
	closed func(at time.Duration) bool
	// ledFrom is when a coordinator starts to report on the group.
	ledFrom time.Duration
	// retriedFraction returns the fraction of the callers arriving at a time that have tried once
	// before, up to maxRetryAge earlier.
	retriedFraction func(at time.Duration) float64
	// limit returns the limit that a rank reports at a time, in requests per second; 0 for none.
	limit func(rank int, at time.Duration) float64
	// shed returns the back-off that a rank requests which refuses everything at a time; 0 if it
	// does not refuse. ignoreBackOff reports whether routers ignore it.
	shed          func(rank int, at time.Duration) time.Duration
	ignoreBackOff bool
	// withoutSendLimits reports whether routers do not report their send limits to coordinators.
	withoutSendLimits bool
	// withoutCatchUp reports whether coordinators keep the usual bounds after an opening.
	withoutCatchUp bool
	// goal and pauseGoal are the goals of all callers; 0 for those of instant transfers.
	goal, pauseGoal time.Duration
	// reportAge is the age of a report when the next one arrives; negative if there are none.
	reportAge time.Duration
	duration  time.Duration
	seed      uint64
	// kinds are the kinds of callers, in order of urgency; nil if all callers are alike. events is
	// the mean number of events of their answers.
	kinds  []*kind
	events int
	// incidents happen at the given times.
	incidents map[time.Duration]func(*world)
	// uneven describes the data centres of the deployment; nil for one.
	uneven *uneven
}

// Expectations of the simulated callers, as for instant transfers.
const (
	goal          = 600 * time.Millisecond
	pauseGoal     = 200 * time.Millisecond
	callerTimeout = 8 * time.Second
	leaveAfter    = 2400 * time.Millisecond
	meanEvents    = 15
	lateValue     = 0.25
	maxRetryAge   = 2500 * time.Millisecond
	// maxRetryDelayFraction is the longest retry delay that callers obey, as a fraction of the time
	// until their deadline.
	maxRetryDelayFraction = 1.0 / 3
	// networkDelay is the delay between any two processes.
	networkDelay = time.Millisecond
)

// goals returns the goals of the callers: those of the first kind and the shortest pause goal if
// there are several kinds.
func (p *pattern) goals() (first, pause time.Duration) {
	first, pause = cmp.Or(p.goal, goal), cmp.Or(p.pauseGoal, pauseGoal)
	if len(p.kinds) > 0 {
		first, pause = p.kinds[0].goal, p.kinds[0].pauseGoal
	}
	for _, k := range p.kinds {
		pause = min(pause, k.pauseGoal)
	}
	return first, pause
}

// caller is one request with its retry.
type caller struct {
	arrived time.Time
	// tried is when the request was last sent to a router.
	tried time.Time
	tries int
	// awaits reports whether the request waits for a retry.
	awaits bool
	first  time.Duration
	latest time.Time
	pause  time.Duration
	done   bool
	// dataCentre is where the caller is, if the pattern has several data centres.
	dataCentre int
	request    *admission.Request
	stream     *stream
	// waitFrom is when the caller began to wait at a router.
	waitFrom time.Time
	kindState
}

// router is one router of the simulation.
type router struct {
	name   string
	pool   *balance.Pool
	queue  *admission.Queue
	budget *retry.Budget
	// lists holds the rank list of each group.
	lists []balance.RankList
	// waiting holds the callers of the waiting requests.
	waiting map[*admission.Request]*caller
	// inFlight counts the requests at each rank, for policies other than the project's.
	inFlight []int
}

// result is the outcome of a load.
type result struct {
	callers, earned float64
	// late counts the late answers, rejected the rejections, rejectedWithRoom the rejections while
	// a rank had an unused slot, rejectedAfterWait the waits that ended with a rejection,
	// rejectedByRanks the rejections by ranks, and lost the callers that were never served.
	late, rejected, rejectedWithRoom, rejectedAfterWait, rejectedByRanks, lost int
	longest                                                                    time.Duration
	// at holds the callers of each data centre, and those of them that were answered in time.
	at []dataCentreResult
}

func (r result) goodput() float64 { return r.earned / r.callers }

// Weights of what callers value: answers in time, and availability, counted in nines up to three.
const (
	goodputWeight = 0.65
	ninesWeight   = 0.35
	maxNines      = 3
)

// worth returns the value to callers: the weighted sum of the goodput and of the availability.
func (r result) worth() float64 {
	nines := min(-math.Log10(max(float64(r.lost)/r.callers, 1e-9)), maxNines) / maxNines
	return goodputWeight*r.goodput() + ninesWeight*nines
}

func (r result) String() string {
	return fmt.Sprintf("worth %.3f, goodput %.3f, late %d, rejected %d (%d with room), after a wait %d, by ranks %d, lost %d of %.0f, longest pass %s",
		r.worth(), r.goodput(), r.late, r.rejected, r.rejectedWithRoom, r.rejectedAfterWait, r.rejectedByRanks, r.lost, r.callers, r.longest.Round(time.Millisecond))
}

// policy chooses a rank for a request by what its router knows, or returns false.
type policy func(w *world, r *router) (int, bool)

type event struct {
	at  time.Time
	seq int
	run func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := len(*q) - 1
	e := (*q)[last]
	*q = (*q)[:last]
	return e
}

// world simulates a pattern.
type world struct {
	p    pattern
	rand *rand.Rand
	// arrivalRand draws the arrivals of callers, so that all policies get the same load.
	arrivalRand *rand.Rand
	begin       time.Time
	now         time.Time
	events      eventQueue
	seq         int
	// engines are the models of the groups, and books the load records of their coordinators.
	engines []*engine
	books   []*balance.RouterRegistry
	routers []*router
	ups     []upstream.Instance
	ids     map[string]upstream.Run
	infos   []peer.Info
	choose  policy
	// leaderless bounds what ranks without reports may get.
	leaderless balance.Bounds
	// loads are the last loads reported to the routers, for policies other than the project's.
	loads []balance.RankLoad
	// ledger grants the permits for ranks that limit their requests.
	ledger *quota.Ledger
	// openedAt holds when each group was first reported open after it was not.
	openedAt []time.Time
	// callers holds all callers.
	callers []*caller
	// leaderGone holds the groups whose coordinator has gone.
	leaderGone map[int]bool
	res        result
}

// play simulates a pattern with the project's decisions, or with another policy.
func play(p pattern, choose policy) result { return playWorld(p, choose).res }

// playWorld is play; it returns the world at its end.
func playWorld(p pattern, choose policy) *world {
	w := &world{
		p: p, rand: rand.New(rand.NewPCG(p.seed, 7)), arrivalRand: rand.New(rand.NewPCG(p.seed, 8)), begin: time.Unix(1000, 0), now: time.Unix(1000, 0), choose: choose,
		ids: map[string]upstream.Run{}, ledger: quota.NewLedger(), leaderGone: map[int]bool{},
	}
	_, pause := p.goals()
	w.leaderless = balance.GroupBounds(p.params, balance.GroupLoad{Skew: balance.InitialMapSkew}, pause)
	w.createGroups()
	for i := range p.ranks {
		id := fmt.Sprint("e", i)
		w.ups = append(w.ups, upstream.Instance{ID: upstream.ID(id), Service: "s", Address: id, Slots: p.params.Slots, State: upstream.StateReady, DataCentre: p.uneven.name(i)})
		w.ids[id] = w.ups[i].Run()
	}
	for i := range p.routers {
		pool := balance.NewPool(p.uneven.name(i))
		pool.SetRandom(rand.New(rand.NewPCG(p.seed, uint64(i)+100)).Float64)
		r := &router{name: fmt.Sprint("r", i), pool: pool, queue: admission.NewQueue(pool), waiting: map[*admission.Request]*caller{}, inFlight: make([]int, p.ranks), lists: make([]balance.RankList, len(w.engines))}
		limits := retry.Limits{Ratio: 0.2, Slack: 5 * float64(p.ranks), Window: 10 * time.Second}
		r.budget = retry.NewBudget(w.now, limits, retry.Share{})
		w.after(routersSettle, func() { r.budget.SetLimits(w.now, limits, retry.Share{Routers: p.routers, Since: w.now}) })
		w.routers = append(w.routers, r)
		w.infos = append(w.infos, peer.Info{Name: r.name, DataCentre: p.uneven.name(i)})
	}
	w.after(0, w.arrive)
	for _, at := range slices.Sorted(maps.Keys(p.incidents)) {
		w.after(at, func() { p.incidents[at](w) })
	}
	for g := range len(w.engines) - p.leaderless {
		if p.reportAge >= 0 {
			w.after(w.p.ledFrom, func() { w.reportGroup(g) })
		}
	}
	for end := w.begin.Add(p.duration + callerTimeout); len(w.events) > 0 && w.events[0].at.Before(end); {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.run()
	}
	for _, e := range w.engines {
		w.res.longest = max(w.res.longest, e.longest)
	}
	return w
}

// routersSettle is how long after its start a router knows how many others there are.
const routersSettle = 2 * time.Second

// firstSkew is the skew of a group without a coordinator, which stays on its first map.
const firstSkew = 3.2

// createGroups divides the ranks into groups.
func (w *world) createGroups() {
	groups := max(w.p.groups, 1)
	size := w.p.ranks / groups
	for g := range groups {
		skew := w.p.skew
		if g >= groups-w.p.leaderless {
			skew = steady(firstSkew)
		}
		pace := func(rank int, at time.Duration) float64 { return w.p.pace(g*size+rank, at) }
		w.engines = append(w.engines, &engine{params: w.p.params, queue: w.p.queue, ranks: make([]engineRank, size), skew: skew, pace: pace})
		w.books = append(w.books, balance.NewRouterRegistry(1))
		w.openedAt = append(w.openedAt, time.Time{})
	}
}

// locate returns the group of a rank, and the position of the rank in it.
func (w *world) locate(rank int) (group, place int) {
	size := len(w.engines[0].ranks)
	return rank / size, rank % size
}

func (w *world) at() time.Duration { return w.now.Sub(w.begin) }

func (w *world) after(d time.Duration, f func()) {
	w.seq++
	heap.Push(&w.events, event{at: w.now.Add(d), seq: w.seq, run: f})
}

// capacity is the number of streams per second that the group writes at a skew of 1.5 with most
// slots in use.
func (w *world) capacity() float64 {
	n := 0.8 * float64(w.p.params.Slots)
	pass := balance.Pass(w.p.params, balance.PassLoad{Mean: n, Max: n, Context: w.p.params.UsualPrompt, Reading: w.p.params.UsualPrompt, Skew: 1.5})
	return n * float64(w.p.ranks) / (float64(w.p.meanEvents()) * pass.Seconds())
}

// arrive simulates the arrival of a caller and schedules the next one.
func (w *world) arrive() {
	if w.at() > w.p.duration {
		return
	}
	rate := w.p.rate(w.at()) * w.p.kindsRate(w.at()) * w.capacity()
	w.after(time.Duration(w.arrivalRand.ExpFloat64()/rate*float64(time.Second)), w.arrive)
	c := &caller{arrived: w.now}
	if w.p.retriedFraction != nil && w.arrivalRand.Float64() < w.p.retriedFraction(w.at()) {
		c.arrived = w.now.Add(-time.Duration(w.arrivalRand.Float64() * float64(maxRetryAge)))
		c.tries++
	}
	if len(w.p.kinds) > 0 {
		c.kind = w.p.drawKind(w.at(), w.arrivalRand.Float64())
	}
	w.res.callers++
	w.callers = append(w.callers, c)
	w.locateCaller(c)
	w.after(c.arrived.Add(callerTimeout).Sub(w.now), func() { w.expire(c) })
	w.try(c)
}

// try sends a caller's request to a random router.
func (w *world) try(c *caller) {
	if c.done {
		return
	}
	c.tries++
	c.tried = w.now
	r := w.routerFor(c)
	if c.kind != nil {
		w.beginTry(c, r)
	}
	r.budget.Request(w.now)
	w.decide(c, r, map[upstream.ID]bool{})
}

// decide makes a router decide on a request.
func (w *world) decide(c *caller, r *router, tried map[upstream.ID]bool) {
	if w.choose != nil {
		if rank, ok := w.choose(w, r); ok {
			w.send(c, r, rank, tried)
		} else {
			w.reject(c, 300*time.Millisecond)
		}
		return
	}
	left := c.arrived.Add(callerTimeout).Sub(w.now)
	goal, _ := w.p.goals()
	x := &admission.Request{Route: "r", Goal: goal, Arrived: w.now, Deadline: w.now.Add(left), Patience: left, Timeout: callerTimeout, Ask: w.askFor(r, tried)}
	if c.kind != nil {
		w.setKind(x, c.kind)
	}
	x.Last = c.awaits
	c.request = x
	w.wake(r)
	v := r.queue.Arrive(w.now, x, w.ups)
	switch v.Outcome {
	case admission.OutcomeGranted:
		w.send(c, r, w.rankOf(v.Upstream), tried)
	case admission.OutcomeRejected:
		w.reject(c, v.RetryAfter)
	case admission.OutcomeWaits:
		c.waitFrom = w.now
		r.waiting[x] = c
		w.after(v.Wait, func() {
			if r.waiting[x] == c {
				r.queue.Leave(x)
				delete(r.waiting, x)
				w.res.rejectedAfterWait++
				w.reject(c, v.RetryAfter)
			}
		})
	}
}

// askFor returns what a request requires of the ranks.
func (w *world) askFor(r *router, tried map[upstream.ID]bool) balance.PickOptions {
	_, pauseGoal := w.p.goals()
	return balance.PickOptions{
		Engine: w.p.params, Routers: len(w.routers), Exclude: tried,
		Bounds:     balance.GroupBounds(w.p.params, r.pool.GroupLoad(w.now), pauseGoal),
		Leaderless: w.leaderless,
	}
}

func (w *world) rankOf(u upstream.Instance) int {
	var rank int
	_, _ = fmt.Sscanf(string(u.ID), "e%d", &rank)
	return rank
}

// send sends a request to a rank.
func (w *world) send(c *caller, r *router, rank int, tried map[upstream.ID]bool) {
	prompt := w.p.params.UsualPrompt * (0.3 + 1.4*w.rand.Float64())
	g, index := w.locate(rank)
	s := &stream{caller: c, router: r, rank: rank, index: index, engine: w.engines[g], unread: prompt, remaining: 1 + int(2*float64(w.p.meanEvents()-1)*w.rand.Float64())}
	run := w.ups[rank].Run()
	r.inFlight[rank]++
	if len(tried) > 0 {
		if _, ok := r.budget.Take(w.now); !ok {
			r.inFlight[rank]--
			r.pool.Done(w.now, run, balance.ResultUnsent, 0, false)
			w.wake(r)
			w.rejectNotRun(c, r)
			return
		}
	}
	if w.choose != nil {
		r.pool.Sent(w.now, run) // the project's decisions record the send themselves
	}
	switch r.pool.Conditions().Permit(w.now, run) {
	case condition.PermissionAsk:
		w.requestPermit(c, s, tried)
	case condition.PermissionDenied:
		w.reroute(c, s, tried)
	case condition.PermissionGiven:
		w.arriveAt(c, s, tried)
	}
}

// reroute makes the router decide again on a request that the chosen rank does not accept by its
// own report.
func (w *world) reroute(c *caller, s *stream, tried map[upstream.ID]bool) {
	s.router.inFlight[s.rank]--
	s.router.pool.Done(w.now, w.ups[s.rank].Run(), balance.ResultUnsent, 0, false)
	w.wake(s.router)
	if !c.done {
		w.decide(c, s.router, tried)
	}
}

// requestPermit requests a permit to send a request to a rank that limits its requests.
func (w *world) requestPermit(c *caller, s *stream, tried map[upstream.ID]bool) {
	run, conditions := w.ups[s.rank].Run(), s.router.pool.Conditions()
	askedAt, ask := w.now, conditions.Ask(w.now, run)
	w.after(2*networkDelay, func() {
		if p, _ := conditions.Answered(askedAt, w.now, run, w.ledger.Grant(w.now, ask, 1)); p == condition.PermissionGiven {
			w.arriveAt(c, s, tried)
			return
		}
		w.reroute(c, s, tried)
	})
}

// arriveAt simulates the arrival of a request at its rank.
func (w *world) arriveAt(c *caller, s *stream, tried map[upstream.ID]bool) {
	r, rank, run := s.router, s.rank, w.ups[s.rank].Run()
	s.sent = w.now
	w.after(networkDelay, func() {
		backOff := w.backOff(rank)
		if !w.closed() && !s.engine.broken && backOff == 0 && s.engine.enqueue(s) {
			c.stream = s
			w.startPass(s.engine)
			return
		}
		w.res.rejectedByRanks++
		if !w.p.ignoreBackOff {
			r.pool.Conditions().Note(w.now, s.sent, run, upstream.Notice{Rest: backOff})
		}
		r.inFlight[rank]--
		r.pool.Done(w.now, run, balance.ResultFull, networkDelay, false)
		w.wake(r)
		tried[run.ID] = true
		if len(tried) < 2 && !c.done && r.mayRetry(w.now, c) {
			w.decide(c, r, tried)
			return
		}
		w.rejectNotRun(c, r)
	})
}

// mayRetry reports whether a request that a rank did not run may be sent once more, now or after a
// wait for a retry.
func (r *router) mayRetry(now time.Time, c *caller) bool {
	if r.budget.Left(now) >= 1 {
		return true
	}
	c.awaits = c.tries > 1 && r.budget.Expected(now, admission.MaxRetryWait) >= 1
	return c.awaits
}

// rejectNotRun rejects a caller whose request a rank did not run.
func (w *world) rejectNotRun(c *caller, r *router) {
	if w.choose != nil {
		w.reject(c, 250*time.Millisecond)
		return
	}
	w.reject(c, r.queue.RetryAfterNotRun(w.now, c.request, w.ups))
}

// backOff returns the back-off that a rank requests which refuses everything; 0 if it does not
// refuse.
func (w *world) backOff(rank int) time.Duration {
	if w.p.shed == nil {
		return 0
	}
	return w.p.shed(rank, w.at())
}

func (w *world) closed() bool { return w.p.closed != nil && w.p.closed(w.at()) }

// reject tells a caller that its request has not run, and when to retry.
func (w *world) reject(c *caller, after time.Duration) {
	if c.done {
		return
	}
	w.res.rejected++
	if slices.ContainsFunc(w.engines, (*engine).hasFreeSlot) && !w.closed() {
		w.res.rejectedWithRoom++
	}
	left := c.arrived.Add(callerTimeout).Sub(w.now)
	if c.kind != nil && w.rejectKind(c, left) {
		return
	}
	if c.tries > 1 || left <= 0 {
		c.done = true
		w.res.lost++
		return
	}
	after = max(after, 250*time.Millisecond) + time.Duration(w.rand.Int64N(int64(250*time.Millisecond)))
	w.after(min(after, time.Duration(maxRetryDelayFraction*float64(left))), func() { w.try(c) })
}

// startPass starts the next pass if none is running.
func (w *world) startPass(e *engine) {
	if e.inPass || w.closed() || e.broken {
		return
	}
	length := e.beginPass(w.at())
	if length == 0 {
		return
	}
	e.inPass = true
	e.longest = max(e.longest, length)
	w.after(length, func() {
		e.inPass = false
		for _, s := range e.endPass() {
			w.deliver(s)
		}
		w.startPass(e)
	})
}

// deliver delivers an event to its caller.
func (w *world) deliver(s *stream) {
	c := s.caller
	if !s.started {
		s.started = true
		s.router.pool.Started(w.now, w.ups[s.rank].Run())
		if w.p.limit != nil {
			limit := w.p.limit(s.rank, w.at())
			s.router.pool.Conditions().Note(w.now, s.sent, w.ups[s.rank].Run(), upstream.Notice{Limited: limit > 0, Limit: upstream.Rate(limit)})
		}
		c.first = w.now.Sub(c.arrived)
	} else {
		c.pause = max(c.pause, w.now.Sub(c.latest))
	}
	c.latest = w.now
	if s.remaining > 0 {
		return
	}
	s.router.inFlight[s.rank]--
	s.router.pool.Done(w.now, w.ups[s.rank].Run(), balance.ResultOK, 0, true)
	w.wake(s.router)
	c.done = true
	if c.kind != nil {
		c.finish()
		return
	}
	if goal, pauseGoal := w.p.goals(); c.first <= goal && c.pause <= pauseGoal {
		w.res.earned++
		w.countInTime(c)
		return
	}
	w.res.late++
	w.res.earned += lateValue
}

// expire ends a caller whose deadline has passed.
func (w *world) expire(c *caller) {
	if c.done {
		return
	}
	c.done = true
	w.res.lost++
	if c.kind != nil {
		w.leave(c)
	}
	if s := c.stream; s != nil {
		s.engine.remove(s)
		s.router.inFlight[s.rank]--
		s.router.pool.Done(w.now, w.ups[s.rank].Run(), balance.ResultCancelled, 0, s.started)
	}
}

// wake sends the waiting requests that a router now has room for.
func (w *world) wake(r *router) {
	for _, g := range r.queue.Admit(w.now, w.ups) {
		if c, ok := r.waiting[g.Request]; ok {
			delete(r.waiting, g.Request)
			w.send(c, r, w.rankOf(g.Upstream), map[upstream.ID]bool{})
		}
	}
}

// reportGroup collects the load of all ranks of a group and sends it to the routers, which reply.
func (w *world) reportGroup(index int) {
	age := w.p.reportAge
	if w.p.lastReportAge > 0 && index == len(w.engines)-w.p.leaderless-1 {
		age = w.p.lastReportAge
	}
	w.after(max(age, 70*time.Millisecond), func() { w.reportGroup(index) })
	if w.leaderGone[index] {
		return
	}
	e, book := w.engines[index], w.books[index]
	g := balance.Group{Service: "s", ID: group.ID(fmt.Sprint("g", index)), Open: !w.closed() && !e.broken, Whole: true, Skew: e.skew(w.at())}
	if w.p.assumedSkew != nil {
		g.Skew = w.p.assumedSkew(w.at())
	}
	for rank := range e.ranks {
		running, waiting, pace := e.load(rank, w.at())
		address := string(w.ups[index*len(e.ranks)+rank].ID)
		g.Ranks = append(g.Ranks, balance.RankLoad{Address: address, DataCentre: w.ups[index*len(e.ranks)+rank].DataCentre, Running: running, Waiting: waiting, Pace: pace, Unstarted: book.Unstarted(w.now, address)})
	}
	bounds := w.bounds(index, g)
	_, pauseGoal := w.p.goals()
	bounds.LevelMeans = balance.LevelMeans(w.p.params, g.Pace(), pauseGoal, book.Levels(w.now))
	targets := book.Targets(w.now, w.infos)
	number, allotments := book.StartReport(w.now, targets, g.Ranks, &bounds)
	for _, n := range targets {
		r := w.routers[w.indexOf(n.Name)]
		groupReport := g
		groupReport.Places = allotments[n.Name]
		report, list := book.Pack(n.Name, groupReport)
		w.after(networkDelay+age/4, func() { w.receiveReport(index, r, n, number, report, list) })
	}
	if w.choose != nil {
		w.after(networkDelay+age/4, func() { w.loads = g.Ranks })
	}
}

// bounds returns the bounds that the coordinator of a group applies.
func (w *world) bounds(index int, g balance.Group) balance.Bounds {
	goal, pauseGoal := w.p.goals()
	usual := balance.GroupBounds(w.p.params, g.Load(), pauseGoal)
	switch {
	case !g.Open:
		w.openedAt[index] = time.Time{}
	case w.openedAt[index].IsZero():
		w.openedAt[index] = w.now
	}
	if w.p.withoutCatchUp {
		return usual
	}
	o := balance.Opening{At: w.openedAt[index], Waiting: w.books[index].Waiting(w.now), Ranks: len(g.Ranks), Goal: goal}
	return balance.CatchUpBounds(w.now, w.p.params, g.Load(), usual, o)
}

func (w *world) indexOf(name string) int {
	var i int
	_, _ = fmt.Sscanf(name, "r%d", &i)
	return i
}

// receiveReport makes a router process a report on a group and reply to it.
func (w *world) receiveReport(index int, r *router, n peer.Info, number uint64, report balance.Report, list balance.RankList) {
	if l, ok := report.IncludedList(); ok {
		r.lists[index] = l
	}
	var reply balance.ReportReply
	if g, ok := r.lists[index].Unpack(report); ok {
		unstarted := r.pool.Report(w.now, g, w.ids)
		w.wake(r)
		reply = balance.ReportReply{List: r.lists[index].Number, Unstarted: r.lists[index].PackUnstarted(unstarted), Wanted: r.queue.Wanted(w.now), Waiting: r.queue.Waiting(), Rate: r.queue.Rate(w.now), Idle: r.queue.Idle(w.now), Levels: r.queue.LevelDemands(w.now)}
		if !w.p.withoutSendLimits {
			sendLimits, backingOff := r.pool.SendLimits(w.now, w.ids)
			reply.Most, reply.Resting = r.lists[index].PackLimits(sendLimits), r.lists[index].PackRanks(backingOff)
		}
	}
	book := w.books[index]
	w.after(networkDelay, func() { book.RecordReply(w.now, n, number, list, reply) })
}

// leastInFlight sends each request to the rank with the fewest requests in flight from the router.
func leastInFlight(w *world, r *router) (int, bool) {
	best, least := 0, math.MaxInt
	begin := w.rand.IntN(len(w.ups))
	for i := range w.ups {
		rank := (begin + i) % len(w.ups)
		if r.inFlight[rank] < least {
			best, least = rank, r.inFlight[rank]
		}
	}
	return best, true
}

// twoChoices sends each request to the less loaded of two random ranks, by the latest report.
func twoChoices(w *world, _ *router) (int, bool) {
	a, b := w.rand.IntN(len(w.ups)), w.rand.IntN(len(w.ups))
	if len(w.loads) == 0 || load(w.loads[a]) <= load(w.loads[b]) {
		return a, true
	}
	return b, true
}

func load(l balance.RankLoad) int { return l.Running + max(l.Waiting, l.Unstarted) }

// ledOnly sends each request to the rank with the fewest requests in flight from the router, among
// the groups that have a coordinator.
func ledOnly(w *world, r *router) (int, bool) {
	size := len(w.engines[0].ranks)
	best, least := 0, math.MaxInt
	led := size * (len(w.engines) - w.p.leaderless)
	begin := w.rand.IntN(led)
	for i := range led {
		rank := (begin + i) % led
		if r.inFlight[rank] < least {
			best, least = rank, r.inFlight[rank]
		}
	}
	return best, true
}
