// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package balance

import (
	"math"
	"testing"

	"fawnwinch.org/fawnwinch/models/catalog"
)

// TestNewSize guards against declared sizes that are used although they are missing, huge or
// contradict each other.
func TestNewSize(t *testing.T) {
	sized := &catalog.Engine{UsualPrompt: 868, UsualAnswer: 139}
	cases := map[string]struct {
		engine   *catalog.Engine
		declared DeclaredSize
		want     Size
	}{
		"both declared":                {sized, DeclaredSize{Prompt: 1460, Answer: 33, MaxAnswer: 80}, Size{1460, 33, true, true}},
		"nothing declared":             {sized, DeclaredSize{}, Size{868, 139, false, false}},
		"negative":                     {sized, DeclaredSize{Prompt: -5, Answer: -1, MaxAnswer: -9}, Size{868, 139, false, false}},
		"one token":                    {sized, DeclaredSize{Prompt: 1, Answer: 1}, Size{1, 1, true, true}},
		"prompt only":                  {sized, DeclaredSize{Prompt: 200}, Size{200, 139, true, false}},
		"as large as is believed":      {sized, DeclaredSize{Prompt: 64 * 868, Answer: 64 * 139}, Size{64 * 868, 64 * 139, true, true}},
		"larger":                       {sized, DeclaredSize{Prompt: 64*868 + 1, Answer: math.MaxInt}, Size{64 * 868, 64 * 139, true, true}},
		"hint above the maximum":       {sized, DeclaredSize{Answer: 500, MaxAnswer: 80}, Size{868, 80, false, true}},
		"maximum above the usual size": {sized, DeclaredSize{MaxAnswer: 4096}, Size{868, 139, false, false}},
		"maximum below the usual size": {sized, DeclaredSize{MaxAnswer: 20}, Size{868, 20, false, false}},
		"engine without usual sizes":   {&catalog.Engine{}, DeclaredSize{Prompt: 100, Answer: 100}, Size{}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			if got := NewSize(c.engine, c.declared); got != c.want {
				t.Errorf("size %+v, want %+v", got, c.want)
			}
		})
	}
}
