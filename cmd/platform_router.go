// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package cmd

import (
	"context"
	"math"

	"fawnwinch.org/fawnwinch/models/vm"
	"fawnwinch.org/fawnwinch/modules/clock"
	"fawnwinch.org/fawnwinch/modules/httpx"
	"fawnwinch.org/fawnwinch/modules/metrics"
	"fawnwinch.org/fawnwinch/modules/rpc"
	"fawnwinch.org/fawnwinch/modules/setting"
	"fawnwinch.org/fawnwinch/platform"
	"fawnwinch.org/fawnwinch/routers"
	"fawnwinch.org/fawnwinch/services/entry"
	"fawnwinch.org/fawnwinch/services/knowledge"
	"fawnwinch.org/fawnwinch/services/relay"

	"github.com/rs/zerolog"
	"go.uber.org/fx"
)

func entryOptions(n node) fx.Option {
	return fx.Options(n.options(), fx.Provide(n.newRelay), fx.Invoke(n.runEntry))
}

// bodyMemoryFraction is the fraction of the memory of a router that the bodies of requests and answers
// may hold. The rest is for connections, the catalog and garbage.
const bodyMemoryFraction = 0.5

func (n node) newRelay(m *metrics.Metrics, logger zerolog.Logger) *relay.Relay {
	r := relay.New(relay.Options{
		DataCentre: n.set.DataCentre, Regions: n.set.Regions, Bounds: n.set.Bounds, Protocol: platform.Headers{}, Metrics: m, Logger: logger,
		Memory: int64(bodyMemoryFraction * float64(n.set.Memory)),
	})
	m.Gauge("catalog_age_seconds", "Time since the catalog in force was last known to be the newest; NaN before one is known.", nil, func() float64 {
		age := math.NaN()
		r.WithState(func(s *knowledge.State) {
			if !s.CatalogProof().IsZero() {
				age = s.CatalogAge(clock.Now()).Seconds()
			}
		})
		return age
	})
	m.Gauge("catalog_unreadable", "1 while there is a later catalog than the one in force that cannot be read.", nil, func() float64 {
		return stateFlag(r, (*knowledge.State).Unreadable)
	})
	m.Gauge("catalog_incomplete", "1 while some routes or accounts of the catalog in force could not be read.", nil, func() float64 {
		return stateFlag(r, func(s *knowledge.State) bool { return s.Index() != nil && s.Index().Incomplete })
	})
	m.Gauge("data_centres_evacuated", "Data centres whose upstreams get no requests because the operator has evacuated them.", nil, func() float64 {
		n := 0
		r.WithState(func(s *knowledge.State) { n = len(s.Evacuated()) })
		return float64(n)
	})
	registerCoverageMetrics(m, r)
	m.Counter("upstream_connections_total", "Connections opened to upstreams.", nil, func() float64 { return float64(r.Connections()) })
	return r
}

// stateFlag returns 1 if a condition holds for the router's state, and else 0.
func stateFlag(r *relay.Relay, holds func(s *knowledge.State) bool) (value float64) {
	r.WithState(func(s *knowledge.State) {
		if holds(s) {
			value = 1
		}
	})
	return value
}

// entryProcess is a running router on the platform.
type entryProcess struct {
	node   node
	router *entry.Router
	relay  *relay.Relay
	peers  *rpc.Server
	pool   *rpc.Pool
	store  *platform.Store
	front  *httpx.Server
	logger zerolog.Logger
	cancel context.CancelFunc
}

// runEntry assembles a router and registers its start and stop.
func (n node) runEntry(lc fx.Lifecycle, store *platform.Store, pool *rpc.Pool, rl *relay.Relay, conns *httpx.Connections, m *metrics.Metrics, logger zerolog.Logger) error {
	front, err := httpx.Listen(n.set.Callers)
	if err != nil {
		return wrap(err, "listen for callers")
	}
	peers, err := httpx.Listen(n.set.Peers)
	if err != nil {
		return wrap(err, "listen for peers")
	}
	r := entry.New(entry.Options{
		Self: n.self(vm.RoleRouter), Seeds: n.set.Seeds, Store: store, Pool: pool, Relay: rl, Logger: logger,
		Bounds: n.set.Bounds, Grace: n.set.Grace, Regions: n.set.Regions,
	})
	server := rpc.NewServer(peers)
	if err := server.Register("Router", entry.NewAPI(r)); err != nil {
		return wrap(err, "router")
	}
	directory := routers.NewDirectory(r, routers.DirectoryNames{
		ResolvePath: platform.PathResolve, ReadyPath: platform.PathReady, DataCentre: platform.ParamZone, Region: platform.ParamRegion, Host: platform.ParamHost,
		Addresses: platform.FieldAddresses, TTL: platform.FieldTTL,
	})
	for _, address := range []string{n.set.Ready, n.set.Directory} {
		if err := serveHTTP(lc, address, directory, conns); err != nil {
			return err
		}
	}
	p := &entryProcess{
		node: n, router: r, relay: rl, peers: server, pool: pool, store: store, logger: logger,
		front: httpx.NewServer(front, rl, conns),
	}
	closeRestingConnections(lc, conns, rl)
	registerConnectionMetrics(m, conns)
	n.reloader.onReload(func(set setting.Node) {
		r.Reload(set.Seeds, set.Bounds)
		rl.SetBounds(clock.Now(), set.Bounds)
	})
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			logger.Info().Str("role", "router").Str("callers", n.set.Callers).Msg("start")
			server.Start()
			go r.Run(ctx)
			p.front.Start()
			return nil
		},
		OnStop: p.stop,
	})
	return nil
}

// registerCoverageMetrics registers the metrics for the numbers of listed and unreported ranks.
func registerCoverageMetrics(m *metrics.Metrics, r *relay.Relay) {
	each := func(name, help string, count func(relay.Coverage) int) {
		m.LabelledValues(name, help, "service", false, func() []metrics.Sample {
			var out []metrics.Sample
			for _, c := range r.Coverage(clock.Now()) {
				out = append(out, metrics.Sample{Label: string(c.Service), Value: float64(count(c))})
			}
			return out
		})
	}
	each("ranks_listed", "Ranks of model groups that may take work.", func(c relay.Coverage) int { return c.Listed })
	each("ranks_unreported", "Ranks of model groups whose load no coordinator has told this router lately.", func(c relay.Coverage) int { return len(c.Unreported) })
}
