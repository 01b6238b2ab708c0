// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package configlog

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"fawnwinch.org/fawnwinch/models/intent"
	"fawnwinch.org/fawnwinch/modules/clock"
	"fawnwinch.org/fawnwinch/modules/timeline"
	"fawnwinch.org/fawnwinch/services"

	"github.com/cenkalti/backoff/v5"
	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
)

// Stream is the stream that holds the configuration.
const Stream services.Stream = "config"

const (
	// pollWait is the long-poll wait of one read.
	pollWait = 500 * time.Millisecond
	// readTimeout bounds one read, including pollWait.
	readTimeout = 3 * time.Second
	// appendTimeout bounds one append.
	appendTimeout = 3 * time.Second
	// retryMin and retryMax bound the back-off after a failed read.
	retryMin = 50 * time.Millisecond
	retryMax = 2 * time.Second
)

// Follower keeps a Core up to date with the log and answers questions about it.
// It is safe for use by several goroutines.
type Follower struct {
	log    services.Log
	ring   *timeline.Ring
	logger zerolog.Logger

	mu      sync.Mutex
	core    *Core
	changed chan struct{}
	// lastContact is the time of the latest successful read.
	lastContact time.Time
	// adoptedPeers holds the peers whose state was adopted since the start.
	adoptedPeers map[string]bool
}

// NewFollower returns a follower of the configuration stream.
func NewFollower(l services.Log, ring *timeline.Ring, logger zerolog.Logger) *Follower {
	return &Follower{log: l, ring: ring, logger: logger, core: NewCore(), changed: make(chan struct{}), adoptedPeers: map[string]bool{}}
}

// Run reads the log until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval, pause.MaxInterval = retryMin, retryMax
	for ctx.Err() == nil {
		if err := f.readOnce(ctx); err != nil {
			f.logger.Debug().Err(err).Msg("configuration log read failed")
			sleep(ctx, pause.NextBackOff())
			continue
		}
		pause.Reset()
	}
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

func (f *Follower) readOnce(ctx context.Context) error {
	f.mu.Lock()
	next, poll := f.core.Next(), pollWait
	if !f.core.started {
		poll = 0
	}
	f.mu.Unlock()
	rctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	page, err := f.log.Read(rctx, Stream, next, poll)
	if err != nil {
		return fmt.Errorf("read configuration stream: %w", err)
	}
	f.apply(clock.Now(), page)
	return nil
}

func (f *Follower) apply(now time.Time, p services.Page) {
	f.mu.Lock()
	events := f.core.Apply(now, p)
	f.lastContact = now
	f.notifyChanged()
	f.mu.Unlock()
	for _, n := range events {
		detail := fmt.Sprintf("offset=%d revision=%d id=%s %s", n.Offset, n.Revision, n.ID, n.Detail)
		f.ring.Add(now, timeline.Event{Kind: timeline.KindConfig, Name: string(n.Kind), Detail: detail})
		f.logger.Info().Str("note", string(n.Kind)).Uint64("offset", uint64(n.Offset)).Uint64("revision", uint64(n.Revision)).Str("detail", n.Detail).Msg("configuration")
	}
}

// notifyChanged wakes all goroutines that wait for a change. The caller holds the lock.
func (f *Follower) notifyChanged() {
	close(f.changed)
	f.changed = make(chan struct{})
}

// State returns the configuration in force.
func (f *Follower) State() intent.State {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.core.State()
}

// Peer returns the state to send to another process.
func (f *Follower) Peer() PeerState {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.core.Peer()
}

// LastContact returns the time of the latest successful read, or the zero time.
func (f *Follower) LastContact() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lastContact
}

// Changed returns a channel that is closed at the next change.
func (f *Follower) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

// Adopt merges the state of the peer at an address.
func (f *Follower) Adopt(now time.Time, from string, p PeerState) {
	f.mu.Lock()
	raised := f.core.Adopt(now, p)
	f.adoptedPeers[from] = true
	rev := f.core.State().Revision
	f.notifyChanged()
	f.mu.Unlock()
	if raised {
		f.ring.Add(now, timeline.Event{Kind: timeline.KindConfig, Name: "adopted", Detail: fmt.Sprintf("revision=%d", rev)})
	}
}

// Ready reports whether the configuration in force may be used: the log was read up to its tail at
// the first read, or the states of peersWanted peers were adopted while the log is unreachable.
func (f *Follower) Ready(peersWanted int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.core.CaughtUp() || (len(f.adoptedPeers) >= peersWanted && peersWanted > 0 && f.core.State().Revision > 0)
}

