// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package relay

import (
	"fmt"
	"net"
	"net/http"
	"reflect"
	"testing"
	"time"

	"fawnwinch.org/fawnwinch/models/request"
	"fawnwinch.org/fawnwinch/models/upstream"
	"fawnwinch.org/fawnwinch/services"
	"fawnwinch.org/fawnwinch/services/knowledge"
	"fawnwinch.org/fawnwinch/services/peer"
	"fawnwinch.org/fawnwinch/services/quarantine"
)

// askedKey returns the key of the request that get sends.
func askedKey(path string) quarantine.Key {
	return quarantine.Key{Account: "seiryu", Digest: request.NewDigest(nil, http.MethodGet, "h", path, "")}
}

// crashes returns the crashes in a relay's register.
func crashes(r *Relay) []quarantine.Crash {
	var out []quarantine.Crash
	r.WithCrashes(func(g *quarantine.Register) { out = g.ChangedSince(time.Now(), peer.Watermark{}) })
	return out
}

// TestBrokenConnections checks which broken connections count as the end of an upstream.
func TestBrokenConnections(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nId: r1\r\nTransfer-Encoding: chunked\r\n\r\n"
	event := "id: 1\ndata: x\n\n"
	cases := map[string]struct {
		path   string
		script func(f *stoppableUpstream, c net.Conn)
		want   int
	}{
		"the upstream ends": {"/unsafe/x", func(f *stoppableUpstream, c net.Conn) { f.end(); reset(c) }, 1},
		"it ends in the middle of a stream": {"/stream/x", func(f *stoppableUpstream, c net.Conn) {
			writef(c, "%s%x\r\n%s\r\n", head, len(event), event)
			f.end()
			reset(c)
		}, 1},
		"it lives, and the connection breaks": {"/unsafe/x", func(_ *stoppableUpstream, c net.Conn) { reset(c) }, 0},
		"it ends because it leaves":           {"/unsafe/x", func(f *stoppableUpstream, c net.Conn) { f.listLeaving(); f.end(); reset(c) }, 0},
		"it has said itself that it leaves":   {"/unsafe/x", func(f *stoppableUpstream, c net.Conn) { f.announceLeaving(); f.end(); reset(c) }, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := newStoppableUpstream(t, c.script)
			s, r := start(t, &fake{address: f.address})
			f.listLeaving = func() { listUpstream(r, f.address, upstream.StateLeaving) }
			f.announceLeaving = func() { recordNotice(r, upstream.Run{ID: "u0"}, upstream.Notice{Leaving: true}) }
			_, _, _, _ = get(t.Context(), t, s, c.path, nil)
			if got := crashes(r); len(got) != c.want {
				t.Errorf("%d ends, want %d", len(got), c.want)
			}
		})
	}
}

// listUpstream changes the state of the first upstream that start lists.
func listUpstream(r *Relay, address string, state upstream.State) {
	r.WithState(func(k *knowledge.State) {
		u := upstream.Instance{ID: "u0", Service: "s", Address: address, Slots: 4, State: state}
		k.ApplyUpstreams(time.Now(), knowledge.Segment[upstream.Instance]{
			From: position(1), Next: position(2), AsOf: time.Now(), Changes: []services.Change[upstream.Instance]{{Key: "u0", Value: &u}},
		})
	})
}

// stoppableUpstream is an upstream whose listener can be closed.
type stoppableUpstream struct {
	address string
	listen  net.Listener
	// listLeaving lists the upstream in the store as leaving; announceLeaving has the upstream
	// announce it in a notice.
	listLeaving, announceLeaving func()
}

// recordNotice records a notice of an upstream of the tests' service in a relay.
func recordNotice(r *Relay, run upstream.Run, n upstream.Notice) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	r.serviceState(now, "s").pool.Conditions().Note(now, now, run, n)
}

func newStoppableUpstream(t *testing.T, script func(f *stoppableUpstream, c net.Conn)) *stoppableUpstream {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f := &stoppableUpstream{address: l.Addr().String(), listen: l}
	t.Cleanup(f.end)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				buffer := make([]byte, 4096)
				if n, _ := c.Read(buffer); n > 0 {
					script(f, c)
				}
				_ = c.Close()
			}()
		}
	}()
	return f
}

func (f *stoppableUpstream) end() { _ = f.listen.Close() }

