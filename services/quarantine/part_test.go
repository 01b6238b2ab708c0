// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package quarantine

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"testing"
	"time"

	"fawnwinch.org/fawnwinch/models/prompt"
	"fawnwinch.org/fawnwinch/models/request"
	"fawnwinch.org/fawnwinch/models/upstream"
	"fawnwinch.org/fawnwinch/services/peer"
)

// subject returns a request with some shared parts.
func subject(content int, parts ...prompt.Part) Subject {
	return NewSubject("x", request.Digest(content), "s", parts)
}

// partStep is an event that is recorded in a register at a time.
type partStep struct {
	at time.Duration
	// content and parts are those of the request; content 0 stands for a new one.
	content int
	parts   []prompt.Part
	// crash is the upstream that ended under it, if any; lasted is for how long its answer had been
	// arriving.
	crash  upstream.ID
	lasted time.Duration
	// requests is the number of requests that have arrived, if neither an upstream ended nor an
	// answer arrived.
	requests int
}

// play records steps in a register.
func play(r *Register, steps []partStep) {
	next := 1000
	for _, s := range steps {
		now := testStart.Add(s.at)
		if s.content == 0 {
			next++
			s.content = next
		}
		x := subject(s.content, s.parts...)
		switch {
		case s.requests > 0:
			for range s.requests {
				r.Count(now, x)
			}
		case s.crash != "":
			r.AddCrash(now, x, Crash{Run: upstream.Run{ID: s.crash}, Ran: 20 * time.Millisecond, Lasted: s.lasted})
		default:
			r.RecordRun(now, x, s.lasted)
		}
	}
}

// repeated returns a step for each of several upstreams, at regular intervals.
func repeated(n int, interval time.Duration, step func(time.Duration, upstream.ID) partStep) []partStep {
	var out []partStep
	for i := range n {
		out = append(out, step(time.Duration(i)*interval, upstream.ID(fmt.Sprint("u", i))))
	}
	return out
}

