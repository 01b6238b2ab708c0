// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package replay

import (
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"fawnwinch.org/fawnwinch/models/request"
	"fawnwinch.org/fawnwinch/models/upstream"
	"fawnwinch.org/fawnwinch/services/peer"
	"fawnwinch.org/fawnwinch/services/quarantine"
)

const (
	// crashRanks and crashRouters are the sizes of the modelled group and of its set of routers.
	crashRanks, crashRouters = 12, 6
	// abortDelay is the time from the crash of a rank until the other ranks abort their requests,
	// and recoveryTime the time until the group serves again.
	abortDelay, recoveryTime = 1500 * time.Millisecond, 3700 * time.Millisecond
	// learnTime is the time within which every router must know of a request that has crashed three
	// upstreams, and maxLateSends how often it may still be sent after that.
	learnTime    = 3 * time.Second
	maxLateSends = 3
	// crashDelay is the time from the first output of the faulty request until it crashes its rank.
	crashDelay = 100 * time.Millisecond
	// faulty is the content of the request that crashes ranks, and hot the content that many
	// callers request.
	faulty, hot request.Digest = 1, 2
	// loadDuration is how long new callers arrive.
	loadDuration = 60 * time.Second
)

// crashPattern is a load on a group whose ranks crash.
type crashPattern struct {
	// hotFraction is the fraction of the requests that have the hot content from hotFrom on, and
	// retries how often a caller retries a failed request.
	hotFraction float64
	hotFrom     time.Duration
	retries     int
	// crashes holds the times at which ranks crash for other reasons than a request, and how many
	// crash at once.
	crashes map[time.Duration]int
	// faults holds the times at which the faulty request is sent, each time through a random
	// router.
	faults []time.Duration
	// resets holds the times at which all connections are reset although every rank keeps running.
	resets []time.Duration
}

// attemptTimes returns the times of n attempts at a fixed interval.
func attemptTimes(from, every time.Duration, n int) []time.Duration {
	var out []time.Duration
	for i := range n {
		out = append(out, from+time.Duration(i)*every)
	}
	return out
}

// crashRun is an attempt that runs at a rank.
type crashRun struct {
	content     request.Digest
	router      int
	retries     int
	sent, first time.Duration
	done        bool
}

// crashRank is one rank; incarnation identifies the current run of its process.
type crashRank struct {
	incarnation int
	runs        []*crashRun
}

// crashWorld simulates a pattern on virtual time.
type crashWorld struct {
	p          crashPattern
	rng        *rand.Rand
	now        time.Duration
	queue      eventQueue
	seq        int
	routers    [crashRouters]*quarantine.Register
	watermarks [crashRouters][crashRouters]peer.Watermark
	ranks      [crashRanks]*crashRank
	started    int
	// openAt is the time from which the group serves again.
	openAt time.Duration
	next   request.Digest
	// crashTimes holds the times at which the faulty request crashed a rank.
	crashTimes []time.Duration
	// lateSends counts the sends of the faulty request after learnTime, refused the refused
	// attempts of other requests, held those postponed because the same content was already
	// running, and served the completed ones.
	lateSends, refused, held, served int
}

var crashStart = time.Unix(1_800_000_000, 0)

func (w *crashWorld) time() time.Time { return crashStart.Add(w.now) }

func (w *crashWorld) after(d time.Duration, f func()) {
	w.seq++
	heap.Push(&w.queue, event{at: w.time().Add(d), seq: w.seq, run: f})
}

func playCrashes(p crashPattern, seed uint64) *crashWorld {
	w := &crashWorld{p: p, rng: rand.New(rand.NewPCG(seed, 0)), next: 100}
	for i := range w.routers {
		w.routers[i] = quarantine.NewRegister(crashStart.Add(time.Duration(i)))
	}
	for i := range w.ranks {
		w.start(i)
	}
	w.arrive()
	w.gossip()
	for _, at := range slices.Sorted(maps.Keys(p.crashes)) {
		n := p.crashes[at]
		w.after(at, func() {
			for i := range n {
				w.crash(i)
			}
		})
	}
	for _, at := range p.faults {
		w.after(at, func() { w.try(faulty, 0) })
	}
	for _, at := range p.resets {
		w.after(at, w.abortAll)
	}
	for w.queue.Len() > 0 {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at.Sub(crashStart)
		e.run()
	}
	return w
}

