// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package metastore

import "slices"

// firstEra is the era of a store that has never been restored from a copy.
const firstEra = 0

// Copy is a snapshot of the content of a store.
type Copy struct{ streams map[string]stream }

// Copy returns a snapshot of the store.
func (s *Store) Copy() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := Copy{streams: map[string]stream{}}
	for topic, st := range s.streams {
		c.streams[topic] = stream{records: slices.Clone(st.records), first: st.first}
	}
	return c
}

// Return restores the store from a copy: later records are lost, and the era rises by one. Waiting
// reads are answered from the restored content.
func (s *Store) Return(c Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.streams = map[string]*stream{}
	for topic, st := range c.streams {
		s.streams[topic] = &stream{records: slices.Clone(st.records), first: st.first}
	}
	s.era++
	s.wakeReaders()
}

// Newest returns the newest value under a key of a stream; empty if there is none.
func (s *Store) Newest(topic, key string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	value := ""
	for _, r := range s.stream(topic).records {
		if end := 1 + int(r[0]); string(r[1:end]) == key {
			value = string(r[end:])
		}
	}
	return value
}
