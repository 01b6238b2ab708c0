// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package httpxtest helps tests that read and write raw HTTP.
package httpxtest

import (
	"net"
	"testing"

	"fawnwinch.org/fawnwinch/modules/httpx"
)

// Serve handles each connection with f until the test ends, and returns the address to connect to.
func Serve(t *testing.T, f func(c net.Conn)) string {
	t.Helper()
	l, err := httpx.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go f(c)
		}
	}()
	return l.Addr().String()
}