func (w *crashWorld) start(i int) {
	w.started++
	w.ranks[i] = &crashRank{incarnation: w.started}
}

// arrive simulates the arrival of a caller and schedules the next one.
func (w *crashWorld) arrive() {
	if w.now > loadDuration {
		return
	}
	content := hot
	if w.rng.Float64() >= w.p.hotFraction || w.now < w.p.hotFrom {
		w.next++
		content = w.next
	}
	w.try(content, w.p.retries)
	w.after(time.Duration(w.rng.ExpFloat64()*float64(18*time.Millisecond)), w.arrive)
}

// gossip sends the new entries of each router to a random router, every 200 ms.
func (w *crashWorld) gossip() {
	for from, r := range w.routers {
		to := w.rng.IntN(crashRouters)
		updates := r.ChangedSince(w.time(), w.watermarks[to][from])
		w.watermarks[to][from] = r.Watermark()
		w.after(5*time.Millisecond, func() {
			for _, c := range updates {
				w.routers[to].Add(w.time(), c)
			}
		})
	}
	if w.now < loadDuration {
		w.after(200*time.Millisecond, w.gossip)
	}
}

func (w *crashWorld) key(content request.Digest) quarantine.Key {
	return quarantine.Key{Account: "x", Digest: content}
}

// try sends a request through a random router to a random rank.
func (w *crashWorld) try(content request.Digest, retries int) {
	router := w.rng.IntN(crashRouters)
	v := w.routers[router].JudgeKey(w.time(), w.key(content))
	running := false
	for _, r := range w.ranks {
		for _, run := range r.runs {
			running = running || !run.done && run.content == content && run.router == router
		}
	}
	switch {
	case v.Standing == quarantine.StandingRefused:
		if content != faulty {
			w.refused++
		}
		return
	case v.Standing == quarantine.StandingWatched && running:
		if content != faulty {
			w.held++
		}
		return
	case w.now < w.openAt:
		w.retry(content, retries) // the group is not serving
		return
	}
	if content == faulty && len(w.crashTimes) >= 3 && w.now-w.crashTimes[2] > learnTime {
		w.lateSends++
	}
	at := w.rng.IntN(crashRanks)
	run := &crashRun{content: content, router: router, retries: retries, sent: w.now}
	rank := w.ranks[at]
	rank.runs = append(rank.runs, run)
	first := time.Duration(50+w.rng.IntN(200)) * time.Millisecond
	w.after(first, func() { run.first = w.now })
	if content == faulty {
		w.after(first+crashDelay, func() {
			if !run.done && w.ranks[at] == rank {
				w.crashTimes = append(w.crashTimes, w.now)
				w.crash(at)
			}
		})
		return
	}
	w.after(first+time.Duration(600+w.rng.IntN(1400))*time.Millisecond, func() {
		if run.done || w.now < w.openAt {
			return // the group stalls and aborts the request
		}
		run.done = true
		w.served++
		w.routers[router].RecordRun(w.time(), quarantine.Subject{Content: w.key(content)}, quarantine.CompletedRun)
	})
}

func (w *crashWorld) retry(content request.Digest, retries int) {
	if retries > 0 {
		w.after(time.Duration(200+w.rng.IntN(1500))*time.Millisecond, func() { w.try(content, retries-1) })
	}
}

// answerTime returns how long the answer of a run has been arriving.
func (w *crashWorld) answerTime(run *crashRun) time.Duration {
	if run.first == 0 {
		return 0
	}
	return w.now - run.first
}

// crash ends a rank, and routers get connection refused there. The group stalls, and the other
// ranks abort their requests.
func (w *crashWorld) crash(at int) {
	rank := w.ranks[at]
	for _, run := range rank.runs {
		if run.done {
			continue
		}
		run.done = true
		w.routers[run.router].Add(w.time(), quarantine.Crash{
			Key: w.key(run.content), Run: upstream.Run{ID: upstream.ID(fmt.Sprint(rank.incarnation))}, Ran: w.now - run.sent, Lasted: w.answerTime(run),
		})
		w.retry(run.content, run.retries)
	}
	w.openAt = w.now + recoveryTime
	w.start(at)
	w.after(abortDelay, w.abortAll)
}

