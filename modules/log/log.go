// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package log makes the structured logger of a process: one line of key=value pairs an event.
package log

import (
	"fmt"
	"io"
	"strings"
	"sync"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"
)

// New returns a logger that writes key=value lines to w.
// The level is one of debug, info, warn and error; it returns an error for any other.
func New(w io.Writer, level, process string) (zerolog.Logger, error) {
	lvl, err := zerolog.ParseLevel(level)
	if err != nil {
		return zerolog.Nop(), fmt.Errorf("log level %q: %w", level, err)
	}
	setTimeFormat()
	out := zerolog.ConsoleWriter{
		Out:           w,
		NoColor:       true,
		TimeFormat:    "2006-01-02T15:04:05.000Z07:00",
		FormatLevel:   func(v any) string { return "level=" + fmt.Sprint(v) },
		FormatMessage: func(v any) string { return "event=" + quote(fmt.Sprint(v)) },
		FormatTimestamp: func(v any) string {
			return "time=" + fmt.Sprint(v)
		},
		FormatFieldValue: fieldValue,
	}
	return zerolog.New(out).Level(lvl).With().Timestamp().Str("process", process).Logger(), nil
}

// setTimeFormat makes the library keep more than seconds.
var setTimeFormat = sync.OnceFunc(func() { zerolog.TimeFieldFormat = "2006-01-02T15:04:05.000000Z07:00" })

// fieldValue formats a value. The library hands text with blanks or quotes over in quotes, and what is neither
// text nor a number as JSON.
func fieldValue(v any) string {
	switch v := v.(type) {
	case []byte:
		return quote(string(v))
	case string:
		if strings.HasPrefix(v, `"`) {
			return v
		}
	}
	return quote(fmt.Sprint(v))
}

func quote(s string) string {
	if s == "" || strings.ContainsAny(s, " =\"\n") {
		return fmt.Sprintf("%q", s)
	}
	return s
}

// bufferedLines is the number of lines that wait for a reader of the log that is slow.
const bufferedLines = 2048

// Buffered returns a writer that never blocks: lines beyond those that wait for w are dropped, and their
// number is written once w takes lines again.
func Buffered(w io.Writer) io.Writer {
	return diode.NewWriter(w, bufferedLines, 0, func(missed int) {
		_, _ = fmt.Fprintf(w, "level=warn event=log-lines-dropped lines=%d\n", missed)
	})
}
