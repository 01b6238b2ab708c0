// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"fawnwinch.org/fawnwinch/models/request"
	"fawnwinch.org/fawnwinch/models/service"
	"fawnwinch.org/fawnwinch/models/upstream"
	"fawnwinch.org/fawnwinch/services/peer"
)

const (
	// blameValid is how long the blame of a service's parts is kept while no evidence changes:
	// shares of requests change slowly.
	blameValid = 200 * time.Millisecond
	// chanceRatio is the number of unfamiliar parts at one crash only for each at several, from which
	// the latter are likely to be there by chance too.
	chanceRatio = 4
)

// blame holds the parts of a service that are to blame for crashes.
type blame struct {
	at       time.Time
	position peer.Position
	// parts maps each part to its crashes beyond those that it took to blame it.
	parts map[Key]int
}

// blamed reports whether a part is to blame for crashes, and how many there were beyond those that
// it took to blame it: these are mostly tests that failed.
func (r *Register) blamed(now time.Time, k Key) (beyond int, ok bool) {
	b, known := r.blames[k.Service]
	if !known || b.position != r.position || now.Sub(b.at) > blameValid {
		b = blame{at: now, position: r.position, parts: r.blameParts(k.Service)}
		r.blames[k.Service] = b
	}
	beyond, ok = b.parts[k]
	return beyond, ok
}

// candidate is a part that may be to blame.
type candidate struct {
	key      Key
	rec      *record
	familiar bool
	// requests is the present number of requests that have the part.
	requests int
	// total is the weight of all crashes, and weight that of those that are not explained so far.
	total, weight int
}

// suspects holds what is known of the parts of a service that were at crashes.
type suspects struct {
	candidates []candidate
	// doubtful holds the crashes at which there was an unfamiliar part.
	doubtful map[upstream.Run]bool
	// singles is the number of unfamiliar parts that were at one crash.
	singles int
}

// suspectsOf returns the suspects of a service.
func (r *Register) suspectsOf(id service.ID) suspects {
	s := suspects{doubtful: map[upstream.Run]bool{}}
	for k, rec := range r.records {
		if k.Service != id || !k.IsPart() {
			continue
		}
		familiar, weight := rec.familiar(), r.partWeight(rec, nil)
		if !familiar {
			rec.explain(s.doubtful)
		}
		switch {
		case weight >= partThreshold:
			s.candidates = append(s.candidates, candidate{key: k, rec: rec, familiar: familiar, requests: r.frequencies.requests(k), total: weight, weight: weight})
		case weight > 0 && !familiar:
			s.singles++
		}
	}
	return s
}

// explain adds the crashes under a part that are not cleared to those that are explained.
func (rec *record) explain(explained map[upstream.Run]bool) {
	for run, c := range rec.crashes {
		if !c.cleared {
			explained[run] = true
		}
	}
}

// blameParts returns the parts that are to blame. Sound requests share all other parts of the
// prompts at fault, and while every answer breaks off nothing clears these. So parts are blamed one
// after the other, see candidate.compare, and each explains the crashes under it.
func (r *Register) blameParts(id service.ID) map[Key]int {
	s := r.suspectsOf(id)
	out, explained := map[Key]int{}, map[upstream.Run]bool{}
	choose := func(c candidate) {
		out[c.key] = r.beyond(c, explained, s.doubtful)
		c.rec.explain(explained)
		for i, o := range s.candidates {
			s.candidates[i].weight = r.partWeight(o.rec, explained)
		}
	}
	if c, ok := r.turned(s); ok {
		choose(c)
	}
	for {
		s.candidates = slices.DeleteFunc(s.candidates, func(c candidate) bool { return r.beyond(c, explained, s.doubtful) < 0 })
		if len(s.candidates) == 0 {
			return out
		}
		choose(slices.MinFunc(s.candidates, candidate.compare))
	}
}

// turned returns the familiar part that has most likely turned bad, if there is one: it is not
// common, and the unfamiliar parts at its crashes were there by chance. They do not explain all of
// them, or each explains at most half of them where many others were at one crash only.
func (r *Register) turned(s suspects) (candidate, bool) {
	explained, most, unfamiliar := map[upstream.Run]bool{}, 0, 0
	for _, c := range s.candidates {
		if !c.familiar {
			c.rec.explain(explained)
			most, unfamiliar = max(most, c.total), unfamiliar+1
		}
	}
	chance := s.singles >= chanceRatio*unfamiliar
	likely := slices.DeleteFunc(slices.Clone(s.candidates), func(c candidate) bool {
		if !c.familiar || c.total < familiarThreshold || c.rec.common {
			return true
		}
		return r.partWeight(c.rec, explained) == 0 && (!chance || c.total < 2*most)
	})
	if len(likely) == 0 {
		return candidate{}, false
	}
	return slices.MinFunc(likely, candidate.compare), true
}

