// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package once

import (
	"context"
	"fmt"
	"time"

	"fawnwinch.org/fawnwinch/modules/clock"
	"fawnwinch.org/fawnwinch/modules/sleep"

	"github.com/cenkalti/backoff/v5"
)

func newBackoff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval, b.MaxInterval = minRetryDelay, maxRetryDelay
	return b
}

func (s *Service) readLoop(ctx context.Context) {
	b := newBackoff()
	for ctx.Err() == nil {
		if err := s.readPage(ctx); err != nil {
			s.logger.Debug().Err(err).Msg("journal read failed")
			sleep.For(ctx, b.NextBackOff())
			continue
		}
		b.Reset()
	}
}

// readPage reads the next page of the journal and applies it. It does not wait for new records
// before the core has caught up.
func (s *Service) readPage(ctx context.Context) error {
	s.mu.Lock()
	next, caught := s.core.Next(), s.core.CaughtUp()
	s.mu.Unlock()
	poll := pollWait
	if !caught {
		poll = 0
	}
	rctx, cancel := context.WithTimeout(ctx, poll+callTimeout)
	defer cancel()
	p, err := s.log.Read(rctx, s.stream, next, poll)
	if err != nil {
		return fmt.Errorf("read journal: %w", err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.core.Apply(clock.Now(), p)
	s.dispatch()
	return nil
}

// writeLoop appends the queued claims to the journal. After each append it pauses for the batch
// interval, so that the next record holds several claims.
func (s *Service) writeLoop(ctx context.Context) {
	b := newBackoff()
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.wake:
		case <-time.After(maxRetryDelay):
		}
		if err := s.appendBatch(ctx); err != nil {
			s.logger.Debug().Err(err).Msg("journal append failed")
			sleep.For(ctx, b.NextBackOff())
			s.wakeWriter()
			continue
		}
		b.Reset()
		sleep.For(ctx, s.batch)
	}
}

// appendBatch appends one record of queued claims to the journal. After an error the record may or
// may not have been added, so its claims are queued again; a duplicate claim has no effect.
func (s *Service) appendBatch(ctx context.Context) error {
	s.mu.Lock()
	rec := s.core.Batch()
	s.mu.Unlock()
	if rec == nil {
		return nil
	}
	err := s.append(ctx, rec)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.core.Requeue(rec)
		return err
	}
	s.core.Contact(clock.Now())
	return nil
}

func (s *Service) append(ctx context.Context, rec *Record) error {
	raw, err := rec.Encode()
	if err != nil {
		return err
	}
	actx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if _, err := s.log.Append(actx, s.stream, raw); err != nil {
		return fmt.Errorf("append %s to journal: %w", rec.Kind, err)
	}
	return nil
}
