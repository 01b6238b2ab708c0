// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package condition

import (
	"testing"
	"time"

	"fawnwinch.org/fawnwinch/models/upstream"
)

func at(ms int) time.Time { return time.Unix(1000, 0).Add(time.Duration(ms) * time.Millisecond) }

// limitOf returns a limit; a rate of 0 means that there is none.
func limitOf(rate upstream.Rate, sent, heard int) Limit {
	return Limit{Named: rate > 0, Rate: rate, Sent: at(sent), Heard: at(heard)}
}

// TestMerge checks which of two limits applies, in either order of arrival. Answers may arrive out
// of order: the one received later may have been sent earlier.
func TestMerge(t *testing.T) {
	cases := map[string]struct{ a, b, want Limit }{
		"nothing is known":                              {Limit{}, Limit{}, Limit{}},
		"the first word":                                {Limit{}, limitOf(1, 0, 10), limitOf(1, 0, 10)},
		"the first word is that there is none":          {Limit{}, limitOf(0, 0, 10), limitOf(0, 0, 10)},
		"a higher limit, asked for after the lower":     {limitOf(1, 0, 10), limitOf(3, 10, 20), limitOf(3, 10, 20)},
		"a lower limit, asked for after the higher":     {limitOf(3, 0, 10), limitOf(1, 10, 20), limitOf(1, 10, 20)},
		"two that may have passed each other":           {limitOf(1, 0, 10), limitOf(3, 5, 20), limitOf(1, 0, 10)},
		"the end, asked for after the limit was heard":  {limitOf(1, 0, 10), limitOf(0, 10, 20), limitOf(0, 10, 20)},
		"an end that may be older than the limit":       {limitOf(1, 0, 10), limitOf(0, 9, 20), limitOf(1, 0, 10)},
		"a limit, asked for after the end was heard":    {limitOf(0, 0, 10), limitOf(2, 15, 20), limitOf(2, 15, 20)},
		"a limit that may be newer than the end":        {limitOf(0, 0, 10), limitOf(2, 5, 20), limitOf(2, 5, 20)},
		"a limit that was heard before the end was due": {limitOf(0, 20, 30), limitOf(2, 5, 20), limitOf(0, 20, 30)},
		"the same again":                                {limitOf(2, 0, 10), limitOf(2, 5, 20), limitOf(2, 5, 20)},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			if got := c.a.Merge(c.b); got != c.want {
				t.Errorf("then: got %+v, want %+v", got, c.want)
			}
			if got := c.b.Merge(c.a); got != c.want {
				t.Errorf("the other way round: got %+v, want %+v", got, c.want)
			}
		})
	}
}

// TestWireLimit checks that a transferred limit does not end a newer one, however long the transfer
// took.
func TestWireLimit(t *testing.T) {
	end := limitOf(0, 100, 150).Wire(at(200))
	cases := map[string]struct {
		limit Limit
		// sent and came are when the message was sent at the earliest and when it was received, on
		// the receiver's clock.
		sent, came int
		named      bool
	}{
		"the limit was heard long before":      {limitOf(1, 0, 10), 200, 210, false},
		"the message may have been on its way": {limitOf(1, 0, 60), 150, 350, true},
		"the limit was heard after":            {limitOf(1, 0, 160), 200, 210, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			if got := c.limit.Merge(end.ToLimit(at(c.sent), at(c.came))); got.Named != c.named {
				t.Errorf("limit in force: %t, want %t", got.Named, c.named)
			}
		})
	}
	if got := (Limit{}).Wire(at(0)).ToLimit(at(0), at(10)); got != (Limit{}) {
		t.Errorf("an unknown limit became %+v after the transfer", got)
	}
}
