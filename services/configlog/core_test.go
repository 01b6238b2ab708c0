// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package configlog

import (
	"testing"
	"time"

	"fawnwinch.org/fawnwinch/models/intent"
	"fawnwinch.org/fawnwinch/services"
)

var start = time.Unix(1000, 0)

func intentNamed(deployment string) *intent.Intent {
	return &intent.Intent{Version: 1, Deployment: deployment, Rebalance: intent.Rebalance{Prefer: intent.PreferCost}}
}

func confirmation(id string, base intent.State, in *intent.Intent) *intent.Record {
	return &intent.Record{Version: 1, Kind: intent.RecordConfirm, ID: intent.ConfirmID(id), Revision: base.Revision + 1, BaseDigest: base.Digest, Intent: in}
}

func page(t *testing.T, first services.Offset, recs ...*intent.Record) services.Page {
	t.Helper()
	p := services.Page{First: first, Tail: first, Now: start}
	for _, r := range recs {
		raw, err := r.Encode()
		if err != nil {
			t.Fatal(err)
		}
		p.Records = append(p.Records, services.LogRecord{Offset: p.Tail, At: start, Data: raw})
		p.Tail++
	}
	return p
}

// TestAdoptedOutcome checks that a core that adopts a peer's position also learns the outcomes of
// the confirmations before that position.
func TestAdoptedOutcome(t *testing.T) {
	ahead, behind := NewCore(), NewCore()
	ahead.Apply(start, page(t, 0, confirmation("c", intent.Empty(), intentNamed("a"))))
	behind.Apply(start, services.Page{Now: start})
	behind.Adopt(start, ahead.Peer())
	if got := behind.Outcome("c"); got.Verdict != VerdictAccepted || got.Revision != 1 {
		t.Errorf("outcome after adoption: %+v", got)
	}
}

// TestAnchor checks which state a core derives from the first records that it reads after a trim.
func TestAnchor(t *testing.T) {
	five := intent.State{Revision: 5, Digest: intentNamed("five").Digest(), Intent: intentNamed("five")}
	checkpoint := func(s intent.State, asOf uint64) *intent.Record {
		return &intent.Record{Version: 1, Kind: intent.RecordCheckpoint, Revision: s.Revision, AsOf: asOf, Intent: s.Intent}
	}
	cases := map[string]struct {
		recs []*intent.Record
		want intent.Revision
	}{
		"stale checkpoint is ignored":             {[]*intent.Record{checkpoint(five, 99), confirmation("x", five, intentNamed("six"))}, 0},
		"checkpoint at the start of the window":   {[]*intent.Record{checkpoint(five, 100), confirmation("x", five, intentNamed("six"))}, 6},
		"confirmation before its checkpoint":      {[]*intent.Record{confirmation("x", five, intentNamed("six")), checkpoint(five, 100)}, 6},
		"confirmation that the checkpoint covers": {[]*intent.Record{confirmation("x", five, intentNamed("six")), checkpoint(five, 101)}, 5},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			c := NewCore()
			c.Apply(start, page(t, 100, tc.recs...))
			if got := c.State().Revision; got != tc.want {
				t.Errorf("revision %d, want %d", got, tc.want)
			}
		})
	}
}

// TestLaterFormat checks that a record of a later format ends the exact state, while the
// configuration in force stays available.
func TestLaterFormat(t *testing.T) {
	c := NewCore()
	p := page(t, 0, confirmation("a", intent.Empty(), intentNamed("a")))
	p.Records = append(p.Records, services.LogRecord{Offset: 1, At: start, Data: []byte(`{"version":99}`)})
	c.Apply(start, p)
	if _, exact := c.Judged(); exact || c.State().Revision != 1 {
		t.Errorf("exact %t, revision %d; want not exact at revision 1", exact, c.State().Revision)
	}
}

// TestCheckpointDue checks that routers with a higher index wait longer before they write a
// checkpoint.
func TestCheckpointDue(t *testing.T) {
	c := NewCore()
	c.Apply(start, page(t, 0, confirmation("a", intent.Empty(), intentNamed("a"))))
	cases := map[string]struct {
		after time.Duration
		turn  int
		want  bool
	}{
		"fresh":          {time.Minute, 0, false},
		"half":           {30 * time.Minute, 0, true},
		"half, third":    {30 * time.Minute, 2, false},
		"later, third":   {34 * time.Minute, 2, true},
		"past all waits": {59 * time.Minute, 6, true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			if got := c.CheckpointDue(start.Add(tc.after), time.Hour, tc.turn); got != tc.want {
				t.Errorf("due %t, want %t", got, tc.want)
			}
		})
	}
}
