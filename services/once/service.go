// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package once

import (
	"context"
	"fmt"
	"sync"
	"time"

	"fawnwinch.org/fawnwinch/models/request"
	"fawnwinch.org/fawnwinch/modules/timeline"
	"fawnwinch.org/fawnwinch/services"

	"github.com/cenkalti/backoff/v5"
	"github.com/rs/zerolog"
)

const (
	// pollWait is how long one read of the journal waits for new records.
	pollWait = time.Second
	// callTimeout bounds one call of the log beyond its wait.
	callTimeout = 3 * time.Second
	// retryMin and retryMax bound the pause after a failed call.
	retryMin = 50 * time.Millisecond
	retryMax = time.Second
	// runTimeout bounds how long an upstream may work on a request that may not be repeated.
	runTimeout = 60 * time.Second
)

// Directory tells what the agent knows of the processes around it.
type Directory interface {
	// Members returns the agents of the service, this one included, and whether the list is complete enough to act on.
	Members(now time.Time) ([]Member, bool)
}

// Peers asks other processes.
type Peers interface {
	// Handover asks the owner of a slice for its table.
	Handover(ctx context.Context, owner Owner, s request.Slice) (Table, error)
	// Settle asks every router for the keys it sent without the log. Complete is false if one that
	// may have sent some could not be asked.
	Settle(ctx context.Context, s request.Slice, epoch Epoch) (keys []KeyID, complete bool)
}

// Service runs a Core: it reads and writes the journal and moves slices.
// It is safe for use by several goroutines.
type Service struct {
	log       services.Log
	stream    services.Stream
	batch     time.Duration
	retention time.Duration
	self      Owner
	directory Directory
	peers     Peers
	ring      *timeline.Ring
	logger    zerolog.Logger

	mu      sync.Mutex
	core    *Core
	waiters map[Token]chan Action
	last    Token
	wake    chan struct{}
	running sync.WaitGroup
}

// Options holds what a Service needs besides its core.
type Options struct {
	Log       services.Log
	Stream    services.Stream
	Batch     time.Duration
	Retention time.Duration
	Directory Directory
	Peers     Peers
	Ring      *timeline.Ring
	Logger    zerolog.Logger
}

// NewService returns a service around a new core.
func NewService(cfg Config, self Owner, o Options) *Service {
	return &Service{
		log: o.Log, stream: o.Stream, batch: o.Batch, retention: o.Retention, self: self,
		directory: o.Directory, peers: o.Peers, ring: o.Ring, logger: o.Logger,
		core: NewCore(cfg, self), waiters: map[Token]chan Action{}, wake: make(chan struct{}, 1),
	}
}

// Run reads and writes the journal and moves slices until ctx ends.
func (s *Service) Run(ctx context.Context) {
	var w sync.WaitGroup
	w.Go(func() { s.readLoop(ctx) })
	w.Go(func() { s.writeLoop(ctx) })
	w.Go(func() { s.ownLoop(ctx) })
	w.Wait()
	s.running.Wait()
}

// Owned returns the slices this process owns.
func (s *Service) Owned() map[request.Slice]Epoch {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.Owned()
}

// Do carries an attempt to its answer. The function run sends the request to the upstream; it is
// called at most once for a key, and goes on when ctx ends, so that its answer is kept.
func (s *Service) Do(ctx context.Context, a Attempt, run func(context.Context) Answer) Answer {
	s.mu.Lock()
	s.last++
	a.Token = s.last
	ch := make(chan Action, 2)
	s.waiters[a.Token] = ch
	d := s.core.Submit(time.Now(), a)
	s.dispatch()
	s.mu.Unlock()
	defer s.forget(a.Token)
	switch d.Kind {
	case DecisionAnswer:
		return d.Answer
	case DecisionRun:
		return s.start(ctx, a, run)
	case DecisionWait:
		s.nudge()
	}
	return s.wait(ctx, a, ch, run)
}

func (s *Service) wait(ctx context.Context, a Attempt, ch chan Action, run func(context.Context) Answer) Answer {
	timer := time.NewTimer(time.Until(a.Deadline))
	defer timer.Stop()
	select {
	case act := <-ch:
		if act.Kind == ActionResolve {
			return act.Answer
		}
		return s.start(ctx, a, run)
	case <-timer.C:
	case <-ctx.Done():
	}
	return s.withdraw(a)
}

func (s *Service) withdraw(a Attempt) Answer {
	s.mu.Lock()
	defer s.mu.Unlock()
	mayRun := s.core.Withdraw(a.Key, a.Token)
	s.dispatch()
	if mayRun {
		return unknown(ReasonRunning).Answer
	}
	return notRun(ReasonDeadline).Answer
}

