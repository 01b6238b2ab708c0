// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package cmd

import (
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"strconv"
	"sync"
	"time"

	"fawnwinch.org/fawnwinch/models/vm"
	"fawnwinch.org/fawnwinch/modules/clock"
	"fawnwinch.org/fawnwinch/modules/httpx"
	"fawnwinch.org/fawnwinch/modules/log"
	"fawnwinch.org/fawnwinch/modules/metrics"
	"fawnwinch.org/fawnwinch/modules/rpc"
	"fawnwinch.org/fawnwinch/modules/setting"
	"fawnwinch.org/fawnwinch/modules/sleep"
	"fawnwinch.org/fawnwinch/platform"
	"fawnwinch.org/fawnwinch/services"
	"fawnwinch.org/fawnwinch/services/peer"
	"fawnwinch.org/fawnwinch/services/rank"

	"github.com/rs/zerolog"
	"github.com/spf13/cobra"
	"go.uber.org/fx"
)

func newPlatformCommand() *cobra.Command {
	c := &cobra.Command{Use: "platform", Short: "Run a process on the users' platform, with the settings that the platform writes"}
	c.AddCommand(
		nodeCommand("router", "Run the router of an entry VM", entryOptions),
		nodeCommand("agent", "Run the agent beside a rank of a model group", rankOptions),
		newPlatformTimelineCommand(), newPlatformStatusCommand(), newPlatformReleaseCommand(),
	)
	return c
}

// node holds what all processes on the platform have in common.
type node struct {
	set      setting.Node
	metrics  int
	logs     io.Writer
	reloader *reloader
}

func nodeCommand(use, short string, options func(node) fx.Option) *cobra.Command {
	n := node{}
	var path string
	c := &cobra.Command{
		Use: use, Short: short, Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if path == "" {
				path = os.Getenv(platform.SettingsVariable)
			}
			n.reloader = newReloader(path)
			set, err := platform.LoadNode(path)
			if err != nil {
				return wrap(err, use)
			}
			n.set, n.logs = set, c.OutOrStdout()
			limitMemory(set.Memory)
			return runApp(c.Context(), fx.New(options(n)))
		},
	}
	c.Flags().StringVarP(&path, "config", "c", "", "settings file (default: the file that $"+platform.SettingsVariable+" names)")
	c.Flags().IntVar(&n.metrics, "metrics", 0, "port for metrics; 0 serves none")
	return c
}

// heapFraction is the fraction of a process's memory from which on garbage is collected more often.
const heapFraction = 0.7

// limitMemory makes the garbage collector keep the process within its memory, in bytes; 0 if it is not
// known. Without it, the heap may grow to twice what is in use before garbage is collected.
func limitMemory(bytes int64) {
	if bytes > 0 {
		debug.SetMemoryLimit(int64(heapFraction * float64(bytes)))
	}
}

// options returns the fx options that routers and agents share.
func (n node) options() fx.Option {
	return fx.Options(
		fx.NopLogger, fx.StartTimeout(startTimeout), fx.StopTimeout(drainTimeout),
		fx.Supply(n.set),
		fx.Provide(
			func() (zerolog.Logger, error) { return log.New(log.Buffered(n.logs), "info", n.set.Name) },
			func() *metrics.Metrics { return metrics.New(n.set.Name) },
			func(logger zerolog.Logger) *platform.Store {
				return platform.NewStore(n.set.Store, n.set.StoreReads, n.set.StoreWrites, logger)
			},
			rpc.NewPool,
			func() *httpx.Connections { return httpx.NewConnections(n.set.Descriptors) },
		),
		fx.Invoke(n.serveMetrics, n.reloader.watch, closeIdleConnections, watchSuspensions),
	)
}

const (
	// sweepInterval is the interval at which idle connections to other processes are closed, and
	// idleTimeout how long one is kept. Connections in use carry a call several times a second.
	sweepInterval = 5 * time.Second
	idleTimeout   = 10 * time.Second
)

// closeIdleConnections closes idle connections to other processes while the process runs.
func closeIdleConnections(lc fx.Lifecycle, pool *rpc.Pool) {
	runEvery(lc, sweepInterval, func() { pool.Sweep(clock.Now(), idleTimeout) })
}

// suspensionCheckInterval is the interval at which suspensions of the VM are checked for. Decisions
// do not depend on this check: they detect a suspension themselves, unless the time of day was set
// back at the same time.
const suspensionCheckInterval = 500 * time.Millisecond

// watchSuspensions logs suspensions of the VM while the process runs, or that the clock cannot
// detect them.
func watchSuspensions(lc fx.Lifecycle, logger zerolog.Logger) {
	before, ok := clock.Suspended()
	if !ok {
		logger.Warn().Msg("suspensions-not-counted")
		return
	}
	runEvery(lc, suspensionCheckInterval, func() {
		total, _ := clock.Suspended()
		if total > before {
			logger.Warn().Int64("suspended_ms", (total-before).Milliseconds()).Int64("total_ms", total.Milliseconds()).Msg("vm-was-suspended")
		}
		before = total
	})
}

// runEvery calls f at an interval while the process runs. If the process stops between two calls, f
// is called once more at that time.
func runEvery(lc fx.Lifecycle, interval time.Duration, f func()) {
	ctx, cancel := context.WithCancel(context.Background())
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			go func() {
				for ctx.Err() == nil {
					sleep.For(ctx, interval)
					f()
				}
			}()
			return nil
		},
		OnStop: func(context.Context) error {
			cancel()
			return nil
		},
	})
}

