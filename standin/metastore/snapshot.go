// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package metastore

import "slices"

// firstEra is the era of a store that has never been restored from a copy.
const firstEra = 0

// Snapshot is a snapshot of the content of a store.
type Snapshot struct{ streams map[string]stream }

// Snapshot returns a snapshot of the store.
func (s *Store) Snapshot() Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := Snapshot{streams: map[string]stream{}}
	for topic, st := range s.streams {
		c.streams[topic] = stream{records: slices.Clone(st.records), first: st.first}
	}
	return c
}

// Restore restores the store from a copy: later records are lost, and the era rises by one. Waiting
// reads are answered from the restored content.
func (s *Store) Restore(c Snapshot) {
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
