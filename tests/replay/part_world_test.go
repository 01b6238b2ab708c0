// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package replay

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"fawnwinch.org/fawnwinch/models/account"
	"fawnwinch.org/fawnwinch/models/prompt"
	"fawnwinch.org/fawnwinch/models/request"
	"fawnwinch.org/fawnwinch/models/upstream"
	"fawnwinch.org/fawnwinch/services/peer"
	"fawnwinch.org/fawnwinch/services/quarantine"
)

// partRequest is a request of a caller.
type partRequest struct {
	subject quarantine.Subject
	retries int
	arrived time.Duration
	router  int
}

// partRun is a request that runs at a rank.
type partRun struct {
	*partRequest

	sent, first time.Duration
	done        bool
}

// partRank is the current process of a rank.
type partRank struct {
	incarnation int
	runs        []*partRun
}

// partWorld simulates a pattern on virtual time.
type partWorld struct {
	p          partPattern
	rng        *rand.Rand
	now        time.Duration
	queue      eventQueue
	seq        int
	routers    [crashRouters]*quarantine.Register
	watermarks [crashRouters][crashRouters]peer.Watermark
	ranks      [crashRanks]*partRank
	started    int
	openAt     time.Duration
	waiting    []*partRequest
	next       request.Digest
	// badCrashes holds when requests with each bad part crashed ranks.
	badCrashes map[quarantine.Key][]time.Duration
	// firstCrash is when the first of them did; 0 for never.
	firstCrash time.Duration
	// lateSends counts the requests with a bad part that were sent later than learnTime after the
	// fifth crash, badServed those that were answered. refused counts sound requests that were
	// refused for a part, and served those that were answered.
	lateSends, badServed, refused, served int
	// sharing counts the sound requests with the first part of the bad ones that arrived later than
	// twice learnTime after the first crash by a bad part, and sharingRefused those that were refused.
	sharing, sharingRefused int
	// refusedFrom is when the last router began to refuse the bad parts, by the first refusal there.
	refusedAt [crashRouters]time.Duration
}

func playParts(p partPattern, seed uint64) *partWorld {
	w := &partWorld{p: p, rng: rand.New(rand.NewPCG(seed, 58)), next: 100, badCrashes: map[quarantine.Key][]time.Duration{}}
	for i := range w.routers {
		w.routers[i] = quarantine.NewRegister(crashStart.Add(time.Duration(i)))
	}
	for i := range w.ranks {
		w.start(i)
	}
	w.arrive()
	if p.bad > 0 {
		w.after(p.badFrom, w.arriveBad)
	}
	w.gossip()
	for at, n := range p.crashes {
		w.after(at, func() {
			for i := range n {
				w.crash(i)
			}
		})
	}
	for at, n := range p.restarts {
		w.after(at, func() {
			for i := range n {
				// The store keeps what is refused.
				refused := w.routers[i].Refused(w.time())
				w.routers[i] = quarantine.NewRegister(w.time().Add(time.Duration(i)))
				for _, e := range refused {
					w.routers[i].Restore(w.time(), e)
				}
			}
		})
	}
	if p.nonsense {
		w.reportNonsense()
	}
	for w.queue.Len() > 0 {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at.Sub(crashStart)
		e.run()
	}
	return w
}

func (r *partRank) run() upstream.Run {
	return upstream.Run{ID: upstream.ID(fmt.Sprint(r.incarnation))}
}

func (w *partWorld) time() time.Time { return crashStart.Add(w.now) }

func (w *partWorld) after(d time.Duration, f func()) {
	w.seq++
	heap.Push(&w.queue, event{at: w.time().Add(d), seq: w.seq, run: f})
}

func (w *partWorld) start(i int) {
	w.started++
	w.ranks[i] = &partRank{incarnation: w.started}
}

// newRequest returns a request whose prompt has some shared parts.
func (w *partWorld) newRequest(parts ...prompt.Part) *partRequest {
	w.next++
	a := account.ID(fmt.Sprint("a", w.rng.IntN(10)))
	return &partRequest{subject: quarantine.NewSubject(a, w.next, "s", parts), retries: 1, arrived: w.now}
}

