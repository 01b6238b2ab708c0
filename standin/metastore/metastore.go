// Copyright 2026 The Fawnwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package metastore is a small stand-in for the platform's metadata store, for tests: streams that
// keep the newest record of each key, with long-polling reads, trimmed records, outages, lost
// answers, and restores from a copy.
package metastore

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Fault is a fault that the store applies to calls.
type Fault string

// The kinds of fault.
const (
	// FaultNone answers as usual.
	FaultNone Fault = ""
	// FaultBusy answers 503 and does nothing.
	FaultBusy Fault = "busy"
	// FaultNoAnswer sends no answer, and keeps the call open until the caller disconnects.
	FaultNoAnswer Fault = "silent"
	// FaultAnswerLost performs writes, then closes the connection without an answer.
	FaultAnswerLost Fault = "lost"
	// FaultLateWrite closes the connection at once without an answer, and performs writes after
	// LateWriteDelay.
	FaultLateWrite Fault = "late"
	// FaultSlowAnswer sends answers SlowAnswerDelay after they were computed, so that they may be out
	// of date.
	FaultSlowAnswer Fault = "slow"
)

const (
	// LateWriteDelay is the time from a call to its late write.
	LateWriteDelay = 700 * time.Millisecond
	// SlowAnswerDelay is the delay of a slow answer.
	SlowAnswerDelay = 250 * time.Millisecond
)

type stream struct {
	records [][]byte
	// first is the offset of the first record kept.
	first int
}

// Store is the stand-in. It is safe for concurrent use.
type Store struct {
	mu      sync.Mutex
	streams map[string]*stream
	changed chan struct{}
	fault   Fault
	calls   int
	// maxAnswer is the size of the records in an answer to a read, in bytes, unless the read sets
	// another one. An answer that leaves some out takes partTime.
	maxAnswer int
	partTime  time.Duration
	// era is reported in each answer. It rises by one with each restore from a copy.
	era uint64
}

// New returns an empty store.
func New() *Store {
	return &Store{streams: map[string]*stream{}, changed: make(chan struct{}), era: firstEra, maxAnswer: defaultMaxAnswer}
}

// Put adds a record to a keyed stream; an empty value removes the key.
func (s *Store) Put(topic, key, value string) {
	record := append([]byte{byte(len(key))}, key...) //nolint:gosec // keys of tests are short
	s.append(topic, [][]byte{append(record, value...)}, anyOffset)
}

// anyOffset makes append add records wherever the stream ends.
const anyOffset = -1

// SetFault sets the fault that is applied to calls from now on.
func (s *Store) SetFault(t Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = t
}

// Trim makes the records of a stream unreadable, except for the newest of each key.
func (s *Store) Trim(topic string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.stream(topic)
	st.first = len(st.records)
}

// Records returns the number of records that were added to a stream.
func (s *Store) Records(topic string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.stream(topic).records)
}

// Calls returns the number of calls received so far.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

func (s *Store) stream(topic string) *stream {
	st, ok := s.streams[topic]
	if !ok {
		st = &stream{}
		s.streams[topic] = st
	}
	return st
}

// append adds records if the stream ends at offset at, or if at is anyOffset.
func (s *Store) append(topic string, records [][]byte, at int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.appendLocked(topic, records, at)
}

// appendLocked is append for callers that hold the lock. It returns the offset of the first record,
// and whether the records were added.
func (s *Store) appendLocked(topic string, records [][]byte, at int) (int, bool) {
	st := s.stream(topic)
	first := len(st.records)
	if at != anyOffset && at != first {
		return first, false
	}
	st.records = append(st.records, records...)
	s.wakeReaders()
	return first, true
}

// wakeReaders makes the waiting reads check the streams again. The caller holds the lock.
func (s *Store) wakeReaders() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP serves the calls that platform.Store makes.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.calls++
	fault, era := s.fault, s.era
	s.mu.Unlock()
	switch fault {
	case FaultBusy:
		answer{era: era, status: http.StatusServiceUnavailable}.send(w)
		return
	case FaultNoAnswer:
		// The server notices that a caller has disconnected once the body has been read.
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
		return
	case FaultAnswerLost, FaultLateWrite, FaultSlowAnswer, FaultNone:
	}
	topic := r.URL.Query().Get("topic")
	reply := answer{era: era, status: http.StatusNotFound}
	switch r.URL.Path {
	case "/fawnwinch/log-append":
		reply = s.handleAppend(r, topic, fault)
	case "/fawnwinch/log-newest":
		reply = s.newest(topic)
	case "/fawnwinch/log-read":
		reply = s.read(r.Context(), topic, r.URL.Query())
	}
	if fault == FaultSlowAnswer {
		select {
		case <-time.After(SlowAnswerDelay):
		case <-r.Context().Done():
			return
		}
	}
	reply.send(w)
}

// answer is an answer of the store, with the era in which it was computed.
type answer struct {
	era    uint64
	status int
	body   []byte
}

func (a answer) send(w http.ResponseWriter) {
	w.Header().Set("Store-Era", strconv.FormatUint(a.era, 10))
	w.WriteHeader(a.status)
	_, _ = w.Write(a.body) // the caller may have disconnected
}

