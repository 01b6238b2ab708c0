// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package cmd

import (
	"context"
	"io"

	"fawnwinch.org/fawnwinch/modules/metrics"
	"fawnwinch.org/fawnwinch/modules/setting"
	"fawnwinch.org/fawnwinch/modules/timeline"
	"fawnwinch.org/fawnwinch/services"
	"fawnwinch.org/fawnwinch/services/agent"
	"fawnwinch.org/fawnwinch/services/engine"
	"fawnwinch.org/fawnwinch/services/platform"

	"github.com/rs/zerolog"
	"github.com/spf13/cobra"
	"go.uber.org/fx"
)

func newAgentCommand() *cobra.Command {
	var path string
	c := &cobra.Command{
		Use:   "agent",
		Short: "Run the agent beside an upstream",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			set, err := setting.LoadAgent(path)
			if err != nil {
				return wrap(err, "agent")
			}
			ss, err := listen(set.Process)
			if err != nil {
				return wrap(err, "agent settings "+path)
			}
			return runApp(c.Context(), fx.New(agentOptions(set, ss, c.ErrOrStderr())))
		},
	}
	c.Flags().StringVarP(&path, "config", "c", "custom/conf/agent.yaml", "settings file")
	return c
}

// agentOptions assembles an agent.
func agentOptions(set setting.Agent, ss sockets, logs io.Writer) fx.Option {
	return fx.Options(
		commonOptions(set.Process, ss, logs),
		fx.Supply(set),
		fx.Provide(
			func() *platform.Client { return platform.NewClient(set.Platform.Address) },
			func() *engine.Client { return engine.NewClient(set.Upstream.Address) },
			func() *metrics.Metrics { return metrics.New(set.Process.ID) },
		),
		fx.Invoke(runAgent),
	)
}

func runAgent(lc fx.Lifecycle, set setting.Agent, ss sockets, client *platform.Client, eng *engine.Client, m *metrics.Metrics, ring *timeline.Ring, logger zerolog.Logger) error {
	a, err := agent.New(set, agent.Dependencies{
		Log: client, Weights: client, Engine: eng,
		Dial: func(address string) services.Engine { return engine.NewClient(address) },
	}, agent.Listeners{HTTP: ss.HTTP, RPC: ss.RPC}, m, ring, logger)
	if err != nil {
		return wrap(err, "make agent")
	}
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error { a.Start(); return nil },
		OnStop: func(ctx context.Context) error {
			err := a.Stop(ctx)
			client.Close()
			eng.Close()
			return wrap(err, "agent")
		},
	})
	return nil
}
