// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package relay forwards the requests of callers to upstreams and returns their answers. It decides
// which upstream gets a request, what is retried, and what a caller is answered when no upstream
// answers.
package relay

import (
	"context"
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"fawnwinch.org/fawnwinch/models/catalog"
	"fawnwinch.org/fawnwinch/models/service"
	"fawnwinch.org/fawnwinch/models/upstream"
	"fawnwinch.org/fawnwinch/models/vm"
	"fawnwinch.org/fawnwinch/modules/clock"
	"fawnwinch.org/fawnwinch/modules/httpconn"
	"fawnwinch.org/fawnwinch/modules/memory"
	"fawnwinch.org/fawnwinch/modules/metrics"
	"fawnwinch.org/fawnwinch/modules/setting"
	"fawnwinch.org/fawnwinch/services"
	"fawnwinch.org/fawnwinch/services/admission"
	"fawnwinch.org/fawnwinch/services/balance"
	"fawnwinch.org/fawnwinch/services/knowledge"
	"fawnwinch.org/fawnwinch/services/quarantine"
	"fawnwinch.org/fawnwinch/services/quota"
	"fawnwinch.org/fawnwinch/services/retry"
	"fawnwinch.org/fawnwinch/services/shutdown"

	"github.com/rs/zerolog"
)

// Options holds what a Relay needs.
type Options struct {
	DataCentre vm.DataCentre
	// Regions holds the regions of the data centres. It decides which upstreams may get requests
	// that are restricted to some regions.
	Regions  vm.Regions
	Bounds   setting.Bounds
	Protocol services.CallerProtocol
	Metrics  *metrics.Metrics
	// Memory bounds the bytes that the bodies of requests and answers hold together; 0 for no bound.
	Memory int64
	Logger zerolog.Logger
}

// Relay is the part of a router that serves callers. It is safe for use by several goroutines.
type Relay struct {
	opts  Options
	conns *httpconn.Pool
	// memory is the memory of the bodies of requests and answers.
	memory *memory.Account

	mu    sync.Mutex
	state *knowledge.State
	pools map[service.ID]*serviceState
	// routers is the number of routers that callers use, this one included.
	routers int
	// sharers counts the routers that share the slack of the retry budgets.
	sharers retry.Routers
	// leaving is the plan of the stop that the process was ordered to make.
	leaving shutdown.Plan
	// others is the state of the other routers that callers are sent to.
	others shutdown.Others
	// leavingRejects counts the requests that were rejected because of the stop.
	leavingRejects uint64
	// stall is how long a caller may take to read a part of an answer.
	stall time.Duration
	// answerTimes holds how long recent answers took.
	answerTimes *shutdown.AnswerTimes
	// ending ends when endRequests is called, and the requests in flight with it.
	ending      context.Context //nolint:containedctx // it ends the contexts of requests
	endRequests context.CancelFunc
	// unreported is called when a request arrives for a service with groups that has ranks without
	// a reported load.
	unreported func(service.ID)
	active     int
	// accepted counts the requests that have arrived.
	accepted uint64
	// lastRequest is when the latest request arrived; zero for never.
	lastRequest time.Time
	// runs holds the run of the upstream to which connections to an address lead.
	runs map[string]upstream.Run
	// crashes records the requests during which upstreams ended; onCrash is called when it has
	// changed.
	crashes *quarantine.Register
	onCrash func()
	// quarantined holds what is refused, and the requests that were.
	quarantined quarantined
	// running counts the running requests by content and by part of the prompt.
	running map[quarantine.Key]int
	// self is the name of this router, and testers holds the names of all routers that may test
	// whether a key that was refused is still at fault.
	self    string
	testers []string
	// sent holds the attempts whose answers have not ended, of requests that may be sent again.
	sent map[*sentAttempt]struct{}
	// probes holds the probes of upstreams whose connections broke.
	probes map[upstream.Run]*probe
	// permits grants permits for upstreams that limit their requests.
	permits services.PermitGrantor
	// start is the start time in nanoseconds. It distinguishes the watermarks of this relay from
	// those of earlier ones on the same VM, and is never 0, the start of an unset watermark.
	start uint64
}

// serviceState is the state of one service: its upstreams, retry budget and queue.
type serviceState struct {
	service service.ID
	pool    *balance.Pool
	budget  *retry.Budget
	queue   *admission.Queue
	// ready receives the upstream for each waiting request.
	ready map[*admission.Request]chan upstream.Instance
	// coverageAt is when the ranks were last checked for missing load reports.
	coverageAt time.Time
	shortage   shortage
	// retriesUsed counts the requests that were sent once more, and retriesDenied those for which the
	// budget had no retry.
	retriesUsed, retriesDenied uint64
}

