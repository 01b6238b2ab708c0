// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package log creates the structured logger of a process, which writes one line of key=value pairs
// per event.
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

// setTimeFormat makes zerolog keep fractions of a second in timestamps.
var setTimeFormat = sync.OnceFunc(func() { zerolog.TimeFieldFormat = "2006-01-02T15:04:05.000000Z07:00" })

// fieldValue formats a value. The library passes text with spaces or quotes already quoted, and
// values that are neither text nor numbers as JSON.
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

// bufferedLines is the number of lines buffered for a slow log reader.
const bufferedLines = 2048

// Buffered returns a writer that never blocks: it drops lines that exceed its buffer, and reports
// their number once w accepts lines again.
func Buffered(w io.Writer) io.Writer {
	return diode.NewWriter(w, bufferedLines, 0, func(missed int) {
		_, _ = fmt.Fprintf(w, "level=warn event=log-lines-dropped lines=%d\n", missed)
	})
}
