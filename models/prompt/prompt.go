// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package prompt describes the prompts of requests to model services.
package prompt

import (
	"fmt"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Part is the id of a part of a prompt that several requests may share, such as instructions or a
// document. Requests with the same part have the same id for it.
type Part string

const (
	// MaxParts bounds the parts of one prompt that are known. Later ones are treated as belonging
	// to the request alone.
	MaxParts = 32
	// MaxPartLength bounds an id, in bytes. A longer one is replaced by its hash.
	MaxPartLength = 32
)

// SharedParts returns the parts of a prompt that other requests may share, given the ids of all its
// parts in order. The last part belongs to the request itself or to its session. Ids are compared
// without regard to case and surrounding blanks; empty and repeated ones are left out.
func SharedParts(ids []string) []Part {
	if len(ids) == 0 {
		return nil
	}
	var out []Part
	for _, id := range ids[:len(ids)-1] {
		p := newPart(id)
		if p != "" && !slices.Contains(out, p) && len(out) < MaxParts {
			out = append(out, p)
		}
	}
	return out
}

func newPart(id string) Part {
	id = strings.ToLower(strings.TrimSpace(id))
	if len(id) > MaxPartLength {
		id = fmt.Sprintf("~%016x", xxhash.Sum64String(id))
	}
	return Part(id)
}

// Join returns parts as they are written in logs.
func Join(parts []Part) string {
	var out []string
	for _, p := range parts {
		out = append(out, string(p))
	}
	return strings.Join(out, ",")
}
