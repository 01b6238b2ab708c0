// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package admission

import (
	"testing"
	"time"

	"fawnwinch.org/fawnwinch/models/catalog"
	"fawnwinch.org/fawnwinch/models/upstream"
	"fawnwinch.org/fawnwinch/services/balance"
)

var sizedEngine = &catalog.Engine{Slots: 6, Stride: 6, StepMillis: 4.55, WriterMillis: 1.99, ReadPerSecond: 61_400, Chunk: 512, UsualPrompt: 835, UsualAnswer: 90, ExpertShare: 0.85}

// openQueue returns a queue before a group that has just opened.
func openQueue(now time.Time) *Queue {
	q := NewQueue(balance.NewPool(""))
	q.pool.Report(now, balance.Group{ID: "g", Open: true, Ranks: make([]balance.RankLoad, 12), Skew: 2}, nil)
	return q
}

// waitAll lets requests with the given declared answers wait in a queue.
func waitAll(q *Queue, now time.Time, answers []int) []*Request {
	var out []*Request
	for _, n := range answers {
		x := &Request{Route: "r", Goal: time.Second, Arrived: now, Deadline: now.Add(8 * time.Second), Patience: 8 * time.Second}
		x.Ask = balance.PickOptions{Engine: sizedEngine, Bounds: balance.Bounds{Rank: 6, Mean: 5}, Size: balance.NewSize(sizedEngine, balance.DeclaredSize{Answer: n})}
		if q.Arrive(now, x, nil).Outcome == OutcomeRejected {
			q.waiting = append(q.waiting, x)
			q.sizes.add(x.Ask.Size)
		}
		out = append(out, x)
	}
	return out
}

// TestAnswerForecast guards against forecasts that ignore how long the answers of the waiting
// requests are, and against other forecasts than before if none is declared.
func TestAnswerForecast(t *testing.T) {
	now := time.Unix(1000, 0)
	cases := map[string]struct {
		answers []int
		// mean is the mean answer for the forecast.
		mean float64
	}{
		"none waits":          {nil, 90},
		"nothing is declared": {[]int{0, 0, 0}, 90},
		"usual answers":       {[]int{90, 90}, 90},
		"long answers":        {[]int{360, 360, 360}, 360},
		"short answers":       {[]int{9, 9}, 9},
		"one of three":        {[]int{0, 270, 0}, 150},
		"far off":             {[]int{1 << 40}, 64 * 90},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			q := openQueue(now)
			list := waitAll(q, now, c.answers)
			if got := q.sizes.meanAnswer(sizedEngine.UsualAnswer, len(q.waiting)); got != c.mean {
				t.Errorf("mean answer %.1f, want %.1f", got, c.mean)
			}
			b := balance.Bounds{Rank: 6, Mean: 5}
			rate := max(12*balance.DrainRateOf(sizedEngine, q.pool.GroupLoad(now), b, c.mean), 1)
			want := reportInterval.Seconds() + float64(len(c.answers)+1)/rate
			if got := q.queueWait(now, sizedEngine, b).Seconds(); got < want-1e-6 || got > want+1e-6 {
				t.Errorf("forecast %.4f s, want %.4f s", got, want)
			}
			for _, x := range list {
				q.Leave(x)
				q.Leave(x)
			}
			if q.sizes != (waitingSizes{}) {
				t.Errorf("sizes %+v are left in an empty queue", q.sizes)
			}
		})
	}
}

// TestAdmittedSizes guards against sizes that stay counted after their requests were admitted.
func TestAdmittedSizes(t *testing.T) {
	now := time.Unix(1000, 0)
	u := upstream.Instance{ID: "u0", Service: "s", Address: "a0", State: upstream.StateReady}
	q := NewQueue(balance.NewPool(""))
	waitAll(q, now, []int{30, 0, 400})
	if grants := q.Admit(now, []upstream.Instance{u}); len(grants) != 3 || q.sizes != (waitingSizes{}) {
		t.Errorf("%d admitted, sizes %+v are left", len(grants), q.sizes)
	}
}

// TestPromptForecast guards against requests with long prompts that wait until their callers leave
// before the first event, and against other waits than before for requests without a declared
// prompt.
func TestPromptForecast(t *testing.T) {
	now := time.Unix(1000, 0)
	q := openQueue(now)
	load := q.pool.GroupLoad(now)
	cases := map[string]struct {
		prompt int
		want   time.Duration
	}{
		"not declared": {0, silentStreamTimeout - balance.FirstEvent(sizedEngine, load)},
		"usual":        {835, silentStreamTimeout - balance.FirstEvent(sizedEngine, load)},
		"long":         {12_000, silentStreamTimeout - balance.FirstEventOf(sizedEngine, load, 12_000)},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			x := &Request{Ask: balance.PickOptions{Engine: sizedEngine, Size: balance.NewSize(sizedEngine, balance.DeclaredSize{Prompt: c.prompt})}}
			if got := q.maxSilentWait(now, x, false); got != max(c.want, 0) {
				t.Errorf("waits %s, want %s", got, c.want)
			}
		})
	}
	if q.maxSilentWait(now, &Request{Ask: balance.PickOptions{Engine: sizedEngine, Size: balance.Size{Prompt: 12_000, PromptDeclared: true}}}, false) >= cases["usual"].want {
		t.Error("a long prompt does not shorten the wait")
	}
}
