// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package agent

import (
	"fawnwinch.org/fawnwinch/models/request"
	"fawnwinch.org/fawnwinch/modules/clock"
	"fawnwinch.org/fawnwinch/modules/timeline"
	"fawnwinch.org/fawnwinch/services/once"

	"github.com/rotisserie/eris"
)

// API is the rpc interface of an agent.
type API struct{ a *Agent }

// HandoverArgs requests the table of a slice.
type HandoverArgs struct {
	// Owner is the owner of the slice as far as the caller knows.
	Owner once.Owner
	Slice request.KeySlice
}

var errOtherIncarnation = eris.New("agent runs as another incarnation")

// Handover freezes a slice and returns its table.
func (p *API) Handover(args HandoverArgs, t *once.Table) error {
	if p.a.once == nil || args.Owner != p.a.self || args.Slice < 0 || args.Slice >= once.Slices {
		return errOtherIncarnation
	}
	table, err := p.a.once.Handover(clock.Now(), args.Slice)
	if err != nil {
		return err
	}
	*t = table
	return nil
}

// Timeline returns the events of this process.
func (p *API) Timeline(f timeline.Filter, out *[]timeline.Event) error {
	*out = p.a.ring.Events(f)
	return nil
}
