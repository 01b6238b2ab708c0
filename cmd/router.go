// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package cmd

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"fawnwinch.org/fawnwinch/modules/clock"
	"fawnwinch.org/fawnwinch/modules/httpx"
	"fawnwinch.org/fawnwinch/modules/metrics"
	"fawnwinch.org/fawnwinch/modules/rpc"
	"fawnwinch.org/fawnwinch/modules/setting"
	"fawnwinch.org/fawnwinch/modules/timeline"
	"fawnwinch.org/fawnwinch/routers"
	"fawnwinch.org/fawnwinch/services"
	"fawnwinch.org/fawnwinch/services/configlog"
	"fawnwinch.org/fawnwinch/services/directory"
	"fawnwinch.org/fawnwinch/services/dispatch"
	"fawnwinch.org/fawnwinch/services/membership"
	"fawnwinch.org/fawnwinch/services/platform"
	"fawnwinch.org/fawnwinch/services/retry"
	"fawnwinch.org/fawnwinch/services/routing"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
	"github.com/rs/zerolog"
	"github.com/spf13/cobra"
	"go.uber.org/fx"
)

func newRouterCommand() *cobra.Command {
	var path string
	c := &cobra.Command{
		Use:   "router",
		Short: "Run a router on an entry VM",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			set, err := setting.LoadRouter(path)
			if err != nil {
				return wrap(err, "router")
			}
			ss, err := listen(set.Process)
			if err != nil {
				return wrap(err, "router settings "+path)
			}
			return runApp(c.Context(), fx.New(routerOptions(set, ss, c.ErrOrStderr())))
		},
	}
	c.Flags().StringVarP(&path, "config", "c", "custom/conf/router.yaml", "settings file")
	return c
}

// routerOptions assembles a router.
func routerOptions(set setting.Router, ss sockets, logs io.Writer) fx.Option {
	return fx.Options(
		commonOptions(set.Process, ss, logs),
		fx.Supply(set),
		fx.Provide(
			func() *platform.Client { return platform.NewClient(set.Platform.Address) },
			func(c *platform.Client) services.Log { return c },
			func(c *platform.Client) services.VMList { return c },
			rpc.NewPool,
			configlog.NewFollower,
			newDirectory,
			func(d *directory.Directory, ring *timeline.Ring) *dispatch.Dispatcher {
				return dispatch.New(d, ring, retry.Limits{Ratio: set.RetryRatio, Slack: set.RetrySlack, Window: set.RetryWindow})
			},
			func() *metrics.Metrics { return metrics.New(set.Process.ID) },
		),
		fx.Invoke(runRouter),
	)
}

func newDirectory(set setting.Router, ss sockets, vms services.VMList, f *configlog.Follower, pool *rpc.Pool, ring *timeline.Ring, logger zerolog.Logger) (*directory.Directory, error) {
	incarnation, err := uuid.NewV7()
	if err != nil {
		return nil, fmt.Errorf("make incarnation: %w", err)
	}
	return directory.New(directory.Options{
		Self: membership.RouterInfo{
			ID: set.Process.ID, Incarnation: incarnation.String(), DataCentre: set.Process.DataCentre,
			RPC: cmp.Or(set.Process.AdvertiseRPC, ss.RPC.Addr().String()), HTTP: cmp.Or(set.Process.AdvertiseHTTP, ss.HTTP.Addr().String()), State: membership.RouterStarting,
		},
		Interval: membership.Interval(set.Process.Heartbeat), Seeds: set.Routers, VMs: vms, Follower: f, Pool: pool, Ring: ring, Logger: logger, Retention: set.Platform.Retention,
		Tracker: routing.Options{Routers: 1, EjectLimit: set.EjectLimit, Seed: xxhash.Sum64String(set.Process.ID)},
	}), nil
}

// routerProcess is a running router.
type routerProcess struct {
	set      setting.Router
	dir      *directory.Directory
	follower *configlog.Follower
	dispatch *dispatch.Dispatcher
	client   *platform.Client
	pool     *rpc.Pool
	ring     *timeline.Ring
	logger   zerolog.Logger
	http     *httpx.Server
	rpc      *rpc.Server
	cancel   context.CancelFunc
	done     sync.WaitGroup
}

