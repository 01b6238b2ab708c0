// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package watch

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

var begin = time.Unix(1000, 0)

// TestNext checks when a router reads a feed.
func TestNext(t *testing.T) {
	times := NewTimes(2 * time.Second)
	at := func(ms int) time.Time { return begin.Add(time.Duration(ms) * time.Millisecond) }
	cases := map[string]struct {
		reading FeedState
		now     time.Time
		want    time.Time
	}{
		"no state yet":                        {FeedState{}, at(0), at(0)},
		"the reader reads again at once":      {FeedState{Known: true, AsOf: at(0), Mine: true}, at(10), at(10)},
		"others wait for the reader":          {FeedState{Known: true, AsOf: at(0)}, at(10), at(1500)},
		"others read if the reader is silent": {FeedState{Known: true, AsOf: at(0)}, at(1600), at(1500)},
		"others read if they are behind":      {FeedState{Known: true, AsOf: at(0), Behind: true}, at(10), at(10)},
		"restarted feed, others wait":         {FeedState{Known: true, AsOf: at(0), Anew: at(2200)}, at(1700), at(2200)},
		"restarted feed, reader reads":        {FeedState{Known: true, AsOf: at(0), Anew: at(2200), Mine: true}, at(1700), at(1700)},
		"restarted feed, not received":        {FeedState{Known: true, AsOf: at(0), Anew: at(2200), Behind: true}, at(2200), at(2200)},
		"first read at once":                  {FeedState{}, at(10), at(10)},
		"start waits for others":              {FeedState{Mine: true, Patient: at(400)}, at(10), at(400)},
		"start waits no longer":               {FeedState{Patient: at(400)}, at(410), at(410)},
		"back-off after a failure":            {FeedState{Known: true, AsOf: at(0), Mine: true, Failures: 1, Tried: at(500)}, at(500), at(650)},
		"back-off grows":                      {FeedState{Known: true, AsOf: at(0), Failures: 3, Tried: at(500)}, at(500), at(1100)},
		"back-off is bounded":                 {FeedState{Failures: 90, Tried: at(500)}, at(500), at(1700)},
		"back-off while others send updates":  {FeedState{Known: true, AsOf: at(900), Failures: 2, Tried: at(500)}, at(900), at(800)},
		"back-off without any state":          {FeedState{Failures: 1, Tried: at(500)}, at(500), at(650)},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			if got := times.Next(c.now, c.reading); !got.Equal(c.want) {
				t.Errorf("reads at %s, want %s", got.Sub(begin), c.want.Sub(begin))
			}
		})
	}
}

// TestTimes checks that two consecutive reads of the reader end before others read the feed
// themselves, and that such a read starts within the limit.
func TestTimes(t *testing.T) {
	for _, within := range []time.Duration{500 * time.Millisecond, 2 * time.Second, 10 * time.Second} {
		times := NewTimes(within)
		if 2*times.Wait >= times.Own || times.Own >= within {
			t.Errorf("within %s: waits %s, reads after %s", within, times.Wait, times.Own)
		}
	}
}

// TestReader checks that all routers choose the same reader, that only the loss of the reader
// changes the choice, and that the feeds are spread over the routers.
func TestReader(t *testing.T) {
	if got := ReaderOf("catalog", nil); got != "" {
		t.Errorf("reader %q of an empty list", got)
	}
	var routers []string
	for i := range 40 {
		routers = append(routers, fmt.Sprintf("front-%d", i))
	}
	first := ReaderOf("catalog", routers)
	other := slices.Clone(routers)
	slices.Reverse(other)
	if got := ReaderOf("catalog", other); got != first {
		t.Errorf("reader %q and, in another order, %q", first, got)
	}
	for i, name := range routers {
		without := slices.Delete(slices.Clone(routers), i, i+1)
		if got := ReaderOf("catalog", without); (got == first) == (name == first) {
			t.Errorf("without %s the reader is %q, with it %q", name, got, first)
		}
	}
	readers := map[string]bool{}
	for i := range 40 {
		readers[ReaderOf(fmt.Sprint("feed", i), routers)] = true
	}
	if len(readers) < 15 {
		t.Errorf("40 feeds have %d readers", len(readers))
	}
}

// TestCandidates checks among which routers the reader is chosen.
func TestCandidates(t *testing.T) {
	ready := func(name string, unchanged time.Duration) Candidate {
		return Candidate{Name: name, Ready: true, Unchanged: unchanged}
	}
	seed := Candidate{Name: "seed", Seed: true}
	starting := Candidate{Name: "new", Unchanged: time.Minute}
	cases := map[string]struct {
		routers []Candidate
		want    []string
	}{
		"none":                                  {nil, nil},
		"ready ones":                            {[]Candidate{ready("a", time.Second), ready("b", time.Minute), starting}, []string{"a", "b"}},
		"one has just become ready":             {[]Candidate{ready("a", time.Second-1), ready("b", time.Minute)}, []string{"b"}},
		"all have just become ready":            {[]Candidate{ready("a", 0), seed, ready("b", 0)}, []string{"seed"}},
		"all start":                             {[]Candidate{starting, seed}, []string{"seed"}},
		"all start, without a seed":             {[]Candidate{starting, ready("a", 0)}, []string{"new", "a"}},
		"a seed starts again beside the others": {[]Candidate{seed, ready("a", time.Second)}, []string{"a"}},
	}
	for name, c := range cases {
		if got := Candidates(c.routers); !slices.Equal(got, c.want) {
			t.Errorf("%s: %v, want %v", name, got, c.want)
		}
	}
}

// TestStartWait checks how long a router that has started waits before it reads the store.
func TestStartWait(t *testing.T) {
	started := time.Unix(1000, 0)
	cases := map[string]struct {
		others []Candidate
		want   time.Duration
	}{
		"nobody answers":     {nil, contactTimeout},
		"another one starts": {[]Candidate{{Name: "a"}}, contactTimeout},
		"a seed runs":        {[]Candidate{{Name: "a"}, {Name: "b", Seed: true}}, maxStartWait},
		"a router is ready":  {[]Candidate{{Name: "a", Ready: true}}, maxStartWait},
	}
	for name, c := range cases {
		if got := StartWait(started, c.others).Sub(started); got != c.want {
			t.Errorf("%s: %s, want %s", name, got, c.want)
		}
	}
}
