// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package once

import (
	"context"
	"sync"
	"time"

	"fawnwinch.org/fawnwinch/models/request"
	"fawnwinch.org/fawnwinch/modules/clock"
	"fawnwinch.org/fawnwinch/modules/timeline"
	"fawnwinch.org/fawnwinch/services"

	"github.com/rs/zerolog"
)

const (
	// pollWait is how long one read of the journal waits for new records.
	pollWait = time.Second
	// callTimeout bounds one call to the log, in addition to its wait.
	callTimeout = 3 * time.Second
	// minRetryDelay and maxRetryDelay bound the pause after a failed call.
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = time.Second
	// runTimeout bounds the time an upstream has for a request that must not be repeated.
	runTimeout = 60 * time.Second
)

// Directory lists the processes that the agent knows of.
type Directory interface {
	// Members returns the agents of the service, including this one, and whether the list is
	// complete enough to act on.
	Members(now time.Time) ([]Member, bool)
}

// Peers sends requests to other processes.
type Peers interface {
	// Handover asks the owner of a slice for its table.
	Handover(ctx context.Context, owner Owner, s request.KeySlice) (Table, error)
	// CollectUnjournaledKeys asks every router for the keys it sent without the log. complete is false
	// if a router that may have sent some could not be asked.
	CollectUnjournaledKeys(ctx context.Context, s request.KeySlice, epoch Epoch) (keys []KeyID, complete bool)
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

	mu        sync.Mutex
	core      *Core
	waiters   map[Token]chan Action
	lastToken Token
	wake      chan struct{}
	running   sync.WaitGroup
}

// Options holds the dependencies and settings of a Service.
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
	w.Go(func() { s.ownershipLoop(ctx) })
	w.Wait()
	s.running.Wait()
}

// Owned returns the slices this process owns.
func (s *Service) Owned() map[request.KeySlice]Epoch {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.Owned()
}

// Do returns the answer of an attempt. The function run sends the request to the upstream. It is
// called at most once for a key, and continues after ctx ends so that its answer is kept.
func (s *Service) Do(ctx context.Context, a Attempt, run func(context.Context) Answer) Answer {
	s.mu.Lock()
	s.lastToken++
	a.Token = s.lastToken
	ch := make(chan Action, 2)
	s.waiters[a.Token] = ch
	d := s.core.Submit(clock.Now(), a)
	s.dispatch()
	s.mu.Unlock()
	defer s.removeWaiter(a.Token)
	switch d.Kind {
	case DecisionAnswer:
		return d.Answer
	case DecisionRun:
		return s.start(ctx, a, run)
	case DecisionWait:
		s.wakeWriter()
	}
	return s.wait(ctx, a, ch, run)
}

func (s *Service) wait(ctx context.Context, a Attempt, ch chan Action, run func(context.Context) Answer) Answer {
	timer := time.NewTimer(clock.Until(a.Deadline))
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

// start runs an attempt and waits for it until the caller's deadline.
func (s *Service) start(ctx context.Context, a Attempt, run func(context.Context) Answer) Answer {
	s.mu.Lock()
	ok := s.core.Begin(clock.Now(), a)
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
		s.core.Finish(clock.Now(), a.Key, answer)
		s.dispatch()
		s.mu.Unlock()
		result <- answer
	})
	timer := time.NewTimer(clock.Until(a.Deadline))
	defer timer.Stop()
	select {
	case answer := <-result:
		return answer
	case <-timer.C:
	case <-ctx.Done():
	}
	return unknown(ReasonRunning).Answer
}

func (s *Service) removeWaiter(t Token) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.waiters, t)
}

// dispatch sends the core's actions to the waiting attempts. The caller must hold the lock.
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

// wakeWriter wakes the write loop.
func (s *Service) wakeWriter() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}
