// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package quarantine

import (
	"time"

	"fawnwinch.org/fawnwinch/models/service"
)

const (
	// frequencyTime is the time after which a count of requests begins anew. The one before it is
	// kept, so that counts are those of the latest one to two of these times.
	frequencyTime = 30 * time.Second
	// maxFrequent bounds the parts of a service that are counted. What is not counted is taken for
	// rare: the frequent ones are met first.
	maxFrequent = 2048
	// commonShare is the share of the requests from which a part is common: it is at most upstreams
	// that end by chance, and refusing it would stop many sound requests.
	commonShare = 0.1
)

// frequency counts the requests of a service with each part of their prompts.
type frequency struct {
	latest, earlier map[Key]int
	// latestAll and earlierAll count all requests.
	latestAll, earlierAll int
	since                 time.Time
}

// add counts a request.
func (f *frequency) add(now time.Time, parts []Key) {
	if now.Sub(f.since) > frequencyTime || f.latest == nil {
		f.earlier, f.latest, f.since = f.latest, map[Key]int{}, now
		f.earlierAll, f.latestAll = f.latestAll, 0
	}
	f.latestAll++
	for _, k := range parts {
		if _, ok := f.latest[k]; ok || len(f.latest) < maxFrequent {
			f.latest[k]++
		}
	}
}

// requests returns the number of requests that have a part.
func (f *frequency) requests(k Key) int { return f.latest[k] + f.earlier[k] }

// frequencies holds the frequency of each service.
type frequencies map[service.ID]*frequency

func (f frequencies) add(now time.Time, parts []Key) {
	if len(parts) == 0 {
		return
	}
	id := parts[0].Service
	known, ok := f[id]
	if !ok {
		known = &frequency{}
		f[id] = known
	}
	known.add(now, parts)
}

// requests returns the number of requests that have a part.
func (f frequencies) requests(k Key) int {
	known, ok := f[k.Service]
	if !ok {
		return 0
	}
	return known.requests(k)
}

// common reports whether a large share of the requests has a part.
func (f frequencies) common(k Key) bool {
	known, ok := f[k.Service]
	return ok && float64(known.requests(k)) > commonShare*float64(known.latestAll+known.earlierAll)
}
