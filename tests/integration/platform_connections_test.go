// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package integration

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// restingCaller sends requests to a router over one connection.
type restingCaller struct {
	conn net.Conn
	in   *bufio.Reader
}

// request sends a request and returns the status, or an error if there is no answer in time.
func (c *restingCaller) request(path string) (int, error) {
	if err := c.conn.SetDeadline(time.Now().Add(restingDeadline)); err != nil {
		return 0, err
	}
	if _, err := fmt.Fprintf(c.conn, "GET %s HTTP/1.1\r\nHost: h\r\nX-Fawnwinch-Request-Id: r1\r\nApi-Key: k\r\n\r\n", path); err != nil {
		return 0, err
	}
	resp, err := http.ReadResponse(c.in, nil)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}

const (
	// restingDeadline bounds the time for an answer.
	restingDeadline = 3 * time.Second
	restingPace     = 10 * time.Millisecond
)

func newRestingCaller(address string) (*restingCaller, error) {
	conn, err := net.DialTimeout("tcp", address, restingDeadline)
	if err != nil {
		return nil, err
	}
	return &restingCaller{conn, bufio.NewReader(conn)}, nil
}

// TestRestingCallers leaves more connections open than a router has descriptors: at the address for
// callers, or at that of the directory. It guards against a router that accepts no more connections
// because callers have left theirs to it.
func TestRestingCallers(t *testing.T) {
	const descriptors, callers = 900, 1200
	cases := map[string]struct {
		// idleTimeout is how long a connection may rest, as the operator says; 0 if he does not.
		idleTimeout time.Duration
		directory   bool
		// pace is the time between two connections, so that those which have not rested for too long
		// need fewer descriptors than there are. Then all others are closed.
		pace time.Duration
	}{
		"connections rest for too long":         {time.Second, false, restingPace},
		"there are too many":                    {time.Minute, false, 0},
		"the operator bounds no time":           {0, false, 0},
		"connections to the directory":          {time.Second, true, restingPace},
		"too many connections to the directory": {0, true, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newSite(t)
			s.descriptors = descriptors
			rp := newReplica(t, "i-1", nil)
			config := operatorConfig(3, "k")
			if c.idleTimeout > 0 {
				config = strings.Replace(config, `"limits":{`, fmt.Sprintf(`"limits":{"idleTimeoutMs":%d,`, c.idleTimeout.Milliseconds()), 1)
			}
			s.store.Put(operatorStream, "config", config)
			s.store.Put(replicaStream, "i-1", rp.entry("ready"))
			r := s.router("a")
			limit := unix.Rlimit{Cur: descriptors, Max: descriptors}
			if err := unix.Prlimit(r.cmd.Process.Pid, unix.RLIMIT_NOFILE, &limit, nil); err != nil {
				t.Fatal(err)
			}
			eventually(t, "ready", r.isReady)
			address, path := r.front, "/view/x"
			if c.directory {
				address, path = r.directory, "/fawnwinch/resolve?name=h&region=r&zone=a"
			}
			// One caller takes its connection up again before it has rested for too long.
			steady, err := newRestingCaller(address)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = steady.conn.Close() }()
			used := time.Now()
			for n := range callers {
				caller, err := newRestingCaller(address)
				if err != nil {
					t.Fatalf("connection %d: %v", n, err)
				}
				defer func() { _ = caller.conn.Close() }()
				if status, err := caller.request(path); status != http.StatusOK || err != nil {
					t.Fatalf("request %d: status %d, %v", n, status, err)
				}
				time.Sleep(c.pace)
				if time.Since(used) > c.idleTimeout/2 || c.idleTimeout == 0 {
					used = time.Now()
					if status, err := steady.request(path); status != http.StatusOK || err != nil {
						t.Fatalf("the connection in use, after %d others: status %d, %v", n, status, err)
					}
				}
			}
			if c.pace == 0 {
				return
			}
			open := func() int {
				entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", r.cmd.Process.Pid))
				if err != nil {
					t.Fatal(err)
				}
				return len(entries)
			}
			eventually(t, "the end of all connections at rest", func() bool { return open() < descriptors/10 })
		})
	}
}
