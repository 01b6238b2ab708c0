// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package cmd

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"

	"fawnwinch.org/fawnwinch/models/group"
	"fawnwinch.org/fawnwinch/modules/httpx"
	platformstandin "fawnwinch.org/fawnwinch/standin/platform"
	upstreamstandin "fawnwinch.org/fawnwinch/standin/upstream"

	"github.com/spf13/cobra"
)

func newStandinCommand() *cobra.Command {
	c := &cobra.Command{Use: "standin", Short: "Run a stand-in for an external system, for tests"}
	c.AddCommand(newStandinPlatform(), newStandinUpstream())
	return c
}

func newStandinPlatform() *cobra.Command {
	o := platformstandin.DefaultOptions()
	var address string
	c := &cobra.Command{
		Use:   "platform",
		Short: "Run a stand-in for the log, the VM list and the weight store",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			s := platformstandin.New(o)
			defer s.Close()
			return serve(c.Context(), address, s.Handler())
		},
	}
	f := c.Flags()
	f.StringVar(&address, "listen", "127.0.0.1:7900", "address to listen on")
	f.DurationVar(&o.Retention, "retention", o.Retention, "how long records are kept")
	f.IntVar(&o.AppendsPerSecond, "appends", o.AppendsPerSecond, "maximum appends per second over all streams")
	f.DurationVar(&o.ListLag, "list-lag", o.ListLag, "how long the VM list lags behind")
	f.IntVar(&o.WeightBytesPerSecond, "weight-rate", o.WeightBytesPerSecond, "throughput of the weight store, in bytes per second")
	return c
}

func newStandinUpstream() *cobra.Command {
	var kind, addresses, id string
	o := upstreamstandin.DefaultGroupOptions("")
	c := &cobra.Command{
		Use:   "upstream",
		Short: "Run a plain service, or a group of model engine ranks",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			list := strings.Split(addresses, ",")
			if kind == "plain" {
				return serve(c.Context(), list[0], upstreamstandin.NewPlain().Handler())
			}
			o.ID, o.Ranks = group.ID(id), len(list)
			o.Slots = upstreamstandin.SlotsFor(o.Experts, o.Ranks)
			return serveGroup(c.Context(), o, list)
		},
	}
	f := c.Flags()
	f.StringVar(&kind, "kind", "plain", "plain or group")
	f.StringVar(&addresses, "listen", "127.0.0.1:7800", "comma-separated addresses to listen on, one for each rank")
	f.StringVar(&id, "group", "group", "id of the group")
	f.DurationVar(&o.StepTime, "step", o.StepTime, "duration of an even step")
	f.DurationVar(&o.ReportLag, "report-lag", o.ReportLag, "maximum age of the reported load")
	f.BoolVar(&o.ChecksFence, "checks-fence", o.ChecksFence, "reject orders with a stale fence")
	return c
}

func serveGroup(ctx context.Context, o upstreamstandin.GroupOptions, addresses []string) error {
	g, err := upstreamstandin.NewGroup(o)
	if err != nil {
		return wrap(err, "stand-in group")
	}
	g.Start()
	defer g.Stop()
	errs := make(chan error, len(addresses))
	for i, a := range addresses {
		go func() { errs <- serve(ctx, a, g.RankHandler(group.Rank(i))) }()
	}
	for range addresses {
		if err := <-errs; err != nil {
			return err
		}
	}
	return nil
}

// standinStopTimeout is how long a stopping stand-in waits for requests in flight.
const standinStopTimeout = 2 * time.Second

func serve(ctx context.Context, address string, h http.Handler) error {
	l, err := httpx.Listen(address)
	if err != nil {
		return fmt.Errorf("flag --listen: value %q: %w", address, err)
	}
	s := httpx.NewServer(l, h, httpx.NewConnections(0))
	s.Start()
	<-ctx.Done()
	sctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), standinStopTimeout)
	defer cancel()
	_ = s.Stop(sctx)
	return nil
}