func runRouter(lc fx.Lifecycle, set setting.Router, ss sockets, d *directory.Directory, f *configlog.Follower, dp *dispatch.Dispatcher,
	client *platform.Client, pool *rpc.Pool, m *metrics.Metrics, ring *timeline.Ring, logger zerolog.Logger,
) error {
	web := &routers.Web{Settings: set, Directory: d, Follower: f, Dispatcher: dp, Metrics: m, Ring: ring}
	p := &routerProcess{
		set: set, dir: d, follower: f, dispatch: dp, client: client, pool: pool, ring: ring, logger: logger,
		http: httpx.NewServer(ss.HTTP, web.Handler(), httpx.NewConnections(0)), rpc: rpc.NewServer(ss.RPC),
	}
	if err := p.rpc.Register("Router", directory.NewAPI(d)); err != nil {
		return fmt.Errorf("router rpc: %w", err)
	}
	registerRouterMetrics(m, p)
	lc.Append(fx.Hook{OnStart: p.start, OnStop: p.stop})
	return nil
}

func registerRouterMetrics(m *metrics.Metrics, p *routerProcess) {
	m.Gauge("config_revision", "Revision of the configuration in force.", nil, func() float64 { return float64(p.follower.State().Revision) })
	m.Gauge("log_contact_age_seconds", "Time since the log last answered.", nil, func() float64 { return clock.Since(p.follower.LastContact()).Seconds() })
	m.Gauge("retry_budget_routers", "Routers among which the slack of the retry budgets is divided; 0 while this process has no share.", nil, func() float64 { return float64(p.dir.RetryShare().Routers) })
	sent := func() float64 { return float64(p.pool.Stats.Sent.Load() + p.rpc.Stats.Sent.Load()) }
	received := func() float64 { return float64(p.pool.Stats.Received.Load() + p.rpc.Stats.Received.Load()) }
	m.Counter("control_sent_bytes_total", "Bytes sent to other fawnwinch processes for control.", nil, sent)
	m.Counter("control_received_bytes_total", "Bytes received from other fawnwinch processes for control.", nil, received)
	registerPeerCalls(m, p.pool)
}

func (p *routerProcess) start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	p.rpc.Start()
	p.done.Go(func() { p.follower.Run(ctx) })
	p.done.Go(func() { p.dir.Run(ctx) })
	p.done.Go(func() { p.markReady(ctx) })
	p.http.Start()
	p.logger.Info().Str("http", p.http.Addr()).Msg("router started")
	return nil
}

// readyPollInterval is the interval at which markReady checks whether the router may serve.
const readyPollInterval = 50 * time.Millisecond

// markReady waits until the router has a configuration to serve and then announces it as ready.
func (p *routerProcess) markReady(ctx context.Context) {
	ticker := time.NewTicker(readyPollInterval)
	defer ticker.Stop()
	for !p.dir.Ready(clock.Now()) {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
	p.dir.SetState(membership.RouterReady)
	p.ring.Add(clock.Now(), timeline.Event{Kind: timeline.KindMembership, Name: "router-ready"})
	p.logger.Info().Msg("router ready")
}

// stop shuts the router down gracefully. The router announces that it is leaving, serves until all
// cached addresses of it have expired and all requests have ended, and then closes.
func (p *routerProcess) stop(ctx context.Context) error {
	p.dir.SetState(membership.RouterLeaving)
	p.ring.Add(clock.Now(), timeline.Event{Kind: timeline.KindDrain, Name: "leaving"})
	p.logger.Info().Msg("leaving")
	timer := time.NewTimer(p.set.AddressTTL + membership.Interval(p.set.Process.Heartbeat).SuspectAfter())
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
	err := p.http.Stop(ctx)
	p.cancel()
	p.done.Wait()
	p.rpc.Close()
	p.pool.Close()
	p.dispatch.Close()
	p.client.Close()
	return wrap(err, "stop router")
}
