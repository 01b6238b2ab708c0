// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Command compare plans plays of variants of the product on the same days, and compares them in pairs by what the journal of plays
// says. It starts no plays itself: plan prints a line of shell for each play that is still missing, so that a series that was broken
// off goes on where it stopped.
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

// readTrial reads a trial and what was played of it.
func readTrial(path string) (*trial, map[cell]play, error) {
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
		Short: "Print a line of shell for each play that the journals of the checkouts do not hold yet",
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
	var picture string
	c := &cobra.Command{
		Use:   "report TRIAL",
		Short: "Print the comparison as a Markdown table",
		Args:  cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			t, plays, err := readTrial(args[0])
			if err != nil {
				return err
			}
			sums := t.compare(plays)
			if err := writeTable(c.OutOrStdout(), t, sums); err != nil {
				return err
			}
			if picture == "" {
				return nil
			}
			return drawPicture(picture, t, sums)
		},
	}
	c.Flags().StringVar(&picture, "plot", "", "file for a plot of the differences (.png or .svg)")
	return c
}
