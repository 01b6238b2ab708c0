// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package rpc_test

import (
	"context"
	"errors"
	"runtime"
	"testing"
	"time"

	"fawnwinch.org/fawnwinch/modules/httpx"
	"fawnwinch.org/fawnwinch/modules/rpc"

	"go.uber.org/goleak"
)

// echo answers at once, or once its gate is closed.
type echo struct{ gate chan struct{} }

// Now answers at once.
func (e *echo) Now(in int, out *int) error { *out = in; return nil }

// Late answers once the gate is closed.
func (e *echo) Late(in int, out *int) error { <-e.gate; *out = in; return nil }

// serve starts a server of e, and returns it and its address.
func serve(t *testing.T, e *echo) (*rpc.Server, string) {
	t.Helper()
	l, err := httpx.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := rpc.NewServer(l)
	if err := s.Register("Echo", e); err != nil {
		t.Fatal(err)
	}
	s.Start()
	return s, l.Addr().String()
}

// TestCall checks that a late answer reaches no other call, that the next call works, and that no
// goroutine is left.
func TestCall(t *testing.T) {
	defer goleak.VerifyNone(t)
	e := &echo{gate: make(chan struct{})}
	s, address := serve(t, e)
	p := rpc.NewPool()
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	var out int
	if err := p.Call(ctx, address, "Echo.Late", 1, &out); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("late call: %v", err)
	}
	cancel()
	if err := p.Call(t.Context(), address, "Echo.Now", 2, &out); err != nil || out != 2 {
		t.Errorf("next call: %d, %v", out, err)
	}
	close(e.gate)
	s.Close()
	var unsent rpc.ErrNotSent
	if err := p.Call(t.Context(), "127.0.0.1:1", "Echo.Now", 2, &out); !errors.As(err, &unsent) {
		t.Errorf("call without a listener: %v", err)
	}
	p.Close()
}

// TestMethods checks that the bytes of all methods add up to those of the connections.
func TestMethods(t *testing.T) {
	defer goleak.VerifyNone(t)
	s, address := serve(t, &echo{})
	defer s.Close()
	p := rpc.NewPool()
	defer p.Close()
	const calls = 3
	for in := range calls {
		var out int
		if err := p.Call(t.Context(), address, "Echo.Now", in, &out); err != nil || out != in {
			t.Fatalf("call %d: %d, %v", in, out, err)
		}
	}
	var text string
	if err := p.Call(t.Context(), address, "Echo.Unknown", 1, &text); err == nil {
		t.Error("a method that does not exist was called")
	}
	methods := p.Methods()
	if methods["Echo.Now"].Calls != calls || methods["Echo.Unknown"].Calls != 1 || len(methods) != 2 {
		t.Errorf("counted %+v", methods)
	}
	var sent, received uint64
	for _, stats := range methods {
		sent, received = sent+stats.Sent, received+stats.Received
	}
	if sent != p.Stats.Sent.Load() || received != p.Stats.Received.Load() {
		t.Errorf("methods sent %d and received %d bytes, the connections %d and %d", sent, received, p.Stats.Sent.Load(), p.Stats.Received.Load())
	}
}

// SlowReply is a reply whose decoding the test can pause.
type SlowReply struct{ Value int }

var decoding, decode, decoded = make(chan struct{}), make(chan struct{}), make(chan struct{})

// GobEncode implements gob.GobEncoder.
func (r SlowReply) GobEncode() ([]byte, error) { return []byte{byte(r.Value)}, nil }

// GobDecode implements gob.GobDecoder.
func (r *SlowReply) GobDecode(b []byte) error {
	close(decoding)
	<-decode
	r.Value = int(b[0])
	close(decoded)
	return nil
}

// Slow answers at once with a value that is slow to decode.
func (e *echo) Slow(in int, out *SlowReply) error { out.Value = in; return nil }

// TestLateAnswer checks that an answer that is still being decoded when the caller's context ends
// does not change the caller's value.
func TestLateAnswer(t *testing.T) {
	defer goleak.VerifyNone(t)
	s, address := serve(t, &echo{})
	defer s.Close()
	p := rpc.NewPool()
	defer p.Close()
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-decoding
		cancel()
	}()
	out := SlowReply{Value: 1}
	if err := p.Call(ctx, address, "Echo.Slow", 7, &out); !errors.Is(err, context.Canceled) {
		t.Errorf("call: %v", err)
	}
	close(decode)
	<-decoded
	if out.Value != 1 {
		t.Errorf("the late answer set the caller's value to %d", out.Value)
	}
}

// TestSlowCall checks that a call that times out does not affect others on its connection.
func TestSlowCall(t *testing.T) {
	defer goleak.VerifyNone(t)
	e := &echo{gate: make(chan struct{})}
	s, address := serve(t, e)
	p := rpc.NewPool()
	long := make(chan error, 1)
	go func() {
		var out int
		long <- p.Call(t.Context(), address, "Echo.Late", 1, &out)
	}()
	// short makes a call that times out while the long one is in flight. It does not matter whether
	// the first of them is sent before the long one.
	short := func() {
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Millisecond)
		defer cancel()
		var out int
		if err := p.Call(ctx, address, "Echo.Late", 2, &out); !errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("a short call: %v", err)
		}
		if err := p.Call(t.Context(), address, "Echo.Now", 3, &out); err != nil || out != 3 {
			t.Errorf("a concurrent call: %d, %v", out, err)
		}
	}
	for p.Stats.Calls.Load() == 0 {
		runtime.Gosched()
	}
	for range 3 {
		short()
	}
	close(e.gate)
	if err := <-long; err != nil {
		t.Errorf("the long call was cut off: %v", err)
	}
	s.Close()
	p.Close()
}

// TestSweep checks that idle connections are closed, and that the next call opens a new one.
func TestSweep(t *testing.T) {
	defer goleak.VerifyNone(t)
	s, address := serve(t, &echo{})
	p := rpc.NewPool()
	for _, idle := range []time.Duration{time.Hour, -time.Hour} {
		var out int
		if err := p.Call(t.Context(), address, "Echo.Now", 2, &out); err != nil || out != 2 {
			t.Errorf("call: %d, %v", out, err)
		}
		p.Sweep(time.Now(), idle)
		if kept := p.Len(); (kept == 1) != (idle > 0) {
			t.Errorf("%d connections left after a sweep of those idle for %s", kept, idle)
		}
	}
	p.Close()
	s.Close()
}