// TestQuarantine checks the answer to a request that crashes upstreams, and that it is not sent any
// more.
func TestQuarantine(t *testing.T) {
	cases := map[string]struct {
		ends int
		// running reports whether another attempt of the same request is running.
		running bool
		status  int
		sent    int32
		// after is the minimum retry advice.
		after time.Duration
	}{
		"one end":                        {ends: 1, status: 200, sent: 1},
		"two ends":                       {ends: 2, status: 200, sent: 1},
		"two ends, and another try runs": {ends: 2, running: true, status: 503, after: retryBusy},
		"three ends":                     {ends: 3, status: 503, after: time.Minute},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFake(t, func(_ int, h map[string]string, conn net.Conn) { writeAnswer(conn, h["Id"], "ok") })
			s, r := start(t, f)
			now := time.Now()
			r.WithCrashes(func(g *quarantine.Register) {
				for i := range c.ends {
					g.Add(now, quarantine.Crash{Key: askedKey("/safe/x"), Run: upstream.Run{ID: upstream.ID(fmt.Sprint("e", i))}, Age: time.Duration(c.ends-i) * time.Second})
				}
			})
			if c.running {
				r.mu.Lock()
				r.running[askedKey("/safe/x")] = 1
				r.mu.Unlock()
			}
			status, header, _, _ := get(t.Context(), t, s, "/safe/x", nil)
			after, _ := time.ParseDuration(header.Get("Retry-After") + "s")
			if status != c.status || f.got.Load() != c.sent || after < c.after {
				t.Errorf("status %d, sent %d times, Retry-After %s; want %d, %d, %s at least", status, f.got.Load(), after, c.status, c.sent, c.after)
			}
			if status, _, _, _ := get(t.Context(), t, s, "/safe/y", nil); status != 200 {
				t.Errorf("another request of the account got status %d", status)
			}
		})
	}
}

// TestAnswerClearsSuspects checks that requests which ran when connections broke are cleared as
// soon as the same upstream answers again.
func TestAnswerClearsSuspects(t *testing.T) {
	_, r := start(t, newFake(t, nil))
	now := time.Now()
	k, u := askedKey("/stream/x"), upstream.Instance{ID: "u0"}
	r.WithCrashes(func(g *quarantine.Register) {
		g.Add(now, quarantine.Crash{Key: k, Run: upstream.Run{ID: "e"}, Lasted: 100 * time.Millisecond})
	})
	r.probes[u.Run()] = &probe{at: now, suspects: []suspect{{subject: quarantine.Subject{Content: k}, lasted: 2 * time.Second, at: now}}}
	for _, step := range []struct {
		head    services.Execution
		cleared bool
	}{{services.ExecutionMisdirected, false}, {services.ExecutionNone, true}} {
		r.recordAnswer(now, &answer{upstream: u, head: services.UpstreamAnswer{Execution: step.head}})
		if got := crashes(r); len(got) != 1 || got[0].Cleared != step.cleared {
			t.Errorf("after an answer %q: %+v, want cleared: %t", step.head, got, step.cleared)
		}
	}
}

// TestSuspectsKeptAcrossProbes checks that requests which ran when connections to an upstream broke
// are still suspects after the connections broke once more.
func TestSuspectsKeptAcrossProbes(t *testing.T) {
	f := newStoppableUpstream(t, func(*stoppableUpstream, net.Conn) {})
	_, r := start(t, newFake(t, nil))
	now, u := time.Now(), upstream.Instance{ID: "u0", Address: f.address}
	first := suspect{subject: quarantine.Subject{Content: askedKey("/stream/x")}, lasted: time.Second}
	r.probes[u.Run()] = &probe{at: now.Add(-2 * probeValidity), suspects: []suspect{first}}
	x := &exchange{r: r, account: "seiryu", subject: quarantine.Subject{Content: askedKey("/stream/y")}}
	r.probeAfterBreak(t.Context(), x, u, now, 2*time.Second)
	got := r.takeSuspects(u.Run())
	if len(got) == 2 && got[1].at.Before(now) {
		t.Errorf("the second suspect was kept at %s", got[1].at)
	}
	for i := range got {
		got[i].at = time.Time{}
	}
	if want := []suspect{first, {subject: x.subject, lasted: 2 * time.Second}}; !reflect.DeepEqual(got, want) {
		t.Errorf("kept %+v, want %+v", got, want)
	}
}
