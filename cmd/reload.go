// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package cmd

import (
	"context"
	"os"
	"os/signal"
	"sync"
	"syscall"

	"fawnwinch.org/fawnwinch/modules/setting"
	"fawnwinch.org/fawnwinch/platform"

	"github.com/rs/zerolog"
	"go.uber.org/fx"
)

// reloads reads the settings again on SIGHUP. What cannot change while a process runs (addresses, names)
// stays as it was until the next start.
type reloads struct {
	path string

	mu   sync.Mutex
	take []func(setting.Node)
}

// add calls f with the settings after each reload that succeeds.
func (r *reloads) add(f func(setting.Node)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.take = append(r.take, f)
}

// watch takes signals while the process runs.
func (r *reloads) watch(lc fx.Lifecycle, logger zerolog.Logger) {
	signals := make(chan os.Signal, 1)
	done := make(chan struct{})
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			signal.Notify(signals, syscall.SIGHUP)
			go func() {
				for {
					select {
					case <-signals:
						r.reload(logger)
					case <-done:
						return
					}
				}
			}()
			return nil
		},
		OnStop: func(context.Context) error {
			// The signal stays taken: its default would end a process that is stopping.
			close(done)
			return nil
		},
	})
}

// reload reads the settings. Settings that cannot be used change nothing.
func (r *reloads) reload(logger zerolog.Logger) {
	set, err := platform.LoadNode(r.path)
	if err != nil {
		logger.Error().Err(err).Msg("reload-refused")
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, f := range r.take {
		f(set)
	}
	logger.Info().Str("settings", r.path).Msg("reload")
}
