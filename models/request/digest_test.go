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

// TestDigest checks that moving text across the boundaries between texts and body changes the
// digest.
func TestDigest(t *testing.T) {
	base := request.NewDigest([]byte("c"), "a", "b")
	for name, other := range map[string]request.Digest{
		"another body":              request.NewDigest([]byte("d"), "a", "b"),
		"texts joined into one":     request.NewDigest([]byte("c"), "ab"),
		"a text that is missing":    request.NewDigest([]byte("c"), "a"),
		"a text joined to the body": request.NewDigest([]byte("bc"), "a"),
	} {
		if other == base {
			t.Errorf("%s: the same digest", name)
		}
	}
}
