// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package cmd

import (
	"context"
	"fmt"
	"io"
	"net"
	"time"

	"fawnwinch.org/fawnwinch/modules/httpx"
	"fawnwinch.org/fawnwinch/modules/log"
	"fawnwinch.org/fawnwinch/modules/setting"
	"fawnwinch.org/fawnwinch/modules/timeline"

	"github.com/rs/zerolog"
	"go.uber.org/fx"
)

// drainTimeout is the timeout of a graceful stop.
const drainTimeout = 11 * time.Minute

// startTimeout is the timeout of a start.
const startTimeout = 30 * time.Second

// sockets are the open listeners of a process.
type sockets struct {
	HTTP, RPC net.Listener
}

// listen opens the listeners of the addresses in the settings.
func listen(p setting.Process) (sockets, error) {
	h, err := httpx.Listen(p.HTTP)
	if err != nil {
		return sockets{}, fmt.Errorf("field process.http: value %q: %w", p.HTTP, err)
	}
	r, err := httpx.Listen(p.RPC)
	if err != nil {
		_ = h.Close()
		return sockets{}, fmt.Errorf("field process.rpc: value %q: %w", p.RPC, err)
	}
	return sockets{HTTP: h, RPC: r}, nil
}

// commonOptions returns the fx options that all processes share.
func commonOptions(p setting.Process, ss sockets, logs io.Writer) fx.Option {
	return fx.Options(
		fx.NopLogger,
		fx.StartTimeout(startTimeout),
		fx.StopTimeout(drainTimeout),
		fx.Supply(ss),
		fx.Provide(
			func() (zerolog.Logger, error) { return log.New(logs, p.LogLevel, p.ID) },
			func() *timeline.Ring { return timeline.NewRing(p.ID, timeline.DefaultCapacity) },
		),
	)
}

// runApp starts an app, waits until ctx is cancelled and stops the app gracefully. A start is not
// broken off: the parts that had been started would not be stopped.
func runApp(ctx context.Context, app *fx.App) error {
	if err := app.Err(); err != nil {
		return fmt.Errorf("assemble process: %w", err)
	}
	startCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), startTimeout)
	defer cancel()
	if err := app.Start(startCtx); err != nil {
		return fmt.Errorf("start process: %w", err)
	}
	<-ctx.Done()
	stopCtx, done := context.WithTimeout(context.WithoutCancel(ctx), drainTimeout)
	defer done()
	if err := app.Stop(stopCtx); err != nil {
		return fmt.Errorf("stop process: %w", err)
	}
	return nil
}
