// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package quarantine

import (
	"time"

	"fawnwinch.org/fawnwinch/models/service"
)

const (
	// frequencyTime is the time after which a count of requests begins anew. The one before it is
	// kept, so that shares are those of the latest one to two of these times.
	frequencyTime = 30 * time.Second
	// maxFrequent bounds the parts of a service that are counted. What is not counted is taken for
	// rare: the frequent ones are met first.
	maxFrequent = 2048
	// minCounted is the number of requests below which a part has no share. What crashes upstreams
	// was requested a few times at most before the first crash.
	minCounted = 8
)

// frequency counts the requests of a service and those with each part of their prompts.
type frequency struct {
	latest, earlier count
	since           time.Time
}

// count counts requests for some time.
type count struct {
	requests int
	parts    map[Key]int
}

// add counts a request.
func (f *frequency) add(now time.Time, parts []Key) {
	if now.Sub(f.since) > frequencyTime || f.latest.parts == nil {
		f.earlier, f.latest, f.since = f.latest, count{parts: map[Key]int{}}, now
	}
	f.latest.requests++
	for _, k := range parts {
		if _, ok := f.latest.parts[k]; ok || len(f.latest.parts) < maxFrequent {
			f.latest.parts[k]++
		}
	}
}

// requests returns the number of requests that have a part.
func (f *frequency) requests(k Key) int { return f.latest.parts[k] + f.earlier.parts[k] }

// share returns the share of the service's requests that have a part.
func (f *frequency) share(k Key) float64 {
	n := f.requests(k)
	if n < minCounted {
		return 0
	}
	return float64(n) / float64(f.latest.requests+f.earlier.requests)
}

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

// share returns the share of its service's requests that have a part.
func (f frequencies) share(k Key) float64 {
	known, ok := f[k.Service]
	if !ok {
		return 0
	}
	return known.share(k)
}