// serveMetrics registers the metrics of the store and the connections, and serves all metrics on a
// port of the VM unless the port is 0.
func (n node) serveMetrics(lc fx.Lifecycle, m *metrics.Metrics, store *platform.Store, pool *rpc.Pool, conns *httpx.Connections) error {
	m.LabelledValues("store_calls_total", "Calls of the platform's store, by what they are for.", "call", true, func() []metrics.Sample {
		var out []metrics.Sample
		for call, n := range store.Calls() {
			out = append(out, metrics.Sample{Label: call, Value: float64(n)})
		}
		return out
	})
	m.Counter("store_unread_records_total", "Records of the platform's store that could not be decoded.", nil, func() float64 { return float64(store.Undecodable()) })
	m.Gauge("store_era", "Newest era that the platform's store has told.", nil, func() float64 { return float64(store.Era()) })
	m.Counter("store_returns_total", "Times that the platform's store came back from a copy while this process ran.", nil, func() float64 { return float64(store.Restores()) })
	m.Counter("peer_sent_bytes_total", "Bytes sent to other processes.", nil, func() float64 { return float64(pool.Stats.Sent.Load()) })
	registerPeerCalls(m, pool)
	if n.metrics == 0 {
		return nil
	}
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", m.Handler())
	return serveHTTP(lc, net.JoinHostPort(n.set.IP, strconv.Itoa(n.metrics)), mux, conns)
}

// maxHandover bounds the time until a coordinator that stops has finished the change of map for which
// it holds its group.
const maxHandover = 3 * time.Second

// finishTime bounds the time until the answers of the directory, of readiness and of metrics that
// are under way at the end of a process have been sent.
const finishTime = 20 * time.Millisecond

// serveHTTP serves a handler while the process runs.
func serveHTTP(lc fx.Lifecycle, address string, h http.Handler, conns *httpx.Connections) error {
	l, err := httpx.Listen(address)
	if err != nil {
		return wrap(err, "listen")
	}
	s := httpx.NewServer(l, h, conns)
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			s.Start()
			return nil
		},
		OnStop: func(context.Context) error { return wrap(s.Finish(finishTime), "stop http") },
	})
	return nil
}

// self returns the information that the process reports to other processes about itself.
func (n node) self(role vm.Role) peer.Info {
	return peer.Info{
		Name: n.set.Name, Role: role, DataCentre: n.set.DataCentre, Address: n.set.Peers, Callers: n.set.Callers,
		Engine: n.set.Engine, Service: n.set.EngineService, State: peer.StateReady, Cores: n.set.Cores,
	}
}

func rankOptions(n node) fx.Option {
	return fx.Options(n.options(), fx.Invoke(n.runRank))
}

// runRank assembles the agent beside a rank and registers its start and stop.
func (n node) runRank(lc fx.Lifecycle, store *platform.Store, pool *rpc.Pool, m *metrics.Metrics, logger zerolog.Logger) error {
	if n.set.Engine == "" {
		return setting.ErrInvalid{Field: "app", Reason: "is missing: an agent needs a model engine"}
	}
	l, err := httpx.Listen(n.set.Peers)
	if err != nil {
		return wrap(err, "listen for peers")
	}
	var mu sync.Mutex
	engines := map[string]*platform.Engine{}
	dial := func(address string) services.RankEngine {
		mu.Lock()
		defer mu.Unlock()
		e, ok := engines[address]
		if !ok {
			e = platform.NewEngine(address)
			engines[address] = e
		}
		return e
	}
	self := n.self(vm.RoleAgent)
	a := rank.New(clock.Now(), rank.Options{Self: self, Engine: platform.NewEngine(n.set.Engine), Store: store, Pool: pool, Seeds: n.set.Seeds, Bootstrap: n.set.Bootstrap, Dial: dial, Logger: logger})
	registerLeadershipMetrics(m, a)
	server := rpc.NewServer(l)
	if err := server.Register("Rank", rank.NewAPI(a)); err != nil {
		return wrap(err, "agent")
	}
	ctx, cancel := context.WithCancel(context.Background())
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			logger.Info().Str("role", "agent").Str("engine", n.set.Engine).Msg("start")
			server.Start()
			go a.Run(ctx)
			return nil
		},
		OnStop: func(context.Context) error {
			logger.Info().Msg("stop")
			a.Stop(min(maxHandover, n.set.Grace/2))
			cancel()
			server.Close()
			pool.Close()
			store.Close()
			return nil
		},
	})
	return nil
}

// registerLeadershipMetrics registers the metrics for whether the group of an agent's rank has a
// coordinator, according to the agent.
func registerLeadershipMetrics(m *metrics.Metrics, a *rank.Agent) {
	m.LabelledValues("group_led", "1 if the agent hears a coordinator of its rank's group, else 0; the group is empty while the engine has not told it.", "group", false, func() []metrics.Sample {
		l := a.Leadership(clock.Now())
		led := 0.0
		if l.Led {
			led = 1
		}
		return []metrics.Sample{{Label: string(l.Group), Value: led}}
	})
	m.LabelledValues("group_silence_seconds", "Time since the agent heard a coordinator of its rank's group, or learned the group if it never did.", "group", false, func() []metrics.Sample {
		l := a.Leadership(clock.Now())
		return []metrics.Sample{{Label: string(l.Group), Value: l.Silence.Seconds()}}
	})
}