// encoded returns an answer with v as its JSON body. The caller holds the lock.
func (s *Store) encoded(status int, v any) answer {
	body, err := json.Marshal(v)
	if err != nil {
		return answer{era: s.era, status: http.StatusInternalServerError}
	}
	return answer{era: s.era, status: status, body: body}
}

// handleAppend adds records and returns an answer with their offset, unless the fault loses the
// answer.
func (s *Store) handleAppend(r *http.Request, topic string, trouble Fault) answer {
	body, err := io.ReadAll(r.Body)
	records, ok := splitRecords(body)
	at := anyOffset
	if text := r.URL.Query().Get("at"); text != "" {
		at, err = strconv.Atoi(text)
	}
	if trouble == FaultLateWrite && err == nil && ok {
		time.AfterFunc(LateWriteDelay, func() { s.append(topic, records, at) })
		panic(http.ErrAbortHandler)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil || !ok {
		return answer{era: s.era, status: http.StatusBadRequest}
	}
	offset, ok := s.appendLocked(topic, records, at)
	if trouble == FaultAnswerLost {
		panic(http.ErrAbortHandler)
	}
	status, end := http.StatusOK, offset+len(records)
	if !ok {
		status, end = http.StatusPreconditionFailed, offset
	}
	return s.encoded(status, map[string]int{"offset": offset, "end": end})
}

// splitRecords splits the body of an append into its records. Each follows its length.
func splitRecords(body []byte) ([][]byte, bool) {
	var out [][]byte
	for len(body) >= 4 {
		n := int(binary.BigEndian.Uint32(body))
		if body = body[4:]; n > len(body) {
			return nil, false
		}
		out, body = append(out, body[:n]), body[n:]
	}
	return out, len(body) == 0
}

// newest returns an answer with the newest record of each key.
func (s *Store) newest(topic string) answer {
	type item struct {
		TLSKey string `json:"tlsKey"`
		Value  []byte `json:"value"`
		Offset int    `json:"offset"`
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.stream(topic)
	newest := map[string]item{}
	for i, r := range st.records {
		end := 1 + int(r[0])
		key := string(r[1:end])
		newest[key] = item{key, r[end:], i}
	}
	items := []item{}
	for _, it := range newest {
		if len(it.Value) > 0 {
			items = append(items, it)
		}
	}
	slices.SortFunc(items, func(a, b item) int { return strings.Compare(a.TLSKey, b.TLSKey) })
	return s.encoded(http.StatusOK, map[string]any{"items": items, "more": false, "end": len(st.records)})
}

// defaultMaxAnswer is the size of the records in an answer to a read, in bytes, that the platform
// sends. The first record is always sent.
const defaultMaxAnswer = 1024 << 10

// SetMaxAnswer sets another size in bytes, and the time that an answer with a part of the records
// takes.
func (s *Store) SetMaxAnswer(bytes int, partTime time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.maxAnswer, s.partTime = bytes, partTime
}

// read returns an answer with the records from an offset on, max_kb of them at most. If there are
// none, it waits for them for at most the waitMs of the query. The status is 410 if the offset was
// trimmed or lies beyond the end of the stream.
func (s *Store) read(ctx context.Context, topic string, q map[string][]string) answer {
	number := func(name string) int {
		if len(q[name]) == 0 {
			return 0
		}
		n, _ := strconv.Atoi(q[name][0]) // 0 if it is not a number
		return n
	}
	from := number("from")
	timeout := time.After(time.Duration(number("waitMs")) * time.Millisecond)
	for waiting := true; ; {
		s.mu.Lock()
		st := s.stream(topic)
		first, end, era, most, partTime := st.first, len(st.records), s.era, s.maxAnswer, s.partTime
		records := st.records[min(from, end):end]
		changed := s.changed
		s.mu.Unlock()
		if from < first || from > end {
			return answer{era: era, status: http.StatusGone}
		}
		if len(records) > 0 || !waiting {
			if kb := number("max_kb"); kb > 0 {
				most = kb << 10
			}
			part := firstOf(records, most)
			if len(part) < len(records) {
				time.Sleep(partTime)
			}
			return answer{era: era, status: http.StatusOK, body: encode(first, end, part)}
		}
		select {
		case <-changed:
		case <-timeout:
			waiting = false
		case <-ctx.Done():
			return answer{era: era, status: http.StatusServiceUnavailable}
		}
	}
}

// firstOf returns the first records that take at most a number of bytes, and one at least.
func firstOf(records [][]byte, most int) [][]byte {
	size := 0
	for i, r := range records {
		if size += len(r); i > 0 && size > most {
			return records[:i]
		}
	}
	return records
}

// encode returns the body of an answer to a read: the end of the stream, the first offset kept, and
// each record after its length.
func encode(first, end int, records [][]byte) []byte {
	out := binary.BigEndian.AppendUint64(nil, uint64(end))  //nolint:gosec // offsets are not negative
	out = binary.BigEndian.AppendUint64(out, uint64(first)) //nolint:gosec // offsets are not negative
	for _, r := range records {
		out = binary.BigEndian.AppendUint32(out, uint32(len(r))) //nolint:gosec // records are small
		out = append(out, r...)
	}
	return out
}
