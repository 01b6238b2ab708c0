// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package once

import (
	"context"
	"fmt"
	"time"

	"fawnwinch.org/fawnwinch/models/request"
	"fawnwinch.org/fawnwinch/modules/clock"
	"fawnwinch.org/fawnwinch/modules/timeline"
)

// ownershipInterval is the time between two checks of slice ownership.
const ownershipInterval = 300 * time.Millisecond

func (s *Service) ownershipLoop(ctx context.Context) {
	ticker := time.NewTicker(ownershipInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.updateOwnership(ctx, clock.Now())
		}
	}
}

func (s *Service) updateOwnership(ctx context.Context, now time.Time) {
	members, complete := s.directory.Members(now)
	s.mu.Lock()
	s.core.Expire(now)
	s.core.Tick(now)
	s.dispatch()
	ready := s.core.CaughtUp()
	moves := Decide(now, s.self, s.core.View(), members, s.retention)
	s.mu.Unlock()
	if !complete || !ready {
		return
	}
	take := moves.Take
	for owner, list := range moves.Ask {
		take = append(take, s.requestTables(ctx, owner, list)...)
	}
	if len(take) > 0 {
		s.take(ctx, take)
	}
	for _, v := range moves.Settle {
		s.settle(ctx, v)
	}
}

// requestTables requests the tables of slices from their owner and returns the slices that it
// handed over.
func (s *Service) requestTables(ctx context.Context, owner Owner, list []request.KeySlice) []request.KeySlice {
	var got []request.KeySlice
	for _, sl := range list {
		t, err := s.peers.Handover(ctx, owner, sl)
		if err != nil {
			s.logger.Debug().Err(err).Int("slice", int(sl)).Msg("handover refused")
			continue
		}
		if t.Lost {
			s.ring.Add(clock.Now(), timeline.Event{Kind: timeline.KindOwnership, Name: "owner-lost-sight", Detail: fmt.Sprintf("slice=%d owner=%s", sl, owner.Upstream)})
		}
		s.mu.Lock()
		s.core.Receive(t)
		s.mu.Unlock()
		got = append(got, sl)
	}
	return got
}

func (s *Service) take(ctx context.Context, list []request.KeySlice) {
	s.mu.Lock()
	rec := s.core.TakeRecord(list)
	s.mu.Unlock()
	err := s.append(ctx, rec)
	s.ring.Add(clock.Now(), timeline.Event{Kind: timeline.KindOwnership, Name: "take", Detail: fmt.Sprintf("slices=%v error=%v", list, err)})
}

func (s *Service) settle(ctx context.Context, v SliceView) {
	keys, complete := s.peers.CollectUnjournaledKeys(ctx, v.Slice, v.Epoch)
	if !complete {
		s.ring.Add(clock.Now(), timeline.Event{Kind: timeline.KindOwnership, Name: "unsettled", Detail: fmt.Sprintf("slice=%d", v.Slice)})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.core.Settle(clock.Now(), v.Slice, v.Epoch, keys) {
		s.ring.Add(clock.Now(), timeline.Event{Kind: timeline.KindOwnership, Name: "settled", Detail: fmt.Sprintf("slice=%d epoch=%d keys=%d", v.Slice, v.Epoch, len(keys))})
	}
}

// Handover hands a slice over to the agent that asks for it.
func (s *Service) Handover(now time.Time, sl request.KeySlice) (Table, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t, err := s.core.Handover(now, sl)
	if err != nil {
		return Table{}, fmt.Errorf("hand over slice %d: %w", sl, err)
	}
	return t, nil
}
