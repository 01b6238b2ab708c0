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
	// aroundBefore and aroundAfter are how long before and after a request other events are shown
	// with it: a group is reported every half second, and the clocks of VMs differ slightly.
	aroundBefore = 1500 * time.Millisecond
	aroundAfter  = 500 * time.Millisecond
	// maxLogLine is the maximum length of a log line, in bytes.
	maxLogLine = 1 << 20
)

// timelineFlags are the flags that select log lines.
type timelineFlags struct {
	request, event, process string
	around                  bool
}

// newPlatformTimelineCommand returns the command that merges the logs of several processes into one
// time line.
func newPlatformTimelineCommand() *cobra.Command {
	var f timelineFlags
	c := &cobra.Command{
		Use:   "timeline LOG...",
		Short: "Show the logs of processes on the platform in time order; - is standard input",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, paths []string) error {
			if f.around && f.request == "" {
				return setting.ErrInvalid{Field: "--around", Value: "true", Reason: "needs --request"}
			}
			lines, skipped, err := readLogs(c.InOrStdin(), paths)
			if err != nil {
				return err
			}
			chosen := f.selectLines(lines)
			for _, l := range chosen {
				if _, err := fmt.Fprintln(c.OutOrStdout(), l.Text); err != nil {
					return wrap(err, "print time line")
				}
			}
			_, _ = fmt.Fprintf(c.ErrOrStderr(), "%d of %d log lines, %d other lines skipped\n", len(chosen), len(lines), skipped)
			if f.request != "" && len(chosen) == 0 {
				return setting.ErrInvalid{Field: "--request", Value: f.request, Reason: "is not in any of these logs"}
			}
			return nil
		},
	}
	c.Flags().StringVar(&f.request, "request", "", "only lines of this request id")
	c.Flags().BoolVar(&f.around, "around", false, "with --request: also other events of the processes around that time")
	c.Flags().StringVar(&f.event, "event", "", "only lines of this event")
	c.Flags().StringVar(&f.process, "process", "", "only lines of this process")
	return c
}

// readLogs returns the log lines of all files, sorted by time, and counts the skipped lines that
// are not log lines.
func readLogs(in io.Reader, paths []string) (lines []log.Line, skipped int, err error) {
	for _, path := range paths {
		found, others, err := readLog(in, path)
		if err != nil {
			return nil, 0, err
		}
		lines, skipped = append(lines, found...), skipped+others
	}
	slices.SortStableFunc(lines, func(a, b log.Line) int {
		return cmp.Or(a.Time.Compare(b.Time), cmp.Compare(a.Process, b.Process))
	})
	return lines, skipped, nil
}

// readLog returns the log lines of one file, or of in for a path of "-", and counts the skipped
// lines.
func readLog(in io.Reader, path string) (lines []log.Line, skipped int, err error) {
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
		var notLogLine log.ErrNotLogLine
		if errors.As(err, &notLogLine) {
			skipped++
			continue
		}
		lines = append(lines, l)
	}
	if err := s.Err(); err != nil {
		return nil, 0, fmt.Errorf("read log %s: %w", path, err)
	}
	return lines, skipped, nil
}

// selectLines returns the lines that match the flags.
func (f timelineFlags) selectLines(lines []log.Line) []log.Line {
	from, to := f.timeRange(lines)
	var out []log.Line
	for _, l := range lines {
		if f.event != "" && l.Event != f.event || f.process != "" && l.Process != f.process {
			continue
		}
		matches := f.request == "" || l.Fields["request"] == f.request
		nearby := f.around && l.Fields["request"] == "" && !l.Time.Before(from) && !l.Time.After(to)
		if matches || nearby {
			out = append(out, l)
		}
	}
	return out
}

// timeRange returns the period of a request, extended by aroundBefore and aroundAfter. A line is
// written when its event ends; its field took_ms is the duration of the event.
func (f timelineFlags) timeRange(lines []log.Line) (from, to time.Time) {
	for _, l := range lines {
		if f.request == "" || l.Fields["request"] != f.request {
			continue
		}
		start := l.Time
		if took, err := time.ParseDuration(l.Fields["took_ms"] + "ms"); err == nil {
			start = start.Add(-took)
		}
		if from.IsZero() || start.Add(-aroundBefore).Before(from) {
			from = start.Add(-aroundBefore)
		}
		if end := l.Time.Add(aroundAfter); end.After(to) {
			to = end
		}
	}
	return from, to
}