// New returns a relay without a catalog or upstreams. Until SetRouters and SetPermits are called,
// it assumes that it is the only router and grants permits itself. Until SetKnownRouters is called,
// its retry budgets have no share of the slack.
func New(o Options) *Relay {
	ending, endRequests := context.WithCancel(context.Background())
	r := &Relay{
		ending: ending, endRequests: endRequests, answerTimes: shutdown.NewAnswerTimes(), others: shutdown.OthersNone, stall: defaultStall,
		opts: o, conns: httpconn.NewPool(maxIdleConn), memory: memory.NewAccount(o.Memory), state: knowledge.New(o.Bounds.DrainTime), pools: map[service.ID]*serviceState{}, routers: 1, unreported: func(service.ID) {},
		runs: map[string]upstream.Run{}, crashes: quarantine.NewRegister(clock.Now()), onCrash: func() {}, quarantined: quarantined{}, running: map[quarantine.Key]int{}, sent: map[*sentAttempt]struct{}{}, probes: map[upstream.Run]*probe{},
		permits: localPermits{quota.NewLedger()}, start: uint64(max(clock.Now().UnixNano(), 1)),
	}
	r.measureQuarantine(o.Metrics, clock.Now)
	r.measureConditions(o.Metrics, clock.Now)
	r.measureWaiting(o.Metrics)
	r.measureRetries(o.Metrics, clock.Now)
	r.measureMemory(o.Metrics)
	return r
}

// WithState calls f with the router's state under the relay's lock.
func (r *Relay) WithState(f func(s *knowledge.State)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f(r.state)
}

// AcceptsKeys reports whether the catalog is fresh enough to accept callers with keys.
func (r *Relay) AcceptsKeys(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.Complete() && !r.keyMayBeRevoked(r.state.CatalogAge(now))
}

// SetRouters sets the number of routers that callers use, this one included.
func (r *Relay) SetRouters(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.routers = n
}

// SetBounds applies new bounds.
func (r *Relay) SetBounds(now time.Time, b setting.Bounds) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.opts.Bounds = b
	r.state.SetDrainTime(b.DrainTime)
	r.shareRetries(now)
}

// Active returns the number of requests in flight.
func (r *Relay) Active() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.active
}

// LastRequest returns the time at which the latest request arrived; zero for never.
func (r *Relay) LastRequest() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lastRequest
}

// RouterLoad is what a router adds to the load report of a group.
type RouterLoad struct {
	// Unstarted counts the requests at each rank whose answer has not begun.
	Unstarted balance.Unstarted
	// Unread holds the prompt tokens of these requests; nil if none are declared.
	Unread balance.Unread
	// Wanted is the number of requests that the router would like to send until the next report;
	// Waiting is how many of them wait.
	Wanted, Waiting int
	// Rate is the number of requests that the router sends per second.
	Rate float64
	// Levels divides Wanted and Waiting by level; nil if the service has no levels.
	Levels []balance.LevelDemand
	// Idle reports whether there has been no request for a while.
	Idle bool
	// Most bounds the number of requests that the router may send to some ranks. It is 0 for ranks
	// in evacuated data centres.
	Most balance.SendLimits
	// Resting holds the addresses of the ranks that have refused the router's requests.
	Resting []string
}

// OnUnreported sets the function that is called when a request arrives for a service with model
// groups and the load of some of its ranks is not reported.
func (r *Relay) OnUnreported(f func(service.ID)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unreported = f
}

// SetPermits sets the permit grantor for upstreams that limit their requests, which all routers
// share.
func (r *Relay) SetPermits(p services.PermitGrantor) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.permits = p
}

// Report applies the load of a model group, and returns what this router adds to it.
func (r *Relay) Report(now time.Time, g balance.Group) RouterLoad {
	r.mu.Lock()
	defer r.mu.Unlock()
	id := service.ID(g.Service)
	ids := map[string]upstream.Run{}
	for _, i := range r.state.Usable(now, id) {
		ids[i.Address] = i.Run()
	}
	svc := r.serviceState(now, id)
	unstarted := svc.pool.Report(now, g, ids)
	unread := svc.pool.Unread(&g, ids)
	r.wake(now, svc)
	r.rerouteStuck(now, svc)
	r.checkShortage(now, svc)
	most, resting := svc.pool.SendLimits(now, ids)
	for _, u := range r.state.EvacuatedUpstreams(id) {
		most[u.Address] = 0
	}
	return RouterLoad{
		Unstarted: unstarted, Wanted: svc.queue.Wanted(now), Waiting: svc.queue.Waiting(), Rate: svc.queue.Rate(now), Idle: len(unstarted) == 0 && svc.queue.Idle(now),
		Most: most, Resting: resting, Levels: svc.queue.LevelDemands(now),
		Unread: unread,
	}
}

