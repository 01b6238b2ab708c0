// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package cmd

import (
	"fmt"
	"runtime"

	"github.com/spf13/cobra"
)

// Version is the version of the program.
const Version = "0.1.0"

func newVersionCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the version",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			_, err := fmt.Fprintf(c.OutOrStdout(), "fawnwinch %s %s %s/%s\n", Version, runtime.Version(), runtime.GOOS, runtime.GOARCH)
			return wrap(err, "print version")
		},
	}
}

// wrap prefixes err with a message. It returns nil if err is nil.
func wrap(err error, message string) error {
	if err == nil {
		return nil
	}
	return fmt.Errorf("%s: %w", message, err)
}