// start runs an attempt that was chosen, and waits for it until the caller's time is over.
func (s *Service) start(ctx context.Context, a Attempt, run func(context.Context) Answer) Answer {
	s.mu.Lock()
	ok := s.core.Begin(time.Now(), a)
	s.dispatch()
	s.mu.Unlock()
	if !ok {
		return notRun(ReasonForbidden).Answer
	}
	result := make(chan Answer, 1)
	s.running.Go(func() {
		rctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), runTimeout)
		defer cancel()
		answer := run(rctx)
		s.mu.Lock()
		s.core.Finish(time.Now(), a.Key, answer)
		s.dispatch()
		s.mu.Unlock()
		result <- answer
	})
	timer := time.NewTimer(time.Until(a.Deadline))
	defer timer.Stop()
	select {
	case answer := <-result:
		return answer
	case <-timer.C:
	case <-ctx.Done():
	}
	return unknown(ReasonRunning).Answer
}

func (s *Service) forget(t Token) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.waiters, t)
}

// dispatch hands the core's actions to those who wait. The caller holds the lock.
func (s *Service) dispatch() {
	for _, act := range s.core.Actions() {
		if ch, ok := s.waiters[act.Token]; ok {
			select {
			case ch <- act:
			default:
			}
		}
	}
}

// nudge wakes the writer.
func (s *Service) nudge() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

func newBackoff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval, b.MaxInterval = retryMin, retryMax
	return b
}

func (s *Service) readLoop(ctx context.Context) {
	b := newBackoff()
	for ctx.Err() == nil {
		if err := s.readOnce(ctx); err != nil {
			s.logger.Debug().Err(err).Msg("journal read failed")
			pause(ctx, b.NextBackOff())
			continue
		}
		b.Reset()
	}
}

func (s *Service) readOnce(ctx context.Context) error {
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
	s.core.Apply(time.Now(), p)
	s.dispatch()
	return nil
}

func (s *Service) writeLoop(ctx context.Context) {
	b := newBackoff()
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.wake:
		case <-time.After(retryMax):
		}
		if err := s.writeOnce(ctx); err != nil {
			s.logger.Debug().Err(err).Msg("journal append failed")
			pause(ctx, b.NextBackOff())
			s.nudge()
			continue
		}
		b.Reset()
		pause(ctx, s.batch)
	}
}

func (s *Service) writeOnce(ctx context.Context) error {
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
	s.core.Contact(time.Now())
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

// ownInterval is the time between two looks at who should own what.
const ownInterval = 300 * time.Millisecond

func (s *Service) ownLoop(ctx context.Context) {
	ticker := time.NewTicker(ownInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.own(ctx, time.Now())
		}
	}
}

func (s *Service) own(ctx context.Context, now time.Time) {
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
		take = append(take, s.ask(ctx, owner, list)...)
	}
	if len(take) > 0 {
		s.take(ctx, take)
	}
	for _, v := range moves.Settle {
		s.settle(ctx, v)
	}
}

// ask gets the tables of slices from their owner and returns the slices it gave up.
func (s *Service) ask(ctx context.Context, owner Owner, list []request.Slice) []request.Slice {
	var got []request.Slice
	for _, sl := range list {
		t, err := s.peers.Handover(ctx, owner, sl)
		if err != nil {
			s.logger.Debug().Err(err).Int("slice", int(sl)).Msg("handover refused")
			continue
		}
		s.mu.Lock()
		s.core.Receive(t)
		s.mu.Unlock()
		got = append(got, sl)
	}
	return got
}

func (s *Service) take(ctx context.Context, list []request.Slice) {
	s.mu.Lock()
	rec := s.core.TakeRecord(list)
	s.mu.Unlock()
	err := s.append(ctx, rec)
	s.ring.Add(time.Now(), timeline.Event{Kind: timeline.KindOwnership, Name: "take", Detail: fmt.Sprintf("slices=%v error=%v", list, err)})
}

func (s *Service) settle(ctx context.Context, v SliceView) {
	keys, complete := s.peers.Settle(ctx, v.Slice, v.Epoch)
	if !complete {
		s.ring.Add(time.Now(), timeline.Event{Kind: timeline.KindOwnership, Name: "unsettled", Detail: fmt.Sprintf("slice=%d", v.Slice)})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.core.Settle(time.Now(), v.Slice, v.Epoch, keys) {
		s.ring.Add(time.Now(), timeline.Event{Kind: timeline.KindOwnership, Name: "settled", Detail: fmt.Sprintf("slice=%d epoch=%d keys=%d", v.Slice, v.Epoch, len(keys))})
	}
}

// Handover gives up a slice to the agent that asks for it.
func (s *Service) Handover(now time.Time, sl request.Slice) (Table, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t, err := s.core.Handover(now, sl)
	if err != nil {
		return Table{}, fmt.Errorf("hand over slice %d: %w", sl, err)
	}
	return t, nil
}
