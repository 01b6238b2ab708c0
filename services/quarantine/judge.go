// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package quarantine

import (
	"slices"
	"time"
)

// Judge returns the verdict on a request: the strictest one on its content and on the parts of its
// prompt.
func (r *Register) Judge(now time.Time, s Subject) Verdict {
	out, suspects := r.judgeContent(now, s.Content), 0
	for _, k := range s.Parts {
		v := r.judgePart(now, k)
		if v.Standing != StandingFree {
			suspects++
		}
		if v.Standing.severity() > out.Standing.severity() {
			out = v
		}
	}
	if out.Test && suspects > 1 {
		// A crash would not tell which of the parts is at fault.
		return Verdict{Standing: StandingRefused, Key: out.Key, Until: now.Add(testRetryTime)}
	}
	return out
}

// JudgeKey returns the verdict on a content or a part.
func (r *Register) JudgeKey(now time.Time, k Key) Verdict {
	if k.IsPart() {
		return r.judgePart(now, k)
	}
	return r.judgeContent(now, k)
}

func (r *Register) judgeContent(now time.Time, k Key) Verdict {
	rec, ok := r.records[k]
	if !ok || len(rec.crashes) < watchThreshold {
		return Verdict{Standing: StandingFree}
	}
	n, until := r.weight(rec), rec.latest.Add(refusalDuration)
	switch {
	case n < watchThreshold || now.Sub(rec.latest) >= retention:
		return Verdict{Standing: StandingFree}
	case n < refuseThreshold:
		return Verdict{Standing: StandingWatched, Key: k}
	case !now.Before(until):
		return Verdict{Standing: StandingWatched, Key: k, Test: true}
	}
	return Verdict{Standing: StandingRefused, Key: k, Until: until}
}

func (r *Register) judgePart(now time.Time, k Key) Verdict {
	rec, ok := r.records[k]
	if !ok || now.Sub(rec.latest) >= retention {
		return Verdict{Standing: StandingFree}
	}
	if r.partWeight(rec, nil) == 0 {
		return Verdict{Standing: StandingFree}
	}
	beyond, blamed := r.blamed(now, k)
	if !blamed {
		return Verdict{Standing: StandingSuspect, Key: k}
	}
	until := rec.latest.Add(rec.refusedFor(beyond))
	if !now.Before(until) {
		return Verdict{Standing: StandingWatched, Key: k, Test: true}
	}
	return Verdict{Standing: StandingRefused, Key: k, Until: until}
}

// batches divides crashes into batches in order of time: a batch consists of a crash and those
// directly after it whose attempts were sent before that first crash. A batch counts as one, because
// a rack that loses power ends many upstreams whatever runs there.
func batches(crashes []*crash) [][]*crash {
	slices.SortFunc(crashes, func(a, b *crash) int { return a.at.Compare(b.at) })
	var out [][]*crash
	for len(crashes) > 0 {
		n := 1
		for n < len(crashes) && crashes[n].sent.Before(crashes[0].at) {
			n++
		}
		out = append(out, crashes[:n])
		crashes = crashes[n:]
	}
	return out
}

// weight returns how strongly the uncleared crashes incriminate a content: the number of batches. A
// batch of several crashes counts as two if all upstreams that crashed at about that time ran the
// request, see ranOnAll.
func (r *Register) weight(rec *record) int {
	var crashes []*crash
	for _, c := range rec.crashes {
		if !c.cleared {
			crashes = append(crashes, c)
		}
	}
	weight := 0
	for _, batch := range batches(crashes) {
		weight++
		if n := len(batch); n > 1 && r.ranOnAll(rec, batch[0].at, batch[n-1].at) {
			weight++
		}
	}
	return weight
}

// ranOnAll reports whether all upstreams with crashes between from and to, within
// simultaneousWindow, ran the request of the record.
func (r *Register) ranOnAll(rec *record, from, to time.Time) bool {
	from, to = from.Add(-simultaneousWindow), to.Add(simultaneousWindow)
	for k, other := range r.records {
		if k.IsPart() {
			continue // the crashes of its contents are recorded too
		}
		for run, c := range other.crashes {
			if _, ok := rec.crashes[run]; !ok && !c.at.Before(from) && !c.at.After(to) {
				return false
			}
		}
	}
	return true
}
