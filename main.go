// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Command fawnwinch is a load balancer for expert-parallel model groups and the plain services
// beside them.
package main

import (
	"os"

	"fawnwinch.org/fawnwinch/cmd"
)

func main() { os.Exit(cmd.Execute(os.Args[1:], os.Stdout, os.Stderr)) }