// ErrConflict reports a confirmation whose base is not the configuration in force.
type ErrConflict struct {
	Have, Want intent.Revision
	Changes    []intent.Change
}

func (e ErrConflict) Error() string {
	return fmt.Sprintf("plan was made against revision %d, revision %d is in force: make a new plan", e.Want, e.Have)
}

// ErrNotAnchored reports that this process cannot judge confirmations at present.
var ErrNotAnchored = eris.New("the log is not read to its end: confirmations cannot be judged here now")

// ErrOutcomeUnknown reports that a confirmation may or may not be accepted later.
type ErrOutcomeUnknown struct {
	ID    intent.ConfirmID
	Cause error
}

func (e ErrOutcomeUnknown) Error() string {
	return fmt.Sprintf("outcome of confirmation %s is unknown, ask for it again: %v", e.ID, e.Cause)
}

// Unwrap returns the cause.
func (e ErrOutcomeUnknown) Unwrap() error { return e.Cause }

// Confirm appends a confirmation and waits until its record has been read back. It returns
// ErrConflict if the plan is out of date, and ErrOutcomeUnknown if ctx ends before the record is
// read.
func (f *Follower) Confirm(ctx context.Context, id intent.ConfirmID, p intent.Plan) (Outcome, error) {
	rec, known, err := f.prepareRecord(id, p)
	if err != nil || known != nil {
		return outcomeOrZero(known), err
	}
	raw, err := rec.Encode()
	if err != nil {
		return Outcome{}, err
	}
	actx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	_, appendErr := f.log.Append(actx, Stream, raw)
	var unsent services.ErrNotSent
	if errors.As(appendErr, &unsent) {
		return Outcome{}, fmt.Errorf("confirmation %s was not appended: %w", id, appendErr)
	}
	return f.awaitOutcome(ctx, id, appendErr)
}

func outcomeOrZero(o *Outcome) Outcome {
	if o == nil {
		return Outcome{}
	}
	return *o
}

func (f *Follower) prepareRecord(id intent.ConfirmID, p intent.Plan) (*intent.Record, *Outcome, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if o := f.core.Outcome(id); o.Verdict != VerdictUnknown {
		if o.Digest != p.Intent.Digest() {
			return nil, nil, intent.ErrInvalid{Field: "id", Value: string(id), Reason: "was used for another intent"}
		}
		return nil, &o, nil
	}
	judged, exact := f.core.Judged()
	if !exact {
		return nil, nil, fmt.Errorf("confirmation %s: %w", id, ErrNotAnchored)
	}
	now := intent.NewPlan(judged, p.Intent)
	if now.Base != p.Base || now.Change != p.Change {
		return nil, nil, ErrConflict{Have: now.Base, Want: p.Base, Changes: now.Changes}
	}
	return &intent.Record{
		Version: intent.RecordVersion, Kind: intent.RecordConfirm, ID: id,
		Revision: p.Base + 1, BaseDigest: judged.Digest, Intent: p.Intent,
	}, nil, nil
}

func (f *Follower) awaitOutcome(ctx context.Context, id intent.ConfirmID, cause error) (Outcome, error) {
	for {
		f.mu.Lock()
		o, changed := f.core.Outcome(id), f.changed
		f.mu.Unlock()
		if o.Verdict != VerdictUnknown {
			return o, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return Outcome{Verdict: VerdictUnknown}, ErrOutcomeUnknown{ID: id, Cause: errors.Join(cause, ctx.Err())}
		}
	}
}

// Outcome returns the outcome of a confirmation.
func (f *Follower) Outcome(id intent.ConfirmID) Outcome {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.core.Outcome(id)
}

// AppendDueCheckpoint appends a checkpoint to the log when one is due, before the records that hold
// the configuration expire. The routerIndex is its index among the live routers; othersAnchored
// reports whether any other router has an exact state.
func (f *Follower) AppendDueCheckpoint(ctx context.Context, now time.Time, retention time.Duration, routerIndex int, othersAnchored bool) error {
	f.mu.Lock()
	var rec *intent.Record
	if f.core.CheckpointDue(now, retention, routerIndex) {
		rec = f.core.Checkpoint()
	} else if r, ok := f.core.RecoveryCheckpoint(); ok && !othersAnchored && routerIndex == 0 {
		rec = r
	}
	f.mu.Unlock()
	if rec == nil {
		return nil
	}
	raw, err := rec.Encode()
	if err != nil {
		return err
	}
	actx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	if _, err := f.log.Append(actx, Stream, raw); err != nil {
		return fmt.Errorf("append checkpoint of revision %d: %w", rec.Revision, err)
	}
	return nil
}
