// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package relay

import (
	"fmt"
	"net"
	"slices"
	"testing"
	"time"

	"fawnwinch.org/fawnwinch/models/account"
	"fawnwinch.org/fawnwinch/models/prompt"
	"fawnwinch.org/fawnwinch/models/request"
	"fawnwinch.org/fawnwinch/models/upstream"
	"fawnwinch.org/fawnwinch/services/quarantine"
)

// partSubject returns a request to the service of the tests.
func partSubject(content int, parts ...prompt.Part) quarantine.Subject {
	return quarantine.NewSubject("seiryu", request.Digest(content), "s", parts)
}

// addPartCrashes records that upstreams ended under different requests with the same parts.
func addPartCrashes(r *Relay, now time.Time, ages []time.Duration, parts ...prompt.Part) {
	r.WithCrashes(func(g *quarantine.Register) {
		for i, age := range ages {
			g.AddCrash(now, partSubject(1000+i, parts...), quarantine.Crash{Run: upstream.Run{ID: upstream.ID(fmt.Sprint("ended-", i))}, Ran: 100 * time.Millisecond, Age: age})
		}
	})
	r.Sweep(now)
}

// TestQuarantinedPart checks what is answered to requests with a part of their prompts that crashes
// upstreams, and that sound requests which share everything else are served.
func TestQuarantinedPart(t *testing.T) {
	const twice = 6 * time.Second
	cases := map[string]struct {
		ages   []time.Duration
		parts  string
		status int
		sent   int32
		after  time.Duration
	}{
		"one end":                      {[]time.Duration{time.Second}, "first,bad,own", 200, 1, 0},
		"two ends":                     {[]time.Duration{twice, time.Second}, "first,bad,own", 503, 0, time.Minute},
		"the first part":               {[]time.Duration{twice, time.Second}, "first,own", 200, 1, 0},
		"another part":                 {[]time.Duration{twice, time.Second}, "first,other,own", 200, 1, 0},
		"no parts":                     {[]time.Duration{twice, time.Second}, "", 200, 1, 0},
		"it is the last part":          {[]time.Duration{twice, time.Second}, "first,bad", 200, 1, 0},
		"two ends long ago":            {[]time.Duration{15 * time.Minute, 14 * time.Minute}, "bad,own", 200, 1, 0},
		"two ends long ago, suspected": {[]time.Duration{15 * time.Minute, 14 * time.Minute}, "first,bad,own", 503, 0, 500 * time.Millisecond},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFake(t, func(_ int, h map[string]string, conn net.Conn) { writeAnswer(conn, h["Id"], "ok") })
			s, r := start(t, f)
			r.WithCrashes(func(g *quarantine.Register) {
				for range 50 {
					g.Count(time.Now(), partSubject(1, "first"))
				}
			})
			addPartCrashes(r, time.Now(), c.ages, "first", "bad")
			status, header, _, _ := get(t.Context(), t, s, "/safe/x", map[string]string{"Parts": c.parts})
			after, _ := time.ParseDuration(header.Get("Retry-After") + "s")
			if status != c.status || f.got.Load() != c.sent || after < c.after {
				t.Errorf("status %d, sent %d times, Retry-After %s; want %d, %d, %s at least", status, f.got.Load(), after, c.status, c.sent, c.after)
			}
		})
	}
}

// TestTestingRouter checks that one router tests a part that was refused, with one request at a time.
func TestTestingRouter(t *testing.T) {
	names := []string{"a", "b", "c"}
	tested := 0
	for _, self := range names {
		f := newFake(t, func(_ int, h map[string]string, conn net.Conn) { writeAnswer(conn, h["Id"], "ok") })
		s, r := start(t, f)
		r.SetTesters(self, names)
		addPartCrashes(r, time.Now(), []time.Duration{15 * time.Minute, 14 * time.Minute}, "bad")
		key := quarantine.PartKey("s", "bad")
		r.mu.Lock()
		r.running[key]++
		r.mu.Unlock()
		if status, _, _, _ := get(t.Context(), t, s, "/safe/x", map[string]string{"Parts": "bad,own"}); status != 503 {
			t.Errorf("router %s: status %d while another request with the part runs", self, status)
		}
		r.mu.Lock()
		delete(r.running, key)
		r.mu.Unlock()
		if status, _, _, _ := get(t.Context(), t, s, "/safe/x", map[string]string{"Parts": "bad,own"}); status == 200 {
			tested++
			if status, _, _, _ := get(t.Context(), t, s, "/safe/y", map[string]string{"Parts": "bad,own"}); status != 200 {
				t.Errorf("status %d after the test was answered", status)
			}
		}
	}
	if tested != 1 {
		t.Errorf("%d routers have tested the part, want 1", tested)
	}
}

