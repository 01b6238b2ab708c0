// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package soak runs the real program as separate processes, injects a random plan of faults from
// outside, and checks the guarantees continuously by what callers and upstreams see.
package soak

import (
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"
)

var (
	seedFlag = flag.Uint64("seed", 1, "seed of the plan of faults")
	forFlag  = flag.Duration("for", 30*time.Second, "how long callers send calls; faults end some seconds before")
	sizeFlag = flag.Int("routers", 3, "number of routers")
)

// binary is the program under test.
var binary string

func TestMain(m *testing.M) {
	flag.Parse()
	dir, err := os.MkdirTemp("", "fawnwinch-soak")
	if err != nil {
		panic(err)
	}
	binary = filepath.Join(dir, "fawnwinch")
	if out, err := exec.Command("go", "build", "-race", "-o", binary, "../..").CombinedOutput(); err != nil {
		panic(fmt.Sprintf("build: %v\n%s", err, out))
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}