// beyond returns the weight of the crashes that are not explained so far beyond what is needed to blame
// a part; negative if there are too few. For a familiar part, those at which there was an unfamiliar
// suspect are doubtful.
func (r *Register) beyond(c candidate, explained, doubtful map[upstream.Run]bool) int {
	if !c.familiar {
		return c.weight - partThreshold
	}
	without := maps.Clone(doubtful)
	maps.Copy(without, explained)
	return max(c.weight-familiarThreshold, r.partWeight(c.rec, without)-partThreshold)
}

// compare orders candidates, the most likely one first: unfamiliar parts come before familiar ones,
// then those that were at more crashes, explained or not, and those that explain more of them, then
// those that fewer requests have: a sound part of the prompts at fault is in other requests too.
func (c candidate) compare(o candidate) int {
	if c.familiar != o.familiar {
		if o.familiar {
			return -1
		}
		return 1
	}
	return cmp.Or(
		cmp.Compare(o.total, c.total),
		cmp.Compare(o.weight, c.weight),
		cmp.Compare(c.requests, o.requests),
		cmp.Compare(o.rec.depth(), c.rec.depth()),
		cmp.Compare(c.key.Part, o.key.Part),
	)
}

// partWeight returns how strongly the crashes that are not explained by other parts incriminate a
// part: the number of batches with different contents, see batches. A batch counts only if the part
// was at half of the upstreams at least that ended at about that time, see commonAbout.
func (r *Register) partWeight(rec *record, explained map[upstream.Run]bool) int {
	var crashes []*crash
	for run, c := range rec.crashes {
		if !c.cleared && !explained[run] {
			crashes = append(crashes, c)
		}
	}
	weight, contents := 0, map[request.Digest]bool{}
	for _, batch := range batches(crashes) {
		if !r.commonAbout(rec, batch[0].at, batch[len(batch)-1].at) {
			continue
		}
		before := len(contents)
		for _, c := range batch {
			contents[c.content] = true
		}
		if len(contents) > before {
			weight++
		}
	}
	return weight
}

// ends holds when each upstream ended under a request.
type ends struct {
	position peer.Position
	at       []time.Time
}

// commonAbout reports whether a part was at half at least of the upstreams that ended between two
// times, within simultaneousWindow: what ends a rack, a data centre or a group is no request. Of a
// record that is full, the crashes before the oldest one that is kept are unknown.
func (r *Register) commonAbout(rec *record, from, to time.Time) bool {
	from, to = from.Add(-simultaneousWindow), to.Add(simultaneousWindow)
	if len(rec.crashes) == maxCrashes && from.Before(rec.oldest().at) {
		from = rec.oldest().at
	}
	n := 0
	for _, c := range rec.crashes {
		if !c.cleared && !c.at.Before(from) && !c.at.After(to) {
			n++
		}
	}
	return 2*n >= r.endedBetween(from, to)
}

// endedBetween returns the number of upstreams that ended under requests between two times.
func (r *Register) endedBetween(from, to time.Time) int {
	if r.ends.position != r.position {
		at := map[upstream.Run]time.Time{}
		for _, rec := range r.records {
			for run, c := range rec.crashes {
				at[run] = c.at
			}
		}
		r.ends = ends{position: r.position, at: slices.SortedFunc(maps.Values(at), time.Time.Compare)}
	}
	first, _ := slices.BinarySearchFunc(r.ends.at, from, time.Time.Compare)
	last, _ := slices.BinarySearchFunc(r.ends.at, to.Add(1), time.Time.Compare)
	return last - first
}

// familiar reports whether requests with a part were answered before it was first in flight at a
// crash.
func (rec *record) familiar() bool {
	first := rec.oldest()
	return first != nil && first.familiar
}

// oldest returns the oldest crash of a record, or nil if it has none.
func (rec *record) oldest() *crash {
	var oldest *crash
	for _, c := range rec.crashes {
		if oldest == nil || c.at.Before(oldest.at) {
			oldest = c
		}
	}
	return oldest
}

// depth returns the greatest depth at which a part was in a prompt.
func (rec *record) depth() int {
	depth := 0
	for _, c := range rec.crashes {
		depth = max(depth, c.depth)
	}
	return depth
}

// refusedFor returns how long a part is refused after its latest crash, if it had some crashes beyond
// those that it took to blame it. Refusing a familiar part stops sound requests too if it is blamed
// wrongly, so it is tested soon, a common one sooner, and later after each test that failed.
func (rec *record) refusedFor(beyond int) time.Duration {
	if !rec.familiar() {
		return refusalDuration
	}
	d, factor := familiarRefusalDuration, 2
	if rec.common {
		d, factor = commonRefusalDuration, 4
	}
	for range min(beyond, maxCrashes) {
		d = min(time.Duration(factor)*d, refusalDuration)
	}
	return d
}
