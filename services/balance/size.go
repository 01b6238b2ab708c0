// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package balance

import "fawnwinch.org/fawnwinch/models/catalog"

// maxSizeFactor bounds the declared size of a request in multiples of the usual size, so that one
// wrong declaration neither blocks a rank nor decides a forecast.
const maxSizeFactor = 64

// DeclaredSize holds the numbers of tokens that a caller declares; values of 0 and less are missing.
type DeclaredSize struct {
	Prompt int
	// Answer is the caller's estimate of the answer, and MaxAnswer the maximum that it accepts.
	Answer, MaxAnswer int
}

// Size is the size in tokens with which a request counts. The zero value belongs to a request whose
// size decides nothing: its service is not ranked, or the usual sizes of the engine are missing.
type Size struct {
	Prompt, Answer int
	// PromptDeclared and AnswerDeclared report whether the caller has declared the size; otherwise
	// it is the usual one.
	PromptDeclared, AnswerDeclared bool
}

// NewSize returns the size of a request to an engine.
func NewSize(e *catalog.Engine, d DeclaredSize) Size {
	var s Size
	s.Prompt, s.PromptDeclared = sizeOf(d.Prompt, int(e.UsualPrompt))
	s.Answer, s.AnswerDeclared = sizeOf(d.Answer, int(e.UsualAnswer))
	if d.MaxAnswer > 0 {
		// A maximum alone says little about the answer: callers choose it generously.
		s.Answer = min(s.Answer, d.MaxAnswer)
	}
	return s
}

// KnownPrompt returns the declared number of prompt tokens, or 0 if there is none.
func (s Size) KnownPrompt() int {
	if !s.PromptDeclared {
		return 0
	}
	return s.Prompt
}

// sizeOf returns the number of tokens used for a declared number, and whether it was declared.
func sizeOf(declared, usual int) (int, bool) {
	if declared <= 0 || usual <= 0 {
		return max(usual, 0), false
	}
	return min(declared, maxSizeFactor*usual), true
}
