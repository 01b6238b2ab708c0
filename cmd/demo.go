// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package cmd

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"fawnwinch.org/fawnwinch/models/account"
	"fawnwinch.org/fawnwinch/models/group"
	"fawnwinch.org/fawnwinch/models/intent"
	"fawnwinch.org/fawnwinch/models/service"
	"fawnwinch.org/fawnwinch/models/upstream"
	"fawnwinch.org/fawnwinch/models/vm"
	"fawnwinch.org/fawnwinch/modules/clock"
	"fawnwinch.org/fawnwinch/modules/httpx"
	"fawnwinch.org/fawnwinch/modules/setting"
	platformstandin "fawnwinch.org/fawnwinch/standin/platform"
	upstreamstandin "fawnwinch.org/fawnwinch/standin/upstream"

	"github.com/spf13/cobra"
	"go.uber.org/fx"
)

// Numbers of processes in the demo, and the operator's bearer token. Each group has demoRanks
// ranks, and the plain service has demoReplicas replicas.
const (
	demoRouters  = 3
	demoGroups   = 2
	demoRanks    = 3
	demoReplicas = 3
	demoToken    = "demo"
)

var demoDataCentres = []vm.DataCentre{"hakata-a", "tenjin-b", "kokura-c"}

var demoAccounts = []account.Share{{Account: "itoshima-cu", Weight: 4}, {Account: "dazaifu-cu", Weight: 2}, {Account: "munakata-shops", Weight: 1}}

func newDemoCommand() *cobra.Command {
	var duration time.Duration
	var verbose bool
	c := &cobra.Command{
		Use:   "demo",
		Short: "Run routers, agents and stand-ins in one process, with a small load",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			logs := io.Discard
			if verbose {
				logs = c.ErrOrStderr()
			}
			return runDemo(c.Context(), c.OutOrStdout(), logs, duration)
		},
	}
	c.Flags().DurationVar(&duration, "duration", 0, "stop after this time (default: run until interrupted)")
	c.Flags().BoolVarP(&verbose, "verbose", "v", false, "show the logs of the processes")
	return c
}

// demo is a running demo.
type demo struct {
	logs     io.Writer
	platform string
	// plains are the replicas of the plain service. Their counts of effects are compared with the
	// outcomes that the callers received.
	plains []*upstreamstandin.Plain
	// routers holds the HTTP addresses of the routers, and seeds their RPC addresses.
	routers []string
	seeds   []string
	vms     []vm.VM
	intent  intent.Intent
	// stopAgents, stopRouters and stopOthers hold the functions that stop the processes. The lists
	// run in this order, the functions of one list concurrently.
	stopAgents, stopRouters, stopOthers []func()
}

func runDemo(ctx context.Context, out, logs io.Writer, duration time.Duration) error {
	d := &demo{logs: logs}
	defer d.stop()
	if err := d.start(ctx); err != nil {
		return wrap(err, "start demo")
	}
	if err := d.confirm(ctx); err != nil {
		return wrap(err, "confirm the demo's intent")
	}
	d.printUsage(out)
	if duration > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, duration)
		defer cancel()
	}
	result := d.runLoad(ctx)
	result.compareEffects(d.plains)
	if _, err := fmt.Fprintln(out, result.line()); err != nil {
		return wrap(err, "print summary")
	}
	if result.lost+result.duplicated+result.broken+result.wronglyNotRun > 0 {
		return errExit{code: exitFailed}
	}
	return nil
}

func (d *demo) stop() {
	for _, list := range [][]func(){d.stopAgents, d.stopRouters, d.stopOthers} {
		var w sync.WaitGroup
		for _, f := range list {
			w.Go(f)
		}
		w.Wait()
	}
}

func (d *demo) start(ctx context.Context) error {
	p := platformstandin.New(platformstandin.DefaultOptions())
	address, err := d.serve(p.Handler())
	if err != nil {
		return err
	}
	d.stopOthers = append(d.stopOthers, p.Close)
	d.platform = address
	if err := d.startRouters(ctx); err != nil {
		return err
	}
	d.intent = intent.Intent{
		Version: intent.FormatVersion, Deployment: "demo",
		Rebalance: intent.Rebalance{Prefer: intent.PreferSkew},
	}
	if err := d.startGroups(ctx); err != nil {
		return err
	}
	if err := d.startPlain(ctx); err != nil {
		return err
	}
	p.SetVMs(clock.Now(), d.vms)
	return nil
}

func listenLoopback() (net.Listener, error) {
	l, err := httpx.Listen("127.0.0.1:0")
	return l, wrap(err, "open a loopback port")
}

func listenLoopbackSockets() (sockets, error) {
	h, err := listenLoopback()
	if err != nil {
		return sockets{}, err
	}
	r, err := listenLoopback()
	return sockets{HTTP: h, RPC: r}, err
}

// serve serves h on a loopback port until the demo stops, and returns the address.
func (d *demo) serve(h http.Handler) (string, error) {
	l, err := listenLoopback()
	if err != nil {
		return "", err
	}
	s := httpx.NewServer(l, h, httpx.NewConnections(0))
	s.Start()
	d.stopOthers = append(d.stopOthers, func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_ = s.Stop(ctx)
	})
	return s.Addr(), nil
}

