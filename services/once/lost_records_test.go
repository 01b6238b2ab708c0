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

// trimmedLog is a journal that can drop its oldest records.
type trimmedLog struct {
	records []services.LogRecord
	tail    services.Offset
}

func (l *trimmedLog) append(t *testing.T, now time.Time, rec *Record) {
	t.Helper()
	raw, err := rec.Encode()
	if err != nil {
		t.Fatal(err)
	}
	l.records = append(l.records, services.LogRecord{Offset: l.tail, At: now, Data: raw})
	l.tail++
}

// keepNewest removes all records except the newest n.
func (l *trimmedLog) keepNewest(n int) { l.records = l.records[len(l.records)-n:] }

func (l *trimmedLog) read(c *Core, now time.Time) {
	p := services.Page{First: l.tail, Tail: l.tail, Now: now, Records: l.records}
	if len(l.records) > 0 {
		p.First = l.records[0].Offset
	}
	c.Apply(now, p)
}

// testOwner returns the owner with the given upstream ID.
func testOwner(id upstream.ID) Owner {
	return Owner{Upstream: id, Incarnation: upstream.Incarnation("of " + string(id))}
}

// TestOwnerMissedRecords covers a journal that is unreachable for longer than it keeps its records
// while the owner of all slices is paused.
//
// When the owner resumes, the record that made it the owner has been dropped, so it drops its
// ownership. The others have read that record and receive the owner's heartbeats again. They used
// to request its tables three times a second without end, and it refused: every request for these
// slices was rejected until the owner restarted. Each of two agents logged "handover refused: slice
// is not owned here" 680 times, and no slice was taken in 30 s.
func TestOwnerMissedRecords(t *testing.T) {
	now := time.Unix(1000, 0)
	paused, other := testOwner("sleeper"), testOwner("other")
	cfg := Config{Lifetime: time.Minute, Capacity: 10, AnswerBytes: 1 << 10, OutageAfter: time.Second}
	pausedCore, otherCore := NewCore(cfg, paused), NewCore(cfg, other)
	log := &trimmedLog{}
	log.read(pausedCore, now)
	log.read(otherCore, now)
	var all []request.KeySlice
	for s := range request.KeySlice(Slices) {
		all = append(all, s)
	}
	log.append(t, now, pausedCore.TakeRecord(all))
	log.read(pausedCore, now)
	log.read(otherCore, now)

	now = now.Add(2 * time.Minute)
	for range 2 {
		log.append(t, now, &Record{Version: recordVersion, Kind: RecordClaims, Owner: other})
		log.read(otherCore, now)
	}
	log.keepNewest(1)
	log.read(pausedCore, now)
	if n := len(pausedCore.Owned()); n != 0 {
		t.Fatalf("owner whose take was dropped unread by it owns %d slices, want none", n)
	}

	members := []Member{{Owner: paused, State: upstream.StateReady}, {Owner: other, State: upstream.StateReady}}
	moves := Decide(now, other, otherCore.View(), members, time.Hour)
	asked := moves.Ask[paused]
	if len(asked) == 0 {
		t.Fatal("no table requested from the owner according to the journal")
	}
	for _, s := range asked {
		table, err := pausedCore.Handover(now, s)
		if err != nil {
			t.Fatalf("slice %d: %v, want a table marked as lost", s, err)
		}
		otherCore.Receive(table)
	}
	log.append(t, now, otherCore.TakeRecord(asked))
	log.read(pausedCore, now)
	log.read(otherCore, now)
	for _, v := range otherCore.View() {
		if v.Mine && v.Settled {
			t.Errorf("slice %d: taken from an owner without a table but marked as settled", v.Slice)
		}
	}
	if n := len(otherCore.Owned()); n != len(asked) {
		t.Errorf("took %d slices, want the %d requested", n, len(asked))
	}
}

// TestHandoverRefused checks that a refused handover reports its reason: the asked agent does not
// own the slice, or the slice is not settled yet. TestOwnerMissedRecords covers an agent that
// missed records.
func TestHandoverRefused(t *testing.T) {
	now := time.Unix(1000, 0)
	mine, other := request.KeySlice(1), request.KeySlice(2)
	c := NewCore(Config{Lifetime: time.Minute, Capacity: 10, AnswerBytes: 1 << 10}, testOwner("asked"))
	log := &trimmedLog{}
	log.read(c, now)
	foreign := NewCore(Config{Lifetime: time.Minute, Capacity: 10, AnswerBytes: 1 << 10}, testOwner("other"))
	log.read(foreign, now)
	log.append(t, now, foreign.TakeRecord([]request.KeySlice{mine, other}))
	log.read(c, now)
	log.append(t, now, c.TakeRecord([]request.KeySlice{mine}))
	log.read(c, now)
	cases := map[string]struct {
		slice request.KeySlice
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
