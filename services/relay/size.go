// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package relay

import (
	"fawnwinch.org/fawnwinch/models/catalog"
	"fawnwinch.org/fawnwinch/models/service"
	"fawnwinch.org/fawnwinch/services"
	"fawnwinch.org/fawnwinch/services/balance"
)

// sizeOf returns the size of a request to a service; the zero value if the service is not ranked.
func sizeOf(index *catalog.Index, id service.ID, m *services.CallerMeta) balance.Size {
	s := index.Service(id)
	if s == nil || s.Engine == nil || !index.Levels(id).Ranked() {
		return balance.Size{}
	}
	return balance.NewSize(s.Engine, balance.DeclaredSize{Prompt: m.PromptTokens, Answer: m.AnswerTokens, MaxAnswer: m.MaxAnswerTokens})
}