// TestJudgePart checks from which crashes on a part is refused, what clears it, and which of several
// parts is blamed.
func TestJudgePart(t *testing.T) {
	const second = time.Second
	p := func(parts ...prompt.Part) []prompt.Part { return parts }
	crash := func(at time.Duration, id upstream.ID, parts ...prompt.Part) partStep {
		return partStep{at: at, crash: id, parts: parts}
	}
	answer := func(at time.Duration, parts ...prompt.Part) partStep {
		return partStep{at: at, parts: parts, lasted: CompletedRun}
	}
	cases := map[string]struct {
		steps []partStep
		at    time.Duration
		want  map[prompt.Part]Standing
	}{
		"one crash": {[]partStep{crash(0, "a", "b")}, second, map[prompt.Part]Standing{"b": StandingSuspect}},
		"two":       {[]partStep{crash(0, "a", "b"), crash(5*second, "c", "b")}, 5 * second, map[prompt.Part]Standing{"b": StandingRefused, "other": StandingFree}},
		"two under the same content": {[]partStep{
			{crash: "a", content: 1, parts: p("b")},
			{at: 5 * second, crash: "c", content: 1, parts: p("b")},
		}, 5 * second, map[prompt.Part]Standing{"b": StandingSuspect}},
		"two at the same time":             {[]partStep{crash(0, "a", "b"), crash(0, "c", "b")}, second, map[prompt.Part]Standing{"b": StandingSuspect}},
		"twice, two at the same time each": {[]partStep{crash(0, "a", "b"), crash(0, "c", "b"), crash(5*second, "d", "b"), crash(5*second, "e", "b")}, 5 * second, map[prompt.Part]Standing{"b": StandingRefused}},
		"racks end": {[]partStep{
			crash(0, "a", "b"), crash(0, "c", "o1"), crash(0, "d", "o2"),
			crash(5*second, "e", "b"), crash(5*second, "f", "o3"), crash(5*second, "g", "o4"),
		}, 5 * second, map[prompt.Part]Standing{"b": StandingFree}},
		"an answer that begins clears it": {[]partStep{
			crash(0, "a", "b"), {at: second, parts: p("b"), lasted: 60 * time.Millisecond}, crash(5*second, "c", "b"),
		}, 5 * second, map[prompt.Part]Standing{"b": StandingSuspect}},
		"an answer just before the crash": {[]partStep{
			crash(0, "a", "b"), {at: 4500 * time.Millisecond, parts: p("x"), lasted: CompletedRun}, {at: 4500 * time.Millisecond, parts: p("b"), lasted: CompletedRun}, crash(5*second, "c", "b", "x"),
		}, 5 * second, map[prompt.Part]Standing{"b": StandingFree, "x": StandingFree}},
		"an answer long before the crashes": {[]partStep{
			{parts: p("b"), lasted: CompletedRun}, crash(2*second, "a", "b"), crash(7*second, "c", "b"),
		}, 7 * second, map[prompt.Part]Standing{"b": StandingRefused}},
		"in quick succession": {[]partStep{
			crash(0, "a", "b"), crash(150*time.Millisecond, "c", "b"), crash(300*time.Millisecond, "d", "b"),
		}, second, map[prompt.Part]Standing{"b": StandingRefused}},
		"more often than is recorded": {repeated(100, 22*time.Millisecond, func(at time.Duration, id upstream.ID) partStep {
			return crash(at, id, "b")
		}), 3 * second, map[prompt.Part]Standing{"b": StandingRefused}},
		"its answer had just begun": {[]partStep{
			{crash: "a", parts: p("b"), lasted: 10 * time.Millisecond}, {at: 5 * second, crash: "c", parts: p("b"), lasted: 10 * time.Millisecond},
		}, 5 * second, map[prompt.Part]Standing{"b": StandingRefused}},
		"its answer was arriving": {[]partStep{
			{crash: "a", parts: p("b"), lasted: second}, {at: 5 * second, crash: "c", parts: p("b"), lasted: second},
		}, 5 * second, map[prompt.Part]Standing{"b": StandingFree}},
		"the first part is in other requests too": {[]partStep{
			{requests: 5, parts: p("first")}, crash(0, "a", "first", "b"), crash(5*second, "c", "first", "b"),
		}, 5 * second, map[prompt.Part]Standing{"b": StandingRefused, "first": StandingSuspect}},
		"the first part was answered before": {[]partStep{
			answer(-9*second, "first"), crash(0, "a", "first", "b"), crash(5*second, "c", "first", "b"),
		}, 5 * second, map[prompt.Part]Standing{"b": StandingRefused, "first": StandingSuspect}},
		"so is the one behind it": {[]partStep{
			crash(0, "a", "first", "b", "behind"), crash(5*second, "c", "first", "b", "behind"),
			{at: 5 * second, requests: 2, parts: p("first", "b", "behind")},
			{at: 5 * second, requests: 1, parts: p("behind")},
			{at: 5 * second, requests: 1, parts: p("first")},
		}, 6 * second, map[prompt.Part]Standing{"b": StandingRefused, "first": StandingSuspect, "behind": StandingSuspect}},
		"a rare part was there twice by chance": {[]partStep{
			crash(0, "a", "b"), crash(0, "a", "rare"), crash(5*second, "c", "b"), crash(10*second, "d", "b"), crash(10*second, "d", "rare"),
		}, 10 * second, map[prompt.Part]Standing{"b": StandingRefused, "rare": StandingSuspect}},
		"two bad parts share the first one": {[]partStep{
			answer(-9*second, "first"), crash(0, "a", "first", "b1"), crash(5*second, "c", "first", "b2"), crash(10*second, "d", "first", "b1"), crash(15*second, "e", "first", "b2"),
		}, 15 * second, map[prompt.Part]Standing{"b1": StandingRefused, "b2": StandingRefused, "first": StandingSuspect}},
		"once each so far": {[]partStep{
			answer(-9*second, "first"), crash(0, "a", "first", "b1"), crash(5*second, "c", "first", "b2"),
		}, 5 * second, map[prompt.Part]Standing{"b1": StandingSuspect, "b2": StandingSuspect, "first": StandingSuspect}},
		"a first part at fault among new parts": {[]partStep{
			answer(-9*second, "first"), crash(0, "a", "first", "n1"), crash(5*second, "c", "first", "n2"), crash(10*second, "d", "first", "n3"), crash(15*second, "e", "first", "n4"),
		}, 15 * second, map[prompt.Part]Standing{"n1": StandingSuspect, "first": StandingRefused}},
		"a familiar part at all crashes, and others by chance": {[]partStep{
			answer(-9*second, "b"), answer(-9*second, "rare"), crash(0, "a", "b"), crash(0, "a", "new"), crash(5*second, "c", "b"), crash(5*second, "c", "new"),
			crash(10*second, "d", "b"), crash(10*second, "d", "rare"), crash(15*second, "e", "b"), crash(15*second, "e", "rare"),
			{requests: 9, parts: p("b")},
		}, 15 * second, map[prompt.Part]Standing{"b": StandingRefused, "rare": StandingSuspect}},
		"a part turned bad, and new ones were there by chance": {[]partStep{
			answer(-9*second, "b"),
			crash(0, "a", "b"), crash(0, "a", "n1"), crash(5*second, "c", "b"), crash(5*second, "c", "n1"),
			crash(10*second, "d", "b"), crash(10*second, "d", "n1"), crash(15*second, "e", "b"),
		}, 15 * second, map[prompt.Part]Standing{"b": StandingRefused, "n1": StandingSuspect}},
		"new ones by chance at all its crashes, and many others once": {[]partStep{
			answer(-9*second, "b"),
			crash(0, "a", "b"), crash(0, "a", "n1"), crash(5*second, "c", "b"), crash(5*second, "c", "n1"),
			crash(10*second, "d", "b"), crash(10*second, "d", "n2"), crash(15*second, "e", "b"), crash(15*second, "e", "n2"),
			crash(0, "a", "o1"), crash(0, "a", "o2"), crash(5*second, "c", "o3"), crash(5*second, "c", "o4"),
			crash(10*second, "d", "o5"), crash(10*second, "d", "o6"), crash(15*second, "e", "o7"), crash(15*second, "e", "o8"),
		}, 15 * second, map[prompt.Part]Standing{"b": StandingRefused, "n1": StandingSuspect, "n2": StandingSuspect}},
		"a common part does not turn bad while new ones explain it": {[]partStep{
			answer(-9*second, "b"),
			{at: -9 * second, requests: 9, parts: p("b")},
			crash(0, "a", "b"), crash(0, "a", "n1"), crash(5*second, "c", "b"), crash(5*second, "c", "n1"),
			crash(10*second, "d", "b"), crash(10*second, "d", "n1"), crash(15*second, "e", "b"),
		}, 15 * second, map[prompt.Part]Standing{"b": StandingSuspect, "n1": StandingRefused}},
		"a common part is tested at once": {[]partStep{
			answer(-9*second, "b"), {at: -9 * second, requests: 9, parts: p("b")}, crash(0, "a", "b"), crash(5*second, "c", "b"),
		}, 5*second + commonRefusalDuration, map[prompt.Part]Standing{"b": StandingWatched}},
		"and later after a test that failed": {[]partStep{
			answer(-9*second, "b"), {at: -9 * second, requests: 9, parts: p("b")}, crash(0, "a", "b"), crash(5*second, "c", "b"), crash(10*second, "d", "b"),
		}, 10*second + 4*commonRefusalDuration - 1, map[prompt.Part]Standing{"b": StandingRefused}},
		"refused for long":                 {[]partStep{crash(0, "a", "b"), crash(5*second, "c", "b")}, 5*second + refusalDuration - 1, map[prompt.Part]Standing{"b": StandingRefused}},
		"then tested":                      {[]partStep{crash(0, "a", "b"), crash(5*second, "c", "b")}, 5*second + refusalDuration, map[prompt.Part]Standing{"b": StandingWatched}},
		"and refused after one more crash": {[]partStep{crash(0, "a", "b"), crash(5*second, "c", "b"), crash(700*second, "d", "b")}, 701 * second, map[prompt.Part]Standing{"b": StandingRefused}},
		"or cleared": {[]partStep{
			crash(0, "a", "b"), crash(5*second, "c", "b"), {at: 700 * second, parts: p("b"), lasted: CompletedRun},
		}, 701 * second, map[prompt.Part]Standing{"b": StandingFree}},
		"a part that was answered before": {[]partStep{
			answer(-9*second, "b"), crash(0, "a", "b"), crash(5*second, "c", "b"),
		}, 5 * second, map[prompt.Part]Standing{"b": StandingRefused}},
		"it is tested soon": {[]partStep{
			answer(-9*second, "b"), crash(0, "a", "b"), crash(5*second, "c", "b"),
		}, 5*second + familiarRefusalDuration, map[prompt.Part]Standing{"b": StandingWatched}},
		"and later after each crash": {[]partStep{
			answer(-9*second, "b"), crash(0, "a", "b"), crash(5*second, "c", "b"), crash(20*second, "d", "b"),
		}, 20*second + 2*familiarRefusalDuration - 1, map[prompt.Part]Standing{"b": StandingRefused}},
		"forgotten": {[]partStep{crash(0, "a", "b"), crash(5*second, "c", "b")}, 5*second + retention, map[prompt.Part]Standing{"b": StandingFree}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := NewRegister(testStart)
			play(r, c.steps)
			now := testStart.Add(c.at)
			r.Sweep(now)
			for part, want := range c.want {
				if got := r.Judge(now, subject(99, part)); got.Standing != want {
					t.Errorf("part %s is %s, want %s", part, got.Standing, want)
				}
			}
			if got := r.Judge(now, NewSubject("x", 99, "another", []prompt.Part{"b"})).Standing; got != StandingFree {
				t.Errorf("the same part is %s at another service", got)
			}
		})
	}
}

