// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package prompt

import (
	"fmt"
	"slices"
	"strings"
	"testing"
)

// TestSharedParts checks which parts of a prompt are shared. It guards against a part of one
// request, or against a malformed list, that is taken for a shared part.
func TestSharedParts(t *testing.T) {
	long := strings.Repeat("a", 1000)
	cases := map[string]struct {
		ids  []string
		want []Part
	}{
		"none":                        {nil, nil},
		"one belongs to the request":  {[]string{"a"}, nil},
		"all but the last":            {[]string{"a", "b", "c"}, []Part{"a", "b"}},
		"the last is also an earlier": {[]string{"a", "b", "a"}, []Part{"a", "b"}},
		"repeated":                    {[]string{"a", "a", "b", "c"}, []Part{"a", "b"}},
		"empty":                       {[]string{"", " ", "b", ""}, []Part{"b"}},
		"case and blanks":             {[]string{" 5C1E07A2 ", "5c1e07a2", "x"}, []Part{"5c1e07a2"}},
		"long":                        {[]string{long, long + "b", "x"}, []Part{newPart(long), newPart(long + "b")}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			if got := SharedParts(c.ids); !slices.Equal(got, c.want) {
				t.Errorf("%q, want %q", got, c.want)
			}
		})
	}
	var many []string
	for i := range 10 * MaxParts {
		many = append(many, fmt.Sprint(i))
	}
	if got := SharedParts(many); len(got) != MaxParts || got[0] != "0" {
		t.Errorf("%d parts from %q on, want %d", len(got), got[0], MaxParts)
	}
	if p := newPart(long); len(p) > MaxPartLength || p == newPart(long+"b") {
		t.Errorf("a long id becomes %q", p)
	}
}

func ExampleSharedParts() {
	parts := SharedParts([]string{"5c1e07a2", "91bd3f06", "e4402b7d"})
	fmt.Println(Join(parts))
	// Output: 5c1e07a2,91bd3f06
}
