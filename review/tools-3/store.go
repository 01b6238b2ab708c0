package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// Store is a stand-in for the platform's metadata store: keyed and plain topics with one partition,
// conditional appends and long-polling reads, as PROTOCOL.md describes them.
type Store struct {
	mu      sync.Mutex
	topics  map[string][][]byte
	changed chan struct{}
	// silentBefore is a time: connections that were opened before it get no answers any more.
	silentBefore time.Time
}

func newStore() *Store {
	return &Store{topics: map[string][][]byte{}, changed: make(chan struct{})}
}

// put writes the record of a key; an empty value removes the key.
func (s *Store) put(topic, key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.appendLocked(topic, [][]byte{append(append([]byte{byte(len(key))}, key...), value...)})
}

func (s *Store) appendLocked(topic string, records [][]byte) int {
	first := len(s.topics[topic])
	s.topics[topic] = append(s.topics[topic], records...)
	close(s.changed)
	s.changed = make(chan struct{})
	return first
}

// handler serves the store.
func (s *Store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /fawnwinch/log-append", s.handleAppend)
	mux.HandleFunc("GET /fawnwinch/log-newest", s.handleNewest)
	mux.HandleFunc("GET /fawnwinch/log-read", s.handleRead)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.isSilent(r) {
			<-r.Context().Done()
			return
		}
		mux.ServeHTTP(w, r)
	})
}

// isSilent reports whether the connection of a request has gone silent.
func (s *Store) isSilent(r *http.Request) bool {
	opened, _ := r.Context().Value(openedKey{}).(time.Time)
	s.mu.Lock()
	defer s.mu.Unlock()
	return opened.Before(s.silentBefore)
}

// silence makes all open connections go silent. New ones work.
func (s *Store) silence() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silentBefore = time.Now()
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func (s *Store) handleAppend(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var records [][]byte
	for rest := body; len(rest) >= 4; {
		n := int(binary.BigEndian.Uint32(rest))
		if rest = rest[4:]; n > len(rest) {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		records, rest = append(records, rest[:n]), rest[n:]
	}
	topic := r.URL.Query().Get("topic")
	s.mu.Lock()
	defer s.mu.Unlock()
	if text := r.URL.Query().Get("at"); text != "" {
		if at, _ := strconv.Atoi(text); at != len(s.topics[topic]) {
			writeJSON(w, http.StatusPreconditionFailed, map[string]int{"end": len(s.topics[topic])})
			return
		}
	}
	first := s.appendLocked(topic, records)
	writeJSON(w, http.StatusOK, map[string]int{"offset": first, "end": first + len(records)})
}

func (s *Store) handleNewest(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	records := s.topics[r.URL.Query().Get("topic")]
	type item struct {
		Key    string `json:"tlsKey"`
		Value  string `json:"value"`
		Offset int    `json:"offset"`
	}
	newest := map[string]item{}
	for i, raw := range records {
		end := 1 + int(raw[0])
		key := string(raw[1:end])
		if delete(newest, key); len(raw) > end {
			newest[key] = item{key, base64.StdEncoding.EncodeToString(raw[end:]), i}
		}
	}
	items := []item{}
	for _, it := range newest {
		items = append(items, it)
	}
	sort.Slice(items, func(a, b int) bool { return items[a].Key < items[b].Key })
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "more": false, "end": len(records)})
}

func (s *Store) handleRead(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	topic := q.Get("topic")
	from, _ := strconv.Atoi(q.Get("from"))
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		records, changed := s.topics[topic], s.changed
		s.mu.Unlock()
		if from > len(records) {
			writeJSON(w, http.StatusGone, map[string]int{"first": len(records)})
			return
		}
		if len(records) > from || wait <= 0 {
			out := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
			out = binary.BigEndian.AppendUint64(out, 0)
			for _, raw := range records[from:] {
				out = append(binary.BigEndian.AppendUint32(out, uint32(len(raw))), raw...)
			}
			_, _ = w.Write(out)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			wait = 0
		case <-r.Context().Done():
			return
		}
		if s.isSilent(r) {
			<-r.Context().Done()
			return
		}
	}
}