// TestTestOfPart checks that a part which was refused is tested by a request without other suspects
// only: after a crash under another one it would not be known which part is at fault.
func TestTestOfPart(t *testing.T) {
	r := NewRegister(testStart)
	play(r, []partStep{
		{at: -9 * time.Second, parts: []prompt.Part{"first"}, lasted: CompletedRun},
		{crash: "a", parts: []prompt.Part{"first"}},
		{at: 5 * time.Second, crash: "c", parts: []prompt.Part{"first"}},
		{at: 6 * time.Second, crash: "d", parts: []prompt.Part{"b"}},
	})
	now := testStart.Add(5*time.Second + familiarRefusalDuration)
	if v := r.Judge(now, subject(1, "first")); v.Standing != StandingWatched || !v.Test {
		t.Errorf("a request without other suspects: %+v", v)
	}
	if v := r.Judge(now, subject(1, "first", "b")); v.Standing != StandingRefused || v.Until.Sub(now) != testRetryTime {
		t.Errorf("one with another suspect: %+v", v)
	}
}

// TestReportedParts checks that a crash which another router reports is cleared here if the part is
// known to be sound or the upstream lives, and that the other router learns so.
func TestReportedParts(t *testing.T) {
	run := upstream.Run{ID: "a"}
	cases := map[string]struct {
		known func(r *Register, now time.Time)
		want  bool
	}{
		"nothing is known":        {func(*Register, time.Time) {}, false},
		"an answer began after":   {func(r *Register, now time.Time) { r.RecordPartRun(now, subject(2, "b"), time.Second) }, true},
		"the upstream answers":    {func(r *Register, now time.Time) { r.RecordAnswer(now.Add(3*time.Second), run) }, true},
		"another upstream does":   {func(r *Register, now time.Time) { r.RecordAnswer(now.Add(3*time.Second), upstream.Run{ID: "z"}) }, false},
		"it answered at the time": {func(r *Register, now time.Time) { r.RecordAnswer(now, run) }, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			seen, told := NewRegister(testStart), NewRegister(testStart.Add(1))
			seen.AddCrash(testStart, subject(1, "b"), Crash{Run: run})
			c.known(told, testStart)
			now := testStart.Add(4 * time.Second)
			for _, crash := range seen.ChangedSince(now, peer.Watermark{}) {
				told.Add(now, crash)
			}
			for _, crash := range told.ChangedSince(now, peer.Watermark{}) {
				seen.Add(now, crash)
			}
			want := StandingSuspect
			if c.want {
				want = StandingFree
			}
			for name, r := range map[string]*Register{"the reporting": seen, "the other": told} {
				if got := r.Judge(now, subject(3, "b")).Standing; got != want {
					t.Errorf("%s router: %s, want %s", name, got, want)
				}
			}
		})
	}
}

