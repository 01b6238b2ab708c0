// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package cmd

import (
	"context"
	"errors"
	"testing"

	"go.uber.org/fx"
)

// TestStopDuringStart orders a process to stop while it starts. It guards against a planned stop that
// looks like a failure, and against parts that go on.
func TestStopDuringStart(t *testing.T) {
	cases := map[string]struct {
		// fails reports whether the start fails by itself.
		fails, wantErr bool
	}{
		"ordered to stop": {false, false},
		"a failed start":  {true, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			stopped := false
			app := fx.New(fx.NopLogger, fx.Invoke(func(lc fx.Lifecycle) {
				lc.Append(fx.Hook{
					OnStart: func(context.Context) error { return nil },
					OnStop:  func(context.Context) error { stopped = true; return nil },
				})
				lc.Append(fx.Hook{OnStart: func(ctx context.Context) error {
					if c.fails {
						return errors.New("no port")
					}
					cancel()
					return ctx.Err()
				}})
			}))
			if err := runApp(ctx, app); (err != nil) != c.wantErr {
				t.Errorf("error %v", err)
			}
			if !stopped {
				t.Error("what was started goes on")
			}
		})
	}
}