// LevelDemands returns this router's demand for a service by level; nil if the service is not
// ranked.
func (r *Relay) LevelDemands(now time.Time, id service.ID) []balance.LevelDemand {
	r.mu.Lock()
	defer r.mu.Unlock()
	svc, ok := r.pools[id]
	if !ok {
		return nil
	}
	return svc.queue.LevelDemands(now)
}

// Sweep drops expired state.
func (r *Relay) Sweep(now time.Time) {
	r.conns.Sweep(now)
	r.mu.Lock()
	defer r.mu.Unlock()
	listed, addresses := map[upstream.Run]bool{}, map[string]bool{}
	for _, c := range r.state.All(now) {
		listed[c.Value.Run()] = true
		addresses[c.Value.Address] = true
	}
	r.crashes.Sweep(now)
	r.answerTimes.Sweep(now)
	r.noteQuarantined(now)
	maps.DeleteFunc(r.probes, func(_ upstream.Run, p *probe) bool { return p.expired(now) })
	maps.DeleteFunc(r.runs, func(address string, _ upstream.Run) bool { return !addresses[address] })
	for _, svc := range r.pools {
		svc.pool.Forget(now, listed)
		r.wake(now, svc)
		r.checkShortage(now, svc)
	}
}

// IdleTimeout returns how long the connection of a caller may rest; 0 if the catalog does not tell.
func (r *Relay) IdleTimeout() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if index := r.state.Index(); index != nil {
		return index.IdleTimeout
	}
	return 0
}

// Connections returns the number of connections opened to upstreams.
func (r *Relay) Connections() uint64 { return r.conns.Opened.Load() }

// Close ends the requests in flight and closes idle connections.
func (r *Relay) Close() {
	r.endRequests()
	r.conns.Close()
}

// serviceState returns the state of a service, and creates it if needed. The caller holds the lock.
func (r *Relay) serviceState(now time.Time, id service.ID) *serviceState {
	svc, ok := r.pools[id]
	if !ok {
		pool := balance.NewPool(r.opts.DataCentre)
		svc = &serviceState{
			service: id, pool: pool, queue: admission.NewQueue(pool), ready: map[*admission.Request]chan upstream.Instance{},
			budget: retry.NewBudget(now, r.retryLimits(), r.sharers.Share()),
		}
		r.pools[id] = svc
	}
	return svc
}

// pickService picks one of a route's services at random by their weights.
func pickService(rt *catalog.Route) service.ID {
	var sum float64
	for _, t := range rt.Targets {
		sum += t.Weight
	}
	at := rand.Float64() * sum //nolint:gosec // no secret
	for _, t := range rt.Targets {
		if at -= t.Weight; at < 0 {
			return t.Service
		}
	}
	return rt.Targets[0].Service
}

// release records the end of an attempt.
func (x *exchange) release(u upstream.Instance, res balance.Result, took time.Duration, started bool) {
	now, r := clock.Now(), x.r
	r.mu.Lock()
	defer r.mu.Unlock()
	svc := r.serviceState(now, x.service)
	svc.pool.Done(now, u.Run(), res, took, started)
	if !started {
		svc.pool.PromptRead(u.Run(), x.size)
	}
	r.wake(now, svc)
	if res == balance.ResultUnreached || res == balance.ResultStranger {
		r.conns.CloseIdle(u.Address)
	}
}

// updateRun records to which run of an upstream its address leads now, and closes idle connections
// to an earlier run: a request that may not be repeated would be lost on one.
func (r *Relay) updateRun(u upstream.Instance) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if previous, known := r.runs[u.Address]; known && previous != u.Run() {
		r.conns.CloseIdle(u.Address)
	}
	r.runs[u.Address] = u.Run()
}

// started records that the answer of an upstream has begun.
func (x *exchange) started(u upstream.Instance) {
	x.r.mu.Lock()
	defer x.r.mu.Unlock()
	now := clock.Now()
	svc := x.r.serviceState(now, x.service)
	svc.pool.Started(now, u.Run())
	svc.pool.PromptRead(u.Run(), x.size)
	if x.size.PromptDeclared || svc.queue.WaitsBySize() {
		x.r.wake(now, svc) // the upstream may read another prompt
	}
}