// TestCrashUnderNewPart checks that a request is not sent again if an upstream ended under it and a
// part of its prompt has never been answered. It guards against one request that ends two upstreams.
func TestCrashUnderNewPart(t *testing.T) {
	for name, c := range map[string]struct {
		parts string
		known bool
		sent  int32
	}{
		"a new part":               {"bad,own", false, 0},
		"a part that was answered": {"bad,own", true, 1},
		"no shared part":           {"own", false, 1},
	} {
		t.Run(name, func(t *testing.T) {
			ended := newStoppableUpstream(t, func(f *stoppableUpstream, c net.Conn) { f.end(); reset(c) })
			other := newFake(t, func(_ int, h map[string]string, conn net.Conn) { writeAnswer(conn, h["Id"], "ok") })
			s, r := start(t, &fake{address: ended.address}, other)
			if c.known {
				r.WithCrashes(func(g *quarantine.Register) {
					g.RecordRun(time.Now(), partSubject(1, "bad"), quarantine.CompletedRun)
				})
			}
			// The other upstream is busy at first.
			r.mu.Lock()
			r.serviceState(time.Now(), "s").pool.Sent(time.Now(), upstream.Run{ID: "u1"})
			r.mu.Unlock()
			_, _, _, _ = get(t.Context(), t, s, "/safe/x", map[string]string{"Parts": c.parts})
			if got := other.got.Load(); got != c.sent {
				t.Errorf("sent to the other upstream %d times, want %d", got, c.sent)
			}
		})
	}
}

// TestStreamClearsParts checks that the parts of a prompt are cleared while its answer still goes on,
// and not by its first event or by a failure.
func TestStreamClearsParts(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nId: r1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	event := func(n int) string { return chunked(fmt.Sprintf("id: %d\ndata: x\n\n", n)) }
	cases := map[string]struct {
		path   string
		script func(c net.Conn, done <-chan struct{})
		// cleared reports whether the part is cleared while the answer goes on or at its end.
		cleared bool
	}{
		"several events": {"/stream/x", func(c net.Conn, done <-chan struct{}) {
			writef(c, "%s%s", head, event(1))
			time.Sleep(2 * quarantine.PartRunTime)
			writef(c, "%s", event(2))
			<-done
		}, true},
		"one event": {"/stream/x", func(c net.Conn, done <-chan struct{}) {
			writef(c, "%s%s", head, event(1))
			<-done
		}, false},
		"a failure": {"/unsafe/x", func(c net.Conn, _ <-chan struct{}) {
			writef(c, "HTTP/1.1 500 Broken\r\nId: r1\r\nContent-Length: 0\r\n\r\n")
		}, false},
		"an answer": {"/unsafe/x", func(c net.Conn, _ <-chan struct{}) { writeAnswer(c, "r1", "ok") }, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			done := make(chan struct{})
			f := newFake(t, func(_ int, _ map[string]string, conn net.Conn) { c.script(conn, done) })
			s, r := start(t, f)
			addPartCrashes(r, time.Now(), []time.Duration{time.Second}, "bad")
			suspected := func() bool {
				standing := quarantine.StandingFree
				r.WithCrashes(func(g *quarantine.Register) { standing = g.Judge(time.Now(), partSubject(5, "bad")).Standing })
				return standing != quarantine.StandingFree
			}
			answered := make(chan struct{})
			go func() {
				defer close(answered)
				_, _, _, _ = get(t.Context(), t, s, c.path, map[string]string{"Parts": "bad,own"})
			}()
			if c.cleared {
				until(t, "the part is cleared", func() bool { return !suspected() })
			} else {
				select {
				case <-answered:
				case <-time.After(4 * quarantine.PartRunTime):
				}
				if !suspected() {
					t.Error("the part is cleared")
				}
			}
			close(done)
			<-answered
		})
	}
}

// TestQuarantineStatus checks what operators see of a part that is refused, and that they can release
// it.
func TestQuarantineStatus(t *testing.T) {
	s, r := start(t, newFake(t, func(_ int, h map[string]string, conn net.Conn) { writeAnswer(conn, h["Id"], "ok") }))
	addPartCrashes(r, time.Now(), []time.Duration{6 * time.Second, time.Second}, "bad")
	for range 3 {
		_, _, _, _ = get(t.Context(), t, s, "/safe/x", map[string]string{"Parts": "bad,own"})
	}
	key := quarantine.PartKey("s", "bad")
	got := r.Quarantined(time.Now())
	if len(got) != 1 || got[0].Key != key || got[0].Requests != 3 || got[0].Crashes != 2 || !slices.Equal(got[0].Accounts, []account.ID{"seiryu"}) || got[0].Left < time.Minute {
		t.Fatalf("%+v", got)
	}
	if r.Release(time.Now(), quarantine.PartKey("s", "other")) || !r.Release(time.Now(), key) {
		t.Error("the wrong part was released")
	}
	if got := r.Quarantined(time.Now()); len(got) != 0 {
		t.Errorf("%+v after the release", got)
	}
	if status, _, _, _ := get(t.Context(), t, s, "/safe/x", map[string]string{"Parts": "bad,own"}); status != 200 {
		t.Errorf("status %d after the release", status)
	}
}

func chunked(s string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(s), s) }
