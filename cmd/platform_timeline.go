// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package cmd

import (
	"bufio"
	"cmp"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"time"

	"fawnwinch.org/fawnwinch/modules/log"
	"fawnwinch.org/fawnwinch/modules/setting"

	"github.com/spf13/cobra"
)

const (
	// explainBefore and explainAfter are the times around a request in which decisions count as its
	// surroundings: a group is told anew every half second, and the clocks of VMs differ a little.
	explainBefore = 1500 * time.Millisecond
	explainAfter  = 500 * time.Millisecond
	// maxLogLine bounds a line of a log, in bytes.
	maxLogLine = 1 << 20
)

// timelineFlags selects lines.
type timelineFlags struct {
	request, event, process string
	around                  bool
}

// newPlatformTimelineCommand shows the logs of several processes as one time line.
func newPlatformTimelineCommand() *cobra.Command {
	var f timelineFlags
	c := &cobra.Command{
		Use:   "timeline LOG...",
		Short: "Show the logs of processes on the platform in the order of time; - is the standard input",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, paths []string) error {
			if f.around && f.request == "" {
				return setting.ErrInvalid{Field: "--around", Value: "true", Reason: "needs --request"}
			}
			lines, passed, err := readLogs(c.InOrStdin(), paths)
			if err != nil {
				return err
			}
			chosen := f.choose(lines)
			for _, l := range chosen {
				if _, err := fmt.Fprintln(c.OutOrStdout(), l.Text); err != nil {
					return wrap(err, "print time line")
				}
			}
			_, _ = fmt.Fprintf(c.ErrOrStderr(), "%d of %d lines, %d others passed over\n", len(chosen), len(lines), passed)
			if f.request != "" && len(chosen) == 0 {
				return setting.ErrInvalid{Field: "--request", Value: f.request, Reason: "stands in none of these logs"}
			}
			return nil
		},
	}
	c.Flags().StringVar(&f.request, "request", "", "only lines of this request id")
	c.Flags().BoolVar(&f.around, "around", false, "with --request: also what processes decided or believed meanwhile")
	c.Flags().StringVar(&f.event, "event", "", "only lines of this event")
	c.Flags().StringVar(&f.process, "process", "", "only lines of this process")
	return c
}

// readLogs reads all lines of processes, sorted by time, and counts the others.
func readLogs(in io.Reader, paths []string) (lines []log.Line, passed int, err error) {
	for _, path := range paths {
		found, others, err := readLog(in, path)
		if err != nil {
			return nil, 0, err
		}
		lines, passed = append(lines, found...), passed+others
	}
	slices.SortStableFunc(lines, func(a, b log.Line) int {
		return cmp.Or(a.Time.Compare(b.Time), cmp.Compare(a.Process, b.Process))
	})
	return lines, passed, nil
}

// readLog reads the lines of one file, or of in for a path of "-", and counts those that no process has written.
func readLog(in io.Reader, path string) (lines []log.Line, passed int, err error) {
	if path != "-" {
		file, err := os.Open(path) //nolint:gosec // the operator names the file
		if err != nil {
			return nil, 0, fmt.Errorf("open log: %w", err)
		}
		defer func() { _ = file.Close() }()
		in = file
	}
	s := bufio.NewScanner(in)
	s.Buffer(nil, maxLogLine)
	for s.Scan() {
		l, err := log.ParseLine(s.Text())
		var no log.ErrNoLine
		if errors.As(err, &no) {
			passed++
			continue
		}
		lines = append(lines, l)
	}
	if err := s.Err(); err != nil {
		return nil, 0, fmt.Errorf("read log %s: %w", path, err)
	}
	return lines, passed, nil
}

// choose returns the lines that are asked for.
func (f timelineFlags) choose(lines []log.Line) []log.Line {
	from, to := f.span(lines)
	var out []log.Line
	for _, l := range lines {
		if f.event != "" && l.Event != f.event || f.process != "" && l.Process != f.process {
			continue
		}
		mine := f.request == "" || l.Fields["request"] == f.request
		near := f.around && l.Fields["request"] == "" && !l.Time.Before(from) && !l.Time.After(to)
		if mine || near {
			out = append(out, l)
		}
	}
	return out
}

// span returns the time in which a request was on its way, and a little around it. Lines are written at the
// end of what they tell; took_ms says how long it took.
func (f timelineFlags) span(lines []log.Line) (from, to time.Time) {
	for _, l := range lines {
		if f.request == "" || l.Fields["request"] != f.request {
			continue
		}
		begun := l.Time
		if took, err := time.ParseDuration(l.Fields["took_ms"] + "ms"); err == nil {
			begun = begun.Add(-took)
		}
		if from.IsZero() || begun.Add(-explainBefore).Before(from) {
			from = begun.Add(-explainBefore)
		}
		if end := l.Time.Add(explainAfter); end.After(to) {
			to = end
		}
	}
	return from, to
}