// badFirst is the first part of the requests with a bad part.
const badFirst = prompt.Part("first-0")

func (w *partWorld) bad() prompt.Part {
	return prompt.Part(fmt.Sprint("bad-", w.rng.IntN(w.p.bad)))
}

// arrive simulates the arrival of a sound caller and schedules the next one.
func (w *partWorld) arrive() {
	if w.now > w.p.duration {
		return
	}
	// The popularity of first parts falls with the square root of their rank.
	u := w.rng.Float64()
	parts := []prompt.Part{prompt.Part(fmt.Sprint("first-", int(u*u*firstParts)))}
	if w.rng.Float64() < w.p.common {
		parts[0] = badFirst
	}
	switch {
	case w.p.soundBefore && w.now < w.p.badFrom && w.rng.Float64() < 0.03:
		parts = append(parts, w.bad())
	case w.rng.Float64() < w.p.documents:
		parts = append(parts, prompt.Part(fmt.Sprint("document-", w.rng.IntN(documents))))
	}
	w.try(w.newRequest(parts...))
	w.after(time.Duration(w.rng.ExpFloat64()*float64(time.Second)/partRate), w.arrive)
}

// arriveBad simulates the arrival of a request with a bad part.
func (w *partWorld) arriveBad() {
	if w.now > w.p.duration {
		return
	}
	parts := []prompt.Part{badFirst, w.bad()}
	if w.p.behind {
		parts = append(parts, "document-0")
	}
	w.try(w.newRequest(parts...))
	w.after(time.Duration(w.rng.ExpFloat64()/w.p.badRate*float64(time.Second)), w.arriveBad)
}

// badPart returns the bad part of a request, whether the ranks are mended or not; the zero key if it
// has none.
func (x *partRequest) badPart() quarantine.Key {
	for _, k := range x.subject.Parts {
		if strings.HasPrefix(string(k.Part), "bad") {
			return k
		}
	}
	return quarantine.Key{}
}

func (x *partRequest) isBad() bool { return x.badPart() != quarantine.Key{} }

// allCrashes returns when requests with bad parts crashed ranks.
func (w *partWorld) allCrashes() []time.Duration {
	var out []time.Duration
	for _, times := range w.badCrashes {
		out = append(out, times...)
	}
	return out
}

// try sends a request to a random router.
func (w *partWorld) try(x *partRequest) {
	x.router = w.rng.IntN(crashRouters)
	w.routers[x.router].Count(w.time(), x.subject)
	refused := w.refused
	allowed := w.allowed(x)
	if w.firstCrash > 0 && w.now > w.firstCrash+2*learnTime && !x.isBad() && x.subject.Parts[0].Part == badFirst {
		w.sharing++
		w.sharingRefused += w.refused - refused
	}
	if !allowed {
		return
	}
	if w.now < w.openAt {
		w.waiting = append(w.waiting, x)
		w.after(partWait, func() {
			if i := slices.Index(w.waiting, x); i >= 0 {
				w.waiting = slices.Delete(w.waiting, i, i+1)
				w.retry(x)
			}
		})
		return
	}
	w.send(x)
}

// allowed reports whether the router of a request may send it.
func (w *partWorld) allowed(x *partRequest) bool {
	v := w.routers[x.router].Judge(w.time(), x.subject)
	refused := v.Standing == quarantine.StandingRefused
	if v.Standing == quarantine.StandingWatched {
		// One router tests what was refused, with one request at a time.
		refused = x.router != 0
		for _, r := range w.ranks {
			for _, run := range r.runs {
				refused = refused || !run.done && slices.Contains(run.subject.Keys(), v.Key)
			}
		}
	}
	switch {
	case !refused:
		return true
	case !x.isBad():
		w.refused++
	case w.refusedAt[x.router] == 0:
		w.refusedAt[x.router] = w.now
	}
	return false
}

