// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package cmd

import (
	"bytes"
	"context"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"

	"fawnwinch.org/fawnwinch/modules/setting"
	"fawnwinch.org/fawnwinch/platform"

	"github.com/rs/zerolog"
	"go.uber.org/fx"
)

// checkInterval is the interval at which the settings file is checked for changes, since the
// platform may write it without sending a signal.
const checkInterval = 2 * time.Second

// reloader reloads the settings on SIGHUP and when their file has changed. Settings that cannot
// change while a process runs (addresses, names) take effect at the next start.
type reloader struct {
	path    string
	signals chan os.Signal

	mu       sync.Mutex
	handlers []func(setting.Node)
	// lastContent is the content of the file at the last check.
	lastContent []byte
}

// newReloader returns a reloader for a settings file. After this call SIGHUP does not terminate the
// process: one that arrives before watch runs is handled when watch starts.
func newReloader(path string) *reloader {
	r := &reloader{path: path, signals: make(chan os.Signal, 1)}
	signal.Notify(r.signals, syscall.SIGHUP)
	return r
}

// onReload registers f to be called with the settings after each successful reload.
func (r *reloader) onReload(f func(setting.Node)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.handlers = append(r.handlers, f)
}

// watch handles signals and file changes while the process runs.
func (r *reloader) watch(lc fx.Lifecycle, logger zerolog.Logger) {
	done := make(chan struct{})
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			r.changed() // records the content that the process has started with
			go r.run(done, logger)
			return nil
		},
		OnStop: func(context.Context) error {
			// SIGHUP stays registered: its default action would terminate the process while it
			// stops.
			close(done)
			return nil
		},
	})
}

// run reloads the settings on each signal, even if the file has not changed, and when a check finds
// that it has.
func (r *reloader) run(done <-chan struct{}, logger zerolog.Logger) {
	tick := time.NewTicker(checkInterval)
	defer tick.Stop()
	for {
		select {
		case <-r.signals:
			r.changed() // records the content, so that the next check does not reload it again
			r.reload(logger)
		case <-tick.C:
			if r.changed() {
				r.reload(logger)
			}
		case <-done:
			return
		}
	}
}

// changed reports whether the file has changed since the last check. A file that cannot be read,
// such as one that is being replaced, is treated as unchanged.
func (r *reloader) changed() bool {
	raw, err := os.ReadFile(r.path)
	if err != nil {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	same := bytes.Equal(raw, r.lastContent)
	r.lastContent = raw
	return !same
}

// reload reads the settings and passes them to the registered functions. Invalid settings are
// rejected and change nothing.
func (r *reloader) reload(logger zerolog.Logger) {
	set, err := platform.LoadNode(r.path)
	if err != nil {
		logger.Error().Err(err).Msg("reload-refused")
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, f := range r.handlers {
		f(set)
	}
	logger.Info().Str("settings", r.path).Msg("reload")
}
