// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package relay

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"fawnwinch.org/fawnwinch/modules/clock"
	"fawnwinch.org/fawnwinch/modules/clock/clocktest"
	"fawnwinch.org/fawnwinch/services/knowledge"
)

// freezable is an upstream that answers one request and then behaves like one whose VM is frozen:
// it reads nothing, and its listener accepts no connection.
type freezable struct {
	fake
	conn chan net.Conn
}

// newFreezable returns an upstream whose listener holds one connection that is not accepted.
func newFreezable(t *testing.T) *freezable {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	if err := errors.Join(syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}), syscall.Listen(fd, 0)); err != nil {
		t.Fatal(err)
	}
	file := os.NewFile(uintptr(fd), "listener")
	l, err := net.FileListener(file)
	if err := errors.Join(err, file.Close()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	f := &freezable{fake: fake{address: l.Addr().String()}, conn: make(chan net.Conn, 1)}
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		buffer := make([]byte, 4<<10)
		if _, err := c.Read(buffer); err == nil {
			writeAnswer(c, "r1", "ok")
		}
		f.conn <- c
	}()
	return f
}

// freeze fills the listener's queue, so that it drops further handshakes.
func (f *freezable) freeze(t *testing.T) {
	t.Helper()
	d := net.Dialer{Timeout: 100 * time.Millisecond}
	for range 8 {
		c, err := d.DialContext(t.Context(), "tcp", f.address)
		if err != nil {
			return
		}
		t.Cleanup(func() { _ = c.Close() })
	}
	t.Fatal("the listener accepts any number of connections")
}

// TestFrozenUpstream checks that nothing is written to an upstream that has frozen since its last
// answer. A request on a kept connection would reach it when its VM resumes, after the caller has
// left, and the router could not tell whether it had run.
func TestFrozenUpstream(t *testing.T) {
	vm := clocktest.New(t)
	f := newFreezable(t)
	s, r := start(t, &f.fake)
	if status, _, _, err := get(t.Context(), t, s, "/unsafe/x", nil); err != nil || status != 200 {
		t.Fatalf("status %d, %v before", status, err)
	}
	kept := <-f.conn
	defer func() { _ = kept.Close() }()
	f.freeze(t)
	vm.Suspend(200 * time.Millisecond)
	now := clock.Now()
	r.WithState(func(k *knowledge.State) { k.ApplyCatalogs(now, catalogs(now)) })
	status, header, _, err := get(t.Context(), t, s, "/unsafe/x", nil)
	if err != nil || status != 503 || header.Get("Retry-After") == "" {
		t.Errorf("status %d, Retry-After %q, %v, want 503 with a time", status, header.Get("Retry-After"), err)
	}
	if n, err := kept.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("%d bytes were written to the frozen upstream, %v", n, err)
	}
}