// TestNonsense checks that reports with impossible values change nothing but the record they are
// about.
func TestNonsense(t *testing.T) {
	for name, c := range map[string]Crash{
		"a long part":         {Key: PartKey("s", prompt.Part(bytes.Repeat([]byte("x"), 1000)))},
		"a negative age":      {Key: PartKey("s", "b"), Age: -time.Hour},
		"an endless age":      {Key: PartKey("s", "b"), Age: 1 << 62},
		"a negative run":      {Key: PartKey("s", "b"), Ran: -time.Hour, Lasted: -time.Hour},
		"a depth of a prompt": {Key: PartKey("s", "b"), Depth: 1 << 40},
	} {
		t.Run(name, func(t *testing.T) {
			r := NewRegister(testStart)
			for i := range 3 {
				c.Run.ID, c.Content = upstream.ID(fmt.Sprint(i)), request.Digest(i)
				r.Add(testStart, c)
			}
			if got := r.Judge(testStart, subject(1, "other")).Standing; got != StandingFree {
				t.Errorf("another part is %s", got)
			}
			for _, rec := range r.records {
				for _, known := range rec.crashes {
					if known.at.After(testStart) || known.sent.After(known.at) {
						t.Errorf("recorded %+v", known)
					}
				}
			}
		})
	}
}

