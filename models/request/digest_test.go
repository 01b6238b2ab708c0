// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package request_test

import (
	"fmt"
	"testing"

	"fawnwinch.org/fawnwinch/models/request"
)

func ExampleNewDigest() {
	first := request.NewDigest([]byte("why?"), "POST", "/rulings/")
	again := request.NewDigest([]byte("why?"), "POST", "/rulings/")
	fmt.Println(first == again, first)
	// Output: true 7b011568a3e48457
}

// TestDigest checks that texts and body do not run into each other.
func TestDigest(t *testing.T) {
	base := request.NewDigest([]byte("c"), "a", "b")
	for name, other := range map[string]request.Digest{
		"another body":             request.NewDigest([]byte("d"), "a", "b"),
		"texts that run together":  request.NewDigest([]byte("c"), "ab"),
		"a text that is missing":   request.NewDigest([]byte("c"), "a"),
		"a body that takes a text": request.NewDigest([]byte("bc"), "a"),
	} {
		if other == base {
			t.Errorf("%s: the same digest", name)
		}
	}
}
