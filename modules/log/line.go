// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package log

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Line is a parsed log line of a process.
type Line struct {
	Time    time.Time
	Process string
	// Event is the name of the logged event.
	Event string
	// Fields holds all values of the line by key.
	Fields map[string]string
	// Text is the line without any prefix before its time.
	Text string
}

// ErrNotLogLine reports text that is not a log line of a process.
type ErrNotLogLine struct{ Reason string }

func (e ErrNotLogLine) Error() string { return "not a log line: " + e.Reason }

// timeKey starts each line; log collectors may add a prefix before it.
const timeKey = "time="

// ParseLine parses a line written by a logger from New, and ignores any prefix that a log collector
// added.
func ParseLine(text string) (Line, error) {
	at := strings.Index(text, timeKey)
	if at < 0 {
		return Line{}, ErrNotLogLine{Reason: "it has no time field"}
	}
	l := Line{Text: strings.TrimRight(text[at:], "\r\n"), Fields: map[string]string{}}
	for rest := l.Text; rest != ""; {
		key, value, tail, err := nextField(rest)
		if err != nil {
			return Line{}, err
		}
		l.Fields[key] = value
		rest = strings.TrimLeft(tail, " ")
	}
	var err error
	if l.Time, err = time.Parse(time.RFC3339Nano, l.Fields["time"]); err != nil {
		return Line{}, ErrNotLogLine{Reason: fmt.Sprintf("its time %q is invalid", l.Fields["time"])}
	}
	l.Process, l.Event = l.Fields["process"], l.Fields["event"]
	return l, nil
}

// nextField splits the first key and value off text.
func nextField(text string) (key, value, rest string, err error) {
	key, after, ok := strings.Cut(text, "=")
	if !ok || key == "" || strings.Contains(key, " ") {
		return "", "", "", ErrNotLogLine{Reason: fmt.Sprintf("%q does not start with key=value", text)}
	}
	if !strings.HasPrefix(after, `"`) {
		value, rest, _ = strings.Cut(after, " ")
		return key, value, rest, nil
	}
	quoted, err := strconv.QuotedPrefix(after)
	if err != nil {
		return "", "", "", ErrNotLogLine{Reason: fmt.Sprintf("the value of %s has no closing quote", key)}
	}
	if value, err = strconv.Unquote(quoted); err != nil {
		return "", "", "", ErrNotLogLine{Reason: fmt.Sprintf("the quoted value of %s is invalid", key)}
	}
	return key, value, after[len(quoted):], nil
}
