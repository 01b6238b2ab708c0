// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package log

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Line is a line that a process has logged.
type Line struct {
	Time    time.Time
	Process string
	// Event is what happened.
	Event string
	// Fields holds all values of the line by their keys.
	Fields map[string]string
	// Text is the line without what stands before its time.
	Text string
}

// ErrNoLine reports text that is not a line of a process.
type ErrNoLine struct{ Reason string }

func (e ErrNoLine) Error() string { return "no line of a process: " + e.Reason }

// timeKey begins each line; what stands before it was added on the way.
const timeKey = "time="

// ParseLine reads a line that a logger of New has written. What collectors of logs put before it is passed over.
func ParseLine(text string) (Line, error) {
	at := strings.Index(text, timeKey)
	if at < 0 {
		return Line{}, ErrNoLine{Reason: "it has no time"}
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
		return Line{}, ErrNoLine{Reason: fmt.Sprintf("its time %q cannot be read", l.Fields["time"])}
	}
	l.Process, l.Event = l.Fields["process"], l.Fields["event"]
	return l, nil
}

// nextField cuts the first key and value off.
func nextField(text string) (key, value, rest string, err error) {
	key, after, ok := strings.Cut(text, "=")
	if !ok || key == "" || strings.Contains(key, " ") {
		return "", "", "", ErrNoLine{Reason: fmt.Sprintf("%q is no key with a value", text)}
	}
	if !strings.HasPrefix(after, `"`) {
		value, rest, _ = strings.Cut(after, " ")
		return key, value, rest, nil
	}
	quoted, err := strconv.QuotedPrefix(after)
	if err != nil {
		return "", "", "", ErrNoLine{Reason: fmt.Sprintf("the value of %s has no closing quote", key)}
	}
	if value, err = strconv.Unquote(quoted); err != nil {
		return "", "", "", ErrNoLine{Reason: fmt.Sprintf("the value of %s cannot be read", key)}
	}
	return key, value, after[len(quoted):], nil
}
