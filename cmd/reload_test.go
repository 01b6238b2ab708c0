// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package cmd

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"fawnwinch.org/fawnwinch/modules/setting"
	"fawnwinch.org/fawnwinch/platform/platformtest"

	"github.com/rs/zerolog"
	"go.uber.org/fx/fxtest"
)

// nodeSettings are settings in the platform's format, with invented names and addresses.
var nodeSettings = platformtest.NodeFile{
	Name: "entry-1", IP: "127.0.0.1", Zone: "a", Ports: [2]int{7001, 7002}, Seeds: []string{"127.0.0.1:7003"},
	Front: "127.0.0.1:7004", Store: "127.0.0.1:7005",
}.Text()

// TestSIGHUPBeforeWatch checks that a SIGHUP which arrives before the process watches for it does
// not terminate the process, and reloads the settings once it watches.
func TestSIGHUPBeforeWatch(t *testing.T) {
	path := filepath.Join(t.TempDir(), "node.toml")
	if err := os.WriteFile(path, []byte(nodeSettings), 0o600); err != nil {
		t.Fatal(err)
	}
	r := newReloader(path)
	if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	applied := make(chan setting.Node, 1)
	r.onReload(func(n setting.Node) { applied <- n })
	lc := fxtest.NewLifecycle(t)
	r.watch(lc, zerolog.Nop())
	lc.RequireStart()
	defer lc.RequireStop()
	select {
	case <-applied:
	case <-time.After(10 * time.Second):
		t.Fatal("the settings were not reloaded")
	}
}

// TestReloadOnSIGHUP checks that SIGHUP reloads the settings without terminating the process, and
// that invalid settings change nothing.
func TestReloadOnSIGHUP(t *testing.T) {
	path := filepath.Join(t.TempDir(), "node.toml")
	write := func(text string) {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write(nodeSettings)
	r := newReloader(path)
	applied := make(chan setting.Node, 1)
	r.onReload(func(n setting.Node) { applied <- n })
	lc := fxtest.NewLifecycle(t)
	r.watch(lc, zerolog.Nop())
	lc.RequireStart()
	defer lc.RequireStop()
	if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	select {
	case n := <-applied:
		if n.Bounds.KeyFreshness != 5*time.Second || len(n.Seeds) != 1 {
			t.Errorf("settings applied: %+v", n)
		}
	case <-time.After(10 * time.Second):
		t.Fatal("the settings were not reloaded")
	}
	if r.changed() {
		t.Error("unchanged settings were reported as changed")
	}
	write(strings.Replace(nodeSettings, "revokeMs = 5000", "revokeMs = 4000", 1))
	if !r.changed() || r.changed() {
		t.Error("a change without a signal was not reported exactly once")
	}
	var logs bytes.Buffer
	write(strings.Replace(nodeSettings, "graceS = 8", "graceS = -1", 1))
	r.reload(zerolog.New(&logs))
	if !strings.Contains(logs.String(), "GraceS") || !strings.Contains(logs.String(), "-1") || len(applied) > 0 {
		t.Errorf("invalid settings were applied, or the log does not name them: %s", logs.String())
	}
}
