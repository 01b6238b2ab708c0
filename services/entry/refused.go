// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package entry

import (
	"context"
	"fmt"

	"fawnwinch.org/fawnwinch/modules/clock"
	"fawnwinch.org/fawnwinch/services/quarantine"
)

// maxEntriesPerWrite bounds the entries that are written with one call.
const maxEntriesPerWrite = 64

// storeRefused stores the refused requests while this router registers the others. Otherwise a loss
// of all routers would lose them, and each would crash as many upstreams again.
func (r *Router) storeRefused(ctx context.Context, known *registry) error {
	if known.refused == nil || r.era() > known.refusedEra {
		if err := r.readRefused(ctx, known); err != nil {
			return err
		}
	}
	put, drop := r.refusedChanges(known)
	if len(put)+len(drop) == 0 {
		return nil
	}
	if err := r.opts.Store.PutQuarantined(ctx, put, drop); err != nil {
		return fmt.Errorf("store refused requests: %w", err)
	}
	for _, e := range put {
		known.refused[e.Name()] = len(e.Crashes)
	}
	for _, name := range drop {
		delete(known.refused, name)
	}
	r.opts.Logger.Info().Int("kept", len(put)).Int("dropped", len(drop)).Msg("refused-requests-kept")
	return nil
}

// refusedChanges returns the entries to be stored, and the names of those that are no longer
// refused because they expired or were cleared.
func (r *Router) refusedChanges(known *registry) (put []quarantine.Entry, drop []string) {
	now := clock.Now()
	refused := map[string]bool{}
	r.opts.Relay.WithCrashes(func(g *quarantine.Register) {
		for _, e := range g.Refused(now) {
			name := e.Name()
			refused[name] = true
			if known.refused[name] != len(e.Crashes) && len(put) < maxEntriesPerWrite {
				put = append(put, e)
			}
		}
	})
	for name := range known.refused {
		if !refused[name] && len(drop) < maxEntriesPerWrite {
			drop = append(drop, name)
		}
	}
	return put, drop
}

// readRefused reads the requests that the store lists as refused, and refuses them here too. If the
// store was restored from a copy since this process started, its entries may have been cleared
// since; the routers that ran then know which are still refused.
func (r *Router) readRefused(ctx context.Context, known *registry) error {
	entries, end, err := r.opts.Store.Quarantined().Snapshot(ctx)
	if err != nil {
		return fmt.Errorf("read refused requests: %w", err)
	}
	restore := r.firstEra(end.Era) == end.Era
	known.refused, known.refusedEra = map[string]int{}, end.Era
	now := clock.Now()
	r.opts.Relay.WithCrashes(func(g *quarantine.Register) {
		for _, e := range entries {
			known.refused[e.Key] = 0
			if e.Value != nil && restore {
				g.Restore(now, *e.Value)
			}
			if e.Value != nil {
				known.refused[e.Key] = len(e.Value.Crashes)
			}
		}
	})
	if len(known.refused) > 0 {
		r.opts.Logger.Info().Int("read", len(known.refused)).Bool("restored", restore).Uint64("era", uint64(end.Era)).Msg("refused-requests-read")
		r.triggerGossip()
	}
	return nil
}