// send sends a request to a random rank with a free slot.
func (w *partWorld) send(x *partRequest) {
	var free []int
	for i, r := range w.ranks {
		if len(r.runs) < partSlots {
			free = append(free, i)
		}
	}
	if len(free) == 0 {
		w.retry(x)
		return
	}
	bad := x.isBad() && w.now >= w.p.badFrom && (w.p.badUntil == 0 || w.now < w.p.badUntil)
	if crashed := w.badCrashes[x.badPart()]; bad && len(crashed) >= fifthCrash && w.now-crashed[fifthCrash-1] > learnTime {
		w.lateSends++
	}
	at := free[w.rng.IntN(len(free))]
	rank, run := w.ranks[at], &partRun{partRequest: x, sent: w.now}
	rank.runs = append(rank.runs, run)
	first := time.Duration(60+w.rng.IntN(150)) * time.Millisecond
	if w.p.instant && bad {
		first = 50 * time.Millisecond
	}
	alive := func(f func()) func() {
		return func() {
			if !run.done && w.ranks[at] == rank && w.now >= w.openAt {
				f()
			}
		}
	}
	if bad {
		w.after(first, alive(func() {
			w.badCrashes[x.badPart()] = append(w.badCrashes[x.badPart()], w.now)
			if w.firstCrash == 0 {
				w.firstCrash = w.now
			}
			w.crash(at)
		}))
		return
	}
	w.after(first, alive(func() { run.first = w.now }))
	for _, since := range []time.Duration{partPass, 2 * partPass} {
		w.after(first+since, alive(func() { w.routers[x.router].RecordPartRun(w.time(), x.subject, w.now-run.first) }))
	}
	w.after(first, alive(func() { w.routers[x.router].RecordAnswer(w.time(), rank.run()) }))
	w.after(first+time.Duration(600+w.rng.IntN(1400))*time.Millisecond, alive(func() {
		w.end(rank, run)
		if w.served++; x.isBad() {
			w.badServed++
		}
		w.routers[x.router].RecordRun(w.time(), x.subject, quarantine.CompletedRun)
	}))
}

func (w *partWorld) end(rank *partRank, run *partRun) {
	run.done = true
	rank.runs = slices.DeleteFunc(rank.runs, func(r *partRun) bool { return r == run })
}

func (w *partWorld) retry(x *partRequest) {
	if x.retries > 0 {
		again := *x
		again.retries--
		w.after(partRetry, func() { w.try(&again) })
	}
}

// crash ends a rank. The group stands still: the other ranks abort their requests later, and it opens
// again after a while.
func (w *partWorld) crash(at int) {
	rank := w.ranks[at]
	for _, run := range rank.runs {
		run.done = true
		lasted := time.Duration(0)
		if run.first > 0 {
			lasted = w.now - run.first
		}
		w.routers[run.router].AddCrash(w.time(), run.subject, quarantine.Crash{
			Run: rank.run(), Ran: w.now - run.sent, Lasted: lasted,
		})
		w.retry(run.partRequest)
	}
	w.openAt = w.now + recoveryTime
	w.start(at)
	w.after(abortDelay, w.abortAll)
	w.after(recoveryTime, func() {
		if w.now < w.openAt {
			return // another rank crashed meanwhile
		}
		waiting := w.waiting
		w.waiting = nil
		for _, x := range waiting {
			if w.allowed(x) {
				w.send(x)
			}
		}
	})
}

// abortAll aborts all runs. The ranks go on, which their next answers show.
func (w *partWorld) abortAll() {
	if w.now >= w.openAt {
		return
	}
	for _, rank := range w.ranks {
		for _, run := range rank.runs {
			run.done = true
			if run.first > 0 {
				at, lasted := w.time().Add(-abortDelay), w.now-abortDelay-run.first
				w.after(recoveryTime, func() { w.routers[run.router].RecordRun(at, run.subject, lasted) })
			}
			w.retry(run.partRequest)
		}
		rank.runs = nil
	}
}
