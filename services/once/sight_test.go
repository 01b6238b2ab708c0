// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package once

import (
	"errors"
	"testing"
	"time"

	"fawnwinch.org/fawnwinch/models/request"
	"fawnwinch.org/fawnwinch/models/upstream"
	"fawnwinch.org/fawnwinch/services"
)

// shortLog is a journal that drops its oldest records.
type shortLog struct {
	records []services.LogRecord
	tail    services.Offset
}

func (l *shortLog) append(t *testing.T, now time.Time, rec *Record) {
	t.Helper()
	raw, err := rec.Encode()
	if err != nil {
		t.Fatal(err)
	}
	l.records = append(l.records, services.LogRecord{Offset: l.tail, At: now, Data: raw})
	l.tail++
}

// drop forgets all records but the newest n.
func (l *shortLog) drop(n int) { l.records = l.records[len(l.records)-n:] }

func (l *shortLog) read(c *Core, now time.Time) {
	p := services.Page{First: l.tail, Tail: l.tail, Now: now, Records: l.records}
	if len(l.records) > 0 {
		p.First = l.records[0].Offset
	}
	c.Apply(now, p)
}

// sightOwner is an agent of the tests about owners that lose sight of the journal.
func sightOwner(id upstream.ID) Owner {
	return Owner{Upstream: id, Incarnation: upstream.Incarnation("of " + string(id))}
}

// TestOwnerLostSight replays a journal that was out of reach for longer than it keeps its records,
// while the owner of all slices stood still.
//
// The owner came back and found the record dropped by which it owned its slices, so it gave them up.
// The others had read that record, heard the owner's heartbeats again, and went on asking it for its
// tables, which it refused, three times a second and without an end: every request for these slices
// was rejected until the owner was started anew. "handover refused: slice is not owned here" stood
// 680 times in the log of each of two agents, and nothing was taken in 30 s.
func TestOwnerLostSight(t *testing.T) {
	now := time.Unix(1000, 0)
	sleeper, other := sightOwner("sleeper"), sightOwner("other")
	cfg := Config{Lifetime: time.Minute, Capacity: 10, AnswerBytes: 1 << 10, OutageAfter: time.Second}
	asleep, awake := NewCore(cfg, sleeper), NewCore(cfg, other)
	log := &shortLog{}
	log.read(asleep, now)
	log.read(awake, now)
	var all []request.Slice
	for s := range request.Slice(Slices) {
		all = append(all, s)
	}
	log.append(t, now, asleep.TakeRecord(all))
	log.read(asleep, now)
	log.read(awake, now)

	now = now.Add(2 * time.Minute)
	for range 2 {
		log.append(t, now, &Record{Version: recordVersion, Kind: RecordClaims, Owner: other})
		log.read(awake, now)
	}
	log.drop(1)
	log.read(asleep, now)
	if n := len(asleep.Owned()); n != 0 {
		t.Fatalf("owner whose take was dropped unread by it owns %d slices, want none", n)
	}

	members := []Member{{Owner: sleeper, State: upstream.StateReady}, {Owner: other, State: upstream.StateReady}}
	moves := Decide(now, other, awake.View(), members, time.Hour)
	asked := moves.Ask[sleeper]
	if len(asked) == 0 {
		t.Fatal("nothing asked of the owner that the journal names")
	}
	for _, s := range asked {
		table, err := asleep.Handover(now, s)
		if err != nil {
			t.Fatalf("slice %d: %v, want word that its owner knows no table", s, err)
		}
		awake.Receive(table)
	}
	log.append(t, now, awake.TakeRecord(asked))
	log.read(asleep, now)
	log.read(awake, now)
	for _, v := range awake.View() {
		if v.Mine && v.Settled {
			t.Errorf("slice %d: taken from an owner without a table and held for settled", v.Slice)
		}
	}
	if n := len(awake.Owned()); n != len(asked) {
		t.Errorf("took %d slices, want the %d asked for", n, len(asked))
	}
}

// TestHandoverRefused checks that whoever asks for a table is told why there is none: owners are to be told apart that are not one,
// wait for a router, and have lost sight of the journal.
func TestHandoverRefused(t *testing.T) {
	now := time.Unix(1000, 0)
	mine, other := request.Slice(1), request.Slice(2)
	c := NewCore(Config{Lifetime: time.Minute, Capacity: 10, AnswerBytes: 1 << 10}, sightOwner("asked"))
	log := &shortLog{}
	log.read(c, now)
	foreign := NewCore(Config{Lifetime: time.Minute, Capacity: 10, AnswerBytes: 1 << 10}, sightOwner("other"))
	log.read(foreign, now)
	log.append(t, now, foreign.TakeRecord([]request.Slice{mine, other}))
	log.read(c, now)
	log.append(t, now, c.TakeRecord([]request.Slice{mine}))
	log.read(c, now)
	cases := map[string]struct {
		slice request.Slice
		want  error
	}{
		"taken without a table": {mine, ErrUnsettled{Slice: mine}},
		"another owns it":       {other, ErrNotOwner{Slice: other}},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			if _, err := c.Handover(now, test.slice); !errors.Is(err, test.want) {
				t.Errorf("got %v, want %v", err, test.want)
			}
		})
	}
}
