// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package log_test

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
	"testing"

	"fawnwinch.org/fawnwinch/modules/log"
)

func ExampleParseLine() {
	l, err := log.ParseLine(`front-1 | time=2026-02-09T09:48:51.605395Z level=info event=refused reason=deadline request=9c41 error="status 503: no room"`)
	fmt.Println(l.Time.Second(), l.Event, l.Fields["reason"], l.Fields["error"], err)
	// Output: 51 refused deadline status 503: no room <nil>
}

// TestParseLine checks that lines written by a logger are parsed, and that other text is rejected.
func TestParseLine(t *testing.T) {
	var out bytes.Buffer
	logger, err := log.New(&out, "info", "front-1")
	if err != nil {
		t.Fatal(err)
	}
	detail := "a \"quoted\" = value\nof two lines"
	logger.Warn().Str("request", "r1").Str("detail", detail).Int("attempts", 2).Err(errors.New("broke off")).Msg("attempt-failed")
	l, err := log.ParseLine(out.String())
	if err != nil {
		t.Fatal(err)
	}
	want := map[string]string{"request": "r1", "detail": detail, "attempts": "2", "error": "broke off", "level": "warn"}
	for key, value := range want {
		if l.Fields[key] != value {
			t.Errorf("%s is %q, want %q", key, l.Fields[key], value)
		}
	}
	if l.Process != "front-1" || l.Event != "attempt-failed" || l.Time.IsZero() || strings.HasSuffix(l.Text, "\n") {
		t.Errorf("got %+v", l)
	}
	cases := map[string]string{
		"nothing":          "",
		"other text":       "built in 0.1 s",
		"a bad time":       "time=now event=x",
		"an open quote":    `time=2026-02-09T09:48:51Z error="never closed`,
		"a key alone":      "time=2026-02-09T09:48:51Z alone",
		"a value alone":    "time=2026-02-09T09:48:51Z =x",
		"text between":     "time=2026-02-09T09:48:51Z some words a=b",
		"a broken escape":  `time=2026-02-09T09:48:51Z error="\q"`,
		"a time in quotes": `time="" event=x`,
	}
	for name, text := range cases {
		t.Run(name, func(t *testing.T) {
			var notLine log.ErrNotLogLine
			if _, err := log.ParseLine(text); !errors.As(err, &notLine) {
				t.Errorf("got %v", err)
			}
		})
	}
}
