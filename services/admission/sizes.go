// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package admission

import "fawnwinch.org/fawnwinch/services/balance"

// waitingSizes sums the declared sizes of waiting requests.
type waitingSizes struct {
	// prompts and answers count the requests whose callers have declared the size, and answerTokens
	// sums the sizes of these answers.
	prompts, answers, answerTokens int
}

func (s *waitingSizes) add(size balance.Size) {
	if size.PromptDeclared {
		s.prompts++
	}
	if size.AnswerDeclared {
		s.answers, s.answerTokens = s.answers+1, s.answerTokens+size.Answer
	}
}

func (s *waitingSizes) remove(size balance.Size) {
	if size.PromptDeclared {
		s.prompts--
	}
	if size.AnswerDeclared {
		s.answers, s.answerTokens = s.answers-1, s.answerTokens-size.Answer
	}
}

// meanAnswer returns the mean size of the answers of all waiting requests; those that are not
// declared have the usual size.
func (s *waitingSizes) meanAnswer(usual float64, waiting int) float64 {
	if s.answers == 0 {
		return usual
	}
	undeclared := max(waiting-s.answers, 0)
	return (float64(s.answerTokens) + usual*float64(undeclared)) / float64(s.answers+undeclared)
}

// WaitsBySize reports whether a waiting request has a declared prompt: it may find room as soon as
// an upstream has read another one.
func (q *Queue) WaitsBySize() bool { return q.sizes.prompts > 0 }
