// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package agent is the process beside an upstream, the last hop before it. It shares the upstream
// among client accounts, prevents requests that must not be repeated from running twice, reports
// load and drains the upstream without cutting a request.
package agent

import (
	"cmp"
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"fawnwinch.org/fawnwinch/models/intent"
	"fawnwinch.org/fawnwinch/models/service"
	"fawnwinch.org/fawnwinch/models/upstream"
	"fawnwinch.org/fawnwinch/modules/clock"
	"fawnwinch.org/fawnwinch/modules/httpx"
	"fawnwinch.org/fawnwinch/modules/metrics"
	"fawnwinch.org/fawnwinch/modules/rpc"
	"fawnwinch.org/fawnwinch/modules/setting"
	"fawnwinch.org/fawnwinch/modules/timeline"
	"fawnwinch.org/fawnwinch/services"
	"fawnwinch.org/fawnwinch/services/once"
	"fawnwinch.org/fawnwinch/services/share"

	"github.com/google/uuid"
	"github.com/rs/zerolog"
)

// Agent is the running agent. It is safe for use by several goroutines.
type Agent struct {
	set  setting.Agent
	self once.Owner
	// address is where routers send requests.
	address string
	ring    *timeline.Ring
	logger  zerolog.Logger
	pool    *rpc.Pool
	log     services.Log
	client  *http.Client
	engine  services.Engine

	gate *share.Gate
	once *once.Service

	http *httpx.Server
	rpc  *rpc.Server

	links    *links
	switcher *switcher

	state        atomic.Value // upstream.State
	leavingSince atomic.Int64 // unix nanoseconds at which leaving began, or 0
	stopping     atomic.Bool  // the process stops: leaving is final
	load         atomic.Pointer[engineLoad]
	inFlight     atomic.Int64
	// loadedExperts counts the experts whose weights this rank has loaded.
	loadedExperts atomic.Int64

	mu     sync.Mutex
	config intent.State

	cancel context.CancelFunc
	done   sync.WaitGroup
}

// Listeners are the open sockets of an agent.
type Listeners struct {
	HTTP, RPC net.Listener
}

// Dependencies holds the clients of the systems outside fawnwinch.
type Dependencies struct {
	Log     services.Log
	Weights services.WeightStore
	// Engine is the client of the agent's own rank; Dial returns clients of the engines of other
	// ranks.
	Engine services.Engine
	Dial   EngineDialer
}

// EngineDialer returns a client of the engine at an address.
type EngineDialer func(address string) services.Engine

// New returns an agent that is not started.
func New(set setting.Agent, out Dependencies, ls Listeners, m *metrics.Metrics, ring *timeline.Ring, logger zerolog.Logger) (*Agent, error) {
	incarnation, err := uuid.NewV7()
	if err != nil {
		return nil, fmt.Errorf("make incarnation: %w", err)
	}
	a := &Agent{
		set: set, ring: ring, logger: logger, log: out.Log, engine: out.Engine, pool: rpc.NewPool(),
		self:    once.Owner{Upstream: set.Upstream.ID, Incarnation: upstream.Incarnation(incarnation.String()), RPC: cmp.Or(set.Process.AdvertiseRPC, ls.RPC.Addr().String())},
		address: cmp.Or(set.Process.AdvertiseHTTP, ls.HTTP.Addr().String()),
		gate:    share.NewGate(share.Limits{Concurrency: set.Upstream.Concurrency, Waiting: set.Upstream.QueueLimit}),
		client:  &http.Client{Transport: httpx.NewTransport(upstreamDialTimeout, 256)},
		config:  intent.Empty(),
	}
	a.switcher = &switcher{a: a, weights: out.Weights, dial: out.Dial}
	a.state.Store(upstream.StateReady)
	a.load.Store(&engineLoad{})
	a.links = newLinks(a, set.Routers)
	if set.Upstream.Kind == service.KindPlain {
		a.once = a.newOnce()
	}
	a.http = httpx.NewServer(ls.HTTP, a.handler(m), httpx.NewConnections(0))
	a.rpc = rpc.NewServer(ls.RPC)
	if err := a.rpc.Register("Agent", &API{a: a}); err != nil {
		return nil, fmt.Errorf("agent rpc: %w", err)
	}
	a.register(m)
	return a, nil
}

// upstreamDialTimeout bounds a connection attempt to the upstream beside the agent.
const upstreamDialTimeout = time.Second

// onceAnswerBytes is the size limit of the answers that an agent keeps.
const onceAnswerBytes = 32 << 20

func (a *Agent) newOnce() *once.Service {
	return once.NewService(once.Config{
		Lifetime: a.set.Once.Lifetime, Capacity: a.set.Once.Capacity, AnswerBytes: onceAnswerBytes, OutageAfter: a.set.Once.OutageAfter,
	}, a.self, once.Options{
		Log: a.log, Stream: once.StreamOf(a.set.Upstream.Service), Batch: a.set.Once.Batch, Retention: a.set.Platform.Retention,
		Directory: a.links, Peers: a.links, Ring: a.ring, Logger: a.logger,
	})
}