func (d *demo) startRouters(ctx context.Context) error {
	var all []sockets
	for range demoRouters {
		ss, err := listenLoopbackSockets()
		if err != nil {
			return err
		}
		all = append(all, ss)
		d.seeds = append(d.seeds, ss.RPC.Addr().String())
		d.routers = append(d.routers, ss.HTTP.Addr().String())
	}
	sum := sha256.Sum256([]byte(demoToken))
	for i, ss := range all {
		set := setting.DefaultRouter()
		set.Process.ID, set.Process.DataCentre = fmt.Sprintf("router-%d", i+1), demoDataCentres[i%len(demoDataCentres)]
		set.Platform.Address, set.Routers = d.platform, d.seeds
		set.AddressTTL = 200 * time.Millisecond
		set.Credentials = []setting.Credential{{Account: "operators", TokenSHA256: hex.EncodeToString(sum[:]), Operator: true}}
		for _, a := range demoAccounts {
			s := sha256.Sum256([]byte(a.Account))
			set.Credentials = append(set.Credentials, setting.Credential{Account: a.Account, TokenSHA256: hex.EncodeToString(s[:])})
		}
		stop, err := startApp(ctx, routerOptions(set, ss, d.logs))
		if err != nil {
			return err
		}
		d.stopRouters = append(d.stopRouters, stop)
		d.vms = append(d.vms, vm.VM{ID: vm.ID(set.Process.ID), DataCentre: set.Process.DataCentre, Role: vm.RoleRouter, State: vm.StateLive, RPC: ss.RPC.Addr().String()})
	}
	return nil
}

// startApp starts a process and returns the function that stops it.
func startApp(ctx context.Context, o fx.Option) (func(), error) {
	app := fx.New(o)
	if err := app.Err(); err != nil {
		return nil, wrap(err, "assemble process")
	}
	if err := app.Start(ctx); err != nil {
		return nil, wrap(err, "start process")
	}
	return func() {
		sctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		_ = app.Stop(sctx)
	}, nil
}

// startAgent starts the agent of one upstream, whose address is given, and adds it to the VM list.
func (d *demo) startAgent(ctx context.Context, id upstream.ID, sv service.ID, kind service.Kind, centre vm.DataCentre, address string) error {
	ss, err := listenLoopbackSockets()
	if err != nil {
		return err
	}
	set := setting.DefaultAgent()
	set.Process.ID, set.Process.DataCentre = "agent-"+string(id), centre
	set.Platform.Address, set.Routers = d.platform, d.seeds
	set.Upstream.ID, set.Upstream.Service, set.Upstream.Kind, set.Upstream.Address = id, sv, kind, address
	d.vms = append(d.vms, vm.VM{ID: vm.ID(id), DataCentre: centre, Role: vm.RoleAgent, State: vm.StateLive, RPC: ss.RPC.Addr().String()})
	stop, err := startApp(ctx, agentOptions(set, ss, d.logs))
	if err != nil {
		return err
	}
	d.stopAgents = append(d.stopAgents, stop)
	return nil
}

// startGroups starts the model groups with an agent for each rank, and adds their service to the
// intent.
func (d *demo) startGroups(ctx context.Context) error {
	sv := service.Service{ID: "kotoba-pool", Kind: service.KindModel, Shares: demoAccounts}
	for i := range demoGroups {
		o := upstreamstandin.DefaultGroupOptions(group.ID(fmt.Sprintf("kotoba-%d", i+1)))
		o.Ranks, o.Slots, o.Seed = demoRanks, upstreamstandin.SlotsFor(o.Experts, demoRanks), uint64(i+1)
		g, err := upstreamstandin.NewGroup(o)
		if err != nil {
			return wrap(err, "stand-in group")
		}
		g.Start()
		d.stopOthers = append(d.stopOthers, g.Stop)
		sg := service.Group{ID: o.ID}
		for r := range demoRanks {
			address, err := d.serve(g.RankHandler(group.Rank(r)))
			if err != nil {
				return err
			}
			id := upstream.ID(fmt.Sprintf("%s-%d", o.ID, r))
			sg.Ranks = append(sg.Ranks, id)
			if err := d.startAgent(ctx, id, sv.ID, service.KindModel, demoDataCentres[i%len(demoDataCentres)], address); err != nil {
				return err
			}
		}
		sv.Groups = append(sv.Groups, sg)
	}
	d.intent.Services = append(d.intent.Services, sv)
	return nil
}

// startPlain starts the replicas of the plain service with an agent for each, and adds the service
// to the intent. Its holds must not be repeated: the stand-in applies a hold each time it arrives.
func (d *demo) startPlain(ctx context.Context) error {
	sv := service.Service{
		ID: "ledger-api", Kind: service.KindPlain, Shares: demoAccounts,
		NonRepeatable: []service.Route{{Method: http.MethodPost, Path: "/v1/holds"}},
	}
	for i := range demoReplicas {
		p := upstreamstandin.NewPlain()
		d.plains = append(d.plains, p)
		address, err := d.serve(p.Handler())
		if err != nil {
			return err
		}
		id := upstream.ID(fmt.Sprintf("ledger-%d", i+1))
		sv.Upstreams = append(sv.Upstreams, id)
		if err := d.startAgent(ctx, id, sv.ID, service.KindPlain, demoDataCentres[i%len(demoDataCentres)], address); err != nil {
			return err
		}
	}
	d.intent.Services = append(d.intent.Services, sv)
	return nil
}