// abortAll aborts all runs. The ranks stay alive, which their next answers show.
func (w *crashWorld) abortAll() {
	for _, rank := range w.ranks {
		for _, run := range rank.runs {
			if run.done {
				continue
			}
			run.done = true
			if lasted := w.answerTime(run); lasted > 0 {
				w.after(time.Second, func() {
					w.routers[run.router].RecordRun(w.time(), quarantine.Subject{Content: w.key(run.content)}, lasted)
				})
			}
			w.retry(run.content, run.retries)
		}
		rank.runs = nil
	}
}

// TestCrashErrors counts both errors that routers can make when upstreams crash during requests:
// they keep sending the faulty request, or they refuse another one. A crash alone is weak evidence:
// a rank runs several requests when it crashes, many callers may send the same content, and failed
// requests are retried. But the faulty request never completes anywhere.
func TestCrashErrors(t *testing.T) {
	series := map[time.Duration]int{}
	for at := 5 * time.Second; at < 55*time.Second; at += 4 * time.Second {
		series[at] = 1
	}
	sparse := map[time.Duration]int{6 * time.Second: 1, 18 * time.Second: 1, 30 * time.Second: 1, 42 * time.Second: 1}
	racks := map[time.Duration]int{5 * time.Second: 4, 15 * time.Second: 4, 25 * time.Second: 4, 35 * time.Second: 4}
	every := 4500 * time.Millisecond
	cases := map[string]crashPattern{
		"unrelated crashes in series":                                       {retries: 4, crashes: series},
		"unrelated crashes in series, many requests alike":                  {retries: 4, hotFraction: 0.5, crashes: series},
		"unrelated crashes in series, many requests become alike":           {retries: 4, hotFraction: 0.5, hotFrom: 6 * time.Second, crashes: series},
		"racks lose power, many requests alike":                             {retries: 4, hotFraction: 0.3, crashes: racks},
		"all ranks crash twice, many requests alike":                        {retries: 4, hotFraction: 0.3, crashes: map[time.Duration]int{5 * time.Second: crashRanks, 12 * time.Second: crashRanks}},
		"connections are reset":                                             {retries: 4, hotFraction: 0.3, resets: attemptTimes(time.Second, 1500*time.Millisecond, 30)},
		"a faulty request":                                                  {retries: 1, faults: attemptTimes(5*time.Second, every, 10)},
		"a faulty request, two at a time":                                   {retries: 1, faults: append(attemptTimes(5*time.Second, every, 10), attemptTimes(5*time.Second, every, 10)...)},
		"a faulty request, three at a time":                                 {retries: 1, faults: append(attemptTimes(5*time.Second, every, 10), append(attemptTimes(5*time.Second, every, 10), attemptTimes(5*time.Second, every, 10)...)...)},
		"a faulty request, often":                                           {retries: 1, faults: attemptTimes(5*time.Second, 300*time.Millisecond, 100)},
		"a faulty request, many other requests alike":                       {retries: 4, hotFraction: 0.5, faults: attemptTimes(5*time.Second, every, 10)},
		"a faulty request among unrelated crashes":                          {retries: 4, hotFraction: 0.3, faults: attemptTimes(11*time.Second, every, 10), crashes: sparse},
		"a faulty request while connections are reset, many requests alike": {retries: 4, hotFraction: 0.3, faults: attemptTimes(5*time.Second, every, 10), resets: attemptTimes(time.Second, 1500*time.Millisecond, 30)},
	}
	const seeds = 20
	for name, p := range cases {
		t.Run(name, func(t *testing.T) {
			var crashes, lateSends, refused, held, served int
			for seed := range uint64(seeds) {
				w := playCrashes(p, seed)
				if w.lateSends > maxLateSends || w.refused > 0 {
					t.Errorf("seed %d: faulty request sent %d times too late (at most %d allowed), %d attempts of other requests refused", seed, w.lateSends, maxLateSends, w.refused)
				}
				crashes, lateSends, refused, held, served = crashes+len(w.crashTimes), lateSends+w.lateSends, refused+w.refused, held+w.held, served+w.served
			}
			t.Logf("%d runs: %.1f crashes by the faulty request, %.2f late sends; other requests: %d served, %d refused, %d held back", seeds, float64(crashes)/seeds, float64(lateSends)/seeds, served, refused, held)
		})
	}
}