// TestRestorePart checks that an empty register refuses a restored part, and that a part cleared by
// hand stays so at other routers.
func TestRestorePart(t *testing.T) {
	first := NewRegister(testStart)
	play(first, []partStep{
		{requests: 10, parts: []prompt.Part{"first"}},
		{crash: "a", parts: []prompt.Part{"first", "b"}},
		{at: 5 * time.Second, crash: "c", parts: []prompt.Part{"first", "b"}},
	})
	now := testStart.Add(6 * time.Second)
	entries := first.Refused(now)
	if len(entries) != 1 || entries[0].Key != PartKey("s", "b") {
		t.Fatalf("%+v is refused", entries)
	}
	if entries[0].Name() == (Entry{Key: ContentKey("s", 0)}).Name() {
		t.Error("a part and a content have the same name")
	}
	second := NewRegister(now)
	second.Restore(now, entries[0])
	if got := second.Judge(now, subject(1, "b")).Standing; got != StandingRefused {
		t.Errorf("%s after the restore", got)
	}
	if !first.Clear(PartKey("s", "b")) || first.Clear(PartKey("s", "other")) {
		t.Error("the wrong part was cleared")
	}
	for _, c := range first.ChangedSince(now, peer.Watermark{}) {
		second.Add(now, c)
	}
	for name, r := range map[string]*Register{"there": first, "at another router": second} {
		if got := r.Judge(now, subject(1, "first", "b")).Standing; got != StandingFree {
			t.Errorf("%s %s after it was cleared", got, name)
		}
	}
}

// benchRegister returns a register that has counted requests with thousands of parts, and crashes
// under some of them at each of several routers.
func benchRegister(routers int) (*Register, time.Time) {
	r, now := NewRegister(testStart), testStart
	for i := range 20_000 {
		now = now.Add(time.Millisecond)
		x := subject(i, prompt.Part(fmt.Sprint("f", i%60)), prompt.Part(fmt.Sprint("d", i%5000)))
		r.Count(now, x)
		r.RecordRun(now, x, CompletedRun)
	}
	for batch := range 2 {
		now = now.Add(5 * time.Second)
		for i := range min(routers, 24) {
			x := subject(100_000+100*batch+i, prompt.Part(fmt.Sprint("f", i)), "bad")
			r.AddCrash(now, x, Crash{Run: upstream.Run{ID: upstream.ID(fmt.Sprint("u", batch))}, Ran: 100 * time.Millisecond})
		}
	}
	return r, now
}

// BenchmarkJudgePart times a decision while a part is refused, and reports the size of what a router
// sends to another one about two crashes. At most as many routers as a rank has slots have a request
// at the upstream that ends.
func BenchmarkJudgePart(b *testing.B) {
	for _, routers := range []int{6, 33, 531} {
		for name, x := range map[string]Subject{"sound": subject(7, "f1", "d1"), "new": subject(7, "n1", "n2"), "refused": subject(7, "f1", "bad")} {
			b.Run(fmt.Sprintf("routers=%d/%s", routers, name), func(b *testing.B) {
				r, now := benchRegister(routers)
				var sent bytes.Buffer
				if err := gob.NewEncoder(&sent).Encode(r.ChangedSince(now, peer.Watermark{})); err != nil {
					b.Fatal(err)
				}
				for b.Loop() {
					r.Judge(now, x)
				}
				b.ReportMetric(float64(sent.Len()), "bytes")
			})
		}
	}
}
