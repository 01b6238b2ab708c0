// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package cmd implements the command line, with one file for each subcommand.
package cmd

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"
)

// Exit codes.
const (
	exitOK     = 0
	exitFailed = 1
	// exitChanges means that a command succeeded and that its result needs attention: a plan has
	// changes, or a status lists ranks that have not reported.
	exitChanges = 2
)

// errExit makes the command exit with a code without printing a message.
type errExit struct{ code int }

func (e errExit) Error() string { return fmt.Sprintf("exit code %d", e.code) }

// Execute runs the command line and returns the exit code. SIGINT and SIGTERM cancel the context of
// the command.
func Execute(args []string, stdout, stderr io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	root := newRoot()
	root.SetArgs(args)
	root.SetOut(stdout)
	root.SetErr(stderr)
	err := root.ExecuteContext(ctx)
	var exit errExit
	switch {
	case err == nil:
		return exitOK
	case errors.As(err, &exit):
		return exit.code
	default:
		_, _ = fmt.Fprintln(stderr, "fawnwinch:", err)
		return exitFailed
	}
}

// newRoot returns the root command with its subcommands. Cobra prints neither errors nor the usage
// after them: Execute prints the errors.
func newRoot() *cobra.Command {
	root := &cobra.Command{
		Use:           "fawnwinch",
		Short:         "Load balancer for expert-parallel model groups",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(
		newRouterCommand(), newAgentCommand(), newStandinCommand(), newDemoCommand(),
		newPlanCommand(), newConfirmCommand(), newStatusCommand(), newTimelineCommand(),
		newEndpointsCommand(), newConfigCommand(), newVersionCommand(), newPlatformCommand(),
	)
	return root
}
