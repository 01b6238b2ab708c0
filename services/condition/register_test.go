// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package condition

import (
	"errors"
	"slices"
	"testing"
	"time"

	"fawnwinch.org/fawnwinch/models/upstream"
)

// TestChanges checks which statements of an upstream are returned as changes: each once, however
// often it is repeated.
func TestChanges(t *testing.T) {
	limit := func(r upstream.Rate) upstream.Notice { return upstream.Notice{Limited: true, Limit: r} }
	unread := upstream.Notice{Unread: errors.New("bad")}
	cases := map[string]struct {
		said []upstream.Notice
		want []Change
	}{
		"nothing":                            {[]upstream.Notice{{}, {}}, nil},
		"a limit":                            {[]upstream.Notice{limit(1), limit(1)}, []Change{{Kind: KindLimited}}},
		"a limit that changes":               {[]upstream.Notice{limit(1), limit(1.1)}, []Change{{Kind: KindLimited}, {Kind: KindLimited}}},
		"a limit that ends":                  {[]upstream.Notice{limit(1), {}, {}}, []Change{{Kind: KindLimited}, {Kind: KindLimited, Ended: true}}},
		"a limit that cannot be read stays":  {[]upstream.Notice{limit(1), unread, limit(1)}, []Change{{Kind: KindLimited}, {Unread: unread.Unread}}},
		"rest, each time":                    {[]upstream.Notice{{Rest: 1}, {Rest: 1}}, []Change{{Kind: KindResting}, {Kind: KindResting}}},
		"leaving":                            {[]upstream.Notice{{Leaving: true}, {}, {Leaving: true}}, []Change{{Kind: KindLeaving}}},
		"the same that cannot be read again": {[]upstream.Notice{unread, unread}, []Change{{Unread: unread.Unread}}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g, now := NewRegister(), time.Unix(1000, 0)
			var got []Change
			for _, n := range c.said {
				now = now.Add(time.Second)
				got = append(got, g.Note(now, now, upstream.Run{ID: "u"}, n)...)
			}
			if !slices.Equal(got, c.want) {
				t.Errorf("changes %+v, want %+v", got, c.want)
			}
		})
	}
}

// TestUnlistedRetention checks that the record of an upstream outlives an outage of the store, in
// which entries disappear and come back, but is dropped long after the upstream has gone.
func TestUnlistedRetention(t *testing.T) {
	run, now := upstream.Run{ID: "u"}, time.Unix(1000, 0)
	g := NewRegister()
	g.Note(now, now, run, upstream.Notice{Leaving: true})
	g.Forget(now, nil)
	g.Forget(now.Add(unlistedRetention), map[upstream.Run]bool{run: true})
	g.Forget(now.Add(2*unlistedRetention), nil)
	if n := g.Counts(now)[KindLeaving]; n != 1 {
		t.Errorf("%d upstreams are leaving after the entry was listed again, want 1", n)
	}
	g.Forget(now.Add(4*unlistedRetention), nil)
	if n := g.Counts(now)[KindLeaving]; n != 0 {
		t.Errorf("%d upstreams are leaving long after the entry was removed, want 0", n)
	}
}

