// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package relay

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"fawnwinch.org/fawnwinch/modules/clock"
	"fawnwinch.org/fawnwinch/services/balance"
	"fawnwinch.org/fawnwinch/services/quarantine"

	"github.com/rs/zerolog"
)

// streamState is the progress of a stream.
type streamState struct {
	// begun reports whether the head of an answer was passed on. It is written under the relay's lock.
	begun bool
	// lastEvent is the id of the latest event that was passed on.
	lastEvent string
	events    int
	// first and latest are when the first and the latest event were passed on. pause is the longest
	// time between two events, and pausedAt is when that pause ended.
	first, latest, pausedAt time.Time
	pause                   time.Duration
}

// recordEvent records that an event was passed on.
func (s *streamState) recordEvent(now time.Time) {
	if s.events++; s.events == 1 {
		s.first, s.latest = now, now
		return
	}
	if pause := now.Sub(s.latest); pause > s.pause {
		s.pause, s.pausedAt = pause, now
	}
	s.latest = now
}

// log adds to a request's log line the time to the first event, the longest pause and the end of
// that pause.
func (s *streamState) log(e *zerolog.Event, arrived time.Time) {
	if s.events == 0 {
		return
	}
	e.Int64("first_ms", s.first.Sub(arrived).Milliseconds()).Int64("pause_ms", s.pause.Milliseconds())
	if s.pause > 0 {
		e.Int64("pause_end_ms", s.pausedAt.Sub(arrived).Milliseconds())
	}
}

// maxEvent bounds one event of a stream, in bytes.
const maxEvent = 1 << 20

// errNoEvents reports a stream that ended before its first event.
var errNoEvents = errors.New("stream ended without an event")

// relayStream passes the events of an answer on as they arrive, each one complete. It returns false
// if the stream broke and another upstream should continue it.
func (x *exchange) relayStream(ctx context.Context, a *answer) bool {
	err := x.relayEvents(a)
	switch {
	case err == nil:
		x.r.recordRun(clock.Now(), x.subject, quarantine.CompletedRun)
		a.reuseConn(x.r.conns)
		x.release(a.upstream, balance.ResultOK, clock.Since(a.began), a.started)
		x.finish(http.StatusOK, ReasonAnswered)
		return true
	case x.req.Context().Err() != nil:
		x.r.recordRun(clock.Now(), x.subject, a.lasted(a.latestAt))
		a.drop()
		x.release(a.upstream, balance.ResultCancelled, clock.Since(a.began), a.started)
		x.finish(http.StatusOK, ReasonCallerDisconnected)
		panic(http.ErrAbortHandler)
	}
	a.drop()
	x.recordBreak(ctx, a, err)
	return false
}

// beginStream records that the head of an answer is passed on. A report of a group may reroute the
// request at the same time.
func (x *exchange) beginStream() {
	x.r.mu.Lock()
	defer x.r.mu.Unlock()
	x.stream.begun = true
}

// clearParts records that the upstream goes on while it writes the answer: the parts of the prompt do
// not crash it.
func (x *exchange) clearParts(a *answer) {
	if lasted := a.lasted(a.latestAt); lasted > 0 && !a.partsCleared {
		x.r.recordPartRun(a.latestAt, x.subject, lasted)
		a.partsCleared = lasted > quarantine.PartRunTime
	}
}

func (x *exchange) relayEvents(a *answer) error {
	in := bufio.NewReader(a.resp.Body)
	out := http.NewResponseController(x.w)
	for first := true; ; first = false {
		event, err := readEvent(in)
		if errors.Is(err, io.EOF) && len(event) == 0 {
			if first {
				return errNoEvents
			}
			return nil
		}
		if err != nil {
			return fmt.Errorf("upstream %s: after event %q: %w", a.upstream.ID, x.stream.lastEvent, err)
		}
		a.latestAt = clock.Now()
		if !a.started {
			a.started, a.startedAt = true, a.latestAt
			x.started(a.upstream)
		}
		x.clearParts(a)
		if !x.stream.begun {
			x.beginStream()
			x.setHead(x.r.opts.Protocol.CallerHeader(a.resp.Header))
			x.w.WriteHeader(a.resp.StatusCode)
		}
		x.allowWrite()
		if _, err := x.w.Write(event); err != nil {
			return fmt.Errorf("write to caller: %w", err)
		}
		if err := out.Flush(); err != nil {
			return fmt.Errorf("write to caller: %w", err)
		}
		x.stream.recordEvent(clock.Now())
		if id, ok := eventID(event); ok {
			x.stream.lastEvent = id
		}
	}
}

// readEvent reads up to the empty line that ends an event. At the end of the stream it returns
// io.EOF without data; for a truncated event it returns io.ErrUnexpectedEOF.
func readEvent(in *bufio.Reader) ([]byte, error) {
	var event []byte
	for {
		line, err := in.ReadSlice('\n')
		event = append(event, line...)
		if len(event) > maxEvent {
			return nil, fmt.Errorf("event of more than %d bytes", maxEvent)
		}
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case errors.Is(err, io.EOF) && len(event) > 0:
			return event, io.ErrUnexpectedEOF
		case err != nil:
			return event, err //nolint:wrapcheck // io.EOF must not be wrapped
		case len(bytes.TrimRight(line, "\r\n")) == 0:
			return event, nil
		}
	}
}

// eventID returns the id that an event carries.
func eventID(event []byte) (string, bool) {
	for line := range strings.Lines(string(event)) {
		if rest, ok := strings.CutPrefix(line, "id:"); ok {
			return strings.TrimSpace(rest), true
		}
	}
	return "", false
}
