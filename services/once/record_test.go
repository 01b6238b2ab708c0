// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package once

import (
	"testing"
	"time"

	"fawnwinch.org/fawnwinch/models/request"
	"fawnwinch.org/fawnwinch/services"
)

// FuzzDecodeRecord checks that a core does not panic on arbitrary journal records.
func FuzzDecodeRecord(f *testing.F) {
	c := NewCore(Config{Lifetime: time.Hour, Capacity: 10, AnswerBytes: 1000}, Owner{Upstream: "u", Incarnation: "1"})
	raw, err := c.TakeRecord([]request.KeySlice{0, 31}).Encode()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(raw)
	f.Add([]byte(`{"version":1,"kind":"claims","claims":[{"slice":-1}]}`))
	f.Fuzz(func(_ *testing.T, raw []byte) {
		c := NewCore(Config{Lifetime: time.Hour, Capacity: 10, AnswerBytes: 1000}, Owner{Upstream: "u", Incarnation: "1"})
		now := time.Unix(1000, 0)
		c.Apply(now, services.Page{Tail: 1, Now: now, Records: []services.LogRecord{{At: now, Data: raw}}})
		c.Submit(now, Attempt{Token: 1, Request: "r", Key: "k", Deadline: now.Add(time.Second)})
	})
}

// TestTable checks the limits of an owner's table.
func TestTable(t *testing.T) {
	now := time.Unix(1000, 0)
	self := Owner{Upstream: "u", Incarnation: "1"}
	owner := func(cfg Config) *Core {
		c := NewCore(cfg, self)
		c.Apply(now, services.Page{Now: now})
		raw, _ := c.TakeRecord([]request.KeySlice{0}).Encode()
		c.Apply(now, services.Page{Now: now, Tail: 1, Records: []services.LogRecord{{At: now, Data: raw}}})
		return c
	}
	ask := func(c *Core, at time.Time, key KeyID, digest request.Digest) Decision {
		return c.Submit(at, Attempt{Token: 7, Request: request.ID(key), Key: key, Epoch: 1, Digest: digest, Deadline: at.Add(time.Minute)})
	}
	finish := func(c *Core, key KeyID) {
		e := c.entries[key]
		e.state, e.waiting = StateRunning, nil
		c.Finish(now, key, Answer{Outcome: request.OutcomeAnswered, Body: []byte("body")})
	}
	cases := map[string]struct {
		cfg  Config
		do   func(c *Core) Decision
		want Answer
	}{
		"kept answer": {Config{Lifetime: time.Hour, Capacity: 2, AnswerBytes: 100}, func(c *Core) Decision {
			ask(c, now, "a", 1)
			finish(c, "a")
			return ask(c, now, "a", 1)
		}, Answer{Outcome: request.OutcomeAnswered}},
		"key with another body": {Config{Lifetime: time.Hour, Capacity: 2, AnswerBytes: 100}, func(c *Core) Decision {
			ask(c, now, "a", 1)
			finish(c, "a")
			return ask(c, now, "a", 2)
		}, Answer{Outcome: request.OutcomeNotRun, Reason: ReasonKeyReused}},
		"table full": {Config{Lifetime: time.Hour, Capacity: 1, AnswerBytes: 100}, func(c *Core) Decision {
			ask(c, now, "a", 1)
			return ask(c, now, "b", 1)
		}, Answer{Outcome: request.OutcomeNotRun, Reason: ReasonFull}},
		"answers too large": {Config{Lifetime: time.Hour, Capacity: 9, AnswerBytes: 4}, func(c *Core) Decision {
			ask(c, now, "a", 1)
			finish(c, "a")
			return ask(c, now, "b", 1)
		}, Answer{Outcome: request.OutcomeNotRun, Reason: ReasonFull}},
		"another slice": {Config{Lifetime: time.Hour, Capacity: 9, AnswerBytes: 100}, func(c *Core) Decision {
			return c.Submit(now, Attempt{Slice: 5, Key: "a", Epoch: 1})
		}, Answer{Outcome: request.OutcomeNotRun, Reason: ReasonNotOwner}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			got := tc.do(owner(tc.cfg))
			if got.Kind != DecisionAnswer || got.Answer.Outcome != tc.want.Outcome || got.Answer.Reason != tc.want.Reason {
				t.Errorf("decision %+v, want %+v", got, tc.want)
			}
		})
	}
	c := owner(Config{Lifetime: time.Minute, Capacity: 1, AnswerBytes: 100})
	ask(c, now, "a", 1)
	finish(c, "a")
	later := now.Add(2 * time.Minute)
	c.Expire(later)
	c.Contact(later)
	if d := ask(c, later, "b", 1); d.Kind != DecisionWait || c.answerBytes != 0 {
		t.Errorf("after the lifetime: %+v with %d bytes kept", d, c.answerBytes)
	}
}
