// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package cmd

import (
	"fmt"

	"fawnwinch.org/fawnwinch/models/intent"
	"fawnwinch.org/fawnwinch/modules/setting"

	"github.com/spf13/cobra"
)

func newConfigCommand() *cobra.Command {
	c := &cobra.Command{Use: "config", Short: "Check settings and intents without a router"}
	var kind string
	check := &cobra.Command{
		Use:   "check FILE...",
		Short: "Check files and report the first invalid field with its value",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, files []string) error {
			for _, f := range files {
				if err := checkFile(c, kind, f); err != nil {
					return err
				}
				_, _ = fmt.Fprintf(c.OutOrStdout(), "%s: ok\n", f)
			}
			return nil
		},
	}
	check.Flags().StringVar(&kind, "kind", "router", "router, agent or intent")
	c.AddCommand(check)
	return c
}

func checkFile(c *cobra.Command, kind, file string) error {
	switch kind {
	case "router":
		_, err := setting.LoadRouter(file)
		return wrap(err, "check")
	case "agent":
		_, err := setting.LoadAgent(file)
		return wrap(err, "check")
	case "intent":
		raw, err := readInput(c, file)
		if err != nil {
			return err
		}
		_, err = intent.Parse(raw)
		return wrap(err, "check "+file)
	default:
		return fmt.Errorf("flag --kind: value %q is none of router, agent, intent", kind)
	}
}