// Start starts the servers, the heartbeats and the checks of the upstream.
func (a *Agent) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	a.cancel = cancel
	a.http.Start()
	a.rpc.Start()
	a.done.Go(func() { a.links.run(ctx) })
	a.done.Go(func() { a.watchUpstreamState(ctx) })
	if a.once != nil {
		a.done.Go(func() { a.once.Run(ctx) })
	}
	if a.set.Upstream.Kind == service.KindModel {
		a.done.Go(func() { a.switcher.run(ctx) })
	}
	a.logger.Info().Str("http", a.http.Addr()).Str("rpc", a.self.RPC).Msg("agent started")
}

// Incarnation returns the incarnation of this agent.
func (a *Agent) Incarnation() upstream.Incarnation { return a.self.Incarnation }

// State returns the state that the agent reports.
func (a *Agent) State() upstream.State {
	if a.leavingSince.Load() != 0 {
		return upstream.StateLeaving
	}
	s, _ := a.state.Load().(upstream.State)
	return s
}

// ApplyLeaveRequest applies the routers' requests to leave, which follow from the platform's list
// and the configuration. The upstream leaves while any router requests it and returns when none
// does.
func (a *Agent) ApplyLeaveRequest(now time.Time, leave bool) {
	if leave {
		a.leave(now, "platform or configuration")
		return
	}
	if at := a.leavingSince.Load(); at != 0 && !a.stopping.Load() && a.leavingSince.CompareAndSwap(at, 0) {
		a.ring.Add(now, timeline.Event{Kind: timeline.KindDrain, Name: "back"})
		a.links.wakeUp()
	}
}

// leave starts the drain of the upstream. It is announced at once; new work is refused after
// leaveGrace, when the routers have learned of it.
func (a *Agent) leave(now time.Time, why string) {
	if a.leavingSince.CompareAndSwap(0, now.UnixNano()) {
		a.ring.Add(now, timeline.Event{Kind: timeline.KindDrain, Name: "leaving", Detail: "why=" + why})
		a.logger.Info().Str("why", why).Msg("leaving")
		a.links.wakeUp()
	}
}

// leaveGrace is how long a leaving agent still accepts requests, for routers that may not have
// learned of it yet.
const leaveGrace = 1500 * time.Millisecond

// refusesWork reports whether new work is refused because the upstream is leaving.
func (a *Agent) refusesWork(now time.Time) bool {
	at := a.leavingSince.Load()
	return at != 0 && now.UnixNano()-at > int64(leaveGrace)
}

// setConfig puts a configuration with a higher revision in force.
func (a *Agent) setConfig(now time.Time, s intent.State) {
	a.mu.Lock()
	if s.Intent == nil || s.Revision <= a.config.Revision {
		a.mu.Unlock()
		return
	}
	a.config = s
	a.mu.Unlock()
	if sv := s.Intent.Service(a.set.Upstream.Service); sv != nil {
		a.gate.SetWeights(sv.Shares)
	}
	a.ring.Add(now, timeline.Event{Kind: timeline.KindConfig, Name: "in-force", Detail: fmt.Sprintf("revision=%d", s.Revision)})
}

// Config returns the configuration in force here.
func (a *Agent) Config() intent.State {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.config
}

// configuredMembers returns the upstreams that the configuration lists for the agent's service.
func (a *Agent) configuredMembers() []upstream.ID {
	if sv := a.Config().Intent.Service(a.set.Upstream.Service); sv != nil {
		return sv.Members()
	}
	return nil
}

// stopPollInterval is the poll interval of Stop.
const stopPollInterval = 50 * time.Millisecond

// Stop stops the agent without cutting a request. It leaves, waits until the routers have learned
// of it, its slices are handed over and its requests have ended, and closes then. If ctx ends
// first, the remaining requests are cut.
func (a *Agent) Stop(ctx context.Context) error {
	now := clock.Now()
	a.stopping.Store(true)
	a.leave(now, "stop")
	ticker := time.NewTicker(stopPollInterval)
	defer ticker.Stop()
	for ctx.Err() == nil && !a.drained(clock.Now()) {
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
	err := a.http.Stop(ctx)
	a.cancel()
	a.done.Wait()
	a.rpc.Close()
	a.pool.Close()
	a.client.CloseIdleConnections()
	if err != nil {
		return fmt.Errorf("stop agent: %w", err)
	}
	return nil
}

// drained reports whether a leaving agent can stop: it refuses new work, no request is in flight,
// and it owns no slices or no other agent is ready to take them over.
func (a *Agent) drained(now time.Time) bool {
	if !a.refusesWork(now) || a.inFlight.Load() > 0 {
		return false
	}
	if a.once == nil || !a.links.othersReady(now) {
		return true
	}
	return len(a.once.Owned()) == 0
}
