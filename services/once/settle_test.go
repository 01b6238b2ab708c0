// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package once

import (
	"testing"
	"time"

	"fawnwinch.org/fawnwinch/models/request"
)

// TestSettleIdleKey checks that a key that the next owner has run without the journal does not run
// again at an owner that takes its slice back and still has an idle entry for the key.
func TestSettleIdleKey(t *testing.T) {
	now := time.Unix(1000, 0)
	cfg := Config{Lifetime: time.Hour, Capacity: 100, AnswerBytes: 1000, OutageAfter: 5 * time.Second}
	first, second := NewCore(cfg, testOwner("a")), NewCore(cfg, testOwner("b"))
	journal := &trimmedLog{}
	read := func() {
		journal.read(first, now)
		journal.read(second, now)
	}
	add := func(r *Record) {
		t.Helper()
		journal.append(t, now, r)
		read()
	}
	attempt := func(token Token, epoch Epoch) Attempt {
		return Attempt{Token: token, Request: "r", Key: "k", Epoch: epoch, Deadline: now.Add(time.Minute), RouterLogAge: time.Minute}
	}
	read()

	// The first owner claims the key, but its caller disconnects before the key runs.
	add(first.TakeRecord([]request.KeySlice{0}))
	withdrawn := attempt(1, first.Owned()[0])
	first.Submit(now, withdrawn)
	claim := first.Batch()
	first.Withdraw(withdrawn.Key, withdrawn.Token)
	add(claim)

	// It hands the slice over, and the second owner runs the key without the journal in an outage.
	table, err := first.Handover(now, 0)
	if err != nil {
		t.Fatal(err)
	}
	second.Receive(table)
	add(second.TakeRecord([]request.KeySlice{0}))
	now = now.Add(2 * cfg.OutageAfter)
	unjournaled := attempt(2, second.Owned()[0])
	if d := second.Submit(now, unjournaled); d.Kind != DecisionRun || !second.Begin(now, unjournaled) {
		t.Fatalf("second owner does not run the key in an outage: decision %s, reason %s", d.Kind, d.Answer.Reason)
	}
	second.Finish(now, "k", Answer{Outcome: request.OutcomeAnswered})

	// The second owner ends; the first takes the slice back and learns of the key from the routers.
	add(first.TakeRecord([]request.KeySlice{0}))
	epoch := first.Owned()[0]
	if !first.Settle(now, 0, epoch, []KeyID{"k"}) {
		t.Fatalf("first owner does not own the slice in epoch %d", epoch)
	}
	again := attempt(3, epoch)
	if d := first.Submit(now, again); d.Kind == DecisionRun && first.Begin(now, again) {
		t.Error("key k runs at both owners")
	}
}
