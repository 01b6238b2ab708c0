// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package relay

import (
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
)

// closedHead is the head of an answer with neither a length nor chunks.
const closedHead = "HTTP/1.1 200 OK\r\nId: r1\r\n"

// closedStream returns such an answer with the events of a stream after the given one.
func closedStream(after int) string {
	answer := closedHead + "Content-Type: text/event-stream\r\n\r\n"
	for id := after + 1; id <= closedEvents; id++ {
		answer += closedEvent(id)
	}
	return answer
}

const closedEvents = 4

func closedEvent(id int) string { return fmt.Sprintf("id: %d\ndata: x%d\n\n", id, id) }

// TestAnswersThatEndWithTheirConnection cuts answers with neither a length nor chunks at each byte.
// The connection is closed there, or reset, or whole answers are followed by its end.
func TestAnswersThatEndWithTheirConnection(t *testing.T) {
	const body = "a whole answer"
	events := strings.SplitAfter(closedStream(0), "\r\n\r\n")[1]
	cases := map[string]struct {
		path   string
		answer func(last int) string
		reset  bool
		// broken reports whether the first n bytes of the answer are known to be cut off.
		broken func(n int) bool
		// status and body are those that the caller gets if the first answer is broken.
		status int
		body   string
	}{
		"repeatable": {
			path: "/safe/x", answer: func(int) string { return closedHead + "\r\n" + body },
			broken: func(n int) bool { return n < len(closedHead+"\r\n") }, status: 200, body: body,
		},
		"repeatable, reset": {
			path: "/safe/x", answer: func(int) string { return closedHead + "\r\n" + body }, reset: true,
			broken: func(int) bool { return true }, status: 200, body: body,
		},
		"not repeatable": {
			path: "/unsafe/x", answer: func(int) string { return closedHead + "\r\n" + body },
			broken: func(n int) bool { return n < len(closedHead+"\r\n") }, status: 502,
		},
		"not repeatable, reset": {
			path: "/unsafe/x", answer: func(int) string { return closedHead + "\r\n" + body }, reset: true,
			broken: func(int) bool { return true }, status: 502,
		},
		"stream": {
			path: "/stream/x", answer: closedStream,
			broken: func(n int) bool {
				sent := closedStream(0)[:n]
				return !strings.HasSuffix(sent, "\n\n")
			},
			status: 200, body: events,
		},
		"stream, reset": {
			path: "/stream/x", answer: closedStream, reset: true,
			broken: func(int) bool { return true }, status: 200, body: events,
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			whole := c.answer(0)
			cuts := len(whole)
			if c.reset {
				cuts-- // a reset after the last byte takes nothing away
			}
			var cut, calls atomic.Int32
			script := func(_ int, h map[string]string, conn net.Conn) {
				if calls.Add(1) == 1 {
					writef(conn, "%s", whole[:cut.Load()])
					if c.reset {
						reset(conn)
						return
					}
				} else {
					last, _ := strconv.Atoi(h["Last"])
					writef(conn, "%s", c.answer(last))
				}
				_ = conn.Close()
			}
			for n := range cuts + 1 {
				cut.Store(int32(n))
				calls.Store(0)
				s, _ := start(t, newFake(t, script), newFake(t, script))
				status, _, got, err := get(t.Context(), t, s, c.path, nil)
				wantStatus, want, wantCalls := c.status, c.body, int32(2)
				if c.path == "/unsafe/x" {
					wantCalls = 1
				}
				if !c.broken(n) {
					_, want, _ = strings.Cut(whole[:n], "\r\n\r\n")
					wantStatus, wantCalls = 200, 1
				}
				if status != wantStatus || got != want || err != nil || calls.Load() != wantCalls {
					t.Errorf("cut at %d: status %d, body %q, %v, %d calls; want %d, %q, %d calls", n, status, got, err, calls.Load(), wantStatus, want, wantCalls)
				}
			}
		})
	}
}
