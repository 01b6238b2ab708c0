package main

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// The figures of the platform's store, from the site file and PROTOCOL.md.
const (
	storeAnswerTime = 4 * time.Millisecond
	defaultMaxKB    = 1024
	maxReadWait     = 30 * time.Second
	newestItems     = 500
	newestBytes     = 1 << 20
)

// storeMode is how the store treats the calls of one machine.
type storeMode int32

const (
	// storeServes answers calls.
	storeServes storeMode = iota
	// storeBusy answers 503: nothing was done.
	storeBusy
)

// Store is a stand-in for the platform's metadata store: the calls of its log that the programs use.
type Store struct {
	mu      sync.Mutex
	topics  map[string][][]byte
	changed chan struct{}
}

func newStore() *Store {
	return &Store{topics: map[string][][]byte{}, changed: make(chan struct{})}
}

// put writes a keyed record and returns once the store has acknowledged it.
func (s *Store) put(topic, key, value string) (offset int) {
	time.Sleep(storeAnswerTime)
	record := append([]byte{byte(len(key))}, key...)
	return s.append(topic, [][]byte{append(record, value...)})
}

func (s *Store) append(topic string, records [][]byte) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	at := len(s.topics[topic])
	s.topics[topic] = append(s.topics[topic], records...)
	close(s.changed)
	s.changed = make(chan struct{})
	return at
}

// storeDoor is the address at which one machine reaches the store.
type storeDoor struct {
	store *Store
	mode  atomic.Int32
	calls atomic.Int64
	// onCall is called for each call with its path and the status of its answer, unless it is nil.
	onCall func(path, query string, status, bytes int)
}

func (d *storeDoor) set(m storeMode) { d.mode.Store(int32(m)) }

func (d *storeDoor) serve(l net.Listener) {
	_ = (&http.Server{Handler: d}).Serve(l)
}

func (d *storeDoor) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	d.calls.Add(1)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	status, out := http.StatusServiceUnavailable, []byte(nil)
	if storeMode(d.mode.Load()) == storeServes {
		time.Sleep(storeAnswerTime)
		status, out = d.store.call(r.Context(), r, body)
		if storeMode(d.mode.Load()) != storeServes && r.Method == http.MethodGet {
			status, out = http.StatusServiceUnavailable, nil
		}
	}
	if d.onCall != nil {
		d.onCall(r.URL.Path, r.URL.RawQuery, status, len(out))
	}
	w.WriteHeader(status)
	_, _ = w.Write(out)
}

func (s *Store) call(ctx context.Context, r *http.Request, body []byte) (int, []byte) {
	q := r.URL.Query()
	topic := q.Get("topic")
	switch r.Method + " " + r.URL.Path {
	case "POST /fawnwinch/log-append":
		return s.handleAppend(topic, q.Get("at"), body)
	case "GET /fawnwinch/log-read":
		return s.handleRead(ctx, topic, q.Get("from"), q.Get("max_kb"), q.Get("waitMs"))
	case "GET /fawnwinch/log-newest":
		return s.handleNewest(topic, q.Get("sinceRevision"))
	}
	return http.StatusNotFound, nil
}

func encodeJSON(v any) []byte {
	out, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return out
}

func (s *Store) handleAppend(topic, at string, body []byte) (int, []byte) {
	if topic == "keyed.servers" || topic == "keyed.op" {
		return http.StatusForbidden, nil
	}
	var records [][]byte
	for rest := body; len(rest) > 0; {
		if len(rest) < 4 {
			return http.StatusBadRequest, nil
		}
		n := int(binary.BigEndian.Uint32(rest))
		if rest = rest[4:]; n > len(rest) {
			return http.StatusBadRequest, nil
		}
		records, rest = append(records, rest[:n:n]), rest[n:]
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	end := len(s.topics[topic])
	if want, err := strconv.Atoi(at); at != "" && (err != nil || want != end) {
		return http.StatusPreconditionFailed, encodeJSON(map[string]int{"end": end})
	}
	s.topics[topic] = append(s.topics[topic], records...)
	close(s.changed)
	s.changed = make(chan struct{})
	return http.StatusOK, encodeJSON(map[string]int{"offset": end, "end": end + len(records)})
}

// handleRead answers with the end of the log, the first offset kept and the records from an offset
// on, max_kb of them at most (1,024 if it is not given).
func (s *Store) handleRead(ctx context.Context, topic, fromText, maxText, waitText string) (int, []byte) {
	from, err := strconv.Atoi(fromText)
	if err != nil || from < 0 {
		return http.StatusBadRequest, nil
	}
	maxKB := defaultMaxKB
	if n, err := strconv.Atoi(maxText); err == nil && n > 0 {
		maxKB = n
	}
	waitMs, _ := strconv.Atoi(waitText)
	timeout := time.After(min(time.Duration(waitMs)*time.Millisecond, maxReadWait))
	for waits := waitMs > 0; ; {
		s.mu.Lock()
		records, changed := s.topics[topic], s.changed
		s.mu.Unlock()
		if from > len(records) {
			return http.StatusGone, encodeJSON(map[string]int{"first": 0})
		}
		if from < len(records) || !waits {
			out := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
			out = binary.BigEndian.AppendUint64(out, 0)
			for i, r := range records[from:] {
				if i > 0 && len(out)+4+len(r) > maxKB<<10 {
					break
				}
				out = binary.BigEndian.AppendUint32(out, uint32(len(r)))
				out = append(out, r...)
			}
			return http.StatusOK, out
		}
		select {
		case <-changed:
		case <-timeout:
			waits = false
		case <-ctx.Done():
			return http.StatusServiceUnavailable, nil
		}
	}
}

func (s *Store) handleNewest(topic, after string) (int, []byte) {
	type item struct {
		Key    string `json:"tlsKey"`
		Value  []byte `json:"value"`
		Offset int    `json:"offset"`
	}
	s.mu.Lock()
	records := s.topics[topic]
	s.mu.Unlock()
	newest := map[string]item{}
	for i, r := range records {
		key := string(r[1 : 1+int(r[0])])
		newest[key] = item{key, r[1+len(key):], i}
	}
	items := []item{}
	for key, it := range newest {
		if len(it.Value) > 0 && strings.Compare(key, after) > 0 {
			items = append(items, it)
		}
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	kept, bytes := items[:0:0], 0
	for _, it := range items {
		if len(kept) == newestItems || len(kept) > 0 && bytes+len(it.Value) > newestBytes {
			break
		}
		kept, bytes = append(kept, it), bytes+len(it.Value)
	}
	return http.StatusOK, encodeJSON(map[string]any{"items": kept, "more": len(kept) < len(items), "end": len(records)})
}
