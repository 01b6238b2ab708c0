// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package cmd

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// TestPlatformTimeline checks the selection and the order of the log lines.
func TestPlatformTimeline(t *testing.T) {
	dir := t.TempDir()
	logs := map[string]string{
		"front.log": "built\n" +
			"time=2026-02-09T10:00:05.500000Z level=info event=refused process=front-1 request=r1 reason=no-upstream-with-room took_ms=1200\n" +
			"time=2026-02-09T10:00:01.000000Z level=info event=ready process=front-1\n" +
			"time=2026-02-09T10:00:05.000000Z level=info event=answered process=front-1 request=r2 took_ms=100\n",
		"agent.log": "  5.1 side-1 time=2026-02-09T10:00:04.000000Z level=info event=group-load process=side-1 running=0\n" +
			"  9.1 side-1 time=2026-02-09T10:00:09.000000Z level=info event=group-load process=side-1 running=4\n",
	}
	var paths []string
	for _, name := range []string{"front.log", "agent.log"} {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(logs[name]), 0o600); err != nil {
			t.Fatal(err)
		}
		paths = append(paths, path)
	}
	cases := map[string]struct {
		args []string
		want string
		fail string
	}{
		"all":                             {nil, "ready group-load answered refused group-load", ""},
		"a request":                       {[]string{"--request", "r1"}, "refused", ""},
		"a request and the events around": {[]string{"--request", "r1", "--around"}, "group-load refused", ""},
		"an event":                        {[]string{"--event", "group-load"}, "group-load group-load", ""},
		"a process":                       {[]string{"--process", "front-1"}, "ready answered refused", ""},
		"an unknown request":              {[]string{"--request", "r9"}, "", "r9"},
		"around without a request":        {[]string{"--around"}, "", "--request"},
		"a missing file":                  {[]string{filepath.Join(dir, "none.log")}, "", "none.log"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			cmd := newPlatformTimelineCommand()
			var out, errs bytes.Buffer
			cmd.SetOut(&out)
			cmd.SetErr(&errs)
			cmd.SetArgs(append(append([]string{}, paths...), c.args...))
			cmd.SilenceUsage = true
			err := cmd.Execute()
			if (err != nil) != (c.fail != "") || (err != nil && !strings.Contains(err.Error(), c.fail)) {
				t.Fatalf("got %v, want %q in it", err, c.fail)
			}
			if err != nil {
				return
			}
			var events []string
			for line := range strings.Lines(out.String()) {
				_, rest, _ := strings.Cut(line, "event=")
				event, _, _ := strings.Cut(strings.TrimSpace(rest), " ")
				events = append(events, event)
			}
			if got := strings.Join(events, " "); got != c.want {
				t.Errorf("lines %q, want %q", got, c.want)
			}
			if !strings.Contains(errs.String(), "1 other lines skipped") {
				t.Errorf("summary %q", errs.String())
			}
		})
	}
}
