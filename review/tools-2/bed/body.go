//go:build review

// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package main

import (
	"bytes"
	"io"
)

// newBody returns the body of a request.
func newBody(raw []byte) io.ReadCloser { return io.NopCloser(bytes.NewReader(raw)) }
