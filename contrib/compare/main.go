// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Command compare compares variants of the product in pairs, by the journal entries of their plays
// (runs) on the same days. It does not start plays itself: plan prints a shell command for each
// missing play, so that an interrupted series can be resumed.
package main

import (
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"
)

func main() {
	root := newRoot(os.Stdout)
	if err := root.Execute(); err != nil {
		_, _ = fmt.Fprintln(os.Stderr, "compare:", err)
		os.Exit(1)
	}
}

func newRoot(out io.Writer) *cobra.Command {
	root := &cobra.Command{Use: "compare", Short: "Compare variants in pairs", SilenceUsage: true, SilenceErrors: true}
	root.AddCommand(newPlan(), newReport())
	root.SetOut(out)
	return root
}

// readTrial reads a trial and the results of its plays so far.
func readTrial(path string) (*trial, map[playKey]play, error) {
	t, err := loadTrial(path)
	if err != nil {
		return nil, nil, err
	}
	plays, err := t.plays()
	return t, plays, err
}

func newPlan() *cobra.Command {
	return &cobra.Command{
		Use:   "plan TRIAL",
		Short: "Print a shell command for each play that is missing from the journals of the checkouts",
		Args:  cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			t, plays, err := readTrial(args[0])
			if err != nil {
				return err
			}
			lines, all := t.missing(plays)
			for _, line := range lines {
				_, _ = fmt.Fprintln(c.OutOrStdout(), line)
			}
			_, _ = fmt.Fprintf(c.ErrOrStderr(), "%d of %d plays done\n", all-len(lines), all)
			return nil
		},
	}
}

func newReport() *cobra.Command {
	var plotFile string
	c := &cobra.Command{
		Use:   "report TRIAL",
		Short: "Print the comparison as a Markdown table",
		Args:  cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			t, plays, err := readTrial(args[0])
			if err != nil {
				return err
			}
			comparisons := t.compare(plays)
			if err := writeTable(c.OutOrStdout(), t, comparisons); err != nil {
				return err
			}
			if plotFile == "" {
				return nil
			}
			return drawPlot(plotFile, t, comparisons)
		},
	}
	c.Flags().StringVar(&plotFile, "plot", "", "file for a plot of the differences (.png or .svg)")
	return c
}