// TestJudge checks when a request may be chosen for an upstream, and whether one that was chosen
// may still be sent.
func TestJudge(t *testing.T) {
	run := upstream.Run{ID: "u"}
	rest := func(ms int) upstream.Notice { return upstream.Notice{Rest: time.Duration(ms) * time.Millisecond} }
	cases := map[string]struct {
		prepare func(g *Register)
		now     int
		kind    Kind
		// wait is the number of milliseconds until a request may be chosen; -1 for never.
		wait int
		sent Permission
	}{
		"nothing was said":                {func(*Register) {}, 0, KindFree, 0, PermissionGiven},
		"it rests":                        {func(g *Register) { g.Note(at(0), at(0), run, rest(3000)) }, 500, KindResting, 2500, PermissionDenied},
		"its rest is over":                {func(g *Register) { g.Note(at(0), at(0), run, rest(3000)) }, 3000, KindFree, 0, PermissionGiven},
		"a shorter rest, asked for later": {func(g *Register) { g.Note(at(0), at(0), run, rest(3000)); g.Note(at(100), at(0), run, rest(1000)) }, 500, KindResting, 2500, PermissionDenied},
		"a longer rest, asked for later":  {func(g *Register) { g.Note(at(0), at(0), run, rest(1000)); g.Note(at(100), at(0), run, rest(3000)) }, 500, KindResting, 2600, PermissionDenied},
		"it rests, and answers others":    {func(g *Register) { g.Note(at(0), at(0), run, rest(3000)); g.Note(at(9), at(0), run, upstream.Notice{}) }, 500, KindResting, 2500, PermissionDenied},
		"another run of it rests":         {func(g *Register) { g.Note(at(0), at(0), upstream.Run{ID: "u", Born: 1}, rest(3000)) }, 500, KindFree, 0, PermissionGiven},
		"it has no room":                  {func(g *Register) { g.Full(at(0), run) }, 20, KindOut, 100, PermissionGiven},
		"it has no room and rests":        {func(g *Register) { g.Full(at(0), run); g.Note(at(0), at(0), run, rest(50)) }, 20, KindResting, 100, PermissionDenied},
		"it was not reached":              {func(g *Register) { g.Unreached(at(0), run) }, 0, KindOut, 300, PermissionGiven},
		"it was not reached twice":        {func(g *Register) { g.Unreached(at(0), run); g.Unreached(at(0), run) }, 0, KindOut, 600, PermissionGiven},
		"it was not reached after it was": {func(g *Register) { g.Unreached(at(0), run); g.Served(run); g.Unreached(at(0), run) }, 0, KindOut, 300, PermissionGiven},
		"it leaves":                       {func(g *Register) { g.Note(at(0), at(0), run, upstream.Notice{Leaving: true}) }, 5000, KindLeaving, -1, PermissionDenied},
		"it leaves, and answers again": {func(g *Register) {
			g.Note(at(0), at(0), run, upstream.Notice{Leaving: true})
			g.Note(at(9), at(5), run, upstream.Notice{})
		}, 20, KindLeaving, -1, PermissionDenied},
		"another run of it leaves": {func(g *Register) {
			g.Note(at(0), at(0), upstream.Run{ID: "u", Born: 1}, upstream.Notice{Leaving: true})
		}, 20, KindFree, 0, PermissionGiven},
		"it limits its requests and rests": {
			func(g *Register) {
				g.Note(at(0), at(0), run, upstream.Notice{Limited: true, Limit: 1, Rest: time.Second})
			}, 400, KindLimited, 600, PermissionDenied,
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewRegister()
			c.prepare(g)
			kind, wait := g.Judge(at(c.now), run)
			want := time.Duration(c.wait) * time.Millisecond
			if c.wait < 0 {
				want = Never
			}
			if kind != c.kind || wait != want {
				t.Errorf("%s for %s, want %s for %s", kind, wait, c.kind, want)
			}
			if got := g.Permit(at(c.now), run); got != c.sent {
				t.Errorf("permission %s, want %s", got, c.sent)
			}
		})
	}
}

// TestForget checks that the record of an upstream without a condition is dropped.
func TestForget(t *testing.T) {
	run := upstream.Run{ID: "u"}
	listed := map[upstream.Run]bool{run: true}
	g := NewRegister()
	g.Full(at(0), run)
	g.Note(at(0), at(0), run, upstream.Notice{Rest: time.Second})
	if g.Forget(at(900), listed); g.Empty() {
		t.Error("the record of an upstream that is backing off was dropped")
	}
	if g.Forget(at(1000), listed); !g.Empty() {
		t.Error("the record of an upstream is kept after its back-off has ended")
	}
}
